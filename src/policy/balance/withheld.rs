//! Applies the notices of targets to the pool, and finds out which requests they
//! withhold targets from.

use super::{
    context::Context,
    notice::{NoticeEffect, TargetNotice, Withheld, WithheldCounts},
    pool::Pool,
    target::Target,
    ticket::Ticket,
};
use crate::domain::{Homes, InstanceState, Millis};

impl Pool {
    /// Records the notice that came with the response to a request. It must be
    /// called as soon as the head of the response is read. A notice of an
    /// instance that has restarted since has no effect.
    pub fn record_notice(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        notice: &TargetNotice,
    ) -> NoticeEffect {
        let (id, started_at) = (&ticket.id, ticket.started_at);
        if let Some(index) = self.find(id) {
            let target = &mut self.targets[index];
            return if target.instance.started_at > started_at {
                NoticeEffect::default()
            } else {
                target.notices.apply(now, notice)
            };
        }
        self.departed.record(now, id, started_at, notice)
    }

    /// Returns the end of the current pause of the instance that a request was
    /// sent to, or none if it is not paused or not registered any longer.
    #[must_use]
    pub fn paused_until(&self, now: Millis, ticket: &Ticket) -> Option<Millis> {
        let target = &self.targets[self.find(&ticket.id)?];
        let same = target.instance.started_at == ticket.started_at;
        let end = target.notices.paused_until?;
        (same && target.notices.is_paused(now)).then_some(end)
    }

    /// Returns the numbers of choices in which targets were withheld since the
    /// last call.
    pub fn take_withheld(&mut self) -> WithheldCounts {
        std::mem::take(&mut self.withheld_counts)
    }

    /// Counts a choice between the given targets.
    pub(super) fn count_withheld(&mut self, now: Millis, eligible: &[usize]) {
        let ready = eligible.iter().map(|i| &self.targets[*i]);
        let ready = ready.filter(|t| t.instance.state == InstanceState::Ready);
        let (mut leaving, mut paused) = (false, false);
        for target in ready {
            leaving |= target.notices.leaving;
            paused |= target.notices.is_paused(now);
        }
        self.withheld_counts.leaving += u64::from(leaving);
        self.withheld_counts.paused += u64::from(paused);
    }

    /// If notices withhold all ready targets in the homes of a request, returns the time until
    /// the end of the first pause, none if all of them are leaving. Targets that
    /// a request has already tried count as well, because the caller's next
    /// attempt may use them.
    #[must_use]
    pub fn withheld(&self, ctx: &Context<'_>, homes: Homes<'_>) -> Option<Withheld> {
        let serves = |t: &&Target| t.serves(ctx, homes);
        let targets = self.targets.iter().filter(serves);
        let mut ready = targets
            .filter(|t| t.instance.state == InstanceState::Ready)
            .peekable();
        ready.peek()?;
        let mut first_end: Option<Millis> = None;
        for target in ready {
            let notices = &target.notices;
            if !notices.is_withheld(ctx.now) {
                return None;
            }
            if let Some(end) = notices.paused_until.filter(|_| !notices.leaving) {
                first_end = Some(first_end.map_or(end, |first| first.min(end)));
            }
        }
        Some(Withheld {
            resume_in: first_end.map(|end| end - ctx.now),
        })
    }
}
