//! The table of client blocks.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError, RwLock},
};

use super::shard::{Entry, Shard, width};
use crate::domain::{Prefix, SiteId, Size};

/// How many leading bits select a shard. With 4,096 shards, 1.3 million IPv4
/// blocks make about 320 to a shard, so a change copies a few kilobytes.
const SHARD_BITS: u8 = 12;

/// A change of one client block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The block.
    pub prefix: Prefix,
    /// Its site, or none to remove the block.
    pub site: Option<SiteId>,
}

/// Maps client blocks to sites by longest match.
///
/// The leading bits of an address select a shard, an immutable sorted array. A
/// change builds a new array and replaces the shard as a whole, and readers
/// finish on the old one. A block that is shorter than the leading bits stands
/// in each shard that it covers, so one address depends on one shard only and a
/// reader sees each address before or after a change and never in between. The
/// price is up to 4,096 copies of such a block; blocks of these lengths are few.
#[derive(Debug)]
pub struct BlockTable {
    v4: Family<u32>,
    v6: Family<u128>,
    /// Held while a change is applied. Two changes that read the same shard
    /// would otherwise lose one of the two.
    writer: Mutex<()>,
}

impl BlockTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            v4: Family::new(),
            v6: Family::new(),
            writer: Mutex::new(()),
        }
    }

    /// Returns the site of the longest block that holds `addr`.
    #[must_use]
    pub fn find(&self, addr: IpAddr) -> Option<SiteId> {
        match addr.to_canonical() {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.find(v6.to_bits()),
        }
    }

    /// Applies changes, shard by shard. Of several changes of one block, the
    /// last one counts. The first load is the same operation.
    pub fn apply(&self, changes: &[Change]) {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        self.v4
            .apply(changes.iter().filter_map(|c| match c.prefix.addr() {
                IpAddr::V4(a) => Some((a.to_bits(), c.prefix.bits(), c.site)),
                IpAddr::V6(_) => None,
            }));
        self.v6
            .apply(changes.iter().filter_map(|c| match c.prefix.addr() {
                IpAddr::V4(_) => None,
                IpAddr::V6(a) => Some((a.to_bits(), c.prefix.bits(), c.site)),
            }));
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether there is no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the table takes.
    #[must_use]
    pub fn size(&self) -> Size {
        Size((size_of::<Self>() + self.v4.bytes() + self.v6.bytes()) as u64)
    }
}

impl Default for BlockTable {
    fn default() -> Self {
        Self::new()
    }
}

/// The shards of one address family.
#[derive(Debug)]
struct Family<K> {
    shards: Vec<RwLock<Arc<Shard<K>>>>,
}

impl<K: Copy + Into<u128> + Ord> Family<K> {
    fn new() -> Self {
        let empty = Arc::new(Shard::build(&[]));
        let shards = (0..1 << SHARD_BITS).map(|_| RwLock::new(Arc::clone(&empty)));
        Self {
            shards: shards.collect(),
        }
    }

    fn find(&self, addr: K) -> Option<SiteId> {
        read(&self.shards[index(addr)]).find(addr)
    }

    fn apply(&self, changes: impl Iterator<Item = Entry<K, Option<SiteId>>>) {
        let changes = order(changes.collect());
        let (wide, narrow): (Vec<_>, Vec<_>) = changes.into_iter().partition(|c| c.1 < SHARD_BITS);
        let mut rest = narrow.as_slice();
        for (at, slot) in self.shards.iter().enumerate() {
            let (own, tail) = rest.split_at(rest.partition_point(|c| index(c.0) == at));
            rest = tail;
            let mut changes: Vec<_> = wide.iter().copied().filter(|c| spans(c, at)).collect();
            changes.extend(own);
            if !changes.is_empty() {
                replace(slot, &changes);
            }
        }
    }

    fn len(&self) -> usize {
        let shards = self.shards.iter().enumerate();
        let own = |(at, slot): (usize, &RwLock<Arc<Shard<K>>>)| {
            let shard = read(slot);
            shard.blocks().filter(|b| index(b.0) == at).count()
        };
        shards.map(own).sum()
    }

    fn bytes(&self) -> usize {
        let slots = self.shards.capacity() * size_of::<RwLock<Arc<Shard<K>>>>();
        let shards = self.shards.iter().map(read).filter(|s| !s.is_empty());
        // Each `Arc` has two counters beside its value.
        slots
            + shards
                .map(|s| s.bytes() + 2 * size_of::<usize>())
                .sum::<usize>()
    }
}

/// Returns the shard of an address.
fn index<K: Copy + Into<u128>>(addr: K) -> usize {
    let leading = addr.into() >> (width::<K>() - SHARD_BITS);
    usize::try_from(leading).unwrap_or_default()
}

/// Returns whether a block that is shorter than the leading bits covers a shard.
fn spans<K: Copy + Into<u128>>(change: &Entry<K, Option<SiteId>>, shard: usize) -> bool {
    let shift = SHARD_BITS - change.1;
    index(change.0) >> shift == shard >> shift
}

/// Sorts changes and keeps the last one of each block.
fn order<K: Copy + Ord>(
    mut changes: Vec<Entry<K, Option<SiteId>>>,
) -> Vec<Entry<K, Option<SiteId>>> {
    changes.reverse();
    changes.sort_by_key(|c| (c.0, c.1));
    changes.dedup_by_key(|c| (c.0, c.1));
    changes
}

fn read<K>(slot: &RwLock<Arc<Shard<K>>>) -> Arc<Shard<K>> {
    Arc::clone(&slot.read().unwrap_or_else(PoisonError::into_inner))
}

fn replace<K: Copy + Into<u128> + Ord>(
    slot: &RwLock<Arc<Shard<K>>>,
    changes: &[Entry<K, Option<SiteId>>],
) {
    let mut shard = Arc::new(read(slot).edit(changes));
    // The old array is freed after the lock, so that readers do not wait for it.
    std::mem::swap(
        &mut *slot.write().unwrap_or_else(PoisonError::into_inner),
        &mut shard,
    );
}
