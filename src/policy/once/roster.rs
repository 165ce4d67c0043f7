//! The roster and the homes of a bucket.

use std::{collections::BTreeMap, fmt};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Bucket;
use crate::domain::{AzName, EntryId, Epoch, Incarnation, RegionName};

/// The number of homes of a key. Two of three is the smallest quorum that
/// survives the loss of a home.
const HOMES: usize = 3;

/// One life of an entry VM.
///
/// A restarted entry has lost its claims, so it must never be mistaken for its
/// former life.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The entry.
    pub entry: EntryId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.entry, self.incarnation)
    }
}

/// An entry with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterEntry {
    /// The entry and its life.
    pub member: Member,
    /// The region it runs in.
    pub region: RegionName,
    /// The availability zone it runs in.
    pub az: AzName,
}

/// The entries that share claims, as the store records them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    epoch: Epoch,
    entries: Vec<RosterEntry>,
}

impl Roster {
    /// Returns a roster. Of an entry that is listed twice, only the latest life
    /// counts, since two homes of a key must not be the same VM.
    #[must_use]
    pub fn new(epoch: Epoch, entries: impl IntoIterator<Item = RosterEntry>) -> Self {
        let mut lives: BTreeMap<EntryId, RosterEntry> = BTreeMap::new();
        for entry in entries {
            let life = lives.get(&entry.member.entry);
            if life.is_none_or(|l| l.member < entry.member) {
                lives.insert(entry.member.entry.clone(), entry);
            }
        }
        let entries = lives.into_values().collect();
        Self { epoch, entries }
    }

    /// Returns the version.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the entries in the order of their names.
    #[must_use]
    pub fn entries(&self) -> &[RosterEntry] {
        &self.entries
    }

    /// Returns the homes of a bucket: the best three by rendezvous hash, each
    /// in a region of its own.
    ///
    /// When one entry joins or leaves, at most one home changes. If there are
    /// fewer than three regions, the remaining homes are in AZs of their own,
    /// and otherwise on VMs of their own. What a claim then survives:
    ///
    /// * three regions: the loss of any one region;
    /// * two regions: the loss of any one AZ. If a region is lost, its keys with
    ///   two homes there are unavailable, but no key is executed twice;
    /// * one AZ: the loss of any one VM;
    /// * two entries: nothing. Both must vote, so claims are unavailable while
    ///   one of them is down;
    /// * one entry: nothing. Its restart loses all claims;
    /// * no roster or no entry: there are no homes, and each keyed request is
    ///   refused as not run.
    #[must_use]
    pub fn homes(&self, bucket: Bucket) -> HomeSet {
        let mut chosen: Vec<&RosterEntry> = Vec::with_capacity(HOMES);
        while chosen.len() < HOMES {
            let rest = self.entries.iter().filter(|e| !chosen.contains(e));
            let Some(best) = rest.max_by_key(|e| (spread(e, &chosen), score(e, bucket))) else {
                break;
            };
            chosen.push(best);
        }
        HomeSet {
            epoch: self.epoch,
            members: chosen.into_iter().map(|e| e.member.clone()).collect(),
        }
    }
}

/// Rates how far `entry` is from all the homes chosen so far.
fn spread(entry: &RosterEntry, chosen: &[&RosterEntry]) -> u8 {
    let same_region = |c: &&&RosterEntry| c.region == entry.region;
    let same_az = |c: &&RosterEntry| c.region == entry.region && c.az == entry.az;
    if chosen.iter().any(same_az) {
        return 0;
    }
    if chosen.iter().any(|c| same_region(&c)) {
        return 1;
    }
    2
}

/// The incarnation is no part of the score, so a restarted entry gets the same
/// buckets back and no other entry has to read.
fn score(entry: &RosterEntry, bucket: Bucket) -> u64 {
    xxh3_64_with_seed(entry.member.entry.as_bytes(), u64::from(bucket.0))
}

/// The homes of a bucket in one epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeSet {
    /// The version of the roster.
    pub epoch: Epoch,
    /// Up to three homes.
    pub members: Vec<Member>,
}

impl HomeSet {
    /// Returns whether `member` is one of the homes.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Returns how many homes must vote for an attempt. Without any home no
    /// number suffices.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
