//! Starts `examples/store_standin` as a child process.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// A running stand-in. The process is killed when the value is dropped.
pub struct Standin {
    child: Child,
    control: SocketAddr,
    /// The address at which it serves the etcd protocol.
    pub address: SocketAddr,
}

impl Standin {
    /// Starts a stand-in on free ports.
    pub fn spawn() -> Self {
        let mut child = Command::new(binary_path())
            .args(["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            // Makes it exit when its standard input is closed, which also
            // happens if this process is killed.
            .arg("--until-eof")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts; build it with: cargo build --examples");
        let output = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the stand-in prints its addresses");
        let ready: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
        let address = |name: &str| {
            let text = ready[name].as_str().expect("the address is text");
            text.parse().expect("the address is valid")
        };
        Self {
            child,
            control: address("control"),
            address: address("listen"),
        }
    }

    /// Posts a control request, for example `slow/200`.
    pub fn post_control(&self, path: &str) {
        self.request("POST", path);
    }

    /// Returns the number of calls of a kind, for example `txn`.
    pub fn count(&self, kind: &str) -> u64 {
        let counts: serde_json::Value =
            serde_json::from_str(&self.request("GET", "counts")).expect("the counts are JSON");
        counts[kind].as_u64().expect("there is a count of the kind")
    }

    fn request(&self, method: &str, path: &str) -> String {
        let mut stream = TcpStream::connect(self.control).expect("the control port is open");
        write!(
            stream,
            "{method} /{path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\r\n"
        )
        .expect("the request is sent");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("the response is text");
        assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
        let body = response.split_once("\r\n\r\n");
        body.map_or_else(String::new, |(_, body)| body.to_owned())
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the example's binary. Cargo puts test binaries into
/// `deps` and examples into `examples` next to it.
fn binary_path() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let deps = test.parent().expect("the test binary is in a directory");
    let profile = deps
        .parent()
        .expect("the directory is in the profile's directory");
    profile.join("examples").join("store_standin")
}
