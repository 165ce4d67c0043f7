//! Chooses whom to ask.

use std::{cmp::Reverse, net::SocketAddr};

use crate::domain::{EntryId, Millis, Presence};

/// How long an entry that failed as a source is passed over. A silent one loses
/// its lease in the meantime.
const AVOID: Millis = Millis(10_000);

/// How long the store is asked itself after a source failed. The next in rank may
/// have lost the same source and knows nothing newer until it has asked.
const DIRECT: Millis = Millis(3_000);

/// How long other entries are asked after the store failed to answer.
const AROUND: Millis = Millis(2_000);

/// Whom to ask for changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Upstream {
    /// The store.
    Store,
    /// Another entry, at the address where entries reach it.
    Entry(EntryId, SocketAddr),
}

/// What an entry remembers of those it asked.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    avoided: Vec<(Millis, EntryId)>,
    /// Until when the store is asked itself.
    direct: Millis,
    /// Until when another entry is asked in place of the store.
    around: Millis,
    /// Whether others are expected to follow this entry.
    leads: bool,
}

impl Upstreams {
    /// Chooses among the entries of the own region.
    ///
    /// The one with the widest link comes first, since it sends the changes to
    /// all others; the name decides between equal ones.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        me: &EntryId,
        near: impl Iterator<Item = &'a Presence>,
    ) -> Upstream {
        self.avoided.retain(|(until, _)| now < *until);
        self.leads = false;
        let around = now < self.around;
        if now < self.direct && !around {
            return Upstream::Store;
        }
        let avoided = |name: &EntryId| self.avoided.iter().any(|(_, n)| n == name);
        let usable = near.filter(|p| p.peer.is_some() && !avoided(&p.name));
        let mut usable: Vec<&Presence> = usable.collect();
        usable.sort_by(|a, b| (Reverse(a.link), &a.name).cmp(&(Reverse(b.link), &b.name)));
        self.leads = usable.len() > 1 && usable[0].name == *me;
        let mut asked = usable.iter().filter(|p| !around || p.name != *me);
        match asked.next().map(|p| (p, p.peer)) {
            Some((p, Some(addr))) if p.name != *me => Upstream::Entry(p.name.clone(), addr),
            _ => Upstream::Store,
        }
    }

    /// Tells whether the last choice was the store because others follow this
    /// entry.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Notes that an upstream failed or knew nothing recent.
    pub fn failed(&mut self, now: Millis, upstream: &Upstream) {
        match upstream {
            Upstream::Store => self.around = now + AROUND,
            Upstream::Entry(name, _) => {
                self.avoided.push((now + AVOID, name.clone()));
                self.direct = now + DIRECT;
                self.around = now;
            }
        }
    }

    /// Notes that the store answered.
    pub fn answered(&mut self, now: Millis) {
        self.around = now;
    }
}
