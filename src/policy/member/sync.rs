//! Anti-entropy: comparison of the views of two entries.
//!
//! The requester sends one hash per bucket of members; the responder returns
//! its records in the buckets that differ. Both sides omit dead members: after
//! a partition, each side considers the other dead, and an exchange of those
//! records would mark the whole fleet as dead at once.

use xxhash_rust::xxh3::xxh3_64;

use super::record::Member;
use crate::domain::EntryId;

/// The maximum number of buckets, which limits a digest to 1 KB.
const BUCKETS_MAX: usize = 256;

/// The target number of members per bucket. A bucket of eight records is
/// smaller than the digest itself.
const MEMBERS_PER_BUCKET: usize = 8;

/// The maximum size of the records in one reply. It is well below the message
/// limit of 256 KB, because a large reply delays other messages on the link.
const REPLY_BYTES_MAX: usize = 64 * 1024;

/// One hash per bucket of the members that are not dead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewDigest(Vec<u32>);

impl ViewDigest {
    /// Returns the digest of `members`, with a number of buckets that depends
    /// on their count.
    pub(super) fn of<'a>(members: impl Iterator<Item = &'a Member> + Clone) -> Self {
        let wanted = members.clone().count() / MEMBERS_PER_BUCKET;
        let buckets = wanted.next_power_of_two().min(BUCKETS_MAX);
        Self::with_buckets(buckets, members)
    }

    /// Returns the digest that a message carries, or `None` if the number of
    /// hashes is invalid.
    #[must_use]
    pub fn from_hashes(hashes: Vec<u32>) -> Option<Self> {
        let allowed = (1..=BUCKETS_MAX).contains(&hashes.len());
        allowed.then_some(Self(hashes))
    }

    /// Returns the hashes, one per bucket.
    #[must_use]
    pub fn hashes(&self) -> &[u32] {
        &self.0
    }

    /// Returns the records in the buckets that differ, and whether some were
    /// omitted because of the size limit. The first record depends on `local`,
    /// so that the replies of several peers together contain all records.
    pub(super) fn differing<'a>(
        &self,
        local: &EntryId,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> (Vec<Member>, bool) {
        let own = Self::with_buckets(self.0.len(), members.clone());
        let differs = |m: &&Member| {
            let index = bucket_index(&m.id, self.0.len());
            own.0.get(index) != self.0.get(index)
        };
        let mut differing: Vec<&Member> = members.filter(differs).collect();
        let start = bucket_index(local, differing.len());
        differing.rotate_left(start);
        let mut used = 0;
        let fits = |m: &&&Member| {
            used += m.size_bound();
            used <= REPLY_BYTES_MAX
        };
        let records: Vec<Member> = differing
            .iter()
            .take_while(fits)
            .map(|m| (*m).clone())
            .collect();
        let more = records.len() < differing.len();
        (records, more)
    }

    fn with_buckets<'a>(buckets: usize, members: impl Iterator<Item = &'a Member>) -> Self {
        let mut hashes = vec![0; buckets];
        for member in members {
            if let Some(hash) = hashes.get_mut(bucket_index(&member.id, buckets)) {
                *hash ^= record_hash(member);
            }
        }
        Self(hashes)
    }
}

fn bucket_index(id: &EntryId, buckets: usize) -> usize {
    let buckets = u64::try_from(buckets.max(1)).unwrap_or(1);
    usize::try_from(xxh3_64(id.as_bytes()) % buckets).unwrap_or_default()
}

fn record_hash(member: &Member) -> u32 {
    let mut bytes = member.id.as_bytes().to_vec();
    bytes.extend(member.incarnation.0.to_le_bytes());
    bytes.extend(member.version.0.to_le_bytes());
    u32::try_from(xxh3_64(&bytes) >> 32).unwrap_or_default()
}
