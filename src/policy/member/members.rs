//! The state machine of membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    str::FromStr,
};

use rand::Rng;

use super::{
    event::{Event, EventKind},
    queue::{Queue, Urgency},
    record::{Load, Member, State},
    sync::ViewDigest,
};
use crate::domain::{EntryId, Incarnation, Millis, ParseError};

/// How many peers receive a push.
pub(super) const PUSH_PEERS: usize = 3;

/// The most pushes in a row. One more is allowed per period, which bounds the
/// traffic when many members return after a partition.
pub(super) const PUSHES_MAX: u32 = 10;

/// The most extra probes per period of members that a peer reports as live and
/// this entry holds as dead. It bounds the traffic after a partition.
pub(super) const RECHECKS: usize = 5;

/// A gap between two calls of [`Members::tick`] that counts as a pause of this
/// process. The caller ticks every 100 ms or less.
pub(super) const PAUSE_GAP: Millis = Millis(1_000);

/// How long a dead member is kept and probed. It exceeds the longest partition
/// that is planned for, one hour, by far.
pub(super) const DEAD_RETENTION: Millis = Millis(24 * 3_600_000);

/// The times and counts of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// The time between two probes.
    pub period: Millis,
    /// How long a direct probe waits before peers are asked to relay it. It is
    /// four times the round trip between regions.
    pub timeout: Millis,
    /// How long a suspected member has to refute.
    pub suspicion: Millis,
    /// How many peers relay a probe.
    pub relays: usize,
    /// The time between two probes of dead members.
    pub revisit: Millis,
    /// The time between two comparisons of views.
    pub sync: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            period: Millis(1_000),
            timeout: Millis(300),
            suspicion: Millis(3_000),
            relays: 3,
            revisit: Millis(60_000),
            sync: Millis(30_000),
        }
    }
}

/// Identifies a probe, so that a late acknowledgement is not taken for that of
/// a later probe.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Nonce(pub u64);

impl FromStr for Nonce {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let n = s.parse().map(Self);
        n.map_err(|_| ParseError::new("nonce", s, "a whole number"))
    }
}

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// What the caller has to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe the entry at an address; the acknowledgement goes to
    /// [`Members::on_ack`].
    Probe {
        /// The address for peers.
        to: SocketAddr,
        /// The probe.
        nonce: Nonce,
        /// Records to piggyback.
        updates: Vec<Member>,
    },
    /// Ask a peer to probe another entry; the forwarded acknowledgement goes to
    /// [`Members::on_ack`] in the name of the target.
    Relay {
        /// The address of the peer.
        via: SocketAddr,
        /// The entry to probe.
        target: EntryId,
        /// The address of that entry.
        to: SocketAddr,
        /// The probe.
        nonce: Nonce,
        /// Records to piggyback.
        updates: Vec<Member>,
    },
    /// Ask a peer to compare views; the reply goes to [`Members::on_records`].
    Sync {
        /// The address of the peer.
        to: SocketAddr,
        /// This entry's view.
        digest: ViewDigest,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Member,
    /// The state used for steering. It differs from the record's while a report
    /// of death can still be refuted.
    pub(super) view: State,
    /// When the member is declared dead unless it refutes.
    pub(super) deadline: Option<Millis>,
    /// Whether this entry started the suspicion.
    pub(super) mine: bool,
    /// When the view last changed.
    pub(super) since: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) target: EntryId,
    pub(super) nonce: Nonce,
    pub(super) sent: Millis,
    pub(super) relayed: bool,
}

/// The members as one entry sees them. See the [module](super) for the protocol.
#[derive(Clone, Debug)]
pub struct Members {
    pub(super) me: Member,
    pub(super) others: BTreeMap<EntryId, Entry>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) tuning: Tuning,
    pub(super) queue: Queue,
    pub(super) order: Vec<EntryId>,
    pub(super) round: Option<Round>,
    pub(super) nonce: u64,
    /// Whether a record waits that must not wait for the next probe.
    pub(super) push: bool,
    /// How many pushes are allowed at present.
    pub(super) credit: u32,
    pub(super) rechecks: BTreeSet<EntryId>,
    pub(super) syncs: BTreeSet<EntryId>,
    pub(super) events: Vec<Event>,
    pub(super) ticked: Option<Millis>,
    pub(super) probe_at: Millis,
    pub(super) revisit_at: Millis,
    pub(super) sync_at: Millis,
    /// When views were last compared.
    pub(super) synced: Millis,
}

impl Members {
    /// Returns a membership of this entry alone. `seeds` are peer addresses
    /// through which it finds the others.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, tuning: Tuning) -> Self {
        let mut queue = Queue::default();
        queue.push(&me.id, Urgency::High);
        Self {
            me,
            others: BTreeMap::new(),
            seeds,
            tuning,
            queue,
            order: Vec::new(),
            round: None,
            nonce: 0,
            push: false,
            credit: PUSHES_MAX,
            rechecks: BTreeSet::new(),
            syncs: BTreeSet::new(),
            events: Vec::new(),
            ticked: None,
            probe_at: Millis(0),
            revisit_at: Millis(0),
            sync_at: Millis(0),
            synced: Millis(0),
        }
    }

    /// Returns the record of this entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the members to which callers may be sent, this entry included.
    /// Suspected members are among them, leaving and dead ones are not.
    pub fn alive(&self) -> impl Iterator<Item = &Member> + Clone {
        let me = (self.me.state == State::Alive).then_some(&self.me);
        let usable = |e: &&Entry| matches!(e.view, State::Alive | State::Suspect);
        me.into_iter()
            .chain(self.others.values().filter(usable).map(|e| &e.record))
    }

    /// Returns every known member's record and the state used for steering.
    pub fn all(&self) -> impl Iterator<Item = (&Member, State)> {
        let others = self.others.values().map(|e| (&e.record, e.view));
        std::iter::once((&self.me, self.me.state)).chain(others)
    }

    /// Returns the record of a member and the state used for steering.
    #[must_use]
    pub fn get(&self, id: &EntryId) -> Option<(&Member, State)> {
        if *id == self.me.id {
            return Some((&self.me, self.me.state));
        }
        self.others.get(id).map(|e| (&e.record, e.view))
    }

    /// Returns and clears the events since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the messages that are due. Call it every 100 ms or less, and
    /// after [`leave`](Self::leave).
    pub fn tick(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Action> {
        self.notice_pause(now, rng);
        self.expire(now);
        let mut out = Vec::new();
        self.relay(now, rng, &mut out);
        if now >= self.probe_at {
            self.end_round(now);
            self.start_round(now, rng, &mut out);
            self.probe_again(now, rng, &mut out);
            self.credit = PUSHES_MAX.min(self.credit + 1);
            self.probe_at = now + self.tuning.period;
        }
        if now >= self.revisit_at {
            self.forget_old(now);
            self.revisit(rng, &mut out);
            self.revisit_at = now + self.tuning.revisit;
        }
        self.push_to_peers(rng, &mut out);
        self.compare_views(now, rng, &mut out);
        out
    }

    /// Takes a probe's records and returns those of the acknowledgement.
    pub fn on_probe(&mut self, now: Millis, from: &EntryId, updates: Vec<Member>) -> Vec<Member> {
        self.contact(from);
        let stale = self.stale(&updates);
        self.merge(now, updates);
        self.reply(from, &stale)
    }

    /// Takes an acknowledgement. `from` is the sender that it names, which is
    /// another entry than the probed one if an address was reused.
    pub fn on_ack(&mut self, now: Millis, from: &EntryId, nonce: Nonce, updates: Vec<Member>) {
        self.contact(from);
        self.merge(now, updates);
        let answered = |r: &Round| r.nonce == nonce && r.target == *from;
        if self.round.as_ref().is_some_and(answered) {
            self.round = None;
        }
        if let Some(entry) = self.others.get_mut(from)
            && matches!(entry.record.state, State::Alive | State::Leaving)
        {
            // A leaving member is suspected without a record that it could
            // refute, so its answer alone ends the suspicion.
            entry.deadline = None;
        }
    }

    /// Takes the failure of a probe, so that relays are tried before the
    /// timeout.
    pub fn on_error(&mut self, nonce: Nonce) {
        let timeout = self.tuning.timeout;
        if let Some(round) = self.round.as_mut().filter(|r| r.nonce == nonce) {
            round.sent = round.sent - timeout;
        }
    }

    /// Returns the records with which to probe `target` on behalf of a peer.
    pub fn on_relay(&mut self, now: Millis, target: &EntryId, updates: Vec<Member>) -> Vec<Member> {
        self.merge(now, updates);
        self.outgoing(Some(target))
    }

    /// Returns the records in which a peer's view differs, and whether some
    /// were left out because of their size.
    #[must_use]
    pub fn on_digest(&self, digest: &ViewDigest) -> (Vec<Member>, bool) {
        digest.differing(&self.me.id, self.not_dead())
    }

    /// Takes the reply to a comparison. `more` is true if the peer has further
    /// records that differ.
    pub fn on_records(&mut self, now: Millis, from: &EntryId, records: Vec<Member>, more: bool) {
        let mut news = false;
        for record in records {
            let id = record.id.clone();
            let scheduled = self.queue.contains(&id);
            self.on_update(now, record);
            if !scheduled && self.queue.contains(&id) {
                self.queue.defer(&id);
                news = true;
            }
        }
        // After a partition most records can be of members that are held dead
        // here. These change nothing yet, and the same reply would come again.
        if more && news {
            self.syncs.insert(from.clone());
        }
    }

    /// Takes one record, from wherever it comes.
    pub fn on_update(&mut self, now: Millis, update: Member) {
        if update.id == self.me.id {
            self.refute(now, &update);
        } else if self.others.contains_key(&update.id) {
            self.replace(now, update);
        } else {
            self.admit(now, update);
        }
    }

    /// Compares views with a peer at the next chance, at most once a second. It
    /// is called while the roster lists entries that are not known here, since
    /// messages to them would be dropped.
    pub fn compare_soon(&mut self) {
        self.sync_at = Millis(0);
    }

    /// Marks this entry as leaving. The next [`tick`](Self::tick) pushes it.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.issue(Urgency::High);
        self.push = true;
    }

    /// Reports this entry's load.
    pub fn set_load(&mut self, load: Load) {
        if self.me.load != load {
            self.me.load = load;
            self.issue(Urgency::Low);
        }
    }

    /// Forgets a member whose incarnation the platform reports as gone.
    pub fn remove(&mut self, id: &EntryId, incarnation: Incarnation) {
        let gone = |e: &Entry| e.record.incarnation <= incarnation;
        if self.others.get(id).is_some_and(gone) {
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: &EntryId) {
        self.others.remove(id);
        self.queue.remove(id);
        self.rechecks.remove(id);
        self.syncs.remove(id);
    }

    pub(super) fn not_dead(&self) -> impl Iterator<Item = &Member> + Clone {
        let others = self.others.values();
        let others = others.filter(|e| e.record.state != State::Dead);
        std::iter::once(&self.me).chain(others.map(|e| &e.record))
    }

    /// Returns the members of which this entry has a later version. A later state
    /// of the same version is left out: a suspicion or a death must not spread
    /// through replies, where the two sides of a former partition meet.
    fn stale(&self, updates: &[Member]) -> Vec<EntryId> {
        let behind = |u: &&Member| {
            let held = self.others.get(&u.id).map(|e| &e.record);
            held.is_some_and(|m| (m.incarnation, m.version) > (u.incarnation, u.version))
        };
        let behind = updates.iter().filter(behind);
        behind.map(|u| u.id.clone()).collect()
    }

    fn merge(&mut self, now: Millis, updates: Vec<Member>) {
        for update in updates {
            self.on_update(now, update);
        }
    }

    pub(super) fn note(&mut self, at: Millis, member: &EntryId, kind: EventKind) {
        self.events.push(Event {
            at,
            member: member.clone(),
            kind,
        });
    }
}
