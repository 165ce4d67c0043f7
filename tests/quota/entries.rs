//! Real entries on loopback.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, Response};
use savorybeam::{
    adapters::{
        grpc::{self, Peers, Routes, Traffic},
        http::{self as web, Limits},
    },
    app::gateway::Gateway,
    domain::{Configuration, Era, Millis, Position, RequestKind, Revision, RouteRule, Workspace},
    policy::quota::{Answer, Ask, Echo, Grant, Need, Room},
    ports::{Batch, Change, Platform, QuotaCall},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use volo_http::{body::Body, server::Router};

use crate::{
    vm::{
        self, ANY_PORT,
        entry::{self, presence, relay_settings, wait_until},
    },
    world::quota,
};

/// The changes of the platform. The revision of a change is its position.
type Store = Arc<Mutex<Vec<Change>>>;

fn platform(store: &Store) -> Platform {
    let batch = |store: &Store, after: u64| {
        let changes = store.lock().expect("changes");
        let known = usize::try_from(after).expect("a small number");
        Batch {
            changes: changes[known..].to_vec(),
            position: Position::new(Era(0), Revision(changes.len() as u64)),
        }
    };
    let (all, some) = (store.clone(), store.clone());
    Platform {
        read: Arc::new(move |_| {
            let batch = batch(&all, 0);
            Box::pin(async { Ok(batch) })
        }),
        poll: Arc::new(move |poll| {
            let batch = batch(&some, poll.after.revision.0);
            Box::pin(async { Ok(batch.into()) })
        }),
        ..entry::platform(Vec::new(), Millis(0))
    }
}

fn configuration(version: u64, rate: f64) -> Configuration {
    let limited = Workspace {
        quota: Some(quota(rate)),
        ..vm::workspace("limited", &["key-limited"])
    };
    let rule = |prefix| vm::rule(RequestKind::Idempotent, prefix);
    let public = RouteRule {
        public: true,
        ..rule("/public/")
    };
    Configuration {
        workspaces: vec![limited, vm::workspace("free", &["key-free"])],
        ..vm::configuration(version, vec![rule("/all/"), public], 10.0)
    }
}

/// Sends requests to the entries in turn. Returns how many got each answer: the status,
/// the code and whether a time of return was named.
async fn send(entries: &[Gateway], count: usize, path: &str, key: &str) -> BTreeMap<String, u32> {
    let mut answers = BTreeMap::new();
    for entry in entries.iter().cycle().take(count) {
        let answer = request(entry.front_addr(), path, key).await;
        *answers.entry(answer).or_default() += 1;
    }
    answers
}

async fn request(addr: SocketAddr, path: &str, key: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: kitchens.example\r\nkey: {key}\r\nrequest-id: r-1\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.expect("a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    let header = |name: &str| {
        let line = answer.lines().find(|l| l.starts_with(name));
        line.and_then(|l| l.split(' ').nth(1))
    };
    let (status, code) = (&answer[9..12], header("x-savorybeam-code"));
    let outcome = header("x-savorybeam-outcome").unwrap_or_default();
    let retry = header("retry-after").map_or("", |_| "retry-after");
    let text = format!("{status} {} {outcome} {retry}", code.unwrap_or_default());
    text.trim().to_owned()
}

/// Returns the use of the quota as an entry explains it.
async fn explain_usage(entry: &Gateway) -> serde_json::Value {
    let addr = entry.auxiliary_addrs().next().expect("an address");
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let question = "GET /explain?host=kitchens.example&path=/all/1&workspace=limited HTTP/1.1\r\n\
                    host: metrics\r\nconnection: close\r\n\r\n";
    stream
        .write_all(question.as_bytes())
        .await
        .expect("a question");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    let body = answer.split_once("\r\n\r\n").expect("a body").1;
    assert!(!body.contains("key-limited"), "{body}");
    let answer: serde_json::Value = serde_json::from_str(body).expect("JSON");
    answer["workspace"]["usage"].clone()
}

/// Spawns three entries and waits until they use their parts.
async fn spawn_entries(store: &Store) -> Vec<Gateway> {
    let put = |change| store.lock().expect("changes").push(change);
    put(Change::Configured(Box::new(configuration(1, 5.0))));
    let mut entries = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        let settings = relay_settings(name, Vec::new());
        let gateway = entry::spawn(settings, platform(store)).await;
        put(presence(&gateway, name));
        entries.push(gateway);
    }
    wait_until("the entries know each other", || {
        entries.iter().all(|g| g.state.peers().len() == 3)
    })
    .await;
    // The entries use their parts when all others must be known, and fill them.
    tokio::time::sleep(Duration::from_secs(6)).await;
    entries
}

/// Adds a target that answers all requests, and waits until the entries are ready. It
/// answers while its server is kept.
async fn add_target(store: &Store, entries: &[Gateway]) -> impl Sized + use<> {
    let handler = async |req: Request<Body>| {
        let mut resp = Response::new(Body::from("done"));
        let id = req.headers().get("request-id").cloned();
        let head = resp.headers_mut();
        head.insert("request-id", id.unwrap_or(HeaderValue::from_static("none")));
        head.insert("server-seal", HeaderValue::from_static("seal"));
        resp
    };
    let router = Router::new().fallback(handler);
    let target = web::bind(ANY_PORT, Limits::default(), router).await;
    let target = target.expect("a port");
    let change = Change::Registered(vm::instance("i-1", target.addr()));
    store.lock().expect("changes").push(change);
    wait_until("the entries are ready", || {
        entries.iter().all(|g| g.state.is_ready())
    })
    .await;
    target
}

/// Fails if entries count a quota each for itself, if a request that was refused for
/// another reason keeps its token, if callers without a quota are counted, or if an
/// explanation counts other requests than the entry got.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_share_a_quota() {
    let store: Store = Arc::default();
    let entries = spawn_entries(&store).await;
    let without_target = send(&entries, 60, "/all/1", "key-limited").await;
    let _target = add_target(&store, &entries).await;
    let mut limited = send(&entries, 80, "/all/1", "key-limited").await;
    let free = send(&entries, 80, "/all/1", "key-free").await;
    let public = send(&entries, 80, "/public/1", "key-limited").await;
    let mut counted = 0;
    for entry in &entries {
        let usage = explain_usage(entry).await;
        let count = |name: &str| usage[name].as_u64().expect("a number");
        assert!(count("refused_used_up") > 0, "{usage}");
        assert_eq!(
            (count("refused_unavailable"), &usage["at_limit"]),
            (0, &true.into())
        );
        counted += count("admitted") + count("refused_used_up");
    }
    assert_eq!(counted, 140, "requests of the workspace with a quota");
    // The number depends on the time that the requests take.
    let served = limited.insert("200".to_owned(), 0).unwrap_or_default();
    assert!((12..53).contains(&served), "{served}");
    *limited
        .get_mut("429 quota-exceeded not-run retry-after")
        .expect("refusals") += served;
    insta::assert_debug_snapshot!((without_target, limited, free, public));
}

/// Fails if a lower quota does not reach the buckets of real entries, or if entries use
/// more than the quota after one of them is gone, or hardly anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lower_quota_binds_while_an_entry_is_gone() {
    let store: Store = Arc::default();
    let mut entries = spawn_entries(&store).await;
    let _target = add_target(&store, &entries).await;
    // The buckets are full with what the first quota allows.
    let change = Change::Configured(Box::new(configuration(2, 1.0)));
    store.lock().expect("changes").push(change);
    wait_until("the lower quota is in effect", || {
        let version = |g: &Gateway| g.state.table().map(|t| t.version);
        entries.iter().all(|g| version(g) == Some(Revision(2)))
    })
    .await;
    // The first one keeps the parts of the others.
    drop(entries.pop());
    let start = Instant::now();
    let mut served = 0;
    while start.elapsed() < Duration::from_secs(4) {
        let answers = send(&entries, 4, "/all/1", "key-limited").await;
        served += answers.get("200").copied().unwrap_or_default();
    }
    // (1 x 5 + 1) x 1.1 + 20 is 26.6.
    assert!((10..=26).contains(&served), "{served}");
}

/// Fails if a message loses a value on its way, if a need that no entry can have is
/// passed on, or if a call costs many bytes more than its content.
#[tokio::test]
async fn messages_keep_their_values() {
    let asked: Arc<Mutex<Vec<Ask>>> = Arc::default();
    let (seen, need) = (asked.clone(), |name: &str| {
        Need::new(name.parse().expect("a name"))
    });
    let answer = Answer {
        echo: Echo {
            life: u64::MAX,
            at: Millis(86_400_000),
        },
        grants: vec![Grant {
            workspace: "cuka620".parse().expect("a name"),
            tokens: 3,
            pending: true,
            room: Some(Room {
                after: Millis(120),
                spread: Millis(500),
            }),
        }],
    };
    let reply = answer.clone();
    let routes = grpc::serve_quota(Routes::default(), move |ask| {
        seen.lock().expect("asks").push(ask);
        let reply = reply.clone();
        async move { reply }
    });
    let server = grpc::bind(ANY_PORT, routes).await.expect("a port");
    let ask = Ask {
        entry: "edge-gyor-a-10".parse().expect("a name"),
        sharers: 68,
        echo: Some(answer.echo),
        for_others: false,
        needs: vec![
            Need {
                waiting: 1,
                expected: 2,
                returned: 3,
                used: 4,
                ..need("cuka620")
            },
            need("bako411"),
        ],
    };
    let odd = Need {
        expected: u32::MAX,
        ..need("odd")
    };
    let sent = Ask {
        needs: [ask.needs.clone(), vec![odd]].concat(),
        ..ask.clone()
    };
    let traffic: Arc<Traffic> = Arc::default();
    let quotas = grpc::quotas(Arc::new(Peers::new(Millis(500), traffic.clone())));
    for _ in 0..100 {
        let call = QuotaCall {
            peer: server.addr(),
            ask: sent.clone(),
            timeout: Millis(500),
        };
        assert_eq!((quotas.ask)(call).await.as_ref(), Ok(&answer));
    }
    assert_eq!(asked.lock().expect("asks")[99], ask);
    let counts = traffic.counts();
    let (out, back) = (counts.bytes_out / 100, counts.bytes_in / 100);
    assert!(out < 250 && back < 200, "{out} and {back} bytes a call");
}
