//! The token bucket of a rate limit.

use super::RATE_UNITS;
use crate::domain::Millis;

/// The longest time for which unused tokens accumulate. With longer bursts, several
/// entries could together exceed the limit in a short window.
const MAX_BURST: Millis = Millis(100);

/// The fixed-point scale of tokens. The rate of a unit is the limit divided by
/// [`RATE_UNITS`] and time is in milliseconds, so this scale avoids rounding.
const TOKEN_SCALE: u64 = RATE_UNITS as u64 * 1000;

/// A token bucket that fills in proportion to the units held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: u64,
    refilled_at: Millis,
}

impl Bucket {
    /// Adds the tokens earned since the last call by `held` units of a limit of
    /// `rate` a second, up to the largest burst. The bucket always has room for one
    /// admission of `max_amount`, because a small share would admit nothing
    /// otherwise.
    pub(super) fn refill(&mut self, now: Millis, rate: u64, max_amount: u64, held: u32) {
        let share = rate.saturating_mul(u64::from(held));
        let minimum = if share == 0 { 0 } else { max_amount };
        let cap = share
            .saturating_mul(MAX_BURST.0)
            .max(minimum.saturating_mul(TOKEN_SCALE));
        let earned = share.saturating_mul((now - self.refilled_at).0);
        self.tokens = self.tokens.saturating_add(earned).min(cap);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the tokens for an admission of `amount`, and returns whether there were
    /// enough.
    pub(super) fn take(&mut self, amount: u64) -> bool {
        let cost = amount.saturating_mul(TOKEN_SCALE);
        let enough = self.tokens >= cost;
        if enough {
            self.tokens -= cost;
        }
        enough
    }
}
