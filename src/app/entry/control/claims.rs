//! Claims: answers as a home, and reads from former homes after a change of the
//! roster.

use std::{collections::BTreeMap, sync::Arc};

use super::beside;
use crate::{
    adapters::grpc::{self, Sender},
    app::entry::State,
    domain::Millis,
    policy::once::{HomeRequest, HomeResponse, Member},
};

/// How often reads are repeated.
const PERIOD: Millis = Millis(250);

/// The most reads in one call.
const BATCH: usize = 256;

/// Reads what this entry needs before it votes.
pub(super) async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(PERIOD.duration()).await;
        state.send_outbox();
        let now = (state.ports.clock.now)();
        let mut batches: BTreeMap<Member, Vec<HomeRequest>> = BTreeMap::new();
        for (home, request) in state.claims.tick(now) {
            let batch = batches.entry(home).or_default();
            if batch.len() < BATCH {
                batch.push(request);
            }
        }
        let calls: Vec<_> = batches
            .into_iter()
            .map(|(home, requests)| beside(read(state.clone(), home, requests)))
            .collect();
        // The next round starts where this one ended, so it has to wait.
        for call in calls {
            let _ = call.await;
        }
    }
}

async fn read(state: Arc<State>, home: Member, requests: Vec<HomeRequest>) {
    let Some(address) = state.fleet.address(&home.entry) else {
        return;
    };
    let sender = state.fleet.sender();
    let Ok(replies) = grpc::ask_home(&state.fleet.peers, address, &sender, &home, &requests).await
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

/// Answers a request to this entry as a home, unless another life of it is
/// addressed.
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
