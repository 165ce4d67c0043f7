//! What the tests of the store share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use savorybeam::{
    adapters::{
        clock,
        store::{CallCounters, etcd, memory},
    },
    domain::{Millis, Revision},
    ports::{Store, Update, Write},
};
use tokio::{runtime::Runtime, sync::mpsc};

use crate::standin::Standin;

/// The timeout of calls that are expected to be answered.
pub const PATIENT: Millis = Millis(5_000);

/// The timeout of calls that are expected to time out.
pub const HASTY: Millis = Millis(100);

pub fn connect(address: SocketAddr, timeout: Millis) -> (Store, Arc<CallCounters>) {
    let calls = Arc::new(CallCounters::default());
    (etcd::open(&[address], timeout, calls.clone()), calls)
}

/// Returns several processes' views of one store in memory.
pub fn in_memory<const N: usize>() -> [Store; N] {
    let memory = memory::open(clock::open());
    std::array::from_fn(|_| memory.store(&Arc::default()))
}

/// Returns several processes' views of one stand-in.
pub fn over_protocol<const N: usize>(standin: &Standin) -> [Store; N] {
    std::array::from_fn(|_| connect(standin.address, PATIENT).0)
}

pub fn put(key: &str, value: &str, expected: Revision) -> Write {
    Write {
        key: Bytes::copy_from_slice(key.as_bytes()),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
        expected,
    }
}

pub fn delete(key: &str, expected: Revision) -> Write {
    Write {
        value: None,
        ..put(key, "", expected)
    }
}

pub fn text(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub fn show(update: &Update) -> String {
    match update {
        Update::Put(r) => format!(
            "put {} = {} at {}",
            text(&r.key),
            text(&r.value),
            r.revision
        ),
        Update::Delete(key, revision) => format!("delete {} at {revision}", text(key)),
    }
}

/// Waits for an update. The limit only ends a test that would hang.
pub async fn next(updates: &mut mpsc::Receiver<Update>) -> Option<Update> {
    let update = tokio::time::timeout(Duration::from_secs(60), updates.recv());
    update.await.expect("the watch reports or ends")
}

/// Reads updates up to and including the one at `last`.
pub async fn until(updates: &mut mpsc::Receiver<Update>, last: Revision) -> Vec<String> {
    let mut shown = Vec::new();
    loop {
        let update = next(updates).await.expect("the watch goes on");
        let at = match &update {
            Update::Put(record) => record.revision,
            Update::Delete(_, revision) => *revision,
        };
        shown.push(show(&update));
        if at >= last {
            return shown;
        }
    }
}

pub async fn list(store: &Store, prefix: &'static str) -> (Vec<String>, Revision) {
    let snapshot = (store.list)(prefix.into()).await.expect("the store is up");
    let records = snapshot.records.iter();
    let shown = records.map(|r| format!("{} = {} at {}", text(&r.key), text(&r.value), r.revision));
    (shown.collect(), snapshot.revision)
}

/// Runs one scenario on both stores and returns its log, which must be the same.
pub fn on_both<const N: usize, F>(scenario: impl Fn([Store; N]) -> F) -> String
where
    F: Future<Output = Vec<String>>,
{
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let near = runtime.block_on(scenario(in_memory()));
    let far = runtime.block_on(scenario(over_protocol(&standin)));
    assert_eq!(near, far, "memory and protocol differ");
    near.join("\n")
}

/// Waits until a condition holds. The limit only ends a test that would hang.
pub fn wait_until(runtime: &Runtime, mut holds: impl FnMut() -> bool) {
    runtime.block_on(async {
        for _ in 0..3_000 {
            if holds() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the condition never holds");
    });
}
