//! Homes: how a unit comes to its home after a change of the roster.

use super::{
    Ledger, MAX_UNITS, Message, Outgoing,
    unit::{Unit, group},
};
use crate::domain::Millis;

/// How long a home waits before it surveys again, at first and at most. A round
/// whose answers take longer than the wait never completes, hence the growth.
const WAIT_MIN: Millis = Millis(500);
const WAIT_MAX: Millis = Millis(4_000);

/// A survey under way.
#[derive(Debug, Default)]
pub(super) struct Round {
    /// Its number; zero before the first.
    number: u64,
    /// When the next round starts.
    next: Millis,
    /// How long this round lasts.
    wait: Millis,
    /// The units that the home lacked at its start.
    units: Vec<u32>,
    /// The positions of members that need not answer any more.
    filled: Vec<usize>,
    /// Units that some member still owns or holds.
    kept: Vec<u32>,
}

impl Round {
    /// Ends the round, so that the next one starts at once.
    pub(super) fn restart(&mut self) {
        *self = Self {
            number: self.number,
            ..Self::default()
        };
    }
}

impl Ledger {
    /// Starts a round if units are missing and the last round is over.
    pub(super) fn survey(&mut self, now: Millis) -> Vec<Outgoing> {
        let Some(own) = self.seat.filter(|_| self.missing > 0) else {
            return Vec::new();
        };
        if now < self.round.next {
            return Vec::new();
        }
        // Only members that were known gone when the round started count as
        // answers: whatever they granted is older than the answers of the others.
        let members = self.roster.members().iter().enumerate();
        let is_gone = |m| self.gone.contains(m);
        let (filled, open): (Vec<_>, Vec<_>) =
            members.partition(|(i, s)| *i == own || is_gone(&s.member));
        let units = self.missing_units();
        let number = self.round.number + 1;
        let survey = |units: &[u32]| Message::Survey {
            round: number,
            units: units.to_vec(),
        };
        let out = open
            .iter()
            .map(|(_, s)| self.send(&s.member, survey(&units)));
        let out = out.collect();
        let filled = filled.into_iter().map(|(i, _)| i).collect();
        let wait = self.round.wait;
        let wait = (wait + wait).clamp(WAIT_MIN, WAIT_MAX);
        self.refuse_grants(&units);
        self.round = Round {
            number,
            next: now + wait,
            wait,
            units,
            filled,
            kept: Vec::new(),
        };
        self.claim(now);
        out
    }

    fn missing_units(&self) -> Vec<u32> {
        let owned = |u: &u32| !matches!(self.units[*u as usize], Unit::Absent | Unit::Borrowed(_));
        let homes = (0..).zip(&self.homes);
        let mine = homes.filter_map(|(u, home)| (*home == self.seat).then_some(u));
        mine.filter(|u| !owned(u)).collect()
    }

    /// Refuses grants of units that a survey is told are not held here.
    fn refuse_grants(&mut self, units: &[u32]) {
        let held = |u: &u32| matches!(self.units.get(*u as usize), Some(Unit::Borrowed(_)));
        let absent: Vec<u32> = units.iter().copied().filter(|u| !held(u)).collect();
        for ask in &mut self.asks {
            let news = absent.iter().filter(|u| !ask.refused.contains(u));
            let news: Vec<u32> = news.copied().collect();
            ask.refused.extend(news);
        }
    }

    pub(super) fn on_survey(
        &mut self,
        seat: usize,
        round: u64,
        units: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        let to = self.roster.members()[seat].member.clone();
        let is_home = |u: &u32| *u < MAX_UNITS && self.roster.home(&self.name, *u) == Some(seat);
        let units: Vec<u32> = units.iter().copied().filter(is_home).collect();
        let mut moved = Vec::new();
        let mut kept = Vec::new();
        self.reclaim(now);
        self.expire(now);
        for &index in &units {
            let Some(unit) = self.units.get_mut(index as usize) else {
                continue;
            };
            match unit {
                Unit::Absent => continue,
                Unit::Free(_) => {}
                // Only the new home can use it, so it need not come back first.
                Unit::Lent { loan, .. } if loan.to == to => {}
                Unit::Busy { due } | Unit::Lent { due, .. } => {
                    *due = true;
                    kept.push(index);
                    continue;
                }
                Unit::Borrowed(_) => {
                    kept.push(index);
                    continue;
                }
            }
            *unit = Unit::Absent;
            moved.push(index);
        }
        self.refuse_grants(&units);
        let mut out = self.recall_due(&kept);
        out.push(self.send(
            &to,
            Message::Handover {
                round,
                units: moved,
                kept,
            },
        ));
        out
    }

    /// Hands units over that became free after their home had asked for them.
    pub(super) fn hand_over(&mut self, units: Vec<u32>) -> Vec<Outgoing> {
        let home = |u: u32| self.roster.home(&self.name, u).map(|h| (h, u));
        let groups = group(units.into_iter().filter_map(home));
        let mut out = Vec::new();
        for (seat, units) in groups {
            if Some(seat) == self.seat {
                continue;
            }
            for &index in &units {
                self.units[index as usize] = Unit::Absent;
            }
            let to = self.roster.members()[seat].member.clone();
            let message = Message::Handover {
                round: 0,
                units,
                kept: Vec::new(),
            };
            out.push(self.send(&to, message));
        }
        out
    }

    pub(super) fn on_handover(
        &mut self,
        seat: usize,
        round: u64,
        units: &[u32],
        kept: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        for &index in units {
            self.own(index, now);
        }
        if round != 0 && round == self.round.number {
            if !self.round.filled.contains(&seat) {
                self.round.filled.push(seat);
            }
            self.round.kept.extend(kept);
            self.claim(now);
        }
        self.request(now)
    }

    /// Owns the units that no member has, once all have answered.
    fn claim(&mut self, now: Millis) {
        if self.round.filled.len() < self.roster.members().len() {
            return;
        }
        let units = std::mem::take(&mut self.round.units);
        for index in units {
            // A unit that is borrowed here from an entry that is gone becomes owned.
            if !self.round.kept.contains(&index) {
                self.own(index, now);
            }
        }
        self.round.wait = Millis(0);
        self.refresh(now);
    }

    /// Makes this entry the owner of a unit whose home it is.
    fn own(&mut self, index: u32, now: Millis) {
        let size = self.units.len();
        let is_home = self.roster.home(&self.name, index) == self.seat;
        if index >= MAX_UNITS || !is_home || self.seat.is_none() {
            return;
        }
        // The unit may lie beyond the size that this entry knows.
        if index as usize >= size {
            self.units.resize(index as usize + 1, Unit::Absent);
        }
        let unit = &mut self.units[index as usize];
        match unit {
            Unit::Borrowed(debt) if debt.busy => *unit = Unit::Busy { due: false },
            Unit::Absent | Unit::Borrowed(_) => *unit = Unit::Free(now),
            Unit::Free(_) | Unit::Busy { .. } | Unit::Lent { .. } => {}
        }
    }
}
