//! The semantics of the store while it is available.

use std::{collections::BTreeMap, sync::OnceLock};

use bytes::Bytes;
use quickcheck::{QuickCheck, TestResult};
use savorybeam::{
    adapters::store::MAX_VALUE_BYTES,
    domain::{Millis, Revision},
    ports::{Record, Store, StoreError, Update},
};
use tokio::runtime::Runtime;

use crate::{
    standin::Standin,
    support::{
        delete, etcd_stores, format_update, list_records, memory_stores, next_update, put,
        read_through, run_on_both, to_text,
    },
};

/// Guards against differences between the implementations: writes, deletions
/// and conflicts, watches from two revisions, and lists of several prefixes.
#[test]
fn writes_lists_and_watches_agree_in_memory_and_over_etcd() {
    let log = run_on_both(|[store]| async move {
        let mut log = Vec::new();
        let zero = Revision::default();
        let a = (store.write)(put("d/a", "1", zero))
            .await
            .expect("a new key");
        let mut updates = (store.watch)(("d/".into(), zero)).await.expect("up");
        for write in [
            put("d/a", "2", zero),
            put("d/a", "2", a),
            put("d/b", "1", a),
            put("d/b", "1", zero),
            put("e/c", "1", zero),
            delete("d/none", zero),
            delete("d/a", zero),
        ] {
            log.push(format!("{:?}", (store.write)(write).await));
        }
        let found = (store.get)("d/a".into()).await.expect("up").expect("there");
        log.push(format!(
            "{:?}",
            (store.write)(delete("d/a", found.revision)).await
        ));
        log.push(format!("{:?}", (store.get)("d/a".into()).await));
        let recreated = (store.write)(put("d/a", "3", zero)).await.expect("gone");
        log.extend(read_through(&mut updates, recreated).await);
        let mut resumed = (store.watch)(("d/".into(), found.revision))
            .await
            .expect("up");
        log.extend(read_through(&mut resumed, recreated).await);
        for prefix in ["d/", "", "d/b", "z"] {
            log.push(format!(
                "{prefix:?}: {:?}",
                list_records(&store, prefix).await
            ));
        }
        log
    });
    insta::assert_snapshot!(log);
}

/// Guards against lists that omit keys at a page boundary, which would keep a
/// document from taking effect, and against values that are truncated or
/// refused although they have the maximum size.
#[test]
fn paged_lists_and_values_of_the_maximum_size_are_complete() {
    run_on_both(|[store]| async move {
        for n in 0..150 {
            let write = put(&format!("p/{n:03}"), "x", Revision::default());
            (store.write)(write).await.expect("a new key");
        }
        let (keys, _) = list_records(&store, "p/").await;
        let sorted = keys.is_sorted();
        let large = "x".repeat(MAX_VALUE_BYTES);
        let written = (store.write)(put("q/max", &large, Revision::default())).await;
        let found = (store.get)("q/max".into())
            .await
            .expect("up")
            .expect("there");
        let over = (store.write)(put("q/over", &(large + "x"), Revision::default())).await;
        let refused = matches!(over, Err(StoreError::Down { .. }));
        let over_record = (store.get)("q/over".into()).await;
        assert!(written.is_ok() && sorted && refused && over_record == Ok(None));
        assert_eq!((keys.len(), found.value.len()), (150, MAX_VALUE_BYTES));
        keys
    });
}

/// Guards against lost updates by concurrent compare-and-swap writes, in which
/// an accepted edit would have no effect.
#[test]
fn concurrent_increments_lose_no_update() {
    async fn increment(store: Store, times: u32) {
        for _ in 0..times {
            loop {
                let found = (store.get)("n".into()).await.expect("up");
                let (value, expected) = found.map_or((0, Revision::default()), |r| {
                    (to_text(&r.value).parse().expect("a number"), r.revision)
                });
                let write = put("n", &(value + 1).to_string(), expected);
                match (store.write)(write).await {
                    Ok(_) => break,
                    Err(StoreError::Conflict(found)) => assert!(found > expected),
                    Err(e) => panic!("{e}"),
                }
            }
        }
    }
    let log = run_on_both(|stores: [Store; 4]| async move {
        let reader = stores[0].clone();
        let tasks = stores.map(|s| tokio::spawn(increment(s, 25)));
        futures::future::try_join_all(tasks)
            .await
            .expect("no task panics");
        list_records(&reader, "n").await.0
    });
    assert_eq!(log, "n = 100 at 101");
}

/// Guards against lists that mix revisions while keys are being written. A
/// process that continues such a list with a watch would miss the changes made
/// in between.
#[test]
fn a_list_is_a_consistent_snapshot() {
    async fn increment_keys_in_turn(store: Store) {
        let mut expected = [Revision::default(); 16];
        for n in 0..100 {
            for (key, expected) in expected.iter_mut().enumerate() {
                let write = put(&format!("m/{key:02}"), &n.to_string(), *expected);
                *expected = (store.write)(write).await.expect("the only writer");
            }
        }
    }
    run_on_both(|[reader, writer]| async move {
        let task = tokio::spawn(increment_keys_in_turn(writer));
        while !task.is_finished() {
            let snapshot = (reader.list)("m/".into()).await.expect("up");
            let value = |r: &Record| to_text(&r.value).parse::<u32>().expect("a number");
            let values: Vec<u32> = snapshot.records.iter().map(value).collect();
            // The writer increments the keys in turn, so in any consistent
            // snapshot the values do not increase from key to key and differ by
            // at most one.
            let difference = values.first().zip(values.last()).map(|(a, b)| a - b);
            let ordered = values.is_sorted_by(|a, b| a >= b);
            assert!(ordered && difference.unwrap_or_default() <= 1, "{values:?}");
            let latest = snapshot.records.iter().map(|r| r.revision).max();
            assert!(latest.is_none_or(|r| r == snapshot.revision));
            tokio::task::yield_now().await;
        }
        task.await.expect("the writer does not panic");
        Vec::new()
    });
}

/// Guards the memory use of `dev`: the watch of a reader that is too slow ends,
/// and a watch from before the start of the log ends immediately, so that the
/// reader lists again and no queue grows without bound.
#[test]
fn a_slow_watch_in_memory_ends_and_a_compacted_one_is_refused() {
    let runtime = Runtime::new().expect("the runtime starts");
    let [store] = memory_stores();
    runtime.block_on(async {
        let watch = |after| (store.watch)(("k".into(), after));
        let mut slow = watch(Revision::default()).await.expect("up");
        let mut last = Revision::default();
        for _ in 0..5_000 {
            last = (store.write)(put("k", "x", last))
                .await
                .expect("the only writer");
        }
        let mut seen = Revision::default();
        while let Some(update) = next_update(&mut slow).await {
            let Update::Put(record) = update else {
                panic!("nothing is deleted");
            };
            assert!(record.revision > seen, "updates are in order");
            seen = record.revision;
        }
        assert!(seen < last, "the slow watch ends");
        let mut compacted = watch(Revision::default()).await.expect("up");
        assert_eq!(next_update(&mut compacted).await, None);
        let mut recent = watch(Revision(4_000)).await.expect("up");
        assert_eq!(read_through(&mut recent, last).await.len(), 1_001);
        assert_eq!(
            list_records(&store, "k").await.0,
            [format!("k = x at {last}")]
        );
    });
}

/// Compares the results of random writes with a model of one register per key.
#[test]
fn random_writes_agree_with_a_model() {
    fn check_against_model(
        ops: &[(u8, bool, bool)],
        store: &Store,
        runtime: &Runtime,
    ) -> TestResult {
        let mut model: BTreeMap<u8, Revision> = BTreeMap::new();
        let base = runtime
            .block_on((store.list)(Bytes::new()))
            .expect("up")
            .revision;
        for &(key, remove, stale) in ops {
            let key = key % 4;
            let name = format!("{base}/{key}");
            let current = model.get(&key).copied().unwrap_or_default();
            let expected = if stale { current.next() } else { current };
            let write = if remove {
                delete(&name, expected)
            } else {
                put(&name, "x", expected)
            };
            match runtime.block_on((store.write)(write)) {
                Ok(_) if stale => return TestResult::error("a stale write took effect"),
                Ok(_) if remove => drop(model.remove(&key)),
                Ok(revision) => drop(model.insert(key, revision)),
                Err(e) if e != StoreError::Conflict(current) => {
                    return TestResult::error(e.to_string());
                }
                Err(_) if !stale => return TestResult::error("a valid write was refused"),
                Err(_) => {}
            }
        }
        let found = runtime
            .block_on((store.list)(format!("{base}/").into()))
            .expect("up");
        let found: Vec<Revision> = found.records.iter().map(|r| r.revision).collect();
        TestResult::from_bool(found == model.into_values().collect::<Vec<_>>())
    }
    // quickcheck takes only function pointers, which cannot capture the stores.
    static STORES: OnceLock<(Runtime, Standin, [Store; 2])> = OnceLock::new();
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value.
    fn property(ops: Vec<(u8, bool, bool)>) -> TestResult {
        let (runtime, _, stores) = STORES.get_or_init(|| {
            let standin = Standin::spawn();
            let ([memory_store], [etcd_store]) = (memory_stores(), etcd_stores(&standin));
            let runtime = Runtime::new().expect("the runtime starts");
            (runtime, standin, [memory_store, etcd_store])
        });
        let mut results = stores.iter().map(|s| check_against_model(&ops, s, runtime));
        let failed = results.find(TestResult::is_failure);
        failed.unwrap_or_else(TestResult::passed)
    }
    let property = property as fn(Vec<(u8, bool, bool)>) -> TestResult;
    QuickCheck::new().tests(50).quickcheck(property);
}

/// Guards against two holders of one key: after a lease has expired, a watch
/// reports that the key is free, another holder can take it, and the paused
/// holder gets a conflict.
#[test]
fn an_expired_lease_passes_to_another_holder() {
    let log = run_on_both(|[first, second]| async move {
        let record = |value: &str| Record {
            key: "l/key".into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            revision: Revision::default(),
        };
        let ttl = Millis(1_000);
        let mut log = Vec::new();
        let mut updates = (second.watch)(("l/".into(), Revision::default()))
            .await
            .expect("up");
        for value in ["a", "a", "b"] {
            log.push(format!(
                "first: {:?}",
                (first.lease)((record(value), ttl)).await
            ));
        }
        log.push(format!(
            "second: {:?}",
            (second.lease)((record("c"), ttl)).await
        ));
        // The first holder stops renewing, so its lease expires.
        for _ in 0..3 {
            log.push(format_update(
                &next_update(&mut updates).await.expect("the watch is open"),
            ));
        }
        log.push(format!(
            "second: {:?}",
            (second.lease)((record("c"), ttl)).await
        ));
        log.push(format!(
            "first: {:?}",
            (first.lease)((record("b"), ttl)).await
        ));
        log
    });
    insta::assert_snapshot!(log);
}
