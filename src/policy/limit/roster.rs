//! The entries that share a limit, and the home of each unit.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Member;
use crate::domain::{Epoch, LimitName};

/// The entries that share a limit, at one epoch.
///
/// Two entries with the same epoch must have the same roster. A limit for one
/// region uses a roster with only the entries of that region, under the same
/// epoch. An incarnation may be removed or replaced only after the platform has
/// reported it gone, because ledgers treat its absence from the roster as that
/// report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    epoch: Epoch,
    members: Vec<RosterMember>,
}

/// A member of a roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterMember {
    /// The entry and its incarnation.
    pub member: Member,
    /// Whether it is leaving. A leaving entry is not the home of any unit, so that
    /// its units move to the others before it stops, but it may still borrow.
    pub leaving: bool,
}

impl Roster {
    /// Returns a roster. If an entry appears more than once, only its greatest
    /// incarnation is kept.
    #[must_use]
    pub fn new(epoch: Epoch, mut members: Vec<RosterMember>) -> Self {
        members.sort_by(|a, b| {
            let names = a.member.entry.cmp(&b.member.entry);
            names.then_with(|| b.member.incarnation.cmp(&a.member.incarnation))
        });
        members.dedup_by(|a, b| a.member.entry == b.member.entry);
        Self { epoch, members }
    }

    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the members, ordered by name.
    #[must_use]
    pub fn members(&self) -> &[RosterMember] {
        &self.members
    }

    /// Returns the position of a member. Another incarnation of the same entry does
    /// not match.
    #[must_use]
    pub fn position(&self, member: &Member) -> Option<usize> {
        let by_name = |s: &RosterMember| s.member.entry.cmp(&member.entry);
        let at = self.members.binary_search_by(by_name).ok()?;
        (self.members[at].member == *member).then_some(at)
    }

    /// Returns the position of the home of a unit, chosen by rendezvous hashing.
    /// The incarnation is not part of the hash, so that a restart moves no unit.
    #[must_use]
    pub fn home(&self, limit: &LimitName, unit: u32) -> Option<usize> {
        let seed = xxh3_64_with_seed(limit.as_bytes(), u64::from(unit));
        let homes = self.members.iter().enumerate().filter(|(_, s)| !s.leaving);
        let weight = |s: &RosterMember| xxh3_64_with_seed(s.member.entry.as_bytes(), seed);
        homes.max_by_key(|(_, s)| weight(s)).map(|(i, _)| i)
    }
}
