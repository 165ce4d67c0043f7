//! Chooses the entries that watch the store.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    domain::{EntryId, RegionName},
    policy::member::Member,
};

/// How many entries of a region watch the store. The second one covers a
/// failure of the first.
const HOLDERS_PER_REGION: usize = 2;

/// The maximum number of entries that watch the store. It keeps the number of
/// pending watches independent of the fleet size.
const HOLDERS_MAX: usize = 6;

/// Returns the live members that should hold a watch.
///
/// Regions and the entries of a region are ranked by rendezvous hash, so a
/// member that joins or fails moves at most the watches of its own region and
/// of the last region chosen. Entries whose views differ choose different
/// holders for a while, which costs a few extra watches but misses no change.
#[must_use]
pub fn watch_holders<'a>(live: impl Iterator<Item = &'a Member>) -> Vec<&'a EntryId> {
    let mut regions: BTreeMap<&RegionName, Vec<&EntryId>> = BTreeMap::new();
    for member in live {
        regions.entry(&member.region).or_default().push(&member.id);
    }
    let mut ranked: Vec<_> = regions.into_iter().collect();
    ranked.sort_by_cached_key(|(region, _)| rank(region.as_bytes()));
    let chosen = ranked.into_iter().flat_map(|(_, mut ids)| {
        ids.sort_by_cached_key(|id| rank(id.as_bytes()));
        ids.into_iter().take(HOLDERS_PER_REGION)
    });
    chosen.take(HOLDERS_MAX).collect()
}

fn rank(name: &[u8]) -> u64 {
    let mut bytes = b"watch/".to_vec();
    bytes.extend(name);
    xxh3_64(&bytes)
}
