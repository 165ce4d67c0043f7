//! The lender's side of the protocol: grants, recalls, reclaims and audits.

use super::{
    HeldUnits, Ledger, Member, Message, Outgoing, RECLAIM_DELAY,
    unit::{Loan, Unit, group_by_key},
};
use crate::domain::Millis;

/// How often a borrower of slots is asked which ones it holds. This bounds how long
/// a slot is unused after a grant or a return of it was lost.
const AUDIT_INTERVAL: Millis = Millis(4_000);

/// How long a request for slots waits at the lender for a free unit. Without a
/// queue, entries that contend for few slots would poll.
pub(super) const LENDER_QUEUE_TIMEOUT: Millis = Millis(4_000);

/// The most requests in the queue of a ledger.
const MAX_QUEUED: usize = 16;

/// A request for slots that waits for a free unit.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) borrower: Member,
    request_id: u64,
    want: u32,
    deadline: Millis,
}

/// The minimum age of a loan before it is recalled because units are short, and the
/// minimum time between two such recalls. Without it, contended units would spend
/// their time in transit.
const MIN_LOAN_AGE: Millis = Millis(1_000);

impl Ledger {
    pub(super) fn on_borrow(
        &mut self,
        position: usize,
        request_id: u64,
        want: u32,
        held: u32,
        renew: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        if self.peers[position].last_request >= request_id || self.position == Some(position) {
            return Vec::new();
        }
        self.peers[position].last_request = request_id;
        let borrower = self.roster.members()[position].member.clone();
        // Units lent to an entry that is gone would never be returned.
        if self.gone.contains(&borrower) {
            return Vec::new();
        }
        self.reclaim_expired(now);
        let mut units = self.extend_loans(&borrower, request_id, renew, now);
        let count = u32::try_from(units.len()).unwrap_or(u32::MAX);
        let idle = self.lendable();
        let additional = want.saturating_sub(count).min(idle);
        units.extend(self.lend(&borrower, request_id, additional, now));
        let shortage = want > additional + count;
        if units.is_empty() {
            let queued = self.enqueue(&borrower, request_id, want, now);
            let mut out = vec![self.send(&borrower, Message::Decline { request_id, queued })];
            out.extend(self.recall(Some(&borrower), want, held, now));
            return out;
        }
        let idle = idle - additional;
        let mut out = vec![self.send(
            &borrower,
            Message::Grant {
                request_id,
                units,
                idle,
            },
        )];
        if shortage && renew.is_empty() {
            out.extend(self.recall(Some(&borrower), want - additional, held + additional, now));
        }
        out
    }

    /// Queues a request for slots if there is room, and returns whether it is
    /// queued. It replaces an earlier request of the same borrower.
    fn enqueue(&mut self, borrower: &Member, request_id: u64, want: u32, now: Millis) -> bool {
        self.queue
            .retain(|q| q.borrower != *borrower && now < q.deadline);
        let queued = self.is_slots() && self.queue.len() < MAX_QUEUED;
        if queued {
            self.queue.push(QueuedRequest {
                borrower: borrower.clone(),
                request_id,
                want,
                deadline: now + LENDER_QUEUE_TIMEOUT,
            });
        }
        queued
    }

    /// Grants free units to the queued requests, oldest first.
    pub(super) fn serve_queue(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut out = Vec::new();
        while !self.queue.is_empty() {
            let idle = self.lendable();
            if idle == 0 {
                break;
            }
            let queued = self.queue.remove(0);
            if now >= queued.deadline {
                continue;
            }
            let count = queued.want.min(idle);
            let units = self.lend(&queued.borrower, queued.request_id, count, now);
            let grant = Message::Grant {
                request_id: queued.request_id,
                units,
                idle: idle - count,
            };
            out.push(self.send(&queued.borrower, grant));
        }
        out
    }

    /// Returns how many idle units this entry owns and does not need itself.
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

    fn lend(&mut self, borrower: &Member, request_id: u64, count: u32, now: Millis) -> Vec<u32> {
        let units: Vec<u32> = self.idle_owned().take(count as usize).collect();
        let deadline = now
            + if self.is_slots() {
                AUDIT_INTERVAL
            } else {
                RECLAIM_DELAY
            };
        for &index in &units {
            self.units[index as usize] = Unit::Lent {
                loan: Loan {
                    borrower: borrower.clone(),
                    request_id,
                    granted_at: now,
                    deadline,
                    recalled_at: None,
                },
                claimed: false,
            };
        }
        self.refresh(now);
        units
    }

    /// Extends loans of a rate limit, except those that were recalled, that their
    /// home has requested, or that this entry needs itself.
    fn extend_loans(
        &mut self,
        borrower: &Member,
        request_id: u64,
        renew: &[u32],
        now: Millis,
    ) -> Vec<u32> {
        let mut units = Vec::new();
        if self.is_slots() {
            return units;
        }
        // An owner that is short of units takes back at most half of the loans at
        // each renewal, so that overloaded entries converge to an equal split.
        let need = self.demand.need(&self.limit, self.busy);
        let shortage = need.saturating_sub(self.usable()) as usize;
        let kept = renew.len() - shortage.min(renew.len().div_ceil(2));
        for &index in &renew[..kept] {
            let Some(Unit::Lent {
                loan,
                claimed: false,
            }) = self.units.get_mut(index as usize)
            else {
                continue;
            };
            let renewable = loan.recalled_at.is_none()
                && loan.request_id < request_id
                && loan.borrower == *borrower;
            if renewable && now < loan.deadline {
                loan.request_id = request_id;
                loan.deadline = now + RECLAIM_DELAY;
                units.push(index);
            }
        }
        units
    }

    /// Recalls units for an entry that has `held` units and wants `want` more, from
    /// the borrower that has the most units of this entry. Half of the difference
    /// moves, so that two borrowers converge to equal shares.
    fn recall(
        &mut self,
        requester: Option<&Member>,
        want: u32,
        held: u32,
        now: Millis,
    ) -> Vec<Outgoing> {
        let lent = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Lent { loan, .. } if Some(&loan.borrower) != requester => {
                    Some((loan.borrower.clone(), index))
                }
                _ => None,
            });
        let largest = group_by_key(lent).into_iter().max_by_key(|(_, u)| u.len());
        let Some((borrower, units)) = largest else {
            return Vec::new();
        };
        let count = u32::try_from(units.len()).unwrap_or(u32::MAX);
        if count <= held {
            return Vec::new();
        }
        let share = (count - held).div_ceil(2).min(want) as usize;
        let mut recalled = Vec::new();
        for index in units.into_iter().take(share) {
            let Unit::Lent { loan, .. } = &mut self.units[index as usize] else {
                continue;
            };
            // A recall is repeated in case the previous one was lost.
            if now >= loan.recalled_at.unwrap_or(loan.granted_at) + MIN_LOAN_AGE {
                loan.recalled_at = Some(now);
                recalled.push((loan.request_id, index));
            }
        }
        self.send_recalls(&borrower, recalled)
    }

    fn send_recalls(&self, borrower: &Member, units: Vec<(u64, u32)>) -> Vec<Outgoing> {
        let groups = group_by_key(units).into_iter();
        let recall = |(request_id, units)| {
            self.send(borrower, Message::Recall(HeldUnits { request_id, units }))
        };
        groups.map(recall).collect()
    }

    /// Recalls lent units if this entry is short of units itself.
    pub(super) fn recall_for_self(&mut self, now: Millis) -> Vec<Outgoing> {
        let need = self.demand.need(&self.limit, self.busy);
        let held = self.usable();
        if need <= held {
            return Vec::new();
        }
        self.recall(None, need - held, held, now)
    }

    /// Recalls those of the given units that are lent, because their home has
    /// requested them.
    pub(super) fn recall_for_home(&self, units: &[u32]) -> Vec<Outgoing> {
        let loan = |u: &u32| match &self.units[*u as usize] {
            Unit::Lent { loan, .. } => Some(((loan.borrower.clone(), loan.request_id), *u)),
            _ => None,
        };
        let groups = group_by_key(units.iter().filter_map(loan)).into_iter();
        let recall = |((borrower, request_id), units)| {
            self.send(&borrower, Message::Recall(HeldUnits { request_id, units }))
        };
        groups.map(recall).collect()
    }

    pub(super) fn on_return(
        &mut self,
        from: &Member,
        held: &HeldUnits,
        now: Millis,
    ) -> Vec<Outgoing> {
        let matches = |loan: &Loan| loan.borrower == *from && loan.request_id == held.request_id;
        let units = held.units.iter().copied();
        let units = units.filter(|u| match self.units.get(*u as usize) {
            Some(Unit::Lent { loan, .. }) => matches(loan),
            _ => false,
        });
        let units = units.collect();
        self.end_loans(units, now)
    }

    pub(super) fn on_reconcile(
        &mut self,
        from: &Member,
        floor: u64,
        loans: &[HeldUnits],
        now: Millis,
    ) -> Vec<Outgoing> {
        // A renewed loan may be listed under the id of the previous request.
        let listed = |u: u32| loans.iter().any(|h| h.units.contains(&u));
        let lost = (0..)
            .zip(&self.units)
            .filter_map(|(index, unit)| match unit {
                Unit::Lent { loan, .. } if loan.borrower == *from => {
                    (loan.request_id < floor && !listed(index)).then_some(index)
                }
                _ => None,
            });
        let lost = lost.collect();
        self.end_loans(lost, now)
    }

    /// Ends the loans of units, and hands over those that their new home has
    /// requested.
    fn end_loans(&mut self, units: Vec<u32>, now: Millis) -> Vec<Outgoing> {
        let mut moved = Vec::new();
        for index in units {
            let unit = &mut self.units[index as usize];
            if matches!(unit, Unit::Lent { claimed: true, .. }) {
                moved.push(index);
            }
            *unit = Unit::Free(now);
        }
        self.hand_over(moved)
    }

    /// Reclaims units of a rate limit whose loan has expired. Those that their home
    /// has requested are handed over in its next survey.
    pub(super) fn reclaim_expired(&mut self, now: Millis) {
        if self.is_slots() {
            return;
        }
        let mut changed = false;
        for unit in &mut self.units {
            if matches!(unit, Unit::Lent { loan, .. } if loan.deadline <= now) {
                *unit = Unit::Free(now);
                changed = true;
            }
        }
        if changed {
            self.refresh(now);
        }
    }

    /// Asks borrowers of slots which units they hold, if an audit is due.
    pub(super) fn audit_borrowers(&mut self, now: Millis) -> Vec<Outgoing> {
        let mut borrowers = Vec::new();
        if self.is_slots() {
            for unit in &mut self.units {
                if let Unit::Lent { loan, .. } = unit
                    && loan.deadline <= now
                {
                    loan.deadline = now + AUDIT_INTERVAL;
                    if !borrowers.contains(&loan.borrower) {
                        borrowers.push(loan.borrower.clone());
                    }
                }
            }
        }
        let audit = |borrower| self.send(borrower, Message::Audit);
        borrowers.iter().map(audit).collect()
    }
}
