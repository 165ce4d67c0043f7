//! Limits: sends what ledgers ask for and wakes requests that wait for units.

use std::{collections::HashMap, sync::Arc};

use tokio::sync::mpsc;

use super::{beside, every};
use crate::{
    adapters::grpc,
    app::entry::State,
    policy::limit::{Item, Member, Outgoing, TICK},
};

/// The most messages that are sent to one peer at once, below the limit of 256
/// KB for a message of the wire.
const BATCH: usize = 512;

/// Does what is due for every ledger.
pub(super) async fn run(state: Arc<State>) {
    every(TICK, move || {
        let now = (state.ports.clock.now)();
        let roster = state.roster();
        let mut out = Vec::new();
        state.limits.each(|_, ledger| {
            if ledger.epoch() < roster.epoch() {
                ledger.set_roster(roster.clone(), now);
            }
            out.extend(ledger.tick(now));
        });
        state.post(out);
        state.pump_waiting();
    })
    .await;
}

/// Sends messages about limits, all that wait for one peer in one call.
pub(super) async fn dispatch(state: Arc<State>, mut outbox: mpsc::UnboundedReceiver<Outgoing>) {
    let mut waiting = Vec::new();
    while outbox.recv_many(&mut waiting, BATCH).await > 0 {
        let mut batches: HashMap<Member, Vec<Item>> = HashMap::new();
        for Outgoing { to, item } in waiting.drain(..) {
            batches.entry(to).or_default().push(item);
        }
        for (to, items) in batches {
            beside(send(state.clone(), to, items));
        }
    }
}

async fn send(state: Arc<State>, to: Member, items: Vec<Item>) {
    let Some(address) = state.fleet.address(&to.entry) else {
        return;
    };
    let sender = state.fleet.sender();
    if let Err(e) = grpc::limit(&state.fleet.peers, address, sender, &to, &items).await {
        tracing::debug!("limit: {e}.");
    }
}

/// Takes messages of another entry.
pub(super) fn receive(state: &Arc<State>, from: &Member, to: &Member, items: Vec<Item>) {
    let now = (state.ports.clock.now)();
    for item in items {
        let name = item.limit.clone();
        // Surveys wait for the answer of every member, so a ledger is needed
        // even before a document names the limit.
        state.ensure_limit(&name);
        let out = state
            .limits
            .get(&name, |l| l.on_message(from, to, item, now));
        state.post(out.unwrap_or_default());
    }
    state.pump_waiting();
}
