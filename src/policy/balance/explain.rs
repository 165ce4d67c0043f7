//! Explains the choice of a target without making it.
//!
//! The choice runs on a copy of the pool, so that nothing is counted and no state
//! changes. See [docs/design/explain.md](../../../docs/design/explain.md).

use super::{
    choose::{ChooseError, millis},
    context::{Context, Request},
    pool::Pool,
    score::{Estimates, LoadState},
    target::Target,
    ticket::Ticket,
};
use crate::{
    domain::{AzName, InstanceId, InstanceState, Millis, Rank, word_enum},
    policy::room::Account,
};

/// The maximum number of targets that an explanation lists, best first.
pub const LISTED_TARGETS_MAX: usize = 20;

word_enum!(
    /// Why a target cannot take a request now.
    Exclusion, "reason why a target is left out", "one of the words of this list",
    /// Its region is no home of the request, or its availability zone is evacuated.
    #[default]
    Place = "place",
    /// It has announced that it leaves.
    Leaving = "leaving",
    /// It has asked for a pause or says that it is leaving.
    Withheld = "withheld",
    /// It failed lately.
    Unhealthy = "unhealthy",
    /// It is cold, and this entry's share of its rate is used up.
    Cold = "cold",
    /// It rejected a request a moment ago, because its queue is full.
    Full = "full"
);

/// A target as a request would find it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsideredTarget {
    /// The target.
    pub id: InstanceId,
    /// Its availability zone.
    pub az: AzName,
    /// Whether it is in another region than this entry.
    pub remote: bool,
    /// The number of requests that it runs concurrently, as it has registered.
    pub slots: f64,
    /// The estimated number of requests there.
    pub load: f64,
    /// How long its requests take relative to those of the others.
    pub slowdown: f64,
    /// Whether it is assumed to have the object of the request warm.
    pub warm: bool,
    /// The expected time until its answer.
    pub expected: Millis,
    /// What the choice minimizes within a region, in milliseconds.
    pub cost: f64,
    /// Why it cannot take the request now, if so.
    pub exclusion: Option<Exclusion>,
}

/// The line that admission draws now, as it concerns a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawnLine {
    /// The most urgent rank that is not admitted whole, none if all are.
    pub rank: Option<Rank>,
    /// The account by which it is drawn.
    pub account: Account,
    /// The admitted fraction of the rank of the request.
    pub admitted: f64,
}

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The choice, or why there is none.
    pub choice: Result<Ticket, ChooseError>,
    /// The line of admission, which comes before the choice. There is none if the need
    /// of the region is not known or the region is no home of the request; then all
    /// requests are admitted.
    pub line: Option<DrawnLine>,
    /// The first [`LISTED_TARGETS_MAX`] targets: those that can take the request
    /// before the others, each in the order of their cost.
    pub targets: Vec<ConsideredTarget>,
    /// The number of targets of the service.
    pub total: usize,
}

impl Pool {
    /// Returns where a request would go now, and why.
    #[must_use]
    pub fn explain(&self, ctx: &Context<'_>, req: &Request<'_>) -> Explanation {
        let mut copy = self.clone();
        let line = copy.draw_line(ctx, req);
        let choice = copy.choose(ctx, req).map(|choice| choice.ticket);
        // The copy has an estimate of the route now, and one request more at the chosen
        // target; the targets are described without that request.
        copy.targets.clone_from(&self.targets);
        let mut targets = copy.consider_targets(ctx, req);
        let total = targets.len();
        targets.sort_by(|a, b| {
            let excluded = |t: &ConsideredTarget| t.exclusion.is_some();
            let by_exclusion = excluded(a).cmp(&excluded(b));
            by_exclusion.then(a.cost.total_cmp(&b.cost))
        });
        targets.truncate(LISTED_TARGETS_MAX);
        Explanation {
            choice,
            line,
            targets,
            total,
        }
    }

    /// Moves the line as the admission of a request does.
    fn draw_line(&mut self, ctx: &Context<'_>, req: &Request<'_>) -> Option<DrawnLine> {
        let account = self.account(ctx);
        self.line.update(ctx.now, account);
        let account = account.filter(|_| req.homes.contains(ctx.region))?;
        Some(DrawnLine {
            rank: self.line.rank(),
            account,
            admitted: self.line.admitted(req.rank),
        })
    }

    /// Returns all targets as a request would find them.
    fn consider_targets(&mut self, ctx: &Context<'_>, req: &Request<'_>) -> Vec<ConsideredTarget> {
        let (_, estimate) = self.route_estimate(req.rule);
        let estimates = Estimates {
            duration: estimate.duration,
            transfer: estimate.size.transfer_cost(req.size, req.rule.objective),
        };
        let exclusions: Vec<_> = self.targets.iter().map(|t| t.exclusion(ctx, req)).collect();
        let included = |i: &usize| exclusions[*i].is_none();
        let usable: Vec<usize> = (0..self.targets.len()).filter(included).collect();
        let loads = self.estimated_loads(ctx.now);
        let utilization = self.region_utilization(ctx, &usable, &loads);
        let az_bound = estimates.transfer.is_az_bound();
        let preferred = self.preferred(ctx, req, &usable, az_bound);
        let consider = |(i, target): (usize, &Target)| {
            let state = LoadState {
                utilization,
                load: loads[i],
            };
            let scored = self.score(ctx, req, &estimates, state, i, preferred.contains(&i));
            ConsideredTarget {
                id: target.instance.id.clone(),
                az: target.instance.az.clone(),
                remote: scored.remote,
                slots: target.slots(),
                load: scored.load,
                slowdown: target.slowdown,
                warm: scored.warm,
                expected: millis(scored.expected_ms),
                cost: scored.cost,
                exclusion: exclusions[i],
            }
        };
        self.targets.iter().enumerate().map(consider).collect()
    }
}

impl Target {
    /// Returns why it cannot take a request now, if so.
    fn exclusion(&self, ctx: &Context<'_>, req: &Request<'_>) -> Option<Exclusion> {
        let reasons = [
            (!self.serves(ctx, req.homes), Exclusion::Place),
            (
                self.instance.state != InstanceState::Ready,
                Exclusion::Leaving,
            ),
            (
                !self.notices.allows(ctx.now, self.load.own, self.slots()),
                Exclusion::Withheld,
            ),
            (!self.health.is_available(ctx.now), Exclusion::Unhealthy),
            (!self.is_warmed(ctx), Exclusion::Cold),
            (self.is_full(ctx.now), Exclusion::Full),
        ];
        let holds = reasons.into_iter().find(|(holds, _)| *holds);
        holds.map(|(_, reason)| reason)
    }
}
