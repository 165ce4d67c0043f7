//! Moves of traffic: takes the next step when it is time, and follows the other
//! entries where this one has no traffic to judge by.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::seq::IndexedRandom;

use super::{beside, every};
use crate::{
    adapters::grpc,
    app::entry::State,
    domain::{EntryId, Millis, RegionName, ServiceName},
    policy::{
        member,
        shift::{Pace, Progress},
        timeline::Kind,
    },
};

/// How often a move is looked at.
const PERIOD: Millis = Millis(250);

/// How long after its start an entry asks its peers how far moves have come.
/// Within this time it has heard of every move that was under way.
const EARLY: Millis = Millis(10_000);

/// How many peers are asked.
const ASKED: usize = 3;

/// Runs the moves of all services.
pub(super) async fn run(state: Arc<State>) {
    let mut lost = BTreeSet::new();
    let started = (state.ports.clock.now)();
    every(PERIOD, move || {
        let now = (state.ports.clock.now)();
        regions(&state, &mut lost);
        let early = now - started < EARLY;
        let mut moving = Vec::new();
        state.services.each(|name, s| {
            if s.shift.as_ref().is_some_and(|s| early || s.is_moving()) {
                moving.push(name.clone());
            }
        });
        for name in moving {
            beside(step(state.clone(), name));
        }
    })
    .await;
}

/// Takes the next step of a service's move, with what peers report.
async fn step(state: Arc<State>, service: ServiceName) {
    let peers = progress(&state, &service).await;
    let now = (state.ports.clock.now)();
    let tick = |s: &mut crate::app::entry::Service| {
        let shift = s.shift.as_mut()?;
        Some((shift.tick(peers.as_ref(), now), shift.revision()))
    };
    let Some((pace, revision)) = state.services.get(&service, tick).flatten() else {
        return;
    };
    let kind = match pace {
        Pace::Stepped => Kind::ShiftStepped,
        Pace::Finished => Kind::ShiftCompleted,
        Pace::Settled | Pace::Waiting | Pace::Held(_) | Pace::Capped | Pace::Followed => return,
    };
    (state.events.emit)(kind, format!("{service} to revision {revision}"));
}

/// Returns the least advanced shares that a few peers report.
async fn progress(state: &Arc<State>, service: &ServiceName) -> Option<Progress> {
    let others = state.fleet.others();
    let asked: Vec<EntryId> = others
        .choose_multiple(&mut rand::rng(), ASKED)
        .cloned()
        .collect();
    let calls = asked.iter().map(|to| async move {
        let address = state.fleet.address(to)?;
        let report = grpc::report(&state.fleet.peers, address, service.as_str());
        report.await.ok()?.progress
    });
    let reports = futures::future::join_all(calls).await;
    reports.into_iter().flatten().reduce(Progress::merge)
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
                shift.set_region(region, is_lost, now);
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
