//! The store: a few entries watch it, and the others receive its changes from
//! them.

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

/// How often an entry checks whether it should watch the store.
const CHECK_PERIOD: Millis = Millis(500);

/// The longest delay before a broken watch is opened again. With six holders, a
/// store that has just recovered then receives only a few calls per second.
const REOPEN_DELAY_MAX: Millis = Millis(2_000);

/// How long an entry that has started waits to discover others before it assumes
/// that it is the first. Without this delay, entries that start at the same time
/// would each act as the only watch holder and the only proposer.
const DISCOVERY_TIMEOUT: Millis = Millis(3_000);

/// Waits until another entry is known or [`DISCOVERY_TIMEOUT`] has passed. Returns
/// at once if the entry has no seeds but itself.
pub(super) async fn wait_for_peers(state: &State) {
    let own = state.settings.peers;
    if state.settings.seeds.iter().all(|s| *s == own) {
        return;
    }
    let start = (state.ports.clock.now)();
    while state.fleet.other_entries().is_empty()
        && (state.ports.clock.now)() - start < DISCOVERY_TIMEOUT
    {
        jitter(Millis(100)).await;
    }
}

/// Watches the store whenever this entry is one of the watch holders.
pub(super) async fn run(state: Arc<State>) {
    wait_for_peers(&state).await;
    loop {
        if !is_holder(&state) {
            tokio::time::sleep(CHECK_PERIOD.duration()).await;
            continue;
        }
        if let Err(e) = watch(&state).await {
            tracing::debug!("store: the watch failed: {e}.");
        }
        jitter(REOPEN_DELAY_MAX).await;
    }
}

fn is_holder(state: &State) -> bool {
    let members = state.fleet.members();
    let holders = watch_holders(members.alive());
    holders.contains(&&members.local().id)
}

/// Reads all records once and then follows the changes, until a watch breaks or
/// this entry is no longer a watch holder.
async fn watch(state: &Arc<State>) -> Result<(), StoreError> {
    let store = &state.ports.store;
    let documents = (store.list)(records::KEY_PREFIX).await?;
    let roster = (store.list)(encoding::KEY).await?;
    apply_snapshot(state, &documents);
    apply_snapshot(state, &roster);
    state.set_documents_loaded();
    gossip::disseminate(state);
    let mut documents = open_watch(state, records::KEY_PREFIX, documents.revision).await?;
    let mut roster = open_watch(state, encoding::KEY, roster.revision).await?;
    loop {
        let update = async {
            tokio::select! {
                update = documents.recv() => update,
                update = roster.recv() => update,
            }
        };
        match timeout(CHECK_PERIOD.duration(), update).await {
            Ok(Some(update)) => {
                apply_update(state, &update);
                gossip::disseminate(state);
            }
            Err(_) if is_holder(state) => {}
            Ok(None) | Err(_) => return Ok(()),
        }
    }
}

async fn open_watch(
    state: &State,
    prefix: Bytes,
    from: Revision,
) -> Result<mpsc::Receiver<Update>, StoreError> {
    (state.ports.store.watch)((prefix, from)).await
}

fn apply_snapshot(state: &Arc<State>, snapshot: &Snapshot) {
    for record in &snapshot.records {
        apply_update(state, &Update::Put(record.clone()));
    }
}

fn apply_update(state: &Arc<State>, update: &Update) {
    if let Update::Put(record) = update
        && record.key == encoding::KEY
    {
        match encoding::decode(&record.value) {
            Ok(roster) => state.adopt_roster(roster),
            Err(e) => tracing::error!("store: the roster record is invalid: {e}."),
        }
        return;
    }
    for revision in records::document_revisions(update) {
        documents::adopt(state, revision);
    }
}
