//! A demand divided by the workspaces of its requests.

use std::ops::AddAssign;

use xxhash_rust::xxh3::xxh3_64;

use super::RankSlots;
use crate::domain::{Rank, WorkspaceName};

/// The largest number of workspaces and ranks of a service whose demand is known one by
/// one. Those with the smallest need per weight are left out: they count as a whole, and
/// only the largest are held back. It bounds a message to 384 bytes per service.
pub const WORKSPACES_MAX: usize = 32;

/// The bits of a key that contain the rank.
const RANK_MASK: u32 = 3;

/// The smallest weight, so that a quota of zero does not divide by it.
const WEIGHT_MIN: f32 = 1e-3;

/// A hash of the name of a workspace, with the position of a rank. Two of 76 workspaces
/// have the same one in 3 of a million configurations, and then share a part.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkspaceKey(pub u32);

impl WorkspaceKey {
    /// Returns the key of a workspace's requests of a rank.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "part of a hash")]
    pub fn new(name: &WorkspaceName, rank: Rank) -> Self {
        let hash = xxh3_64(name.as_bytes()) as u32;
        Self(hash & !RANK_MASK | RankSlots::index(rank) as u32)
    }

    /// Returns the position of the rank, the most urgent one first.
    #[must_use]
    pub fn rank(self) -> usize {
        (self.0 & RANK_MASK) as usize
    }
}

/// What the requests of a workspace need. It has single precision, because every report
/// has many of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceNeed {
    /// The workspace and the rank of its requests.
    pub key: WorkspaceKey,
    /// Its part of the room, relative to other workspaces: its quota.
    pub weight: f32,
    /// The slots that its requests need.
    pub slots: f32,
}

impl WorkspaceNeed {
    /// Returns the slots per weight.
    #[must_use]
    pub fn ratio(&self) -> f32 {
        self.slots / self.weight.max(WEIGHT_MIN)
    }
}

/// The slots that the requests of the largest workspaces need. As in [`RankSlots`],
/// refused requests count in full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceSlots {
    /// In the order of their keys.
    needs: [WorkspaceNeed; WORKSPACES_MAX],
    len: usize,
}

impl WorkspaceSlots {
    /// Returns the needs in the order of their keys.
    #[must_use]
    pub fn needs(&self) -> &[WorkspaceNeed] {
        &self.needs[..self.len]
    }

    /// Adds what a request needs. If there are too many workspaces, the one with the
    /// smallest need per weight is left out.
    pub fn add(&mut self, need: WorkspaceNeed) {
        match self.needs().binary_search_by_key(&need.key, |n| n.key) {
            Ok(at) => {
                let known = &mut self.needs[at];
                known.slots += need.slots;
                known.weight = known.weight.max(need.weight);
            }
            Err(mut at) => {
                if self.len == WORKSPACES_MAX {
                    let Some(smallest) = self.smallest_below(need.ratio()) else {
                        return;
                    };
                    self.needs.copy_within(smallest + 1.., smallest);
                    self.len -= 1;
                    at -= usize::from(smallest < at);
                }
                self.needs.copy_within(at..self.len, at + 1);
                self.needs[at] = need;
                self.len += 1;
            }
        }
    }

    /// Returns the same needs, multiplied by a factor.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "single precision")]
    pub fn scaled(mut self, factor: f64) -> Self {
        for need in &mut self.needs[..self.len] {
            need.slots *= factor as f32;
        }
        self
    }

    /// Returns the position of the smallest need per weight, if it is below the given one.
    fn smallest_below(&self, ratio: f32) -> Option<usize> {
        let needs = self.needs().iter().enumerate();
        let smallest = needs.min_by(|(_, a), (_, b)| a.ratio().total_cmp(&b.ratio()));
        smallest
            .filter(|(_, need)| need.ratio() < ratio)
            .map(|(at, _)| at)
    }
}

impl AddAssign for WorkspaceSlots {
    fn add_assign(&mut self, other: Self) {
        if self.len == 0 {
            *self = other;
        } else {
            other.needs().iter().for_each(|need| self.add(*need));
        }
    }
}
