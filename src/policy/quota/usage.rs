//! Moving averages of rates.

use crate::domain::Millis;

/// The time constant of the average.
const SMOOTHING_MS: f64 = 1_000.0;

/// An exponential moving average of a rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    count: f64,
    at: Millis,
}

impl Usage {
    /// Adds requests.
    pub fn record(&mut self, now: Millis, requests: u32) {
        self.count = self.decayed(now) + f64::from(requests);
        self.at = self.at.max(now);
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self, now: Millis) -> f64 {
        self.decayed(now) * 1_000.0 / SMOOTHING_MS
    }

    /// Returns the number of requests that are expected in a duration.
    #[expect(clippy::cast_precision_loss)]
    pub fn expected(&self, now: Millis, duration: Millis) -> f64 {
        self.rate(now) * duration.0 as f64 / 1_000.0
    }

    #[expect(clippy::cast_precision_loss)]
    fn decayed(&self, now: Millis) -> f64 {
        self.count * (-((now - self.at).0 as f64) / SMOOTHING_MS).exp()
    }
}
