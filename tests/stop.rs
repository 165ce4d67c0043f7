//! Tests what callers get whose requests arrive at a gateway, or run there,
//! while it stops, with real loopback connections and a grace period of 6 s.

mod vm;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use savorybeam::{adapters::http::Server, app::gateway::Gateway, domain::Millis, ports::Change};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use vm::late;

/// The time within which a stopped process must have ended.
const GRACE_PERIOD: Millis = Millis(6_000);

/// A gateway in front of one target, whose stop has begun.
struct Stop {
    front: SocketAddr,
    began: Instant,
    task: JoinHandle<()>,
    _target: Server,
}

/// Starts a gateway and one target.
async fn open() -> (Gateway, Server) {
    let target = late::serve_paths(|_| ()).await;
    let changes = vec![
        vm::configured(1, late::rules()),
        Change::Registered(vm::instance("i-1", target.addr())),
    ];
    let mut settings = vm::settings("edge-1");
    settings.bounds.grace_period = GRACE_PERIOD;
    let gateway = vm::entry::open(settings, changes, Millis(0)).await;
    (gateway, target)
}

impl Stop {
    /// Begins to stop a gateway.
    async fn begin((gateway, target): (Gateway, Server)) -> Self {
        let front = gateway.front_addr();
        let state = Arc::clone(&gateway.state);
        let began = Instant::now();
        let task = tokio::spawn(gateway.stop());
        while !state.is_stopping() {
            tokio::task::yield_now().await;
        }
        Self {
            front,
            began,
            task,
            _target: target,
        }
    }

    /// Connects, waits until the given time after the beginning of the stop,
    /// and sends a request.
    fn send(&self, at_ms: u64, path: &'static str, limit_ms: u64) -> JoinHandle<String> {
        let (front, at) = (self.front, self.began + Duration::from_millis(at_ms));
        tokio::spawn(async move {
            let stream = TcpStream::connect(front).await.expect("a connection");
            sleep_until(at).await;
            let answer = exchange(stream, path, limit_ms).await;
            format!("{at_ms} ms: {path}, limit {limit_ms} ms: {answer}")
        })
    }

    async fn end(self, requests: Vec<JoinHandle<String>>) -> String {
        self.task.await.expect("a stop");
        let ended_in_time = self.began.elapsed() < GRACE_PERIOD.duration();
        let mut lines = Vec::new();
        for request in requests {
            lines.push(request.await.expect("a request"));
        }
        lines.push(format!("ended within the grace period: {ended_in_time}"));
        lines.join("\n")
    }
}

/// Sends a request and returns the status, the outcome of a refusal and
/// whether the connection is to be closed.
async fn exchange(mut stream: TcpStream, path: &str, limit_ms: u64) -> String {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: kitchens.example\r\nrequest-id: r-1\r\n\
         deadline-ms: {limit_ms}\r\n\r\n"
    );
    let mut answer = Vec::new();
    let read = async {
        stream.write_all(head.as_bytes()).await?;
        stream.read_to_end(&mut answer).await
    };
    if let Err(e) = read.await {
        return format!("{:?} after {} bytes", e.kind(), answer.len());
    }
    if answer.is_empty() {
        return "closed without an answer".to_owned();
    }
    let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let status = answer.split(' ').nth(1).unwrap_or_default();
    let header = |name: &str| {
        let mut lines = answer.lines();
        lines.find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    };
    let outcome = header("x-savorybeam-outcome").unwrap_or("complete");
    let connection = header("connection").unwrap_or("kept");
    format!("{status} {outcome}, connection {connection}")
}

/// Fails if a stopping gateway takes a request that it may have to give up
/// when the process ends, instead of refusing it as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_outlast_the_process_is_refused() {
    let stop = Stop::begin(open().await).await;
    let requests = vec![
        stop.send(200, "/pay/20000", 8_000),
        stop.send(1_000, "/browse/20000", 8_000),
        stop.send(3_000, "/pay/20000", 8_000),
        // The listener is closed by then, but the connection is open.
        stop.send(3_700, "/browse/20000", 8_000),
    ];
    insta::assert_snapshot!(stop.end(requests).await);
}

/// Fails if a stopping gateway refuses a request whose time limit lies before
/// the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_cannot_outlast_the_process_is_served() {
    let stop = Stop::begin(open().await).await;
    let requests = vec![
        stop.send(200, "/pay/300", 2_000),
        stop.send(1_000, "/browse/300", 2_000),
        stop.send(3_700, "/pay/20000", 1_000),
    ];
    insta::assert_snapshot!(stop.end(requests).await);
}

/// Fails if a request that runs when the stop begins is cut before the end of
/// the process, or ends there without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_runs_at_the_stop_gets_a_final_answer() {
    let (gateway, target) = open().await;
    let front = gateway.front_addr();
    let mut requests = Vec::new();
    for path in ["/pay/4000", "/pay/20000", "/browse/20000"] {
        requests.push(tokio::spawn(async move {
            let stream = TcpStream::connect(front).await.expect("a connection");
            let answer = exchange(stream, path, 8_000).await;
            format!("before the stop: {path}: {answer}")
        }));
    }
    while gateway.state.running() < 3 {
        sleep(Duration::from_millis(5)).await;
    }
    let stop = Stop::begin((gateway, target)).await;
    insta::assert_snapshot!(stop.end(requests).await);
}
