//! Ranks entries in the order in which a caller should try them.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Candidate, LoadLevel,
    view::{EntryView, RankKey},
};
use crate::domain::{Millis, RegionName, ServiceName};

/// The maximum number of entries in an answer.
pub const MAX_ENTRIES: usize = 4;

/// How long callers may cache an answer.
pub const MAX_AGE: Millis = Millis(5_000);

/// How long callers may cache an answer while the entries near them change.
pub const CHANGING_MAX_AGE: Millis = Millis(1_000);

/// How long a region counts as changing after the state of an entry changed.
/// This covers the detection of a failure (3 s of suspicion) and the
/// propagation of its consequences.
const CHANGING_TIME: Millis = Millis(10_000);

/// The entries that a caller should use.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<'a> {
    /// The entries, the best one first.
    pub entries: Vec<&'a Candidate>,
    /// How long the caller may cache the answer.
    pub max_age: Millis,
}

/// Ranks the entries for callers of a service in a region.
///
/// Entries that respond come before suspect ones, near regions before far ones,
/// and overloaded entries after the others with the same delay. Ties are broken
/// by the weighted rendezvous hash of (service, entry). So the callers of one
/// service in one region concentrate on few entries, and a change of one entry
/// moves only the services that it gains or loses. An overloaded entry still
/// comes before a farther region, because callers that all leave an overloaded
/// region at once would overload the next one.
///
/// If the first four entries share one availability zone, the best entry of
/// another zone replaces the fourth.
#[must_use]
pub fn rank<'a>(
    service: &ServiceName,
    from: &RegionName,
    view: &'a EntryView,
    now: Millis,
) -> Answer<'a> {
    let search = Search {
        hash: xxh3_64(service.as_bytes()),
        view,
        from: view.region_index(from),
    };
    let mut best = Vec::with_capacity(MAX_ENTRIES);
    search.fill(&mut best, MAX_ENTRIES, |_| true);
    add_second_zone(&search, &mut best);
    Answer {
        max_age: max_age(&search, &best, now),
        entries: best.iter().map(|r| search.member(r)).collect(),
    }
}

/// The search for the best entries for callers of one service in one region.
struct Search<'a> {
    /// The hash of the service.
    hash: u64,
    view: &'a EntryView,
    /// The index of the callers' region, if it is known.
    from: Option<usize>,
}

/// An entry with the values that determine its rank.
#[derive(Clone, Copy)]
struct Ranked {
    key: RankKey,
    delay: Millis,
    /// The rendezvous score; greater scores come first.
    score: f64,
    group: usize,
    at: usize,
}

impl Ranked {
    fn compare(&self, other: &Self) -> Ordering {
        let class = |r: &Self| {
            let overloaded = r.key.level == LoadLevel::Overloaded;
            (r.key.suspect, r.delay, overloaded)
        };
        let by_class = class(self).cmp(&class(other));
        by_class.then_with(|| other.score.total_cmp(&self.score))
    }
}

impl<'a> Search<'a> {
    /// Fills `best` up to `limit` with the best entries whose key `accept`
    /// accepts.
    fn fill(&self, best: &mut Vec<Ranked>, limit: usize, accept: impl Fn(&RankKey) -> bool) {
        for suspect in [false, true] {
            for &(delay, group) in self.view.regions_from(self.from) {
                let full = best.len() == limit;
                if full
                    && best
                        .last()
                        .is_some_and(|r| !r.key.suspect && r.delay < delay)
                {
                    return;
                }
                let keys = self.view.groups[group].keys.iter().enumerate();
                for (at, key) in keys.filter(|(_, k)| k.suspect == suspect && accept(k)) {
                    let ranked = Ranked {
                        key: *key,
                        delay,
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

/// Inserts an entry at its rank and keeps at most `limit` entries.
fn insert(best: &mut Vec<Ranked>, limit: usize, new: Ranked) {
    // Most entries rank below the current last one, so they are rejected first.
    let full = best.len() == limit;
    if full
        && best
            .last()
            .is_some_and(|r| r.compare(&new) != Ordering::Greater)
    {
        return;
    }
    best.truncate(limit - 1);
    // Entries with equal scores stay in the order of regions and ids.
    let at = best.partition_point(|r| r.compare(&new) != Ordering::Greater);
    best.insert(at, new);
}

/// Returns the weighted rendezvous score. With a weight w and a uniformly
/// distributed u, the score u^(1/w) ranks an entry first with a probability
/// proportional to its weight. A busy entry has the weight 1/2, so that half of
/// its services move away: if all moved at once, the next entry would become
/// busy in turn.
#[allow(clippy::cast_precision_loss)] // 53 bits fit in an f64.
fn score(service: u64, key: &RankKey) -> f64 {
    let hash = mix(service ^ key.hash);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    match key.level {
        LoadLevel::Normal | LoadLevel::Overloaded => uniform,
        LoadLevel::Busy => uniform * uniform,
    }
}

/// Applies the finalizer of `SplitMix64`. The hashes of service and entry are
/// only combined by exclusive or, so that without it similar hashes would give
/// similar orders.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Replaces the last entry by one of another availability zone if all entries
/// share one zone.
fn add_second_zone(search: &Search<'_>, best: &mut Vec<Ranked>) {
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

/// Returns the shorter age if the callers' region or that of any named entry is
/// changing.
fn max_age(search: &Search<'_>, best: &[Ranked], now: Millis) -> Millis {
    let groups = best.iter().map(|r| r.group).chain(search.from);
    let changing = |group: usize| {
        let group = &search.view.groups[group];
        group.has_suspect || now < group.changed_at + CHANGING_TIME
    };
    if groups.into_iter().any(changing) {
        CHANGING_MAX_AGE
    } else {
        MAX_AGE
    }
}
