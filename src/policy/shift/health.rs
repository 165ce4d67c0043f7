//! How well a place answers, now and before a move.

use hdrhistogram::Histogram;

use crate::domain::Millis;

/// The quantile that is compared. A mean would follow the few stragglers, and a
/// median would not see a cache that misses for a third of the requests.
const QUANTILE: f64 = 0.9;

/// How much worse than before a place may be for the move to go on.
const FACTOR: u64 = 2;

/// Failures in 10,000 that are always allowed, since twice nothing is nothing.
const FAILURES_FLOOR: u64 = 100;

/// The fewest answers from which a judgement is made.
pub(super) const MIN_SAMPLES: u64 = 10;

/// The longest latency that is told apart, in milliseconds.
const SLOWEST_MS: u64 = 120_000;

/// Latency and failures of a place over some time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// The 90th percentile of the latency.
    pub latency: Millis,
    /// Failures in 10,000 requests.
    pub failures: u64,
}

impl Health {
    /// Returns whether a place in this state is within twice of `before`.
    #[must_use]
    pub fn is_within(self, before: Self) -> bool {
        // Latencies under 1 ms are not told apart.
        let slowest = before.latency.0.max(1) * FACTOR;
        let worst = before.failures * FACTOR + FAILURES_FLOOR;
        self.latency.0 <= slowest && self.failures <= worst
    }

    /// Returns the worse of two in each respect.
    pub(super) fn worse(self, other: Self) -> Self {
        Self {
            latency: self.latency.max(other.latency),
            failures: self.failures.max(other.failures),
        }
    }
}

/// The answers of a place since an instant.
#[derive(Clone, Debug)]
pub(super) struct Window {
    latency: Histogram<u32>,
    failures: u64,
}

impl Window {
    pub(super) fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, SLOWEST_MS, 1);
        Self {
            latency: latency.expect("the bounds and one digit are valid"),
            failures: 0,
        }
    }

    pub(super) fn observe(&mut self, latency: Millis, failed: bool) {
        self.latency.saturating_record(latency.0);
        self.failures += u64::from(failed);
    }

    pub(super) fn samples(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the health, if there was any answer.
    pub(super) fn health(&self) -> Option<Health> {
        (!self.latency.is_empty()).then(|| Health {
            latency: Millis(self.latency.value_at_quantile(QUANTILE)),
            failures: self.failures * 10_000 / self.samples(),
        })
    }

    pub(super) fn clear(&mut self) {
        self.latency.clear();
        self.failures = 0;
    }
}
