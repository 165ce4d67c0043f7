//! Starts the real processes of a test and talks HTTP to them.
//!
//! Every process is killed when its handle is dropped, so that a failed test
//! leaves none behind.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod relay;

use std::{
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A child process.
pub struct Proc {
    child: Child,
    /// Where it serves.
    pub addr: SocketAddr,
}

impl Proc {
    /// Sends a signal by its name, for example `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill runs").success(), "kill -{name} {pid}");
    }

    /// Waits until the process has ended and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a stand-in, which cargo builds beside the tests.
pub fn example(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let deps = test.parent().expect("the test is in a folder");
    deps.with_file_name("examples").join(name)
}

/// Returns an address that nobody uses at the moment.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Starts a target and waits until it serves.
pub fn target(name: &str, slots: u32) -> Proc {
    let mut child = Command::new(example("target_standin"))
        .args([
            "--listen",
            "127.0.0.1:0",
            "--name",
            name,
            "--slots",
            &slots.to_string(),
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the target starts");
    let out = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    BufReader::new(out)
        .read_line(&mut line)
        .expect("the target prints its address");
    let addr = line.trim().parse().expect("the line is an address");
    Proc { child, addr }
}

/// Starts an entry from settings and documents in files, and waits until it
/// accepts connections.
pub async fn entry(addr: SocketAddr, args: &[&str]) -> Proc {
    let child = Command::new(env!("CARGO_BIN_EXE_savorybeam"))
        .arg("entry")
        .args(args)
        .stderr(Stdio::null())
        .spawn()
        .expect("the entry starts");
    let proc = Proc { child, addr };
    while TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    proc
}

/// An answer, read to its end.
pub struct Answer {
    /// The head.
    pub head: http::response::Parts,
    /// The body, or why it was cut short.
    pub body: Result<Bytes, String>,
}

impl Answer {
    /// Returns a header as text, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("the body is whole");
        String::from_utf8_lossy(body).into_owned()
    }
}

/// Sends a request on a connection of its own.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, String> {
    let resp = open(addr, req).await?;
    let (head, body) = resp.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    Ok(Answer {
        head,
        body: body.map_err(|e| e.to_string()),
    })
}

/// Sends a request and returns the answer as soon as its head is there.
pub async fn open(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<hyper::body::Incoming>, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(conn);
    sender.send_request(req).await.map_err(|e| e.to_string())
}

/// Returns a request to a service.
pub fn request(method: &str, service: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", service)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed")
}
