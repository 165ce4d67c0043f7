//! What an entry keeps of one target and of one place.

use super::{PROBE_INTERVAL, Report, State, View, estimate::Latency, estimate::ms, slot};
use crate::domain::{Lane, Millis, PlaceName, TargetId};

/// The time in which a cold target's part grows from a tenth to the whole.
const RAMP_MS: f64 = 10_000.0;

/// The part with which a cold target starts.
const RAMP_FROM: f64 = 0.1;

/// The time in which a report loses half of its effect.
const REPORT_HALF_MS: f64 = 2000.0;

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: TargetId,
    /// The position of its place, or `usize::MAX` if no document lists it.
    pub(super) site: usize,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) running: [u32; 2],
    pub(super) latency: [Latency; 2],
    /// How much of its ramp a cold target has done, from 0 to 1.
    pub(super) warmth: f64,
    /// When the warmth was last brought up to date.
    pub(super) warmed: Millis,
    /// Until when it is left out. It stays set until the return is noticed.
    pub(super) until: Option<Millis>,
    pub(super) failures: u32,
    pub(super) slow: bool,
    /// Whether the place's judgement leaves it out.
    pub(super) ejected: bool,
    pub(super) probed: Option<Millis>,
    pub(super) report: Option<Report>,
}

impl Target {
    pub(super) fn warm(id: TargetId) -> Self {
        Self {
            id,
            site: usize::MAX,
            slots: 0,
            leaving: false,
            running: [0; 2],
            latency: [Latency::default(); 2],
            warmth: 1.0,
            warmed: Millis(0),
            until: None,
            failures: 0,
            slow: false,
            ejected: false,
            probed: None,
            report: None,
        }
    }

    pub(super) fn cold(id: TargetId, now: Millis) -> Self {
        let mut target = Self::warm(id);
        target.chill(now);
        target
    }

    /// Starts the ramp again.
    pub(super) fn chill(&mut self, now: Millis) {
        self.warmth = 0.0;
        self.warmed = now;
    }

    /// Starts or shortens the ramp after a back-off. A target that failed may
    /// have restarted with empty caches; one that only shed is still warm.
    pub(super) fn back(&mut self, now: Millis) {
        let part = if self.failures > 0 { 0.0 } else { 0.5 };
        self.warmth = self.warmth.min(part);
        self.warmed = now;
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.iter().sum()
    }

    pub(super) fn done(&mut self, now: Millis, lane: Lane, time: Millis) {
        self.latency[slot(lane)].add(now, time);
        self.failures = 0;
    }

    /// Returns the part of its traffic that it may take, from 0.1 to 1.
    pub(super) fn part(&self) -> f64 {
        RAMP_FROM + (1.0 - RAMP_FROM) * self.warmth
    }

    /// Advances the ramp, unless `hold` says that the target is not yet as fast
    /// as its peers.
    pub(super) fn warm_up(&mut self, now: Millis, hold: bool) {
        if !hold {
            let grown = self.warmth + ms(now - self.warmed) / RAMP_MS;
            self.warmth = grown.min(1.0);
        }
        self.warmed = now;
    }

    /// Returns the factor from 1 to 2 by which its report makes it less
    /// attractive. A report of no load has no effect, so that a lying target
    /// gains nothing.
    pub(super) fn penalty(&self, now: Millis) -> f64 {
        let Some(report) = self.report else {
            return 1.0;
        };
        let fade = (-ms(now - report.at) / REPORT_HALF_MS).exp2();
        1.0 + report.load.clamp(0.0, 1.0) * fade
    }

    pub(super) fn probe_due(&self, now: Millis) -> bool {
        let sample = self.latency.iter().map(Latency::last).max();
        let recent = sample.is_some_and(|at| at > Millis(0) && now - at < PROBE_INTERVAL);
        let probed = self.probed.is_some_and(|at| now - at < PROBE_INTERVAL);
        !self.leaving && !recent && !probed
    }

    pub(super) fn state(&self, now: Millis) -> State {
        if self.leaving {
            State::Leaving
        } else if self.until.is_some_and(|until| until > now) {
            State::Shedding
        } else if self.slow {
            State::Slow
        } else if self.warmth < 1.0 {
            State::Cold
        } else {
            State::Ready
        }
    }

    pub(super) fn view(&self, now: Millis) -> View {
        let latency = self.latency[slot(Lane::Short)].peak();
        // The estimate is finite and not negative, and exact beyond need.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let latency = latency.map(|n| Millis(n.round() as u64));
        View {
            target: self.id,
            state: self.state(now),
            running: self.running,
            latency,
            ejected: self.ejected,
        }
    }
}

/// One place with the positions of its targets.
#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) name: PlaceName,
    pub(super) members: Vec<usize>,
    /// When the targets were last compared with each other.
    pub(super) judged: Option<Millis>,
}

impl Site {
    pub(super) fn new(name: PlaceName) -> Self {
        Self {
            name,
            members: Vec::new(),
            judged: None,
        }
    }

    /// Has the targets compared again at the next choice.
    pub(super) fn stale(&mut self) {
        self.judged = None;
    }
}
