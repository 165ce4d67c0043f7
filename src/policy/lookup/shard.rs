//! An immutable part of the block table.
//!
//! Blocks are sorted by first address, then by prefix length, so that a block
//! comes after every block that encloses it. Each block stores the index of its
//! nearest enclosing block, its parent. The longest match for an address is
//! then the last block that starts at or before it, or one of that block's
//! ancestors: a binary search and at most as many steps as the address has
//! bits. A trie would be faster to change but needs several times the memory. A
//! table of disjoint ranges could not remove a block, since it would not know
//! the blocks that the removed one had covered.

use crate::domain::SiteId;

/// The parent of a block that no other block encloses.
const NO_PARENT: u32 = u32::MAX;

/// The first address of a block, its prefix length, and its site.
pub(super) type Block<K, S> = (K, u8, S);

/// Blocks of one address family that share their leading bits. Each attribute
/// has its own array, so that the binary search reads only the addresses.
#[derive(Debug)]
pub(super) struct Shard<K> {
    starts: Box<[K]>,
    parents: Box<[u32]>,
    sites: Box<[SiteId]>,
    lengths: Box<[u8]>,
}

impl<K: Copy + Into<u128> + Ord> Shard<K> {
    /// Builds a shard from blocks that are sorted and free of duplicates.
    pub(super) fn build(blocks: &[Block<K, SiteId>]) -> Self {
        Self {
            starts: blocks.iter().map(|b| b.0).collect(),
            parents: parents(blocks),
            sites: blocks.iter().map(|b| b.2).collect(),
            lengths: blocks.iter().map(|b| b.1).collect(),
        }
    }

    /// Returns the site of the block with the longest prefix that contains
    /// `addr`.
    pub(super) fn find(&self, addr: K) -> Option<SiteId> {
        let mut at = self.starts.partition_point(|s| *s <= addr).checked_sub(1)?;
        while !contains(self.starts[at], self.lengths[at], addr) {
            let parent = self.parents[at];
            if parent == NO_PARENT {
                return None;
            }
            at = parent as usize;
        }
        Some(self.sites[at])
    }

    /// Returns a copy with the edits applied, which are sorted and free of
    /// duplicates. An edit without a site removes the block.
    pub(super) fn edit(&self, edits: &[Block<K, Option<SiteId>>]) -> Self {
        let mut blocks = Vec::with_capacity(self.starts.len() + edits.len());
        let mut old = self.blocks().peekable();
        for &(start, len, site) in edits {
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

    /// Returns the blocks in sorted order.
    pub(super) fn blocks(&self) -> impl Iterator<Item = Block<K, SiteId>> {
        let keys = self.starts.iter().zip(&self.lengths);
        keys.zip(&self.sites).map(|((k, l), s)| (*k, *l, *s))
    }

    /// Returns the number of bytes that the shard occupies, including itself.
    pub(super) fn bytes(&self) -> usize {
        size_of::<Self>()
            + size_of_val(&*self.starts)
            + size_of_val(&*self.parents)
            + size_of_val(&*self.sites)
            + size_of_val(&*self.lengths)
    }
}

/// Returns the number of bits of an address of type `K`.
#[allow(clippy::cast_possible_truncation)] // An address has at most 16 bytes.
pub(super) fn width<K>() -> u8 {
    size_of::<K>() as u8 * 8
}

/// Returns whether the block at `start` with a prefix of `len` bits contains
/// `addr`.
fn contains<K: Copy + Into<u128>>(start: K, len: u8, addr: K) -> bool {
    let difference: u128 = start.into() ^ addr.into();
    // For a prefix of length 0 the shift is the whole width, which would
    // overflow the operator `>>`.
    difference
        .checked_shr(u32::from(width::<K>() - len))
        .unwrap_or(0)
        == 0
}

/// Returns the parent of each block.
fn parents<K: Copy + Into<u128>>(blocks: &[Block<K, SiteId>]) -> Box<[u32]> {
    let mut ancestors: Vec<u32> = Vec::new();
    let mut parents = Vec::with_capacity(blocks.len());
    for (at, &(start, _, _)) in (0..NO_PARENT).zip(blocks) {
        while let Some(&last) = ancestors.last() {
            let (last_start, len, _) = blocks[last as usize];
            if contains(last_start, len, start) {
                break;
            }
            ancestors.pop();
        }
        parents.push(ancestors.last().copied().unwrap_or(NO_PARENT));
        ancestors.push(at);
    }
    parents.into()
}
