//! Targets that fail or stay silent.
//!
//! The pattern is outlier ejection: failures in a row eject a target for a time
//! that doubles, and after that one request at a time tries it. A target that
//! fails only a part of its requests is not ejected; its failure rate makes it
//! more expensive instead, because all targets of a service may fail that way at
//! once.

use crate::domain::Millis;

/// How long a target is left alone after its first failure in a row.
const EJECT_MIN: Millis = Millis(400);

/// The longest time for which it is left alone.
const EJECT_MAX: Millis = Millis(4_000);

/// How many failures in a row eject a target.
const STREAK: u32 = 2;

/// The weight of one result in the failure rate.
const GAIN: f64 = 0.08;

/// How fast a failure rate is forgotten while no result comes in.
const FORGET_MS: f64 = 3_000.0;

/// The shortest silence of a busy target that is taken for a loss.
const SILENT_MIN: Millis = Millis(500);

/// A busy target is silent after this many times the expected time.
const SILENT_FACTOR: u64 = 4;

/// How often a silent target is tried.
const TRIAL: Millis = Millis(800);

/// How reliable one target is.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    streak: u32,
    ejected: Millis,
    rate: f64,
    updated: Millis,
    /// Since when requests have been there without any answer.
    busy: Option<Millis>,
    /// How long the answer that is awaited should take.
    expected: Millis,
    tried: Millis,
}

impl Health {
    /// Counts a request that is sent.
    pub fn sent(&mut self, now: Millis, expected: Millis) {
        if self.busy.is_none() {
            self.busy = Some(now);
            self.expected = expected;
        }
        self.tried = now;
    }

    /// Counts an answer. `left` is how many requests are still there.
    pub fn answered(&mut self, now: Millis, left: u32) {
        self.streak = 0;
        self.ejected = Millis(0);
        self.add(now, 0.0);
        self.still(now, left);
    }

    /// Counts a failure that says something of the target as a whole, such as a
    /// broken connection.
    pub fn failed(&mut self, now: Millis, left: u32, certain: bool) {
        self.streak += 1;
        self.add(now, 1.0);
        if certain || self.streak >= STREAK {
            let doubled = EJECT_MIN.0 << self.streak.min(4);
            self.ejected = now + Millis(doubled).min(EJECT_MAX);
        }
        self.still(now, left);
    }

    /// Counts a failure of one request only.
    pub fn flawed(&mut self, now: Millis, left: u32) {
        self.add(now, 1.0);
        self.still(now, left);
    }

    /// Counts a request that ended without any result. The target's silence goes
    /// on as long as other requests are there.
    pub fn cancelled(&mut self, left: u32) {
        if left == 0 {
            self.busy = None;
        }
    }

    /// Tells whether the target is left alone because of its failures.
    pub fn ejected(&self, now: Millis) -> bool {
        now < self.ejected
    }

    /// Tells whether the target may get a request.
    pub fn usable(&self, now: Millis) -> bool {
        !self.ejected(now) && (!self.silent(now) || self.tried + TRIAL <= now)
    }

    /// Returns the part of requests that fail there.
    #[expect(clippy::cast_precision_loss)]
    pub fn rate(&self, now: Millis) -> f64 {
        self.rate * (-((now - self.updated).0 as f64) / FORGET_MS).exp()
    }

    fn silent(&self, now: Millis) -> bool {
        let limit = Millis(self.expected.0 * SILENT_FACTOR).max(SILENT_MIN);
        self.busy.is_some_and(|since| now - since > limit)
    }

    fn add(&mut self, now: Millis, failed: f64) {
        let rate = self.rate(now);
        self.rate = rate + (failed - rate) * GAIN;
        self.updated = now;
    }

    fn still(&mut self, now: Millis, left: u32) {
        self.busy = (left > 0).then_some(now);
    }
}
