//! One entry's view of one limit: admission, and the dispatch of the rest.

use std::sync::Arc;

use super::{
    Item, Limit, Member, Message, Outgoing, Roster,
    borrow::{Ask, Peer},
    bucket::Bucket,
    demand::Demand,
    lend::Waiter,
    survey::Round,
    unit::Unit,
};
use crate::domain::{Epoch, LimitName, Millis};

/// The right to run one request. It is handed back to [`Ledger::release`].
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit that is dropped keeps its unit for good"]
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

/// What a ledger holds, for operators and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// The limit's units.
    pub size: u32,
    /// Units that this entry may use, including those in use.
    pub usable: u32,
    /// Units in use by requests.
    pub busy: u32,
    /// Usable units that are borrowed.
    pub borrowed: u32,
    /// Units lent to others.
    pub lent: u32,
    /// Units that this entry is the home of but does not have yet.
    pub missing: u32,
    /// Units that this entry needs.
    pub need: u32,
}

/// One entry's part of a limit.
///
/// A ledger must be kept as long as its process lives, even if no document
/// names the limit any more: what it has lent or runs is recorded only here.
#[derive(Debug)]
pub struct Ledger {
    pub(super) name: LimitName,
    pub(super) me: Member,
    pub(super) limit: Limit,
    pub(super) roster: Arc<Roster>,
    /// This entry's position in the roster.
    pub(super) seat: Option<usize>,
    /// The position of each unit's home.
    pub(super) homes: Vec<Option<usize>>,
    pub(super) units: Vec<Unit>,
    /// Usable idle slots that are owned, the latest used last.
    pub(super) free: Vec<u32>,
    /// Usable idle slots that are borrowed, the latest used last.
    pub(super) spare: Vec<u32>,
    pub(super) busy: u32,
    /// Usable units of a rate limit.
    pub(super) held: u32,
    /// When the first borrowed unit of a rate limit expires.
    pub(super) expiry: Millis,
    pub(super) missing: u32,
    /// Since when a rate limit has more units than it needs.
    pub(super) surplus: Option<Millis>,
    pub(super) bucket: Bucket,
    pub(super) demand: Demand,
    pub(super) peers: Vec<Peer>,
    pub(super) asks: Vec<Ask>,
    pub(super) next_ask: u64,
    /// The period of the last renewal.
    pub(super) renewed: u64,
    /// No peer is worth an ask before this instant.
    pub(super) retry: Millis,
    /// Asks of others that wait for a free slot.
    pub(super) waiters: Vec<Waiter>,
    pub(super) round: Round,
    /// Members of the roster that the platform has reported gone.
    pub(super) gone: Vec<Member>,
}

impl Ledger {
    /// Returns a ledger without units and without a roster.
    #[must_use]
    pub fn new(name: LimitName, me: Member, limit: Limit) -> Self {
        let mut ledger = Self {
            name,
            me,
            limit,
            roster: Arc::default(),
            seat: None,
            homes: Vec::new(),
            units: Vec::new(),
            free: Vec::new(),
            spare: Vec::new(),
            busy: 0,
            held: 0,
            expiry: Millis(u64::MAX),
            missing: 0,
            surplus: None,
            bucket: Bucket::default(),
            demand: Demand::default(),
            peers: Vec::new(),
            asks: Vec::new(),
            next_ask: 1,
            renewed: 0,
            retry: Millis(0),
            waiters: Vec::new(),
            round: Round::default(),
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

    /// Takes a slot for a request, or returns none. After none,
    /// [`Ledger::request`] asks other entries without waiting for the next tick.
    ///
    /// Owned units come first, so that borrowed ones become idle and return.
    pub fn acquire(&mut self) -> Option<Permit> {
        let Some(unit) = self.free.pop().or_else(|| self.spare.pop()) else {
            self.demand.deny(1);
            return None;
        };
        match &mut self.units[unit as usize] {
            Unit::Borrowed(debt) => debt.busy = true,
            owned => *owned = Unit::Busy { due: false },
        }
        self.busy += 1;
        self.demand.admit(1, self.busy);
        Some(Permit { unit })
    }

    /// Gives a slot back and returns the messages to send, usually none.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by its release"
    )]
    pub fn release(&mut self, permit: Permit, now: Millis) -> Vec<Outgoing> {
        let Permit { unit } = permit;
        let fits = unit < self.limit.units() && self.seat.is_some();
        self.busy = self.busy.saturating_sub(1);
        match &mut self.units[unit as usize] {
            state @ Unit::Busy { due: false } => {
                *state = Unit::Free(now);
                if fits {
                    self.free.push(unit);
                }
                self.serve_waiters(now)
            }
            state @ Unit::Busy { due: true } => {
                *state = Unit::Free(now);
                self.hand_over(vec![unit])
            }
            Unit::Borrowed(debt) => {
                debt.busy = false;
                debt.since = now;
                if fits && !debt.recalled {
                    self.spare.push(unit);
                    return Vec::new();
                }
                self.give_back(vec![unit])
            }
            Unit::Absent | Unit::Free(_) | Unit::Lent { .. } => Vec::new(),
        }
    }

    /// Admits `amount` to a rate limit, or returns false.
    ///
    /// The caller reads its clock directly before it sends, because a loan may
    /// have expired since an earlier check.
    pub fn admit(&mut self, amount: u64, now: Millis) -> bool {
        if now >= self.expiry {
            self.expire(now);
        }
        self.refill(now, self.held);
        let admitted = self.bucket.take(amount);
        if admitted {
            self.demand.admit(amount, 0);
        } else {
            self.demand.deny(amount);
        }
        admitted
    }

    /// Handles a message and returns the messages to send.
    ///
    /// `to` is the recipient that the sender addressed. Messages for a former
    /// incarnation are ignored.
    pub fn on_message(
        &mut self,
        from: &Member,
        to: &Member,
        item: Item,
        now: Millis,
    ) -> Vec<Outgoing> {
        if *to != self.me || item.limit != self.name {
            return Vec::new();
        }
        let current = item.epoch == self.epoch() && self.seat.is_some();
        let seat = self.roster.position(from).filter(|_| current);
        let mut out = match (item.message, seat) {
            (
                Message::Ask {
                    ask,
                    want,
                    held,
                    renew,
                },
                Some(seat),
            ) => self.on_ask(seat, ask, want, held, &renew, now),
            (Message::Grant { ask, units, idle }, _) => self.on_grant(from, ask, &units, idle, now),
            (Message::Decline { ask, queued }, _) => self.on_decline(from, ask, queued, now),
            (Message::Return(held), _) => self.on_return(from, &held, now),
            (Message::Recall(held), _) => self.on_recall(from, &held),
            (Message::Audit, _) => vec![self.reconcile(from)],
            (Message::Reconcile { floor, loans }, _) => self.on_reconcile(from, floor, &loans, now),
            (Message::Survey { round, units }, Some(seat)) => {
                self.on_survey(seat, round, &units, now)
            }
            (Message::Handover { round, units, kept }, Some(seat)) => {
                self.on_handover(seat, round, &units, &kept, now)
            }
            (Message::Ask { .. } | Message::Survey { .. } | Message::Handover { .. }, None) => {
                return Vec::new();
            }
        };
        self.refresh(now);
        out.extend(self.serve_waiters(now));
        out
    }

    /// Does what is due at this time and returns the messages to send. It is
    /// expected every [`TICK`](super::TICK); a late call is harmless.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.demand.sample(now, &self.limit, self.busy);
        self.reclaim(now);
        self.expire(now);
        let mut out = self.return_idle(now);
        out.extend(self.survey(now));
        out.extend(self.audit(now));
        out.extend(self.recall_own(now));
        out.extend(self.request(now));
        self.refresh(now);
        out.extend(self.serve_waiters(now));
        out
    }

    /// Adopts the size that a document states.
    pub fn set_limit(&mut self, limit: Limit, now: Millis) -> Vec<Outgoing> {
        self.limit = limit;
        self.resize();
        self.retry = Millis(0);
        self.refresh(now);
        let beyond = |u: &u32| *u >= self.limit.units();
        let outside: Vec<u32> = self.idle_debts().filter(beyond).collect();
        let out = self.give_back(outside);
        self.refresh(now);
        out
    }

    /// Adopts a roster with a greater epoch; any other is ignored.
    pub fn set_roster(&mut self, roster: Arc<Roster>, now: Millis) {
        if roster.epoch() <= self.epoch() {
            return;
        }
        let former = std::mem::replace(&mut self.roster, roster);
        self.seat = self.roster.position(&self.me);
        self.gone.retain(|m| self.roster.position(m).is_some());
        // Grants of the former epoch are refused and so returned. The answer to a
        // survey refuses them too; here it keeps the two epochs apart.
        self.asks.clear();
        self.waiters.clear();
        self.move_peers(&former);
        self.resize();
        self.retry = Millis(0);
        self.round.restart();
        for unit in &mut self.units {
            match unit {
                Unit::Busy { due } => *due = false,
                Unit::Lent { loan, due } => {
                    *due = false;
                    if self.roster.position(&loan.to).is_none() {
                        *unit = Unit::Free(now);
                    }
                }
                Unit::Borrowed(debt) if self.roster.position(&debt.from).is_none() => {
                    if debt.busy {
                        debt.recalled = true;
                    } else {
                        *unit = Unit::Absent;
                    }
                }
                Unit::Absent | Unit::Free(_) | Unit::Borrowed(_) => {}
            }
        }
        self.refresh(now);
    }

    /// Takes the platform's word that an incarnation, and every earlier one of
    /// the same entry, is gone and that none of its requests runs any more.
    pub fn on_gone(&mut self, gone: &Member, now: Millis) {
        let is_gone = |m: &Member| m.entry == gone.entry && m.incarnation <= gone.incarnation;
        for unit in &mut self.units {
            if let Unit::Lent { loan, .. } = unit
                && is_gone(&loan.to)
            {
                *unit = Unit::Free(now);
            }
        }
        self.waiters.retain(|w| !is_gone(&w.to));
        let seats = self.roster.members().iter().map(|s| &s.member);
        for member in seats.filter(|m| is_gone(m)) {
            if !self.gone.contains(member) {
                self.gone.push(member.clone());
            }
        }
        self.refresh(now);
    }

    /// Returns the units that this entry may use at this instant or that its
    /// requests use.
    #[must_use]
    pub fn units(&self, now: Millis) -> Vec<u32> {
        let valid = |u: u32| match &self.units[u as usize] {
            Unit::Borrowed(debt) => now < debt.until,
            _ => true,
        };
        let all = 0..u32::try_from(self.units.len()).unwrap_or(u32::MAX);
        let usable = |u: u32| self.is_usable(u) && valid(u);
        all.filter(|u| usable(*u) || self.is_busy(*u)).collect()
    }

    /// Returns whether this entry neither owns nor holds anything, so that it may
    /// stop without costing capacity until the platform reports it gone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.units.iter().all(|u| matches!(u, Unit::Absent))
    }

    /// Returns a summary.
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
        let idle = self.free.len() + self.spare.len();
        self.held + self.busy + u32::try_from(idle).unwrap_or(u32::MAX)
    }

    pub(super) fn is_slots(&self) -> bool {
        matches!(self.limit, Limit::Slots(_))
    }

    fn is_busy(&self, unit: u32) -> bool {
        matches!(
            &self.units[unit as usize],
            Unit::Busy { .. } | Unit::Borrowed(super::unit::Debt { busy: true, .. })
        )
    }

    /// Returns whether an idle unit may be used.
    fn is_usable(&self, unit: u32) -> bool {
        let fits = unit < self.limit.units() && self.seat.is_some();
        fits && match &self.units[unit as usize] {
            Unit::Free(_) => true,
            Unit::Borrowed(debt) => !debt.busy && !debt.recalled,
            Unit::Absent | Unit::Busy { .. } | Unit::Lent { .. } => false,
        }
    }

    /// Recomputes what admission uses, after a change of the units.
    pub(super) fn refresh(&mut self, now: Millis) {
        let former = self.held;
        self.free.clear();
        self.spare.clear();
        self.held = 0;
        self.expiry = Millis(u64::MAX);
        self.missing = 0;
        for index in 0..self.limit.units() {
            let unit = &self.units[index as usize];
            let owned = !matches!(unit, Unit::Absent | Unit::Borrowed(_));
            if !owned && self.seat.is_some() && self.homes[index as usize] == self.seat {
                self.missing += 1;
            }
            if let Unit::Borrowed(debt) = unit {
                self.expiry = self.expiry.min(debt.until);
            }
            if !self.is_usable(index) {
                continue;
            }
            match &self.units[index as usize] {
                _ if !self.is_slots() => self.held += 1,
                Unit::Borrowed(_) => self.spare.push(index),
                _ => self.free.push(index),
            }
        }
        let units = &self.units;
        let since = |u: &u32| match &units[*u as usize] {
            Unit::Free(since) => *since,
            Unit::Borrowed(debt) => debt.since,
            Unit::Absent | Unit::Busy { .. } | Unit::Lent { .. } => Millis(0),
        };
        self.free.sort_by_key(since);
        self.spare.sort_by_key(since);
        // Units that have just arrived earn nothing for the time before.
        self.refill(now, former.min(self.held));
        self.refill(now, self.held);
    }

    fn refill(&mut self, now: Millis, held: u32) {
        if let Limit::Rate { rate, grain } = self.limit {
            self.bucket.refill(now, rate, grain, held);
        }
    }

    /// Provides room for every unit and finds their homes.
    fn resize(&mut self) {
        let size = self.limit.units();
        if self.units.len() < size as usize {
            self.units.resize(size as usize, Unit::Absent);
        }
        let home = |u| self.roster.home(&self.name, u);
        self.homes = (0..size).map(home).collect();
        self.count_homes();
    }

    /// Returns a message with this ledger's limit and epoch.
    pub(super) fn send(&self, to: &Member, message: Message) -> Outgoing {
        Outgoing {
            to: to.clone(),
            item: Item {
                limit: self.name.clone(),
                epoch: self.epoch(),
                message,
            },
        }
    }
}
