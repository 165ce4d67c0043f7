//! Tests requests through a gateway to targets that announce that they are
//! leaving or that want a pause, by what the targets receive.

mod vm;

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::{BoxFuture, join_all, ready};
use savorybeam::{
    adapters::{
        clock,
        http::{self as web, PoolConfig},
    },
    app::gateway::Gateway,
    domain::{Instance, Millis, RequestKind, RouteRule, Slots, TargetId},
    ports::{Change, Outbound, Targets},
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::watch,
};

use self::vm::{
    caller,
    entry::{self, Updates},
    raw::{self, RawHead},
};

/// The number of callers in a burst.
const BURST: usize = 200;

/// After how many requests a target counts as getting none after a pause.
const REQUESTS_MAX: usize = 1_000;

/// A request as a target received it.
#[derive(Clone, Debug)]
struct Received {
    target: &'static str,
    /// The number of the connection at its target, from 1.
    connection: usize,
    at: Instant,
    id: String,
    /// The instance that was asked.
    instance: String,
}

/// The response of a target, and what it waits for.
struct Reply {
    text: String,
    wait: BoxFuture<'static, ()>,
}

/// Returns the response to the request with the given number at its target,
/// from 0.
type Script = Arc<dyn Fn(usize, &Received) -> Reply + Send + Sync>;

/// The requests that all targets have received, in order.
type Log = Arc<Mutex<Vec<Received>>>;

/// Returns a signed response with further header lines, each with its end.
fn answer(status: u16, id: &str, lines: &str) -> Reply {
    let head = format!("HTTP/1.1 {status} Status\r\nrequest-id: {id}\r\nserver-seal: seal\r\n");
    Reply {
        text: format!("{head}{lines}content-length: 2\r\n\r\nok"),
        wait: Box::pin(ready(())),
    }
}

/// Returns a refusal with further header lines, each with its end.
fn reject(id: &str, lines: &str) -> Reply {
    let head = format!("HTTP/1.1 503 Status\r\nrequest-id: {id}\r\nnot-executed: 1\r\n");
    Reply {
        text: format!("{head}{lines}content-length: 0\r\n\r\n"),
        wait: Box::pin(ready(())),
    }
}

/// Serves one request at a time on a connection. Closes it if a response is
/// shorter than its head says.
async fn serve(
    target: &'static str,
    connection: usize,
    stream: TcpStream,
    log: Log,
    script: Script,
) {
    let mut stream = BufReader::new(stream);
    while let Some(RawHead { id, instance, .. }) = raw::read_request(&mut stream).await {
        let received = Received {
            target,
            connection,
            at: Instant::now(),
            id,
            instance,
        };
        let number = {
            let mut log = log.lock().expect("a log");
            let number = log.iter().filter(|r| r.target == target).count();
            log.push(received.clone());
            number
        };
        let reply = script(number, &received);
        reply.wait.await;
        let written = stream.write_all(reply.text.as_bytes()).await;
        if written.is_err() || reply.text.contains("content-length: 9\r\n") {
            return;
        }
    }
}

/// Starts a target. It ends with the runtime.
async fn target(name: &'static str, log: &Log, script: &Script) -> SocketAddr {
    let (log, script) = (log.clone(), script.clone());
    raw::listen(move |connection, stream| {
        serve(name, connection, stream, log.clone(), script.clone())
    })
    .await
}

/// The response to a caller.
#[derive(Debug)]
struct Answer {
    /// The id of the request.
    id: String,
    status: u16,
    /// `of a target`, or the outcome of a refusal.
    outcome: String,
    /// The `retry-after` in seconds.
    retry_after: Option<f64>,
}

/// A gateway in front of targets that follow one script.
struct Fixture {
    gateway: Gateway,
    updates: Updates,
    addrs: Vec<SocketAddr>,
    log: Log,
    client: Targets,
    sent: std::sync::atomic::AtomicUsize,
}

impl Fixture {
    async fn open(names: &[&'static str], script: Script) -> Self {
        let log = Log::default();
        // No test is about the deadline, which a busy machine would exceed.
        let rules = vec![RouteRule {
            timeout: Millis(30_000),
            ..vm::rule(RequestKind::Idempotent, "/browse/")
        }];
        let mut changes = vec![vm::configured(3, rules)];
        let mut addrs = Vec::new();
        for name in names {
            let addr = target(name, &log, &script).await;
            changes.push(Change::Registered(vm::instance(name, addr)));
            addrs.push(addr);
        }
        let mut settings = vm::settings("edge-1");
        // A burst needs a connection for each caller, and the tests wait for
        // the next poll of the platform.
        settings.descriptors = 4_096;
        settings.bounds.drain_deadline = Millis(300);
        let updates = Updates::default();
        let config = PoolConfig {
            max_idle: 1_000,
            ..PoolConfig::default()
        };
        Self {
            gateway: entry::open_with_updates(settings, changes, &updates).await,
            updates,
            addrs,
            log,
            client: web::open(clock::open(), config),
            sent: 0.into(),
        }
    }

    /// Sends a request for an object of its own.
    async fn send(&self) -> Answer {
        let number = self.sent.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (id, key) = (format!("r-{number}"), number.to_string());
        let headers = [("request-id", id.as_str()), ("affinity-key", &key)];
        let request = caller::request("POST", "/browse/slots", &headers, "a slot");
        let front = TargetId(self.gateway.front_addr());
        // A burst may exceed the backlog of the listener, and then the kernel
        // connects only when it tries again after 1 s.
        let out = Outbound {
            connect_timeout: Millis(10_000),
            ..Outbound::new(front, request)
        };
        let resp = (self.client.send)(out).await.expect("an answer");
        let retry_after = resp.headers().get("retry-after");
        let retry_after = retry_after.map(|v| v.to_str().expect("text"));
        Answer {
            id,
            status: resp.status().as_u16(),
            outcome: caller::outcome(&resp).to_owned(),
            retry_after: retry_after.map(|t| t.parse().expect("seconds")),
        }
    }

    /// Sends requests at the same time.
    async fn send_burst(&self) {
        join_all((0..BURST).map(|_| self.send())).await;
    }

    /// Sends requests one after the other.
    async fn send_many(&self, count: usize) {
        for _ in 0..count {
            self.send().await;
        }
    }

    /// Sends requests, 10 ms apart, until the given instant.
    async fn send_until(&self, end: Instant) {
        while Instant::now() < end {
            self.send().await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn received(&self, target: &str) -> Vec<Received> {
        let log = self.log.lock().expect("a log");
        log.iter().filter(|r| r.target == target).cloned().collect()
    }

    /// Sends requests until the target has received one. Returns the number of
    /// requests that it has received.
    async fn reach(&self, target: &str) -> usize {
        for _ in 0..100 {
            if !self.received(target).is_empty() {
                break;
            }
            self.send().await;
        }
        self.received(target).len()
    }

    /// Registers a ready instance at the address of a target.
    async fn register(&self, id: &str, target: usize, seq: u64, started: u64) {
        let instance = Instance {
            slots: Slots(5),
            seq,
            started_at: Some(Millis(started)),
            ..vm::instance(id, self.addrs[target])
        };
        let changes = vec![Change::Registered(instance)];
        self.updates.apply(changes).await;
    }

    async fn unregister(&self, id: &str) {
        let id = id.parse().expect("a valid id");
        self.updates.apply(vec![Change::Unregistered(id)]).await;
    }
}

/// Returns a script by which `i-1` responds with `reply` and others serve.
fn first_target(reply: impl Fn(usize, &Received) -> Reply + Send + Sync + 'static) -> Script {
    Arc::new(move |number, received| match received.target {
        "i-1" => reply(number, received),
        _ => answer(200, &received.id, ""),
    })
}

/// Fails if a target gets a request after a response with its notice that it is
/// leaving, of any status, complete or not, while the registry still lists it as
/// ready and after the settings were reloaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_gets_no_more_requests() {
    const LEAVING: &str = "server-leaving: 1\r\n";
    let truncated = |id: &str| {
        let mut reply = answer(200, id, LEAVING);
        reply.text = reply.text.replace("content-length: 2", "content-length: 9");
        reply
    };
    let scripts = [
        ("200", first_target(|_, r| answer(200, &r.id, LEAVING))),
        ("404", first_target(|_, r| answer(404, &r.id, LEAVING))),
        ("500", first_target(|_, r| answer(500, &r.id, LEAVING))),
        ("503", first_target(|_, r| reject(&r.id, LEAVING))),
        ("truncated", first_target(move |_, r| truncated(&r.id))),
    ];
    let cases = scripts.map(|(name, script)| async move {
        let fixture = Fixture::open(&["i-1", "i-2"], script).await;
        let before = fixture.reach("i-1").await;
        fixture.send_many(40).await;
        fixture.register("i-1", 0, 2, 1).await;
        let state = &fixture.gateway.state;
        state.set_settings((*state.settings()).clone());
        // A target that failed a request is ejected for at most 0.8 s.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fixture.send_many(40).await;
        let after = fixture.received("i-1").len() - before;
        format!("{name}: {after} after")
    });
    insta::assert_snapshot!(join_all(cases).await.join("\n"), @r"
    200: 0 after
    404: 0 after
    500: 0 after
    503: 0 after
    truncated: 0 after
    ");
}

/// Fails if the notice of an instance withholds another one: an instance that
/// has got its address, or a later start of its id. Fails as well if a late
/// registration brings the leaving instance back, or if another instance is
/// sent a request on a connection of the leaving one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_notice_holds_for_one_instance() {
    let script = first_target(|number, received| {
        let lines = ["", "server-leaving: 1\r\n"][usize::from(number == 0)];
        answer(200, &received.id, lines)
    });
    let fixture = Fixture::open(&["i-1", "i-2"], script).await;
    let mut lines = Vec::new();
    let mut seen = 0;
    let mut step = async |name: &str| {
        fixture.send_many(40).await;
        let all = fixture.received("i-1");
        let received = &all[seen..];
        seen = all.len();
        let mut instances: Vec<_> = received.iter().map(|r| r.instance.clone()).collect();
        instances.dedup();
        // The leaving instance has connection 1. A response reaches its caller before
        // its connection is in the pool, so the next request may open one more.
        let mut first: Vec<_> = received.iter().map(|r| r.connection == 1).collect();
        first.dedup();
        lines.push(format!("{name}: {instances:?}, on connection 1: {first:?}"));
    };
    step("leaving").await;
    fixture.unregister("i-1").await;
    fixture.register("i-1", 0, 3, 1).await;
    step("late registration").await;
    fixture.register("i-9", 0, 1, 5).await;
    step("another instance").await;
    fixture.unregister("i-9").await;
    fixture.register("i-1", 0, 1, 2).await;
    step("later start").await;
    insta::assert_snapshot!(lines.join("\n"), @r#"
    leaving: ["i-1"], on connection 1: [true]
    late registration: [], on connection 1: []
    another instance: ["i-9"], on connection 1: [false]
    later start: ["i-1"], on connection 1: [false]
    "#);
}

/// Makes targets hold their responses in the test of a pause, so that their order
/// doesn't depend on the speed of the machine: none responds before the whole burst
/// has arrived, each refusal of `i-1` waits until the gateway has sent the request
/// that was refused before it to `i-2` or refused it itself, and whoever else was sent a request responds
/// after all of that.
#[derive(Clone, Default)]
struct Order {
    progress: Arc<watch::Sender<Progress>>,
}

/// What has become of the requests of a burst.
#[derive(Default)]
struct Progress {
    /// The ids of the requests that have arrived anywhere.
    arrived: BTreeSet<String>,
    /// The ids of those that have arrived at `i-2` or whose callers have an answer.
    handled: BTreeSet<String>,
    /// The ids of those that `i-1` refuses, in order.
    refused: Vec<String>,
    /// The number of callers with an answer. Before the first response of a target,
    /// the gateway has refused them.
    answered: usize,
}

impl Progress {
    /// Returns whether the whole burst has arrived or was refused, and the first
    /// `refusals` of `i-1` have been handled.
    fn is_past(&self, refusals: usize) -> bool {
        let mut earlier = self.refused.iter().take(refusals);
        self.arrived.len() + self.answered >= BURST && earlier.all(|id| self.handled.contains(id))
    }
}

impl Order {
    /// Returns what the response to a request waits for. `refusals` is the number of
    /// requests that `i-1` refuses.
    fn response(&self, refusals: usize, received: &Received) -> BoxFuture<'static, ()> {
        let id = &received.id;
        let mut earlier = Some(refusals);
        self.progress.send_modify(|p| {
            p.arrived.insert(id.clone());
            if received.target != "i-1" {
                p.handled.insert(id.clone());
                // A refused request that is sent again goes on.
                earlier = earlier.filter(|_| !p.refused.contains(id));
            } else if p.refused.len() < refusals {
                earlier = Some(p.refused.len());
                p.refused.push(id.clone());
            }
        });
        let mut progress = self.progress.subscribe();
        Box::pin(async move {
            if let Some(earlier) = earlier {
                drop(progress.wait_for(|p| p.is_past(earlier)).await);
            }
        })
    }
}

/// Sends a burst at the start of a pause and one shortly before its end. The
/// target refuses its first requests with the given values of `retry-after`, and
/// serves the others. Returns whether it received a request of the time after the
/// first burst before the end of the pause, or a refused one once more, and whether
/// it received some afterwards.
async fn pause(values: &'static [&'static str]) -> String {
    let order = Order::default();
    let arrivals = order.clone();
    let script = Arc::new(move |number: usize, received: &Received| {
        let lines = values.get(number).filter(|_| received.target == "i-1");
        let mut reply = match lines {
            Some(value) => reject(&received.id, &format!("retry-after: {value}\r\n")),
            None => answer(200, &received.id, ""),
        };
        reply.wait = arrivals.response(values.len(), received);
        reply
    });
    let fixture = Fixture::open(&["i-1", "i-2"], script).await;
    join_all((0..BURST).map(|_| async {
        let id = fixture.send().await.id;
        order.progress.send_modify(|p| {
            p.answered += 1;
            p.handled.insert(id);
        });
    }))
    .await;
    let first = fixture.received("i-1");
    assert!(first.len() > values.len(), "the burst meets all refusals");
    let requested = first.iter().zip(values);
    let ends = requested.map(|(r, value)| {
        let seconds = value.parse().expect("seconds");
        r.at + Duration::from_secs_f64(seconds)
    });
    // The refusals follow the arrival of the requests, so that no pause ends earlier.
    let end = ends.max().expect("a pause");
    let before_end = end.checked_sub(Duration::from_millis(50));
    fixture.send_until(before_end.expect("an instant")).await;
    fixture.send_burst().await;
    fixture.send_until(end).await;
    let is_later = || fixture.received("i-1").iter().any(|r| r.at >= end);
    for _ in 0..REQUESTS_MAX {
        if is_later() {
            break;
        }
        fixture.send().await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let received = fixture.received("i-1");
    let refused = &first[..values.len()];
    let is_known = |r: &&Received| first.iter().any(|f| f.id == r.id);
    let new = received.iter().filter(|r| !is_known(r));
    let during = new.filter(|r| r.at < end).count();
    let again = received[values.len()..].iter();
    let again = again
        .filter(|r| refused.iter().any(|f| f.id == r.id))
        .count();
    let (values, later) = (values.join(", "), is_later());
    format!("{values}: {during} during the pause, {again} again, later: {later}")
}

/// Fails if a target that asked for a pause gets requests before its end, also
/// if it names a shorter one or serves a request meanwhile, or if it gets none
/// afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_target_gets_no_requests_until_the_end() {
    let cases: [&[&str]; 6] = [&["0"], &["1"], &["1.5"], &["5"], &["1", "3"], &["3", "1"]];
    let mut lines = Vec::new();
    for values in cases {
        lines.push(pause(values).await);
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    0: 0 during the pause, 0 again, later: true
    1: 0 during the pause, 0 again, later: true
    1.5: 0 during the pause, 0 again, later: true
    5: 0 during the pause, 0 again, later: true
    1, 3: 0 during the pause, 0 again, later: true
    3, 1: 0 during the pause, 0 again, later: true
    ");
}

/// Fails if a request for which all targets are paused reaches one of them, if
/// it is not refused as not run until the pause ends, or if that is not
/// counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_while_all_targets_are_paused() {
    const PAUSE: Duration = Duration::from_secs(30);
    // Callers are spread over this time after a pause.
    const RAMP: Duration = Duration::from_secs(2);
    // Milliseconds are whole, and the header may be rounded up to them.
    const ROUNDING: f64 = 0.002;
    let script: Script = Arc::new(|_, received| reject(&received.id, "retry-after: 30\r\n"));
    let fixture = Fixture::open(&["i-1", "i-2"], script).await;
    // Both targets have refused a request after its second attempt, so that both pauses
    // start while the first request is under way.
    let started = Instant::now();
    let mut answered = None;
    let mut lines = Vec::new();
    for _ in 0..3 {
        let sent = Instant::now();
        let answer = fixture.send().await;
        let count = fixture.log.lock().expect("a log").len();
        let answered = *answered.get_or_insert_with(Instant::now);
        let passed = sent.saturating_duration_since(answered);
        let longest = (PAUSE + RAMP).saturating_sub(passed);
        let shortest = PAUSE.saturating_sub(started.elapsed());
        let waits = answer.retry_after.is_some_and(|s| {
            (shortest.as_secs_f64()..=longest.as_secs_f64() + ROUNDING).contains(&s)
        });
        let Answer {
            status, outcome, ..
        } = answer;
        lines.push(format!(
            "{status} {outcome}, {count} received, waits for the end: {waits}"
        ));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let metrics = fixture.gateway.state.ports.metrics.encode();
    let counted = metrics
        .lines()
        .filter(|l| l.starts_with("savorybeam_withheld"));
    lines.extend(counted.map(str::to_owned));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    503 not-run, 2 received, waits for the end: true
    503 not-run, 2 received, waits for the end: true
    503 not-run, 2 received, waits for the end: true
    savorybeam_withheld_attempts_total{service="slots",reason="paused"} 2
    "#);
}

/// Fails if the end of a pause brings a leaving target back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_stays_withheld_after_a_pause() {
    let script =
        first_target(|_, received| reject(&received.id, "server-leaving: 1\r\nretry-after: 1\r\n"));
    let fixture = Fixture::open(&["i-1", "i-2"], script).await;
    let before = fixture.reach("i-1").await;
    fixture
        .send_until(Instant::now() + Duration::from_millis(3_500))
        .await;
    let after = fixture.received("i-1").len() - before;
    assert_eq!(after, 0);
}

/// Fails if a 503 with `retry-after` alone counts as a promise that the request
/// has not run, or if it starts no pause because it gives no such promise.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pause_does_not_say_that_a_request_has_not_run() {
    let script: Script = Arc::new(|_, r| answer(503, &r.id, "retry-after: 30\r\n"));
    let fixture = Fixture::open(&["i-1"], script).await;
    let mut lines = Vec::new();
    for _ in 0..2 {
        let Answer {
            status, outcome, ..
        } = fixture.send().await;
        let count = fixture.received("i-1").len();
        lines.push(format!("{status} {outcome}, {count} received"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    502 unknown, 1 received
    503 not-run, 1 received
    ");
}

/// The target of the test of the log, which other tests do not use.
const LOGGED: &str = "i-logged";

/// Collects the lines of the log about [`LOGGED`].
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    /// Returns the lines of notices, without the number of the request.
    fn notices(&self) -> Vec<String> {
        const KINDS: [&str; 3] = ["target is leaving.", "target paused.", " pause "];
        let text = String::from_utf8(self.0.lock().expect("a log").clone()).expect("text");
        let notices = text.lines().filter(|l| KINDS.iter().any(|k| l.contains(k)));
        let id = |c: char| c.is_ascii_digit();
        notices
            .map(|l| match l.split_once("request=\"r-") {
                Some((before, after)) => {
                    format!("{before}request=\"r{}", after.trim_start_matches(id))
                }
                None => l.to_owned(),
            })
            .collect()
    }
}

impl io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes);
        if text.contains(LOGGED) {
            self.0.lock().expect("a log").extend(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails if a mark or a change of a pause is not logged, or more than once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_of_a_notice_is_logged_once() {
    const VALUES: [&str; 4] = ["1", "2", "0.1", "soon"];
    let log = LogLines::default();
    let writer = log.clone();
    // A default of one thread would miss events that another test logged first.
    let subscriber = tracing_subscriber::fmt()
        .without_time()
        .with_ansi(false)
        .with_target(false)
        .with_writer(move || writer.clone());
    tracing::subscriber::set_global_default(subscriber.finish()).expect("the only subscriber");
    // The target holds its refusals until it has received all of them, since none
    // follows the first pause, and sends each one after the gateway has handled the
    // one before it.
    let (progress, seen) = watch::channel((0, 0));
    let progress = Arc::new(progress);
    let arrivals = progress.clone();
    let script: Script = Arc::new(move |number, received: &Received| {
        let Some(value) = VALUES.get(number) else {
            return answer(200, &received.id, "server-leaving: 1\r\n");
        };
        arrivals.send_modify(|(arrived, _)| *arrived += 1);
        let mut seen = seen.clone();
        let is_due = move |p: &(usize, usize)| *p == (VALUES.len(), number);
        let mut reply = reject(&received.id, &format!("retry-after: {value}\r\n"));
        reply.wait = Box::pin(async move { drop(seen.wait_for(is_due).await) });
        reply
    });
    let fixture = Fixture::open(&[LOGGED], script).await;
    join_all(VALUES.map(|_| async {
        fixture.send().await;
        progress.send_modify(|(_, answered)| *answered += 1);
    }))
    .await;
    while !log.notices().iter().any(|l| l.contains("target ended.")) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while fixture.send().await.status != 200 {}
    fixture.send().await;
    insta::assert_snapshot!(log.notices().join("\n"), @r#"
    INFO gateway: target paused. service=slots target=i-logged request="r" pause_ms=1000
    INFO gateway: pause of target extended. service=slots target=i-logged request="r" pause_ms=2000
    WARN gateway: unreadable pause ignored. service=slots target=i-logged request="r" value="soon"
    INFO gateway: pause of target ended. service=slots target=i-logged
    INFO gateway: target is leaving. service=slots target=i-logged request="r"
    "#);
}
