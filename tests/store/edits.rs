//! Edits of documents: lost responses, races, late writes.

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
    support::{HASTY, connect, in_memory, on_both, over_protocol, put, wait_until},
};

pub fn service() -> ServiceName {
    "slotboard".parse().expect("the name is good")
}

pub fn edit(id: u128) -> Edit {
    Edit {
        id: EditId(id),
        team: "kitchens".parse().expect("the name is good"),
        wall_time: Millis(0),
        text: Some(format!("text {id}")),
    }
}

/// Returns the ids in the service's record, the latest first.
async fn ids(store: &Store) -> Vec<u128> {
    let stored = documents::read(store, &service()).await.expect("up");
    let history = stored.expect("there is a record").history;
    let former = history.former.iter().map(|f| f.edit.id.0);
    std::iter::once(history.current.id.0)
        .chain(former)
        .collect()
}

/// Returns a store that loses the responses to the next writes after they took
/// effect.
fn lossy(store: Store, count: u32) -> Store {
    let left = Arc::new(AtomicU32::new(count));
    let write = store.write.clone();
    Store {
        write: Arc::new(move |change| {
            let (written, left) = (write(change), left.clone());
            Box::pin(async move {
                let result = written.await;
                let lose = left.fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1));
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

/// Guards edits against lost responses: the editor must neither edit twice nor
/// be told of a conflict with itself.
#[test]
fn a_lost_response_is_settled_by_the_edit_id() {
    async fn scenario(store: Store) -> Vec<u128> {
        let first = submit(&store, &service(), None, edit(1)).await;
        let second = submit(&store, &service(), None, edit(2)).await;
        let again = submit(&store, &service(), None, edit(1)).await;
        assert_eq!(
            (first, second, again),
            (Ok(Revision(2)), Ok(Revision(3)), Ok(Revision(2)))
        );
        let stale = submit(&store, &service(), Some(Revision(2)), edit(3)).await;
        let conflict = EditError::Conflict {
            base: Revision(2),
            found: Revision(3),
        };
        assert_eq!(stale, Err(SubmitError::Refused(conflict)));
        ids(&store).await
    }
    let runtime = Runtime::new().expect("the runtime starts");
    let [near] = in_memory();
    let near = runtime.block_on(scenario(lossy(near, 2)));
    let standin = Standin::spawn();
    standin.set("lose/2");
    let [far] = over_protocol(&standin);
    assert_eq!(runtime.block_on(scenario(far.clone())), near);
    assert_eq!(near, [2, 1]);
    // The store itself may say that it does not know.
    standin.set("fail/1");
    let write = put("timeout", "x", Revision::default());
    let lost = runtime
        .block_on((far.write)(write))
        .expect_err("the store fails");
    let lost = lost
        .to_string()
        .replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(lost, @"write at STORE: etcdserver: request timed out; it may have taken effect");
    // The naive writer, which repeats the write, loses against itself.
    standin.set("lose/1");
    let write = put("naive", "x", Revision::default());
    let lost = runtime.block_on((far.write)(write.clone()));
    assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
    let naive = runtime.block_on((far.write)(write));
    assert_eq!(naive, Err(StoreError::Conflict(Revision(5))));
}

/// Guards against a write that takes effect after its writer gave up. Every
/// write here times out and arrives later, while reads are answered at once, so
/// the editor repeats a write that is still on its way.
#[test]
fn a_late_write_takes_effect_once() {
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Arc::new(Standin::spawn());
    let [patient] = over_protocol(&standin);
    let (hasty, calls) = connect(standin.address, HASTY);
    let late = Store {
        write: {
            let standin = standin.clone();
            Arc::new(move |change| {
                standin.set("slow/1000");
                let (written, standin) = ((hasty.write)(change), standin.clone());
                Box::pin(async move {
                    let result = written.await;
                    standin.set("slow/0");
                    result
                }) as Fut<_>
            })
        },
        ..patient.clone()
    };
    let result = runtime.block_on(submit(&late, &service(), None, edit(1)));
    assert!(calls.counts().writes > 1, "the write is repeated");
    wait_until(&runtime, || standin.count("pending") == 0);
    let settled = match result {
        Err(SubmitError::Store(StoreError::Unknown { .. })) => {
            runtime.block_on(submit(&patient, &service(), None, edit(1)))
        }
        settled => settled,
    };
    assert_eq!(settled, Ok(Revision(2)));
    assert_eq!(runtime.block_on(ids(&patient)), [1]);
    // The error names the step and the peer.
    let lost = runtime.block_on((late.write)(put("late", "x", Revision::default())));
    let error = lost.expect_err("the write times out").to_string();
    let error = error.replace(&standin.address.to_string(), "STORE");
    insta::assert_snapshot!(error, @"write at STORE: timed out after 100 ms; it may have taken effect");
}

/// Guards the race of two editors who started from the same revision.
#[test]
fn one_of_two_editors_wins() {
    on_both(|[first, second]| async move {
        let base = submit(&first, &service(), None, edit(1)).await.expect("up");
        let service = service();
        let (a, b) = tokio::join!(
            submit(&first, &service, Some(base), edit(2)),
            submit(&second, &service, Some(base), edit(3)),
        );
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        let conflict = EditError::Conflict {
            base,
            found: won.expect("one editor wins"),
        };
        assert_eq!(lost, Err(SubmitError::Refused(conflict)));
        assert_eq!(ids(&first).await.len(), 2);
        Vec::new()
    });
}
