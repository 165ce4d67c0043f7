//! Strikes: notifies the other entries of requests that break connections.

use std::sync::{Arc, MutexGuard};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::{run_every, spawn_call};
use crate::{
    adapters::grpc::{self, Sender},
    app::entry::State,
    domain::{EntryId, Millis, lock},
    policy::crash::{Merged, StrikeNotice, StrikeTable},
};

/// How long the response to a caller is held until the peers know of a strike.
const NOTICE_TIMEOUT: Millis = Millis(250);

/// How many peers are notified directly. Each of them forwards a notice that is
/// new to it, so the cost for one entry does not grow with the fleet.
const NOTICE_FANOUT: usize = 8;

/// How often an entry compares its strikes with those of one peer.
const COMPARE_PERIOD: Millis = Millis(1_000);

/// The largest number of notices in one comparison.
const PAGE_LEN: usize = 64;

fn lock_strikes(state: &State) -> MutexGuard<'_, StrikeTable> {
    lock(&state.strikes)
}

/// Periodically removes expired strikes and compares a page of the others with a
/// random peer.
pub(super) async fn run(state: Arc<State>) {
    let mut after = None;
    run_every(COMPARE_PERIOD, move || {
        let now = (state.ports.clock.now)();
        lock_strikes(&state).tick(now);
        let page = lock_strikes(&state).page(after, PAGE_LEN, now);
        after = page.last().map(|s| s.fingerprint);
        let others = state.fleet.other_entries();
        if let (Some(to), false) = (others.choose(&mut rand::rng()), page.is_empty()) {
            spawn_call(send_notices(state.clone(), to.clone(), page));
        }
    })
    .await;
}

/// Notifies random peers of a strike. Returns when all of them have replied or
/// failed, or after [`NOTICE_TIMEOUT`], because a caller's response is held
/// meanwhile.
pub(in crate::app::entry) async fn announce_strike(state: &Arc<State>, strike: StrikeNotice) {
    let others = state.fleet.other_entries();
    let chosen: Vec<EntryId> = others
        .choose_multiple(&mut rand::rng(), NOTICE_FANOUT)
        .cloned()
        .collect();
    let calls: FuturesUnordered<_> = chosen
        .into_iter()
        .map(|to| spawn_call(send_notices(state.clone(), to, vec![strike.clone()])))
        .collect();
    let _ = timeout(NOTICE_TIMEOUT.duration(), calls.for_each(|_| async {})).await;
}

async fn send_notices(state: Arc<State>, to: EntryId, list: Vec<StrikeNotice>) {
    let Some(address) = state.fleet.address(&to) else {
        return;
    };
    let sender = state.fleet.sender();
    if let Ok(more) = grpc::send_strikes(&state.fleet.peers, address, &sender, &list).await {
        merge(&state, &more);
    }
}

/// Merges the notices of a peer and returns those that the peer lacks.
pub(super) fn receive(state: &Arc<State>, list: &[StrikeNotice]) -> (Sender, Vec<StrikeNotice>) {
    let more = merge(state, list);
    (state.fleet.sender(), more)
}

/// Merges notices, forwards those that are new, and returns those that the sender
/// lacks.
fn merge(state: &Arc<State>, list: &[StrikeNotice]) -> Vec<StrikeNotice> {
    let now = (state.ports.clock.now)();
    let Merged { fresh, lacking } = lock_strikes(state).merge_all(list, now);
    for strike in fresh {
        let state = state.clone();
        spawn_call(async move { announce_strike(&state, strike).await });
    }
    lacking
}
