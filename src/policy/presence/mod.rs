//! The set of active entries, and the entries that a caller is told to connect
//! to.
//!
//! An entry is active while it holds a lease in the store. A lookup returns the
//! entries of the caller's region, because a request that crosses regions twice
//! misses its latency objective, and because a route may be restricted to its
//! home regions. Only if a region has no entry, the lookup returns those of all
//! regions.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::domain::{EntryId, Millis, Presence, RegionName};

/// How long a departed entry still counts when a shared limit is divided. It
/// may merely have lost its connection to the store and still be using its
/// share.
const DEPARTED_RETENTION: Millis = Millis(15_000);

/// The maximum number of entries in a lookup response. Callers read no more.
const LOOKUP_ENTRIES_MAX: usize = 64;

/// The active entries, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    active: BTreeMap<EntryId, Presence>,
    /// Departed entries with the instants of their departure, in that order.
    departed: VecDeque<(Millis, EntryId)>,
}

impl Entries {
    /// Adds or replaces an entry.
    pub fn join(&mut self, presence: Presence) {
        self.departed.retain(|(_, name)| *name != presence.name);
        self.active.insert(presence.name.clone(), presence);
    }

    /// Removes an entry.
    pub fn leave(&mut self, now: Millis, name: &EntryId) {
        if self.active.remove(name).is_some() {
            self.departed.push_back((now, name.clone()));
        }
    }

    /// Removes all entries except those for which `keep` returns true.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(&EntryId) -> bool) {
        let removed: Vec<EntryId> = self.active.keys().filter(|n| !keep(n)).cloned().collect();
        for name in &removed {
            self.leave(now, name);
        }
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

    /// Returns the addresses to which a caller in a region should connect.
    /// `leaving` is an entry that is known to stop, although it may still hold its
    /// lease.
    #[must_use]
    pub fn lookup_addresses(
        &self,
        region: Option<&RegionName>,
        leaving: Option<&EntryId>,
    ) -> Vec<SocketAddr> {
        let staying = || self.active.values().filter(|p| Some(&p.name) != leaving);
        let local = staying().filter(|p| Some(&p.region) == region);
        let mut fronts: Vec<SocketAddr> = local.map(|p| p.front).collect();
        if fronts.is_empty() {
            fronts = staying().map(|p| p.front).collect();
        }
        fronts.truncate(LOOKUP_ENTRIES_MAX);
        fronts
    }
}
