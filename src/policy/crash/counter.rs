//! A counter of strikes that can be merged between members.

use std::collections::BTreeMap;

use crate::policy::once::Member;

/// The maximum number of members in a counter. Two strikes block a request, so more
/// than a few members can only record strikes at the same time.
const MEMBERS_MAX: usize = 16;

/// The strikes that one member has recorded against one fingerprint.
///
/// Both numbers only increase. Their difference is the number of active strikes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCount {
    /// The number of all strikes.
    pub total: u32,
    /// The number of strikes that were cleared or have expired.
    pub cleared: u32,
}

impl MemberCount {
    fn active(self) -> u32 {
        self.total.saturating_sub(self.cleared)
    }
}

/// The strikes against one fingerprint, by the member that recorded them.
///
/// Each member increases only its own total, and merging takes the maximum of each
/// number. The result therefore depends neither on the order of messages nor on
/// duplicates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StrikeCounter(BTreeMap<Member, MemberCount>);

impl StrikeCounter {
    /// Returns the number of strikes that were not cleared and have not expired.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.0.values().map(|c| c.active()).sum()
    }

    /// Returns the counts of each member.
    pub fn counts(&self) -> impl Iterator<Item = (&Member, &MemberCount)> {
        self.0.iter()
    }

    /// Returns the total of one member, or zero if it is unknown.
    #[must_use]
    pub fn total(&self, member: &Member) -> u32 {
        self.0.get(member).map_or(0, |c| c.total)
    }

    /// Adds a strike of `local`, whose total starts at `floor` if it is unknown. The
    /// floor must not be below a total that `local` has forgotten: a peer that has
    /// cleared that total would take the new strike for a cleared one.
    pub fn record_strike(&mut self, local: &Member, floor: u32) {
        let start = MemberCount {
            total: floor,
            cleared: floor,
        };
        let count = self.0.entry(local.clone()).or_insert(start);
        count.total = count.total.saturating_add(1);
    }

    /// Clears all strikes in this counter. Strikes of other members that arrive
    /// later remain active.
    pub fn clear(&mut self) {
        for count in self.0.values_mut() {
            count.cleared = count.total;
        }
    }

    /// Takes the maximum of each number, and returns whether a total increased.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut increased = false;
        for (member, theirs) in &other.0 {
            if self.0.len() >= MEMBERS_MAX && !self.0.contains_key(member) {
                continue;
            }
            let own = self.0.entry(member.clone()).or_default();
            increased |= theirs.total > own.total;
            own.total = own.total.max(theirs.total);
            own.cleared = own.cleared.max(theirs.cleared);
        }
        increased
    }
}

impl FromIterator<(Member, MemberCount)> for StrikeCounter {
    fn from_iter<I: IntoIterator<Item = (Member, MemberCount)>>(counts: I) -> Self {
        Self(counts.into_iter().take(MEMBERS_MAX).collect())
    }
}
