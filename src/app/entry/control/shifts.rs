//! Traffic shifts: takes the next step when it is due, and follows the progress
//! of the other entries for services whose traffic does not reach this one.

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

/// How often shifts are evaluated, which is also the shortest duration of a step.
const STEP_PERIOD: Millis = Millis(1_000);

/// How long after its start an entry asks its peers for shifts although it knows
/// of none. Within this time it learns of every shift that was in progress.
const STARTUP_PERIOD: Millis = Millis(10_000);

/// How many peers are asked for the progress of their shifts.
const PEERS_ASKED: usize = 3;

/// Runs the shifts of all services.
pub(super) async fn run(state: Arc<State>) {
    let mut lost = BTreeSet::new();
    let started = (state.ports.clock.now)();
    loop {
        tokio::time::sleep(STEP_PERIOD.duration()).await;
        update_lost_regions(&state, &mut lost);
        let is_starting = (state.ports.clock.now)() - started < STARTUP_PERIOD;
        let reported = if is_starting || !in_progress(&state).is_empty() {
            ask_peers(&state).await
        } else {
            BTreeMap::new()
        };
        advance_shifts(&state, &reported);
    }
}

/// Advances the shift of every service, given the progress that peers report.
fn advance_shifts(state: &State, reported: &BTreeMap<ServiceName, Progress>) {
    let now = (state.ports.clock.now)();
    let demand = demand(state);
    let mut events = Vec::new();
    state.services.each(|name, s| {
        s.compute_local_weights(&state.settings.region, &demand);
        let Some(shift) = &mut s.shift else {
            return;
        };
        let kind = match shift.tick(reported.get(name), now) {
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

/// Returns the demand of each region, measured in live entries. Lookups spread
/// the callers of a region over its entries, so their number represents its
/// traffic.
fn demand(state: &State) -> Vec<(RegionName, u32)> {
    let members = state.fleet.members();
    let mut demand: BTreeMap<RegionName, u32> = BTreeMap::new();
    for member in members.alive() {
        *demand.entry(member.region.clone()).or_default() += 1;
    }
    demand.into_iter().collect()
}

/// Returns the progress of the shifts that are in progress at this entry.
pub(super) fn in_progress(state: &State) -> Vec<(ServiceName, Progress)> {
    let mut shifts = Vec::new();
    state.services.each(|name, s| {
        if let Some(shift) = s.shift.as_ref().filter(|s| s.is_moving()) {
            shifts.push((name.clone(), shift.progress()));
        }
    });
    shifts
}

/// Asks a few peers for their progress, and returns the least advanced shares of
/// each service.
async fn ask_peers(state: &Arc<State>) -> BTreeMap<ServiceName, Progress> {
    let others = state.fleet.other_entries();
    let asked = others.choose_multiple(&mut rand::rng(), PEERS_ASKED);
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

/// Updates the set of lost regions, as [`lost_regions`] defines them, passes
/// each change to all shifts and emits an event for it.
fn update_lost_regions(state: &State, lost: &mut BTreeSet<RegionName>) {
    let now = (state.ports.clock.now)();
    let now_lost = lost_regions(state);
    for region in now_lost.symmetric_difference(lost) {
        let is_lost = now_lost.contains(region);
        state.services.each(|_, s| {
            if let Some(shift) = &mut s.shift {
                shift.set_region_lost(region, is_lost, now);
            }
        });
        let text = if is_lost { "lost" } else { "back" };
        (state.events.emit)(Kind::RegionLost, format!("{region} is {text}"));
    }
    *lost = now_lost;
}

/// Returns the regions in which all known entries are dead.
///
/// A region with a single known entry is never lost: that entry may have failed
/// alone, and the failures of the targets then show what can be reached.
fn lost_regions(state: &State) -> BTreeSet<RegionName> {
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
    let lost = dead
        .into_iter()
        .filter(|(r, n)| *n > 1 && !live.contains(r));
    lost.map(|(region, _)| region).collect()
}
