//! Starts examples as child processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

/// Starts an example, which cargo builds next to the tests. Returns it with the first
/// line that it prints, when it is ready.
pub fn spawn(name: &str, args: &[&str]) -> (Child, String) {
    let test = std::env::current_exe().expect("the test has a path");
    let deps = test.parent().expect("the test is in a directory");
    let mut child = Command::new(deps.with_file_name("examples").join(name))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the example starts; build it with: cargo build --examples");
    let out = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    let read = BufReader::new(out).read_line(&mut line);
    read.expect("the example prints a line");
    (child, line)
}

/// Starts the stand-in of the store, which exits when its standard input is closed,
/// also if this process is killed. Returns its address and that of its controls.
pub fn spawn_store() -> (Child, SocketAddr, SocketAddr) {
    let any = "127.0.0.1:0";
    let args = ["--listen", any, "--control", any, "--until-eof"];
    let (child, line) = spawn("store_standin", &args);
    let addrs: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    let addr = |key: &str| {
        let text = addrs[key].as_str().expect("the address is text");
        text.parse().expect("an address")
    };
    (child, addr("listen"), addr("control"))
}
