//! How far a move has come, as entries tell each other.

use std::collections::BTreeMap;

use super::Share;
use crate::domain::{PlaceName, Revision};

/// How far one place has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Level {
    /// The share that is proven.
    pub effective: Share,
    /// The share that the document asks for.
    pub target: Share,
}

impl Level {
    /// The order of merging. The share that has farther to go is the greater
    /// one; the rest only makes the order total.
    fn key(self) -> (u32, Share, Share) {
        let rest = self.target.0.abs_diff(self.effective.0);
        (rest, self.effective, self.target)
    }
}

/// How far the entries have come with a service's document.
///
/// The merged value is the least advanced one. Merging is commutative,
/// associative and idempotent, so reports may come in any order and more than
/// once. A merged value does not advance by itself: each round of gossip merges
/// the present reports of the peers anew.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The revision of the document.
    pub revision: Revision,
    /// Whether the reporting entry has traffic of the service. Entries without
    /// any cannot tell whether a place is warm, so others come before them.
    pub busy: bool,
    /// The places.
    pub places: BTreeMap<PlaceName, Level>,
}

impl Progress {
    /// Returns the least advanced of two reports. A newer revision, then an
    /// entry with traffic, replaces the other report as a whole.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let rank = |p: &Self| (p.revision, p.busy);
        match rank(&self).cmp(&rank(&other)) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => self.join(other),
        }
    }

    fn join(mut self, other: Self) -> Self {
        for (name, level) in other.places {
            let own = self.places.entry(name).or_insert(level);
            if own.key() < level.key() {
                *own = level;
            }
        }
        self
    }
}
