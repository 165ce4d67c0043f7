//! Tests how the server closes connections: after the handler of a cancelled
//! request has stopped, and without a loss of responses to callers that are
//! still sending.

use std::{
    fmt::Write as _,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Request;
use savorybeam::adapters::http::{self as web, Limits, Server};
use socket2::{Domain, Socket, Type};
use volo_http::{body::Body, server::Router};

/// A value that takes 100 ms to drop, like the work of a handler that stops
/// slowly.
struct SlowDrop {
    dropped: Arc<AtomicBool>,
}

impl Drop for SlowDrop {
    fn drop(&mut self) {
        std::thread::sleep(Duration::from_millis(100));
        self.dropped.store(true, Ordering::SeqCst);
    }
}

/// Sends a request, closes the write half of the connection, and waits until
/// the server closes its half.
fn half_close(addr: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")?;
    std::thread::sleep(Duration::from_millis(50));
    stream.shutdown(Shutdown::Write)?;
    match stream.read_to_end(&mut Vec::new()) {
        // A reset also means that the server has closed the connection.
        Err(e) if e.kind() != ErrorKind::ConnectionReset => Err(e),
        _ => Ok(()),
    }
}

async fn start(router: Router) -> Server {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = web::bind(addr, Limits::default(), router).await;
    server.expect("the server starts")
}

/// Fails if the server closes the connection of a cancelled request before the
/// handler has stopped. The sender regards the request as ended when the
/// connection closes, so its next request would run in parallel to the
/// cancelled one.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closes_after_its_cancelled_handler_has_stopped() {
    let dropped: Arc<AtomicBool> = Arc::default();
    let dropped_by_handler = dropped.clone();
    let handler = move |_: Request<Body>| {
        let work = SlowDrop {
            dropped: dropped_by_handler.clone(),
        };
        async move {
            std::future::pending::<()>().await;
            drop(work);
            Body::empty()
        }
    };
    let server = start(Router::new().fallback(handler)).await;
    let addr = server.addr();
    // The caller runs on its own thread, because the runtime worker that drops
    // the handler blocks and could be the one that polls the caller's socket.
    let caller = tokio::task::spawn_blocking(move || half_close(addr));
    caller
        .await
        .expect("the caller does not panic")
        .expect("the connection closes");
    assert!(
        dropped.load(Ordering::SeqCst),
        "the connection closed before the handler was dropped"
    );
}

/// A body that the server reads to its end after an early response.
const BODY_BYTES: usize = 1 << 20;

/// A body that exceeds what the server reads after an early response and what
/// the kernel buffers on both sides.
const ENDLESS_BYTES: usize = 128 << 20;

/// How much of the body [`Caller`] sends before it waits for the response.
const EARLY_BYTES: usize = 64 * 1024;

/// The receive buffer of [`Caller`]. Most of a response of [`LONG_RESPONSE`]
/// stays in the server's send buffer until the caller reads.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

/// A response that fits into the server's send buffer.
const LONG_RESPONSE: usize = 64 * 1024;

/// A caller that sends a part of a request's body, and the rest of it only after
/// the response has begun to arrive.
struct Caller(TcpStream);

impl Caller {
    /// Sends `head`, which announces a body, and the first part of the body.
    /// Returns after the server has had time to close the connection.
    fn begin(addr: SocketAddr, head: &str) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let buffer = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        buffer.expect("a receive buffer");
        socket.connect(&addr.into()).expect("a connection");
        let mut stream = TcpStream::from(socket);
        let limit = Some(Duration::from_secs(20));
        stream.set_read_timeout(limit).expect("a timeout");
        stream.write_all(head.as_bytes()).expect("a written head");
        stream.write_all(&vec![b'x'; EARLY_BYTES]).expect("a body");
        stream.peek(&mut [0]).expect("a response");
        std::thread::sleep(Duration::from_millis(100));
        Self(stream)
    }

    /// Sends the rest of the body in several writes. A write to a closed
    /// connection succeeds, and the reset that it causes fails the next one.
    fn send_rest(&mut self, announced: usize) -> std::io::Result<()> {
        let part = vec![b'x'; EARLY_BYTES];
        (1..announced / EARLY_BYTES).try_for_each(|_| self.0.write_all(&part))
    }

    /// Reads a response. Returns its status line and the length of its body, or
    /// the error with which reading failed.
    fn read_response(&mut self) -> std::io::Result<String> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            self.0.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        let mut body = vec![0; length.unwrap_or_default()];
        self.0.read_exact(&mut body)?;
        let status = head.lines().next().unwrap_or_default();
        Ok(format!("{status}, {} bytes", body.len()))
    }
}

fn announce(body_bytes: usize, extra: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {body_bytes}\r\n{extra}\r\n")
}

/// Fails if a caller whose request is answered before its body was read meets a
/// reset while it sends the rest. Many HTTP clients, hyper among them, then
/// report the failed write and never the response.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_can_send_the_rest_of_a_body_after_an_early_response() {
    let router = Router::new().fallback(|_: Request<Body>| async { "refused" });
    let server = start(router).await;
    let addr = server.addr();
    let caller = tokio::task::spawn_blocking(move || {
        let mut caller = Caller::begin(addr, &announce(BODY_BYTES, ""));
        let mut seen = format!("rest: {:?}\n", caller.send_rest(BODY_BYTES));
        let _ = writeln!(seen, "response: {:?}", caller.read_response());
        let next = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        let _ = writeln!(seen, "next request: {:?}", caller.0.write_all(next));
        let _ = write!(seen, "next response: {:?}", caller.read_response());
        seen
    });
    insta::assert_snapshot!(caller.await.expect("the caller does not panic"), @r#"
    rest: Ok(())
    response: Ok("HTTP/1.1 200 OK, 7 bytes")
    next request: Ok(())
    next response: Ok("HTTP/1.1 200 OK, 7 bytes")
    "#);
}

/// Fails if closing the connection destroys the part of an early response that
/// the caller has not received yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_response_longer_than_the_callers_buffer_arrives() {
    let router = Router::new().fallback(|_: Request<Body>| async { vec![b'x'; LONG_RESPONSE] });
    let server = start(router).await;
    let addr = server.addr();
    let caller = tokio::task::spawn_blocking(move || {
        let mut caller = Caller::begin(addr, &announce(BODY_BYTES, "connection: close\r\n"));
        format!("{:?}", caller.read_response())
    });
    insta::assert_snapshot!(caller.await.expect("the caller does not panic"), @r#"Ok("HTTP/1.1 200 OK, 65536 bytes")"#);
}

/// Fails if the server reads all of a body whose caller sends on after the
/// response, which would let refused uploads take up the entry's link, or if
/// such a caller cannot read the response after its write has failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_read_up_to_a_limit_after_an_early_response() {
    let router = Router::new().fallback(|_: Request<Body>| async { "refused" });
    let server = start(router).await;
    let addr = server.addr();
    let caller = tokio::task::spawn_blocking(move || {
        let mut caller = Caller::begin(addr, &announce(ENDLESS_BYTES, ""));
        // The error is a reset or a broken pipe, depending on the moment.
        let written = caller.send_rest(ENDLESS_BYTES).is_ok();
        format!("written: {written}, response: {:?}", caller.read_response())
    });
    insta::assert_snapshot!(
        caller.await.expect("the caller does not panic"),
        @r#"written: false, response: Ok("HTTP/1.1 200 OK, 7 bytes")"#
    );
}

/// Fails if a stop waits forever for the rest of a body that never comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_does_not_wait_for_the_rest_of_an_answered_request() {
    let router = Router::new().fallback(|_: Request<Body>| async { "refused" });
    let server = start(router).await;
    let addr = server.addr();
    let caller =
        tokio::task::spawn_blocking(move || Caller::begin(addr, &announce(BODY_BYTES, "")));
    let mut caller = caller.await.expect("the caller does not panic");
    server.stop().await;
    let seen = tokio::task::spawn_blocking(move || format!("{:?}", caller.read_response()));
    insta::assert_snapshot!(seen.await.expect("the caller does not panic"), @r#"Ok("HTTP/1.1 200 OK, 7 bytes")"#);
}

/// Fails if the server waits for the body of a refused request whose caller
/// waits for permission to send it, or if it gives that permission. The caller
/// would send its next request on the connection, and the server would discard
/// that as the body. The connection of a caller that is sending stays open for
/// longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_waits_for_100_continue_is_not_awaited_after_a_response() {
    let router = Router::new().fallback(|_: Request<Body>| async { "refused" });
    let server = start(router).await;
    let addr = server.addr();
    let caller = tokio::task::spawn_blocking(move || {
        let mut sending = Caller::begin(addr, &announce(BODY_BYTES, ""));
        let _ = sending.read_response()?;
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(announce(BODY_BYTES, "expect: 100-continue\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        sending.0.set_nonblocking(true)?;
        let open = sending.0.peek(&mut [0]).map_err(|e| e.kind());
        Ok::<_, std::io::Error>(format!("{answer}\n{open:?}"))
    });
    let answer = caller.await.expect("the caller does not panic");
    let answer = answer.expect("a response");
    let lines = answer.lines().filter(|l| !l.starts_with("date:"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r"
    HTTP/1.1 200 OK
    content-length: 7

    refused
    Err(WouldBlock)
    ");
}

/// Fails if a request that was pipelined behind the last one of a connection is
/// run, because its caller gets no response and sends it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_after_the_last_one_of_a_connection_is_not_run() {
    let router = Router::new().fallback(|req: Request<Body>| async move {
        let path = req.uri().path().to_owned();
        http::Response::builder()
            .header("connection", "close")
            .body(Body::from(path))
            .expect("a response")
    });
    let server = start(router).await;
    let addr = server.addr();
    let caller = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let requests = b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(requests)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok::<_, std::io::Error>(answer)
    });
    let answer = caller.await.expect("the caller does not panic");
    let answer = answer.expect("a response");
    let lines = answer.lines().filter(|l| !l.starts_with("date:"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r"
    HTTP/1.1 200 OK
    connection: close
    content-length: 2

    /1
    ");
}

/// Fails if the response to a connection over the limit is lost to a reset,
/// because the server closes it while the caller still sends its request.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_over_the_limit_gets_its_response() {
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = web::bind(any_port, limits, Router::new()).await;
    let server = server.expect("the server starts");
    let addr = server.addr();
    let first = TcpStream::connect(addr).expect("a connection");
    let caller = tokio::task::spawn_blocking(move || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        for part in ["GET / HTTP/1.1\r\n", "host: a\r\n", "\r\n"] {
            // The server has answered before the request is complete.
            std::thread::sleep(Duration::from_millis(50));
            stream.write_all(part.as_bytes())?;
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    });
    let answer = caller.await.expect("the caller does not panic");
    drop(first);
    insta::assert_debug_snapshot!(answer.map(|a| a.lines().next().map(str::to_owned)), @r#"
    Ok(
        Some(
            "HTTP/1.1 503 Service Unavailable",
        ),
    )
    "#);
}
