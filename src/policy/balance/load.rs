//! How much a target has to do.

use crate::domain::Millis;

/// What a target says of its load with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual.
    pub pace: u32,
}

/// How fast a reported load gives way to the usual one.
const FADE_MS: f64 = 400.0;

/// How fast a target's usual load gives way to that of its region without any
/// report.
const FORGET_MS: f64 = 4_000.0;

/// How fast a reported pace gives way to the usual one. It changes many times a
/// second.
const PACE_FADE_MS: f64 = 250.0;

/// The weight of a report in the usual load.
const USUAL_GAIN: f64 = 0.15;

/// The weight of a report in the load of a region.
const LEVEL_GAIN: f64 = 0.1;

/// The pace of a target without neighbours, in percent.
const USUAL_PACE: f64 = 100.0;

/// The load of one target: this entry's own requests, and what reports say of
/// the others'.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Requests of this entry that run or wait there.
    pub own: u32,
    others: f64,
    usual: f64,
    pace: f64,
    /// When the latest report came.
    pub reported: Option<Millis>,
}

impl Load {
    pub fn new() -> Self {
        Self {
            own: 0,
            others: 0.0,
            usual: 0.0,
            pace: USUAL_PACE,
            reported: None,
        }
    }

    /// Adopts a report that came with the answer to one of the own requests,
    /// which no longer counts in `own`.
    pub fn report(&mut self, now: Millis, report: &Report) {
        let all = f64::from(report.running + report.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.usual += (self.others - self.usual) * USUAL_GAIN;
        self.pace = f64::from(report.pace.clamp(10, 10_000));
        self.reported = Some(now);
    }

    /// Returns the requests that are there now, as far as is known. What is not
    /// known of this target is taken to be as at the `others` of its region.
    pub fn total(&self, now: Millis, others: f64) -> f64 {
        let Some(age) = self.age_ms(now) else {
            return f64::from(self.own) + others;
        };
        let fresh = fade(age, FADE_MS);
        let kept = fade(age, FORGET_MS);
        let usual = self.usual * kept + others * (1.0 - kept);
        f64::from(self.own) + self.others * fresh + usual * (1.0 - fresh)
    }

    /// Returns how long work takes now, relative to the usual.
    pub fn pace(&self, now: Millis) -> f64 {
        let Some(age) = self.age_ms(now) else {
            return 1.0;
        };
        let fresh = fade(age, PACE_FADE_MS);
        (self.pace * fresh + USUAL_PACE * (1.0 - fresh)) / USUAL_PACE
    }

    #[expect(clippy::cast_precision_loss)]
    fn age_ms(&self, now: Millis) -> Option<f64> {
        self.reported.map(|at| (now - at).0 as f64)
    }
}

/// The load of the targets of one region that reports show lately, for each slot.
///
/// With many entries each one hears seldom of a single target, but often of some
/// target of a region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    part: f64,
    at: Millis,
}

impl Level {
    /// Adopts a report.
    pub fn report(&mut self, now: Millis, report: &Report) {
        let all = f64::from(report.running + report.waiting);
        let part = all / f64::from(report.slots.max(1));
        self.part = self.part(now) + (part - self.part(now)) * LEVEL_GAIN;
        self.at = now;
    }

    /// Returns the requests for each slot.
    pub fn part(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let age = (now - self.at).0 as f64;
        self.part * fade(age, FORGET_MS)
    }
}

/// Returns how much of a value is left after a time.
fn fade(age_ms: f64, scale_ms: f64) -> f64 {
    (-age_ms / scale_ms).exp()
}
