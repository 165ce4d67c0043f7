//! Surveys, by which the home of a unit becomes its owner after a change of the
//! roster.

use super::{
    Ledger, MAX_UNITS, Message, Outgoing,
    unit::{Unit, group_by_key},
};
use crate::domain::Millis;

/// The first and the longest duration of a survey round. The duration doubles with
/// each round, because a round never completes if its answers take longer.
const MIN_ROUND_TIME: Millis = Millis(500);
const MAX_ROUND_TIME: Millis = Millis(4_000);

/// The current survey round.
#[derive(Debug, Default)]
pub(super) struct SurveyRound {
    /// The number of the round, or zero before the first.
    number: u64,
    /// When the next round starts.
    next_start: Millis,
    /// How long this round lasts, or zero after a complete round.
    duration: Millis,
    /// The units that this entry surveys.
    units: Vec<u32>,
    /// The positions of members that have answered or need not answer.
    answered: Vec<usize>,
    /// Units that a member has reported as owned or borrowed.
    kept: Vec<u32>,
}

impl SurveyRound {
    /// Ends the round, so that the next one can start at once.
    pub(super) fn restart(&mut self) {
        *self = Self {
            number: self.number,
            ..Self::default()
        };
    }
}

impl Ledger {
    /// Starts a round if units are missing and the previous round is over.
    pub(super) fn start_survey(&mut self, now: Millis) -> Vec<Outgoing> {
        let Some(own) = self.position.filter(|_| self.missing > 0) else {
            return Vec::new();
        };
        if now < self.round.next_start {
            return Vec::new();
        }
        // A member counts as answered only if it was known to be gone when the
        // round started: all its grants are then older than the others' answers.
        let members = self.roster.members().iter().enumerate();
        let is_gone = |m| self.gone.contains(m);
        let (answered, unanswered): (Vec<_>, Vec<_>) =
            members.partition(|(i, s)| *i == own || is_gone(&s.member));
        let units = self.missing_units();
        let number = self.round.number + 1;
        let survey = |units: &[u32]| Message::Survey {
            round: number,
            units: units.to_vec(),
        };
        let out = unanswered
            .iter()
            .map(|(_, s)| self.send(&s.member, survey(&units)));
        let out = out.collect();
        let answered = answered.into_iter().map(|(i, _)| i).collect();
        let duration = self.round.duration;
        let duration = (duration + duration).clamp(MIN_ROUND_TIME, MAX_ROUND_TIME);
        self.refuse_grants(&units);
        self.round = SurveyRound {
            number,
            next_start: now + duration,
            duration,
            units,
            answered,
            kept: Vec::new(),
        };
        self.claim_lost(now);
        out
    }

    fn missing_units(&self) -> Vec<u32> {
        let owned = |u: &u32| !matches!(self.units[*u as usize], Unit::Absent | Unit::Borrowed(_));
        let homes = (0..).zip(&self.home_positions);
        let own = homes.filter_map(|(u, home)| (*home == self.position).then_some(u));
        own.filter(|u| !owned(u)).collect()
    }

    /// Marks the units that this entry does not hold, so that open requests do not
    /// accept a later grant of them.
    fn refuse_grants(&mut self, units: &[u32]) {
        let held = |u: &u32| matches!(self.units.get(*u as usize), Some(Unit::Borrowed(_)));
        let absent: Vec<u32> = units.iter().copied().filter(|u| !held(u)).collect();
        for request in &mut self.open_requests {
            let added = absent.iter().filter(|u| !request.refused_units.contains(u));
            let added: Vec<u32> = added.copied().collect();
            request.refused_units.extend(added);
        }
    }

    pub(super) fn on_survey(
        &mut self,
        position: usize,
        round: u64,
        units: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        let to = self.roster.members()[position].member.clone();
        let is_home =
            |u: &u32| *u < MAX_UNITS && self.roster.home(&self.name, *u) == Some(position);
        let units: Vec<u32> = units.iter().copied().filter(is_home).collect();
        let mut moved = Vec::new();
        let mut kept = Vec::new();
        self.reclaim_expired(now);
        self.drop_expired(now);
        for &index in &units {
            let Some(unit) = self.units.get_mut(index as usize) else {
                continue;
            };
            match unit {
                Unit::Absent => continue,
                Unit::Free(_) => {}
                // The borrower is the new home, so the unit need not be returned
                // first.
                Unit::Lent { loan, .. } if loan.borrower == to => {}
                Unit::Busy { claimed } | Unit::Lent { claimed, .. } => {
                    *claimed = true;
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
        let mut out = self.recall_for_home(&kept);
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

    /// Hands over units, which must be free, to their homes.
    pub(super) fn hand_over(&mut self, units: Vec<u32>) -> Vec<Outgoing> {
        let home = |u: u32| self.roster.home(&self.name, u).map(|h| (h, u));
        let groups = group_by_key(units.into_iter().filter_map(home));
        let mut out = Vec::new();
        for (position, units) in groups {
            if Some(position) == self.position {
                continue;
            }
            for &index in &units {
                self.units[index as usize] = Unit::Absent;
            }
            let to = self.roster.members()[position].member.clone();
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
        position: usize,
        round: u64,
        units: &[u32],
        kept: &[u32],
        now: Millis,
    ) -> Vec<Outgoing> {
        for &index in units {
            self.take_ownership(index, now);
        }
        if round != 0 && round == self.round.number {
            if !self.round.answered.contains(&position) {
                self.round.answered.push(position);
            }
            self.round.kept.extend(kept);
            self.claim_lost(now);
        }
        self.request_units(now)
    }

    /// Once all members have answered, takes ownership of the units that none of
    /// them has.
    fn claim_lost(&mut self, now: Millis) {
        if self.round.answered.len() < self.roster.members().len() {
            return;
        }
        let units = std::mem::take(&mut self.round.units);
        for index in units {
            // This includes units borrowed here from an entry that is gone.
            if !self.round.kept.contains(&index) {
                self.take_ownership(index, now);
            }
        }
        self.round.duration = Millis(0);
        self.refresh(now);
    }

    /// Makes this entry the owner of a unit if it is the unit's home.
    fn take_ownership(&mut self, index: u32, now: Millis) {
        let size = self.units.len();
        let is_home = self.roster.home(&self.name, index) == self.position;
        if index >= MAX_UNITS || !is_home || self.position.is_none() {
            return;
        }
        // The limit may be larger than this entry knows.
        if index as usize >= size {
            self.units.resize(index as usize + 1, Unit::Absent);
        }
        let unit = &mut self.units[index as usize];
        match unit {
            Unit::Borrowed(loan) if loan.busy => *unit = Unit::Busy { claimed: false },
            Unit::Absent | Unit::Borrowed(_) => *unit = Unit::Free(now),
            Unit::Free(_) | Unit::Busy { .. } | Unit::Lent { .. } => {}
        }
    }
}
