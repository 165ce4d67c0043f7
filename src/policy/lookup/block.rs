//! The table that maps client blocks to sites.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, RwLock},
};

use super::shard::{Block, Shard, width};
use crate::domain::{Prefix, SiteId, Size, lock, read, write};

/// The number of leading bits of an IPv4 address that select a shard. With
/// 4,096 shards, 1.3 million blocks are about 320 per shard, so a change copies
/// a few kilobytes.
const V4_INDEX_BITS: u8 = 12;

/// The number of leading bits of an IPv6 address that select a shard. The
/// leading bits of the addresses in use have few distinct values: 12 bits put
/// 390,000 blocks into 4 shards, and a delta of 100 changes took 8 ms.
const V6_INDEX_BITS: u8 = 16;

/// A change of one client block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockChange {
    /// The block.
    pub prefix: Prefix,
    /// The site of the block, or none to remove the block.
    pub site: Option<SiteId>,
}

/// Maps client blocks to sites by longest prefix match.
///
/// The leading bits of an address select a shard, an immutable sorted array. A
/// change builds a new array and replaces the shard as a whole, while readers
/// finish on the old one. A block whose prefix is shorter than the leading bits
/// is stored in each shard that it covers. So the result for an address depends
/// on a single shard, and a reader sees it as it was before or after a change
/// but never in between. Covered shards without other blocks share one array.
/// In exchange the block is copied to each covered shard that has other blocks;
/// there are few blocks with such short prefixes.
#[derive(Debug)]
pub struct BlockTable {
    v4: AddressFamily<u32>,
    v6: AddressFamily<u128>,
    /// Held while changes are applied. Otherwise two writers could read the
    /// same shard, and one of their changes would be lost.
    writer: Mutex<()>,
}

impl BlockTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            v4: AddressFamily::new(V4_INDEX_BITS),
            v6: AddressFamily::new(V6_INDEX_BITS),
            writer: Mutex::new(()),
        }
    }

    /// Returns the site of the block with the longest prefix that contains
    /// `addr`.
    #[must_use]
    pub fn find(&self, addr: IpAddr) -> Option<SiteId> {
        match addr.to_canonical() {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.find(v6.to_bits()),
        }
    }

    /// Applies changes, shard by shard. If several changes concern the same
    /// block, the last one takes effect. The initial load uses this method too.
    pub fn apply(&self, changes: &[BlockChange]) {
        let _writer = lock(&self.writer);
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

    /// Returns the memory that the table occupies.
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
struct AddressFamily<K> {
    /// The number of leading bits of an address that select a shard.
    index_bits: u8,
    shards: Vec<ShardCell<K>>,
}

type ShardCell<K> = RwLock<Arc<Shard<K>>>;

/// A shard, the edits that were applied to it, and the resulting shard.
type AppliedEdits<K> = (Arc<Shard<K>>, Vec<Edit<K>>, Arc<Shard<K>>);

/// A change of a block, with the block's first address and prefix length.
type Edit<K> = Block<K, Option<SiteId>>;

impl<K: Copy + Into<u128> + Ord> AddressFamily<K> {
    fn new(index_bits: u8) -> Self {
        let empty = Arc::new(Shard::build(&[]));
        let shards = (0..1 << index_bits).map(|_| RwLock::new(Arc::clone(&empty)));
        Self {
            index_bits,
            shards: shards.collect(),
        }
    }

    fn find(&self, addr: K) -> Option<SiteId> {
        read(&self.shards[self.index(addr)]).find(addr)
    }

    fn apply(&self, edits: impl Iterator<Item = Edit<K>>) {
        let (wide, narrow): (Vec<_>, Vec<_>) = sort_and_dedup(edits.collect())
            .into_iter()
            .partition(|e| e.1 < self.index_bits);
        if wide.is_empty() {
            for edits in narrow.chunk_by(|a, b| self.index(a.0) == self.index(b.0)) {
                let cell = &self.shards[self.index(edits[0].0)];
                replace(cell, Arc::new(read(cell).edit(edits)));
            }
        } else {
            self.apply_wide(&wide, &narrow);
        }
    }

    /// Applies edits of which the `wide` ones cover several shards. Adjacent
    /// shards that shared an array and get the same edits share the new one.
    fn apply_wide(&self, wide: &[Edit<K>], mut narrow: &[Edit<K>]) {
        let mut last: Option<AppliedEdits<K>> = None;
        for (at, cell) in self.shards.iter().enumerate() {
            let count = narrow.partition_point(|e| self.index(e.0) == at);
            let mut edits: Vec<_> = wide
                .iter()
                .copied()
                .filter(|e| self.covers(e, at))
                .collect();
            edits.extend_from_slice(&narrow[..count]);
            narrow = &narrow[count..];
            if edits.is_empty() {
                continue;
            }
            let old = read(cell);
            let same = last
                .take()
                .filter(|l| Arc::ptr_eq(&l.0, &old) && l.1 == edits);
            let (old, edits, new) = same.unwrap_or_else(|| {
                let new = Arc::new(old.edit(&edits));
                (old, edits, new)
            });
            replace(cell, Arc::clone(&new));
            last = Some((old, edits, new));
        }
    }

    /// Returns the number of blocks. A block that is stored in several shards
    /// is counted in the first one.
    fn len(&self) -> usize {
        let shards = self.shards.iter().enumerate();
        let starting = |(at, cell): (usize, &ShardCell<K>)| {
            let shard = read(cell);
            shard.blocks().filter(|b| self.index(b.0) == at).count()
        };
        shards.map(starting).sum()
    }

    fn bytes(&self) -> usize {
        let cells = self.shards.capacity() * size_of::<ShardCell<K>>();
        let shards = self.shards.iter().map(read);
        let shards: BTreeMap<_, _> = shards.map(|s| (Arc::as_ptr(&s), s.bytes())).collect();
        // An `Arc` allocates two counters beside its value.
        cells
            + shards
                .values()
                .map(|b| b + 2 * size_of::<usize>())
                .sum::<usize>()
    }

    /// Returns the index of the shard of an address.
    fn index(&self, addr: K) -> usize {
        let leading = addr.into() >> (width::<K>() - self.index_bits);
        usize::try_from(leading).unwrap_or_default()
    }

    /// Returns whether the block of an edit, whose prefix is shorter than the
    /// leading bits, covers a shard.
    fn covers(&self, edit: &Edit<K>, shard: usize) -> bool {
        let shift = self.index_bits - edit.1;
        self.index(edit.0) >> shift == shard >> shift
    }
}

/// Sorts edits by block and keeps the last one of each block.
fn sort_and_dedup<K: Copy + Ord>(mut edits: Vec<Edit<K>>) -> Vec<Edit<K>> {
    edits.reverse();
    edits.sort_by_key(|e| (e.0, e.1));
    edits.dedup_by_key(|e| (e.0, e.1));
    edits
}

fn replace<K>(cell: &ShardCell<K>, mut shard: Arc<Shard<K>>) {
    // The old array is freed after the lock is released, so that readers do not
    // wait for that.
    std::mem::swap(&mut *write(cell), &mut shard);
}
