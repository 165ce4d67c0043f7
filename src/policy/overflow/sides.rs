//! How refusals change where the requests of an entry run.
//!
//! The overflow fraction decides where requests are placed. Callers see where they
//! run, and if one side refuses more of its requests than the other, the other's
//! part of those that run grows with the refusals. Refusals can change within a
//! fraction of a second, so that keeping the overflow fraction steady does not keep
//! the callers' requests in their region. An entry whose local side refuses many
//! requests therefore sends fewer to other regions than are placed there, until the
//! overflow fraction has followed the load.

use super::SHIFT_WINDOW_MS;
use crate::domain::Millis;

/// The largest effect of refusals on the part of the requests that runs in other
/// regions, as a fraction of the users' cap on shifts. The overflow fraction may use
/// the rest within a window.
const EFFECT_FRACTION: f64 = 0.3;

/// The recent requests of an entry, of all services, by side.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sides {
    /// The requests by the side on which they were placed.
    placed: Counts,
    /// The requests that were sent, by the side on which they run.
    sent: Counts,
    updated: Millis,
}

/// Numbers of requests by side, as moving sums.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    local: f64,
    remote: f64,
}

impl Counts {
    fn decay(&mut self, weight: f64) {
        self.local *= weight;
        self.remote *= weight;
    }

    fn add(&mut self, remote: bool) {
        if remote {
            self.remote += 1.0;
        } else {
            self.local += 1.0;
        }
    }

    fn remote_fraction(&self) -> f64 {
        self.remote / (self.local + self.remote).max(1.0)
    }
}

impl Sides {
    /// Records a request by the side on which it was placed, and the side on which it
    /// runs if it was not refused.
    pub fn record(&mut self, now: Millis, placed_remote: bool, sent_remote: Option<bool>) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = (now - self.updated).0 as f64;
        let weight = (-elapsed_ms / SHIFT_WINDOW_MS).exp();
        self.placed.decay(weight);
        self.sent.decay(weight);
        self.updated = now;
        self.placed.add(placed_remote);
        if let Some(remote) = sent_remote {
            self.sent.add(remote);
        }
    }

    /// Returns whether refusals of the local side have raised the part of the requests
    /// that runs in other regions as far as they may, given the largest fraction of
    /// requests that may change region in a window.
    #[must_use]
    pub fn is_distorted(&self, cap: f64) -> bool {
        let effect = self.sent.remote_fraction() - self.placed.remote_fraction();
        effect > cap * EFFECT_FRACTION
    }
}
