//! The set of active entries, and the entries that a caller is told to connect
//! to.
//!
//! An entry is active while it holds a lease in the store. A lookup returns the
//! entries of the caller's region, because a request that crosses regions twice
//! misses its latency objective, and because a route may be restricted to its
//! home regions. Only if a region has no entry, the lookup returns those of all
//! regions.
//!
//! Each caller gets a subset of its own by weighted rendezvous hashing, in which an
//! entry occurs in proportion to the capacity of its link: it stays the same while the
//! entries do, and all subsets together use every entry. The subset is smaller than the
//! region if that has many entries or if their links differ: callers use all entries of
//! a response alike, and would fill the narrow links first.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::domain::{EntryId, Millis, Presence, RegionName};

/// How long a departed entry still counts when a shared limit is divided. It
/// may merely have lost its connection to the store and still be using its
/// share.
const DEPARTED_RETENTION: Millis = Millis(15_000);

/// How long it takes until every running entry is announced, after an outage of
/// the store in which the leases of all have expired. An entry notices that within
/// the second in which it renews its lease; the rest is for the writes. It is also
/// longer than the second over which the rate of a cold target counts, so that an entry
/// that restarts, and has forgotten what it sent, does not use its share twice.
const ANNOUNCE_TIME: Millis = Millis(1_500);

/// The maximum number of entries in a lookup response. It is small, because
/// callers use all of them alike: the larger the subset, the less the capacity of
/// an entry decides how many callers it gets.
const LOOKUP_ENTRIES_MAX: usize = 16;

/// The number of entries that a lookup response has at least, if there are as many, so
/// that a caller has others to try when some have just failed.
const LOOKUP_ENTRIES_MIN: usize = 3;

/// How much each entry adds to the time over which all of them announce themselves
/// again after the store has lost their leases. An announcement takes two writes,
/// and the store accepts some hundred writes per second from all callers together.
const ANNOUNCE_SPREAD: Millis = Millis(7);

/// The maximum of that time. Entries are named without a lease for no longer than
/// this and the second in which they notice the loss.
const ANNOUNCE_SPREAD_MAX: Millis = Millis(2_000);

/// Returns the time over which entries spread their announcements after the store
/// has lost all of them.
#[must_use]
pub fn announce_spread(entries: usize) -> Millis {
    let count = u64::try_from(entries).unwrap_or(u64::MAX);
    Millis(count.saturating_mul(ANNOUNCE_SPREAD.0)).min(ANNOUNCE_SPREAD_MAX)
}

/// The active entries, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    active: BTreeMap<EntryId, Presence>,
    /// Departed entries with the instants of their departure, in that order.
    departed: VecDeque<(Millis, EntryId)>,
    /// When this run began. Former ones have ended by then.
    started: Millis,
    /// Whether a state of the store was read that is later than that.
    is_current: bool,
    /// Whether the first read of the announcements still contained that of a former run of
    /// this entry, once there was one.
    was_listed: Option<bool>,
    /// When the store took the announcement of this entry for the first time.
    announced: Option<Millis>,
    /// Whether a state of the store was read that is later than that.
    listed: bool,
}

impl Entries {
    /// Returns the entries that a run knows which begins now, none.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            ..Self::default()
        }
    }

    /// Records that the store has taken the announcement of this entry.
    pub fn record_announced(&mut self, now: Millis) {
        self.announced.get_or_insert(now);
    }

    /// Records that all announcements are known which the store held at `as_of`.
    pub fn record_state(&mut self, as_of: Millis) {
        self.listed |= self.announced.is_some_and(|at| at <= as_of);
        self.is_current |= self.started < as_of;
    }

    /// Records that all announcements were read, and whether that of this entry is among
    /// them. At the first read it has not announced itself yet.
    pub fn record_read(&mut self, is_listed: bool) {
        self.was_listed.get_or_insert(is_listed);
    }

    /// Returns whether the entries among which parts are divided are known, given the
    /// time for which a former run may still use its part.
    ///
    /// That is the case once all are settled, or earlier if the announcement of a former
    /// run was listed: it had not expired, so the announcements of the others had not
    /// either, as far as they were renewed as late. Of several entries that restart while
    /// these expire, fewer see their own, just as fewer see the others. What is known must
    /// be later than the start, since the first read may be that of an entry which lags.
    ///
    /// The time of the former run counts from the start and not from the first read,
    /// which comes some 500 ms later after a restart of all.
    #[must_use]
    pub fn knows_parts(&self, now: Millis, poll_period: Millis, former: Millis) -> bool {
        let is_over = self.started + former <= now;
        let is_early = self.was_listed == Some(true) && self.is_current && is_over;
        is_early || self.is_settled(now, poll_period)
    }

    /// Returns whether all other entries are known, as far as they reach the
    /// store, which is polled each `poll_period`. Until then an entry would take
    /// more than its share of a limit.
    ///
    /// The time runs from the announcement of this entry and not from its first
    /// read, which may be that of another entry: while the store is down nobody is
    /// announced. Of two settled entries one knows the other, because it has read a
    /// state that is later than both announcements.
    #[must_use]
    pub fn is_settled(&self, now: Millis, poll_period: Millis) -> bool {
        let is_over = |at| at + ANNOUNCE_TIME + poll_period <= now;
        self.listed && self.announced.is_some_and(is_over)
    }

    /// Returns the entries among which limits of the whole fleet are divided, given the
    /// `known` ones. There are none until all others are known, so that an entry which
    /// has just started uses no part of a limit: with the leases of all expired, each
    /// would take the whole.
    #[must_use]
    pub fn sharers<'a>(&self, now: Millis, poll_period: Millis, known: &'a [u64]) -> &'a [u64] {
        if self.is_settled(now, poll_period) {
            known
        } else {
            &[]
        }
    }

    /// Adds or replaces an entry. Returns whether that changed anything.
    pub fn join(&mut self, presence: Presence) -> bool {
        self.departed.retain(|(_, name)| *name != presence.name);
        let name = presence.name.clone();
        let same = self.active.get(&name) == Some(&presence);
        self.active.insert(name, presence);
        !same
    }

    /// Removes an entry. Returns whether it was active.
    pub fn leave(&mut self, now: Millis, name: &EntryId) -> bool {
        let active = self.active.remove(name).is_some();
        if active {
            self.departed.push_back((now, name.clone()));
        }
        active
    }

    /// Returns whether an entry is active.
    #[must_use]
    pub fn is_active(&self, name: &EntryId) -> bool {
        self.active.contains_key(name)
    }

    /// Returns whether an entry has departed lately and not returned.
    #[must_use]
    pub fn has_departed(&self, name: &EntryId) -> bool {
        self.departed.iter().any(|(_, departed)| departed == name)
    }

    /// Returns the active and the recently departed entries, among which shared
    /// limits are divided.
    pub fn with_departed(&mut self, now: Millis) -> impl Iterator<Item = &EntryId> {
        while self
            .departed
            .front()
            .is_some_and(|(at, _)| *at + DEPARTED_RETENTION < now)
        {
            self.departed.pop_front();
        }
        let departed = self.departed.iter().map(|(_, name)| name);
        self.active.keys().chain(departed)
    }

    /// Returns the active entries in a region.
    pub fn in_region(&self, region: &RegionName) -> impl Iterator<Item = &Presence> {
        self.active.values().filter(move |p| p.region == *region)
    }

    /// Returns all active entries.
    pub fn all(&self) -> impl Iterator<Item = &Presence> {
        self.active.values()
    }

    /// Returns the addresses to which a caller in a region should connect. `caller`
    /// is a hash of what distinguishes it from other callers. `leaving` is an entry
    /// that is known to stop, although it may still hold its lease.
    #[must_use]
    pub fn lookup_addresses(
        &self,
        region: Option<&RegionName>,
        caller: u64,
        leaving: Option<&EntryId>,
    ) -> Vec<SocketAddr> {
        let staying = || self.active.values().filter(|p| Some(&p.name) != leaving);
        let mut entries: Vec<&Presence> = staying().filter(|p| Some(&p.region) == region).collect();
        if entries.is_empty() {
            entries = staying().collect();
        }
        let size = subset_size(&entries);
        if entries.len() > size {
            entries.sort_by_cached_key(|p| subset_rank(p, caller));
            entries.truncate(size);
        }
        entries.iter().map(|p| p.front).collect()
    }
}

/// Returns how many of the entries a lookup response has. If their links differ, that is
/// half of the number for which entries with equal links would count (Kish's effective
/// sample size): a sample without replacement then holds entries about in proportion to
/// their links.
fn subset_size(entries: &[&Presence]) -> usize {
    let links = || entries.iter().map(|p| link_weight(p));
    if entries.windows(2).all(|pair| pair[0].link == pair[1].link) {
        return LOOKUP_ENTRIES_MAX;
    }
    let squares: f64 = links().map(|link| link * link).sum();
    let effective = links().sum::<f64>().powi(2) / squares;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let half = (effective / 2.0) as usize;
    half.clamp(LOOKUP_ENTRIES_MIN, LOOKUP_ENTRIES_MAX)
}

/// Returns the capacity of an entry's link in Mbit/s, which is at least 1.
fn link_weight(entry: &Presence) -> f64 {
    f64::from(entry.link.0.max(1))
}

/// Returns the rank of an entry for a caller. The lowest ranks are a weighted
/// random sample without replacement, which a change of one entry changes in one
/// place.
fn subset_rank(entry: &Presence, caller: u64) -> u64 {
    let hash = xxh3_64_with_seed(entry.name.as_bytes(), caller);
    #[expect(clippy::cast_precision_loss)]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    // An exponential variate; its order is that of its bits, since it is not
    // negative.
    (-uniform.ln() / link_weight(entry)).max(0.0).to_bits()
}
