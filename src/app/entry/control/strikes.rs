//! Strikes: tells the other entries of requests that break connections.

use std::sync::{Arc, MutexGuard, PoisonError};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::{beside, every};
use crate::{
    adapters::grpc::{self, Sender},
    app::entry::State,
    domain::{EntryId, Millis},
    policy::crash::{StrikeNotice, StrikeTable},
};

/// How long a caller's answer waits for the peers to know of a strike.
const WAIT: Millis = Millis(250);

/// How many peers are told directly. Each passes a notice on that is new to it,
/// so the cost for one entry does not grow with the fleet.
const FANOUT: usize = 8;

/// How often an entry compares what it knows with one peer.
const PERIOD: Millis = Millis(1_000);

/// How many notices one comparison carries.
const PAGE: usize = 64;

fn strikes(state: &State) -> MutexGuard<'_, StrikeTable> {
    state.strikes.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes old strikes, and compares the rest with one peer.
pub(super) async fn run(state: Arc<State>) {
    let mut after = None;
    every(PERIOD, move || {
        let now = (state.ports.clock.now)();
        strikes(&state).tick(now);
        let page = strikes(&state).page(after, PAGE, now);
        after = page.last().map(|s| s.fingerprint);
        let others = state.fleet.other_entries();
        if let (Some(to), false) = (others.choose(&mut rand::rng()), page.is_empty()) {
            beside(tell(state.clone(), to.clone(), page));
        }
    })
    .await;
}

/// Tells the peers of a strike, and returns when they know or when the time that
/// a caller may wait for it is over.
pub(in crate::app::entry) async fn notify(state: &Arc<State>, strike: StrikeNotice) {
    let others = state.fleet.other_entries();
    let chosen: Vec<EntryId> = others
        .choose_multiple(&mut rand::rng(), FANOUT)
        .cloned()
        .collect();
    let calls: FuturesUnordered<_> = chosen
        .into_iter()
        .map(|to| beside(tell(state.clone(), to, vec![strike.clone()])))
        .collect();
    let _ = timeout(WAIT.duration(), calls.for_each(|_| async {})).await;
}

async fn tell(state: Arc<State>, to: EntryId, list: Vec<StrikeNotice>) {
    let Some(address) = state.fleet.address(&to) else {
        return;
    };
    let sender = state.fleet.sender();
    if let Ok(more) = grpc::strike(&state.fleet.peers, address, &sender, &list).await {
        merge(&state, &more);
    }
}

/// Takes notices and returns what this entry knows beyond them.
pub(super) fn receive(state: &Arc<State>, list: &[StrikeNotice]) -> (Sender, Vec<StrikeNotice>) {
    let more = merge(state, list);
    (state.fleet.sender(), more)
}

/// Merges notices, passes on what is new, and returns what is known beyond them.
fn merge(state: &Arc<State>, list: &[StrikeNotice]) -> Vec<StrikeNotice> {
    let now = (state.ports.clock.now)();
    let mut fresh = Vec::new();
    let mut more = Vec::new();
    {
        let mut strikes = strikes(state);
        for strike in list {
            let before = strikes.count(strike.fingerprint, now);
            more.extend(strikes.merge(strike, now));
            if strikes.count(strike.fingerprint, now) > before {
                fresh.push(strike.clone());
            }
        }
    }
    for strike in fresh {
        let state = state.clone();
        beside(async move { notify(&state, strike).await });
    }
    more
}
