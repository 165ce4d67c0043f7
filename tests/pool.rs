//! Tests of pooled connections on which a target writes bytes that belong to no
//! request. They must not be read as the response to the next request.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use bytes::Bytes;
use futures::channel::mpsc;
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use savorybeam::{
    adapters::{
        clock,
        http::{self as web, PoolConfig, full_body},
    },
    domain::TargetId,
    ports::{Outbound, SendError, Targets},
};

/// A complete response that no request has asked for.
const EXTRA: &str = "HTTP/1.1 503 Status\r\ncontent-length: 5\r\n\r\nextra";

/// How long a connection needs at most to return to the pool, and bytes on
/// loopback to be noticed.
const SETTLE: Duration = Duration::from_millis(50);

/// The pause of a slow response, longer than the caller of a test waits.
const LATE: Duration = Duration::from_millis(200);

/// A target on its own threads, so that it also runs while the runtime of a
/// test does not. Its connections are numbered from 1.
#[derive(Clone)]
struct Target {
    addr: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Target {
    /// Starts a target that responds to each request with the number of the
    /// connection and the path. Responses to `/then-extra` and `/early` are
    /// followed by [`EXTRA`] in the same segment. After `/early`, nothing more is
    /// read on the connection. The response to `/late` begins after [`LATE`], and
    /// that to `/half` pauses for as long before the end of its body. The response
    /// to `/status/` has what follows that, after the version, as its status line.
    fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = Self {
            addr: listener.local_addr().expect("an address"),
            connections: Arc::default(),
        };
        let connections = target.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let number = {
                    let mut connections = connections.lock().expect("connections");
                    connections.push(stream.try_clone().expect("a socket"));
                    connections.len()
                };
                thread::spawn(move || serve(number, &stream));
            }
        });
        target
    }

    /// Writes to a connection. On loopback, the bytes are in the receive buffer
    /// of the peer when this returns.
    fn write(&self, connection: usize, text: &str) {
        let connections = self.connections.lock().expect("connections");
        let mut stream = &connections[connection - 1];
        stream.write_all(text.as_bytes()).expect("a write");
    }
}

fn serve(number: usize, mut stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    while let Some(Ok(first)) = lines.next() {
        // Only requests to `/early` have a body.
        while lines.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
        let path = first.split(' ').nth(1).expect("a path");
        let body = format!("{path} on connection {number}");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if ["/then-extra", "/early"].contains(&path) {
            text += EXTRA;
        }
        if let Some(status) = path.strip_prefix("/status/") {
            text = text.replace(" 200 OK", &status.replace('_', " "));
        }
        if path == "/late" {
            thread::sleep(LATE);
        }
        if path == "/half" {
            let rest = text.split_off(text.len() - 5);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            thread::sleep(LATE);
            text = rest;
        }
        if stream.write_all(text.as_bytes()).is_err() || path == "/early" {
            return;
        }
    }
}

fn open_pool() -> Targets {
    web::open(clock::open(), PoolConfig::default())
}

fn request(target: &Target, path: &str) -> Outbound {
    let request = Request::builder()
        .uri(path)
        .body(full_body(Bytes::new()))
        .expect("a request");
    Outbound::new(TargetId(target.addr), request)
}

type Answer = Result<http::Response<savorybeam::ports::Body>, SendError>;

async fn read(answer: Answer) -> String {
    match answer {
        Ok(resp) => {
            let status = resp.status().as_u16();
            let body = resp.into_body().collect().await.expect("a body");
            format!("{status} {}", String::from_utf8_lossy(&body.to_bytes()))
        }
        Err(e) => format!("{e:?}"),
    }
}

/// Fails if bytes that arrived on an idle connection are read as the response
/// to the next request, noticed by the runtime or not.
#[tokio::test]
async fn bytes_on_an_idle_connection_are_no_response() {
    let mut lines = Vec::new();
    for noticed in [false, true] {
        let (target, pool) = (Target::open(), open_pool());
        let first = read((pool.send)(request(&target, "/first")).await).await;
        tokio::time::sleep(SETTLE).await;
        target.write(1, EXTRA);
        if noticed {
            tokio::time::sleep(SETTLE).await;
        }
        let next = read((pool.send)(request(&target, "/next")).await).await;
        lines.push(format!("{first}, {next}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    200 /first on connection 1, 200 /next on connection 2
    200 /first on connection 1, 200 /next on connection 2
    ");
}

/// Fails if bytes behind the end of a response are read as the response to the
/// next request, which is sent at once or after the connection was pooled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_behind_a_response_are_no_response() {
    let mut lines = Vec::new();
    for pause in [Duration::ZERO, SETTLE] {
        for _ in 0..20 {
            let (target, pool) = (Target::open(), open_pool());
            let first = read((pool.send)(request(&target, "/then-extra")).await).await;
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let next = read((pool.send)(request(&target, "/next")).await).await;
            lines.push(format!("{first}, {next}"));
        }
    }
    lines.dedup();
    insta::assert_snapshot!(lines.join("\n"), @"200 /then-extra on connection 1, 200 /next on connection 2");
}

/// Fails if bytes behind a response that came before the end of the request's
/// body are read as the response to the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_behind_an_early_response_are_no_response() {
    let mut lines = Vec::new();
    for pause in [Duration::ZERO, SETTLE] {
        for _ in 0..20 {
            let (target, pool) = (Target::open(), open_pool());
            let (sender, frames) = mpsc::unbounded::<Result<Frame<Bytes>, std::io::Error>>();
            let mut early = request(&target, "/early");
            *early.request.body_mut() = StreamBody::new(frames).map_err(Into::into).boxed();
            let first = read((pool.send)(early).await).await;
            drop(sender);
            tokio::time::sleep(pause).await;
            let next = read((pool.send)(request(&target, "/next")).await).await;
            lines.push(format!("{first}, {next}"));
        }
    }
    lines.dedup();
    insta::assert_snapshot!(lines.join("\n"), @"200 /early on connection 1, 200 /next on connection 2");
}

/// Fails if a response that arrives after a connection was taken from the pool,
/// and before the request is written, is read as the response to that request.
#[tokio::test]
async fn bytes_before_a_request_is_written_are_no_response() {
    let (target, pool) = (Target::open(), open_pool());
    let first = read((pool.send)(request(&target, "/first")).await).await;
    tokio::time::sleep(SETTLE).await;
    let mut sending = (pool.send)(request(&target, "/next"));
    // Takes the connection and queues the request. The task that writes it does
    // not run before the next await, because the runtime has one thread.
    assert!(futures::poll!(&mut sending).is_pending());
    target.write(1, EXTRA);
    let next = read(sending.await).await;
    insta::assert_snapshot!(format!("{first}, {next}"), @"200 /first on connection 1, 200 /next on connection 2");
}

/// Fails if the rest of a response that came too late for its request, such as
/// a call to the store that timed out, is read as the response to the next one.
#[tokio::test]
async fn a_late_response_is_no_response_to_the_next_request() {
    let mut lines = Vec::new();
    for path in ["/late", "/half"] {
        let (target, pool) = (Target::open(), open_pool());
        let late = async { read((pool.send)(request(&target, path)).await).await };
        let late = tokio::time::timeout(LATE / 2, late).await;
        let next = read((pool.send)(request(&target, "/next")).await).await;
        tokio::time::sleep(LATE).await;
        let last = read((pool.send)(request(&target, "/last")).await).await;
        lines.push(format!(
            "{path}: timed out {}, {next}, {last}",
            late.is_err()
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    /late: timed out true, 200 /next on connection 2, 200 /last on connection 2
    /half: timed out true, 200 /next on connection 2, 200 /last on connection 2
    ");
}

/// Returns which connection a request gets if three were idle while another request
/// was cancelled before its response.
async fn connection_after_cancellation(once_only: bool) -> &'static str {
    let (target, targets) = (Target::open(), open_pool());
    let send = |path| {
        (targets.send)(Outbound {
            once_only,
            ..request(&target, path)
        })
    };
    let (a, b, c) = tokio::join!(send("/half"), send("/half"), send("/half"));
    for answer in [a, b, c] {
        read(answer).await;
    }
    tokio::time::sleep(SETTLE).await;
    let cancelled = tokio::time::timeout(LATE / 4, send("/late")).await;
    assert!(cancelled.is_err(), "a response came early");
    let answer = read(send("/next").await).await;
    let known = ["connection 1", "connection 2", "connection 3"];
    if known.iter().any(|c| answer.ends_with(c)) {
        "a suspect connection"
    } else {
        "a new connection"
    }
}

/// Fails if a request that runs once only is sent on a connection that may be
/// silent: one that was idle while another request to the target got no response,
/// for example until its hedge answered. Nothing would show whether it has run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_once_only_request_uses_no_suspect_connection() {
    let repeatable = connection_after_cancellation(false).await;
    let once_only = connection_after_cancellation(true).await;
    insta::assert_snapshot!(format!("repeatable: {repeatable}\nonce only: {once_only}"), @r"
    repeatable: a suspect connection
    once only: a new connection
    ");
}

/// Fails if a response whose status is no final one counts as the answer to a
/// request, or if its connection is used again. The request may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_without_a_final_status_is_no_answer() {
    const STATUSES: [&str; 12] = [
        "_000_Odd",
        "_099_Odd",
        "_100_Odd",
        "_101_Odd",
        "_103_Odd",
        "_199_Odd",
        "_600_Odd",
        "_999_Odd",
        "_20_Odd",
        "_2000_Odd",
        "_Odd",
        "",
    ];
    let mut lines = Vec::new();
    for status in STATUSES {
        let (target, pool) = (Target::open(), open_pool());
        let path = format!("/status/{status}");
        let odd = match (pool.send)(request(&target, &path)).await {
            Ok(resp) => read(Ok(resp)).await,
            Err(SendError::Unknown { .. }) => "may have run".to_owned(),
            Err(SendError::Unsent { .. }) => "not run".to_owned(),
        };
        let next = read((pool.send)(request(&target, "/next")).await).await;
        lines.push(format!("{status:?}: {odd}, {next}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    "_000_Odd": may have run, 200 /next on connection 2
    "_099_Odd": may have run, 200 /next on connection 2
    "_100_Odd": may have run, 200 /next on connection 2
    "_101_Odd": may have run, 200 /next on connection 2
    "_103_Odd": may have run, 200 /next on connection 2
    "_199_Odd": may have run, 200 /next on connection 2
    "_600_Odd": may have run, 200 /next on connection 2
    "_999_Odd": may have run, 200 /next on connection 2
    "_20_Odd": may have run, 200 /next on connection 2
    "_2000_Odd": may have run, 200 /next on connection 2
    "_Odd": may have run, 200 /next on connection 2
    "": may have run, 200 /next on connection 2
    "#);
}
