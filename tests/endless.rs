//! Tests targets that send bytes without an end: in a head, in a body, or behind a
//! refusal. What the gateway takes of them must be bounded, the connection to the
//! target must end, and the caller must get an answer or see that one is broken off.

mod vm;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use futures::future::join_all;
use savorybeam::{
    adapters::{
        clock,
        http::{self as web, PoolConfig},
        platform::store,
    },
    app::gateway::Gateway,
    domain::{Era, Instance, Millis, Position, RequestKind, Revision, RouteRule, Size, Slots},
    policy::stream,
    ports::{Change, PlatformError, Poll, VmSettings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    time::{Instant, timeout},
};

use vm::raw::{self, RawHead};

/// How long a caller of these tests waits, in milliseconds.
const DEADLINE_MS: u64 = 800;

/// Far longer than anything takes that has an end.
const PATIENCE: Duration = Duration::from_secs(12);

/// More than the kernels of both sides buffer, and far less than a target could
/// write until the end of a test.
const MAX_WRITTEN: u64 = 32 << 20;

/// What a target sends without an end: the start of its response, and the part that
/// it repeats. `ID` stands for the request id.
fn endless(case: &str) -> (&'static str, Vec<u8>) {
    const GOOD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: s\r\n";
    let filler = || vec![b'x'; 16 * 1024];
    match case {
        "status-line" => ("HTTP/1.1 200 ", filler()),
        "headers" => ("HTTP/1.1 200 OK\r\n", b"x-a: b\r\n".repeat(2_000)),
        "header-line" => ("HTTP/1.1 200 OK\r\nx-a: ", filler()),
        "interim" => ("", b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500)),
        "chunks" => (
            concat_head(GOOD, "Transfer-Encoding: chunked\r\n\r\n"),
            [&b"4000\r\n"[..], &filler(), b"\r\n"].concat(),
        ),
        "chunk-size" => (
            concat_head(GOOD, "Transfer-Encoding: chunked\r\n\r\n"),
            b"0".repeat(16 * 1024),
        ),
        "chunk-extension" => (
            concat_head(GOOD, "Transfer-Encoding: chunked\r\n\r\n1;"),
            filler(),
        ),
        "trailers" => (
            concat_head(GOOD, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"),
            b"x-a: b\r\n".repeat(2_000),
        ),
        "stalled" => (
            concat_head(GOOD, "Transfer-Encoding: chunked\r\n\r\n"),
            [&b"19000\r\n"[..], &vec![b'x'; 0x19000], b"\r\n"].concat(),
        ),
        "no-length" => (concat_head(GOOD, "\r\n"), filler()),
        "refusal" => (
            "HTTP/1.1 503 No\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            [&b"4000\r\n"[..], &filler(), b"\r\n"].concat(),
        ),
        "wrong-id" => (
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\n\r\n",
            filler(),
        ),
        _ => panic!("no such case: {case}"),
    }
}

fn concat_head(start: &str, end: &str) -> &'static str {
    Box::leak(format!("{start}{end}").into_boxed_str())
}

/// What the targets have seen.
#[derive(Default)]
struct Seen {
    /// The paths for which an endless response was begun.
    begun: Mutex<BTreeSet<String>>,
    /// The bytes that could be written of endless responses.
    written: AtomicU64,
    /// The connections with an endless response that are still open.
    open: AtomicU64,
}

/// Serves one connection. The first request of a path gets the endless response
/// that the path names, and a later one a proper response.
async fn serve(stream: TcpStream, case: &str, seen: Arc<Seen>) {
    let mut stream = BufReader::new(stream);
    while let Some(RawHead { path, id, .. }) = raw::read_head(&mut stream).await {
        let first = seen.begun.lock().expect("paths").insert(path.clone());
        if !first {
            let proper = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 6\r\n\r\nproper"
            );
            if stream.write_all(proper.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if let Some(part_ms) = path.rsplit_once("/slow-").map(|(_, ms)| ms) {
            let pause = Duration::from_millis(part_ms.parse().expect("a number"));
            let start = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 400000\r\n\r\n"
            );
            let mut result = stream.write_all(start.as_bytes()).await;
            for _ in 0..4 {
                tokio::time::sleep(pause).await;
                result = result.and(stream.write_all("x".repeat(100_000).as_bytes()).await);
            }
            if result.is_err() {
                return;
            }
            continue;
        }
        let named = path.rsplit('/').next().unwrap_or_default();
        let (start, part) = endless(if case.is_empty() { named } else { case });
        seen.open.fetch_add(1, SeqCst);
        let start = start.replace("ID", &id);
        let mut result = stream.write_all(start.as_bytes()).await;
        while result.is_ok() {
            result = stream.write_all(&part).await;
            if result.is_ok() {
                seen.written.fetch_add(part.len() as u64, SeqCst);
            }
            if named == "stalled" {
                result = stream.read_u8().await.map(|_| ());
            }
            // About 15 MB/s, so that the test does not use up the processor.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        seen.open.fetch_sub(1, SeqCst);
        return;
    }
}

async fn target(seen: &Arc<Seen>) -> SocketAddr {
    serve_any(seen, "").await
}

/// Serves connections with a stand-in. `case` replaces the last segment of each path
/// if it is not empty.
async fn serve_any(seen: &Arc<Seen>, case: &'static str) -> SocketAddr {
    let seen = seen.clone();
    raw::listen(move |_, stream| serve(stream, case, seen.clone())).await
}

async fn gateway(seen: &Arc<Seen>) -> Gateway {
    let mut changes = vec![vm::configured(3, vm::browse_and_pay())];
    for id in ["i-1", "i-2"] {
        changes.push(Change::Registered(vm::instance(id, target(seen).await)));
    }
    vm::entry::open(vm::settings("edge-1"), changes, Millis(0)).await
}

/// Sends a request over a connection of its own.
async fn send(gateway: &Gateway, path: &str, deadline_ms: u64) -> TcpStream {
    let stream = TcpStream::connect(gateway.front_addr()).await;
    let mut stream = stream.expect("a connection");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: kitchens.example\r\nRequest-Id: r-1\r\n\
         Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    let written = stream.write_all(request.as_bytes()).await;
    written.expect("a request that is written");
    stream
}

/// Reads a response to its end. Returns its status and how it ended.
async fn receive(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut size = 0;
    let mut buf = vec![0; 64 * 1024];
    let whole = loop {
        let text = String::from_utf8_lossy(&response[..response.len().min(1_000)]).into_owned();
        let length = text.split_once("\r\n\r\n").and_then(|(head, _)| {
            let line = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "))?;
            Some(head.len() + 4 + line.parse::<usize>().ok()?)
        });
        if length.is_some_and(|length| size >= length) {
            break true;
        }
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => {
                size += n;
                response.extend_from_slice(&buf[..n]);
                if response.ends_with(b"\r\n0\r\n\r\n") {
                    break true;
                }
                // Only the head and the last bytes matter.
                if response.len() > 200_000 {
                    response.drain(1_000..100_000);
                }
            }
            _ => break false,
        }
    };
    let head = String::from_utf8_lossy(&response[..response.len().min(200)]).into_owned();
    let status = head.split(' ').nth(1).unwrap_or("no response").to_owned();
    eprintln!("  {size} bytes to the caller");
    format!("{status}{}", if whole { "" } else { ", broken off" })
}

/// Waits until no target has an open connection with an endless response.
async fn wait_until_closed(seen: &Seen) -> bool {
    let closed = async {
        while seen.open.load(SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, closed).await.is_ok()
}

/// Sends one request and describes what the caller and the target saw.
async fn play(path: &str) -> String {
    let seen: Arc<Seen> = Arc::default();
    let gateway = gateway(&seen).await;
    let begun = Instant::now();
    let mut caller = send(&gateway, path, DEADLINE_MS).await;
    let response = timeout(PATIENCE, receive(&mut caller)).await;
    let answered = begun.elapsed();
    // The caller keeps its connection open.
    let closed = wait_until_closed(&seen).await;
    let written = seen.written.load(SeqCst);
    eprintln!(
        "{path}: {written} bytes written, answered {answered:?}, closed {:?}",
        begun.elapsed()
    );
    gateway.stop().await;
    drop(caller);
    let response = response.unwrap_or("a response without an end".to_owned());
    let closed = if closed { "closed" } else { "still open" };
    // What is not a body must end long before what the kernels buffer of it.
    let size = if written < MAX_WRITTEN { "" } else { "not " };
    format!("{path}: {response}; connection {closed}, {size}bounded")
}

/// Plays cases at the same time, each with a gateway of its own, with a request that
/// may run more than once and with one that may not.
async fn play_all(cases: &[&str]) -> String {
    let paths = cases.iter().flat_map(|case| {
        let path = move |kind| format!("/{kind}/{case}");
        ["browse", "pay"].map(path)
    });
    let paths: Vec<String> = paths.collect();
    let lines = join_all(paths.iter().map(|path| play(path))).await;
    lines.join("\n")
}

/// Fails if an endless head is read without a bound, or if a request that may run
/// more than once is not sent to another target while there is time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_head_ends_the_attempt() {
    insta::assert_snapshot!(play_all(&["status-line", "header-line", "headers", "interim"]).await);
}

/// Fails if the framing of a body is read without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_framing_ends_the_attempt() {
    insta::assert_snapshot!(play_all(&["chunk-size", "chunk-extension", "trailers"]).await);
}

/// Fails if the body of a response that is not used is read without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_body_that_is_not_used_is_not_read() {
    insta::assert_snapshot!(play_all(&["refusal", "wrong-id"]).await);
}

/// Fails if a body without an end is passed on after the deadline, while the caller
/// reads it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_body_is_broken_off_after_the_deadline() {
    insta::assert_snapshot!(play_all(&["chunks", "no-length"]).await);
}

/// Fails if a body that is on its way is broken off before the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_body_is_passed_on_before_the_deadline() {
    insta::assert_snapshot!(play_all(&["slow-60"]).await);
}

/// Fails if a body that its caller still waits for is broken off at the timeout of
/// the route, 1.2 s, or if the longest deadline that can be written ends the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_is_passed_on_until_the_deadline_of_its_caller() {
    let seen: Arc<Seen> = Arc::default();
    let gateway = gateway(&seen).await;
    let mut lines = Vec::new();
    for (kind, deadline_ms) in [("browse", 8_000), ("pay", u64::MAX)] {
        let mut caller = send(&gateway, &format!("/{kind}/slow-500"), deadline_ms).await;
        let response = timeout(PATIENCE, receive(&mut caller)).await;
        let response = response.expect("a response with an end");
        lines.push(format!("deadline {deadline_ms} ms: {response}"));
    }
    gateway.stop().await;
    insta::assert_snapshot!(lines.join("\n"), @r"
    deadline 8000 ms: 200
    deadline 18446744073709551615 ms: 200
    ");
}

/// Fails if a response is passed on for more or less than 200 ms after the deadline.
#[test]
fn the_time_for_a_response_ends_after_the_deadline() {
    let left = |deadline, now| stream::time_left(Millis(deadline), Millis(now));
    let times = [(800, 0), (800, 799), (800, 999), (800, 1_000), (0, 5_000)];
    let times =
        times.map(|(deadline, now)| format!("{deadline} at {now}: {}", left(deadline, now)));
    let extreme = left(u64::MAX, 0);
    insta::assert_snapshot!(format!("{}\nextreme: {extreme}", times.join("\n")));
}

/// Fails if a caller that neither reads a body nor closes keeps a target at work
/// after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_does_not_hold_a_target() {
    let seen: Arc<Seen> = Arc::default();
    let gateway = gateway(&seen).await;
    let mut caller = send(&gateway, "/browse/chunks", DEADLINE_MS).await;
    let mut start = [0; 12];
    let read = timeout(PATIENCE, caller.read_exact(&mut start)).await;
    read.expect("in time").expect("a response");
    let closed = wait_until_closed(&seen).await;
    gateway.stop().await;
    drop(caller);
    assert!(closed, "the target is still sending");
}

/// How many endless responses run at the same time. What each may keep, 128 KiB, is
/// more than the VM has for all of them.
const CONCURRENT: usize = 40;

/// Fails if endless responses together take more memory than there is for the starts
/// of responses. Each alone is short, but the process ends when all of them together
/// exceed the memory of its VM, and with it the requests of all other callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_responses_together_keep_a_bounded_part() {
    let seen: Arc<Seen> = Arc::default();
    let rule = RouteRule {
        timeout: Millis(20_000),
        objective: Millis(10_000),
        ..vm::rule(RequestKind::Once, "/pay/")
    };
    let target = Instance {
        slots: Slots(200),
        ..vm::instance("i-1", target(&seen).await)
    };
    let changes = vec![vm::configured(3, vec![rule]), Change::Registered(target)];
    let settings = VmSettings {
        memory: Size::kib(16 * 1024),
        ..vm::settings("edge-1")
    };
    let budget = Size(settings.memory.0 / 16);
    let gateway = vm::entry::open(settings, changes, Millis(0)).await;
    let mut callers = Vec::new();
    for n in 0..CONCURRENT {
        // Sent one after the other, so that the target is not taken for full. The
        // body falls short of the size that is kept of one response.
        callers.push(send(&gateway, &format!("/pay/{n}/stalled"), 20_000).await);
    }
    // Each response is either kept or passed on.
    let mut kept = Size(0);
    let mut passed_on = 0;
    for caller in &mut callers {
        let mut byte = [0];
        let read = timeout(Duration::from_millis(500), caller.read(&mut byte)).await;
        passed_on += usize::from(matches!(read, Ok(Ok(1))));
        kept = kept.max(gateway.state.kept_response_bytes());
    }
    drop(callers);
    while gateway.state.kept_response_bytes() > Size(0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    gateway.stop().await;
    insta::assert_snapshot!(
        format!("kept within the budget: {}, some passed on at once: {}, some kept: {}",
            kept <= budget, passed_on >= CONCURRENT / 2, kept > Size(0)),
        @"kept within the budget: true, some passed on at once: true, some kept: true"
    );
}

/// Fails if a response of the store without an end is read without a bound, or if the
/// call does not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_response_of_the_store_ends_the_call() {
    let cases = [
        "status-line",
        "headers",
        "interim",
        "chunks",
        "chunk-size",
        "trailers",
        "no-length",
    ];
    let lines = join_all(cases.map(|case| async move {
        let seen: Arc<Seen> = Arc::default();
        let addr = serve_any(&seen, case).await;
        let targets = web::open(clock::open(), PoolConfig::default());
        let platform = store::open(addr, targets);
        let poll = Poll {
            after: Position::new(Era(0), Revision(3)),
            wait: Millis(100),
            timeout: Millis(4_000),
        };
        let begun = Instant::now();
        let result = timeout(PATIENCE, (platform.poll)(poll)).await;
        let answered = begun.elapsed();
        let closed = if wait_until_closed(&seen).await {
            "closed"
        } else {
            "still open"
        };
        let written = seen.written.load(SeqCst);
        eprintln!(
            "store, {case}: {written} bytes written, answered {answered:?}, closed {:?}",
            begun.elapsed()
        );
        let size = if written < MAX_WRITTEN { "" } else { "not " };
        let result = match result {
            Ok(Err(PlatformError::Failed { cause, .. })) => {
                cause.replace(&addr.to_string(), "the store")
            }
            other => format!("{other:?}"),
        };
        format!("{case}: {result}; connection {closed}, {size}bounded")
    }));
    insta::assert_snapshot!(lines.await.join("\n"));
}
