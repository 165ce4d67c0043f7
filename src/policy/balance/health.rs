//! Health tracking of a target: outlier ejection and unresponsiveness.
//!
//! Consecutive failures eject a target for a period that doubles with each
//! failure. An unresponsive target gets only a probe request per interval. A
//! target that fails only some of its requests is not ejected, because all
//! targets of a service may fail that way at once; its failure rate raises its
//! cost instead.

use crate::domain::Millis;

/// Base of the ejection period, which is doubled once for each consecutive
/// failure (up to four).
const EJECTION_BASE: Millis = Millis(400);

/// The longest ejection period.
const EJECTION_MAX: Millis = Millis(4_000);

/// The number of consecutive failures that ejects a target.
const EJECTION_FAILURES: u32 = 2;

/// The weight of one result in the moving average of the failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.08;

/// The time constant with which the failure rate decays between results.
const FAILURE_RATE_DECAY_MS: f64 = 3_000.0;

/// The shortest time without an answer after which a target with outstanding
/// requests counts as unresponsive.
const UNRESPONSIVE_MIN: Millis = Millis(500);

/// A target with outstanding requests is unresponsive after this multiple of
/// the expected duration.
const UNRESPONSIVE_FACTOR: u64 = 4;

/// The interval between requests that probe an unresponsive target.
const PROBE_INTERVAL: Millis = Millis(800);

/// Recent successes and failures of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Moving average of the failed fraction of requests, as of `rate_updated`.
    failure_rate: f64,
    rate_updated: Millis,
    /// Since when requests have been outstanding without an answer.
    waiting_since: Option<Millis>,
    /// The expected duration of the request that started the wait.
    expected_duration: Millis,
    last_sent: Millis,
}

impl Health {
    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Millis, expected: Millis) {
        if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
            self.expected_duration = expected;
        }
        self.last_sent = now;
    }

    /// Records an answer. `outstanding` is the number of requests that this
    /// entry still has at the target.
    pub fn on_success(&mut self, now: Millis, outstanding: u32) {
        self.consecutive_failures = 0;
        self.ejected_until = Millis(0);
        self.update_rate(now, 0.0);
        self.restart_wait(now, outstanding);
    }

    /// Records a failure that concerns the target as a whole, such as a broken
    /// connection. If `eject_now` is set, one failure ejects the target.
    pub fn on_failure(&mut self, now: Millis, outstanding: u32, eject_now: bool) {
        self.consecutive_failures += 1;
        self.update_rate(now, 1.0);
        if eject_now || self.consecutive_failures >= EJECTION_FAILURES {
            let period_ms = EJECTION_BASE.0 << self.consecutive_failures.min(4);
            self.ejected_until = now + Millis(period_ms).min(EJECTION_MAX);
        }
        self.restart_wait(now, outstanding);
    }

    /// Records a failure that concerns one request only. It raises the failure
    /// rate but does not eject the target.
    pub fn on_error(&mut self, now: Millis, outstanding: u32) {
        self.update_rate(now, 1.0);
        self.restart_wait(now, outstanding);
    }

    /// Records a request that ended without a result. The wait for an answer
    /// continues while other requests are outstanding.
    pub fn on_cancelled(&mut self, outstanding: u32) {
        if outstanding == 0 {
            self.waiting_since = None;
        }
    }

    /// Returns whether the target is ejected because of its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the target was ejected and has not answered since.
    pub fn is_down(&self) -> bool {
        self.ejected_until > Millis(0)
    }

    /// Returns whether the target may be sent a request.
    pub fn is_available(&self, now: Millis) -> bool {
        !self.is_ejected(now)
            && (!self.is_unresponsive(now) || self.last_sent + PROBE_INTERVAL <= now)
    }

    /// Returns the fraction of requests that fail at the target.
    #[expect(clippy::cast_precision_loss)]
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * (-((now - self.rate_updated).0 as f64) / FAILURE_RATE_DECAY_MS).exp()
    }

    fn is_unresponsive(&self, now: Millis) -> bool {
        let expected_ms = self.expected_duration.0;
        let limit_ms = expected_ms.saturating_mul(UNRESPONSIVE_FACTOR);
        let limit = Millis(limit_ms).max(UNRESPONSIVE_MIN);
        self.waiting_since.is_some_and(|since| now - since > limit)
    }

    fn update_rate(&mut self, now: Millis, failed: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failed - rate) * FAILURE_RATE_SMOOTHING;
        self.rate_updated = now;
    }

    fn restart_wait(&mut self, now: Millis, outstanding: u32) {
        self.waiting_since = (outstanding > 0).then_some(now);
    }
}
