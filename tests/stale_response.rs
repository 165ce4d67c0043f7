//! Tests requests through a gateway and through an entry to faulty targets that
//! write a response which does not belong to the request on that connection.

mod harness;
mod vm;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use savorybeam::{
    app::gateway::Gateway,
    domain::Millis,
    ports::{Change, Targets},
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
};

use self::vm::{
    caller,
    raw::{self, RawHead},
};

/// How long a target that rejected a request gets no other, with a margin.
const BACKOFF: Duration = Duration::from_millis(1_200);

/// A request as a target received it.
#[derive(Clone, Debug)]
struct Received {
    target: &'static str,
    /// The number of the connection at its target, from 1.
    connection: usize,
    path: String,
    /// The request id, empty if there is none.
    id: String,
}

/// What a target writes in response to a request. Parts that are separate
/// entries are written 50 ms apart.
type Script = Arc<dyn Fn(&[Received], &Received) -> Vec<String> + Send + Sync>;

/// The requests that all targets have received, in order.
type Log = Arc<Mutex<Vec<Received>>>;

/// Returns a response with the given id, signed unless it is a refusal.
fn response(status: u16, id: &str, refused: bool) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("request-id: {id}\r\n"),
    };
    let mark = if refused {
        "not-executed: 1\r\nretry-after: 0.1"
    } else {
        "server-seal: seal"
    };
    format!("HTTP/1.1 {status} Status\r\n{id}{mark}\r\ncontent-length: 2\r\n\r\nok")
}

/// Serves one request at a time on a connection, as the script says.
async fn serve(
    target: &'static str,
    connection: usize,
    stream: TcpStream,
    log: Log,
    script: Script,
) {
    let mut stream = BufReader::new(stream);
    let mut earlier = Vec::new();
    while let Some(RawHead { path, id, .. }) = raw::read_request(&mut stream).await {
        let received = Received {
            target,
            connection,
            path,
            id,
        };
        log.lock().expect("a log").push(received.clone());
        for (n, part) in script(&earlier, &received).into_iter().enumerate() {
            if n > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if stream.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
        earlier.push(received);
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

/// A gateway in front of targets that follow one script.
struct Fixture {
    gateway: Gateway,
    log: Log,
    client: Targets,
}

impl Fixture {
    /// Returns the connections on which the requests for a path arrived.
    fn connections(&self, path: &str) -> Vec<usize> {
        let log = self.log.lock().expect("a log");
        let received = log.iter().filter(|r| r.path == path);
        received.map(|r| r.connection).collect()
    }

    async fn open(names: &[&'static str], script: Script) -> Self {
        let log = Log::default();
        let mut changes = vec![vm::configured(3, vm::browse_and_pay())];
        for name in names {
            let addr = target(name, &log, &script).await;
            changes.push(Change::Registered(vm::instance(name, addr)));
        }
        Self {
            gateway: vm::entry::open(vm::settings("edge-1"), changes, Millis(0)).await,
            log,
            client: caller::client(),
        }
    }

    /// Sends a request. Returns the status and the outcome that the caller got
    /// and how often which number of targets received the request.
    async fn send(&self, path: &str, id: &str) -> String {
        let headers = [("affinity-key", "17"), ("request-id", id)];
        let headers = &headers[..=usize::from(!id.is_empty())];
        let request = caller::request("POST", path, headers, "a slot");
        let resp = caller::send(&self.client, self.gateway.front_addr(), request).await;
        let outcome = caller::outcome(&resp);
        let log = self.log.lock().expect("a log");
        let received = log.iter().filter(|r| r.path == path && r.id == id);
        let mut names: Vec<_> = received.map(|r| r.target).collect();
        let count = names.len();
        names.sort_unstable();
        names.dedup();
        format!(
            "{path}: {} {outcome}, received {count} times by {} targets",
            resp.status().as_u16(),
            names.len()
        )
    }
}

/// Returns a script that responds to `/pay/first` with the given text first, and
/// to each request with its own response.
fn prepend(text: impl Into<String>) -> Script {
    let text = text.into();
    Arc::new(move |_, received| {
        let own = response(200, &received.id, false);
        match received.path.as_str() {
            "/pay/first" => vec![text.clone(), own],
            _ => vec![own],
        }
    })
}

/// Rejects requests to `/pay/full` with 503. Writes a refusal of that request
/// once more, with the given status, when the next request arrives on the same
/// connection, and then the response to that request, which it runs.
fn repeat_refusal(status: u16) -> Script {
    Arc::new(move |earlier, received| {
        if received.path == "/pay/full" {
            return vec![response(503, &received.id, true)];
        }
        let refused = earlier.iter().filter(|r| r.path == "/pay/full");
        let repeated = refused.map(|r| response(status, &r.id, true)).take(1);
        repeated
            .chain([response(200, &received.id, false)])
            .collect()
    })
}

/// Fails if the refusal of an earlier request counts as the refusal of the
/// request that a target runs: then a caller is told `not-run`, or the request
/// runs at a second target too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_refusal_does_not_refuse_the_next_request() {
    let cases = [503, 429, 421].map(|status| async move {
        let fixture = Fixture::open(&["i-1", "i-2"], repeat_refusal(status)).await;
        let refused = fixture.send("/pay/full", "a").await;
        tokio::time::sleep(BACKOFF).await;
        let next = fixture.send("/pay/next", "b").await;
        format!("{status}\n{refused}\n{next}")
    });
    insta::assert_snapshot!(join_all(cases).await.join("\n"), @r"
    503
    /pay/full: 503 not-run, received 2 times by 2 targets
    /pay/next: 502 unknown, received 1 times by 1 targets
    429
    /pay/full: 503 not-run, received 2 times by 2 targets
    /pay/next: 502 unknown, received 1 times by 1 targets
    421
    /pay/full: 503 not-run, received 2 times by 2 targets
    /pay/next: 502 unknown, received 1 times by 1 targets
    ");
}

/// Fails if a connection is used again after a response on it that is not a
/// valid response to its request. The response to that request may still arrive
/// and would be read as the response to the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_with_an_invalid_response_is_not_reused() {
    let cases = [
        ("another id", response(200, "z", false)),
        ("refusal of another", response(503, "z", true)),
        ("no id", response(200, "", false)),
        (
            "no signature",
            response(200, "a", false).replace("seal", "x"),
        ),
    ];
    let results = cases.map(|(name, text)| async move {
        let fixture = Fixture::open(&["i-1"], prepend(text)).await;
        let first = fixture.send("/pay/first", "a").await;
        let next = fixture.send("/pay/next", "b").await;
        let connections = fixture.connections("/pay/next");
        format!("{name}\n{first}\n{next}, connection {connections:?}")
    });
    insta::assert_snapshot!(join_all(results).await.join("\n"), @r"
    another id
    /pay/first: 502 unknown, received 1 times by 1 targets
    /pay/next: 200 of a target, received 1 times by 1 targets, connection [2]
    refusal of another
    /pay/first: 502 unknown, received 1 times by 1 targets
    /pay/next: 200 of a target, received 1 times by 1 targets, connection [2]
    no id
    /pay/first: 502 unknown, received 1 times by 1 targets
    /pay/next: 200 of a target, received 1 times by 1 targets, connection [2]
    no signature
    /pay/first: 502 unknown, received 1 times by 1 targets
    /pay/next: 200 of a target, received 1 times by 1 targets, connection [2]
    ");
}

/// Fails if a request without an id gets a response that may belong to an
/// earlier request: without an id, only a connection that has carried no other
/// request shows which response is its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_refusal_without_an_id_refuses_no_other_request() {
    let cases = ["", "b"].map(|id| async move {
        let fixture = Fixture::open(&["i-1", "i-2"], repeat_refusal(503)).await;
        let refused = fixture.send("/pay/full", "").await;
        tokio::time::sleep(BACKOFF).await;
        let next = fixture.send("/pay/next", id).await;
        format!("next id {id:?}\n{refused}\n{next}")
    });
    insta::assert_snapshot!(join_all(cases).await.join("\n"), @r#"
    next id ""
    /pay/full: 503 not-run, received 2 times by 2 targets
    /pay/next: 200 of a target, received 1 times by 1 targets
    next id "b"
    /pay/full: 503 not-run, received 2 times by 2 targets
    /pay/next: 502 unknown, received 1 times by 1 targets
    "#);
}

/// Responds to `/pay/first` with 421, as another instance does that has taken
/// over the address. Writes that once more when the next request arrives on the
/// same connection, and then the response to that request, which it runs.
fn repeat_misdirection() -> Script {
    Arc::new(move |earlier, received| {
        if received.path == "/pay/first" {
            return vec![response(421, &received.id, false)];
        }
        let misdirected = earlier.iter().map(|r| response(421, &r.id, false));
        let own = response(200, &received.id, false);
        misdirected.take(1).chain([own]).collect()
    })
}

/// Fails if a connection is used again after another instance has answered on
/// it. After a restart, the old and the new instance of a target are registered
/// with one address for some seconds, and both may get an attempt of one
/// request. The attempts have the same id, so that the repeated 421 of the first
/// one counts as that of the second one, which runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_to_another_instance_is_not_reused() {
    let fixture = Fixture::open(&["i-1"], repeat_misdirection()).await;
    let first = fixture.send("/pay/first", "a").await;
    tokio::time::sleep(BACKOFF).await;
    let second = fixture.send("/pay/second", "a").await;
    let connections = fixture.connections("/pay/second");
    insta::assert_snapshot!(format!("{first}\n{second}, connections {connections:?}"), @r"
    /pay/first: 503 not-run, received 1 times by 1 targets
    /pay/second: 200 of a target, received 1 times by 1 targets, connections [2]
    ");
}

/// Sheds requests to `/full`, as the targets of an entry do. Writes that
/// response once more when the next request arrives on the same connection,
/// other than a health check.
fn repeat_shed() -> Script {
    const SHED: &str = "HTTP/1.1 503 Status\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n";
    Arc::new(|earlier, received| {
        if received.path == "/full" {
            return vec![SHED.to_owned()];
        }
        let shed = earlier.iter().filter(|r| r.path == "/full");
        let repeats = usize::from(received.path.starts_with("/next"));
        let repeated = shed.map(|_| SHED.to_owned()).take(repeats);
        repeated.chain([response(200, "", false)]).collect()
    })
}

/// Fails if an entry takes the repeated response of a target that shed an
/// earlier request for the response to the next one: that request then runs at
/// two targets, also under an idempotency key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_shed_does_not_send_the_next_request_twice() {
    let log = Log::default();
    let mut targets = Vec::new();
    for name in ["t0", "t1"] {
        targets.push(target(name, &log, &repeat_shed()).await);
    }
    let deployment = harness::Deployment::start(1, Vec::new()).await;
    let document = harness::document(&targets, 3, "");
    deployment.put_document(0, &document).await;
    deployment.wait_until_serving("slotboard").await;
    let entry = deployment.entries[0].process.addr;
    let send = async |path, key| {
        let mut request = harness::request("POST", "slotboard", path, "");
        harness::faults::set_header(&mut request, "idempotency-key", key);
        let answer = harness::send(entry, request).await.expect("an answer");
        format!("{path}: {}", answer.head.status)
    };
    let full = send("/full", "booking-1").await;
    tokio::time::sleep(BACKOFF).await;
    let next = send("/next", "booking-2").await;
    let log = log.lock().expect("a log");
    let count = log.iter().filter(|r| r.path == "/next").count();
    insta::assert_snapshot!(format!("{full}\n{next}, received {count} times"), @r"
    /full: 503 Service Unavailable
    /next: 200 OK, received 1 times
    ");
}
