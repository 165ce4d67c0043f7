//! One immutable part of the block table.
//!
//! Blocks are sorted by first address, then by length, so that a block stands
//! behind every block that encloses it. Each one knows its nearest enclosing
//! block. The longest match of an address is then the last block that starts at
//! or before it, or one of that block's enclosing blocks: a binary search and at
//! most as many steps as the address has bits. A trie would be faster to change
//! but takes several times the memory, and a table of disjoint ranges could not
//! take back a block without the blocks it had covered.

use crate::domain::SiteId;

/// Marks a block that no other one encloses.
const NO_PARENT: u32 = u32::MAX;

/// A block with its first address and length.
pub(super) type Entry<K, S> = (K, u8, S);

/// Blocks of one address family that share their leading bits. The columns are
/// separate arrays, so that the binary search touches only the addresses.
#[derive(Debug)]
pub(super) struct Shard<K> {
    starts: Box<[K]>,
    parents: Box<[u32]>,
    sites: Box<[SiteId]>,
    lens: Box<[u8]>,
}

impl<K: Copy + Into<u128> + Ord> Shard<K> {
    /// Builds a shard from blocks in ascending order without duplicates.
    pub(super) fn build(blocks: &[Entry<K, SiteId>]) -> Self {
        Self {
            starts: blocks.iter().map(|b| b.0).collect(),
            parents: parents(blocks),
            sites: blocks.iter().map(|b| b.2).collect(),
            lens: blocks.iter().map(|b| b.1).collect(),
        }
    }

    /// Returns the site of the longest block that holds `addr`.
    pub(super) fn find(&self, addr: K) -> Option<SiteId> {
        let mut at = self.starts.partition_point(|s| *s <= addr).checked_sub(1)?;
        while !covers(self.starts[at], self.lens[at], addr) {
            let parent = self.parents[at];
            if parent == NO_PARENT {
                return None;
            }
            at = parent as usize;
        }
        Some(self.sites[at])
    }

    /// Returns a shard with the changes, which are in ascending order without
    /// duplicates. A change without a site removes the block.
    pub(super) fn edit(&self, changes: &[Entry<K, Option<SiteId>>]) -> Self {
        let mut blocks = Vec::with_capacity(self.starts.len() + changes.len());
        let mut old = self.blocks().peekable();
        for &(start, len, site) in changes {
            let key = (start, len);
            while let Some(block) = old.next_if(|b| (b.0, b.1) < key) {
                blocks.push(block);
            }
            old.next_if(|b| (b.0, b.1) == key);
            blocks.extend(site.map(|s| (start, len, s)));
        }
        blocks.extend(old);
        Self::build(&blocks)
    }

    /// Returns the blocks in ascending order.
    pub(super) fn blocks(&self) -> impl Iterator<Item = Entry<K, SiteId>> {
        let keys = self.starts.iter().zip(&self.lens);
        keys.zip(&self.sites).map(|((k, l), s)| (*k, *l, *s))
    }

    /// Returns the bytes that the shard has allocated, itself included.
    pub(super) fn bytes(&self) -> usize {
        size_of::<Self>()
            + size_of_val(&*self.starts)
            + size_of_val(&*self.parents)
            + size_of_val(&*self.sites)
            + size_of_val(&*self.lens)
    }
}

/// Returns the number of bits of an address.
#[allow(clippy::cast_possible_truncation)] // A key has at most 16 bytes.
pub(super) fn width<K>() -> u8 {
    size_of::<K>() as u8 * 8
}

/// Returns whether the block of `len` bits from `start` holds `addr`.
fn covers<K: Copy + Into<u128>>(start: K, len: u8, addr: K) -> bool {
    let differ: u128 = start.into() ^ addr.into();
    // A block of length 0 shifts all bits out, which a plain shift rejects.
    differ
        .checked_shr(u32::from(width::<K>() - len))
        .unwrap_or(0)
        == 0
}

fn parents<K: Copy + Into<u128>>(blocks: &[Entry<K, SiteId>]) -> Box<[u32]> {
    let mut open: Vec<u32> = Vec::new();
    let mut parents = Vec::with_capacity(blocks.len());
    for (at, &(start, _, _)) in (0..NO_PARENT).zip(blocks) {
        while let Some(&last) = open.last() {
            let (from, len, _) = blocks[last as usize];
            if covers(from, len, start) {
                break;
            }
            open.pop();
        }
        parents.push(open.last().copied().unwrap_or(NO_PARENT));
        open.push(at);
    }
    parents.into()
}
