//! Limits: sends what ledgers ask for and wakes requests that wait for units.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::{beside, every};
use crate::{
    adapters::grpc::{
        self,
        limit::{LimitBatch, Unpacked, pack},
    },
    app::entry::State,
    policy::limit::{Outgoing, TICK_INTERVAL},
};

/// The most messages that are taken together. What goes to one peer is packed
/// into calls of at most 256 KB.
const BATCH: usize = 512;

/// Does what is due for every ledger.
pub(super) async fn run(state: Arc<State>) {
    every(TICK_INTERVAL, move || {
        let now = (state.ports.clock.now)();
        let roster = state.roster();
        let mut out = Vec::new();
        state.limits.each(|_, ledger| {
            if ledger.epoch() < roster.epoch() {
                ledger.set_roster(roster.clone(), now);
            }
            out.extend(ledger.tick(now));
        });
        state.enqueue_messages(out);
        state.start_all_queued();
    })
    .await;
}

/// Sends messages about limits, all that wait for one peer in one call.
pub(super) async fn dispatch(state: Arc<State>, mut outbox: mpsc::UnboundedReceiver<Outgoing>) {
    let mut waiting = Vec::new();
    while outbox.recv_many(&mut waiting, BATCH).await > 0 {
        for batch in pack(&state.me, &waiting) {
            beside(send(state.clone(), batch));
        }
        waiting.clear();
    }
}

async fn send(state: Arc<State>, batch: LimitBatch) {
    let Ok(to) = batch.to.parse() else {
        return;
    };
    let Some(address) = state.fleet.address(&to) else {
        return;
    };
    if let Err(e) = grpc::send_limit(&state.fleet.peers, address, batch).await {
        tracing::debug!("limit: {e}.");
    }
}

/// Takes messages of another entry.
pub(super) fn receive(state: &Arc<State>, batch: Unpacked) {
    let now = (state.ports.clock.now)();
    let Unpacked { from, to, items } = batch;
    for item in items {
        let name = item.limit.clone();
        // Surveys wait for the answer of every member, so a ledger is needed
        // even before a document names the limit.
        state.ensure_limit(&name);
        let out = state
            .limits
            .get(&name, |l| l.on_message(&from, &to, item, now));
        state.enqueue_messages(out.unwrap_or_default());
    }
    state.start_all_queued();
}
