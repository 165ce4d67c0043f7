//! The state that an entry keeps of one target and of one place.

use super::{
    LoadReport, PROBE_INTERVAL, State, TargetStatus, estimate::Latency, estimate::ms, lane_index,
};
use crate::domain::{Lane, Millis, PlaceName, TargetId};

/// The time in which the traffic share of a cold target grows from
/// [`RAMP_START`] to the whole.
const RAMP_MS: f64 = 10_000.0;

/// The traffic share with which a cold target starts.
const RAMP_START: f64 = 0.1;

/// The time in which the effect of a load report halves.
const REPORT_HALF_LIFE_MS: f64 = 2000.0;

/// A target and what this entry has measured of it. Arrays are indexed by lane.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: TargetId,
    /// The index of its place, or `usize::MAX` if the document does not list it.
    pub(super) place_index: usize,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) running: [u32; 2],
    pub(super) latency: [Latency; 2],
    /// The progress of the ramp of a cold target, from 0 to 1.
    pub(super) ramp: f64,
    /// When `ramp` was last updated.
    pub(super) ramp_updated: Millis,
    /// The end of the back-off. It stays set until the evaluation after it.
    pub(super) backoff_until: Option<Millis>,
    /// Consecutive failures.
    pub(super) failures: u32,
    pub(super) slow: bool,
    /// Whether the last evaluation of its place ejected it.
    pub(super) ejected: bool,
    pub(super) last_probe: Option<Millis>,
    pub(super) report: Option<LoadReport>,
}

impl Target {
    pub(super) fn warm(id: TargetId) -> Self {
        Self {
            id,
            place_index: usize::MAX,
            slots: 0,
            leaving: false,
            running: [0; 2],
            latency: [Latency::default(); 2],
            ramp: 1.0,
            ramp_updated: Millis(0),
            backoff_until: None,
            failures: 0,
            slow: false,
            ejected: false,
            last_probe: None,
            report: None,
        }
    }

    pub(super) fn cold(id: TargetId, now: Millis) -> Self {
        let mut target = Self::warm(id);
        target.restart_ramp(now);
        target
    }

    /// Starts the ramp from the beginning.
    pub(super) fn restart_ramp(&mut self, now: Millis) {
        self.ramp = 0.0;
        self.ramp_updated = now;
    }

    /// Sets the ramp back after a back-off: to its start if the target failed,
    /// since it may have restarted with empty caches, and to at most half if it
    /// only shed load, since it is still warm.
    pub(super) fn end_backoff(&mut self, now: Millis) {
        let limit = if self.failures > 0 { 0.0 } else { 0.5 };
        self.ramp = self.ramp.min(limit);
        self.ramp_updated = now;
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.iter().sum()
    }

    pub(super) fn record_answer(&mut self, now: Millis, lane: Lane, time: Millis) {
        self.latency[lane_index(lane)].add(now, time);
        self.failures = 0;
    }

    /// Returns the share of its usual traffic that it may take, from
    /// [`RAMP_START`] to 1.
    pub(super) fn traffic_share(&self) -> f64 {
        RAMP_START + (1.0 - RAMP_START) * self.ramp
    }

    /// Advances the ramp by the time since the last call. With `hold` the ramp
    /// pauses, since the target is not yet as fast as its peers.
    pub(super) fn advance_ramp(&mut self, now: Millis, hold: bool) {
        if !hold {
            let grown = self.ramp + ms(now - self.ramp_updated) / RAMP_MS;
            self.ramp = grown.min(1.0);
        }
        self.ramp_updated = now;
    }

    /// Returns the factor, from 1 to 2, by which the load report raises the score
    /// of the target. A report of no load has no effect, so a target gains nothing
    /// by reporting too little.
    pub(super) fn load_penalty(&self, now: Millis) -> f64 {
        let Some(report) = self.report else {
            return 1.0;
        };
        let decay = (-ms(now - report.measured_at) / REPORT_HALF_LIFE_MS).exp2();
        1.0 + report.load.clamp(0.0, 1.0) * decay
    }

    /// Returns whether the target stays and has had neither a latency sample nor a
    /// probe within [`PROBE_INTERVAL`].
    pub(super) fn probe_due(&self, now: Millis) -> bool {
        let sample = self.latency.iter().map(Latency::last).max();
        let recent = sample.is_some_and(|at| at > Millis(0) && now - at < PROBE_INTERVAL);
        let just_probed = self.last_probe.is_some_and(|at| now - at < PROBE_INTERVAL);
        !self.leaving && !recent && !just_probed
    }

    pub(super) fn state(&self, now: Millis) -> State {
        if self.leaving {
            State::Leaving
        } else if self.backoff_until.is_some_and(|until| until > now) {
            State::Shedding
        } else if self.slow {
            State::Slow
        } else if self.ramp < 1.0 {
            State::Cold
        } else {
            State::Ready
        }
    }

    pub(super) fn status(&self, now: Millis) -> TargetStatus {
        let latency = self.latency[lane_index(Lane::Short)].peak();
        // The estimate is finite and not negative, and far below 2^64.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let latency = latency.map(|n| Millis(n.round() as u64));
        TargetStatus {
            target: self.id,
            state: self.state(now),
            running: self.running,
            latency,
            ejected: self.ejected,
        }
    }
}

/// A place and the indexes of its targets in the pool.
#[derive(Clone, Debug)]
pub(super) struct PlaceTargets {
    pub(super) name: PlaceName,
    pub(super) targets: Vec<usize>,
    /// When the targets were last compared, or `None` if the comparison is due.
    pub(super) evaluated: Option<Millis>,
}

impl PlaceTargets {
    pub(super) fn new(name: PlaceName) -> Self {
        Self {
            name,
            targets: Vec::new(),
            evaluated: None,
        }
    }

    /// Makes the next choice compare the targets again.
    pub(super) fn invalidate(&mut self) {
        self.evaluated = None;
    }
}
