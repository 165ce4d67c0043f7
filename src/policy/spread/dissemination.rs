//! The state machine of dissemination.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IndexedRandom};

use super::digest::{Announcement, Index, RootHash, Summary};
use crate::domain::{EntryId, Millis, Revision, ServiceName};

/// The most services in one announcement, which bounds it to 20 KB with the
/// longest names. A larger batch occurs only at a start, where comparisons cover
/// the rest.
const LIST_MAX: usize = 256;

/// The most services in one pull. Bodies are about 2 KB and a reply holds at
/// most 256 KB.
const PULL_MAX: usize = 64;

/// The most services whose bodies are awaited at a time. It bounds the burst on
/// a link when an entry starts and pulls all documents.
const AWAITED_MAX: usize = 256;

/// The times and counts of dissemination.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// How many peers receive each announcement.
    pub fanout: usize,
    /// How long a pull may take before another peer is asked.
    pub timeout: Millis,
    /// The least time between two comparisons with one peer.
    pub rest: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            fanout: 3,
            timeout: Millis(500),
            rest: Millis(1_000),
        }
    }
}

/// What the caller has to send. All of it goes through one method, `Fetch`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Tell a peer of revisions; it calls [`Spread::on_announce`].
    Announce {
        /// The peer.
        to: EntryId,
        /// The revisions.
        list: Vec<Announcement>,
    },
    /// Ask a peer for the bodies of services. After adoption call
    /// [`Spread::adopted`].
    Pull {
        /// The peer.
        from: EntryId,
        /// The services.
        services: Vec<ServiceName>,
    },
    /// Ask a peer for its revisions in differing buckets; the reply goes to
    /// [`Spread::on_announce`].
    Compare {
        /// The peer.
        with: EntryId,
        /// This entry's hashes.
        summary: Summary,
    },
}

#[derive(Clone, Debug)]
struct Wanted {
    revision: Revision,
    sources: BTreeSet<EntryId>,
    asked: Option<Millis>,
}

/// The revisions that this entry has adopted and those that it knows of.
#[derive(Clone, Debug)]
pub struct Spread {
    index: Index,
    tuning: Tuning,
    fresh: BTreeSet<ServiceName>,
    wanted: BTreeMap<ServiceName, Wanted>,
    compared: BTreeMap<EntryId, Millis>,
    replies: BTreeMap<EntryId, BTreeSet<ServiceName>>,
    differing: BTreeSet<EntryId>,
}

impl Spread {
    /// Returns the state of an entry that has adopted nothing.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            index: Index::new(),
            tuning,
            fresh: BTreeSet::new(),
            wanted: BTreeMap::new(),
            compared: BTreeMap::new(),
            replies: BTreeMap::new(),
            differing: BTreeSet::new(),
        }
    }

    /// Returns the hash that probes carry.
    #[must_use]
    pub fn root(&self) -> RootHash {
        self.index.root()
    }

    /// Returns the hashes by which a peer finds the buckets that differ.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.index.summary()
    }

    /// Returns the adopted revision of a service, zero if there is none.
    #[must_use]
    pub fn revision(&self, service: &ServiceName) -> Revision {
        self.index.revision(service)
    }

    /// Notes that this entry has adopted a revision, from the store or a peer.
    /// An older one than before changes nothing.
    pub fn adopted(&mut self, service: &ServiceName, revision: Revision) {
        if self.index.adopt(service, revision) {
            self.fresh.insert(service.clone());
        }
        let done = |w: &Wanted| w.revision <= self.index.revision(service);
        if self.wanted.get(service).is_some_and(done) {
            self.wanted.remove(service);
        }
    }

    /// Takes the revisions that a peer has adopted. Where this entry has a newer
    /// one, it tells the peer.
    pub fn on_announce(&mut self, from: &EntryId, list: &[Announcement]) {
        for item in list {
            let mine = self.index.revision(&item.service);
            if item.revision > mine {
                self.want(from, item);
            } else if item.revision < mine {
                let reply = self.replies.entry(from.clone()).or_default();
                reply.insert(item.service.clone());
            }
        }
    }

    /// Takes the hash of a probe or an acknowledgement.
    pub fn on_root(&mut self, from: &EntryId, root: RootHash) {
        if root != self.index.root() {
            self.differing.insert(from.clone());
        }
    }

    /// Returns this entry's revisions in the buckets that differ from a peer's.
    #[must_use]
    pub fn on_compare(&self, summary: &Summary, rng: &mut impl Rng) -> Vec<Announcement> {
        self.index.differing(summary, rng)
    }

    /// Takes the end of a pull of `services`, after each received body was
    /// passed to [`adopted`](Self::adopted). A peer may return only some bodies
    /// because of the message limit; the rest is pulled again at once. If
    /// `received` is zero, another peer is asked.
    pub fn on_pulled(&mut self, from: &EntryId, services: &[ServiceName], received: usize) {
        if received == 0 {
            self.on_error(from, services);
            return;
        }
        for service in services {
            if let Some(wanted) = self.wanted.get_mut(service) {
                wanted.asked = None;
            }
        }
    }

    /// Takes the failure of a pull, so that another peer is asked at once.
    pub fn on_error(&mut self, from: &EntryId, services: &[ServiceName]) {
        for service in services {
            if let Some(wanted) = self.wanted.get_mut(service) {
                wanted.sources.remove(from);
                wanted.asked = None;
            }
        }
        self.wanted.retain(|_, w| !w.sources.is_empty());
    }

    /// Returns the messages that are due. `peers` are the other live members.
    /// Call it after adoptions and received messages, and every 100 ms.
    pub fn tick(&mut self, now: Millis, peers: &[EntryId], rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        self.announce(peers, rng, &mut out);
        self.reply(&mut out);
        self.pull(now, rng, &mut out);
        self.compare(now, &mut out);
        out
    }

    fn want(&mut self, from: &EntryId, item: &Announcement) {
        let new = || Wanted {
            revision: item.revision,
            sources: BTreeSet::new(),
            asked: None,
        };
        let wanted = self.wanted.entry(item.service.clone());
        let wanted = wanted.or_insert_with(new);
        if item.revision > wanted.revision {
            // Peers with the former revision cannot serve this one.
            *wanted = new();
        }
        if item.revision == wanted.revision {
            wanted.sources.insert(from.clone());
        }
    }

    fn announce(&mut self, peers: &[EntryId], rng: &mut impl Rng, out: &mut Vec<Action>) {
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.is_empty() {
            return;
        }
        let list = self.revisions(fresh.into_iter());
        for to in peers.choose_multiple(rng, self.tuning.fanout) {
            let (to, list) = (to.clone(), list.clone());
            out.push(Action::Announce { to, list });
        }
    }

    fn reply(&mut self, out: &mut Vec<Action>) {
        for (to, services) in std::mem::take(&mut self.replies) {
            let list = self.revisions(services.into_iter());
            out.push(Action::Announce { to, list });
        }
    }

    /// Returns the present revisions of at most 256 services.
    fn revisions(&self, services: impl Iterator<Item = ServiceName>) -> Vec<Announcement> {
        let list = services.take(LIST_MAX).map(|service| Announcement {
            revision: self.index.revision(&service),
            service,
        });
        list.collect()
    }

    fn pull(&mut self, now: Millis, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let mut batches: BTreeMap<EntryId, Vec<ServiceName>> = BTreeMap::new();
        let timeout = self.tuning.timeout;
        let awaited = |w: &Wanted| w.asked.is_some_and(|at| now - at < timeout);
        let busy = self.wanted.values().filter(|w| awaited(w)).count();
        let mut free = AWAITED_MAX.saturating_sub(busy);
        for (service, wanted) in &mut self.wanted {
            if free == 0 {
                break;
            }
            if awaited(wanted) {
                continue;
            }
            let sources: Vec<&EntryId> = wanted.sources.iter().collect();
            let Some(from) = sources.choose(rng) else {
                continue;
            };
            let batch = batches.entry((*from).clone()).or_default();
            if batch.len() < PULL_MAX {
                batch.push(service.clone());
                wanted.asked = Some(now);
                free -= 1;
            }
        }
        out.extend(
            batches
                .into_iter()
                .map(|(from, services)| Action::Pull { from, services }),
        );
    }

    /// Asks the peers whose hashes differ. During the spread of an edit this
    /// often finds what an announcement was about to tell. It is done at once
    /// all the same: a delay of 500 ms saved little traffic and raised the
    /// time until the last of 30 entries has an edit from 1.3 s to 3.5 s at p99.
    fn compare(&mut self, now: Millis, out: &mut Vec<Action>) {
        let rest = self.tuning.rest;
        self.compared.retain(|_, at| now - *at < rest);
        let differing = std::mem::take(&mut self.differing);
        if !self.wanted.is_empty() {
            // The difference is being resolved. The next probe tells whether it
            // persists.
            return;
        }
        for with in differing {
            if self.compared.contains_key(&with) {
                continue;
            }
            self.compared.insert(with.clone(), now);
            let summary = self.index.summary();
            out.push(Action::Compare { with, summary });
        }
    }
}
