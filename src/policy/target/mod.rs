//! The choice of a target.
//!
//! A [`Pool`] holds what one entry knows of the targets of one service. The
//! choice rests on the entry's own measurements, in-flight counts and latency,
//! because load reports lag and may be wrong: a report can only make a target
//! less attractive, and loses half of its effect every 2 s.
//!
//! Targets that do badly are left out softly. A slow target keeps one twentieth
//! of its traffic, so that its recovery is noticed; a target that sheds is left
//! out for the time it asks for; a cold one starts with a tenth. At most half of
//! a place's targets are left out at the same time, since a fault that seems to
//! affect more than half is more likely a fault of the measurement or of a
//! common dependency.
//!
//! A choice looks at up to 64 targets of one place. The cost is that a larger
//! place is judged by a random window. See
//! [docs/design.md](../../../docs/design.md), section 3.5.

mod choose;
mod estimate;
mod judge;
mod local;
mod state;

use std::collections::{BTreeMap, HashMap};

use crate::domain::{Lane, Millis, Place, PlaceName, PlaceState, TargetId};

pub use choose::{Ask, Choice, Miss};
pub use local::local_weights;
use state::{Site, Target};

/// How long a back-off lasts at most, whatever a target asks for.
pub const SHED_MAX: Millis = Millis(5000);

/// How long a target without samples is left alone between two probes.
pub const PROBE_INTERVAL: Millis = Millis(2000);

/// The back-off after the first failure in a row. It doubles with each further
/// one up to [`SHED_MAX`].
const FAILURE_PAUSE: Millis = Millis(250);

/// How a target is treated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// It takes its full part.
    Ready,
    /// It is new or has come back, and its part grows.
    Cold,
    /// It is much slower than its peers and gets exploratory traffic only.
    Slow,
    /// It shed a request or failed, and gets nothing for a while.
    Shedding,
    /// It gets no new work.
    Leaving,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Finish {
    /// The target answered.
    Done,
    /// The target could not be reached or broke the connection.
    Failed,
    /// The request was cancelled, by its caller or since a hedge won.
    Cancelled,
}

/// What a target says about its own load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// When the load was measured, on the clock of this process.
    pub at: Millis,
    /// Running and waiting requests in parts of the slots; 1 means full.
    pub load: f64,
}

/// What this entry knows of one target, for `explain` and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The target.
    pub target: TargetId,
    /// How it is treated.
    pub state: State,
    /// The entry's own requests that run there, short and long.
    pub running: [u32; 2],
    /// The estimated latency of short work.
    pub latency: Option<Millis>,
    /// Whether it is left out. At most half of a place's targets are.
    pub ejected: bool,
}

/// The targets of one service, as one entry sees them.
#[derive(Debug, Default)]
pub struct Pool {
    sites: Vec<Site>,
    names: HashMap<PlaceName, usize>,
    targets: Vec<Target>,
    index: HashMap<TargetId, usize>,
    scratch: [Vec<usize>; 3],
}

/// The position of a lane in arrays.
pub(super) fn slot(lane: Lane) -> usize {
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

    /// Takes over the places of an adopted document.
    ///
    /// Targets that were known keep their state. Further ones start cold, except
    /// for the first document of this process: the targets of a service that
    /// this entry has just met are most likely warm. Targets that are no longer
    /// listed leave, and are forgotten when nothing of this entry runs there.
    pub fn adopt(&mut self, now: Millis, places: &[Place]) {
        let first = self.targets.is_empty();
        let former = std::mem::take(&mut self.targets);
        let mut former: BTreeMap<TargetId, Target> =
            former.into_iter().map(|t| (t.id, t)).collect();
        self.sites.clear();
        self.names.clear();
        for place in places {
            self.adopt_place(now, first, place, &mut former);
        }
        self.keep_running(former.into_values());
        self.reindex();
    }

    fn adopt_place(
        &mut self,
        now: Millis,
        first: bool,
        place: &Place,
        former: &mut BTreeMap<TargetId, Target>,
    ) {
        let site = self.sites.len();
        for &id in &place.targets {
            let mut target = match former.remove(&id) {
                Some(known) => known,
                None if first => Target::warm(id),
                None => Target::cold(id, now),
            };
            let leaving = place.state == PlaceState::Leaving || place.leaving.contains(&id);
            if target.leaving && !leaving {
                target.chill(now);
            }
            target.site = site;
            target.slots = place.slots.0;
            target.leaving = leaving;
            self.targets.push(target);
        }
        self.names.insert(place.name.clone(), site);
        self.sites.push(Site::new(place.name.clone()));
    }

    /// Keeps targets that are not listed any more while something runs there.
    fn keep_running(&mut self, former: impl Iterator<Item = Target>) {
        for mut target in former {
            target.leaving = true;
            target.site = usize::MAX;
            if target.in_flight() > 0 {
                self.targets.push(target);
            }
        }
    }

    fn reindex(&mut self) {
        self.index.clear();
        for (at, target) in self.targets.iter().enumerate() {
            self.index.insert(target.id, at);
            if let Some(site) = self.sites.get_mut(target.site) {
                site.members.push(at);
            }
        }
    }

    /// Records that a request was sent to a target.
    pub fn started(&mut self, target: TargetId, lane: Lane) {
        if let Some(target) = self.target(target) {
            target.running[slot(lane)] += 1;
        }
    }

    /// Records the end of a request that [`started`](Self::started) announced.
    /// `time` is how long it took, measured at this entry.
    pub fn finished(
        &mut self,
        now: Millis,
        target: TargetId,
        lane: Lane,
        finish: Finish,
        time: Millis,
    ) {
        let Some(at) = self.index.get(&target).copied() else {
            return;
        };
        let target = &mut self.targets[at];
        target.running[slot(lane)] = target.running[slot(lane)].saturating_sub(1);
        match finish {
            Finish::Done => target.done(now, lane, time),
            Finish::Failed => self.failed(now, at),
            Finish::Cancelled => target.latency[slot(lane)].add_at_least(now, time),
        }
        self.forget(at);
    }

    fn failed(&mut self, now: Millis, at: usize) {
        let target = &mut self.targets[at];
        target.failures = target.failures.saturating_add(1);
        let doubled = FAILURE_PAUSE.0 << (target.failures - 1).min(5);
        self.back_off(now, at, Millis(doubled));
    }

    /// Records that a target shed a request, with the time it asked for.
    pub fn shed(&mut self, now: Millis, target: TargetId, retry: Millis) {
        if let Some(at) = self.index.get(&target).copied() {
            self.back_off(now, at, retry);
        }
    }

    fn back_off(&mut self, now: Millis, at: usize, time: Millis) {
        let target = &mut self.targets[at];
        let until = now + time.min(SHED_MAX);
        target.until = target.until.max(Some(until));
        if let Some(site) = self.sites.get_mut(target.site) {
            site.stale();
        }
    }

    /// Records a target's report. A report older than the last one is ignored.
    pub fn report(&mut self, target: TargetId, report: Report) {
        if let Some(target) = self.target(target)
            && target.report.is_none_or(|r| r.at <= report.at)
        {
            target.report = Some(report);
        }
    }

    /// Returns the targets that are due for a probe, and counts them as probed.
    pub fn probes(&mut self, now: Millis) -> Vec<TargetId> {
        let due = self.targets.iter_mut().filter(|t| t.probe_due(now));
        let due = due.map(|t| {
            t.probed = Some(now);
            t.id
        });
        due.collect()
    }

    /// Records the result of a probe. A probe is not a latency sample, since
    /// health endpoints may answer quickly on a target that does no work.
    pub fn probed(&mut self, now: Millis, target: TargetId, alive: bool) {
        let Some(at) = self.index.get(&target).copied() else {
            return;
        };
        if !alive {
            self.failed(now, at);
        }
    }

    /// Returns how a target is treated now.
    pub fn state(&mut self, now: Millis, target: TargetId) -> Option<State> {
        let at = self.index.get(&target).copied()?;
        self.judge(now, self.targets[at].site);
        Some(self.targets[at].state(now))
    }

    /// Returns what is known of every target.
    pub fn views(&mut self, now: Millis) -> Vec<View> {
        for site in 0..self.sites.len() {
            self.judge(now, site);
        }
        self.targets.iter().map(|t| t.view(now)).collect()
    }

    /// Returns how many of this entry's requests run at targets of a place, or
    /// at targets that no document lists any more if `place` is none. A drain
    /// waits for zero.
    #[must_use]
    pub fn running(&self, place: Option<&PlaceName>) -> u32 {
        let site = match place {
            Some(name) => self.names.get(name).copied(),
            None => Some(usize::MAX),
        };
        let there = self.targets.iter().filter(|t| Some(t.site) == site);
        there.map(Target::in_flight).sum()
    }

    fn target(&mut self, id: TargetId) -> Option<&mut Target> {
        self.index.get(&id).map(|&at| &mut self.targets[at])
    }

    /// Drops a target that no document lists once nothing runs there.
    fn forget(&mut self, at: usize) {
        let target = &self.targets[at];
        if target.site == usize::MAX && target.in_flight() == 0 {
            self.targets.swap_remove(at);
            self.sites.iter_mut().for_each(|s| s.members.clear());
            self.reindex();
        }
    }
}
