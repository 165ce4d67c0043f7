//! Load estimates for targets and regions, derived from load reports.

use crate::domain::Millis;

/// The load that a target reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of requests that are running, without the answered one.
    pub running: u32,
    /// The number of requests that are queued.
    pub waiting: u32,
    /// The number of requests that the target can run concurrently.
    pub slots: u32,
    /// The current duration of requests in percent of the usual one.
    pub slowdown_percent: u32,
}

/// The highest number of requests per slot that a report can show. A target queues
/// only a few requests, so a higher number is a fault of the target. Averages would
/// show it for minutes, in the whole region.
const MAX_SLOT_LOAD: f64 = 16.0;

impl LoadReport {
    /// Returns the number of requests at the target.
    #[must_use]
    pub fn requests(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// Returns the number of requests per slot.
    fn slot_load(&self) -> f64 {
        (self.requests() / f64::from(self.slots.max(1))).min(MAX_SLOT_LOAD)
    }
}

/// The time constant with which a reported load decays to the average load.
const REPORT_DECAY_MS: f64 = 400.0;

/// The time constant with which the average load of a target decays to that of
/// its region while no report arrives. The load of a region decays likewise.
const AVERAGE_DECAY_MS: f64 = 4_000.0;

/// The time constant with which a reported slowdown decays to 100 %. The
/// slowdown changes many times a second.
const SLOWDOWN_DECAY_MS: f64 = 250.0;

/// The weight of one report in the average load of a target.
const AVERAGE_SMOOTHING: f64 = 0.15;

/// The weight of one report in the average load of a region. The loads of its
/// targets differ by more than their mean, and the entries of a region agree only
/// if each averages over many reports.
const REGION_SMOOTHING: f64 = 0.03;

/// The slowdown of a target that shares its host with no busy neighbour.
const NORMAL_SLOWDOWN_PERCENT: f64 = 100.0;

/// The load of one target: the requests of this entry, counted exactly, plus
/// those of other entries, estimated from reports.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Requests of this entry that run or wait at the target.
    pub own: u32,
    /// Requests of other entries according to the latest report.
    reported_others: f64,
    /// Moving average of `reported_others`.
    average_others: f64,
    slowdown_percent: f64,
    /// The instant of the latest report.
    pub last_report: Option<Millis>,
}

impl Load {
    pub fn new() -> Self {
        Self {
            own: 0,
            reported_others: 0.0,
            average_others: 0.0,
            slowdown_percent: NORMAL_SLOWDOWN_PERCENT,
            last_report: None,
        }
    }

    /// Applies a report that came with the answer to one of this entry's
    /// requests. That request must already be subtracted from `own`. `slots` is
    /// the number of slots with which the target registered.
    pub fn report(&mut self, now: Millis, report: &LoadReport, slots: f64) {
        let all = report.requests().min(slots * MAX_SLOT_LOAD);
        self.reported_others = (all - f64::from(self.own)).max(0.0);
        self.average_others += (self.reported_others - self.average_others) * AVERAGE_SMOOTHING;
        self.slowdown_percent = f64::from(report.slowdown_percent.clamp(10, 10_000));
        self.last_report = Some(now);
    }

    /// Returns the estimated number of requests at the target. As its last
    /// report ages, the estimate approaches `region_others`, the average of its
    /// region.
    pub fn total(&self, now: Millis, region_others: f64) -> f64 {
        let Some(age) = self.report_age_ms(now) else {
            return f64::from(self.own) + region_others;
        };
        let report_weight = decay(age, REPORT_DECAY_MS);
        let average_weight = decay(age, AVERAGE_DECAY_MS);
        let average = self.average_others * average_weight + region_others * (1.0 - average_weight);
        f64::from(self.own) + self.reported_others * report_weight + average * (1.0 - report_weight)
    }

    /// Returns the current duration of requests relative to the usual one.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let Some(age) = self.report_age_ms(now) else {
            return 1.0;
        };
        let report_weight = decay(age, SLOWDOWN_DECAY_MS);
        (self.slowdown_percent * report_weight + NORMAL_SLOWDOWN_PERCENT * (1.0 - report_weight))
            / NORMAL_SLOWDOWN_PERCENT
    }

    #[expect(clippy::cast_precision_loss)]
    fn report_age_ms(&self, now: Millis) -> Option<f64> {
        self.last_report.map(|at| (now - at).0 as f64)
    }
}

/// Moving average of the requests per slot over all targets of a region.
///
/// With many entries, each entry seldom gets a report of one particular target,
/// but often one of some target of the region. Reports come with answers, and a
/// target with more running requests gives more answers, so an average over
/// reports would be that of the busy targets. Each report is therefore weighted
/// with the inverse of the rate at which its target answers, which is in
/// proportion to its running requests (inverse probability weighting).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionLoad {
    /// The weighted average of the load.
    load: f64,
    /// The average weight.
    weight: f64,
    updated: Millis,
}

impl RegionLoad {
    /// Applies a report.
    pub fn report(&mut self, now: Millis, report: &LoadReport) {
        // The request that was answered no longer counts, but was running.
        let answering = (report.requests() + 1.0).min(f64::from(report.slots.max(1)));
        let weight = 1.0 / answering;
        let weighted = report.slot_load() * weight;
        let gain = (1.0 - decay(self.age_ms(now), AVERAGE_DECAY_MS)).max(REGION_SMOOTHING);
        self.load += (weighted - self.load) * gain;
        self.weight += (weight - self.weight) * gain;
        self.updated = now;
    }

    /// Returns the average number of requests per slot.
    pub fn slot_load(&self, now: Millis) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        self.load / self.weight * decay(self.age_ms(now), AVERAGE_DECAY_MS)
    }

    /// Returns whether the average is recent enough to say something about the region.
    pub fn is_recent(&self, now: Millis) -> bool {
        self.weight > 0.0 && self.age_ms(now) <= AVERAGE_DECAY_MS
    }

    #[expect(clippy::cast_precision_loss)]
    fn age_ms(&self, now: Millis) -> f64 {
        (now - self.updated).0 as f64
    }
}

/// Returns the weight that is left after `age_ms` of exponential decay.
fn decay(age_ms: f64, scale_ms: f64) -> f64 {
    (-age_ms / scale_ms).exp()
}
