//! Tests requests with long bodies through a gateway: what targets receive of
//! them, how often, and what the caller gets. A body must arrive whole and
//! unchanged, a request must run at most once, and a refusal must be true.

mod vm;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use savorybeam::{
    app::gateway::Gateway,
    domain::{Millis, RequestKind, Size},
    ports::{Change, VmSettings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};
use xxhash_rust::xxh3::xxh3_64;

use self::vm::raw::{self, BodyFraming};

/// The length of most bodies, longer than what a gateway reads before it chooses
/// a target.
const LENGTH: usize = 300_000;

/// The memory of an entry whose budget does not suffice for a body of [`LENGTH`]:
/// it keeps 128 KiB.
const SMALL_MEMORY: Size = Size::kib(2_048);

/// What a target saw of one request.
#[derive(Clone, Debug)]
struct Received {
    target: &'static str,
    path: String,
    /// The bytes of the body that arrived, and whether they are the caller's.
    bytes: usize,
    intact: bool,
    /// Whether the body arrived to its end.
    complete: bool,
}

type Log = Arc<Mutex<Vec<Received>>>;

/// Returns the first `length` bytes of the body that all callers send. They
/// differ, so that a part in the wrong place is noticed.
fn body(length: usize) -> Vec<u8> {
    let pattern = (0..251_u8).chain((0..251).rev());
    pattern.cycle().take(length).collect()
}

fn response(status: &str, id: &str, marks: &str) -> String {
    format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{marks}content-length: 2\r\n\r\nok")
}

/// Serves the requests of one connection. The path selects the behaviour.
async fn serve(target: &'static str, stream: TcpStream, log: Log) {
    let mut stream = BufReader::new(stream);
    while let Some(head) = raw::read_head(&mut stream).await {
        let sealed = response("200 OK", &head.id, "server-seal: seal\r\n");
        let rejected = response("503 Full", &head.id, "not-executed: 1\r\n");
        let nothing = String::new();
        let first = {
            let log = log.lock().expect("a log");
            log.iter().all(|r| r.path != head.path)
        };
        let limit = match head.path.as_str() {
            // Answers before it reads the body.
            "/artwork/reject-first" if first => Some((0, &rejected)),
            "/artwork/reject-late" if first => Some((200_000, &rejected)),
            "/artwork/close-halfway" => Some((100_000, &nothing)),
            _ => None,
        };
        if let Some((bytes, text)) = limit {
            let mut part = vec![0; bytes];
            let read = stream.read_exact(&mut part).await.is_ok();
            // With chunks, these are not the bytes of the body alone.
            let seen = if read && !head.chunked {
                part
            } else {
                Vec::new()
            };
            record(&log, target, &head.path, &seen, false);
            // The connection stays open until the gateway closes it, unless there
            // is nothing to say.
            if !text.is_empty() && stream.write_all(text.as_bytes()).await.is_ok() {
                while stream.read(&mut [0; 4_096]).await.is_ok_and(|n| n > 0) {}
            }
            return;
        }
        if head.path == "/artwork/answer-early" {
            stream.write_all(sealed.as_bytes()).await.expect("a caller");
        }
        let (bytes, complete) = raw::read_body(&mut stream, &head).await;
        record(&log, target, &head.path, &bytes, complete);
        if !complete {
            return;
        }
        if head.path != "/artwork/answer-early" {
            stream.write_all(sealed.as_bytes()).await.expect("a caller");
        }
    }
}

fn record(log: &Log, target: &'static str, path: &str, bytes: &[u8], complete: bool) {
    log.lock().expect("a log").push(Received {
        target,
        path: path.to_owned(),
        bytes: bytes.len(),
        intact: xxh3_64(bytes) == xxh3_64(&body(bytes.len())),
        complete,
    });
}

/// A gateway in front of raw targets.
struct Fixture {
    gateway: Gateway,
    log: Log,
}

impl Fixture {
    async fn open(targets: &[&'static str], memory: Size) -> Self {
        let log = Log::default();
        let mut addrs = Vec::new();
        for name in targets {
            let (name, log) = (*name, log.clone());
            addrs.push((
                name,
                raw::listen(move |_, stream| serve(name, stream, log.clone())).await,
            ));
        }
        Self::open_with(&addrs, memory, log).await
    }

    async fn open_with(targets: &[(&str, SocketAddr)], memory: Size, log: Log) -> Self {
        let rules = vec![
            vm::rule(RequestKind::Upload, "/artwork/"),
            vm::rule(RequestKind::Unknown, "/other/"),
            vm::rule(RequestKind::Idempotent, "/browse/"),
        ];
        let mut changes = vec![vm::configured(3, rules)];
        for (name, addr) in targets {
            changes.push(Change::Registered(vm::instance(name, *addr)));
        }
        let settings = VmSettings {
            memory,
            ..vm::settings("edge-1")
        };
        let gateway = vm::entry::open(settings, changes, Millis(0)).await;
        Self { gateway, log }
    }

    async fn connect(&self) -> TcpStream {
        let front = self.gateway.front_addr();
        TcpStream::connect(front).await.expect("a connection")
    }

    /// Sends `sent` bytes of a body that is announced with `length`, and returns
    /// the status line and the outcome of the response.
    async fn send(&self, path: &str, length: usize, sent: usize, framing: BodyFraming) -> String {
        let head = raw::request_head(path, length, framing);
        self.send_with_head(&head, length, sent, framing).await
    }

    async fn send_with_head(
        &self,
        head: &str,
        length: usize,
        sent: usize,
        framing: BodyFraming,
    ) -> String {
        let mut stream = self.connect().await;
        stream.write_all(head.as_bytes()).await.expect("a gateway");
        let framed = raw::frame_body(&body(length)[..sent], framing, sent == length);
        // A gateway may answer before it has read everything.
        let _ = stream.write_all(&framed).await;
        if sent < length {
            let _ = stream.shutdown().await;
        }
        raw::read_response(stream).await
    }

    /// Returns what the targets received for a path, without the names of the
    /// targets, whose order is arbitrary.
    fn received(&self, path: &str) -> String {
        let log = self.log.lock().expect("a log");
        let received: Vec<_> = log.iter().filter(|r| r.path == path).collect();
        let lines = received.iter().map(|r| {
            let intact = if r.intact { "intact" } else { "CHANGED" };
            let end = if r.complete { "whole" } else { "in part" };
            format!("{} bytes {end}, {intact}", r.bytes)
        });
        let lines: Vec<String> = lines.collect();
        let mut targets: Vec<_> = received.iter().map(|r| r.target).collect();
        targets.sort_unstable();
        targets.dedup();
        format!("[{}] at {} targets", lines.join("; "), targets.len())
    }

    /// Waits until the targets have recorded a request for a path.
    async fn wait_for(&self, path: &str) {
        let seen = || {
            let log = self.log.lock().expect("a log");
            log.iter().any(|r| r.path == path)
        };
        while !seen() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Fails if a long body arrives changed, cut or twice, with either framing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_body_arrives_whole_and_once() {
    let mut lines = Vec::new();
    for memory in [Size::kib(160 * 1024), SMALL_MEMORY] {
        for framing in [BodyFraming::Length, BodyFraming::Chunked] {
            for length in [0, 10, 65_536, LENGTH, 900_000] {
                let fixture = Fixture::open(&["i-1", "i-2"], memory).await;
                let status = fixture.send("/artwork/a", length, length, framing).await;
                let received = fixture.received("/artwork/a");
                lines.push(format!("{framing:?} {length}: {status}, {received}"));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a request runs without its body because of its method. A client library
/// leaves out a body of unknown length where it expects none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_method_forwards_a_body_in_chunks() {
    let mut lines = Vec::new();
    for memory in [Size::kib(160 * 1024), SMALL_MEMORY] {
        for method in ["GET", "HEAD", "DELETE", "OPTIONS", "POST"] {
            for length in [0, 10, 65_537, LENGTH] {
                let fixture = Fixture::open(&["i-1", "i-2"], memory).await;
                let framing = BodyFraming::Chunked;
                let head = raw::request_head_with(method, "/browse/a", length, framing);
                let sent = fixture.send_with_head(&head, length, length, framing);
                let status = sent.await;
                let received = fixture.received("/browse/a");
                lines.push(format!("{method} {length}: {status}, {received}"));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a rejected upload is not sent to another target although its body is
/// kept, or if it is sent again although a part of the body is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rejected_upload_runs_elsewhere_if_its_body_is_kept() {
    let mut lines = Vec::new();
    // With little memory, whether the body of `reject-first` is still kept depends
    // on how much of it has arrived by the time of the rejection.
    let large = Size::kib(160 * 1024);
    for (path, memory) in [
        ("/artwork/reject-first", large),
        ("/artwork/reject-late", large),
        ("/artwork/reject-late", SMALL_MEMORY),
    ] {
        for framing in [BodyFraming::Length, BodyFraming::Chunked] {
            let fixture = Fixture::open(&["i-1", "i-2"], memory).await;
            let status = fixture.send(path, LENGTH, LENGTH, framing).await;
            let log = fixture.log.lock().expect("a log").clone();
            let whole = log.iter().filter(|r| r.complete && r.intact).count();
            let bad = log.iter().filter(|r| !r.intact).count();
            lines.push(format!(
                "{path} {framing:?} with {memory}: {status}, {} targets, {whole} whole, {bad} changed",
                log.len()
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an upload to a target that cannot be reached is refused although
/// none of its body was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_to_an_unreachable_target_runs_elsewhere() {
    let log = Log::default();
    let served = log.clone();
    let live = raw::listen(move |_, stream| serve("i-1", stream, served.clone())).await;
    let closed = vm::ClosedAddr::bind();
    let mut lines = Vec::new();
    // Which target comes first depends on the id.
    for id in ["i-2", "i-3", "i-4", "i-5", "i-6", "i-7"] {
        log.lock().expect("a log").clear();
        let targets = [("i-1", live), (id, closed.addr)];
        let fixture = Fixture::open_with(&targets, Size::kib(160 * 1024), log.clone()).await;
        let status = fixture
            .send("/artwork/a", LENGTH, LENGTH, BodyFraming::Length)
            .await;
        lines.push(format!("{status}, {}", fixture.received("/artwork/a")));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    200 of a target, [300000 bytes whole, intact] at 1 targets
    200 of a target, [300000 bytes whole, intact] at 1 targets
    200 of a target, [300000 bytes whole, intact] at 1 targets
    200 of a target, [300000 bytes whole, intact] at 1 targets
    200 of a target, [300000 bytes whole, intact] at 1 targets
    200 of a target, [300000 bytes whole, intact] at 1 targets
    ");
}

/// Fails if a target takes a body that breaks off for a whole one, or if a caller
/// whose body breaks off or stalls gets a success.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_breaks_off_is_not_run() {
    let mut lines = Vec::new();
    for framing in [BodyFraming::Length, BodyFraming::Chunked] {
        for sent in [1_000, 200_000] {
            let fixture = Fixture::open(&["i-1", "i-2"], SMALL_MEMORY).await;
            let status = fixture.send("/artwork/a", LENGTH, sent, framing).await;
            if sent > 65_536 {
                fixture.wait_for("/artwork/a").await;
            }
            let log = fixture.log.lock().expect("a log").clone();
            let whole = log.iter().filter(|r| r.complete).count();
            let bad = log.iter().filter(|r| !r.intact).count();
            lines.push(format!(
                "{framing:?} {sent}: {status}, {} targets, {whole} whole, {bad} changed",
                log.len()
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a target that closes the connection halfway gets the upload again, or
/// if the caller is told that it has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_a_target_breaks_off_is_not_sent_again() {
    let fixture = Fixture::open(&["i-1", "i-2"], Size::kib(160 * 1024)).await;
    let path = "/artwork/close-halfway";
    let status = fixture
        .send(path, LENGTH, LENGTH, BodyFraming::Length)
        .await;
    insta::assert_snapshot!(format!("{status}, {}", fixture.received(path)), @r"502 unknown, [100000 bytes in part, intact] at 1 targets");
}

/// Fails if a stalled body keeps its caller waiting beyond the time limit of the
/// route, or its target beyond the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_stalls_ends_at_the_time_limit() {
    let cases = [1_000, 200_000].map(|sent| async move {
        let fixture = Fixture::open(&["i-1"], Size::kib(160 * 1024)).await;
        let mut stream = fixture.connect().await;
        let head = raw::request_head("/artwork/a", LENGTH, BodyFraming::Length);
        stream.write_all(head.as_bytes()).await.expect("a gateway");
        stream
            .write_all(&body(sent))
            .await
            .expect("a gateway that reads");
        let status = raw::read_response(stream).await;
        if sent > 65_536 {
            fixture.wait_for("/artwork/a").await;
        }
        let complete = fixture
            .log
            .lock()
            .expect("a log")
            .iter()
            .any(|r| r.complete);
        format!("{sent}: {status}, whole at a target: {complete}")
    });
    insta::assert_snapshot!(join_all(cases).await.join("\n"), @r"
    1000: 503 not-run, whole at a target: false
    200000: 504 unknown, whole at a target: false
    ");
}

/// Fails if a target that answers before it has read the body, and reads on on a
/// connection that it keeps, gets other bytes in place of the rest of the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_response_does_not_mix_the_bodies_of_two_requests() {
    let fixture = Fixture::open(&["i-1"], SMALL_MEMORY).await;
    let path = "/artwork/answer-early";
    let mut stream = fixture.connect().await;
    let head = raw::request_head(path, LENGTH, BodyFraming::Length);
    stream.write_all(head.as_bytes()).await.expect("a gateway");
    let whole = body(LENGTH);
    stream
        .write_all(&whole[..150_000])
        .await
        .expect("a gateway that reads");
    let mut early = vec![0; 12];
    stream.read_exact(&mut early).await.expect("a response");
    // The next request must not use the connection before the body has ended.
    let next = fixture
        .send("/artwork/b", LENGTH, LENGTH, BodyFraming::Length)
        .await;
    let _ = stream.write_all(&whole[150_000..]).await;
    fixture.wait_for(path).await;
    let early = String::from_utf8_lossy(&early).into_owned();
    let (first, second) = (fixture.received(path), fixture.received("/artwork/b"));
    insta::assert_snapshot!(format!("{early}: {first}\n{next}: {second}"), @r"
    HTTP/1.1 200: [300000 bytes whole, intact] at 1 targets
    200 of a target: [300000 bytes whole, intact] at 1 targets
    ");
}

/// Fails if many uploads over connections that a target does not read take more
/// memory than the budget and the buffers of the connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_bodies_stay_within_the_budget() {
    let fixture = Fixture::open(&["i-1"], SMALL_MEMORY).await;
    let path = "/other/a";
    let sends = (0..20).map(|_| fixture.send(path, LENGTH, LENGTH, BodyFraming::Length));
    let sampling = async {
        let mut most = Size(0);
        for _ in 0..100 {
            most = most.max(fixture.gateway.state.kept_bytes());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        most
    };
    let (statuses, most) = tokio::join!(join_all(sends), sampling);
    let within = most <= Size::kib(128);
    let ran = statuses.iter().filter(|s| s.starts_with("200")).count();
    let received = fixture.log.lock().expect("a log").len();
    let consistent = ran == received;
    let left = fixture.gateway.state.kept_bytes();
    insta::assert_snapshot!(
        format!("within the budget: {within}, runs match successes: {consistent}, kept at the end: {left}"),
        @"within the budget: true, runs match successes: true, kept at the end: 0 B"
    );
}
