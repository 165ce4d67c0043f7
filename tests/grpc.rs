//! Tests the transport between entries. An error with the wrong step would make
//! an entry repeat a call that its peer has already processed. A dead
//! connection that stays in the pool would make a peer that is alive
//! unreachable.

mod records;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use prost::Message;
use quickcheck::quickcheck;
use records::{id, member};
use savorybeam::{
    adapters::grpc::{
        CallError, DocumentBody, Fetch, FetchMessage, FetchReply, FetchReplyMessage,
        MAX_MESSAGE_BYTES, Peers, Probe, Relay, RelayMessage, Routes, Sender, Server, Status, Step,
        Sync, Traffic, bind, fetch, probe, relay, serve_fetch, serve_probe, serve_relay,
        serve_sync, sync,
    },
    domain::{Epoch, Incarnation, Millis, Revision},
    policy::{
        member::{Members, Nonce, Tuning},
        spread::{Announcement, Dissemination, RootHash},
    },
};
use tokio::sync::Notify;

/// A timeout that does not expire in calls that get a reply.
const LONG_TIMEOUT: Millis = Millis(20_000);

/// A timeout for calls that get no reply.
const SHORT_TIMEOUT: Millis = Millis(100);

/// A message that is defined outside the crate.
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

fn sample_probe(n: usize) -> Probe {
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

async fn echo(pool: &Peers, peer: SocketAddr, len: usize) -> Result<Text, CallError> {
    pool.call(peer, "Echo", text(len)).await
}

fn mask_address(error: &CallError) -> String {
    format!("{error}").replace(&error.peer.to_string(), "PEER")
}

/// Guards against membership messages that lose or change a field.
#[tokio::test]
async fn membership_messages_arrive_unchanged() {
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
    let peers = peers(LONG_TIMEOUT);
    let ack = probe(&peers, server.addr(), &sample_probe(0)).await;
    assert_eq!(ack, Ok(sample_probe(0)));
    let request = Relay {
        probe: sample_probe(0),
        target: id(2),
        to: member(2).peers,
    };
    let ack = Probe {
        sender: sender(2),
        nonce: Nonce(3_002),
        ..sample_probe(0)
    };
    assert_eq!(relay(&peers, server.addr(), &request).await, Ok(ack));
    let mut local_view = Members::new(member(0), Vec::new(), Tuning::default());
    local_view.on_update(Millis(0), member(3));
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
    server.stop(LONG_TIMEOUT).await;
}

/// Checks that further methods can be added, and that each error names the step
/// that failed.
#[tokio::test]
async fn errors_name_the_step_and_the_peer() {
    let routes = Routes::default()
        .route("Echo", |t: Text| async { Ok(t) })
        .route("Grow", |_: Text| async { Ok(text(MAX_MESSAGE_BYTES + 1)) })
        .route("Deny", |_: Text| async {
            Err::<Text, _>(Status::aborted("epoch 3 is over"))
        })
        .route("Hang", |_: Text| {
            std::future::pending::<Result<Text, Status>>()
        });
    let routes = serve_probe(routes, |p| async { Ok(p) });
    let server = serve(routes).await;
    let (addr, pool) = (server.addr(), peers(LONG_TIMEOUT));
    let reply = echo(&pool, addr, 100_000).await;
    assert_eq!(reply, Ok(text(100_000)));
    let closed_port = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("it is bound")
    };
    let mut errors = Vec::new();
    for (peer, method, len) in [
        (addr, "Grow", 1),
        (addr, "Echo", MAX_MESSAGE_BYTES + 1),
        (addr, "Deny", 1),
        (addr, "None", 1),
        (closed_port, "Echo", 1),
    ] {
        let failed = pool.call::<Text, Text>(peer, method, text(len)).await;
        errors.push(failed.expect_err("the call fails"));
    }
    let hang = pool
        .call_within::<Text, Text>(addr, "Hang", text(1), SHORT_TIMEOUT)
        .await;
    errors.push(hang.expect_err("no reply is sent"));
    let no_sender = pool
        .call::<Text, Text>(addr, "Probe", Text::default())
        .await;
    errors.push(no_sender.expect_err("the sender is missing"));
    let lines: Vec<_> = errors
        .iter()
        .map(|e| format!("{:?}: {}", e.step, mask_address(e)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    drop(pool);
    server.stop(SHORT_TIMEOUT).await;
}

/// A connection on which a call timed out may be dead, so the next call must
/// open a new one.
#[tokio::test]
async fn a_connection_that_timed_out_is_not_reused() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    let pool = peers(SHORT_TIMEOUT);
    let mut held = Vec::new();
    for _ in 0..2 {
        let call = pool.call::<Text, Text>(addr, "Echo", text(1));
        let (failed, accepted) = tokio::join!(call, listener.accept());
        assert_eq!(failed.expect_err("no reply is sent").step, Step::Wait);
        held.push(accepted.expect("a new connection for each call"));
        assert_eq!(pool.open_channels(), 0);
    }
}

/// Guards against keeping a connection to every peer ever called, and against
/// an idle connection that prevents a server from stopping.
#[tokio::test]
async fn idle_connections_are_closed() {
    let routes = Routes::default().route("Echo", |t: Text| async { Ok(t) });
    let (one, two) = (serve(routes.clone()).await, serve(routes).await);
    let pool = peers(LONG_TIMEOUT);
    for server in [&one, &two] {
        let reply = echo(&pool, server.addr(), 1).await;
        assert_eq!(reply, Ok(text(1)));
    }
    pool.close_idle();
    assert_eq!(pool.open_channels(), 2);
    let addr = two.addr();
    assert!(one.stop(LONG_TIMEOUT).await && two.stop(LONG_TIMEOUT).await);
    let failed = echo(&pool, addr, 1).await;
    assert_eq!(
        failed.expect_err("the server has stopped").step,
        Step::Connect
    );
    pool.close_idle_after(Millis(0));
    assert_eq!(pool.open_channels(), 0);
}

/// Guards against a stop that aborts a running call or accepts new connections.
#[tokio::test]
async fn a_stop_waits_for_running_calls() {
    let (started, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (begin, end) = (Arc::clone(&started), Arc::clone(&finish));
    let routes = Routes::default().route("Slow", move |t: Text| {
        let (begin, end) = (Arc::clone(&begin), Arc::clone(&end));
        async move {
            begin.notify_one();
            end.notified().await;
            Ok(t)
        }
    });
    let server = serve(routes).await;
    let addr = server.addr();
    let call = tokio::spawn(async move {
        peers(LONG_TIMEOUT)
            .call::<Text, Text>(addr, "Slow", text(3))
            .await
    });
    started.notified().await;
    let stopping = tokio::spawn(server.stop(LONG_TIMEOUT));
    while tokio::net::TcpStream::connect(addr).await.is_ok() {
        tokio::time::sleep(Millis(1).duration()).await;
    }
    finish.notify_one();
    assert_eq!(call.await.expect("no panic"), Ok(text(3)));
    assert!(stopping.await.expect("no panic"));
}

/// The budget for control traffic is checked with these counters, so they must
/// not miss messages or bytes.
#[tokio::test]
async fn traffic_is_counted_on_both_sides() {
    let (client_side, server_side) = (Arc::<Traffic>::default(), Arc::<Traffic>::default());
    let routes = Routes::new(Arc::clone(&server_side)).route("Echo", |t: Text| async { Ok(t) });
    let server = serve(routes).await;
    let pool = Peers::new(LONG_TIMEOUT, Arc::clone(&client_side));
    for _ in 0..10 {
        let reply = echo(&pool, server.addr(), 1_000).await;
        assert_eq!(reply, Ok(text(1_000)));
    }
    let (client_side, server_side) = (client_side.counts(), server_side.counts());
    assert_eq!(
        (client_side.messages_out, client_side.messages_in),
        (10, 10)
    );
    assert_eq!(
        (server_side.messages_out, server_side.messages_in),
        (10, 10)
    );
    for bytes in [
        client_side.bytes_out,
        client_side.bytes_in,
        server_side.bytes_out,
        server_side.bytes_in,
    ] {
        assert!(
            (10_000..20_000).contains(&bytes),
            "{client_side:?} {server_side:?}"
        );
    }
    drop(pool);
    server.stop(LONG_TIMEOUT).await;
}

fn body(n: usize, len: usize) -> DocumentBody {
    DocumentBody {
        service: format!("service-{n}").parse().expect("a name"),
        revision: Revision(7),
        text: (!n.is_multiple_of(5)).then(|| vec![b'x'; len].into()),
    }
}

/// Guards against a reply that exceeds the message limit, which would not
/// arrive at all, and against omitted bodies that cannot be requested later.
#[tokio::test]
async fn omitted_bodies_can_be_requested_again() {
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
    let pool = peers(LONG_TIMEOUT);
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
    server.stop(LONG_TIMEOUT).await;
}

fn announcements(list: &[u16]) -> Vec<Announcement> {
    let one = |n: &u16| Announcement {
        service: format!("service-{n}").parse().expect("a name"),
        revision: Revision(u64::from(*n) << 40),
    };
    list.iter().map(one).collect()
}

quickcheck! {
    /// Guards against messages that change when they are encoded and decoded.
    fn messages_round_trip(list: Vec<u16>, n: u8, incarnation: u64, root: u64) -> bool {
        let sender = Sender { incarnation: Incarnation(incarnation), ..sender(usize::from(n)) };
        let mut spread = Dissemination::new(savorybeam::policy::spread::Tuning::default());
        for item in announcements(&list) {
            spread.on_adopted(&item.service, item.revision);
        }
        let request = Fetch {
            sender: sender.clone(),
            announced: announcements(&list),
            summary: Some(spread.summary()),
            services: announcements(&list).into_iter().map(|a| a.service).collect(),
        };
        let reply = FetchReply {
            sender: sender.clone(),
            revisions: announcements(&list),
            bodies: list.iter().map(|n| body(usize::from(*n), 10)).collect(),
            root: RootHash(root),
        };
        let relay = Relay {
            probe: Probe { sender, ..sample_probe(usize::from(n)) },
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
