//! Outages, broken connections, endpoints that do not answer, and the counts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use savorybeam::{
    adapters::store::{
        documents::{SubmitError, submit},
        etcd,
    },
    domain::{Millis, Revision},
    ports::{Record, StoreError},
};
use tokio::runtime::Runtime;

use crate::{
    edits::{edit, service},
    standin::Standin,
    support::{PATIENT, connect, delete, list, next, over_protocol, put, until, wait_until},
};

/// Guards an outage: reads and writes fail as surely not written, the watch
/// ends, and a new watch from the last revision misses nothing.
#[test]
fn an_outage_ends_the_watch_and_misses_nothing() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let [other] = over_protocol(&standin);
    let (store, calls) = connect(standin.address, PATIENT);
    let log = runtime.block_on(async {
        let mut log = Vec::new();
        let first = (store.write)(put("w/a", "1", Revision::default()))
            .await
            .expect("up");
        let watch = |after| (store.watch)(("w/".into(), after));
        let mut updates = watch(Revision::default()).await.expect("up");
        log.extend(until(&mut updates, first).await);
        assert_eq!(
            (calls.counts().open_watches, standin.count("waiting")),
            (1, 1)
        );
        standin.set("break");
        log.push(format!("broken: {:?}", next(&mut updates).await));
        let second = (other.write)(put("w/b", "1", Revision::default()))
            .await
            .expect("up");
        let mut updates = watch(first).await.expect("up");
        log.extend(until(&mut updates, second).await);
        standin.set("down");
        log.push(format!("down: {:?}", next(&mut updates).await));
        // The first call may still go to the connection that is being closed, so
        // the text of its error varies.
        let error = (store.get)("w/a".into()).await.expect_err("down");
        assert!(matches!(error, StoreError::Down { .. }), "{error:?}");
        let error = (store.get)("w/a".into()).await.expect_err("down");
        let error = error.to_string();
        log.push(
            error
                .split(" (os error")
                .next()
                .map(str::to_owned)
                .unwrap_or_default(),
        );
        let error = (store.write)(put("w/c", "1", Revision::default())).await;
        assert!(matches!(error, Err(StoreError::Down { .. })), "{error:?}");
        assert!(!calls.is_up());
        let refused = submit(&store, &service(), None, edit(1)).await;
        assert!(matches!(
            refused,
            Err(SubmitError::Store(StoreError::Down { .. }))
        ));
        standin.set("up");
        let third = loop {
            match (store.write)(put("w/c", "1", Revision::default())).await {
                Ok(revision) => break revision,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        let mut updates = watch(second).await.expect("up");
        log.extend(until(&mut updates, third).await);
        // After a compaction a watch from before it ends at once, and a list
        // tells what it missed.
        standin.set("compact");
        let mut updates = watch(first).await.expect("up");
        log.push(format!("compacted: {:?}", next(&mut updates).await));
        log.push(format!("{:?}", list(&store, "w/").await));
        assert!(calls.is_up());
        log
    });
    let log = log
        .join("\n")
        .replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(log);
}

/// Guards against connections that become silent while new ones work: the watch
/// must end, and the calls must move to a new connection.
#[test]
fn a_silent_connection_is_given_up() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let (store, calls) = connect(standin.address, Millis(1_500));
    runtime.block_on(async {
        let watch = (store.watch)(("s/".into(), Revision::default())).await;
        let mut updates = watch.expect("up");
        standin.set("freeze");
        let write = put("s/a", "1", Revision::default());
        let doubtful = (store.write)(write).await;
        assert!(
            matches!(doubtful, Err(StoreError::Unknown { .. })),
            "{doubtful:?}"
        );
        let write = put("s/b", "1", Revision::default());
        assert_eq!((store.write)(write).await, Ok(Revision(2)));
        assert_eq!(next(&mut updates).await, None);
        assert_eq!((store.get)("s/a".into()).await, Ok(None));
    });
    wait_until(&runtime, || calls.counts().open_watches == 0);
}

/// Guards a holder whose write was lost: it must not lose the key to itself.
#[test]
fn a_lease_survives_a_lost_response() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let [store] = over_protocol(&standin);
    let record = Record {
        key: "l/key".into(),
        value: "x".into(),
        revision: Revision::default(),
    };
    runtime.block_on(async {
        let hold = || (store.lease)((record.clone(), Millis(60_000)));
        standin.set("lose/1");
        let lost = hold().await;
        assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
        assert_eq!(hold().await, Ok(()));
        assert_eq!(list(&store, "l/").await.0, ["l/key = x at 3"]);
        // Somebody deletes the key, so the holder writes it again.
        let deleted = delete("l/key", Revision(3));
        (store.write)(deleted).await.expect("up");
        assert_eq!(hold().await, Ok(()));
        // Somebody else writes the key, so the holder has lost it.
        let taken = put("l/key", "y", Revision(5));
        (store.write)(taken).await.expect("up");
        assert_eq!(hold().await, Err(StoreError::Conflict(Revision(6))));
    });
}

/// Guards the endpoints' order: one that is closed or silent must not stop the
/// calls, except for a write that may already have taken effect.
#[test]
fn endpoints_are_tried_in_turn() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = |l: &std::net::TcpListener| l.local_addr().expect("it is bound");
    let (silent_at, closed_at) = (address(&silent), address(&closed));
    drop(closed);
    let open = |endpoints: &[SocketAddr]| etcd::open(endpoints, Millis(1_500), Arc::default());
    runtime.block_on(async {
        let store = open(&[closed_at, standin.address]);
        let first = (store.write)(put("k", "1", Revision::default())).await;
        assert_eq!(first, Ok(Revision(2)));
        let store = open(&[silent_at, standin.address]);
        assert!((store.get)("k".into()).await.is_ok());
        assert_eq!(
            (store.write)(put("k", "2", Revision(2))).await,
            Ok(Revision(3))
        );
        let store = open(&[silent_at, standin.address]);
        let write = put("k", "3", Revision(3));
        let doubtful = (store.write)(write.clone()).await;
        assert!(
            matches!(doubtful, Err(StoreError::Unknown { .. })),
            "{doubtful:?}"
        );
        // The next call begins with the other endpoint.
        assert_eq!((store.write)(write).await, Ok(Revision(4)));
        let none = (open(&[]).get)("k".into()).await.expect_err("no endpoint");
        insta::assert_snapshot!(none, @"get at (none): no endpoint is configured");
    });
}

/// Guards the store's rate: what this process counts is what the store sees.
#[test]
fn calls_are_counted_as_the_store_counts_them() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let (store, calls) = connect(standin.address, PATIENT);
    runtime.block_on(async {
        let record = Record {
            key: "l".into(),
            value: "x".into(),
            revision: Revision::default(),
        };
        for n in 0..3 {
            let write = put(&format!("k/{n}"), "x", Revision::default());
            (store.write)(write).await.expect("up");
            (store.lease)((record.clone(), Millis(5_000)))
                .await
                .expect("up");
        }
        let watch = (store.watch)(("k/".into(), Revision::default()))
            .await
            .expect("up");
        list(&store, "k/").await;
        let counts = calls.counts();
        let seen = ["range", "txn", "watch"].map(|kind| standin.count(kind));
        assert_eq!([counts.reads, counts.writes, counts.watches], seen);
        assert_eq!(
            counts.leases,
            standin.count("grant") + standin.count("renew")
        );
        insta::assert_snapshot!(counts, @"1 reads, 6 writes, 3 leases, 1 watches (1 waiting), 0 failures");
        drop(watch);
    });
    wait_until(&runtime, || {
        calls.counts().open_watches == 0 && standin.count("waiting") == 0
    });
}
