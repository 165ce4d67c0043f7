//! Runs `savorybeam dev`, and commands against it.

#![allow(dead_code, reason = "each test file uses a different part")]

use std::{
    io::{BufRead, BufReader, Read},
    process::{Child, ChildStdout, Command, Stdio},
};

use serde_json::Value;

/// A running `savorybeam dev` process, which is killed on drop.
pub struct Dev {
    child: Child,
    out: BufReader<ChildStdout>,
    /// The JSON line that it printed when it was ready.
    pub line: Value,
}

impl Dev {
    /// Starts `savorybeam dev` and waits until it prints its line.
    pub fn spawn(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
            .arg("dev")
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("dev starts");
        let out = child.stdout.take().expect("standard output is piped");
        let mut out = BufReader::new(out);
        let mut line = String::new();
        out.read_line(&mut line).expect("dev prints a line");
        let line = serde_json::from_str(&line).expect("the line is JSON");
        Self { child, out, line }
    }

    /// Returns a string field of the line.
    pub fn text(&self, name: &str) -> String {
        let value = &self.line[name];
        let value = value.as_str().expect("the value is text");
        value.to_owned()
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let kill = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Waits until the process exits, and returns its exit code and the rest of its
    /// output.
    pub fn wait(mut self) -> (Option<i32>, String) {
        let mut rest = String::new();
        self.out
            .read_to_string(&mut rest)
            .expect("the output is text");
        let status = self.child.wait().expect("dev can be waited for");
        (status.code(), rest)
    }

    /// Runs a command with the address and token of the first entry.
    pub fn run(&self, args: &[&str]) -> String {
        let (admin, token) = (self.text("admin"), self.text("token"));
        let mut all = args.to_vec();
        all.extend(["--admin", admin.as_str()]);
        run(&all, Some(&token))
    }
}

impl Drop for Dev {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command and returns its exit code, standard output and standard error
/// as one text.
pub fn run(args: &[&str], token: Option<&str>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_savorybeam"));
    command.args(args).env_remove("SAVORYBEAM_TOKEN");
    if let Some(token) = token {
        command.env("SAVORYBEAM_TOKEN", token);
    }
    let output = command.output().expect("the command runs");
    let code = output.status.code();
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = code.map_or("killed".to_owned(), |c| c.to_string());
    format!("exit {code}\n{out}{err}")
}
