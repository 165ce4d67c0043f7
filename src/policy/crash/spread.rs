//! The entries that an entry tells of strikes.

use std::collections::BTreeSet;

/// Returns the places of the neighbours of the entry at `own` among `len` entries, ordered
/// by name: the next ones, and those at the distance of the square root.
///
/// A strike needs at most about as many steps as that root to reach all entries, and each
/// entry opens channels to four others only. With random entries in their place, the memory
/// of 295 entries doubled on a day with crashes of many targets.
#[must_use]
pub fn neighbour_places(own: usize, len: usize) -> BTreeSet<usize> {
    let step = len.isqrt();
    let distances = [1, step, len.saturating_sub(1), len - step];
    let places = distances.map(|d| (own + d) % len.max(1));
    places.into_iter().filter(|place| *place != own).collect()
}
