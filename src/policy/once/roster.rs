//! The roster of entries, and the choice of the homes of a bucket.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Bucket;
use crate::domain::{AzName, EntryId, Epoch, Incarnation, RegionName};

/// The number of homes of a key, if there are enough entries. Three is the
/// smallest number whose quorum survives the loss of a home.
const HOMES_MAX: usize = 3;

/// One incarnation of an entry VM.
///
/// A restarted entry has lost its claims, so it must never be taken for its
/// previous incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The entry.
    pub entry: EntryId,
    /// The incarnation of the entry, which changes with each restart.
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
    /// The entry and its incarnation.
    pub member: Member,
    /// The region it runs in.
    pub region: RegionName,
    /// The availability zone it runs in.
    pub az: AzName,
}

/// The entries that may be homes, as published in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    epoch: Epoch,
    entries: Vec<RosterEntry>,
    /// The hash and the location of each entry, in the order of `entries`. They
    /// are precomputed because homes are chosen for each bucket in each epoch.
    candidates: Vec<Candidate>,
    /// The number of regions.
    region_count: usize,
}

/// The hash of an entry's name, and its region and AZ as indices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Candidate {
    /// The hash of the name. The incarnation is not part of it, so a restarted
    /// entry gets the same buckets again and no other entry needs a transfer.
    name_hash: u64,
    region: usize,
    az: usize,
}

impl Candidate {
    fn score(self, bucket: Bucket) -> u64 {
        xxh3_64_with_seed(&self.name_hash.to_le_bytes(), u64::from(bucket.0))
    }
}

impl Roster {
    /// Returns a roster. Of an entry that is listed twice, only the latest
    /// incarnation is used, since two homes of a key must not be the same VM.
    #[must_use]
    pub fn new(epoch: Epoch, entries: impl IntoIterator<Item = RosterEntry>) -> Self {
        let mut latest: BTreeMap<EntryId, RosterEntry> = BTreeMap::new();
        for entry in entries {
            let known = latest.get(&entry.member.entry);
            if known.is_none_or(|k| k.member < entry.member) {
                latest.insert(entry.member.entry.clone(), entry);
            }
        }
        let entries: Vec<RosterEntry> = latest.into_values().collect();
        let candidates = candidates(&entries);
        Self {
            epoch,
            entries,
            region_count: candidates.iter().map(|c| c.region + 1).max().unwrap_or(0),
            candidates,
        }
    }

    /// Returns the epoch, which is the version of the roster.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the entries, sorted by name.
    #[must_use]
    pub fn entries(&self) -> &[RosterEntry] {
        &self.entries
    }

    /// Returns the homes of a bucket: the three entries with the highest
    /// rendezvous hash, each in a different region.
    ///
    /// When one entry joins or leaves, at most one home changes. If there are
    /// fewer than three regions, the remaining homes are in different AZs if
    /// possible, and otherwise on different VMs. Depending on the roster, claims
    /// survive the following failures:
    ///
    /// * three regions: the loss of any one region;
    /// * two regions: the loss of any one AZ. If a region is lost, keys with two
    ///   homes there are unavailable, but no key is executed twice;
    /// * one AZ: the loss of any one VM;
    /// * two entries: none. Both must vote, so claims are unavailable while one of
    ///   them is down;
    /// * one entry: none. Its restart loses all claims;
    /// * no roster or no entry: there are no homes, and each keyed request is
    ///   refused as not run.
    #[must_use]
    pub fn homes(&self, bucket: Bucket) -> HomeSet {
        let mut best: Vec<Option<(u64, usize)>> = vec![None; self.region_count];
        for (i, candidate) in self.candidates.iter().enumerate() {
            let score = Some((candidate.score(bucket), i));
            best[candidate.region] = best[candidate.region].max(score);
        }
        best.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<usize> = best.into_iter().flatten().map(|(_, i)| i).collect();
        chosen.truncate(HOMES_MAX);
        while chosen.len() < HOMES_MAX.min(self.candidates.len()) {
            let rest = (0..self.candidates.len()).filter(|i| !chosen.contains(i));
            let key = |i: &usize| {
                (
                    self.is_new_az(*i, &chosen),
                    self.candidates[*i].score(bucket),
                )
            };
            chosen.extend(rest.max_by_key(key));
        }
        let member = |i: usize| self.entries[i].member.clone();
        HomeSet {
            epoch: self.epoch,
            members: chosen.into_iter().map(member).collect(),
        }
    }

    fn is_new_az(&self, candidate: usize, chosen: &[usize]) -> bool {
        let az = |i: usize| self.candidates[i].az;
        chosen.iter().all(|c| az(*c) != az(candidate))
    }
}

/// Returns the candidate of each entry. AZs are distinguished by region and name,
/// since regions may use the same AZ names.
fn candidates(entries: &[RosterEntry]) -> Vec<Candidate> {
    let mut regions = HashMap::new();
    let mut zones = HashMap::new();
    let mut candidate = |entry: &RosterEntry| {
        let count = regions.len();
        let region = *regions.entry(entry.region.clone()).or_insert(count);
        let count = zones.len();
        let az = *zones.entry((region, entry.az.clone())).or_insert(count);
        let name_hash = xxh3_64_with_seed(entry.member.entry.as_bytes(), 0);
        Candidate {
            name_hash,
            region,
            az,
        }
    };
    entries.iter().map(&mut candidate).collect()
}

/// The homes of a bucket in one epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeSet {
    /// The epoch of the roster.
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

    /// Returns how many homes must vote for an attempt. Without homes it is one, so
    /// that no attempt can win.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns how many homes a new home must read from: one of two, two of three.
    /// They include a home with the vote for each winner, and without them the
    /// others are no quorum. At least one home must answer, also if none is known.
    #[must_use]
    pub fn read_quorum(&self) -> usize {
        self.members.len().div_ceil(2).max(1)
    }
}
