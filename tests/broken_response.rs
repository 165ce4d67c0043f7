//! Tests responses that a target does not finish, and targets that vanish from the
//! registry while they run a request. A caller must never take a part of a
//! response for the whole one, and work that runs is neither repeated nor given up
//! because nothing is heard of its target.

mod vm;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use savorybeam::{
    adapters::http::Content,
    app::gateway::Gateway,
    domain::{Millis, RequestKind},
    ports::{Change, Targets},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
};

use self::vm::{caller, raw};

/// How a target ends a connection on which it has sent a part of a response.
#[derive(Clone, Copy, Debug, Default)]
enum End {
    #[default]
    Close,
    Reset,
}

/// The part of the next response that a target sends.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    bytes: usize,
    end: End,
}

/// The framing of a response's body. With [`Framing::Close`] the end of the
/// connection is the end of the body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

fn response(id: &str, framing: Framing) -> String {
    let (header, body) = match framing {
        Framing::Length => ("content-length: 8\r\n", "a-kitchn"),
        Framing::Chunked => (
            "transfer-encoding: chunked\r\n",
            "8\r\na-kitchn\r\n0\r\n\r\n",
        ),
        Framing::Close => ("connection: close\r\n", "a-kitchn"),
    };
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: seal\r\n{header}\r\n{body}")
}

struct Fixture {
    gateway: Gateway,
    client: Targets,
    /// The cut of the next response to `/pay/cut`.
    cut: Arc<Mutex<Cut>>,
    runs: Arc<AtomicUsize>,
}

impl Fixture {
    fn new(gateway: Gateway, runs: Arc<AtomicUsize>) -> Self {
        Self {
            gateway,
            client: caller::client(),
            cut: Arc::default(),
            runs,
        }
    }

    async fn open(framing: Framing) -> Self {
        let (cut, runs) = (Arc::<Mutex<Cut>>::default(), Arc::<AtomicUsize>::default());
        let (cuts, counted) = (cut.clone(), runs.clone());
        let addr =
            raw::listen(move |_, stream| serve(stream, framing, cuts.clone(), counted.clone()))
                .await;
        let rules = vec![vm::rule(RequestKind::Once, "/pay/")];
        let changes = vec![
            vm::configured(3, rules),
            Change::Registered(vm::instance("i-1", addr)),
        ];
        let gateway = vm::entry::open(vm::settings("edge-1"), changes, Millis(0)).await;
        Self {
            cut,
            ..Self::new(gateway, runs)
        }
    }

    /// Sends a request. Returns the status and the body as the caller gets them.
    async fn send(&self, path: &str) -> String {
        let request = caller::request("POST", path, &[("request-id", "r-1")], "");
        let resp = caller::send(&self.client, self.gateway.front_addr(), request).await;
        let (head, body) = resp.into_parts();
        let body = match Content::read(body, 10_000).await {
            Ok(body) if head.headers.contains_key("server-seal") => {
                String::from_utf8_lossy(body.prefix()).into_owned()
            }
            Ok(_) => "refusal".to_owned(),
            Err(_) => "broken off".to_owned(),
        };
        format!("{} {body}", head.status.as_u16())
    }
}

/// Starts a target that counts its runs and sends, after a pause, what `change` makes
/// of a whole response. The first run has the number 0.
async fn listen(
    runs: &Arc<AtomicUsize>,
    pause: Duration,
    change: impl Fn(usize, String) -> String + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let runs = runs.clone();
    raw::listen(move |_, stream| {
        let (runs, change) = (runs.clone(), change.clone());
        async move {
            let mut stream = BufReader::new(stream);
            while let Some(request) = raw::read_request(&mut stream).await {
                let run = runs.fetch_add(1, SeqCst);
                tokio::time::sleep(pause).await;
                let text = change(run, response(&request.id, Framing::Length));
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    })
    .await
}

async fn serve(stream: TcpStream, framing: Framing, cut: Arc<Mutex<Cut>>, runs: Arc<AtomicUsize>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = raw::read_request(&mut stream).await {
        runs.fetch_add(1, SeqCst);
        if request.path != "/pay/cut" {
            let whole = response(&request.id, Framing::Length);
            stream.write_all(whole.as_bytes()).await.expect("a gateway");
            continue;
        }
        let Cut { bytes, end } = *cut.lock().expect("a cut");
        let text = response(&request.id, framing);
        let part = &text.as_bytes()[..bytes.min(text.len())];
        stream.write_all(part).await.expect("a gateway");
        if part.len() == text.len() && !matches!(framing, Framing::Close) {
            // Closing now would race with the next request on the connection.
            continue;
        }
        if let End::Reset = end {
            // Lets the gateway read what was sent before the reset.
            tokio::time::sleep(Duration::from_millis(5)).await;
            let socket = SockRef::from(stream.get_ref());
            socket.set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        return;
    }
}

/// Fails if a caller gets a success for any part of a response that ends before its
/// last byte: in the status line, in a header, before the body or in it. Each part
/// of the response is tried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_part_of_a_response_looks_complete() {
    let mut lines = Vec::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for end in [End::Close, End::Reset] {
            let fixture = Fixture::open(framing).await;
            let length = response("r-1", framing).len();
            let mut results: Vec<(usize, String)> = Vec::new();
            for bytes in 0..=length {
                *fixture.cut.lock().expect("a cut") = Cut { bytes, end };
                let result = fixture.send("/pay/cut").await;
                if results.last().is_none_or(|(_, last)| *last != result) {
                    results.push((bytes, result));
                }
                // A target is ejected after two failures without a success.
                let next = fixture.send("/pay/whole").await;
                assert_eq!(next, "200 a-kitchn", "{framing:?} {end:?} {bytes}");
            }
            let results: Vec<String> = results
                .iter()
                .map(|(from, result)| format!("from {from} of {length}: {result}"))
                .collect();
            lines.push(format!("{framing:?} {end:?}: {}", results.join("; ")));
            // No request was sent again.
            assert_eq!(fixture.runs.load(SeqCst), 2 * (length + 1));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a running request is given up, or sent to another target, because the
/// registration of its target has expired or has announced that it leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_vanishes_from_the_registry_finishes_its_request() {
    let runs = Arc::<AtomicUsize>::default();
    let mut addrs = Vec::new();
    for _ in 0..2 {
        let pause = Duration::from_millis(500);
        addrs.push(listen(&runs, pause, |_, whole| whole).await);
    }
    let changes = vec![
        vm::configured(3, vm::browse_and_pay()),
        Change::Registered(vm::instance("i-1", addrs[0])),
        Change::Registered(vm::instance("i-2", addrs[1])),
    ];
    let updates = vm::entry::Updates::default();
    let settings = vm::settings("edge-1");
    let gateway = vm::entry::open_with_updates(settings, changes, &updates).await;
    let fixture = Fixture::new(gateway, runs);
    let vanish = async {
        while fixture.runs.load(SeqCst) < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let gone = ["i-1", "i-2"].map(|id| Change::Unregistered(id.parse().expect("an id")));
        updates.apply(gone.into()).await;
    };
    let (browse, pay, ()) = tokio::join!(fixture.send("/browse/a"), fixture.send("/pay/a"), vanish);
    let runs = fixture.runs.load(SeqCst);
    insta::assert_snapshot!(format!("{browse}; {pay}; {runs} runs"), @"200 a-kitchn; 200 a-kitchn; 2 runs");
}

/// Fails if a caller gets a response whose status is no final one as the answer to its
/// request, or if such a response ends a request that may be sent again. The target
/// responds like that to the first attempt of each request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_gets_a_response_without_a_final_status() {
    const STATUSES: [&str; 8] = ["000", "099", "100", "101", "199", "600", "999", "20"];
    let mut lines = Vec::new();
    for status in STATUSES {
        let runs = Arc::<AtomicUsize>::default();
        let mut changes = vec![vm::configured(3, vm::browse_and_pay())];
        for id in ["i-1", "i-2"] {
            let addr = listen(&runs, Duration::ZERO, move |run, whole| match run % 2 {
                0 => whole.replace("200 OK", status),
                _ => whole,
            });
            changes.push(Change::Registered(vm::instance(id, addr.await)));
        }
        let gateway = vm::entry::open(vm::settings("edge-1"), changes, Millis(0)).await;
        let fixture = Fixture::new(gateway, runs);
        let browse = fixture.send("/browse/a").await;
        let pay = fixture.send("/pay/a").await;
        let runs = fixture.runs.load(SeqCst);
        lines.push(format!("{status}: {browse}; {pay}; {runs} runs"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    000: 200 a-kitchn; 502 refusal; 3 runs
    099: 200 a-kitchn; 502 refusal; 3 runs
    100: 200 a-kitchn; 502 refusal; 3 runs
    101: 200 a-kitchn; 502 refusal; 3 runs
    199: 200 a-kitchn; 502 refusal; 3 runs
    600: 200 a-kitchn; 502 refusal; 3 runs
    999: 200 a-kitchn; 502 refusal; 3 runs
    20: 200 a-kitchn; 502 refusal; 3 runs
    ");
}
