//! Moves of traffic: takes the next step when it is time, and follows the other
//! entries where this one has no traffic to judge by.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use futures::future::join_all;
use rand::seq::IndexedRandom;

use crate::{
    adapters::grpc,
    app::entry::State,
    domain::{Millis, RegionName, ServiceName},
    policy::{
        member,
        shift::{Progress, TickOutcome},
        timeline::Kind,
    },
};

/// How often moves are looked at. It is the shortest time of a step.
const PERIOD: Millis = Millis(1_000);

/// How long after its start an entry asks its peers for moves. Within this time
/// it has heard of every move that was under way.
const EARLY: Millis = Millis(10_000);

/// How many peers are asked.
const ASKED: usize = 3;

/// Runs the moves of all services.
pub(super) async fn run(state: Arc<State>) {
    let mut lost = BTreeSet::new();
    let started = (state.ports.clock.now)();
    loop {
        tokio::time::sleep(PERIOD.duration()).await;
        regions(&state, &mut lost);
        let early = (state.ports.clock.now)() - started < EARLY;
        let peers = if early || !moves(&state).is_empty() {
            ask(&state).await
        } else {
            BTreeMap::new()
        };
        step(&state, &peers);
    }
}

/// Takes the next step of every service's move, with what peers report.
fn step(state: &State, peers: &BTreeMap<ServiceName, Progress>) {
    let now = (state.ports.clock.now)();
    let demand = demand(state);
    let mut events = Vec::new();
    state.services.each(|name, s| {
        s.compute_local_weights(&state.settings.region, &demand);
        let Some(shift) = &mut s.shift else {
            return;
        };
        let kind = match shift.tick(peers.get(name), now) {
            TickOutcome::Stepped => Kind::ShiftStepped,
            TickOutcome::Finished => Kind::ShiftCompleted,
            TickOutcome::Settled
            | TickOutcome::Waiting
            | TickOutcome::Held(_)
            | TickOutcome::Capped
            | TickOutcome::Followed => return,
        };
        events.push((kind, format!("{name} to revision {}", shift.revision())));
    });
    for (kind, text) in events {
        (state.events.emit)(kind, text);
    }
}

/// Returns the traffic of each region, in entries. Look-ups spread the callers of
/// a region over its entries, so their number stands for its traffic.
fn demand(state: &State) -> Vec<(RegionName, u32)> {
    let members = state.fleet.members();
    let mut demand: BTreeMap<RegionName, u32> = BTreeMap::new();
    for member in members.alive() {
        *demand.entry(member.region.clone()).or_default() += 1;
    }
    demand.into_iter().collect()
}

/// Returns the moves that are under way here.
pub(super) fn moves(state: &State) -> Vec<(ServiceName, Progress)> {
    let mut moves = Vec::new();
    state.services.each(|name, s| {
        if let Some(shift) = s.shift.as_ref().filter(|s| s.is_moving()) {
            moves.push((name.clone(), shift.progress()));
        }
    });
    moves
}

/// Returns the least advanced shares that a few peers report.
async fn ask(state: &Arc<State>) -> BTreeMap<ServiceName, Progress> {
    let others = state.fleet.other_entries();
    let asked = others.choose_multiple(&mut rand::rng(), ASKED);
    let calls = asked.map(|to| async move {
        let address = state.fleet.address(to)?;
        grpc::moves(&state.fleet.peers, address).await.ok()
    });
    let mut merged: BTreeMap<ServiceName, Progress> = BTreeMap::new();
    for (name, progress) in join_all(calls).await.into_iter().flatten().flatten() {
        let known = merged.remove(&name);
        let least = known.map_or(progress.clone(), |k| k.merge(progress));
        merged.insert(name, least);
    }
    merged
}

/// Notes regions whose entries are all gone as far as steering is concerned, and
/// those that are back.
fn regions(state: &State, lost: &mut BTreeSet<RegionName>) {
    let now = (state.ports.clock.now)();
    let gone = gone(state);
    for region in gone.symmetric_difference(lost) {
        let is_lost = gone.contains(region);
        state.services.each(|_, s| {
            if let Some(shift) = &mut s.shift {
                shift.set_region_lost(region, is_lost, now);
            }
        });
        let text = if is_lost { "lost" } else { "back" };
        (state.events.emit)(Kind::RegionLost, format!("{region} is {text}"));
    }
    *lost = gone;
}

/// Returns the regions without an entry in use.
///
/// A region with a single known entry never counts: that entry may have failed
/// alone, and the targets' own failures then say what can be reached.
fn gone(state: &State) -> BTreeSet<RegionName> {
    let members = state.fleet.members();
    let mut dead: BTreeMap<RegionName, usize> = BTreeMap::new();
    let mut live = BTreeSet::new();
    for (member, seen) in members.all() {
        if seen == member::State::Dead {
            *dead.entry(member.region.clone()).or_default() += 1;
        } else {
            live.insert(member.region.clone());
        }
    }
    let gone = dead
        .into_iter()
        .filter(|(r, n)| *n > 1 && !live.contains(r));
    gone.map(|(region, _)| region).collect()
}
