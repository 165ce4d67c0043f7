//! The table of client blocks.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError, RwLock},
};

use super::shard::{Entry, Shard, width};
use crate::domain::{Prefix, SiteId, Size};

/// How many leading bits of an IPv4 address select a shard. With 4,096 shards,
/// 1.3 million blocks make about 320 to a shard, so a change copies a few
/// kilobytes.
const V4_BITS: u8 = 12;

/// How many leading bits of an IPv6 address select a shard. The addresses in use
/// share few leading bits: 12 bits put 390,000 blocks into 4 shards, and a delta
/// of 100 changes took 8 ms.
const V6_BITS: u8 = 16;

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
/// reader sees each address before or after a change and never in between. Shards
/// that hold nothing else share one array. The price is a copy of such a block in
/// each shard with other blocks; blocks of these lengths are few.
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
            v4: Family::new(V4_BITS),
            v6: Family::new(V6_BITS),
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
    bits: u8,
    shards: Vec<Slot<K>>,
}

type Slot<K> = RwLock<Arc<Shard<K>>>;

/// A shard, its changes and the result.
type Applied<K> = (Arc<Shard<K>>, Vec<Edit<K>>, Arc<Shard<K>>);

/// A change of a block, with its first address and length.
type Edit<K> = Entry<K, Option<SiteId>>;

impl<K: Copy + Into<u128> + Ord> Family<K> {
    fn new(bits: u8) -> Self {
        let empty = Arc::new(Shard::build(&[]));
        let shards = (0..1 << bits).map(|_| RwLock::new(Arc::clone(&empty)));
        Self {
            bits,
            shards: shards.collect(),
        }
    }

    fn find(&self, addr: K) -> Option<SiteId> {
        read(&self.shards[self.index(addr)]).find(addr)
    }

    fn apply(&self, changes: impl Iterator<Item = Edit<K>>) {
        let (wide, narrow): (Vec<_>, Vec<_>) = order(changes.collect())
            .into_iter()
            .partition(|c| c.1 < self.bits);
        if wide.is_empty() {
            for own in narrow.chunk_by(|a, b| self.index(a.0) == self.index(b.0)) {
                let slot = &self.shards[self.index(own[0].0)];
                replace(slot, Arc::new(read(slot).edit(own)));
            }
        } else {
            self.apply_wide(&wide, &narrow);
        }
    }

    /// Applies changes of which some concern many shards. Neighbours that shared
    /// an array and get the same changes share the new one.
    fn apply_wide(&self, wide: &[Edit<K>], mut narrow: &[Edit<K>]) {
        let mut last: Option<Applied<K>> = None;
        for (at, slot) in self.shards.iter().enumerate() {
            let own = narrow.partition_point(|c| self.index(c.0) == at);
            let mut changes: Vec<_> = wide.iter().copied().filter(|c| self.spans(c, at)).collect();
            changes.extend_from_slice(&narrow[..own]);
            narrow = &narrow[own..];
            if changes.is_empty() {
                continue;
            }
            let old = read(slot);
            let same = last
                .take()
                .filter(|l| Arc::ptr_eq(&l.0, &old) && l.1 == changes);
            let (old, changes, new) = same.unwrap_or_else(|| {
                let new = Arc::new(old.edit(&changes));
                (old, changes, new)
            });
            replace(slot, Arc::clone(&new));
            last = Some((old, changes, new));
        }
    }

    fn len(&self) -> usize {
        let shards = self.shards.iter().enumerate();
        let own = |(at, slot): (usize, &Slot<K>)| {
            let shard = read(slot);
            shard.blocks().filter(|b| self.index(b.0) == at).count()
        };
        shards.map(own).sum()
    }

    fn bytes(&self) -> usize {
        let slots = self.shards.capacity() * size_of::<Slot<K>>();
        let shards = self.shards.iter().map(read);
        let shards: BTreeMap<_, _> = shards.map(|s| (Arc::as_ptr(&s), s.bytes())).collect();
        // Each `Arc` has two counters beside its value.
        slots
            + shards
                .values()
                .map(|b| b + 2 * size_of::<usize>())
                .sum::<usize>()
    }

    /// Returns the shard of an address.
    fn index(&self, addr: K) -> usize {
        let leading = addr.into() >> (width::<K>() - self.bits);
        usize::try_from(leading).unwrap_or_default()
    }

    /// Returns whether a block that is shorter than the leading bits covers a
    /// shard.
    fn spans(&self, change: &Edit<K>, shard: usize) -> bool {
        let shift = self.bits - change.1;
        self.index(change.0) >> shift == shard >> shift
    }
}

/// Sorts changes and keeps the last one of each block.
fn order<K: Copy + Ord>(mut changes: Vec<Edit<K>>) -> Vec<Edit<K>> {
    changes.reverse();
    changes.sort_by_key(|c| (c.0, c.1));
    changes.dedup_by_key(|c| (c.0, c.1));
    changes
}

fn read<K>(slot: &Slot<K>) -> Arc<Shard<K>> {
    Arc::clone(&slot.read().unwrap_or_else(PoisonError::into_inner))
}

fn replace<K>(slot: &Slot<K>, mut shard: Arc<Shard<K>>) {
    // The old array is freed after the lock, so that readers do not wait for it.
    std::mem::swap(
        &mut *slot.write().unwrap_or_else(PoisonError::into_inner),
        &mut shard,
    );
}
