//! The token bucket of a rate limit.

use super::RATE_UNITS;
use crate::domain::Millis;

/// The longest time for which unused tokens accumulate. With longer bursts, several
/// entries could together exceed the limit in a short window.
const MAX_BURST: Millis = Millis(100);

/// The fixed-point scale of tokens. The rate of a unit is the limit divided by
/// [`RATE_UNITS`] and time is in milliseconds, so this scale avoids rounding.
const TOKEN_SCALE: u64 = RATE_UNITS as u64 * 1000;

/// The properties of a limit that the bucket depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) rate: u64,
    pub(super) max_amount: u64,
    pub(super) burst: u64,
}

/// A token bucket that fills in proportion to the units held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: u64,
    refilled_at: Millis,
}

impl Bucket {
    /// Adds the tokens earned since the last call by `held` units of a limit, up to
    /// the largest burst. The bucket always has room for one admission of the largest
    /// amount, because a small share would admit nothing otherwise.
    ///
    /// A burst that the limit states beside the rate is divided like the units: what
    /// an entry has saved for units that it lends is lost, and a borrower starts with
    /// nothing for them, so that all entries together never have more than the burst.
    pub(super) fn refill(&mut self, now: Millis, size: Size, held: u32) {
        let Size {
            rate,
            max_amount,
            burst,
        } = size;
        let share = rate.saturating_mul(u64::from(held));
        let minimum = if share == 0 { 0 } else { max_amount };
        let saved = burst.saturating_mul(TOKEN_SCALE / u64::from(RATE_UNITS));
        let cap = share
            .saturating_mul(MAX_BURST.0)
            .saturating_add(saved.saturating_mul(u64::from(held)))
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

    /// Puts back the tokens for an admission of `amount`. The next refill cuts them to
    /// the cap.
    pub(super) fn put_back(&mut self, amount: u64) {
        let tokens = amount.saturating_mul(TOKEN_SCALE);
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Returns the time until `held` units of a limit of `rate` a second have earned
    /// the tokens for an admission of `amount`. Returns none if they earn nothing.
    pub(super) fn time_until(&self, amount: u64, rate: u64, held: u32) -> Option<Millis> {
        let missing = amount
            .saturating_mul(TOKEN_SCALE)
            .saturating_sub(self.tokens);
        let share = rate.saturating_mul(u64::from(held));
        (share > 0).then(|| Millis(missing.div_ceil(share)))
    }
}
