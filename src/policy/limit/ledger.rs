//! The ledger of a limit at one entry: admission, message dispatch and
//! configuration.

use std::sync::Arc;

use super::{
    Envelope, Limit, Member, Message, Outgoing, Roster,
    borrow::{BorrowRequest, Peer},
    bucket::{Bucket, Size},
    demand::Demand,
    lend::QueuedRequest,
    survey::SurveyRound,
    unit::Unit,
};
use crate::domain::{Epoch, LimitName, Millis};

/// A permit to run one request. It must be passed to [`Ledger::release`].
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a dropped permit never releases its unit"]
pub struct Permit {
    unit: u32,
}

impl Permit {
    /// Returns the number of the unit.
    #[must_use]
    pub fn unit(&self) -> u32 {
        self.unit
    }
}

/// A summary of a ledger for operators and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The number of units of the limit.
    pub size: u32,
    /// Units that this entry may use, including those in use.
    pub usable: u32,
    /// Units in use by requests.
    pub busy: u32,
    /// Usable units that are borrowed.
    pub borrowed: u32,
    /// Units lent to others.
    pub lent: u32,
    /// Units whose home this entry is but that it does not own yet.
    pub missing: u32,
    /// Units that this entry needs.
    pub need: u32,
}

/// The state of a limit at one entry.
///
/// A ledger must be kept for the lifetime of the process, even if no document names
/// the limit any more: its loans and running requests are recorded only here.
#[derive(Debug)]
pub struct Ledger {
    pub(super) name: LimitName,
    pub(super) member: Member,
    pub(super) limit: Limit,
    pub(super) roster: Arc<Roster>,
    /// This entry's position in the roster.
    pub(super) position: Option<usize>,
    /// The position of each unit's home.
    pub(super) home_positions: Vec<Option<usize>>,
    pub(super) units: Vec<Unit>,
    /// Usable idle slots that are owned, the most recently used last.
    pub(super) owned_idle: Vec<u32>,
    /// Usable idle slots that are borrowed, the most recently used last.
    pub(super) borrowed_idle: Vec<u32>,
    pub(super) busy: u32,
    /// Usable units of a rate limit.
    pub(super) held: u32,
    /// When the first borrowed unit of a rate limit expires.
    pub(super) next_expiry: Millis,
    pub(super) missing: u32,
    /// Since when this entry has had more units than it needs.
    pub(super) surplus_since: Option<Millis>,
    pub(super) bucket: Bucket,
    /// Until when units of other entries are not waited for.
    pub(super) dry_until: Millis,
    pub(super) demand: Demand,
    pub(super) peers: Vec<Peer>,
    pub(super) open_requests: Vec<BorrowRequest>,
    pub(super) next_request: u64,
    /// The period in which loans were last renewed, see `RENEW_PERIOD_MS`.
    pub(super) renew_period: u64,
    /// The earliest time at which a peer can be asked again.
    pub(super) retry_at: Millis,
    /// Requests of other entries that wait for a free slot.
    pub(super) queue: Vec<QueuedRequest>,
    pub(super) round: SurveyRound,
    /// Members of the roster that the platform has reported gone.
    pub(super) gone: Vec<Member>,
}

impl Ledger {
    /// Returns a ledger that has no units and no roster yet.
    #[must_use]
    pub fn new(name: LimitName, member: Member, limit: Limit) -> Self {
        let mut ledger = Self {
            name,
            member,
            limit,
            roster: Arc::default(),
            position: None,
            home_positions: Vec::new(),
            units: Vec::new(),
            owned_idle: Vec::new(),
            borrowed_idle: Vec::new(),
            busy: 0,
            held: 0,
            next_expiry: Millis(u64::MAX),
            missing: 0,
            surplus_since: None,
            bucket: Bucket::default(),
            dry_until: Millis(0),
            demand: Demand::default(),
            peers: Vec::new(),
            open_requests: Vec::new(),
            next_request: 1,
            renew_period: 0,
            retry_at: Millis(0),
            queue: Vec::new(),
            round: SurveyRound::default(),
            gone: Vec::new(),
        };
        ledger.resize();
        ledger
    }

    /// Returns the limit's name.
    #[must_use]
    pub fn name(&self) -> &LimitName {
        &self.name
    }

    /// Returns the limit as this entry knows it.
    #[must_use]
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the epoch of the roster in use.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.roster.epoch()
    }

    /// Takes a slot for a request, if one is available. Otherwise
    /// [`Ledger::request_units`] asks other entries before the next tick does.
    ///
    /// Owned units are taken first, so that borrowed ones become idle and are
    /// returned.
    pub fn acquire(&mut self) -> Option<Permit> {
        let Some(unit) = self.owned_idle.pop().or_else(|| self.borrowed_idle.pop()) else {
            self.demand.record_denial(1);
            return None;
        };
        match &mut self.units[unit as usize] {
            Unit::Borrowed(loan) => loan.busy = true,
            owned => *owned = Unit::Busy { claimed: false },
        }
        self.busy += 1;
        self.demand.record_admission(1, self.busy);
        Some(Permit { unit })
    }

    /// Releases a slot and returns the messages to send, usually none.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit must not be used after its release"
    )]
    pub fn release(&mut self, permit: Permit, now: Millis) -> Vec<Outgoing> {
        let Permit { unit } = permit;
        let in_range = unit < self.limit.units() && self.position.is_some();
        self.busy = self.busy.saturating_sub(1);
        match &mut self.units[unit as usize] {
            state @ Unit::Busy { claimed: false } => {
                *state = Unit::Free(now);
                if in_range {
                    self.owned_idle.push(unit);
                }
                self.serve_queue(now)
            }
            state @ Unit::Busy { claimed: true } => {
                *state = Unit::Free(now);
                self.hand_over(vec![unit])
            }
            Unit::Borrowed(loan) => {
                loan.busy = false;
                loan.idle_since = now;
                if in_range && !loan.recalled {
                    self.borrowed_idle.push(unit);
                    return Vec::new();
                }
                self.return_units(vec![unit])
            }
            Unit::Absent | Unit::Free(_) | Unit::Lent { .. } => Vec::new(),
        }
    }

    /// Returns whether a rate limit admits `amount` now.
    ///
    /// `now` must be read directly before the admitted work is sent, because a loan
    /// may have expired since an earlier check.
    pub fn admit(&mut self, amount: u64, now: Millis) -> bool {
        if now >= self.next_expiry {
            self.drop_expired(now);
        }
        self.refill(now, self.held);
        let admitted = self.bucket.take(amount);
        if admitted {
            self.demand.record_admission(amount, 0);
        } else {
            self.demand.record_denial(amount);
        }
        admitted
    }

    /// Handles a message and returns the messages to send.
    ///
    /// `to` is the recipient that the sender addressed. Messages for another
    /// incarnation are ignored.
    pub fn on_message(
        &mut self,
        from: &Member,
        to: &Member,
        envelope: Envelope,
        now: Millis,
    ) -> Vec<Outgoing> {
        if *to != self.member || envelope.limit != self.name {
            return Vec::new();
        }
        let current = envelope.epoch == self.epoch() && self.position.is_some();
        let position = self.roster.position(from).filter(|_| current);
        let mut out = match (envelope.message, position) {
            (
                Message::Borrow {
                    request_id,
                    want,
                    held,
                    renew,
                },
                Some(position),
            ) => self.on_borrow(position, request_id, want, held, &renew, now),
            (
                Message::Grant {
                    request_id,
                    units,
                    idle,
                },
                _,
            ) => self.on_grant(from, request_id, &units, idle, now),
            (Message::Decline { request_id, queued }, _) => {
                self.on_decline(from, request_id, queued, now)
            }
            (Message::Return(held), _) => self.on_return(from, &held, now),
            (Message::Recall(held), _) => self.on_recall(from, &held),
            (Message::Audit, _) => vec![self.reconcile_message(from)],
            (Message::Reconcile { floor, loans }, _) => self.on_reconcile(from, floor, &loans, now),
            (Message::Survey { round, units }, Some(position)) => {
                self.on_survey(position, round, &units, now)
            }
            (Message::Handover { round, units, kept }, Some(position)) => {
                self.on_handover(position, round, &units, &kept, now)
            }
            (Message::Borrow { .. } | Message::Survey { .. } | Message::Handover { .. }, None) => {
                return Vec::new();
            }
        };
        self.refresh(now);
        out.extend(self.serve_queue(now));
        out
    }

    /// Does the periodic work and returns the messages to send. It should be called
    /// every [`TICK_INTERVAL`](super::TICK_INTERVAL); a late call is harmless.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.demand.sample(now, &self.limit, self.busy);
        self.reclaim_expired(now);
        self.drop_expired(now);
        let mut out = self.return_idle(now);
        out.extend(self.start_survey(now));
        out.extend(self.audit_borrowers(now));
        out.extend(self.recall_for_self(now));
        out.extend(self.request_units(now));
        self.refresh(now);
        out.extend(self.serve_queue(now));
        out
    }

    /// Sets the limit and returns the messages to send.
    pub fn set_limit(&mut self, limit: Limit, now: Millis) -> Vec<Outgoing> {
        self.limit = limit;
        self.resize();
        self.retry_at = Millis(0);
        self.refresh(now);
        let beyond = |u: &u32| *u >= self.limit.units();
        let outside: Vec<u32> = self.idle_borrowed().filter(beyond).collect();
        let out = self.return_units(outside);
        self.refresh(now);
        out
    }

    /// Adopts a roster if its epoch is greater than that of the current one.
    pub fn set_roster(&mut self, roster: Arc<Roster>, now: Millis) {
        if roster.epoch() <= self.epoch() {
            return;
        }
        let former = std::mem::replace(&mut self.roster, roster);
        self.position = self.roster.position(&self.member);
        self.gone.retain(|m| self.roster.position(m).is_some());
        // Grants for requests of the former epoch are not accepted but returned.
        // The answer to a survey refuses them too; this keeps the epochs apart.
        self.open_requests.clear();
        self.queue.clear();
        self.reindex_peers(&former);
        self.resize();
        self.retry_at = Millis(0);
        self.round.restart();
        for unit in &mut self.units {
            match unit {
                Unit::Busy { claimed } => *claimed = false,
                Unit::Lent { loan, claimed } => {
                    *claimed = false;
                    if self.roster.position(&loan.borrower).is_none() {
                        *unit = Unit::Free(now);
                    }
                }
                Unit::Borrowed(loan) if self.roster.position(&loan.lender).is_none() => {
                    if loan.busy {
                        loan.recalled = true;
                    } else {
                        *unit = Unit::Absent;
                    }
                }
                Unit::Absent | Unit::Free(_) | Unit::Borrowed(_) => {}
            }
        }
        self.refresh(now);
    }

    /// Handles the platform's report that an incarnation, and every earlier one of
    /// the same entry, is gone and that none of its requests runs any more.
    pub fn on_gone(&mut self, gone: &Member, now: Millis) {
        let is_gone = |m: &Member| m.entry == gone.entry && m.incarnation <= gone.incarnation;
        for unit in &mut self.units {
            if let Unit::Lent { loan, .. } = unit
                && is_gone(&loan.borrower)
            {
                *unit = Unit::Free(now);
            }
        }
        self.queue.retain(|q| !is_gone(&q.borrower));
        let members = self.roster.members().iter().map(|s| &s.member);
        for member in members.filter(|m| is_gone(m)) {
            if !self.gone.contains(member) {
                self.gone.push(member.clone());
            }
        }
        self.refresh(now);
    }

    /// Returns the units that this entry may use now or that its requests use.
    #[must_use]
    pub fn units(&self, now: Millis) -> Vec<u32> {
        let valid = |u: u32| match &self.units[u as usize] {
            Unit::Borrowed(loan) => now < loan.expires_at,
            _ => true,
        };
        let all = 0..u32::try_from(self.units.len()).unwrap_or(u32::MAX);
        let usable = |u: u32| self.is_usable(u) && valid(u);
        all.filter(|u| usable(*u) || self.is_busy(*u)).collect()
    }

    /// Returns whether this entry neither owns nor borrows a unit. It may then stop
    /// without tying up capacity until the platform reports it gone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.units.iter().all(|u| matches!(u, Unit::Absent))
    }

    /// Returns a summary of the ledger.
    #[must_use]
    pub fn status(&self) -> Status {
        let count = |f: fn(&Unit) -> bool| {
            u32::try_from(self.units.iter().filter(|u| f(u)).count()).unwrap_or(u32::MAX)
        };
        Status {
            size: self.limit.units(),
            usable: self.usable(),
            busy: self.busy,
            borrowed: count(|u| matches!(u, Unit::Borrowed(_))),
            lent: count(|u| matches!(u, Unit::Lent { .. })),
            missing: self.missing,
            need: self.demand.need(&self.limit, self.busy),
        }
    }

    pub(super) fn usable(&self) -> u32 {
        let idle = self.owned_idle.len() + self.borrowed_idle.len();
        self.held + self.busy + u32::try_from(idle).unwrap_or(u32::MAX)
    }

    pub(super) fn is_slots(&self) -> bool {
        matches!(self.limit, Limit::Slots(_))
    }

    fn is_busy(&self, unit: u32) -> bool {
        matches!(
            &self.units[unit as usize],
            Unit::Busy { .. } | Unit::Borrowed(super::unit::BorrowedUnit { busy: true, .. })
        )
    }

    /// Returns whether a unit is idle and may be used.
    fn is_usable(&self, unit: u32) -> bool {
        let in_range = unit < self.limit.units() && self.position.is_some();
        in_range
            && match &self.units[unit as usize] {
                Unit::Free(_) => true,
                Unit::Borrowed(loan) => !loan.busy && !loan.recalled,
                Unit::Absent | Unit::Busy { .. } | Unit::Lent { .. } => false,
            }
    }

    /// Recomputes the state derived from the units, after a change of them.
    pub(super) fn refresh(&mut self, now: Millis) {
        let former = self.held;
        self.owned_idle.clear();
        self.borrowed_idle.clear();
        self.held = 0;
        self.next_expiry = Millis(u64::MAX);
        self.missing = 0;
        for index in 0..self.limit.units() {
            let unit = &self.units[index as usize];
            let owned = !matches!(unit, Unit::Absent | Unit::Borrowed(_));
            if !owned
                && self.position.is_some()
                && self.home_positions[index as usize] == self.position
            {
                self.missing += 1;
            }
            if let Unit::Borrowed(loan) = unit {
                self.next_expiry = self.next_expiry.min(loan.expires_at);
            }
            if !self.is_usable(index) {
                continue;
            }
            match &self.units[index as usize] {
                _ if !self.is_slots() => self.held += 1,
                Unit::Borrowed(_) => self.borrowed_idle.push(index),
                _ => self.owned_idle.push(index),
            }
        }
        let units = &self.units;
        let since = |u: &u32| match &units[*u as usize] {
            Unit::Free(since) => *since,
            Unit::Borrowed(loan) => loan.idle_since,
            Unit::Absent | Unit::Busy { .. } | Unit::Lent { .. } => Millis(0),
        };
        self.owned_idle.sort_by_key(since);
        self.borrowed_idle.sort_by_key(since);
        // Units that have just arrived earn no tokens for the time before.
        self.refill(now, former.min(self.held));
        self.refill(now, self.held);
    }

    fn refill(&mut self, now: Millis, held: u32) {
        if let Limit::Rate {
            rate,
            max_amount,
            burst,
        } = self.limit
        {
            let size = Size {
                rate,
                max_amount,
                burst,
            };
            self.bucket.refill(now, size, held);
        }
    }

    /// Makes room for the state of every unit and finds the units' homes.
    fn resize(&mut self) {
        let size = self.limit.units();
        if self.units.len() < size as usize {
            self.units.resize(size as usize, Unit::Absent);
        }
        let home = |u| self.roster.home(&self.name, u);
        self.home_positions = (0..size).map(home).collect();
        self.count_home_units();
    }

    /// Addresses a message and adds this ledger's limit and epoch.
    pub(super) fn send(&self, to: &Member, message: Message) -> Outgoing {
        Outgoing {
            to: to.clone(),
            envelope: Envelope {
                limit: self.name.clone(),
                epoch: self.epoch(),
                message,
            },
        }
    }
}
