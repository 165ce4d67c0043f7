//! The roster and the homes of a bucket.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

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
    /// What the choice of homes needs of each entry, as numbers, because it is
    /// made for each bucket in each epoch.
    sites: Vec<Site>,
    /// The number of regions.
    regions: usize,
}

/// An entry in numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Site {
    /// The hash of the name. The incarnation is no part of it, so a restarted
    /// entry gets the same buckets back and no other entry has to read.
    name: u64,
    region: usize,
    az: usize,
}

impl Site {
    fn score(self, bucket: Bucket) -> u64 {
        xxh3_64_with_seed(&self.name.to_le_bytes(), u64::from(bucket.0))
    }
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
        let entries: Vec<RosterEntry> = lives.into_values().collect();
        let sites = sites(&entries);
        Self {
            epoch,
            entries,
            regions: sites.iter().map(|s| s.region + 1).max().unwrap_or(0),
            sites,
        }
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
        let mut best: Vec<Option<(u64, usize)>> = vec![None; self.regions];
        for (i, site) in self.sites.iter().enumerate() {
            let score = Some((site.score(bucket), i));
            best[site.region] = best[site.region].max(score);
        }
        best.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<usize> = best.into_iter().flatten().map(|(_, i)| i).collect();
        chosen.truncate(HOMES);
        while chosen.len() < HOMES.min(self.sites.len()) {
            let rest = (0..self.sites.len()).filter(|i| !chosen.contains(i));
            let key = |i: &usize| (self.is_new_az(*i, &chosen), self.sites[*i].score(bucket));
            chosen.extend(rest.max_by_key(key));
        }
        let member = |i: usize| self.entries[i].member.clone();
        HomeSet {
            epoch: self.epoch,
            members: chosen.into_iter().map(member).collect(),
        }
    }

    fn is_new_az(&self, site: usize, chosen: &[usize]) -> bool {
        let az = |i: usize| self.sites[i].az;
        chosen.iter().all(|c| az(*c) != az(site))
    }
}

/// An AZ is told apart by its region as well, since regions may use the same
/// names.
fn sites(entries: &[RosterEntry]) -> Vec<Site> {
    let mut regions = HashMap::new();
    let mut zones = HashMap::new();
    let mut site = |entry: &RosterEntry| {
        let count = regions.len();
        let region = *regions.entry(entry.region.clone()).or_insert(count);
        let count = zones.len();
        let az = *zones.entry((region, entry.az.clone())).or_insert(count);
        let name = xxh3_64_with_seed(entry.member.entry.as_bytes(), 0);
        Site { name, region, az }
    };
    entries.iter().map(&mut site).collect()
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
