//! Starts `examples/store_standin` as a child process.

#[path = "../harness/example.rs"]
mod example;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::Child,
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
        let (child, address, control) = example::spawn_store();
        Self {
            child,
            control,
            address,
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
