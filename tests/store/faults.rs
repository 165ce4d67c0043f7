//! Outages, broken and unresponsive connections, unresponsive endpoints, and
//! the call counters.

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
    support::{
        LONG_TIMEOUT, connect, delete, etcd_stores, list_records, next_update, put, read_through,
        wait_until,
    },
};

/// Guards against changes that are missed in an outage: calls fail with
/// [`StoreError::Down`], the watch ends, and a new watch from the last revision
/// reports all later changes.
#[test]
fn a_watch_ends_in_an_outage_and_resumes_without_gaps() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let [other] = etcd_stores(&standin);
    let (store, counters) = connect(standin.address, LONG_TIMEOUT);
    let log = runtime.block_on(async {
        let mut log = Vec::new();
        let first = (store.write)(put("w/a", "1", Revision::default()))
            .await
            .expect("up");
        let watch = |after| (store.watch)(("w/".into(), after));
        let mut updates = watch(Revision::default()).await.expect("up");
        log.extend(read_through(&mut updates, first).await);
        assert_eq!(
            (counters.counts().open_watches, standin.count("waiting")),
            (1, 1)
        );
        standin.post_control("break");
        log.push(format!("broken: {:?}", next_update(&mut updates).await));
        let second = (other.write)(put("w/b", "1", Revision::default()))
            .await
            .expect("up");
        let mut updates = watch(first).await.expect("up");
        log.extend(read_through(&mut updates, second).await);
        standin.post_control("down");
        log.push(format!("down: {:?}", next_update(&mut updates).await));
        // The first call may still use the connection that is being closed, so
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
        assert!(!counters.is_up());
        let refused = submit(&store, &service(), None, Revision::default(), edit(1)).await;
        assert!(matches!(
            refused,
            Err(SubmitError::Store(StoreError::Down { .. }))
        ));
        standin.post_control("up");
        let third = loop {
            match (store.write)(put("w/c", "1", Revision::default())).await {
                Ok(revision) => break revision,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        let mut updates = watch(second).await.expect("up");
        log.extend(read_through(&mut updates, third).await);
        // A watch from before a compaction ends immediately, and a list returns
        // the current state.
        standin.post_control("compact");
        let mut updates = watch(first).await.expect("up");
        log.push(format!("compacted: {:?}", next_update(&mut updates).await));
        log.push(format!("{:?}", list_records(&store, "w/").await));
        assert!(counters.is_up());
        log
    });
    let log = log
        .join("\n")
        .replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(log);
}

/// Guards against calls and watches that hang on an unresponsive connection
/// while new connections work: the watch must end, and later calls must use a
/// new connection.
#[test]
fn an_unresponsive_connection_is_replaced() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let (store, counters) = connect(standin.address, Millis(1_500));
    runtime.block_on(async {
        let watch = (store.watch)(("s/".into(), Revision::default())).await;
        let mut updates = watch.expect("up");
        standin.post_control("freeze");
        let write = put("s/a", "1", Revision::default());
        let unknown = (store.write)(write).await;
        assert!(
            matches!(unknown, Err(StoreError::Unknown { .. })),
            "{unknown:?}"
        );
        let write = put("s/b", "1", Revision::default());
        assert_eq!((store.write)(write).await, Ok(Revision(2)));
        assert_eq!(next_update(&mut updates).await, None);
        assert_eq!((store.get)("s/a".into()).await, Ok(None));
    });
    wait_until(&runtime, || counters.counts().open_watches == 0);
}

/// Guards against a holder that conflicts with its own write after the response
/// of that write was lost.
#[test]
fn a_holder_keeps_its_key_after_a_lost_response() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let [store] = etcd_stores(&standin);
    let record = Record {
        key: "l/key".into(),
        value: "x".into(),
        revision: Revision::default(),
    };
    runtime.block_on(async {
        let acquire_or_renew = || (store.lease)((record.clone(), Millis(60_000)));
        standin.post_control("lose/1");
        let lost = acquire_or_renew().await;
        assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
        assert_eq!(acquire_or_renew().await, Ok(()));
        assert_eq!(list_records(&store, "l/").await.0, ["l/key = x at 3"]);
        // Another client deletes the key, so the holder creates it again.
        let deleted = delete("l/key", Revision(3));
        (store.write)(deleted).await.expect("up");
        assert_eq!(acquire_or_renew().await, Ok(()));
        // Another client writes the key, so the holder gets a conflict.
        let taken = put("l/key", "y", Revision(5));
        (store.write)(taken).await.expect("up");
        assert_eq!(
            acquire_or_renew().await,
            Err(StoreError::Conflict(Revision(6)))
        );
    });
}

/// Guards against calls that fail because of one closed or unresponsive
/// endpoint although another one works. Only a write that may have taken effect
/// must not be sent to the next endpoint.
#[test]
fn endpoints_are_tried_in_turn() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = |l: &std::net::TcpListener| l.local_addr().expect("it is bound");
    let (unresponsive_address, closed_address) = (address(&unresponsive), address(&closed));
    drop(closed);
    let open = |endpoints: &[SocketAddr]| etcd::open(endpoints, Millis(1_500), Arc::default());
    runtime.block_on(async {
        let store = open(&[closed_address, standin.address]);
        let first = (store.write)(put("k", "1", Revision::default())).await;
        assert_eq!(first, Ok(Revision(2)));
        let store = open(&[unresponsive_address, standin.address]);
        assert!((store.get)("k".into()).await.is_ok());
        assert_eq!(
            (store.write)(put("k", "2", Revision(2))).await,
            Ok(Revision(3))
        );
        let store = open(&[unresponsive_address, standin.address]);
        let write = put("k", "3", Revision(3));
        let unknown = (store.write)(write.clone()).await;
        assert!(
            matches!(unknown, Err(StoreError::Unknown { .. })),
            "{unknown:?}"
        );
        // The next call starts with the other endpoint.
        assert_eq!((store.write)(write).await, Ok(Revision(4)));
        let none = (open(&[]).get)("k".into()).await.expect_err("no endpoint");
        insta::assert_snapshot!(none, @"get at (none): no endpoint is configured");
    });
}

/// Guards against calls that are not counted, because the store limits their
/// rate: the counters must agree with those of the stand-in.
#[test]
fn call_counts_agree_with_those_of_the_store() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let (store, counters) = connect(standin.address, LONG_TIMEOUT);
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
        list_records(&store, "k/").await;
        let counts = counters.counts();
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
        counters.counts().open_watches == 0 && standin.count("waiting") == 0
    });
}
