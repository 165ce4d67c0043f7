//! Guards the transport between entries: an error that names the wrong step
//! would make a caller repeat what a peer has already done, and a silent
//! connection that is kept would cut off a peer that is alive.

mod records;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use prost::Message;
use quickcheck::quickcheck;
use records::{id, member};
use savorybeam::{
    adapters::grpc::{
        CallError, DocumentBody, Fetch, FetchMessage, FetchReply, FetchReplyMessage, MESSAGE_MAX,
        Peers, Probe, Relay, RelayMessage, Routes, Sender, Server, Status, Step, Sync, Traffic,
        bind, fetch, probe, relay, serve_fetch, serve_probe, serve_relay, serve_sync, sync,
    },
    domain::{Epoch, Incarnation, Millis, Revision},
    policy::{
        member::{Members, Nonce, Tuning},
        spread::{Announcement, Dissemination, RootHash},
    },
};
use tokio::sync::Notify;

/// Long enough not to matter where a reply comes.
const PATIENT: Millis = Millis(20_000);

/// Short, where no reply comes.
const SHORT: Millis = Millis(100);

/// A message of another protocol, as other files define theirs.
#[derive(Clone, Eq, Message, PartialEq)]
struct Text {
    #[prost(bytes = "bytes", tag = "1")]
    text: Bytes,
}

fn text(len: usize) -> Text {
    Text {
        text: vec![b'x'; len].into(),
    }
}

fn sender(n: usize) -> Sender {
    Sender {
        entry: id(n),
        incarnation: Incarnation(7),
        epoch: Epoch(3),
    }
}

fn a_probe(n: usize) -> Probe {
    Probe {
        sender: sender(n),
        nonce: Nonce(5),
        updates: vec![member(n)],
        root: RootHash(9),
    }
}

async fn serve(routes: Routes) -> Server {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    bind(any, routes).await.expect("a free port")
}

fn peers(timeout: Millis) -> Peers {
    Peers::new(timeout, Arc::default())
}

fn shown(error: &CallError) -> String {
    format!("{error}").replace(&error.peer.to_string(), "PEER")
}

/// Fails if one of the methods of gossip loses a value on the way.
#[tokio::test]
async fn gossip_arrives_as_it_was_sent() {
    let routes = serve_probe(Routes::default(), |p| async { Ok(p) });
    let routes = serve_relay(routes, |r| async move {
        let sender = Sender {
            entry: r.target,
            ..r.probe.sender
        };
        let nonce = Nonce(u64::from(r.to.port()));
        Ok(Probe {
            sender,
            nonce,
            ..r.probe
        })
    });
    let routes = serve_sync(routes, |s: Sync| async move {
        let view = Members::new(member(4), Vec::new(), Tuning::default());
        let (records, more) = view.on_digest(&s.digest);
        Ok(savorybeam::adapters::grpc::SyncReply {
            sender: sender(4),
            records,
            more,
        })
    });
    let server = serve(routes).await;
    let peers = peers(PATIENT);
    let ack = probe(&peers, server.addr(), &a_probe(0)).await;
    assert_eq!(ack, Ok(a_probe(0)));
    let request = Relay {
        probe: a_probe(0),
        target: id(2),
        to: member(2).peers,
    };
    let ack = Probe {
        sender: sender(2),
        nonce: Nonce(3_002),
        ..a_probe(0)
    };
    assert_eq!(relay(&peers, server.addr(), &request).await, Ok(ack));
    let mut mine = Members::new(member(0), Vec::new(), Tuning::default());
    mine.on_update(Millis(0), member(3));
    let digest = savorybeam::policy::member::ViewDigest::from_hashes(vec![1]);
    let request = Sync {
        sender: sender(0),
        digest: digest.expect("one bucket"),
    };
    let reply = sync(&peers, server.addr(), &request)
        .await
        .expect("a reply");
    assert_eq!(reply.records, [member(4)]);
    drop(peers);
    server.stop(PATIENT).await;
}

/// Fails if other protocols cannot add their methods, or if an error does not
/// say which step failed.
#[tokio::test]
async fn errors_name_the_step_and_the_peer() {
    let routes = Routes::default()
        .route("Echo", |t: Text| async { Ok(t) })
        .route("Grow", |_: Text| async { Ok(text(MESSAGE_MAX + 1)) })
        .route("Deny", |_: Text| async {
            Err::<Text, _>(Status::aborted("epoch 3 is over"))
        })
        .route("Hang", |_: Text| {
            std::future::pending::<Result<Text, Status>>()
        });
    let routes = serve_probe(routes, |p| async { Ok(p) });
    let server = serve(routes).await;
    let (at, pool) = (server.addr(), peers(PATIENT));
    let echo = pool.call::<Text, Text>(at, "Echo", text(100_000)).await;
    assert_eq!(echo, Ok(text(100_000)));
    let nobody = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("it is bound")
    };
    let mut errors = Vec::new();
    for (peer, method, len) in [
        (at, "Grow", 1),
        (at, "Echo", MESSAGE_MAX + 1),
        (at, "Deny", 1),
        (at, "None", 1),
        (nobody, "Echo", 1),
    ] {
        let failed = pool.call::<Text, Text>(peer, method, text(len)).await;
        errors.push(failed.expect_err("it has to fail"));
    }
    let hang = pool
        .call_within::<Text, Text>(at, "Hang", text(1), SHORT)
        .await;
    errors.push(hang.expect_err("no reply"));
    let wrong = pool.call::<Text, Text>(at, "Probe", Text::default()).await;
    errors.push(wrong.expect_err("no sender"));
    let lines: Vec<_> = errors
        .iter()
        .map(|e| format!("{:?}: {}", e.step, shown(e)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    drop(pool);
    server.stop(SHORT).await;
}

/// Fails if a connection that has become silent is used again.
#[tokio::test]
async fn a_silent_connection_is_not_used_again() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let at = listener.local_addr().expect("it is bound");
    let pool = peers(SHORT);
    let mut held = Vec::new();
    for _ in 0..2 {
        let call = pool.call::<Text, Text>(at, "Echo", text(1));
        let (failed, accepted) = tokio::join!(call, listener.accept());
        assert_eq!(failed.expect_err("no reply").step, Step::Wait);
        held.push(accepted.expect("a new connection each time"));
        assert_eq!(pool.open(), 0);
    }
}

/// Fails if connections to all peers ever called stay open, or if an idle one
/// that is open keeps a server from stopping.
#[tokio::test]
async fn idle_connections_are_closed() {
    let routes = Routes::default().route("Echo", |t: Text| async { Ok(t) });
    let (one, two) = (serve(routes.clone()).await, serve(routes).await);
    let pool = peers(PATIENT);
    for server in [&one, &two] {
        let echo = pool
            .call::<Text, Text>(server.addr(), "Echo", text(1))
            .await;
        assert_eq!(echo, Ok(text(1)));
    }
    pool.sweep();
    assert_eq!(pool.open(), 2);
    let at = two.addr();
    assert!(one.stop(PATIENT).await && two.stop(PATIENT).await);
    let failed = pool.call::<Text, Text>(at, "Echo", text(1)).await;
    assert_eq!(failed.expect_err("it has stopped").step, Step::Connect);
    pool.sweep_idle(Millis(0));
    assert_eq!(pool.open(), 0);
}

/// Fails if a stop breaks a call that is running, or takes new ones.
#[tokio::test]
async fn a_stop_waits_for_running_calls() {
    let (begun, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (b, f) = (Arc::clone(&begun), Arc::clone(&finish));
    let routes = Routes::default().route("Slow", move |t: Text| {
        let (b, f) = (Arc::clone(&b), Arc::clone(&f));
        async move {
            b.notify_one();
            f.notified().await;
            Ok(t)
        }
    });
    let server = serve(routes).await;
    let at = server.addr();
    let call =
        tokio::spawn(async move { peers(PATIENT).call::<Text, Text>(at, "Slow", text(3)).await });
    begun.notified().await;
    let stopping = tokio::spawn(server.stop(PATIENT));
    while tokio::net::TcpStream::connect(at).await.is_ok() {
        tokio::time::sleep(Millis(1).duration()).await;
    }
    finish.notify_one();
    assert_eq!(call.await.expect("no panic"), Ok(text(3)));
    assert!(stopping.await.expect("no panic"));
}

/// Fails if messages or bytes are missed, since the budget for control traffic
/// is held against these counters.
#[tokio::test]
async fn traffic_is_counted_on_both_sides() {
    let (near, far) = (Arc::<Traffic>::default(), Arc::<Traffic>::default());
    let routes = Routes::new(Arc::clone(&far)).route("Echo", |t: Text| async { Ok(t) });
    let server = serve(routes).await;
    let pool = Peers::new(PATIENT, Arc::clone(&near));
    for _ in 0..10 {
        let echo = pool
            .call::<Text, Text>(server.addr(), "Echo", text(1_000))
            .await;
        assert_eq!(echo, Ok(text(1_000)));
    }
    let (near, far) = (near.counts(), far.counts());
    assert_eq!((near.messages_out, near.messages_in), (10, 10));
    assert_eq!((far.messages_out, far.messages_in), (10, 10));
    for bytes in [near.bytes_out, near.bytes_in, far.bytes_out, far.bytes_in] {
        assert!((10_000..20_000).contains(&bytes), "{near:?} {far:?}");
    }
    drop(pool);
    server.stop(PATIENT).await;
}

fn body(n: usize, len: usize) -> DocumentBody {
    DocumentBody {
        service: format!("service-{n}").parse().expect("a name"),
        revision: Revision(7),
        text: (!n.is_multiple_of(5)).then(|| vec![b'x'; len].into()),
    }
}

/// Fails if a reply outgrows the message limit, so that nothing arrives, or if
/// the rest cannot be asked for.
#[tokio::test]
async fn bodies_that_do_not_fit_are_asked_for_again() {
    let all: Vec<_> = (0..40).map(|n| body(n, 20_000)).collect();
    let stored = all.clone();
    let routes = serve_fetch(Routes::default(), move |request: Fetch| {
        let wanted = stored
            .iter()
            .filter(|b| request.services.contains(&b.service));
        let reply = FetchReply {
            sender: sender(1),
            revisions: Vec::new(),
            bodies: wanted.cloned().collect(),
            root: RootHash(1),
        };
        async { Ok(reply) }
    });
    let server = serve(routes).await;
    let pool = peers(PATIENT);
    let mut received = Vec::new();
    let mut rounds = 0;
    while received.len() < all.len() {
        let missing = all.iter().filter(|b| !received.contains(*b));
        let request = Fetch {
            services: missing.map(|b| b.service.clone()).collect(),
            ..Fetch::new(sender(0))
        };
        let reply = fetch(&pool, server.addr(), &request)
            .await
            .expect("a reply");
        received.extend(reply.bodies);
        rounds += 1;
    }
    assert_eq!((rounds, received), (4, all));
    drop(pool);
    server.stop(PATIENT).await;
}

fn names(list: &[u16]) -> Vec<Announcement> {
    let one = |n: &u16| Announcement {
        service: format!("service-{n}").parse().expect("a name"),
        revision: Revision(u64::from(*n) << 40),
    };
    list.iter().map(one).collect()
}

quickcheck! {
    /// Fails if a message changes its meaning between encoder and decoder.
    fn messages_read_back(list: Vec<u16>, n: u8, life: u64, root: u64) -> bool {
        let sender = Sender { incarnation: Incarnation(life), ..sender(usize::from(n)) };
        let mut spread = Dissemination::new(savorybeam::policy::spread::Tuning::default());
        for item in names(&list) {
            spread.on_adopted(&item.service, item.revision);
        }
        let request = Fetch {
            sender: sender.clone(),
            announced: names(&list),
            summary: Some(spread.summary()),
            services: names(&list).into_iter().map(|a| a.service).collect(),
        };
        let reply = FetchReply {
            sender: sender.clone(),
            revisions: names(&list),
            bodies: list.iter().map(|n| body(usize::from(*n), 10)).collect(),
            root: RootHash(root),
        };
        let relay = Relay {
            probe: Probe { sender, ..a_probe(usize::from(n)) },
            target: id(1),
            to: member(1).peers,
        };
        let one = FetchMessage::decode(request.encode().encode_to_vec().as_slice());
        let two = FetchReplyMessage::decode(reply.encode().encode_to_vec().as_slice());
        let three = RelayMessage::decode(relay.encode().encode_to_vec().as_slice());
        Fetch::decode(one.expect("it was encoded")) == Ok(request)
            && FetchReply::decode(two.expect("it was encoded")) == Ok(reply)
            && Relay::decode(three.expect("it was encoded")) == Ok(relay)
    }
}
