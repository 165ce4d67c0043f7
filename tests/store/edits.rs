//! Edits of documents with lost responses, concurrent editors and delayed
//! writes.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering::Relaxed},
};

use savorybeam::{
    adapters::store::{
        documents,
        documents::{SubmitError, submit},
    },
    domain::{Millis, Revision, ServiceName},
    policy::document::{Edit, EditError, EditId},
    ports::{Fut, Store, StoreError},
};
use tokio::runtime::Runtime;

use crate::{
    standin::Standin,
    support::{SHORT_TIMEOUT, connect, etcd_stores, memory_stores, put, run_on_both, wait_until},
};

pub fn service() -> ServiceName {
    "slotboard".parse().expect("the name is valid")
}

pub fn edit(id: u128) -> Edit {
    Edit {
        id: EditId(id),
        team: "kitchens".parse().expect("the name is valid"),
        wall_time: Millis(0),
        text: Some(format!("text {id}")),
    }
}

/// Returns the edit ids in the service's record, the latest first.
async fn stored_ids(store: &Store) -> Vec<u128> {
    let stored = documents::read(store, &service()).await.expect("up");
    let history = stored.expect("there is a record").history;
    let former = history.former.iter().map(|f| f.edit.id.0);
    std::iter::once(history.current.id.0)
        .chain(former)
        .collect()
}

/// Returns a store that loses the responses of the next `count` successful
/// writes.
fn losing_responses(store: Store, count: u32) -> Store {
    let remaining = Arc::new(AtomicU32::new(count));
    let write = store.write.clone();
    Store {
        write: Arc::new(move |change| {
            let (written, remaining) = (write(change), remaining.clone());
            Box::pin(async move {
                let result = written.await;
                let lose = remaining.fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1));
                if result.is_ok() && lose.is_ok() {
                    return Err(StoreError::Unknown {
                        step: "write",
                        peer: "memory".to_owned(),
                        cause: "lost".to_owned(),
                    });
                }
                result
            }) as Fut<_>
        }),
        ..store
    }
}

/// Guards against an edit that is written twice, or that conflicts with itself,
/// after the response of its first write was lost.
#[test]
fn a_lost_response_is_resolved_by_the_edit_id() {
    async fn scenario(store: Store) -> Vec<u128> {
        let first = submit(&store, &service(), None, Revision::default(), edit(1)).await;
        let second = submit(&store, &service(), None, Revision::default(), edit(2)).await;
        let again = submit(&store, &service(), None, Revision::default(), edit(1)).await;
        assert_eq!(
            (first, second, again),
            (Ok(Revision(2)), Ok(Revision(3)), Ok(Revision(2)))
        );
        let stale = submit(
            &store,
            &service(),
            Some(Revision(2)),
            Revision::default(),
            edit(3),
        )
        .await;
        let conflict = EditError::Conflict {
            base: Revision(2),
            found: Revision(3),
        };
        assert_eq!(stale, Err(SubmitError::Refused(conflict)));
        stored_ids(&store).await
    }
    let runtime = Runtime::new().expect("the runtime starts");
    let [memory_store] = memory_stores();
    let memory_ids = runtime.block_on(scenario(losing_responses(memory_store, 2)));
    let standin = Standin::spawn();
    standin.post_control("lose/2");
    let [etcd_store] = etcd_stores(&standin);
    assert_eq!(runtime.block_on(scenario(etcd_store.clone())), memory_ids);
    assert_eq!(memory_ids, [2, 1]);
    // The store itself may report that the outcome is unknown.
    standin.post_control("fail/1");
    let write = put("timeout", "x", Revision::default());
    let lost = runtime
        .block_on((etcd_store.write)(write))
        .expect_err("the store fails");
    let lost = lost
        .to_string()
        .replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(lost, @"write at STORE: etcdserver: request timed out; it may have taken effect");
    // A writer that repeats the write without comparing ids conflicts with its
    // own first write.
    standin.post_control("lose/1");
    let write = put("naive", "x", Revision::default());
    let lost = runtime.block_on((etcd_store.write)(write.clone()));
    assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
    let repeated = runtime.block_on((etcd_store.write)(write));
    assert_eq!(repeated, Err(StoreError::Conflict(Revision(5))));
}

/// Guards against an edit that is written twice because a write takes effect
/// after it has timed out. Here every write times out and is executed later,
/// while reads are fast, so the editor repeats a write that is still in flight.
#[test]
fn a_late_write_takes_effect_once() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Arc::new(Standin::spawn());
    let [reliable] = etcd_stores(&standin);
    let (impatient, counters) = connect(standin.address, SHORT_TIMEOUT);
    let late = Store {
        write: {
            let standin = standin.clone();
            Arc::new(move |change| {
                standin.post_control("slow/1000");
                let (written, standin) = ((impatient.write)(change), standin.clone());
                Box::pin(async move {
                    let result = written.await;
                    standin.post_control("slow/0");
                    result
                }) as Fut<_>
            })
        },
        ..reliable.clone()
    };
    let result = runtime.block_on(submit(
        &late,
        &service(),
        None,
        Revision::default(),
        edit(1),
    ));
    assert!(counters.counts().writes > 1, "the write is repeated");
    wait_until(&runtime, || standin.count("pending") == 0);
    let resolved = match result {
        Err(SubmitError::Store(StoreError::Unknown { .. })) => runtime.block_on(submit(
            &reliable,
            &service(),
            None,
            Revision::default(),
            edit(1),
        )),
        resolved => resolved,
    };
    assert_eq!(resolved, Ok(Revision(2)));
    assert_eq!(runtime.block_on(stored_ids(&reliable)), [1]);
    // The error contains the step and the address of the store.
    let lost = runtime.block_on((late.write)(put("late", "x", Revision::default())));
    let error = lost.expect_err("the write times out").to_string();
    let error = error.replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(error, @"write at STORE: timed out after 100 ms; it may have taken effect");
}

/// Guards against two concurrent edits of the same revision that are both
/// accepted.
#[test]
fn one_of_two_concurrent_edits_is_accepted() {
    run_on_both(|[first, second]| async move {
        let base = submit(&first, &service(), None, Revision::default(), edit(1))
            .await
            .expect("up");
        let service = service();
        let (a, b) = tokio::join!(
            submit(&first, &service, Some(base), Revision::default(), edit(2)),
            submit(&second, &service, Some(base), Revision::default(), edit(3)),
        );
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        let conflict = EditError::Conflict {
            base,
            found: won.expect("one edit is accepted"),
        };
        assert_eq!(lost, Err(SubmitError::Refused(conflict)));
        assert_eq!(stored_ids(&first).await.len(), 2);
        Vec::new()
    });
}
