//! What a request hears that a rate limit does not admit now.

use super::{Ledger, Limit, RATE_UNITS};
use crate::{domain::Millis, policy::quota::Room};

/// How long units of other entries are not waited for after a request has waited in vain.
/// Meanwhile they are still asked for, so that refusals during an overload come at once.
const DRY_TIME: Millis = Millis(500);

/// The time over which those that return are spread.
const SPREAD: Millis = Millis(2_000);

/// The time to return if this entry holds no units and so cannot tell.
const RETURN_DEFAULT: Millis = Millis(1_000);

/// The latest time to return, before the spread.
const RETURN_MAX: Millis = Millis(10_000);

/// Why a rate limit does not admit an amount now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Other entries hold units, which may be lent within a moment, or the bucket fills
    /// faster than is asked for.
    Pending,
    /// The limit is used up until there is room again.
    Exhausted(Room),
    /// Nothing shows that the limit is used up: less is asked here than is earned, as
    /// before the bucket has filled after a start, or this entry has no units while some
    /// are at no entry, as after a start or the loss of an entry.
    Unavailable,
}

impl Ledger {
    /// Returns why `amount` is not admitted. `asked` is what is asked for at this entry
    /// in a second.
    #[must_use]
    pub fn shortage(&self, amount: u64, asked: f64, now: Millis) -> Shortage {
        let Limit::Rate { rate, .. } = self.limit else {
            return Shortage::Pending;
        };
        let is_used_up = if self.held == 0 {
            self.missing == 0 && self.position.is_some()
        } else {
            asked >= self.earned(rate)
        };
        let may_arrive = self.held < self.limit.units() || !is_used_up;
        if may_arrive && now >= self.dry_until {
            return Shortage::Pending;
        }
        if !is_used_up {
            return Shortage::Unavailable;
        }
        let after = self.bucket.time_until(amount, rate, self.held);
        Shortage::Exhausted(Room {
            after: after.unwrap_or(RETURN_DEFAULT).min(RETURN_MAX),
            spread: SPREAD,
        })
    }

    /// Returns what the units of this entry earn in a second.
    #[expect(clippy::cast_precision_loss)]
    fn earned(&self, rate: u64) -> f64 {
        rate as f64 * f64::from(self.held) / f64::from(RATE_UNITS)
    }

    /// Records that a request has waited in vain for units of other entries.
    pub fn record_dry(&mut self, now: Millis) {
        self.dry_until = now + DRY_TIME;
    }

    /// Puts back an amount that was admitted, for work that was not sent.
    pub fn put_back(&mut self, amount: u64) {
        self.bucket.put_back(amount);
    }
}
