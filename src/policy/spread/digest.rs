//! Hashes of the adopted revisions.

use std::{collections::BTreeMap, fmt, str::FromStr};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain::{ParseError, Revision, ServiceName};

/// The number of buckets. At 1,900 services a bucket holds 30, whose revisions
/// fit one packet, as do the 64 hashes.
const BUCKETS: usize = 64;

/// The most bytes of revisions in one reply. All 1,900 services fit, which is
/// what an entry that joins receives.
const REPLY_BYTES: usize = 128 * 1024;

/// What an encoded announcement takes beyond its name: three tags, two lengths
/// and a number.
const OVERHEAD: usize = 16;

/// A service and a revision of its document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Announcement {
    /// The service.
    pub service: ServiceName,
    /// The revision.
    pub revision: Revision,
}

impl Announcement {
    /// Returns an upper bound of the encoded size in bytes.
    fn size(&self) -> usize {
        OVERHEAD + self.service.as_bytes().len()
    }
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.service, self.revision)
    }
}

/// A hash of all adopted revisions. Two entries with the same hash have adopted
/// the same revisions.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RootHash(pub u64);

impl FromStr for RootHash {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let hash = u64::from_str_radix(s, 16).map(Self);
        hash.map_err(|_| ParseError::new("root hash", s, "up to 16 hexadecimal digits"))
    }
}

impl fmt::Display for RootHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A hash per bucket of services. These are cut to 32 bits: a collision hides a
/// difference only until the next change in the bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary(Vec<u32>);

impl Summary {
    /// Returns a summary read from a message, or none if its length is wrong.
    #[must_use]
    pub fn from_hashes(hashes: Vec<u32>) -> Option<Self> {
        (hashes.len() == BUCKETS).then_some(Self(hashes))
    }

    /// Returns the hashes, one per bucket.
    #[must_use]
    pub fn hashes(&self) -> &[u32] {
        &self.0
    }
}

/// The adopted revisions with their hashes, which are kept up to date with each
/// adoption so that a probe costs nothing.
#[derive(Clone, Debug)]
pub(super) struct Index {
    revisions: BTreeMap<ServiceName, Revision>,
    buckets: Vec<u64>,
}

impl Index {
    pub(super) fn new() -> Self {
        Self {
            revisions: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
        }
    }

    /// Notes an adopted revision. Returns whether it is newer than the one
    /// before; otherwise nothing changes.
    pub(super) fn adopt(&mut self, service: &ServiceName, revision: Revision) -> bool {
        let former = self.revisions.get(service).copied();
        if former.is_some_and(|r| r >= revision) {
            return false;
        }
        if let Some(former) = former {
            self.toggle(service, former);
        }
        self.toggle(service, revision);
        self.revisions.insert(service.clone(), revision);
        true
    }

    /// Returns the adopted revision, zero if there is none.
    pub(super) fn revision(&self, service: &ServiceName) -> Revision {
        self.revisions.get(service).copied().unwrap_or_default()
    }

    pub(super) fn root(&self) -> RootHash {
        RootHash(self.buckets.iter().fold(0, |sum, h| sum ^ h))
    }

    pub(super) fn summary(&self) -> Summary {
        let cut = |h: &u64| u32::try_from(h >> 32).unwrap_or_default();
        Summary(self.buckets.iter().map(cut).collect())
    }

    /// Returns the revisions in the buckets that differ from `theirs`, in whole
    /// buckets up to the size limit. The first bucket is random, so buckets whose
    /// difference persists cannot hide the ones after them for good.
    pub(super) fn differing(&self, theirs: &Summary, rng: &mut impl Rng) -> Vec<Announcement> {
        let mine = self.summary();
        let start = rng.random_range(0..BUCKETS);
        let mut by_bucket: BTreeMap<usize, Vec<Announcement>> = BTreeMap::new();
        for (service, revision) in &self.revisions {
            let at = bucket(service);
            if mine.0.get(at) != theirs.0.get(at) {
                let turn = (at + BUCKETS - start) % BUCKETS;
                by_bucket.entry(turn).or_default().push(Announcement {
                    service: service.clone(),
                    revision: *revision,
                });
            }
        }
        let mut list = Vec::new();
        let mut used = 0;
        for rows in by_bucket.into_values() {
            used += rows.iter().map(Announcement::size).sum::<usize>();
            if used > REPLY_BYTES && !list.is_empty() {
                break;
            }
            list.extend(rows);
        }
        list
    }

    /// Adds or removes one revision, which is the same operation.
    fn toggle(&mut self, service: &ServiceName, revision: Revision) {
        if let Some(hash) = self.buckets.get_mut(bucket(service)) {
            *hash ^= pair_hash(service, revision);
        }
    }
}

fn bucket(service: &ServiceName) -> usize {
    let buckets = u64::try_from(BUCKETS).unwrap_or(1);
    usize::try_from(xxh3_64(service.as_bytes()) % buckets).unwrap_or_default()
}

fn pair_hash(service: &ServiceName, revision: Revision) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    bytes.extend(revision.0.to_le_bytes());
    xxh3_64(&bytes)
}
