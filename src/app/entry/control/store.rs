//! The store: few entries watch it, and all others learn from them.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{sync::mpsc, time::timeout};

use super::{documents, gossip, jitter};
use crate::{
    adapters::store::{documents as records, roster as encoding},
    app::entry::State,
    domain::{Millis, Revision},
    policy::spread::watch_holders,
    ports::{Snapshot, StoreError, Update},
};

/// How often an entry looks whether it is to watch.
const PERIOD: Millis = Millis(500);

/// The longest wait before a broken watch is opened again. Six holders then
/// make a handful of calls a second to a store that has just come back.
const BACK_OFF: Millis = Millis(2_000);

/// How long a started entry looks for others before it takes itself to be the
/// first. Without this, entries that all start at once would each take
/// themselves for the only holder and the only proposer.
const ALONE: Millis = Millis(3_000);

/// Waits until another entry is known, or until it is likely that there is none.
pub(super) async fn meet(state: &State) {
    let own = state.settings.peers;
    if state.settings.seeds.iter().all(|s| *s == own) {
        return;
    }
    let start = (state.ports.clock.now)();
    while state.fleet.others().is_empty() && (state.ports.clock.now)() - start < ALONE {
        jitter(Millis(100)).await;
    }
}

/// Watches the store whenever this entry is one of the holders.
pub(super) async fn run(state: Arc<State>) {
    meet(&state).await;
    loop {
        if !is_holder(&state) {
            tokio::time::sleep(PERIOD.duration()).await;
            continue;
        }
        if let Err(e) = watch(&state).await {
            tracing::debug!("store: {e}.");
        }
        jitter(BACK_OFF).await;
    }
}

fn is_holder(state: &State) -> bool {
    let members = state.fleet.members();
    let holders = watch_holders(members.alive());
    holders.contains(&&members.local().id)
}

/// Reads everything once and then follows the changes, until the watch breaks or
/// another entry takes over.
async fn watch(state: &Arc<State>) -> Result<(), StoreError> {
    let store = &state.ports.store;
    let documents = (store.list)(records::KEY_PREFIX).await?;
    let roster = (store.list)(encoding::KEY).await?;
    take_all(state, &documents);
    take_all(state, &roster);
    state.set_informed();
    gossip::disseminate(state);
    let mut documents = open(state, records::KEY_PREFIX, documents.revision).await?;
    let mut roster = open(state, encoding::KEY, roster.revision).await?;
    loop {
        let update = async {
            tokio::select! {
                update = documents.recv() => update,
                update = roster.recv() => update,
            }
        };
        match timeout(PERIOD.duration(), update).await {
            Ok(Some(update)) => {
                take(state, &update);
                gossip::disseminate(state);
            }
            Err(_) if is_holder(state) => {}
            Ok(None) | Err(_) => return Ok(()),
        }
    }
}

async fn open(
    state: &State,
    prefix: Bytes,
    from: Revision,
) -> Result<mpsc::Receiver<Update>, StoreError> {
    (state.ports.store.watch)((prefix, from)).await
}

fn take_all(state: &Arc<State>, snapshot: &Snapshot) {
    for record in &snapshot.records {
        take(state, &Update::Put(record.clone()));
    }
}

fn take(state: &Arc<State>, update: &Update) {
    if let Update::Put(record) = update
        && record.key == encoding::KEY
    {
        match encoding::decode(&record.value) {
            Ok(roster) => state.adopt_roster(roster),
            Err(e) => tracing::error!("store: the roster cannot be read: {e}."),
        }
        return;
    }
    for arrival in records::document_revisions(update) {
        documents::arrive(state, arrival);
    }
}
