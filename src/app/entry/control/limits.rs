//! Limits: sends the messages of the ledgers and wakes requests that wait for
//! units.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::{run_every, spawn_call};
use crate::{
    adapters::grpc::{
        self,
        limit::{LimitBatch, UnpackedBatch, pack},
    },
    app::entry::State,
    policy::limit::{Outgoing, TICK_INTERVAL},
};

/// The largest number of messages that are taken from the outbox at once. Those
/// for the same peer are packed into calls of at most 256 KB.
const RECEIVE_MAX: usize = 512;

/// Periodically gives every ledger the current roster, ticks it and sends its
/// messages.
pub(super) async fn run(state: Arc<State>) {
    run_every(TICK_INTERVAL, move || {
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

/// Sends the messages in the outbox. Messages for the same peer share a call.
pub(super) async fn dispatch(state: Arc<State>, mut outbox: mpsc::UnboundedReceiver<Outgoing>) {
    let mut waiting = Vec::new();
    while outbox.recv_many(&mut waiting, RECEIVE_MAX).await > 0 {
        for batch in pack(&state.me, &waiting) {
            spawn_call(send(state.clone(), batch));
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
        tracing::debug!("limit: a batch could not be sent: {e}.");
    }
}

/// Passes messages of another entry to the ledgers that they concern.
pub(super) fn receive(state: &Arc<State>, batch: UnpackedBatch) {
    let now = (state.ports.clock.now)();
    let UnpackedBatch { from, to, items } = batch;
    for item in items {
        let name = item.limit.clone();
        // A survey waits for the reply of every member, so the ledger is created
        // even if no document known here names the limit yet.
        state.ensure_limit(&name);
        let out = state
            .limits
            .get(&name, |l| l.on_message(&from, &to, item, now));
        state.enqueue_messages(out.unwrap_or_default());
    }
    state.start_all_queued();
}
