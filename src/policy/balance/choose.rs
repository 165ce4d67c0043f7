//! Selects a target for one request among all targets of the service.

use std::{collections::BTreeMap, fmt};

use super::{
    context::{Context, Request},
    duration::{hash_position, mix},
    notice::Withheld,
    pool::{Pool, RouteEstimate},
    score::{Candidate, Estimates, LoadState},
    target::Target,
    ticket::{Basis, Choice, Ticket},
};
use crate::{
    domain::{Millis, RegionName},
    policy::{
        demand::Asked,
        overflow::{Overflow, Placement, ShiftLimit, Split},
    },
};

/// The cost that a request must save to prefer another region. Traffic between
/// regions is limited in bandwidth and billed.
const OVERFLOW_GAIN_MS: f64 = 15.0;

/// The longest delay by a transient queue, as a fraction of the objective.
const TRANSIENT_DELAY_MAX: f64 = 1.3;

/// The longest delay by a standing queue, as a fraction of the objective.
const STANDING_DELAY_MAX: f64 = 0.7;

/// The fraction of recent requests with a long delay above which the queue
/// counts as standing.
const STANDING_FRACTION: f64 = 0.8;

/// The weight of one request in the moving average of that fraction.
const STANDING_SMOOTHING: f64 = 0.02;

/// The utilization of a region, in requests per slot, above which a request is
/// refused rather than run at a target that does not have its object warm. It would
/// take several times as long, and displace an object whose requests then do the
/// same: such a region stays overloaded after the load has fallen.
const SPILL_UTILIZATION_MAX: f64 = 1.2;

/// Why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChooseError {
    /// No target of the service is eligible for the request.
    NoTarget,
    /// Targets are eligible, but all are full, failing or starting.
    Unavailable,
    /// Targets are registered for the request, but all are paused or leaving.
    Withheld(Withheld),
    /// The region is overloaded, and no target with room has the object of the
    /// request warm.
    Displacing(Basis),
    /// The best target would answer too late.
    TooLate {
        /// The expected time until its answer.
        expected: Millis,
        /// What the choice of that target was based on.
        basis: Basis,
    },
}

/// The targets among which one is selected for a request, by their indexes.
#[derive(Clone, Copy)]
struct Targets<'a> {
    /// The targets that may be sent the request now.
    usable: &'a [usize],
    /// Whether the local region has targets for the request that are not limited by
    /// their slow start.
    runs_locally: bool,
    /// The preferred targets of its object.
    preferred: &'a [usize],
    /// The estimated loads of all targets of the service.
    loads: &'a [f64],
    /// The utilization of the region's targets, in requests per slot.
    utilization: f64,
}

impl fmt::Display for ChooseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTarget => f.write_str("no target is eligible"),
            Self::Unavailable => f.write_str("all targets are full or failing"),
            Self::Withheld(_) => f.write_str("all targets are paused or leaving"),
            Self::Displacing(_) => {
                f.write_str("the region is overloaded, and no target with room has the object")
            }
            Self::TooLate { expected, .. } => {
                write!(f, "the response is expected only after {expected}")
            }
        }
    }
}

impl std::error::Error for ChooseError {}

impl ChooseError {
    /// Returns what the refusal was based on, if a target could have taken the
    /// request.
    #[must_use]
    pub fn basis(&self) -> Option<Basis> {
        match self {
            Self::Displacing(basis) | Self::TooLate { basis, .. } => Some(*basis),
            Self::NoTarget | Self::Unavailable | Self::Withheld(_) => None,
        }
    }
}

impl Pool {
    /// Selects a target for a request and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns a [`ChooseError`] that says why no target can take it.
    pub fn choose(&mut self, ctx: &Context<'_>, req: &Request<'_>) -> Result<Choice, ChooseError> {
        let (route, estimate) = self.route_estimate(req.rule);
        let choice = self.choose_estimated(ctx, req, route, &estimate);
        // Further attempts are no demand of callers.
        if req.tried.is_empty() {
            let asked = Asked {
                rank: req.rank,
                workspace: req.workspace,
                duration_ms: estimate.duration.typical_ms,
            };
            match choice {
                Ok(_) => self.demand.record(ctx.now, asked),
                Err(_) => self.demand.record_refused(ctx.now, asked),
            }
        }
        choice
    }

    /// Selects a target for a request of a route with the given estimate.
    fn choose_estimated(
        &mut self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        route: u64,
        estimate: &RouteEstimate,
    ) -> Result<Choice, ChooseError> {
        let objective = req.rule.objective;
        let estimates = Estimates {
            duration: estimate.duration,
            transfer: estimate.size.transfer_cost(req.size, objective),
        };
        let eligible: Vec<usize> = self.eligible_targets(ctx, req);
        self.count_withheld(ctx.now, &eligible);
        let up: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|i| self.targets[*i].is_up(ctx.now, &ctx.cold_quota))
            .collect();
        let az_bound = estimates.transfer.is_az_bound();
        let preferred = self.preferred(ctx, req, &up, az_bound);
        let runs_locally = eligible
            .iter()
            .any(|i| self.is_local(ctx, *i) && self.targets[*i].is_warmed(ctx));
        let mut usable = up;
        usable.retain(|i| self.targets[*i].is_available(ctx.now, &ctx.cold_quota));
        let loads = self.estimated_loads(ctx.now);
        let utilization = self.region_utilization(ctx, &usable, &loads);
        let targets = Targets {
            usable: &usable,
            runs_locally,
            preferred: &preferred,
            loads: &loads,
            utilization,
        };
        let Some(best) = self.select_candidate(ctx, req, &estimates, &targets) else {
            return Err(self.choose_error(ctx, req, &eligible));
        };
        let basis = Basis {
            remote: best.remote,
            utilization,
            split: best.split,
        };
        if !best.warm && !preferred.is_empty() && utilization > SPILL_UTILIZATION_MAX {
            return Err(ChooseError::Displacing(basis));
        }
        let expected = millis(best.expected_ms);
        let late = expected > req.time_left || self.is_overloaded(best.delay(req.rule));
        if late && estimates.duration.is_reliable(best.warm, ctx.now) {
            return Err(ChooseError::TooLate { expected, basis });
        }
        Ok(self.record_choice(ctx, req, route, &best, basis))
    }

    /// Returns why none of the eligible targets was selected.
    fn choose_error(
        &self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        eligible: &[usize],
    ) -> ChooseError {
        if let Some(withheld) = self.withheld(ctx, req.homes) {
            ChooseError::Withheld(withheld)
        } else if eligible.is_empty() {
            ChooseError::NoTarget
        } else {
            ChooseError::Unavailable
        }
    }

    /// Returns whether the queueing delay is too long to admit the request.
    /// Adding to a standing queue delays all later requests as well, so that
    /// the targets stay busy with answers that come too late; a transient queue
    /// is better served than refused. As in controlled delay (`CoDel`), the
    /// queue counts as standing if most recent requests had a long delay.
    fn is_overloaded(&mut self, delay: f64) -> bool {
        let long = f64::from(u8::from(delay > STANDING_DELAY_MAX));
        self.long_fraction += (long - self.long_fraction) * STANDING_SMOOTHING;
        let standing = self.long_fraction > STANDING_FRACTION;
        delay
            > if standing {
                STANDING_DELAY_MAX
            } else {
                TRANSIENT_DELAY_MAX
            }
    }

    /// Returns the targets that are eligible for the request, whether they can
    /// take it now or not.
    fn eligible_targets(&self, ctx: &Context<'_>, req: &Request<'_>) -> Vec<usize> {
        let fits = |t: &Target| t.serves(ctx, req.homes) && !req.tried.contains(&t.instance.id);
        let targets = self.targets.iter().enumerate();
        targets.filter(|(_, t)| fits(t)).map(|(at, _)| at).collect()
    }

    /// Selects the cheapest target of the local region, or of the other regions
    /// if the request overflows.
    fn select_candidate(
        &mut self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        estimates: &Estimates,
        targets: &Targets<'_>,
    ) -> Option<Candidate> {
        let capacity = self.capacity(ctx);
        let is_local = |i: &usize| self.is_local(ctx, *i);
        let score = |i: usize| {
            let state = LoadState {
                utilization: targets.utilization,
                load: targets.loads[i],
            };
            let preferred = targets.preferred.contains(&i);
            self.score(ctx, req, estimates, state, i, preferred)
        };
        let cheapest = |remote: bool| {
            let side = targets.usable.iter().filter(|i| is_local(i) != remote);
            side.map(|i| score(*i))
                .min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        let (local, remote) = (cheapest(false), cheapest(true));
        // The split is for requests that both sides can run. The local region may be no
        // home of this one, or all its targets may be in their slow start.
        if capacity.local <= 0.0 || !targets.runs_locally {
            return local.or(remote);
        }
        let Some(remote) = remote else {
            return local;
        };
        let gain = local.map_or(f64::INFINITY, |local| local.cost - remote.cost);
        let preference = if gain > OVERFLOW_GAIN_MS {
            Placement::Remote
        } else {
            Placement::Local
        };
        let limit = ShiftLimit {
            cap: ctx.shift_cap,
            requests: ctx.region_requests,
            lost: self.lost_capacity(ctx.now, capacity.local),
        };
        self.adopt_share(ctx);
        let demand = self.slot_demand(ctx, capacity.local);
        let overflow = self
            .overflow
            .get_or_insert_with(|| Overflow::new(capacity.initial_overflow()));
        let hash_position = req.object.filter(|_| req.rule.sticky).map(hash_position);
        let placement = overflow.assign(ctx.now, preference, demand, hash_position, limit);
        // A diverted request still counts as placed elsewhere, so that the effect of the
        // refusals stays visible. That effect also bounds how many requests run elsewhere
        // because the targets that are left after a loss have no room.
        let distorted = ctx.sides.is_distorted(ctx.shift_cap);
        let diverts = !limit.is_lifted() && local.is_some() && distorted;
        let side = match placement {
            Placement::Remote if !diverts => Some(remote),
            Placement::Local if limit.is_lifted() && !distorted => local.or(Some(remote)),
            _ => local,
        };
        let split = Some(Split {
            placement,
            fraction: overflow.fraction(),
            lifted: limit.is_lifted(),
            demand,
        });
        side.map(|candidate| Candidate { split, ..candidate })
    }

    /// Returns the preferred targets of the object by rendezvous hashing among the
    /// targets that are up: one in the local region, and one in the other regions
    /// for overflow. A target whose queue is full for a moment stays the preferred
    /// one: the next in rank does not have the object warm, and running it there
    /// would make that target lose an object of its own. Callers
    /// of different regions seldom use the same objects, so one target for the
    /// overflow of each region is enough. If the route is bound to availability
    /// zones, there is one in that of this entry besides.
    pub(super) fn preferred(
        &self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        up: &[usize],
        az_bound: bool,
    ) -> Vec<usize> {
        let Some(object) = req.object.filter(|_| req.rule.sticky) else {
            return Vec::new();
        };
        let first = |is_candidate: &dyn Fn(&usize) -> bool| {
            let side = up.iter().copied().filter(is_candidate);
            side.max_by_key(|i| mix(object, self.targets[*i].hash))
        };
        let near = |i: &usize| az_bound && self.targets[*i].instance.az == *ctx.az;
        let local = |i: &usize| self.is_local(ctx, *i);
        let remote = |i: &usize| !self.is_local(ctx, *i);
        let sides: [&dyn Fn(&usize) -> bool; 3] = [&near, &local, &remote];
        sides.into_iter().filter_map(first).collect()
    }

    /// Returns the estimated number of requests at each target. It is computed
    /// once for each choice, which uses the values several times.
    pub(super) fn estimated_loads(&self, now: Millis) -> Vec<f64> {
        let slot_loads = self.region_loads.iter().map(|(r, l)| (r, l.slot_load(now)));
        let slot_loads: BTreeMap<&RegionName, f64> = slot_loads.collect();
        let load = |target: &Target| {
            let slot_load = target.region.as_ref().and_then(|r| slot_loads.get(r));
            let others = slot_load.map_or(0.0, |slot_load| slot_load * target.slots());
            target.load.total(now, others)
        };
        self.targets.iter().map(load).collect()
    }

    pub(super) fn is_local(&self, ctx: &Context<'_>, i: usize) -> bool {
        self.targets[i].region.as_ref() == Some(ctx.region)
    }

    fn record_choice(
        &mut self,
        ctx: &Context<'_>,
        req: &Request<'_>,
        route: u64,
        best: &Candidate,
        basis: Basis,
    ) -> Choice {
        let now = ctx.now;
        self.has_traffic = true;
        let target = &mut self.targets[best.index];
        let expected = millis(best.expected_ms);
        target.load.own += 1;
        target.contacted = true;
        target.health.on_sent(now, expected);
        if target.is_cold(now) {
            target.cold_requests.record(now);
        }
        Choice {
            addr: target.instance.addr,
            ticket: Ticket {
                id: target.instance.id.clone(),
                expected_duration: expected,
                load: best.load,
                report_age: target.load.last_report.map(|at| now - at),
                warm: best.warm,
                probe: best.probe,
                az: target.instance.az.clone(),
                basis,
                started_at: target.instance.started_at,
                sent_at: now,
                route,
                object: req.object,
                rtt_ms: best.rtt_ms,
                slowdown: best.slowdown,
                reported_slowdown: best.reported_slowdown,
            },
        }
    }
}

pub(super) fn millis(ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis(ms.max(0.0) as u64)
}
