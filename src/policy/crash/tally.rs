//! The mergeable counter of strikes.

use std::collections::BTreeMap;

use crate::policy::once::Member;

/// How many members a tally keeps. Two strikes block a request, so more than a
/// few members can only strike at the same moment.
const MEMBERS_MAX: usize = 16;

/// The strikes that one member has counted against one fingerprint.
///
/// Both numbers only grow, and only their difference counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// All strikes.
    pub total: u32,
    /// Those that were cleared or have expired.
    pub cleared: u32,
}

impl Count {
    fn open(self) -> u32 {
        self.total.saturating_sub(self.cleared)
    }
}

/// The strikes against one fingerprint, by the member that counted them.
///
/// Each member raises only its own total, and merging takes the maximum of each
/// number. The result therefore does not depend on the order of messages or on
/// duplicates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally(BTreeMap<Member, Count>);

impl Tally {
    /// Returns the strikes that count.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.0.values().map(|c| c.open()).sum()
    }

    /// Returns the numbers of each member.
    pub fn counts(&self) -> impl Iterator<Item = (&Member, &Count)> {
        self.0.iter()
    }

    /// Returns the total of one member.
    #[must_use]
    pub fn total(&self, member: &Member) -> u32 {
        self.0.get(member).map_or(0, |c| c.total)
    }

    /// Adds a strike of `me`, whose total begins at `floor`. The floor must not
    /// be below a total that `me` has forgotten: a peer that has cleared that
    /// total would take the new strike for a cleared one.
    pub fn strike(&mut self, me: &Member, floor: u32) {
        let start = Count {
            total: floor,
            cleared: floor,
        };
        let count = self.0.entry(me.clone()).or_insert(start);
        count.total = count.total.saturating_add(1);
    }

    /// Clears all strikes that are known here. Those that are still under way
    /// from other members count.
    pub fn clear(&mut self) {
        for count in self.0.values_mut() {
            count.cleared = count.total;
        }
    }

    /// Takes the maximum of each number, and returns whether a total grew.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut grew = false;
        for (member, theirs) in &other.0 {
            if self.0.len() >= MEMBERS_MAX && !self.0.contains_key(member) {
                continue;
            }
            let ours = self.0.entry(member.clone()).or_default();
            grew |= theirs.total > ours.total;
            ours.total = ours.total.max(theirs.total);
            ours.cleared = ours.cleared.max(theirs.cleared);
        }
        grew
    }
}

impl FromIterator<(Member, Count)> for Tally {
    fn from_iter<I: IntoIterator<Item = (Member, Count)>>(counts: I) -> Self {
        Self(counts.into_iter().take(MEMBERS_MAX).collect())
    }
}
