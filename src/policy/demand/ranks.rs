//! A demand divided by the ranks of its requests.

use std::ops::AddAssign;

use crate::domain::Rank;

/// The number of ranks that are told apart. The least urgent of them stands for all
/// further ones, so that a message and a decision stay small whatever is configured.
pub const RANKS: usize = 4;

/// The slots that the requests of each rank need. Unlike [`Demand::slots`](super::Demand),
/// requests that were refused count in full: what is admitted is a fraction of all that
/// arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankSlots(pub [f64; RANKS]);

impl RankSlots {
    /// Returns the position of a rank, the most urgent one first.
    #[must_use]
    pub fn index(rank: Rank) -> usize {
        usize::try_from(rank.0).map_or(RANKS - 1, |rank| rank.min(RANKS - 1))
    }

    /// Adds slots that requests of a rank need.
    pub fn add(&mut self, rank: Rank, slots: f64) {
        self.0[Self::index(rank)] += slots;
    }

    /// Returns the slots that the requests of all ranks need.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the same demand, multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|slots| slots * factor))
    }
}

impl AddAssign for RankSlots {
    fn add_assign(&mut self, other: Self) {
        for (sum, slots) in self.0.iter_mut().zip(other.0) {
            *sum += slots;
        }
    }
}
