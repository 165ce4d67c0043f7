//! The limit of the buckets of one workspace, derived from its quota.

use super::{TOKEN_VALIDITY, TRANSFER_VALIDITY};
use crate::domain::{Bounds, Millis, Quota};

/// The fraction of the capacity that is used. The rest covers entries that do not know
/// of each other yet.
const USED_FRACTION: f64 = 0.85;

/// The rate and the capacity of all buckets of a workspace together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// The tokens that are added per second.
    pub rate: f64,
    /// The maximum number of tokens.
    pub capacity: f64,
    /// The maximum surplus in a window, in tokens.
    surplus: f64,
    /// The time over which the surplus is counted.
    pub(super) window: Millis,
}

impl Limit {
    /// Returns the limit for a quota.
    ///
    /// Tokens that are used in a window were granted in it or within their validity
    /// before it, and may have been on their way between granters before that. So the
    /// capacity is what the bounds allow in a window, less what is added in the window
    /// and in these times.
    #[expect(clippy::cast_precision_loss)]
    #[must_use]
    pub fn new(quota: &Quota, bounds: &Bounds) -> Self {
        let rate = quota.rate.0.max(0.0);
        let seconds = |ms: u64| ms as f64 / 1_000.0;
        let window = bounds.quota_window;
        let covered = window + TOKEN_VALIDITY + TRANSFER_VALIDITY;
        let regular = rate * seconds(window.0) + quota.burst.max(0.0);
        let allowed = regular * (1.0 + bounds.quota_overshoot) + bounds.quota_slack;
        let capacity = (allowed - rate * seconds(covered.0)) * USED_FRACTION;
        let capacity = capacity.max(1.0);
        Self {
            rate,
            capacity,
            // A window has the burst beyond the rate, also if it is used steadily.
            surplus: quota.burst.clamp(0.0, capacity),
            window: covered,
        }
    }

    /// Returns the surplus in tokens per second.
    #[expect(clippy::cast_precision_loss)]
    pub(super) fn surplus_rate(&self) -> f64 {
        self.surplus * 1_000.0 / self.window.0.max(1) as f64
    }
}
