//! Which entries serve, and which of them a caller is told to use.
//!
//! The store's leases say who serves. A look-up names the entries of the
//! caller's region, because a request that crosses regions twice loses its
//! objective, and because a route may be bound to its home regions. Only a
//! region without any entry is given those of the others.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::domain::{EntryId, Millis, Presence, RegionName};

/// For how long an entry that has gone still counts when a shared limit is
/// divided. It may only be cut off from the store and go on using its share.
const COUNTED: Millis = Millis(15_000);

/// The most entries that one look-up names. Callers read no more.
const NAMED_MAX: usize = 64;

/// The entries that serve, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    known: BTreeMap<EntryId, Presence>,
    gone: VecDeque<(Millis, EntryId)>,
}

impl Entries {
    /// Adds or replaces an entry.
    pub fn join(&mut self, presence: Presence) {
        self.gone.retain(|(_, name)| *name != presence.name);
        self.known.insert(presence.name.clone(), presence);
    }

    /// Removes an entry.
    pub fn leave(&mut self, now: Millis, name: &EntryId) {
        if self.known.remove(name).is_some() {
            self.gone.push_back((now, name.clone()));
        }
    }

    /// Removes all entries but the named ones.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(&EntryId) -> bool) {
        let lost: Vec<EntryId> = self.known.keys().filter(|n| !keep(n)).cloned().collect();
        for name in &lost {
            self.leave(now, name);
        }
    }

    /// Returns the entries among which a shared limit is divided.
    pub fn counted(&mut self, now: Millis) -> impl Iterator<Item = &EntryId> {
        while self.gone.front().is_some_and(|(at, _)| *at + COUNTED < now) {
            self.gone.pop_front();
        }
        let gone = self.gone.iter().map(|(_, name)| name);
        self.known.keys().chain(gone)
    }

    /// Returns the entries that serve in a region.
    pub fn within(&self, region: &RegionName) -> impl Iterator<Item = &Presence> {
        self.known.values().filter(move |p| p.region == *region)
    }

    /// Returns all entries that serve.
    pub fn all(&self) -> impl Iterator<Item = &Presence> {
        self.known.values()
    }

    /// Returns where a caller in a region should connect.
    #[must_use]
    pub fn plan(&self, region: Option<&RegionName>) -> Vec<SocketAddr> {
        let near = self.known.values().filter(|p| Some(&p.region) == region);
        let mut fronts: Vec<SocketAddr> = near.map(|p| p.front).collect();
        if fronts.is_empty() {
            fronts = self.known.values().map(|p| p.front).collect();
        }
        fronts.truncate(NAMED_MAX);
        fronts
    }
}
