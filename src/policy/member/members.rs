//! The membership state machine: its state, inputs and timers.

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

/// How many random peers receive each push.
pub(super) const PEERS_PER_PUSH: usize = 3;

/// The largest burst of pushes. Each probe period adds one to the allowance,
/// which bounds the traffic when many members return after a partition.
pub(super) const PUSH_BURST_MAX: u32 = 10;

/// The maximum number of extra probes per period of members that a peer reports
/// as live and this entry considers dead. It bounds the traffic after a
/// partition.
pub(super) const RECHECKS_PER_PERIOD: usize = 5;

/// The shortest gap between two calls of [`Members::tick`] that counts as a
/// pause of this process. The caller ticks every 100 ms or less.
pub(super) const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// How long a dead member is kept and probed. It is much longer than one hour,
/// the longest partition that the design covers.
pub(super) const DEAD_RETENTION: Millis = Millis(24 * 3_600_000);

/// The timing and fan-out of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// The time between two probes of live members.
    pub probe_period: Millis,
    /// How long to wait for the acknowledgement of a direct probe before peers
    /// are asked to relay it: four times the round trip between regions.
    pub ack_timeout: Millis,
    /// How long a suspected member has to refute the suspicion.
    pub suspicion_timeout: Millis,
    /// How many peers are asked to relay a probe.
    pub relay_count: usize,
    /// The time between two probes of a dead member and a seed.
    pub reconnect_period: Millis,
    /// The time between two periodic comparisons of views.
    pub sync_period: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            probe_period: Millis(1_000),
            ack_timeout: Millis(300),
            suspicion_timeout: Millis(3_000),
            relay_count: 3,
            reconnect_period: Millis(60_000),
            sync_period: Millis(30_000),
        }
    }
}

/// Identifies a probe, so that a late acknowledgement is not attributed to a
/// later probe.
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

/// A message that the caller has to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe the entry at an address; the acknowledgement goes to
    /// [`Members::on_ack`].
    Probe {
        /// The peer address of the entry to probe.
        to: SocketAddr,
        /// The probe.
        nonce: Nonce,
        /// Records to piggyback.
        updates: Vec<Member>,
    },
    /// Ask a peer to probe another entry; the forwarded acknowledgement goes to
    /// [`Members::on_ack`] with the probed entry as its sender.
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
        /// The digest of this entry's view.
        digest: ViewDigest,
    },
}

/// Another member, with what this entry concludes about it.
#[derive(Clone, Debug)]
pub(super) struct TrackedMember {
    pub(super) record: Member,
    /// The state by which callers are directed. It differs from the record's
    /// while a reported death can still be refuted.
    pub(super) effective_state: State,
    /// When the member is declared dead unless it refutes.
    pub(super) deadline: Option<Millis>,
    /// Whether this entry raised the suspicion, after an unanswered probe.
    pub(super) suspected_here: bool,
    /// When the effective state last changed.
    pub(super) changed_at: Millis,
}

/// The probe of the current period, while it is unanswered.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) target: EntryId,
    pub(super) nonce: Nonce,
    pub(super) sent_at: Millis,
    pub(super) relayed: bool,
}

/// One entry's view of the membership. See the [module](super) for the
/// protocol.
#[derive(Clone, Debug)]
pub struct Members {
    pub(super) local: Member,
    pub(super) others: BTreeMap<EntryId, TrackedMember>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) tuning: Tuning,
    pub(super) queue: Queue,
    /// The members that remain to be probed before any is probed again.
    pub(super) probe_order: Vec<EntryId>,
    pub(super) pending: Option<PendingProbe>,
    pub(super) last_nonce: u64,
    /// Whether the queue holds a record that must be pushed instead of waiting
    /// for the next probe.
    pub(super) push: bool,
    /// How many pushes are allowed now.
    pub(super) push_credit: u32,
    /// Members to probe that a peer reports as live and this entry considers
    /// dead.
    pub(super) rechecks: BTreeSet<EntryId>,
    /// Peers with which views should be compared.
    pub(super) sync_peers: BTreeSet<EntryId>,
    pub(super) events: Vec<Event>,
    pub(super) last_tick: Option<Millis>,
    pub(super) next_probe: Millis,
    pub(super) next_reconnect: Millis,
    pub(super) next_sync: Millis,
    /// When this entry last asked a peer to compare views.
    pub(super) last_sync: Millis,
}

impl Members {
    /// Returns a view that holds only this entry. `seeds` are peer addresses
    /// through which it discovers the other members.
    #[must_use]
    pub fn new(local: Member, seeds: Vec<SocketAddr>, tuning: Tuning) -> Self {
        let mut queue = Queue::default();
        queue.push(&local.id, Urgency::High);
        Self {
            local,
            others: BTreeMap::new(),
            seeds,
            tuning,
            queue,
            probe_order: Vec::new(),
            pending: None,
            last_nonce: 0,
            push: false,
            push_credit: PUSH_BURST_MAX,
            rechecks: BTreeSet::new(),
            sync_peers: BTreeSet::new(),
            events: Vec::new(),
            last_tick: None,
            next_probe: Millis(0),
            next_reconnect: Millis(0),
            next_sync: Millis(0),
            last_sync: Millis(0),
        }
    }

    /// Returns the record of this entry.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the members to which callers may be directed, including this
    /// entry. Suspected members are included, leaving and dead ones are not.
    pub fn alive(&self) -> impl Iterator<Item = &Member> + Clone {
        let local = (self.local.state == State::Alive).then_some(&self.local);
        let usable =
            |t: &&TrackedMember| matches!(t.effective_state, State::Alive | State::Suspect);
        local
            .into_iter()
            .chain(self.others.values().filter(usable).map(|t| &t.record))
    }

    /// Returns the record and the effective state of every known member.
    pub fn all(&self) -> impl Iterator<Item = (&Member, State)> {
        let others = self.others.values().map(|t| (&t.record, t.effective_state));
        std::iter::once((&self.local, self.local.state)).chain(others)
    }

    /// Returns the record and the effective state of a member.
    #[must_use]
    pub fn get(&self, id: &EntryId) -> Option<(&Member, State)> {
        if *id == self.local.id {
            return Some((&self.local, self.local.state));
        }
        self.others.get(id).map(|t| (&t.record, t.effective_state))
    }

    /// Removes and returns the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the messages that are due. Call it every 100 ms or less, and
    /// after [`leave`](Self::leave).
    pub fn tick(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Action> {
        self.detect_pause(now, rng);
        self.expire_suspicions(now);
        let mut out = Vec::new();
        self.relay_overdue(now, rng, &mut out);
        if now >= self.next_probe {
            self.end_probe(now);
            self.start_probe(now, rng, &mut out);
            self.reprobe_suspects(now, rng, &mut out);
            self.push_credit = PUSH_BURST_MAX.min(self.push_credit + 1);
            self.next_probe = now + self.tuning.probe_period;
        }
        if now >= self.next_reconnect {
            self.reap_dead(now);
            self.reconnect(rng, &mut out);
            self.next_reconnect = now + self.tuning.reconnect_period;
        }
        self.push_to_peers(rng, &mut out);
        self.compare_views(now, rng, &mut out);
        out
    }

    /// Applies the records of a received probe and returns those to send with
    /// the acknowledgement.
    pub fn on_probe(&mut self, now: Millis, from: &EntryId, updates: Vec<Member>) -> Vec<Member> {
        self.note_contact(from);
        let stale = self.stale_ids(&updates);
        self.merge(now, updates);
        self.reply_records(from, &stale)
    }

    /// Handles an acknowledgement. `from` is the sender that it names, which
    /// differs from the probed entry if an address was reused.
    pub fn on_ack(&mut self, now: Millis, from: &EntryId, nonce: Nonce, updates: Vec<Member>) {
        self.note_contact(from);
        self.merge(now, updates);
        let answered = |p: &PendingProbe| p.nonce == nonce && p.target == *from;
        if self.pending.as_ref().is_some_and(answered) {
            self.pending = None;
        }
        if let Some(tracked) = self.others.get_mut(from)
            && matches!(tracked.record.state, State::Alive | State::Leaving)
        {
            // The suspicion of a leaving member creates no record that the
            // member could refute, so its answer alone ends the suspicion.
            tracked.deadline = None;
        }
    }

    /// Handles the failure of a probe. The next [`tick`](Self::tick) asks peers
    /// to relay it, without waiting for the timeout.
    pub fn on_error(&mut self, nonce: Nonce) {
        let timeout = self.tuning.ack_timeout;
        if let Some(pending) = self.pending.as_mut().filter(|p| p.nonce == nonce) {
            pending.sent_at = pending.sent_at - timeout;
        }
    }

    /// Handles a request to relay a probe: applies its records and returns
    /// those with which to probe `target` for the peer.
    pub fn on_relay(&mut self, now: Millis, target: &EntryId, updates: Vec<Member>) -> Vec<Member> {
        self.merge(now, updates);
        self.outgoing_records(Some(target))
    }

    /// Returns the records in which a peer's view may differ, and whether some
    /// were omitted because of the size limit.
    #[must_use]
    pub fn on_digest(&self, digest: &ViewDigest) -> (Vec<Member>, bool) {
        digest.differing(&self.local.id, self.not_dead())
    }

    /// Handles the reply to a comparison of views. `more` is true if the peer
    /// has further records that differ.
    pub fn on_records(&mut self, now: Millis, from: &EntryId, records: Vec<Member>, more: bool) {
        let mut changed = false;
        for record in records {
            let id = record.id.clone();
            let scheduled = self.queue.contains(&id);
            self.on_update(now, record);
            if !scheduled && self.queue.contains(&id) {
                self.queue.lower_urgency(&id);
                changed = true;
            }
        }
        // After a partition, most of the records may be of members that this
        // entry considers dead. These change nothing yet, and another
        // comparison would return the same reply.
        if more && changed {
            self.sync_peers.insert(from.clone());
        }
    }

    /// Applies one record from any source.
    pub fn on_update(&mut self, now: Millis, update: Member) {
        if update.id == self.local.id {
            self.refute(now, &update);
        } else if self.others.contains_key(&update.id) {
            self.replace(now, update);
        } else {
            self.add_member(now, update);
        }
    }

    /// Schedules a comparison of views with a random peer for the next tick; at
    /// most one is sent per probe period. The caller uses it while the roster
    /// lists entries that are unknown here, since messages to them would be
    /// dropped.
    pub fn request_sync(&mut self) {
        self.next_sync = Millis(0);
    }

    /// Marks this entry as leaving. The next [`tick`](Self::tick) pushes the
    /// record to peers.
    pub fn leave(&mut self) {
        self.local.state = State::Leaving;
        self.issue_version(Urgency::High);
        self.push = true;
    }

    /// Sets the load that this entry reports.
    pub fn set_load(&mut self, load: Load) {
        if self.local.load != load {
            self.local.load = load;
            self.issue_version(Urgency::Low);
        }
    }

    /// Removes a member if its incarnation is not later than `incarnation`,
    /// which the platform reports as gone.
    pub fn remove(&mut self, id: &EntryId, incarnation: Incarnation) {
        let gone = |t: &TrackedMember| t.record.incarnation <= incarnation;
        if self.others.get(id).is_some_and(gone) {
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: &EntryId) {
        self.others.remove(id);
        self.queue.remove(id);
        self.rechecks.remove(id);
        self.sync_peers.remove(id);
    }

    pub(super) fn not_dead(&self) -> impl Iterator<Item = &Member> + Clone {
        let others = self.others.values();
        let others = others.filter(|t| t.record.state != State::Dead);
        std::iter::once(&self.local).chain(others.map(|t| &t.record))
    }

    /// Returns the members of which this entry has a later version than the
    /// sender of `updates`. A later state of the same version is not included:
    /// a suspicion or a death must not be disseminated in replies, through
    /// which the two sides of a healed partition first exchange records.
    fn stale_ids(&self, updates: &[Member]) -> Vec<EntryId> {
        let outdated = |u: &&Member| {
            let held = self.others.get(&u.id).map(|t| &t.record);
            held.is_some_and(|m| (m.incarnation, m.version) > (u.incarnation, u.version))
        };
        let outdated = updates.iter().filter(outdated);
        outdated.map(|u| u.id.clone()).collect()
    }

    fn merge(&mut self, now: Millis, updates: Vec<Member>) {
        for update in updates {
            self.on_update(now, update);
        }
    }

    pub(super) fn record_event(&mut self, at: Millis, member: &EntryId, kind: EventKind) {
        self.events.push(Event {
            at,
            member: member.clone(),
            kind,
        });
    }
}
