//! Tests the edges of a stop: attempts that would begin late, a withdrawal that
//! hangs, look-ups of a stopping gateway, and timers that are late. Each uses real
//! loopback connections and a grace period of 6 s.

mod vm;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{HeaderValue, Response, StatusCode};
use savorybeam::{
    adapters::http::Server,
    app::gateway::Gateway,
    domain::{Instance, Millis, Presence, Slots},
    ports::Change,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout},
};
use volo_http::body::Body;

use vm::late;

/// The time within which a stopped process must have ended.
const GRACE_PERIOD: Millis = Millis(6_000);

/// The paths that a target has run.
type Runs = Arc<Mutex<Vec<String>>>;

/// Starts a target that answers after the number of milliseconds that the path ends in.
async fn target(runs: &Runs) -> Server {
    let runs = runs.clone();
    let ran = move |path: &str| runs.lock().expect("paths").push(path.to_owned());
    late::serve_paths(ran).await
}

/// Returns a registration with enough slots for all requests of a test.
fn registration(id: &str, addr: SocketAddr) -> Instance {
    Instance {
        slots: Slots(64),
        ..vm::instance(id, addr)
    }
}

/// Starts a gateway in front of a target. `withdrawal` is the time that the
/// store takes to withdraw its announcement.
async fn open(addr: SocketAddr, entries: Vec<Presence>, withdrawal: Duration) -> Gateway {
    let mut changes = vec![
        vm::configured(1, late::rules()),
        Change::Registered(registration("i-1", addr)),
    ];
    changes.extend(entries.into_iter().map(Change::Joined));
    let mut platform = vm::entry::platform(changes, Millis(0));
    platform.withdraw = Arc::new(move |_| {
        Box::pin(async move {
            sleep(withdrawal).await;
            Ok(())
        })
    });
    let mut settings = vm::settings("edge-1");
    settings.bounds.grace_period = GRACE_PERIOD;
    vm::entry::open_with(settings, platform).await
}

/// Returns a request with a body of the given length, which is not included.
fn head(method: &str, path: &str, limit_ms: u64, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: kitchens.example\r\nrequest-id: r-1\r\n\
         deadline-ms: {limit_ms}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Connects and sends the start of a request.
async fn send(front: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("sent");
    stream
}

/// Waits until a gateway has the given number of running requests.
async fn wait_for_requests(gateway: &Gateway, count: u64) {
    while gateway.state.running() < count {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the status, the code and the outcome of an answer.
fn summary(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    if text.is_empty() {
        return "closed without an answer".to_owned();
    }
    let status = text.split(' ').nth(1).unwrap_or_default();
    let header = |name: &str| {
        let mut lines = text.lines();
        lines.find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    };
    let code = header("x-savorybeam-code").unwrap_or("-");
    let outcome = header("x-savorybeam-outcome").unwrap_or("complete");
    format!("{status} {code} {outcome}")
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer).await {
        Ok(_) => summary(&answer),
        Err(e) => format!("{:?} after {} bytes", e.kind(), answer.len()),
    }
}

/// Fails if a request whose body ends late in a stop is still sent to a target,
/// which would work on it at the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_first_attempt_begins_late_in_a_stop() {
    let runs = Runs::default();
    let target = target(&runs).await;
    let gateway = open(target.addr(), Vec::new(), Duration::ZERO).await;
    let front = gateway.front_addr();
    let late = Arc::new(Notify::new());
    let requests = ["/pay/2000", "/browse/2000"].map(|path| {
        let late = late.clone();
        tokio::spawn(async move {
            let mut stream = send(front, &head("POST", path, 9_000, 10)).await;
            stream.write_all(b"12345").await.expect("sent");
            late.notified().await;
            stream.write_all(b"67890").await.expect("sent");
            format!("{path}: {}", read_all(&mut stream).await)
        })
    });
    wait_for_requests(&gateway, 2).await;
    let stop = tokio::spawn(gateway.stop());
    sleep(Duration::from_secs(5)).await;
    late.notify_waiters();
    let mut lines = Vec::new();
    for request in requests {
        lines.push(request.await.expect("a request"));
    }
    stop.await.expect("a stop");
    lines.push(format!("the target ran {:?}", runs.lock().expect("paths")));
    insta::assert_snapshot!(lines.join("\n"), @r"
    /pay/2000: 503 stopping not-run
    /browse/2000: 503 stopping not-run
    the target ran []
    ");
}

/// Fails if the attempt that follows a rejection begins so late in a stop that
/// the process ends before the deadline of the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_further_attempt_begins_late_in_a_stop() {
    let rejecting = late::serve(|_| {
        let mut resp = Response::new(Body::empty());
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        resp.headers_mut()
            .insert("not-executed", HeaderValue::from_static("1"));
        (Duration::from_millis(4_500), resp)
    });
    let rejecting = rejecting.await;
    let runs = Runs::default();
    let second = target(&runs).await;
    let gateway = open(rejecting.addr(), Vec::new(), Duration::ZERO).await;
    let mut stream = send(gateway.front_addr(), &head("GET", "/pay/2000", 9_000, 0)).await;
    wait_for_requests(&gateway, 1).await;
    // The second target registers after the first has the request.
    sleep(Duration::from_millis(100)).await;
    let instance = registration("i-2", second.addr());
    let zones = gateway.state.settings().zones.clone();
    let service = instance.service.clone();
    gateway.state.pools.with(service, Default::default, |pool| {
        pool.put(Millis(0), instance, &zones)
    });
    gateway.stop().await;
    let answer = read_all(&mut stream).await;
    let runs = runs.lock().expect("paths");
    insta::assert_snapshot!(
        format!("{answer}, the second target ran {runs:?}"),
        @"503 stopping not-run, the second target ran []"
    );
}

/// Fails if a withdrawal that hangs delays the steps of a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hanging_withdrawal_does_not_delay_a_stop() {
    let target = target(&Runs::default()).await;
    let gateway = open(target.addr(), Vec::new(), Duration::from_secs(20)).await;
    // Without this pause the gateway may not have been announced.
    sleep(Duration::from_millis(300)).await;
    let front = gateway.front_addr();
    let began = Instant::now();
    let stop = tokio::spawn(gateway.stop());
    sleep_until(began + Duration::from_millis(4_200)).await;
    let connect = timeout(Duration::from_millis(500), TcpStream::connect(front)).await;
    let accepted = matches!(connect, Ok(Ok(_)));
    stop.await.expect("a stop");
    let in_time = began.elapsed() < GRACE_PERIOD.duration();
    insta::assert_snapshot!(
        format!("accepts after 70% of the grace period: {accepted}, ends in time: {in_time}"),
        @"accepts after 70% of the grace period: false, ends in time: true"
    );
}

/// Fails if the look-ups of a stopping gateway name the gateway itself, which
/// sends callers to it until it has read its own withdrawal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_does_not_name_itself() {
    let settings = vm::settings("edge-1");
    let presence = |name: &str, port| Presence {
        name: name.parse().expect("a name"),
        front: SocketAddr::new(vm::ANY_PORT.ip(), port),
        peer: None,
        link: settings.link,
        az: settings.az.clone(),
        region: settings.region.clone(),
    };
    let entries = vec![presence("edge-1", 7_999), presence("edge-2", 7_998)];
    let target = target(&Runs::default()).await;
    let gateway = open(target.addr(), entries, Duration::from_secs(3)).await;
    let directory = gateway.auxiliary_addrs().next().expect("a server");
    let state = gateway.state.clone();
    let mut lines = Vec::new();
    let mut stop = None;
    let mut gateway = Some(gateway);
    for phase in ["serving", "stopping"] {
        if phase == "stopping" {
            stop = gateway.take().map(|g| tokio::spawn(g.stop()));
            while !state.is_stopping() {
                tokio::task::yield_now().await;
            }
        }
        let text = "GET /resolve?name=k&region=north&zone=a-1 HTTP/1.1\r\nhost: x\r\n\
                    connection: close\r\n\r\n";
        let mut stream = send(directory, text).await;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        let body = answer.rsplit("\r\n\r\n").next().unwrap_or_default();
        lines.push(format!("{phase}: {body}"));
    }
    drop(stop);
    insta::assert_snapshot!(lines.join("\n"), @r#"
    serving: {"addresses":["127.0.0.1:7999","127.0.0.1:7998"],"ttl_s":1.0}
    stopping: {"addresses":["127.0.0.1:7998"],"ttl_s":1.0}
    "#);
}

/// Fails if a request whose own deadline passes during a stop is reported as
/// refused because of the stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_that_passes_during_a_stop_is_reported_as_such() {
    let target = target(&Runs::default()).await;
    let gateway = open(target.addr(), Vec::new(), Duration::ZERO).await;
    let front = gateway.front_addr();
    let stop = tokio::spawn(gateway.stop());
    sleep(Duration::from_millis(200)).await;
    let mut stream = send(front, &head("POST", "/pay/10", 1_000, 10)).await;
    let answer = read_all(&mut stream).await;
    stop.abort();
    insta::assert_snapshot!(answer, @"503 overloaded not-run");
}

/// Fails if a response that arrived before the deadline is replaced by a 504
/// because the process did not run at the deadline, as after a freeze or with a
/// used-up processor quota.
#[test]
fn a_response_that_arrives_during_a_pause_is_delivered() {
    const REQUESTS: usize = 40;
    // The target and the callers run on other threads.
    let outside = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let target = outside.block_on(target(&Runs::default()));
    let addr = target.addr();
    let mut lines = Vec::new();
    for stopping in [false, true] {
        let inside = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        inside.block_on(async {
            let gateway = open(addr, Vec::new(), Duration::ZERO).await;
            let front = gateway.front_addr();
            let call = || async move {
                let mut stream = send(front, &head("GET", "/pay/600", 3_000, 0)).await;
                let mut buf = vec![0; 4_096];
                let n = stream.read(&mut buf).await.expect("an answer");
                summary(&buf[..n])
            };
            let calls: Vec<_> = (0..REQUESTS).map(|_| outside.spawn(call())).collect();
            wait_for_requests(&gateway, REQUESTS as u64).await;
            sleep(Duration::from_millis(300)).await;
            let stop = stopping.then(|| tokio::spawn(gateway.stop()));
            sleep(Duration::from_millis(100)).await;
            // The answers arrive at the start of this pause, the deadlines pass at
            // its end.
            std::thread::sleep(Duration::from_secs(3));
            let mut counts = BTreeMap::new();
            for call in calls {
                *counts.entry(call.await.expect("a call")).or_insert(0) += 1;
            }
            drop(stop);
            lines.push(format!("stopping {stopping}: {counts:?}"));
        });
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    stopping false: {"200 - complete": 40}
    stopping true: {"200 - complete": 40}
    "#);
}

/// Fails if a streamed response that is cut at the end of the process looks
/// complete to its caller, or if it is cut before that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_response_is_cut_visibly() {
    let streaming = late::serve(|_| {
        let parts = futures::stream::unfold(0, |n| async move {
            if n > 0 {
                sleep(Duration::from_millis(500)).await;
            }
            let size = if n == 0 { 200_000 } else { 1_000 };
            let data = bytes::Bytes::from(vec![b'x'; size]);
            let frame = Ok::<_, std::convert::Infallible>(http_body::Frame::data(data));
            (n < 40).then_some((frame, n + 1))
        });
        let body = Body::from_body(http_body_util::StreamBody::new(parts));
        (Duration::ZERO, Response::new(body))
    });
    let streaming = streaming.await;
    let gateway = open(streaming.addr(), Vec::new(), Duration::ZERO).await;
    let front = gateway.front_addr();
    let mut stream = send(front, &head("GET", "/browse/1", 9_000, 0)).await;
    // The response has begun.
    let mut answer = vec![0; 1];
    stream.read_exact(&mut answer).await.expect("a response");
    let began = Instant::now();
    let stop = tokio::spawn(gateway.stop());
    let end = stream.read_to_end(&mut answer).await;
    let early = began.elapsed() < Duration::from_secs(5);
    stop.await.expect("a stop");
    let (end, complete) = (end.is_ok(), answer.ends_with(b"0\r\n\r\n"));
    insta::assert_snapshot!(
        format!("{}, closed {end}, complete {complete}, early {early}", summary(&answer)),
        @"200 - complete, closed true, complete false, early false"
    );
}
