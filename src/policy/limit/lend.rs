//! The lender's part: grants, recalls, reclaims and audits.

use super::{
    Held, Ledger, Member, Message, Outgoing, RECLAIM,
    unit::{Loan, Unit, group},
};
use crate::domain::Millis;

/// How often the borrower of slots is asked what it holds. It bounds how long a
/// lost grant or return costs a slot.
const AUDIT: Millis = Millis(4_000);

/// How long an ask for slots waits at the lender for a free unit, and how many
/// do. Without a queue, entries that contend for few slots would poll.
pub(super) const QUEUE_TIME: Millis = Millis(4_000);
const QUEUE_MAX: usize = 16;

/// An ask for slots that waits for a free unit.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) to: Member,
    ask: u64,
    want: u32,
    until: Millis,
}

/// How long a loan lasts at least before it is recalled for another entry, so
/// that contended units do not spend their time in transit.
const RECALL_AGE: Millis = Millis(1_000);

impl Ledger {
    pub(super) fn on_ask(
        &mut self,
        seat: usize,
        ask: u64,
        want: u32,
        held: u32,
        renew: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        if self.peers[seat].seen >= ask || self.seat == Some(seat) {
            return Vec::new();
        }
        self.peers[seat].seen = ask;
        let to = self.roster.members()[seat].member.clone();
        // A late ask of an entry that is gone would take units for good.
        if self.gone.contains(&to) {
            return Vec::new();
        }
        self.reclaim(now);
        let mut units = self.extend_loans(&to, ask, renew, now);
        let count = u32::try_from(units.len()).unwrap_or(u32::MAX);
        let idle = self.lendable();
        let more = want.saturating_sub(count).min(idle);
        units.extend(self.lend(&to, ask, more, now));
        let lack = want > more + count;
        if units.is_empty() {
            let queued = self.enqueue(&to, ask, want, now);
            let mut out = vec![self.send(&to, Message::Decline { ask, queued })];
            out.extend(self.recall(Some(&to), want, held, now));
            return out;
        }
        let idle = idle - more;
        let mut out = vec![self.send(&to, Message::Grant { ask, units, idle })];
        if lack && renew.is_empty() {
            out.extend(self.recall(Some(&to), want - more, held + more, now));
        }
        out
    }

    /// Queues an ask for slots, if there is room.
    fn enqueue(&mut self, to: &Member, ask: u64, want: u32, now: Millis) -> bool {
        self.waiters.retain(|w| w.to != *to && now < w.until);
        let queued = self.is_slots() && self.waiters.len() < QUEUE_MAX;
        if queued {
            self.waiters.push(Waiter {
                to: to.clone(),
                ask,
                want,
                until: now + QUEUE_TIME,
            });
        }
        queued
    }

    /// Grants free units to the asks that wait, the oldest first.
    pub(super) fn serve_waiters(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut out = Vec::new();
        while !self.waiters.is_empty() {
            let idle = self.lendable();
            if idle == 0 {
                break;
            }
            let waiter = self.waiters.remove(0);
            if now >= waiter.until {
                continue;
            }
            let count = waiter.want.min(idle);
            let units = self.lend(&waiter.to, waiter.ask, count, now);
            let grant = Message::Grant {
                ask: waiter.ask,
                units,
                idle: idle - count,
            };
            out.push(self.send(&waiter.to, grant));
        }
        out
    }

    /// Returns how many idle units this entry does not need itself.
    fn lendable(&mut self) -> u32 {
        let need = self.demand.need(&self.limit, self.busy);
        let excess = self.usable().saturating_sub(need);
        excess.min(self.idle_owned().count().try_into().unwrap_or(u32::MAX))
    }

    fn idle_owned(&self) -> impl Iterator<Item = u32> {
        let size = self.limit.units();
        let units = (0..size).zip(&self.units);
        units.filter_map(|(i, u)| matches!(u, Unit::Free(_)).then_some(i))
    }

    fn lend(&mut self, to: &Member, ask: u64, count: u32, now: Millis) -> Vec<u32> {
        let units: Vec<u32> = self.idle_owned().take(count as usize).collect();
        let until = now + if self.is_slots() { AUDIT } else { RECLAIM };
        for &index in &units {
            self.units[index as usize] = Unit::Lent {
                loan: Loan {
                    to: to.clone(),
                    ask,
                    since: now,
                    until,
                    recalled: None,
                },
                due: false,
            };
        }
        self.refresh(now);
        units
    }

    /// Extends loans of a rate limit, except those that are wanted elsewhere.
    fn extend_loans(&mut self, to: &Member, ask: u64, renew: &[u32], now: Millis) -> Vec<u32> {
        let mut units = Vec::new();
        if self.is_slots() {
            return units;
        }
        // Under overload each owner gets its own units back in halves, so that
        // the entries settle at the equal split.
        let need = self.demand.need(&self.limit, self.busy);
        let lack = need.saturating_sub(self.usable()) as usize;
        let kept = renew.len() - lack.min(renew.len().div_ceil(2));
        for &index in &renew[..kept] {
            let Some(Unit::Lent { loan, due: false }) = self.units.get_mut(index as usize) else {
                continue;
            };
            let keeps = loan.recalled.is_none() && loan.ask < ask && loan.to == *to;
            if keeps && now < loan.until {
                loan.ask = ask;
                loan.until = now + RECLAIM;
                units.push(index);
            }
        }
        units
    }

    /// Recalls units for an entry that has `held` units and wants more, from the
    /// borrower that has the most of them. Half of the difference moves, so two
    /// borrowers settle at equal parts.
    fn recall(
        &mut self,
        wanting: Option<&Member>,
        want: u32,
        held: u32,
        now: Millis,
    ) -> Vec<Outgoing> {
        let lent = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Lent { loan, .. } if Some(&loan.to) != wanting => {
                    Some((loan.to.clone(), index))
                }
                _ => None,
            });
        let most = group(lent).into_iter().max_by_key(|(_, u)| u.len());
        let Some((to, units)) = most else {
            return Vec::new();
        };
        let count = u32::try_from(units.len()).unwrap_or(u32::MAX);
        if count <= held {
            return Vec::new();
        }
        let share = (count - held).div_ceil(2).min(want) as usize;
        let mut chosen = Vec::new();
        for index in units.into_iter().take(share) {
            let Unit::Lent { loan, .. } = &mut self.units[index as usize] else {
                continue;
            };
            // A repeated recall replaces one that was lost.
            if now >= loan.recalled.unwrap_or(loan.since) + RECALL_AGE {
                loan.recalled = Some(now);
                chosen.push((loan.ask, index));
            }
        }
        self.send_recalls(&to, chosen)
    }

    fn send_recalls(&self, to: &Member, units: Vec<(u64, u32)>) -> Vec<Outgoing> {
        let groups = group(units).into_iter();
        let recall = |(ask, units)| self.send(to, Message::Recall(Held { ask, units }));
        groups.map(recall).collect()
    }

    /// Recalls own units when this entry itself is short of them.
    pub(super) fn recall_own(&mut self, now: Millis) -> Vec<Outgoing> {
        let need = self.demand.need(&self.limit, self.busy);
        let held = self.usable();
        if need <= held {
            return Vec::new();
        }
        self.recall(None, need - held, held, now)
    }

    /// Requests the return of a lent unit that its home has asked for.
    pub(super) fn recall_due(&self, units: &[u32]) -> Vec<Outgoing> {
        let loan = |u: &u32| match &self.units[*u as usize] {
            Unit::Lent { loan, .. } => Some(((loan.to.clone(), loan.ask), *u)),
            _ => None,
        };
        let groups = group(units.iter().filter_map(loan)).into_iter();
        let recall = |((to, ask), units)| self.send(&to, Message::Recall(Held { ask, units }));
        groups.map(recall).collect()
    }

    pub(super) fn on_return(&mut self, from: &Member, held: &Held, now: Millis) -> Vec<Outgoing> {
        let ended = |loan: &Loan| loan.to == *from && loan.ask == held.ask;
        let units = held.units.iter().copied();
        let units = units.filter(|u| match self.units.get(*u as usize) {
            Some(Unit::Lent { loan, .. }) => ended(loan),
            _ => false,
        });
        let units = units.collect();
        self.end_loans(units, now)
    }

    pub(super) fn on_reconcile(
        &mut self,
        from: &Member,
        floor: u64,
        loans: &[Held],
        now: Millis,
    ) -> Vec<Outgoing> {
        // A renewed loan may be listed under its former ask.
        let listed = |u: u32| loans.iter().any(|h| h.units.contains(&u));
        let lost = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Lent { loan, .. } if loan.to == *from => {
                    (loan.ask < floor && !listed(index)).then_some(index)
                }
                _ => None,
            });
        let lost = lost.collect();
        self.end_loans(lost, now)
    }

    /// Takes units back, and hands over those that have another home now.
    fn end_loans(&mut self, units: Vec<u32>, now: Millis) -> Vec<Outgoing> {
        let mut moved = Vec::new();
        for index in units {
            let unit = &mut self.units[index as usize];
            if matches!(unit, Unit::Lent { due: true, .. }) {
                moved.push(index);
            }
            *unit = Unit::Free(now);
        }
        self.hand_over(moved)
    }

    /// Takes back units of a rate limit whose loan has expired. Those that are
    /// due to their home wait for its next survey.
    pub(super) fn reclaim(&mut self, now: Millis) {
        if self.is_slots() {
            return;
        }
        let mut changed = false;
        for unit in &mut self.units {
            if matches!(unit, Unit::Lent { loan, .. } if loan.until <= now) {
                *unit = Unit::Free(now);
                changed = true;
            }
        }
        if changed {
            self.refresh(now);
        }
    }

    /// Asks borrowers of slots what they hold.
    pub(super) fn audit(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut borrowers = Vec::new();
        if self.is_slots() {
            for unit in &mut self.units {
                if let Unit::Lent { loan, .. } = unit
                    && loan.until <= now
                {
                    loan.until = now + AUDIT;
                    if !borrowers.contains(&loan.to) {
                        borrowers.push(loan.to.clone());
                    }
                }
            }
        }
        let audit = |to| self.send(to, Message::Audit);
        borrowers.iter().map(audit).collect()
    }
}
