//! Tests gateways against requests that crash the targets that run them. A caller that
//! repeats such a request at several entries must not take down the service, and a
//! request whose connection breaks for another reason must not be blocked.

mod platform_store;
mod vm;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use savorybeam::app::gateway::Gateway;
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
};

use platform_store::{PlatformStore, fleet};
use vm::{
    caller,
    entry::{stop_all, wait_until},
    raw,
};

/// The number of targets. More than two are needed to see that the others are spared.
const TARGETS: u16 = 6;

/// What the targets have received, shared by all of them.
#[derive(Default)]
struct Received {
    /// The number of targets that have crashed.
    crashed: AtomicUsize,
    /// The paths of all requests, in order.
    paths: Mutex<Vec<String>>,
}

impl Received {
    fn count(&self, path: &str) -> usize {
        let paths = self.paths.lock().expect("paths");
        paths.iter().filter(|p| *p == path).count()
    }
}

/// Starts a target and returns its address. A request whose path ends with `crash` ends
/// the target: its listener and all its connections close. One that ends with `twice` does
/// so from the third one on, one that ends with `first-two` until then, and one that ends with `reset` closes its own connection only.
async fn start_target(received: Arc<Received>) -> SocketAddr {
    let listener = TcpListener::bind(vm::ANY_PORT).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let crash = Arc::new(Notify::new());
        let mut running = JoinSet::new();
        loop {
            tokio::select! {
                stream = listener.accept() => {
                    let (stream, _) = stream.expect("a connection");
                    running.spawn(serve(stream, received.clone(), crash.clone()));
                }
                () = crash.notified() => break,
            }
        }
        received.crashed.fetch_add(1, SeqCst);
    });
    addr
}

async fn serve(stream: TcpStream, received: Arc<Received>, crash: Arc<Notify>) {
    let mut stream = BufReader::new(stream);
    while let Some(head) = raw::read_request(&mut stream).await {
        received
            .paths
            .lock()
            .expect("paths")
            .push(head.path.clone());
        if head.path.ends_with("reset") {
            return;
        }
        let count = received.count(&head.path);
        let crashes = head.path.ends_with("crash")
            || (head.path.ends_with("first-two") && count <= 2)
            || (head.path.ends_with("twice") && count > 2);
        if crashes {
            crash.notify_one();
            std::future::pending::<()>().await;
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-seal: seal\r\ncontent-length: 2\r\n\r\nok",
            head.id
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Entries that know each other, in front of targets.
struct Fixture {
    entries: Vec<Gateway>,
    received: Arc<Received>,
}

impl Fixture {
    async fn open(entries: usize) -> Self {
        let received = Arc::<Received>::default();
        let store = PlatformStore::with_era("1");
        fleet::configure(&store, 1);
        for n in 1..=TARGETS {
            let addr = start_target(received.clone()).await;
            let registration = format!(
                r#"{{"service":"slots","address":"{addr}","zone":"a-1","version":"v1","slots":4,
                    "state":"ready","cold_left_s":0,"seq":1,"born":1}}"#
            );
            store.put(&format!("servers/i-{n}"), &registration);
        }
        let entries = fleet::start_all(&store, entries).await;
        Self { entries, received }
    }

    /// Waits until all entries suspect and block the given numbers of requests.
    async fn wait_for_counts(&self, expected: (usize, usize)) {
        wait_until("the strikes are known", || {
            let mut entries = self.entries.iter();
            entries.all(|entry| entry.state.crash_counts() == expected)
        })
        .await;
    }

    /// Sends a request to an entry on a connection of its own. Returns the status and the
    /// outcome that the caller is told.
    async fn send(&self, entry: usize, id: &str, path: &str) -> String {
        let request = caller::request("GET", path, &[("request-id", id)], "");
        let addr = self.entries[entry].front_addr();
        let resp = caller::send(&caller::client(), addr, request).await;
        format!("{} {}", resp.status().as_u16(), caller::outcome(&resp))
    }
}

/// Fails if a request that crashes targets is sent to more of them each time its caller
/// repeats it, at the same entry or at another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_is_blocked_at_all_entries() {
    let fixture = Fixture::open(3).await;
    let mut lines = Vec::new();
    for n in 0..6 {
        let (entry, id) = (n % 3, format!("r-{n}"));
        let answer = fixture.send(entry, &id, "/browse/crash").await;
        lines.push(format!("entry {entry}: {answer}"));
        fixture.wait_for_counts((1, usize::from(n > 0))).await;
    }
    let others = fixture.send(1, "r-3", "/browse/other").await;
    lines.push(format!("another request: {others}"));
    let crashed = fixture.received.crashed.load(SeqCst);
    stop_all(fixture.entries).await;
    lines.push(format!("{crashed} targets crashed"));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a request is blocked that met two targets as they crashed for another reason: it
/// has to crash a third one when it runs alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_in_one_request_are_one_strike() {
    let fixture = Fixture::open(2).await;
    let mut lines = Vec::new();
    for (entry, id) in [(0, "r-0"), (1, "r-1"), (0, "r-2")] {
        lines.push(fixture.send(entry, id, "/browse/crash-first-two").await);
        fixture.wait_for_counts((1, 0)).await;
    }
    let crashed = fixture.received.crashed.load(SeqCst);
    stop_all(fixture.entries).await;
    lines.push(format!("{crashed} targets crashed"));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a request is blocked because connections to sound targets broke: targets reset
/// connections beyond their limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reset_by_a_sound_target_is_no_strike() {
    let fixture = Fixture::open(1).await;
    let mut answers = Vec::new();
    for n in 0..4 {
        let id = format!("r-{n}");
        answers.push(fixture.send(0, &id, "/browse/reset").await);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let count = fixture.received.count("/browse/reset");
    stop_all(fixture.entries).await;
    insta::assert_snapshot!(format!(
        "{}\nsent to targets {count} times",
        answers.join("\n")
    ));
}

/// Fails if an earlier success protects a request for good that crashes each target now.
/// It takes one trial more than a request that never ran well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_targets_later_is_blocked() {
    let fixture = Fixture::open(1).await;
    let mut lines = Vec::new();
    for n in 0..6_usize {
        let id = format!("r-{n}");
        lines.push(fixture.send(0, &id, "/browse/well-twice").await);
        let counts = [(0, 0), (0, 0), (1, 0), (1, 1), (1, 1)];
        if let Some(expected) = counts.get(n) {
            fixture.wait_for_counts(*expected).await;
        }
    }
    let crashed = fixture.received.crashed.load(SeqCst);
    stop_all(fixture.entries).await;
    lines.push(format!("{crashed} targets crashed"));
    insta::assert_snapshot!(lines.join("\n"));
}
