//! Claims: handles the requests to this entry as a home, and transfers claims
//! from the former homes after a change of the roster.

use std::{collections::BTreeMap, sync::Arc};

use super::spawn_call;
use crate::{
    adapters::grpc::{self, Sender},
    app::entry::State,
    domain::Millis,
    policy::once::{HomeRequest, HomeResponse, Member},
};

/// The interval between two rounds of transfer requests.
const TRANSFER_PERIOD: Millis = Millis(250);

/// The largest number of requests in one call. Each former home gets one call per
/// round.
const BATCH_MAX: usize = 256;

/// Transfers the claims that this entry needs before it votes as a new home.
pub(super) async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(TRANSFER_PERIOD.duration()).await;
        state.send_outbox();
        let now = (state.ports.clock.now)();
        let mut batches: BTreeMap<Member, Vec<HomeRequest>> = BTreeMap::new();
        let rosters = state.fleet.rosters();
        for (home, request) in state.claims.tick(now, &rosters.claims[0]) {
            let batch = batches.entry(home).or_default();
            if batch.len() < BATCH_MAX {
                batch.push(request);
            }
        }
        let transfers: Vec<_> = batches
            .into_iter()
            .map(|(home, requests)| spawn_call(transfer(state.clone(), home, requests)))
            .collect();
        // Waits for all replies, since the next round requests the pages that
        // follow them.
        for task in transfers {
            let _ = task.await;
        }
    }
}

async fn transfer(state: Arc<State>, home: Member, requests: Vec<HomeRequest>) {
    let Some(address) = state.fleet.address(&home.entry) else {
        return;
    };
    let sender = state.fleet.sender();
    let Ok(replies) =
        grpc::send_claims(&state.fleet.peers, address, &sender, &home, &requests).await
    else {
        return;
    };
    let now = (state.ports.clock.now)();
    for reply in replies {
        if let HomeResponse::Page(Ok(page)) = reply {
            state.claims.on_page(&home, page, now);
        }
    }
}

/// Handles a request to this entry as a home. Returns `None` if the request is
/// addressed to another incarnation of this entry.
pub(super) fn answer(
    state: &State,
    to: &Member,
    request: &HomeRequest,
) -> Option<(Sender, HomeResponse)> {
    if to != state.claims.me() {
        return None;
    }
    let response = state.claims.handle(request, (state.ports.clock.now)());
    Some((state.fleet.sender(), response))
}
