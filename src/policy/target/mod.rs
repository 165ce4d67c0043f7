//! Load balancing over the targets of a service.
//!
//! A [`Pool`] holds the state that one entry keeps of the targets of one
//! service. Targets are ranked by the entry's own measurements, the requests in
//! flight and the latency, because load reports lag and may be wrong: a report
//! can only lower the rank of a target, and its effect halves every 2 s.
//!
//! Unhealthy targets get less traffic before they get none. A slow target keeps
//! one twentieth of its traffic, so that its recovery is noticed. A target that
//! sheds load is ejected for the back-off that it asks for. A cold target starts
//! with a tenth of its traffic. At most half of a place's targets are ejected at
//! the same time: a fault that seems to affect more than half is more likely a
//! fault of the measurement or of a common dependency.
//!
//! A choice examines up to 64 targets of one place. In a larger place it
//! therefore sees only a random window of the targets. See
//! [docs/design.md](../../../docs/design.md), section 3.5.

mod choose;
mod estimate;
mod locality;
mod outlier;
mod state;

use std::collections::{BTreeMap, HashMap};

use crate::domain::{Lane, Millis, Place, PlaceName, PlaceState, TargetId};

pub use choose::{Choice, ChooseError, Criteria};
pub use locality::local_weights;
use state::{PlaceTargets, Target};

/// The longest back-off, whatever a target asks for.
pub const BACKOFF_MAX: Millis = Millis(5000);

/// The interval between probes of a target that has no recent latency sample.
pub const PROBE_INTERVAL: Millis = Millis(2000);

/// The back-off after the first failure. It doubles with each consecutive
/// failure, up to [`BACKOFF_MAX`].
const FAILURE_BACKOFF: Millis = Millis(250);

/// The state of a target, which determines how much traffic it gets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// The target takes its full share of traffic.
    Ready,
    /// The target is new or has returned, and its share is ramped up.
    Cold,
    /// The target is much slower than its peers. It gets exploratory traffic,
    /// and more only if no better target has a free slot.
    Slow,
    /// The target shed a request or failed, and is in back-off. It gets requests
    /// only if it is not ejected and no better target has a free slot.
    Shedding,
    /// The target is being removed and gets no new requests.
    Leaving,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target could not be reached or broke the connection.
    Failed,
    /// The request was cancelled, by its caller or because a hedge answered
    /// first.
    Cancelled,
}

/// The load that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// When the load was measured, on the clock of this process.
    pub measured_at: Millis,
    /// Running and waiting requests divided by the slots; 1 means that all slots
    /// are taken.
    pub load: f64,
}

/// A snapshot of the state of one target, for `explain` and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Its state.
    pub state: State,
    /// The requests of this entry that run at the target, short and long.
    pub running: [u32; 2],
    /// The estimated latency of short requests, if there are samples.
    pub latency: Option<Millis>,
    /// Whether it is ejected. At most half of a place's targets are.
    pub ejected: bool,
}

/// The targets of one service and the state that one entry keeps of them.
#[derive(Debug, Default)]
pub struct Pool {
    places: Vec<PlaceTargets>,
    place_indexes: HashMap<PlaceName, usize>,
    targets: Vec<Target>,
    target_indexes: HashMap<TargetId, usize>,
    /// Buffers for the candidates of a choice, one per class, kept to avoid
    /// allocations.
    scratch: [Vec<usize>; 3],
}

/// Returns the index of a lane in arrays.
pub(super) fn lane_index(lane: Lane) -> usize {
    match lane {
        Lane::Short => 0,
        Lane::Long => 1,
    }
}

impl Pool {
    /// Returns a pool without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the places and targets by those of an adopted document.
    ///
    /// Known targets keep their state. New targets start cold, unless the pool is
    /// empty, as it is at the first document of this process: a service that this
    /// entry has just learned of most likely has warm targets. Targets that are
    /// no longer listed leave, and are removed when no request of this entry runs
    /// there.
    pub fn adopt(&mut self, now: Millis, places: &[Place]) {
        let initial = self.targets.is_empty();
        let former = std::mem::take(&mut self.targets);
        let mut former: BTreeMap<TargetId, Target> =
            former.into_iter().map(|t| (t.id, t)).collect();
        self.places.clear();
        self.place_indexes.clear();
        for place in places {
            self.adopt_place(now, initial, place, &mut former);
        }
        self.keep_unlisted(former.into_values());
        self.reindex();
    }

    fn adopt_place(
        &mut self,
        now: Millis,
        initial: bool,
        place: &Place,
        former: &mut BTreeMap<TargetId, Target>,
    ) {
        let place_index = self.places.len();
        for &id in &place.targets {
            let mut target = match former.remove(&id) {
                Some(known) => known,
                None if initial => Target::warm(id),
                None => Target::cold(id, now),
            };
            let leaving = place.state == PlaceState::Leaving || place.leaving.contains(&id);
            if target.leaving && !leaving {
                target.restart_ramp(now);
            }
            target.place_index = place_index;
            target.slots = place.slots.0;
            target.leaving = leaving;
            self.targets.push(target);
        }
        self.place_indexes.insert(place.name.clone(), place_index);
        self.places.push(PlaceTargets::new(place.name.clone()));
    }

    /// Keeps targets that are no longer listed while requests run there.
    fn keep_unlisted(&mut self, former: impl Iterator<Item = Target>) {
        for mut target in former {
            target.leaving = true;
            target.place_index = usize::MAX;
            if target.in_flight() > 0 {
                self.targets.push(target);
            }
        }
    }

    fn reindex(&mut self) {
        self.target_indexes.clear();
        for (index, target) in self.targets.iter().enumerate() {
            self.target_indexes.insert(target.id, index);
            if let Some(place) = self.places.get_mut(target.place_index) {
                place.targets.push(index);
            }
        }
    }

    /// Records that a request was sent to a target.
    pub fn started(&mut self, target: TargetId, lane: Lane) {
        if let Some(target) = self.target(target) {
            target.running[lane_index(lane)] += 1;
        }
    }

    /// Records the end of a request that was passed to
    /// [`started`](Self::started). `time` is its latency, measured at this entry.
    pub fn finished(
        &mut self,
        now: Millis,
        target: TargetId,
        lane: Lane,
        completion: Completion,
        time: Millis,
    ) {
        let Some(index) = self.target_indexes.get(&target).copied() else {
            return;
        };
        let target = &mut self.targets[index];
        target.running[lane_index(lane)] = target.running[lane_index(lane)].saturating_sub(1);
        match completion {
            Completion::Answered => target.record_answer(now, lane, time),
            Completion::Failed => self.failed(now, index),
            Completion::Cancelled => target.latency[lane_index(lane)].add_lower_bound(now, time),
        }
        self.forget(index);
    }

    fn failed(&mut self, now: Millis, index: usize) {
        let target = &mut self.targets[index];
        target.failures = target.failures.saturating_add(1);
        let back_off = FAILURE_BACKOFF.0 << (target.failures - 1).min(5);
        self.back_off(now, index, Millis(back_off));
    }

    /// Records that a target shed a request and asked for a back-off of `retry`.
    pub fn shed(&mut self, now: Millis, target: TargetId, retry: Millis) {
        if let Some(index) = self.target_indexes.get(&target).copied() {
            self.back_off(now, index, retry);
        }
    }

    fn back_off(&mut self, now: Millis, index: usize, duration: Millis) {
        let target = &mut self.targets[index];
        let until = now + duration.min(BACKOFF_MAX);
        target.backoff_until = target.backoff_until.max(Some(until));
        if let Some(place) = self.places.get_mut(target.place_index) {
            place.invalidate();
        }
    }

    /// Records the load report of a target. A report older than the last one is
    /// ignored.
    pub fn report(&mut self, target: TargetId, report: LoadReport) {
        if let Some(target) = self.target(target)
            && target
                .report
                .is_none_or(|r| r.measured_at <= report.measured_at)
        {
            target.report = Some(report);
        }
    }

    /// Returns the targets that are due for a probe, and records that they were
    /// probed now.
    pub fn start_probes(&mut self, now: Millis) -> Vec<TargetId> {
        let due = self.targets.iter_mut().filter(|t| t.probe_due(now));
        let due = due.map(|t| {
            t.last_probe = Some(now);
            t.id
        });
        due.collect()
    }

    /// Records the result of a probe. Its latency is not used as a sample, since
    /// a health endpoint may answer quickly while the target does no work.
    pub fn probe_finished(&mut self, now: Millis, target: TargetId, alive: bool) {
        let Some(index) = self.target_indexes.get(&target).copied() else {
            return;
        };
        if !alive {
            self.failed(now, index);
        }
    }

    /// Returns the current state of a target, or `None` if it is not known.
    pub fn state(&mut self, now: Millis, target: TargetId) -> Option<State> {
        let index = self.target_indexes.get(&target).copied()?;
        self.evaluate(now, self.targets[index].place_index);
        Some(self.targets[index].state(now))
    }

    /// Returns the status of every target.
    pub fn statuses(&mut self, now: Millis) -> Vec<TargetStatus> {
        for place_index in 0..self.places.len() {
            self.evaluate(now, place_index);
        }
        self.targets.iter().map(|t| t.status(now)).collect()
    }

    fn target(&mut self, id: TargetId) -> Option<&mut Target> {
        self.target_indexes
            .get(&id)
            .map(|&index| &mut self.targets[index])
    }

    /// Removes a target that the document no longer lists once no request runs
    /// there.
    fn forget(&mut self, index: usize) {
        let target = &self.targets[index];
        if target.place_index == usize::MAX && target.in_flight() == 0 {
            self.targets.swap_remove(index);
            self.places.iter_mut().for_each(|p| p.targets.clear());
            self.reindex();
        }
    }
}
