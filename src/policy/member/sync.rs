//! Comparison of two views of the membership.
//!
//! The asking side sends a hash per bucket of members; the other side returns
//! the records in buckets that differ. Dead members are left out on both sides:
//! after a partition, each side holds the other as dead, and an exchange of
//! those records would mark the whole fleet as dead at once.

use xxhash_rust::xxh3::xxh3_64;

use super::record::Member;
use crate::domain::EntryId;

/// The most buckets, which bounds a digest to 1 KB.
const BUCKETS_MAX: usize = 256;

/// The expected number of members per bucket. A bucket of eight records is
/// smaller than the digest itself.
const BUCKET_MEMBERS: usize = 8;

/// The most bytes of records in one reply. It leaves most of the 256 KB message
/// limit unused, because a reply also delays others on the same link.
const REPLY_BYTES: usize = 64 * 1024;

/// A hash per bucket of the members that are not dead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewDigest(Vec<u32>);

impl ViewDigest {
    /// Returns the digest of `members` with a number of buckets that suits
    /// their count.
    pub(super) fn of<'a>(members: impl Iterator<Item = &'a Member> + Clone) -> Self {
        let wanted = members.clone().count() / BUCKET_MEMBERS;
        let buckets = wanted.next_power_of_two().min(BUCKETS_MAX);
        Self::with_buckets(buckets, members)
    }

    /// Returns a digest read from a message, or none if its length is not
    /// allowed.
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

    /// Returns the records in differing buckets, and whether some were left
    /// out because of the size limit. The first record depends on `me`, so that
    /// replies of several peers together hold all of them.
    pub(super) fn differing<'a>(
        &self,
        me: &EntryId,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> (Vec<Member>, bool) {
        let mine = Self::with_buckets(self.0.len(), members.clone());
        let differs = |m: &&Member| {
            let at = bucket(&m.id, self.0.len());
            mine.0.get(at) != self.0.get(at)
        };
        let mut differing: Vec<&Member> = members.filter(differs).collect();
        let start = bucket(me, differing.len());
        differing.rotate_left(start);
        let mut used = 0;
        let fits = |m: &&&Member| {
            used += m.size();
            used <= REPLY_BYTES
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
            if let Some(hash) = hashes.get_mut(bucket(&member.id, buckets)) {
                *hash ^= record_hash(member);
            }
        }
        Self(hashes)
    }
}

fn bucket(id: &EntryId, buckets: usize) -> usize {
    let buckets = u64::try_from(buckets.max(1)).unwrap_or(1);
    usize::try_from(xxh3_64(id.as_bytes()) % buckets).unwrap_or_default()
}

fn record_hash(member: &Member) -> u32 {
    let mut bytes = member.id.as_bytes().to_vec();
    bytes.extend(member.incarnation.0.to_le_bytes());
    bytes.extend(member.version.0.to_le_bytes());
    u32::try_from(xxh3_64(&bytes) >> 32).unwrap_or_default()
}
