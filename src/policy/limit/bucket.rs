//! The token bucket of a rate limit.

use super::RATE_UNITS;
use crate::domain::Millis;

/// How much of the held rate may be saved up. Longer bursts would let several
/// entries exceed the limit together in a short window.
const BURST: Millis = Millis(100);

/// One token in the bucket's scale: a unit's rate is the limit divided by
/// [`RATE_UNITS`] and time is in milliseconds, so this scale avoids rounding.
const TOKEN: u64 = RATE_UNITS as u64 * 1000;

/// Tokens that accrue in proportion to the units held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: u64,
    filled: Millis,
}

impl Bucket {
    /// Adds the tokens since the last call, for `held` units of a limit of
    /// `rate` a second, and cuts what exceeds the burst. One admission of
    /// `grain` always fits, since a small share would admit nothing otherwise.
    pub(super) fn refill(&mut self, now: Millis, rate: u64, grain: u64, held: u32) {
        let share = rate.saturating_mul(u64::from(held));
        let floor = if share == 0 { 0 } else { grain };
        let cap = share
            .saturating_mul(BURST.0)
            .max(floor.saturating_mul(TOKEN));
        let earned = share.saturating_mul((now - self.filled).0);
        self.tokens = self.tokens.saturating_add(earned).min(cap);
        self.filled = self.filled.max(now);
    }

    /// Takes tokens for one admission.
    pub(super) fn take(&mut self, amount: u64) -> bool {
        let cost = amount.saturating_mul(TOKEN);
        let enough = self.tokens >= cost;
        if enough {
            self.tokens -= cost;
        }
        enough
    }
}
