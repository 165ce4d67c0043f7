//! Selection of the upstream to poll.

use std::{cmp::Reverse, collections::BTreeMap, fmt, net::SocketAddr};

use crate::domain::{AzName, EntryId, Mbps, Millis, Presence};

/// How long an entry is avoided after it failed as a source. If it has stopped,
/// its lease expires within this time.
const FAILED_ENTRY_BACKOFF: Millis = Millis(10_000);

/// How long an entry of an earlier version, which knows no eras of the store, is
/// avoided. It has to be updated before it can be followed.
const NO_ERA_BACKOFF: Millis = Millis(60_000);

/// How long another entry is polled after the store failed to answer.
const STORE_BACKOFF: Millis = Millis(2_000);

/// How many entries have to fail one after the other until an entry that polls the
/// store leaves a complete read to those that failed. After one failure the first
/// usable entry has to read for all.
const DIRECT_FAILURES: u32 = 2;

/// The upstream to poll for changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Upstream {
    /// The store.
    Store,
    /// Another entry, with its address for peers.
    Entry(EntryId, SocketAddr),
    /// An entry that the settings name, of any region. Only its address is known.
    Seed(SocketAddr),
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Entry(name, addr) => write!(f, "{name} at {addr}"),
            Self::Seed(addr) => write!(f, "seed at {addr}"),
        }
    }
}

/// How an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFailure {
    /// It did not answer.
    Unresponsive,
    /// It answered with a state that is too old.
    Outdated,
    /// It knows no eras of the store, so that what it says of a store that has any
    /// counts for nothing.
    NoEra,
}

/// What is known about an entry that is polled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// No entry has failed since it has passed on current state.
    Settled,
    /// A source has failed, and this entry has not answered since.
    Unknown,
    /// A source has failed, and this entry has answered since the given instant, but
    /// has not passed on any state of after the loss yet.
    TakingOver(Millis),
}

/// An entry that failed as a source.
#[derive(Clone, Debug)]
struct AvoidedEntry {
    name: EntryId,
    until: Millis,
    failure: UpstreamFailure,
}

/// Selects the upstream of one entry and remembers failed ones.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSelector {
    /// Entries that failed as a source.
    avoided: Vec<AvoidedEntry>,
    /// How many entries have failed since an upstream answered.
    failed_entries: u32,
    /// Since when the source is in doubt, until an entry passes on later state.
    lost_at: Option<Millis>,
    /// The entry that answers since then, and the instant of its first answer.
    alive: Option<(EntryId, Millis)>,
    /// Whether the store is polled because several entries have failed.
    is_direct: bool,
    /// The instant until which another entry is polled instead of the store.
    bypass_until: Millis,
    /// Whether other entries are expected to follow this entry.
    has_followers: bool,
}

impl UpstreamSelector {
    /// Selects an upstream. `local` yields the entries of the local region.
    ///
    /// Only the first entries of the ranking poll the store: one as long as no entry
    /// has failed, and twice as many after each one that failed in a row. All entries
    /// of a region lose their source at the same moment. The next two poll the store
    /// as soon as they notice that, so that the loss of the second one as well costs
    /// the others a short call only. After the loss of n sources at most 2^n entries
    /// call the store, and an entry that cannot reach any other one calls it after as
    /// many failures as the number of entries has binary digits.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        me: &EntryId,
        local: impl Iterator<Item = &'a Presence>,
    ) -> Upstream {
        let avoided_before = self.avoided.len();
        self.avoided.retain(|a| now < a.until);
        if self.avoided.len() < avoided_before {
            // The entry is asked again, but nothing shows that it is back.
            self.lost_at.get_or_insert(now);
        }
        let avoided = |name: &EntryId| self.avoided.iter().any(|a| a.name == *name);
        let mut usable = rank(local);
        usable.retain(|p| !avoided(&p.name));
        let callers = 1_usize.checked_shl(self.failed_entries);
        let position = usable.iter().position(|p| p.name == *me);
        let may_call = position.unwrap_or(usable.len()) < callers.unwrap_or(usize::MAX);
        self.has_followers = may_call && position.is_some() && usable.len() > 1;
        let bypass = now < self.bypass_until;
        let mut others = usable.iter().filter(|p| p.name != *me);
        let next = others.next().filter(|_| bypass || !may_call);
        self.is_direct = next.is_none() && self.failed_entries >= DIRECT_FAILURES;
        match next.map(|p| (p, p.peer)) {
            Some((p, Some(addr))) => Upstream::Entry(p.name.clone(), addr),
            _ => Upstream::Store,
        }
    }

    /// Returns whether other entries are expected to follow this entry, as of
    /// the last call of [`choose`](Self::choose).
    #[must_use]
    pub fn has_followers(&self) -> bool {
        self.has_followers
    }

    /// Returns what is known about an upstream. Seeds are followed only while no entry of
    /// the region is known, so that the loss of a source says nothing about them.
    #[must_use]
    pub fn trust(&self, upstream: &Upstream) -> Trust {
        let Upstream::Entry(name, _) = upstream else {
            return Trust::Settled;
        };
        match (self.lost_at, &self.alive) {
            (None, _) => Trust::Settled,
            (Some(_), Some((alive, since))) if alive == name => Trust::TakingOver(*since),
            _ => Trust::Unknown,
        }
    }

    /// Records that an upstream failed.
    pub fn record_failure(&mut self, now: Millis, upstream: &Upstream, failure: UpstreamFailure) {
        match upstream {
            Upstream::Store => self.bypass_until = now + STORE_BACKOFF,
            Upstream::Entry(name, _) => {
                let backoff = match failure {
                    UpstreamFailure::NoEra => NO_ERA_BACKOFF,
                    UpstreamFailure::Outdated | UpstreamFailure::Unresponsive => {
                        FAILED_ENTRY_BACKOFF
                    }
                };
                self.avoided.push(AvoidedEntry {
                    name: name.clone(),
                    until: now + backoff,
                    failure,
                });
                // The entry works. All of this version pass it over, and the first of
                // them polls the store.
                if failure == UpstreamFailure::NoEra {
                    return;
                }
                self.failed_entries = self.failed_entries.saturating_add(1);
                self.lost_at.get_or_insert(now);
                self.bypass_until = now;
            }
            // `SeedSelector` remembers that.
            Upstream::Seed(_) => {}
        }
    }

    /// Records that an entry answered with a state that is too old, but may be about to
    /// take over.
    pub fn record_alive(&mut self, now: Millis, upstream: &Upstream) {
        if let Upstream::Entry(name, _) = upstream
            && self.alive.as_ref().is_none_or(|(alive, _)| alive != name)
        {
            self.alive = Some((name.clone(), now));
        }
    }

    /// Records that an upstream answered with the state of the store at `as_of`.
    pub fn record_answer(&mut self, now: Millis, upstream: &Upstream, as_of: Millis) {
        self.failed_entries = 0;
        match upstream {
            Upstream::Store => self.bypass_until = now,
            Upstream::Entry(..) if self.lost_at.is_none_or(|lost_at| lost_at <= as_of) => {
                self.lost_at = None;
                self.alive = None;
            }
            Upstream::Entry(..) => self.record_alive(now, upstream),
            Upstream::Seed(_) => {}
        }
    }

    /// Records that the store answers but has dropped its history. If it was
    /// polled directly, the entries whose state was too old are polled again:
    /// they read the complete state now, and pass on what has changed.
    pub fn record_compaction(&mut self) {
        if self.is_direct {
            self.record_new_era();
        }
    }

    /// Records that the store answers in a new era. All entries whose state was too
    /// old, because the store was away, read the new state now, so that they are
    /// polled again, also by the entry that has taken over from them.
    pub fn record_new_era(&mut self) {
        self.failed_entries = 0;
        self.avoided
            .retain(|a| a.failure != UpstreamFailure::Outdated);
    }
}

/// Returns the entries that can be polled, best first.
///
/// They are ranked by link bandwidth, because the source sends the changes to all
/// others. Entries with equal links alternate between the availability zones, so that
/// the loss of a zone, or of the connections between zones, takes the source and its
/// successors at once as rarely as possible. Ties are broken by name.
#[must_use]
pub fn rank<'a>(local: impl Iterator<Item = &'a Presence>) -> Vec<&'a Presence> {
    let mut entries: Vec<&Presence> = local.filter(|p| p.peer.is_some()).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    let mut counts: BTreeMap<(Mbps, &AzName), usize> = BTreeMap::new();
    let mut ranked: Vec<(Reverse<Mbps>, usize, &Presence)> = Vec::new();
    for entry in entries {
        let count = counts.entry((entry.link, &entry.az)).or_default();
        ranked.push((Reverse(entry.link), *count, entry));
        *count += 1;
    }
    // The sort is stable, so that the order by name is kept.
    ranked.sort_by_key(|(link, count, _)| (*link, *count));
    ranked.into_iter().map(|(_, _, entry)| entry).collect()
}
