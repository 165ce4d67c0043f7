//! Helpers that the tests of the store share.

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

/// The timeout of calls that are expected to get a response.
pub const LONG_TIMEOUT: Millis = Millis(5_000);

/// The timeout of calls that are expected to time out.
pub const SHORT_TIMEOUT: Millis = Millis(100);

/// Returns a client of the store at `address` and its counters.
pub fn connect(address: SocketAddr, timeout: Millis) -> (Store, Arc<CallCounters>) {
    let counters = Arc::new(CallCounters::default());
    (etcd::open(&[address], timeout, counters.clone()), counters)
}

/// Returns `N` handles of one in-memory store, each with its own leases, as
/// separate processes would have them.
pub fn memory_stores<const N: usize>() -> [Store; N] {
    let memory = memory::open(clock::open());
    std::array::from_fn(|_| memory.store(&Arc::default()))
}

/// Returns `N` clients of one stand-in, each with its own leases, as separate
/// processes would have them.
pub fn etcd_stores<const N: usize>(standin: &Standin) -> [Store; N] {
    std::array::from_fn(|_| connect(standin.address, LONG_TIMEOUT).0)
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

pub fn to_text(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub fn format_update(update: &Update) -> String {
    match update {
        Update::Put(r) => format!(
            "put {} = {} at {}",
            to_text(&r.key),
            to_text(&r.value),
            r.revision
        ),
        Update::Delete(key, revision) => format!("delete {} at {revision}", to_text(key)),
    }
}

/// Waits for the next update, or `None` if the watch ends. The timeout only
/// prevents a failing test from hanging.
pub async fn next_update(updates: &mut mpsc::Receiver<Update>) -> Option<Update> {
    let update = tokio::time::timeout(Duration::from_secs(60), updates.recv());
    update
        .await
        .expect("the watch returns an update or ends within 60 s")
}

/// Reads updates up to and including the one at revision `last`.
pub async fn read_through(updates: &mut mpsc::Receiver<Update>, last: Revision) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let update = next_update(updates).await.expect("the watch is open");
        let revision = match &update {
            Update::Put(record) => record.revision,
            Update::Delete(_, revision) => *revision,
        };
        lines.push(format_update(&update));
        if revision >= last {
            return lines;
        }
    }
}

pub async fn list_records(store: &Store, prefix: &'static str) -> (Vec<String>, Revision) {
    let snapshot = (store.list)(prefix.into()).await.expect("the store is up");
    let records = snapshot.records.iter();
    let lines = records.map(|r| {
        format!(
            "{} = {} at {}",
            to_text(&r.key),
            to_text(&r.value),
            r.revision
        )
    });
    (lines.collect(), snapshot.revision)
}

/// Runs a scenario against both implementations and returns its log, which must
/// be the same for both.
pub fn run_on_both<const N: usize, F>(scenario: impl Fn([Store; N]) -> F) -> String
where
    F: Future<Output = Vec<String>>,
{
    let runtime = Runtime::new().expect("the runtime starts");
    let standin = Standin::spawn();
    let in_memory_log = runtime.block_on(scenario(memory_stores()));
    let protocol_log = runtime.block_on(scenario(etcd_stores(&standin)));
    assert_eq!(
        in_memory_log, protocol_log,
        "the logs in memory and over the protocol differ"
    );
    in_memory_log.join("\n")
}

/// Waits until a condition holds, at most 3,000 times 20 ms. The limit only
/// prevents a failing test from hanging.
pub fn wait_until(runtime: &Runtime, mut condition: impl FnMut() -> bool) {
    runtime.block_on(async {
        for _ in 0..3_000 {
            if condition() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the condition does not hold within 60 s");
    });
}
