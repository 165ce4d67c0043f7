//! What the store promises while it is up.

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
    support::{delete, in_memory, list, next, on_both, over_protocol, put, show, text, until},
};

#[test]
fn writes_lists_and_watches_behave_alike() {
    let log = on_both(|[store]| async move {
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
        let again = (store.write)(put("d/a", "3", zero)).await.expect("gone");
        log.extend(until(&mut updates, again).await);
        let mut later = (store.watch)(("d/".into(), found.revision))
            .await
            .expect("up");
        log.extend(until(&mut later, again).await);
        for prefix in ["d/", "", "d/b", "z"] {
            log.push(format!("{prefix:?}: {:?}", list(&store, prefix).await));
        }
        log
    });
    insta::assert_snapshot!(log);
}

/// Guards the paging of lists: a key that is left out would be a document that
/// is not in effect anywhere.
#[test]
fn long_lists_and_large_values_are_complete() {
    on_both(|[store]| async move {
        for n in 0..150 {
            let write = put(&format!("p/{n:03}"), "x", Revision::default());
            (store.write)(write).await.expect("a new key");
        }
        let (keys, _) = list(&store, "p/").await;
        let sorted = keys.is_sorted();
        let large = "x".repeat(MAX_VALUE_BYTES);
        let at = (store.write)(put("q/max", &large, Revision::default())).await;
        let found = (store.get)("q/max".into())
            .await
            .expect("up")
            .expect("there");
        let over = (store.write)(put("q/over", &(large + "x"), Revision::default())).await;
        let refused = matches!(over, Err(StoreError::Down { .. }));
        let none = (store.get)("q/over".into()).await;
        assert!(at.is_ok() && sorted && refused && none == Ok(None));
        assert_eq!((keys.len(), found.value.len()), (150, MAX_VALUE_BYTES));
        keys
    });
}

/// Guards compare-and-swap under concurrency: an increment that is lost would be
/// an edit that is accepted and has no effect.
#[test]
fn racing_writers_lose_no_write() {
    async fn increment(store: Store, times: u32) {
        for _ in 0..times {
            loop {
                let found = (store.get)("n".into()).await.expect("up");
                let (value, expected) = found.map_or((0, Revision::default()), |r| {
                    (text(&r.value).parse().expect("a number"), r.revision)
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
    let log = on_both(|stores: [Store; 4]| async move {
        let reader = stores[0].clone();
        let tasks = stores.map(|s| tokio::spawn(increment(s, 25)));
        futures::future::try_join_all(tasks)
            .await
            .expect("no task panics");
        list(&reader, "n").await.0
    });
    assert_eq!(log, "n = 100 at 101");
}

/// Guards lists against mixing moments: a process that starts from such a list
/// would miss what changed in between, although its watch goes on from there.
#[test]
fn a_list_shows_one_moment() {
    async fn count_up(store: Store) {
        let mut expected = [Revision::default(); 16];
        for n in 0..100 {
            for (key, expected) in expected.iter_mut().enumerate() {
                let write = put(&format!("m/{key:02}"), &n.to_string(), *expected);
                *expected = (store.write)(write).await.expect("the only writer");
            }
        }
    }
    on_both(|[reader, writer]| async move {
        let task = tokio::spawn(count_up(writer));
        while !task.is_finished() {
            let snapshot = (reader.list)("m/".into()).await.expect("up");
            let value = |r: &Record| text(&r.value).parse::<u32>().expect("a number");
            let values: Vec<u32> = snapshot.records.iter().map(value).collect();
            // The keys count up one after the other.
            let ahead = values.first().zip(values.last()).map(|(a, b)| a - b);
            let ordered = values.is_sorted_by(|a, b| a >= b);
            assert!(ordered && ahead.unwrap_or_default() <= 1, "{values:?}");
            let latest = snapshot.records.iter().map(|r| r.revision).max();
            assert!(latest.is_none_or(|r| r == snapshot.revision));
            tokio::task::yield_now().await;
        }
        task.await.expect("the writer ends well");
        Vec::new()
    });
}

/// Guards the memory of `dev`: a reader that stands still, or that starts too
/// far back, is sent back to list instead of growing a queue.
#[test]
fn a_slow_watch_in_memory_ends() {
    let runtime = Runtime::new().expect("the runtime starts");
    let [store] = in_memory();
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
        while let Some(update) = next(&mut slow).await {
            let Update::Put(record) = update else {
                panic!("nothing is deleted");
            };
            assert!(record.revision > seen, "updates are in order");
            seen = record.revision;
        }
        assert!(seen < last, "the slow watch ends");
        let mut early = watch(Revision::default()).await.expect("up");
        assert_eq!(next(&mut early).await, None);
        let mut recent = watch(Revision(4_000)).await.expect("up");
        assert_eq!(until(&mut recent, last).await.len(), 1_001);
        assert_eq!(list(&store, "k").await.0, [format!("k = x at {last}")]);
    });
}

/// Compares random writes with a plain model of a register per key.
#[test]
fn random_writes_follow_the_model() {
    fn model(ops: &[(u8, bool, bool)], store: &Store, runtime: &Runtime) -> TestResult {
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
                Err(_) if !stale => return TestResult::error("a good write was refused"),
                Err(_) => {}
            }
        }
        let found = runtime
            .block_on((store.list)(format!("{base}/").into()))
            .expect("up");
        let found: Vec<Revision> = found.records.iter().map(|r| r.revision).collect();
        TestResult::from_bool(found == model.into_values().collect::<Vec<_>>())
    }
    // quickcheck takes only functions without environment.
    static STORES: OnceLock<(Runtime, Standin, [Store; 2])> = OnceLock::new();
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes values.
    fn property(ops: Vec<(u8, bool, bool)>) -> TestResult {
        let (runtime, _, stores) = STORES.get_or_init(|| {
            let standin = Standin::spawn();
            let ([near], [far]) = (in_memory(), over_protocol(&standin));
            let runtime = Runtime::new().expect("the runtime starts");
            (runtime, standin, [near, far])
        });
        let mut results = stores.iter().map(|s| model(&ops, s, runtime));
        let failed = results.find(TestResult::is_failure);
        failed.unwrap_or_else(TestResult::passed)
    }
    let property = property as fn(Vec<(u8, bool, bool)>) -> TestResult;
    QuickCheck::new().tests(50).quickcheck(property);
}

/// Guards leases: a holder that was paused must learn that it lost the key, and
/// the others that it is free.
#[test]
fn an_expired_lease_passes_to_another_holder() {
    let log = on_both(|[first, second]| async move {
        let record = |value: &str| Record {
            key: "l/key".into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            revision: Revision::default(),
        };
        let time = Millis(1_000);
        let mut log = Vec::new();
        let mut updates = (second.watch)(("l/".into(), Revision::default()))
            .await
            .expect("up");
        for value in ["a", "a", "b"] {
            log.push(format!(
                "first: {:?}",
                (first.lease)((record(value), time)).await
            ));
        }
        log.push(format!(
            "second: {:?}",
            (second.lease)((record("c"), time)).await
        ));
        // The first holder pauses, so its lease ends.
        for _ in 0..3 {
            log.push(show(&next(&mut updates).await.expect("the watch goes on")));
        }
        log.push(format!(
            "second: {:?}",
            (second.lease)((record("c"), time)).await
        ));
        log.push(format!(
            "first: {:?}",
            (first.lease)((record("b"), time)).await
        ));
        log
    });
    insta::assert_snapshot!(log);
}
