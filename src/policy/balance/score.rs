//! Scores a target for one request by the expected time until its answer.

use super::{
    context::{Context, Request},
    distance::{Distance, TransferCost},
    duration::{DurationEstimate, mix, unit},
    pool::Pool,
};
use crate::{domain::RouteRule, policy::overflow::Split};

/// The weight of the hash rank in the cost, as a fraction of the cold duration.
/// It makes entries that see the same loads agree on the second choice.
const HASH_RANK_WEIGHT: f64 = 0.15;

/// The cost of a certain failure, as a multiple of the objective.
const FAILURE_COST_FACTOR: f64 = 1.5;

/// The factor by which requests take longer on a cold target.
const COLD_SLOWDOWN: f64 = 2.0;

/// The queue length, in requests per slot, up to which no request is refused
/// because of the queue.
const TOLERATED_QUEUE: f64 = 0.5;

/// The cost reduction for a new target, which makes one request go there. That
/// request shows that the target works; hashing alone may give it no frequently
/// used object.
const PROBE_DISCOUNT_MS: f64 = 100_000.0;

/// The expected number of entries of a region that probe a new target. A probe
/// rarely finds its object warm and displaces another one, so the probes must not
/// multiply with the entries.
const PROBING_ENTRIES: f64 = 4.0;

/// A target with its score for one request.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub index: usize,
    pub cost: f64,
    pub expected_ms: f64,
    pub rtt_ms: f64,
    /// The expected duration relative to the usual one.
    pub slowdown: f64,
    /// The part of the slowdown that the target has reported.
    pub reported_slowdown: f64,
    /// The number of queued requests per slot.
    pub queue_ratio: f64,
    /// The estimated number of requests at the target.
    pub load: f64,
    pub warm: bool,
    /// Whether the request would show that the target works.
    pub probe: bool,
    /// Whether the target is in another region.
    pub remote: bool,
    /// The split between the regions that selected this side.
    pub split: Option<Split>,
}

/// What is known of a request when targets are scored for it.
#[derive(Clone, Copy)]
pub(super) struct Estimates {
    pub duration: DurationEstimate,
    pub transfer: TransferCost,
}

/// The load that a score depends on.
#[derive(Clone, Copy)]
pub(super) struct LoadState {
    /// The utilization of the region's targets, in requests per slot.
    pub utilization: f64,
    /// The estimated number of requests at the target.
    pub load: f64,
}

impl Candidate {
    /// Returns the expected time until the answer as a fraction of the
    /// objective, or 0 if the target has no considerable queue.
    pub fn delay(&self, rule: &RouteRule) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let objective = rule.objective.0.max(1) as f64;
        if self.queue_ratio > TOLERATED_QUEUE {
            self.expected_ms / objective
        } else {
            0.0
        }
    }
}

impl Pool {
    /// Scores the target with index `i` for a request. `preferred` tells whether it
    /// is a preferred target of the request's object.
    pub(super) fn score(
        &self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        estimates: &Estimates,
        state: LoadState,
        i: usize,
        preferred: bool,
    ) -> Candidate {
        let LoadState { utilization, load } = state;
        let estimate = &estimates.duration;
        let now = ctx.now;
        let target = &self.targets[i];
        let distance = Distance::to(ctx, target);
        let is_warm = |object| target.objects.is_warm(object, now);
        let warm = !target.is_cold(now) && (preferred || req.object.is_some_and(is_warm));
        let slots = target.slots();
        let waiting = (load + 1.0 - slots).max(0.0);
        let reported_slowdown = target.load.slowdown(now);
        let mut slowdown = reported_slowdown * target.slowdown * (1.0 + waiting / slots);
        if target.is_cold(now) {
            slowdown *= COLD_SLOWDOWN;
        }
        let remote = distance == Distance::OtherRegion;
        let rtt_ms = distance.rtt_ms();
        let expected_ms = rtt_ms + estimate.duration_ms(warm) * slowdown;
        let rank = req.object.map_or(0.0, |o| 1.0 - unit(mix(o, target.hash)));
        let objective = req.rule.objective.0;
        #[expect(clippy::cast_precision_loss)]
        let failure_cost = target.health.failure_rate(now) * FAILURE_COST_FACTOR * objective as f64;
        let is_new = !target.contacted && !remote && !target.is_cold(now);
        let probe = is_new && probes(ctx, target.hash);
        let discount = if probe { PROBE_DISCOUNT_MS } else { 0.0 };
        let extra_ms = if warm {
            0.0
        } else {
            estimate.cold_ms - estimate.warm_ms
        };
        Candidate {
            index: i,
            cost: expected_ms
                + utilization * extra_ms
                + failure_cost
                + estimates.transfer.at(distance, waiting)
                + rank * estimate.cold_ms * HASH_RANK_WEIGHT
                - discount,
            expected_ms,
            rtt_ms,
            slowdown,
            reported_slowdown,
            queue_ratio: waiting / slots,
            load,
            warm,
            probe,
            remote,
            split: None,
        }
    }
}

/// Returns whether this entry is one of those that probe a target of its region. A
/// hash of both decides, so that the entries need no communication.
fn probes(ctx: &Context<'_>, target: u64) -> bool {
    #[expect(clippy::cast_precision_loss)]
    let entries = ctx.region_entries as f64;
    unit(mix(ctx.cold_quota.this_entry, target)) * entries < PROBING_ENTRIES
}
