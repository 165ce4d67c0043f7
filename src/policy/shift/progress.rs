//! The progress of a move, as entries report it to each other.

use std::collections::BTreeMap;

use super::Share;
use crate::domain::{PlaceName, Revision};

/// The progress of one place.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlaceProgress {
    /// The share that the place is known to handle.
    pub base: Share,
    /// The share that the document asks for.
    pub target: Share,
}

impl PlaceProgress {
    /// Returns the sort key for merging. The place with the greater distance to
    /// its target share is the greater one; the other parts only break ties.
    fn key(self) -> (u32, Share, Share) {
        let distance = self.target.0.abs_diff(self.base.0);
        (distance, self.base, self.target)
    }
}

/// The progress of the entries towards a service's document.
///
/// The merged value is the least advanced one. Merging is commutative,
/// associative and idempotent, so reports may arrive in any order and more than
/// once. A merged value does not advance by itself: each gossip round merges
/// the current reports of the peers again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The revision of the document.
    pub revision: Revision,
    /// Whether the reporting entry has traffic of the service. An entry without
    /// traffic cannot tell whether a place is warmed up, so reports of entries
    /// with traffic take precedence.
    pub has_traffic: bool,
    /// The progress of each place.
    pub places: BTreeMap<PlaceName, PlaceProgress>,
}

impl Progress {
    /// Returns the least advanced of two reports. The report with the newer
    /// revision, or at equal revisions the one of an entry with traffic,
    /// replaces the other one as a whole.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let precedence = |p: &Self| (p.revision, p.has_traffic);
        match precedence(&self).cmp(&precedence(&other)) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => self.merge_places(other),
        }
    }

    fn merge_places(mut self, other: Self) -> Self {
        for (name, theirs) in other.places {
            let ours = self.places.entry(name).or_insert(theirs);
            if ours.key() < theirs.key() {
                *ours = theirs;
            }
        }
        self
    }
}
