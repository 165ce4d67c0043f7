//! The borrower's part: asks, grants, returns and expiry.

use super::{
    Held, IDLE, Ledger, Member, Message, Outgoing, Roster, TTL,
    unit::{Debt, Unit, group},
};
use crate::domain::Millis;

/// How long an ask waits for its answer. It exceeds the round trip between the
/// most distant regions several times.
const ASK_TIMEOUT: Millis = Millis(500);

/// How long a peer that has declined is left alone, at first and at most.
const BACKOFF_MIN: Millis = Millis(500);
const BACKOFF_MAX: Millis = Millis(4_000);

/// How often rate loans are renewed. All ledgers of a process renew at the same
/// multiples of this time, so that their asks share batches.
const RENEW_PERIOD: u64 = 1_300;

/// The remaining time at which a rate loan is renewed at once. It leaves room for
/// one lost ask.
const RENEW_RESERVE: Millis = Millis(600);

/// How long a queued ask stays open. It exceeds the lender's
/// [`QUEUE_TIME`](super::lend::QUEUE_TIME) by clock drift and a delayed grant.
const QUEUE_TIMEOUT: Millis = Millis(5_000);

/// How many peers are asked at the same time.
const FANOUT: u32 = 3;

/// An ask without an answer.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// Its id.
    pub(super) id: u64,
    /// The lender.
    pub(super) to: Member,
    /// When it was sent, from which a rate loan expires.
    pub(super) sent: Millis,
    /// When it is given up.
    pub(super) until: Millis,
    /// Whether the lender has queued it.
    pub(super) queued: bool,
    /// How many units it wants, beyond those to renew.
    pub(super) more: u32,
    /// Units that a survey was told are not held, so that a grant of them comes
    /// too late.
    pub(super) refused: Vec<u32>,
}

/// What an entry believes of a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peer {
    /// How many units have their home there.
    pub(super) homes: u32,
    /// How many idle units it reported last.
    idle: u32,
    /// It is not asked before this instant.
    wait: Millis,
    /// How long it is left alone after the next decline.
    backoff: Millis,
    /// Its highest ask; lower ones are duplicates or late.
    pub(super) seen: u64,
}

impl Ledger {
    /// Asks other entries for the units that this one needs, if it lacks any,
    /// and returns the messages to send. It is cheap when there is nothing to do,
    /// so it may follow every denial.
    pub fn request(&mut self, now: Millis) -> Vec<Outgoing> {
        if self.seat.is_none() {
            return Vec::new();
        }
        let mut out = self.close_asks(now);
        let need = self.demand.need(&self.limit, self.busy);
        if !self.is_slots() {
            out.extend(self.renew(need, now));
        }
        // Queued asks may take seconds, so other peers are asked meanwhile.
        let open = self.asks.iter().filter(|a| !a.queued);
        let asked: u32 = open.clone().map(|a| a.more).sum();
        let mut room = (FANOUT as usize).saturating_sub(open.count());
        let mut lack = need.saturating_sub(self.usable() + asked);
        while lack > 0 && room > 0 && now >= self.retry {
            let Some(seat) = self.best_peer(now) else {
                break;
            };
            let more = match self.peers[seat].idle {
                0 => lack.div_ceil(FANOUT),
                idle => lack.min(idle),
            };
            lack -= more;
            room -= 1;
            out.push(self.ask(seat, more, Vec::new(), now));
        }
        out
    }

    /// Returns the peer with the most idle units that may be asked now.
    fn best_peer(&mut self, now: Millis) -> Option<usize> {
        let count = self.peers.len();
        let own = self.seat.unwrap_or_default();
        let mut best = None;
        let mut retry = Millis(u64::MAX);
        // Each entry starts behind its own position, so that not all of them ask
        // the same peer first.
        for seat in (1..count).map(|i| (own + i) % count) {
            let peer = &self.peers[seat];
            if peer.homes == 0 {
                continue;
            }
            if peer.wait > now {
                retry = retry.min(peer.wait);
                continue;
            }
            let member = &self.roster.members()[seat].member;
            if self.asks.iter().any(|a| a.to == *member) || self.gone.contains(member) {
                continue;
            }
            if best.is_none_or(|(idle, _)| peer.idle > idle) {
                best = Some((peer.idle, seat));
            }
        }
        if best.is_none() {
            let open = self.asks.iter().map(|a| a.until);
            self.retry = open.chain([retry]).min().unwrap_or(retry);
        }
        best.map(|(_, seat)| seat)
    }

    fn ask(&mut self, seat: usize, more: u32, renew: Vec<u32>, now: Millis) -> Outgoing {
        let id = self.next_ask;
        self.next_ask += 1;
        let to = self.roster.members()[seat].member.clone();
        let count = u32::try_from(renew.len()).unwrap_or(u32::MAX);
        let message = Message::Ask {
            ask: id,
            want: more.saturating_add(count),
            held: self.usable(),
            renew,
        };
        let out = self.send(&to, message);
        self.asks.push(Ask {
            id,
            to,
            sent: now,
            until: now + ASK_TIMEOUT,
            queued: false,
            more,
            refused: Vec::new(),
        });
        out
    }

    /// Renews loans of a rate limit that are still needed.
    fn renew(&mut self, need: u32, now: Millis) -> Vec<Outgoing> {
        let period = now.0 / RENEW_PERIOD;
        let horizon = if period == self.renewed {
            now + RENEW_RESERVE
        } else {
            now + RENEW_RESERVE + Millis(RENEW_PERIOD)
        };
        if self.expiry > horizon {
            return Vec::new();
        }
        self.renewed = period;
        // All loans of a lender are renewed together, so that they expire
        // together the next time.
        let mut lenders: Vec<Member> = Vec::new();
        for unit in &self.units {
            if let Unit::Borrowed(debt) = unit
                && debt.until <= horizon
                && !lenders.contains(&debt.from)
                && !self.asks.iter().any(|a| a.to == debt.from)
            {
                lenders.push(debt.from.clone());
            }
        }
        let mut excess = self.held.saturating_sub(need);
        let mut due = Vec::new();
        for (index, unit) in (0..).zip(&self.units) {
            let Unit::Borrowed(debt) = unit else { continue };
            if debt.recalled || !lenders.contains(&debt.from) {
                continue;
            }
            if excess > 0 {
                excess -= 1;
                continue;
            }
            due.push((debt.from.clone(), index));
        }
        let mut out = Vec::new();
        for (lender, units) in group(due) {
            if let Some(seat) = self.roster.position(&lender) {
                out.push(self.ask(seat, 0, units, now));
            }
        }
        out
    }

    /// Gives up asks that were not answered in time. Their grants are refused if
    /// they come later.
    fn close_asks(&mut self, now: Millis) -> Vec<Outgoing> {
        let (open, late) = std::mem::take(&mut self.asks)
            .into_iter()
            .partition(|a| now < a.until);
        self.asks = open;
        let mut out = Vec::new();
        for ask in late {
            if ask.queued {
                continue;
            }
            self.back_off(&ask.to, now);
            // The lender may have granted it. A rate loan expires by itself.
            if self.is_slots() {
                out.push(self.reconcile(&ask.to));
            }
        }
        out
    }

    fn back_off(&mut self, peer: &Member, now: Millis) {
        let Some(seat) = self.roster.position(peer) else {
            return;
        };
        let peer = &mut self.peers[seat];
        peer.idle = 0;
        peer.backoff = (peer.backoff + peer.backoff).clamp(BACKOFF_MIN, BACKOFF_MAX);
        peer.wait = now + peer.backoff;
    }

    pub(super) fn on_grant(
        &mut self,
        from: &Member,
        id: u64,
        units: &[u32],
        idle: u32,
        now: Millis,
    ) -> Vec<Outgoing> {
        let open = self.asks.iter().position(|a| a.id == id && a.to == *from);
        let Some(ask) = open.map(|at| self.asks.swap_remove(at)) else {
            return self.refuse(from, id, units);
        };
        let until = if self.is_slots() {
            Millis(u64::MAX)
        } else {
            ask.sent + TTL
        };
        for &index in units {
            let Some(unit) = self.units.get_mut(index as usize) else {
                continue;
            };
            match unit {
                Unit::Absent if !ask.refused.contains(&index) => {
                    *unit = Unit::Borrowed(Debt {
                        from: from.clone(),
                        ask: id,
                        until,
                        since: now,
                        busy: false,
                        recalled: false,
                    });
                }
                Unit::Borrowed(debt) if debt.from == *from && debt.ask < id => {
                    debt.ask = id;
                    debt.until = debt.until.max(until);
                }
                _ => {}
            }
        }
        if let Some(seat) = self.roster.position(from) {
            let peer = &mut self.peers[seat];
            peer.idle = idle;
            peer.backoff = Millis(0);
            if idle == 0 && ask.more > 0 {
                peer.wait = now + BACKOFF_MIN;
            }
        }
        self.retry = Millis(0);
        self.refresh(now);
        self.expire(now);
        let mut out = self.refuse(from, id, units);
        if ask.queued {
            out.extend(self.return_excess(units));
        }
        self.refresh(now);
        out.extend(self.request(now));
        out
    }

    /// Returns those of the units just granted that are no longer needed, because
    /// other entries wait for them too.
    fn return_excess(&mut self, units: &[u32]) -> Vec<Outgoing> {
        let need = self.demand.need(&self.limit, self.busy);
        let excess = self.usable().saturating_sub(need) as usize;
        let spare = units.iter().copied().filter(|u| self.spare.contains(u));
        let spare = spare.take(excess).collect();
        self.give_back(spare)
    }

    /// Returns units of a grant that are not held: it came too late, or a copy of
    /// it came after the return.
    fn refuse(&self, from: &Member, ask: u64, units: &[u32]) -> Vec<Outgoing> {
        let held = |u: u32| match self.units.get(u as usize) {
            // It may also be held under an earlier ask that this one renewed.
            Some(Unit::Borrowed(debt)) => debt.from == *from,
            _ => false,
        };
        let units: Vec<u32> = units.iter().copied().filter(|u| !held(*u)).collect();
        if units.is_empty() {
            return Vec::new();
        }
        vec![self.send(from, Message::Return(Held { ask, units }))]
    }

    pub(super) fn on_decline(
        &mut self,
        from: &Member,
        id: u64,
        queued: bool,
        now: Millis,
    ) -> Vec<Outgoing> {
        let open = self.asks.iter().position(|a| a.id == id && a.to == *from);
        let Some(at) = open else {
            return Vec::new();
        };
        if queued {
            let ask = &mut self.asks[at];
            ask.queued = true;
            ask.until = ask.sent + QUEUE_TIMEOUT;
        } else {
            self.asks.swap_remove(at);
            self.back_off(from, now);
        }
        self.request(now)
    }

    pub(super) fn on_recall(&mut self, from: &Member, held: &Held) -> Vec<Outgoing> {
        let mut idle = Vec::new();
        for &index in &held.units {
            let Some(Unit::Borrowed(debt)) = self.units.get_mut(index as usize) else {
                continue;
            };
            if debt.from != *from || debt.ask != held.ask {
                continue;
            }
            debt.recalled = true;
            if !debt.busy {
                idle.push(index);
            }
        }
        self.give_back(idle)
    }

    /// Returns borrowed units that are not in use.
    pub(super) fn give_back(&mut self, units: Vec<u32>) -> Vec<Outgoing> {
        let mut debts = Vec::new();
        for index in units {
            let unit = &mut self.units[index as usize];
            if let Unit::Borrowed(debt) = unit
                && !debt.busy
            {
                debts.push(((debt.from.clone(), debt.ask), index));
                *unit = Unit::Absent;
            }
        }
        let known = |m: &Member| self.roster.position(m).is_some();
        let groups = group(debts).into_iter().filter(|((m, _), _)| known(m));
        let back = |((to, ask), units)| self.send(&to, Message::Return(Held { ask, units }));
        groups.map(back).collect()
    }

    /// Returns borrowed units that were idle for [`IDLE`] and are not needed.
    pub(super) fn return_idle(&mut self, now: Millis) -> Vec<Outgoing> {
        self.refresh(now);
        let need = self.demand.need(&self.limit, self.busy);
        let excess = self.usable().saturating_sub(need);
        if excess == 0 {
            self.surplus = None;
            return Vec::new();
        }
        let since = *self.surplus.get_or_insert(now);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let idle: Vec<u32> = if self.is_slots() {
            let is_idle = |u: &u32| match &self.units[*u as usize] {
                Unit::Borrowed(debt) => now >= debt.since + IDLE,
                _ => false,
            };
            let spare = self.spare.iter().copied();
            spare.filter(is_idle).take(excess).collect()
        } else if now >= since + IDLE {
            self.idle_debts().take(excess).collect()
        } else {
            Vec::new()
        };
        let out = self.give_back(idle);
        self.refresh(now);
        out
    }

    /// Returns the borrowed units that no request uses.
    pub(super) fn idle_debts(&self) -> impl Iterator<Item = u32> {
        let units = (0..).zip(&self.units);
        units.filter_map(|(i, u)| matches!(u, Unit::Borrowed(d) if !d.busy).then_some(i))
    }

    /// Drops borrowed units whose loan has expired.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.expiry {
            return;
        }
        for unit in &mut self.units {
            if matches!(unit, Unit::Borrowed(debt) if !debt.busy && debt.until <= now) {
                *unit = Unit::Absent;
            }
        }
        self.refresh(now);
    }

    /// Returns the report of everything held from a lender.
    pub(super) fn reconcile(&self, lender: &Member) -> Outgoing {
        let open = self.asks.iter().filter(|a| a.to == *lender);
        let floor = open.map(|a| a.id).min().unwrap_or(self.next_ask);
        let held = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Borrowed(debt) if debt.from == *lender => Some((debt.ask, index)),
                _ => None,
            });
        let loans = group(held).into_iter();
        let loans = loans.map(|(ask, units)| Held { ask, units }).collect();
        self.send(lender, Message::Reconcile { floor, loans })
    }

    /// Carries what is known of peers over to a new roster.
    pub(super) fn move_peers(&mut self, former: &Roster) {
        let seats = self.roster.members().iter();
        let known = |m| former.position(m).and_then(|at| self.peers.get(at));
        let peers = seats.map(|s| known(&s.member).copied().unwrap_or_default());
        self.peers = peers.collect();
    }

    /// Counts the homes of each peer, which are its idle units at first.
    pub(super) fn count_homes(&mut self) {
        self.peers
            .resize(self.roster.members().len(), Peer::default());
        for peer in &mut self.peers {
            peer.homes = 0;
        }
        for &seat in self.homes.iter().flatten() {
            self.peers[seat].homes += 1;
        }
        for peer in &mut self.peers {
            peer.idle = peer.homes;
            peer.wait = Millis(0);
        }
    }
}
