//! Hashes over the adopted revisions, which find the differences between two
//! entries.

use std::{collections::BTreeMap, fmt, str::FromStr};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain::{ParseError, Revision, ServiceName};

/// The number of buckets. With 1,900 services a bucket holds about 30, whose
/// revisions fit in one packet, as do the 64 hashes.
const BUCKET_COUNT: usize = 64;

/// The maximum size of the revisions in one reply. An entry that joins receives
/// the revisions of all services; those of 1,900 services fit.
const REPLY_BYTES_MAX: usize = 128 * 1024;

/// The maximum size of an encoded announcement without the name of its service:
/// three tags, two lengths and a number.
const OVERHEAD_BYTES: usize = 16;

/// A service and a revision of its document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Announcement {
    /// The name of the service.
    pub service: ServiceName,
    /// The revision of its document.
    pub revision: Revision,
}

impl Announcement {
    /// Returns an upper bound on the encoded size in bytes.
    fn size_bound(&self) -> usize {
        OVERHEAD_BYTES + self.service.as_bytes().len()
    }
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.service, self.revision)
    }
}

/// A hash over all adopted revisions. Entries with the same hash have adopted
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

/// One hash per bucket of services. The hashes are truncated to 32 bits, since
/// a collision hides a difference only until the next change in the bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary(Vec<u32>);

impl Summary {
    /// Returns the summary that a message carries, or `None` if the number of
    /// hashes is wrong.
    #[must_use]
    pub fn from_hashes(hashes: Vec<u32>) -> Option<Self> {
        (hashes.len() == BUCKET_COUNT).then_some(Self(hashes))
    }

    /// Returns the hashes, one per bucket.
    #[must_use]
    pub fn hashes(&self) -> &[u32] {
        &self.0
    }
}

/// The adopted revisions and the hashes over them. Each adoption updates the
/// hashes, so that a probe need not recompute them.
#[derive(Clone, Debug)]
pub(super) struct Index {
    revisions: BTreeMap<ServiceName, Revision>,
    buckets: Vec<u64>,
}

impl Index {
    pub(super) fn new() -> Self {
        Self {
            revisions: BTreeMap::new(),
            buckets: vec![0; BUCKET_COUNT],
        }
    }

    /// Records an adopted revision and returns `true`, unless the same or a
    /// newer revision of the service is already recorded.
    pub(super) fn adopt(&mut self, service: &ServiceName, revision: Revision) -> bool {
        let previous = self.revisions.get(service).copied();
        if previous.is_some_and(|r| r >= revision) {
            return false;
        }
        if let Some(previous) = previous {
            self.toggle(service, previous);
        }
        self.toggle(service, revision);
        self.revisions.insert(service.clone(), revision);
        true
    }

    /// Returns the adopted revision of a service, or zero if there is none.
    pub(super) fn revision(&self, service: &ServiceName) -> Revision {
        self.revisions.get(service).copied().unwrap_or_default()
    }

    pub(super) fn root(&self) -> RootHash {
        RootHash(self.buckets.iter().fold(0, |sum, h| sum ^ h))
    }

    pub(super) fn summary(&self) -> Summary {
        let upper_half = |h: &u64| u32::try_from(h >> 32).unwrap_or_default();
        Summary(self.buckets.iter().map(upper_half).collect())
    }

    /// Returns the revisions in the buckets that differ from `remote`, in whole
    /// buckets up to the size limit. The first bucket is random, so that
    /// buckets whose difference persists do not exclude the ones after them
    /// forever.
    pub(super) fn differing(&self, remote: &Summary, rng: &mut impl Rng) -> Vec<Announcement> {
        let local = self.summary();
        let start = rng.random_range(0..BUCKET_COUNT);
        let mut by_bucket: BTreeMap<usize, Vec<Announcement>> = BTreeMap::new();
        for (service, revision) in &self.revisions {
            let index = bucket_index(service);
            if local.0.get(index) != remote.0.get(index) {
                let offset = (index + BUCKET_COUNT - start) % BUCKET_COUNT;
                by_bucket.entry(offset).or_default().push(Announcement {
                    service: service.clone(),
                    revision: *revision,
                });
            }
        }
        let mut selected = Vec::new();
        let mut used = 0;
        for announcements in by_bucket.into_values() {
            used += announcements
                .iter()
                .map(Announcement::size_bound)
                .sum::<usize>();
            if used > REPLY_BYTES_MAX && !selected.is_empty() {
                break;
            }
            selected.extend(announcements);
        }
        selected
    }

    /// Adds one revision to the hash of its bucket or removes it; both are the
    /// same XOR.
    fn toggle(&mut self, service: &ServiceName, revision: Revision) {
        if let Some(hash) = self.buckets.get_mut(bucket_index(service)) {
            *hash ^= revision_hash(service, revision);
        }
    }
}

fn bucket_index(service: &ServiceName) -> usize {
    let buckets = u64::try_from(BUCKET_COUNT).unwrap_or(1);
    usize::try_from(xxh3_64(service.as_bytes()) % buckets).unwrap_or_default()
}

fn revision_hash(service: &ServiceName, revision: Revision) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    bytes.extend(revision.0.to_le_bytes());
    xxh3_64(&bytes)
}
