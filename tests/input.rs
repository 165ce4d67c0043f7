//! Tests how the HTTP server handles malformed, excessive and stalled input of
//! callers.

mod harness;

use harness::{request, send};
use savorybeam::adapters::http::{Limits, bind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use volo_http::server::Router;

/// Sends raw bytes and returns everything received until the connection is
/// closed, without the `date` header.
async fn send_raw(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the server accepts");
    // The server may close the connection before everything is written.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let lines = text.lines().filter(|l| !l.starts_with("date:"));
    lines.collect::<Vec<_>>().join("\n")
}

async fn start_server(limits: Limits) -> savorybeam::adapters::http::Server {
    let router = Router::new().fallback(|| async { "fine" });
    bind("127.0.0.1:0".parse().expect("an address"), limits, router)
        .await
        .expect("a port is free")
}

#[tokio::test]
async fn malformed_and_oversized_heads_are_refused() {
    let server = start_server(Limits::default()).await;
    let mut seen = Vec::new();
    let large = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    for bytes in [
        b"hello\r\n\r\n".as_slice(),
        b"GET / HTTP/9.9\r\n\r\n",
        large.as_bytes(),
    ] {
        seen.push(send_raw(server.addr(), bytes).await);
    }
    let answer = send(server.addr(), request("GET", "a", "/", ""))
        .await
        .expect("an answer");
    seen.push(answer.text());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[tokio::test]
async fn a_connection_over_the_limit_gets_an_error_response() {
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let server = start_server(limits).await;
    let mut first = TcpStream::connect(server.addr())
        .await
        .expect("the server accepts");
    // Once an answer arrives, the first connection is counted.
    first
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .expect("written");
    let mut byte = [0];
    first.read_exact(&mut byte).await.expect("an answer");
    insta::assert_snapshot!(send_raw(server.addr(), b"").await);
}

#[tokio::test]
async fn a_connection_that_stalls_in_the_request_head_is_closed() {
    let limits = Limits {
        head_timeout: std::time::Duration::from_millis(50),
        ..Limits::default()
    };
    let server = start_server(limits).await;
    // Without the time limit, the read below never returns.
    let mut stream = TcpStream::connect(server.addr())
        .await
        .expect("the server accepts");
    stream.write_all(b"GET / HT").await.expect("written");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!String::from_utf8_lossy(&answer).contains("fine"));
}
