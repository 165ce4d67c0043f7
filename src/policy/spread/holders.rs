//! Which entries watch the store.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    domain::{EntryId, RegionName},
    policy::member::Member,
};

/// How many entries of a region watch the store, so that one may fail.
const PER_REGION: usize = 2;

/// The most entries that watch the store. The number of pending watches does
/// not grow with the fleet.
const HOLDERS_MAX: usize = 6;

/// Returns the entries that hold a watch, from the live members.
///
/// Regions and the entries of a region are ranked by rendezvous hash, so a
/// member that joins or fails moves at most the watches of its own region and of
/// the last region chosen. Entries with different views choose different
/// holders for a while, which costs a few watches and loses nothing.
#[must_use]
pub fn watch_holders<'a>(live: impl Iterator<Item = &'a Member>) -> Vec<&'a EntryId> {
    let mut regions: BTreeMap<&RegionName, Vec<&EntryId>> = BTreeMap::new();
    for member in live {
        regions.entry(&member.region).or_default().push(&member.id);
    }
    let mut ranked: Vec<_> = regions.into_iter().collect();
    ranked.sort_by_cached_key(|(region, _)| rank(region.as_bytes()));
    let first = ranked.into_iter().flat_map(|(_, mut ids)| {
        ids.sort_by_cached_key(|id| rank(id.as_bytes()));
        ids.into_iter().take(PER_REGION)
    });
    first.take(HOLDERS_MAX).collect()
}

fn rank(name: &[u8]) -> u64 {
    let mut bytes = b"watch/".to_vec();
    bytes.extend(name);
    xxh3_64(&bytes)
}
