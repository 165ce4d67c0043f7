//! The order in which a caller tries entries.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Candidate, LoadLevel,
    view::{Key, View},
};
use crate::domain::{Millis, RegionName, ServiceName};

/// The most entries that an answer names.
pub const MAX_ENTRIES: usize = 4;

/// How long callers keep an answer.
pub const MAX_AGE: Millis = Millis(5_000);

/// How long callers keep an answer while the entries near them change.
pub const CHANGING_AGE: Millis = Millis(1_000);

/// For how long after a change the membership counts as changing. It covers a
/// failure detection (3 s of suspicion) and the spread of what follows from it.
const CHANGING: Millis = Millis(10_000);

/// Which entries a caller should use.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<'a> {
    /// The entries, the best one first.
    pub entries: Vec<&'a Candidate>,
    /// How long the caller may keep the answer.
    pub max_age: Millis,
}

/// Ranks the entries for callers of a service in a region.
///
/// Entries that answer come before suspects, near regions before far ones,
/// overloaded entries after the others of their distance, and the weighted
/// rendezvous hash of (service, entry) decides the rest. So the callers of one
/// service in one region concentrate on few entries, and a change of one entry
/// moves only the services that it gains or loses. An overloaded entry still
/// comes before a farther region, because a wave of callers that leave an
/// overloaded region would overload the next one.
///
/// If the first four share one availability zone, the best entry of another
/// zone takes the last position.
#[must_use]
pub fn rank<'a>(
    service: &ServiceName,
    from: &RegionName,
    view: &'a View,
    now: Millis,
) -> Answer<'a> {
    let search = Search {
        hash: xxh3_64(service.as_bytes()),
        view,
        from: view.region(from),
    };
    let mut best = Vec::with_capacity(MAX_ENTRIES);
    search.fill(&mut best, MAX_ENTRIES, |_| true);
    spread(&search, &mut best);
    Answer {
        max_age: max_age(&search, &best, now),
        entries: best.iter().map(|r| search.member(r)).collect(),
    }
}

struct Search<'a> {
    hash: u64,
    view: &'a View,
    from: Option<usize>,
}

/// An entry with its position in the order.
#[derive(Clone, Copy)]
struct Ranked {
    key: Key,
    distance: Millis,
    /// The rendezvous score, the greatest one first.
    score: f64,
    group: usize,
    at: usize,
}

impl Ranked {
    fn order(&self, other: &Self) -> Ordering {
        let first = |r: &Self| {
            let overloaded = r.key.level == LoadLevel::Overloaded;
            (r.key.suspect, r.distance, overloaded)
        };
        let firsts = first(self).cmp(&first(other));
        firsts.then_with(|| other.score.total_cmp(&self.score))
    }
}

impl<'a> Search<'a> {
    /// Fills `best` up to `limit` with the first entries that `fits` admits.
    fn fill(&self, best: &mut Vec<Ranked>, limit: usize, fits: impl Fn(&Key) -> bool) {
        for suspect in [false, true] {
            for &(distance, group) in self.view.near(self.from) {
                let full = best.len() == limit;
                if full
                    && best
                        .last()
                        .is_some_and(|r| !r.key.suspect && r.distance < distance)
                {
                    return;
                }
                let keys = self.view.groups[group].keys.iter().enumerate();
                for (at, key) in keys.filter(|(_, k)| k.suspect == suspect && fits(k)) {
                    let ranked = Ranked {
                        key: *key,
                        distance,
                        score: score(self.hash, key),
                        group,
                        at,
                    };
                    insert(best, limit, ranked);
                }
            }
            if best.len() == limit {
                return;
            }
        }
    }

    fn member(&self, ranked: &Ranked) -> &'a Candidate {
        &self.view.groups[ranked.group].members[ranked.at]
    }
}

fn insert(best: &mut Vec<Ranked>, limit: usize, new: Ranked) {
    // Most entries come after the last one, so that comparison is first.
    let full = best.len() == limit;
    if full
        && best
            .last()
            .is_some_and(|r| r.order(&new) != Ordering::Greater)
    {
        return;
    }
    best.truncate(limit - 1);
    // Equal scores keep the order of regions and ids.
    let at = best.partition_point(|r| r.order(&new) != Ordering::Greater);
    best.insert(at, new);
}

/// Returns the weighted rendezvous score. For a weight w and a uniform u, the
/// power u^(1/w) makes an entry come first in proportion to its weight. A busy
/// entry has the weight 1/2, so that half of its services move away: if all moved
/// at once, the next entry would become busy in turn.
#[allow(clippy::cast_precision_loss)] // 53 bits fit.
fn score(service: u64, key: &Key) -> f64 {
    let hash = mix(service ^ key.hash);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    match key.level {
        LoadLevel::Normal | LoadLevel::Overloaded => uniform,
        LoadLevel::Busy => uniform * uniform,
    }
}

/// The finaliser of `SplitMix64`. The two hashes are combined by exclusive or,
/// which alone would give related services related orders.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Makes room for a second availability zone.
fn spread(search: &Search<'_>, best: &mut Vec<Ranked>) {
    let Some(zone) = best.first().map(|r| r.key.zone) else {
        return;
    };
    if best.len() < MAX_ENTRIES || best.iter().any(|r| r.key.zone != zone) {
        return;
    }
    let mut other = Vec::with_capacity(1);
    search.fill(&mut other, 1, |k| k.zone != zone);
    if !other.is_empty() {
        best.truncate(MAX_ENTRIES - 1);
        best.append(&mut other);
    }
}

fn max_age(search: &Search<'_>, best: &[Ranked], now: Millis) -> Millis {
    let named = best.iter().map(|r| r.group).chain(search.from);
    let changing = |group: usize| {
        let group = &search.view.groups[group];
        group.doubtful || now < group.changed + CHANGING
    };
    if named.into_iter().any(changing) {
        CHANGING_AGE
    } else {
        MAX_AGE
    }
}
