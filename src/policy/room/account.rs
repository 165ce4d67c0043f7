//! What targets can take of a service, against what callers ask for.

use crate::policy::demand::{RANKS, RankSlots};

/// The typical requests per slot that count as all that targets take. What is too much
/// at one target, or comes too late, is refused there by what is known at that moment.
const SLOT_LOAD_MAX: f64 = 1.0;

/// The smallest fraction of a rank that is admitted, relative to that of all ranks.
const FLOOR: f64 = 0.25;

/// What the overflow takes of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FarRoom {
    /// The fraction of the region's requests that is placed there.
    pub share: f64,
    /// The load of the targets there, in requests per slot.
    pub load: f64,
}

/// The account of one service in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// The slots that callers ask for, by rank.
    pub needed: RankSlots,
    /// The slots for them, near and far.
    pub room: f64,
}

impl Account {
    /// Returns the account of a region of which targets have `near` slots. Other regions
    /// have room for what is placed there, until they are full themselves.
    #[must_use]
    pub fn new(needed: RankSlots, near: f64, far: FarRoom) -> Self {
        let taken = (SLOT_LOAD_MAX / far.load.max(SLOT_LOAD_MAX)).min(1.0);
        let far = needed.total() * far.share * taken;
        Self {
            needed,
            room: near * SLOT_LOAD_MAX + far,
        }
    }

    /// Returns whether not all requests fit.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.needed.total() > self.room
    }

    /// Returns the most urgent rank that is asked for.
    #[must_use]
    pub fn first_rank(&self) -> Option<usize> {
        self.needed.0.iter().position(|needed| *needed > 0.0)
    }

    /// Returns the fraction of the most urgent rank that there is room for, besides the
    /// floor of the others.
    #[must_use]
    pub fn first_fraction(&self) -> f64 {
        let Some(first) = self.first_rank().filter(|_| self.is_short()) else {
            return 1.0;
        };
        let (needed, total) = (self.needed.0[first], self.needed.total());
        let others = (total - needed) * self.room / total * FLOOR;
        ((self.room - others) / needed).clamp(0.0, 1.0)
    }

    /// Returns the fraction of each rank that is to be admitted. More urgent ranks come
    /// first, after a floor for all that keeps a rank from being starved. The most urgent
    /// rank that is asked for is not held back: no other goes before it, and its targets
    /// refuse what is too late for it by newer figures than the sums of the region.
    #[must_use]
    pub fn fractions(&self) -> [f64; RANKS] {
        if !self.is_short() {
            return [1.0; RANKS];
        }
        let total = self.needed.total();
        let floor = self.room / total * FLOOR;
        let mut left = self.room - floor * total;
        let first = self.first_rank();
        let mut fractions = [1.0; RANKS];
        let mut extra = 1.0 - floor;
        for (rank, needed) in self.needed.0.iter().enumerate() {
            // No rank is admitted more often than a more urgent one, also if none of its
            // requests are known.
            if Some(rank) > first {
                extra = (left / needed.max(f64::MIN_POSITIVE)).clamp(0.0, extra);
            }
            left -= extra * needed;
            fractions[rank] = floor + extra;
        }
        fractions
    }
}
