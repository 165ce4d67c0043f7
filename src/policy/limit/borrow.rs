//! The borrower's side of the protocol: borrow requests, grants, returns and
//! expiry.

use super::{
    HeldUnits, IDLE_TIMEOUT, LOAN_TTL, Ledger, Member, Message, Outgoing, Roster,
    unit::{BorrowedUnit, Unit, group_by_key},
};
use crate::domain::Millis;

/// How long a borrow request waits for its answer: several round trips between the
/// most distant regions.
const REQUEST_TIMEOUT: Millis = Millis(500);

/// The first and the longest backoff before a peer that has declined a request, or
/// has not answered it, is asked again.
const MIN_BACKOFF: Millis = Millis(500);
const MAX_BACKOFF: Millis = Millis(4_000);

/// How often rate loans are renewed, in milliseconds. All ledgers of a process
/// renew at the same multiples of this period, so that their requests share
/// batches.
const RENEW_PERIOD_MS: u64 = 1_300;

/// A rate loan with less time left than this is renewed at once. The margin
/// allows for one lost request.
const RENEW_MARGIN: Millis = Millis(600);

/// How long a request that the lender has queued stays open. It exceeds
/// [`LENDER_QUEUE_TIMEOUT`](super::lend::LENDER_QUEUE_TIMEOUT) to allow for clock
/// drift and a delayed grant.
const QUEUED_TIMEOUT: Millis = Millis(5_000);

/// The most peers that are asked for units at the same time, not counting those
/// that have queued the request.
const FANOUT: u32 = 3;

/// A borrow request that has not been granted or declined yet.
#[derive(Clone, Debug)]
pub(super) struct BorrowRequest {
    /// Its id, unique within this incarnation.
    pub(super) id: u64,
    /// The entry that it was sent to.
    pub(super) lender: Member,
    /// When it was sent. The time to live of a rate loan starts here.
    pub(super) sent_at: Millis,
    /// When it times out.
    pub(super) deadline: Millis,
    /// Whether the lender has queued it.
    pub(super) queued: bool,
    /// How many units it requests in addition to those that it renews.
    pub(super) additional: u32,
    /// Units that this entry has reported as not held in a survey. A later grant
    /// of them is not accepted.
    pub(super) refused_units: Vec<u32>,
}

/// What an entry knows about a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peer {
    /// How many units have their home at the peer.
    pub(super) home_units: u32,
    /// The number of idle units that it last reported.
    idle_units: u32,
    /// No request is sent to it before this time.
    retry_at: Millis,
    /// The current backoff; it doubles with each failed request.
    backoff: Millis,
    /// The highest id of its borrow requests. Requests with the same or a lower
    /// id are duplicates or late.
    pub(super) last_request: u64,
}

impl Ledger {
    /// Requests the units that this entry needs but does not have, and returns the
    /// messages to send. The call is cheap when there is nothing to do, so it may
    /// follow every denial.
    pub fn request_units(&mut self, now: Millis) -> Vec<Outgoing> {
        if self.position.is_none() {
            return Vec::new();
        }
        let mut out = self.expire_requests(now);
        let need = self.demand.need(&self.limit, self.busy);
        if !self.is_slots() {
            out.extend(self.renew(need, now));
        }
        // A queued request may take seconds, so other peers are asked meanwhile.
        let open = self.open_requests.iter().filter(|r| !r.queued);
        let requested: u32 = open.clone().map(|r| r.additional).sum();
        let mut remaining = (FANOUT as usize).saturating_sub(open.count());
        let mut shortage = need.saturating_sub(self.usable() + requested);
        while shortage > 0 && remaining > 0 && now >= self.retry_at {
            let Some(position) = self.best_peer(now) else {
                break;
            };
            let additional = match self.peers[position].idle_units {
                0 => shortage.div_ceil(FANOUT),
                idle => shortage.min(idle),
            };
            shortage -= additional;
            remaining -= 1;
            out.push(self.send_request(position, additional, Vec::new(), now));
        }
        out
    }

    /// Returns the position of the peer with the most idle units that may be asked
    /// now.
    fn best_peer(&mut self, now: Millis) -> Option<usize> {
        let count = self.peers.len();
        let own = self.position.unwrap_or_default();
        let mut best = None;
        let mut earliest = Millis(u64::MAX);
        // Each entry starts after its own position, so that not all of them ask
        // the same peer first.
        for position in (1..count).map(|i| (own + i) % count) {
            let peer = &self.peers[position];
            if peer.home_units == 0 {
                continue;
            }
            if peer.retry_at > now {
                earliest = earliest.min(peer.retry_at);
                continue;
            }
            let member = &self.roster.members()[position].member;
            if self.open_requests.iter().any(|r| r.lender == *member) || self.gone.contains(member)
            {
                continue;
            }
            if best.is_none_or(|(idle, _)| peer.idle_units > idle) {
                best = Some((peer.idle_units, position));
            }
        }
        if best.is_none() {
            let open = self.open_requests.iter().map(|r| r.deadline);
            self.retry_at = open.chain([earliest]).min().unwrap_or(earliest);
        }
        best.map(|(_, position)| position)
    }

    fn send_request(
        &mut self,
        position: usize,
        additional: u32,
        renew: Vec<u32>,
        now: Millis,
    ) -> Outgoing {
        let id = self.next_request;
        self.next_request += 1;
        let lender = self.roster.members()[position].member.clone();
        let count = u32::try_from(renew.len()).unwrap_or(u32::MAX);
        let message = Message::Borrow {
            request_id: id,
            want: additional.saturating_add(count),
            held: self.usable(),
            renew,
        };
        let out = self.send(&lender, message);
        self.open_requests.push(BorrowRequest {
            id,
            lender,
            sent_at: now,
            deadline: now + REQUEST_TIMEOUT,
            queued: false,
            additional,
            refused_units: Vec::new(),
        });
        out
    }

    /// Renews the loans of a rate limit that are still needed.
    fn renew(&mut self, need: u32, now: Millis) -> Vec<Outgoing> {
        let period = now.0 / RENEW_PERIOD_MS;
        let horizon = if period == self.renew_period {
            now + RENEW_MARGIN
        } else {
            now + RENEW_MARGIN + Millis(RENEW_PERIOD_MS)
        };
        if self.next_expiry > horizon {
            return Vec::new();
        }
        self.renew_period = period;
        // All loans of a lender are renewed together, so that they expire
        // together the next time.
        let mut lenders: Vec<Member> = Vec::new();
        for unit in &self.units {
            if let Unit::Borrowed(loan) = unit
                && loan.expires_at <= horizon
                && !lenders.contains(&loan.lender)
                && !self.open_requests.iter().any(|r| r.lender == loan.lender)
            {
                lenders.push(loan.lender.clone());
            }
        }
        let mut excess = self.held.saturating_sub(need);
        let mut renewals = Vec::new();
        for (index, unit) in (0..).zip(&self.units) {
            let Unit::Borrowed(loan) = unit else { continue };
            if loan.recalled || !lenders.contains(&loan.lender) {
                continue;
            }
            if excess > 0 {
                excess -= 1;
                continue;
            }
            renewals.push((loan.lender.clone(), index));
        }
        let mut out = Vec::new();
        for (lender, units) in group_by_key(renewals) {
            if let Some(position) = self.roster.position(&lender) {
                out.push(self.send_request(position, 0, units, now));
            }
        }
        out
    }

    /// Drops requests that were not answered in time. A grant that arrives later
    /// is not accepted.
    fn expire_requests(&mut self, now: Millis) -> Vec<Outgoing> {
        let (open, late) = std::mem::take(&mut self.open_requests)
            .into_iter()
            .partition(|r| now < r.deadline);
        self.open_requests = open;
        let mut out = Vec::new();
        for request in late {
            if request.queued {
                continue;
            }
            self.back_off(&request.lender, now);
            // The lender may have granted the request, and a slot loan does not
            // expire. A rate loan does.
            if self.is_slots() {
                out.push(self.reconcile_message(&request.lender));
            }
        }
        out
    }

    fn back_off(&mut self, peer: &Member, now: Millis) {
        let Some(position) = self.roster.position(peer) else {
            return;
        };
        let peer = &mut self.peers[position];
        peer.idle_units = 0;
        peer.backoff = (peer.backoff + peer.backoff).clamp(MIN_BACKOFF, MAX_BACKOFF);
        peer.retry_at = now + peer.backoff;
    }

    /// Returns the position of an open request by its lender and id.
    fn open_request(&self, lender: &Member, id: u64) -> Option<usize> {
        let mut all = self.open_requests.iter();
        all.position(|r| r.id == id && r.lender == *lender)
    }

    pub(super) fn on_grant(
        &mut self,
        from: &Member,
        id: u64,
        units: &[u32],
        idle: u32,
        now: Millis,
    ) -> Vec<Outgoing> {
        let Some(at) = self.open_request(from, id) else {
            return self.return_unheld(from, id, units);
        };
        let request = self.open_requests.swap_remove(at);
        let expires_at = if self.is_slots() {
            Millis(u64::MAX)
        } else {
            request.sent_at + LOAN_TTL
        };
        for &index in units {
            let Some(unit) = self.units.get_mut(index as usize) else {
                continue;
            };
            match unit {
                Unit::Absent if !request.refused_units.contains(&index) => {
                    *unit = Unit::Borrowed(BorrowedUnit {
                        lender: from.clone(),
                        request_id: id,
                        expires_at,
                        idle_since: now,
                        busy: false,
                        recalled: false,
                    });
                }
                Unit::Borrowed(loan) if loan.lender == *from && loan.request_id < id => {
                    loan.request_id = id;
                    loan.expires_at = loan.expires_at.max(expires_at);
                }
                _ => {}
            }
        }
        if let Some(position) = self.roster.position(from) {
            let peer = &mut self.peers[position];
            peer.idle_units = idle;
            peer.backoff = Millis(0);
            if idle == 0 && request.additional > 0 {
                peer.retry_at = now + MIN_BACKOFF;
            }
        }
        self.retry_at = Millis(0);
        self.refresh(now);
        self.drop_expired(now);
        let mut out = self.return_unheld(from, id, units);
        if request.queued {
            out.extend(self.return_excess(units));
        }
        self.refresh(now);
        out.extend(self.request_units(now));
        out
    }

    /// Returns those of the granted units that are no longer needed, because other
    /// entries may wait for them.
    fn return_excess(&mut self, units: &[u32]) -> Vec<Outgoing> {
        let need = self.demand.need(&self.limit, self.busy);
        let excess = self.usable().saturating_sub(need) as usize;
        let idle = units
            .iter()
            .copied()
            .filter(|u| self.borrowed_idle.contains(u));
        let idle = idle.take(excess).collect();
        self.return_units(idle)
    }

    /// Returns granted units that are not held here, because the grant is late or
    /// is a duplicate that arrived after the units were returned.
    fn return_unheld(&self, from: &Member, request_id: u64, units: &[u32]) -> Vec<Outgoing> {
        let held = |u: u32| match self.units.get(u as usize) {
            // It may be held under the id of the request that this one renewed.
            Some(Unit::Borrowed(loan)) => loan.lender == *from,
            _ => false,
        };
        let units: Vec<u32> = units.iter().copied().filter(|u| !held(*u)).collect();
        if units.is_empty() {
            return Vec::new();
        }
        vec![self.send(from, Message::Return(HeldUnits { request_id, units }))]
    }

    pub(super) fn on_decline(
        &mut self,
        from: &Member,
        id: u64,
        queued: bool,
        now: Millis,
    ) -> Vec<Outgoing> {
        let Some(at) = self.open_request(from, id) else {
            return Vec::new();
        };
        if queued {
            let request = &mut self.open_requests[at];
            request.queued = true;
            request.deadline = request.sent_at + QUEUED_TIMEOUT;
        } else {
            self.open_requests.swap_remove(at);
            self.back_off(from, now);
        }
        self.request_units(now)
    }

    pub(super) fn on_recall(&mut self, from: &Member, held: &HeldUnits) -> Vec<Outgoing> {
        let mut idle = Vec::new();
        for &index in &held.units {
            let Some(Unit::Borrowed(loan)) = self.units.get_mut(index as usize) else {
                continue;
            };
            if loan.lender != *from || loan.request_id != held.request_id {
                continue;
            }
            loan.recalled = true;
            if !loan.busy {
                idle.push(index);
            }
        }
        self.return_units(idle)
    }

    /// Returns those of the given units that are borrowed and not in use.
    pub(super) fn return_units(&mut self, units: Vec<u32>) -> Vec<Outgoing> {
        let mut returned = Vec::new();
        for index in units {
            let unit = &mut self.units[index as usize];
            if let Unit::Borrowed(loan) = unit
                && !loan.busy
            {
                returned.push(((loan.lender.clone(), loan.request_id), index));
                *unit = Unit::Absent;
            }
        }
        let known = |m: &Member| self.roster.position(m).is_some();
        let groups = group_by_key(returned)
            .into_iter()
            .filter(|((m, _), _)| known(m));
        let return_message = |((to, request_id), units)| {
            self.send(&to, Message::Return(HeldUnits { request_id, units }))
        };
        groups.map(return_message).collect()
    }

    /// Returns borrowed units that are not needed: slots that have been idle for
    /// [`IDLE_TIMEOUT`], and units of a rate after there was an excess for that long.
    pub(super) fn return_idle(&mut self, now: Millis) -> Vec<Outgoing> {
        self.refresh(now);
        let need = self.demand.need(&self.limit, self.busy);
        let excess = self.usable().saturating_sub(need);
        if excess == 0 {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let idle: Vec<u32> = if self.is_slots() {
            let is_idle = |u: &u32| match &self.units[*u as usize] {
                Unit::Borrowed(loan) => now >= loan.idle_since + IDLE_TIMEOUT,
                _ => false,
            };
            let idle = self.borrowed_idle.iter().copied();
            idle.filter(is_idle).take(excess).collect()
        } else if now >= since + IDLE_TIMEOUT {
            self.idle_borrowed().take(excess).collect()
        } else {
            Vec::new()
        };
        let out = self.return_units(idle);
        self.refresh(now);
        out
    }

    /// Iterates over the borrowed units that are not in use.
    pub(super) fn idle_borrowed(&self) -> impl Iterator<Item = u32> {
        let units = (0..).zip(&self.units);
        units.filter_map(|(i, u)| matches!(u, Unit::Borrowed(loan) if !loan.busy).then_some(i))
    }

    /// Drops borrowed units whose loan has expired.
    pub(super) fn drop_expired(&mut self, now: Millis) {
        if now < self.next_expiry {
            return;
        }
        for unit in &mut self.units {
            if matches!(unit, Unit::Borrowed(loan) if !loan.busy && loan.expires_at <= now) {
                *unit = Unit::Absent;
            }
        }
        self.refresh(now);
    }

    /// Returns a message that lists all units borrowed from a lender.
    pub(super) fn reconcile_message(&self, lender: &Member) -> Outgoing {
        let open = self.open_requests.iter().filter(|r| r.lender == *lender);
        let floor = open.map(|r| r.id).min().unwrap_or(self.next_request);
        let held = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Borrowed(loan) if loan.lender == *lender => Some((loan.request_id, index)),
                _ => None,
            });
        let loans = group_by_key(held).into_iter();
        let loans = loans
            .map(|(request_id, units)| HeldUnits { request_id, units })
            .collect();
        self.send(lender, Message::Reconcile { floor, loans })
    }

    /// Moves the peers' state to their positions in the new roster.
    pub(super) fn reindex_peers(&mut self, former: &Roster) {
        let members = self.roster.members().iter();
        let known = |m| former.position(m).and_then(|at| self.peers.get(at));
        let peers = members.map(|m| known(&m.member).copied().unwrap_or_default());
        self.peers = peers.collect();
    }

    /// Counts the units that have their home at each peer, and assumes that all of
    /// them are idle until the peer reports a number.
    pub(super) fn count_home_units(&mut self) {
        self.peers
            .resize(self.roster.members().len(), Peer::default());
        for peer in &mut self.peers {
            peer.home_units = 0;
        }
        for &position in self.home_positions.iter().flatten() {
            self.peers[position].home_units += 1;
        }
        for peer in &mut self.peers {
            peer.idle_units = peer.home_units;
            peer.retry_at = Millis(0);
        }
    }
}
