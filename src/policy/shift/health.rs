//! The latency and failure rate of a place, compared with those before a move.

use hdrhistogram::Histogram;

use crate::domain::Millis;

/// The latency quantile that is compared. The mean would be dominated by a few
/// stragglers, and the median would not show a cache that misses for a third of
/// the requests.
const LATENCY_QUANTILE: f64 = 0.9;

/// How many times worse than before the move a place may be without stopping
/// it.
const MAX_DEGRADATION: u64 = 2;

/// Failures in 10,000 requests that are always tolerated. Without them a place
/// that had no failures before the move could not have any during it.
const TOLERATED_FAILURES: u64 = 100;

/// The minimum number of responses for a comparison.
pub(super) const MIN_SAMPLES: u64 = 10;

/// The greatest latency that is recorded; longer ones count as this one.
const MAX_LATENCY_MS: u64 = 120_000;

/// Latency and failure rate of a place over a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// The 90th percentile of the latency.
    pub latency: Millis,
    /// Failures in 10,000 requests.
    pub failures: u64,
}

impl Health {
    /// Returns whether this health is at most twice as bad as `before`.
    #[must_use]
    pub fn is_acceptable(self, before: Self) -> bool {
        // Latencies below 1 ms count as 1 ms.
        let max_latency = before.latency.0.max(1) * MAX_DEGRADATION;
        let max_failures = before.failures * MAX_DEGRADATION + TOLERATED_FAILURES;
        self.latency.0 <= max_latency && self.failures <= max_failures
    }

    /// Returns the greater latency and the greater failure rate of the two.
    pub(super) fn worst(self, other: Self) -> Self {
        Self {
            latency: self.latency.max(other.latency),
            failures: self.failures.max(other.failures),
        }
    }
}

/// The responses of a place since a point in time.
#[derive(Clone, Debug)]
pub(super) struct Window {
    latency: Histogram<u32>,
    failures: u64,
}

impl Window {
    pub(super) fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 1);
        Self {
            latency: latency.expect("the histogram's bounds and precision are valid"),
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

    /// Returns the health, or none if there were no responses.
    pub(super) fn health(&self) -> Option<Health> {
        (!self.latency.is_empty()).then(|| Health {
            latency: Millis(self.latency.value_at_quantile(LATENCY_QUANTILE)),
            failures: self.failures * 10_000 / self.samples(),
        })
    }

    pub(super) fn clear(&mut self) {
        self.latency.clear();
        self.failures = 0;
    }
}
