//! The targets of one service, with what registrations and requests show of
//! them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    distance::SizeEstimate,
    duration::DurationEstimate,
    limit::{LimitChange, LimitCurve},
    load::{LoadReport, RegionLoad},
    notice::{DepartedNotices, WithheldCounts},
    slow_start::ColdRequests,
    target::Target,
    ticket::{Ending, Ticket},
};
use crate::{
    domain::{AzName, Instance, InstanceId, InstanceState, Millis, RegionName, RouteRule, Size},
    policy::{
        budget::{RetryBudget, RetryLimits},
        demand::{Demand, DemandMeter},
        overflow::Overflow,
        room::{Line, LineChange},
    },
};

/// The weight of one request in the moving average of a target's slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.06;
/// The fraction by which the slowdown returns to 1 with each request.
const SLOWDOWN_REVERSION: f64 = 0.01;

/// The time after the first target within which others count as known from the
/// start, even if there are requests already.
const INITIAL_DISCOVERY: Millis = Millis(5_000);

/// What is known of the requests of one route.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteEstimate {
    pub duration: DurationEstimate,
    pub size: SizeEstimate,
}

impl RouteEstimate {
    /// Returns the estimate of a route of which no request has ended.
    pub fn new(objective: Millis) -> Self {
        Self {
            duration: DurationEstimate::new(objective),
            size: SizeEstimate::default(),
        }
    }
}

/// The targets of one service, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(super) targets: Vec<Target>,
    pub(super) estimates: HashMap<u64, RouteEstimate>,
    pub(super) overflow: Option<Overflow>,
    /// Whether the overflow began with the share of the region.
    pub(super) adopted: bool,
    /// What callers ask of the service through this entry.
    pub(super) demand: DemandMeter,
    pub(super) retry_budget: RetryBudget,
    /// The average load of each region's targets.
    pub(super) region_loads: BTreeMap<RegionName, RegionLoad>,
    /// The recent peak of usable slots in the local region, and its instant.
    pub(super) peak_slots: (f64, Millis),
    /// When the first target was added.
    pub(super) first_added: Option<Millis>,
    /// Whether a target has been chosen for any request.
    pub(super) has_traffic: bool,
    /// The fraction of recent requests with a long queueing delay.
    pub(super) long_fraction: f64,
    /// How many requests at once the targets take well.
    pub(super) limits: LimitCurve,
    /// Who is admitted when not all requests fit.
    pub(super) line: Line,
    /// The latest change of the line, until it is taken.
    pub(super) line_change: Option<LineChange>,
    /// The notices of targets that are no longer registered.
    pub(super) departed: DepartedNotices,
    /// The latest requests to targets that were removed while they were cold. Such a
    /// target may register again at once, and its rate holds on.
    removed_cold: HashMap<InstanceId, ColdRequests>,
    /// How often targets were withheld since the numbers were last taken.
    pub(super) withheld_counts: WithheldCounts,
}

impl Pool {
    /// Returns an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a target. Returns whether it is new, has restarted or
    /// has changed its state.
    pub fn put(
        &mut self,
        now: Millis,
        instance: Instance,
        zones: &BTreeMap<AzName, RegionName>,
    ) -> bool {
        let region = zones.get(&instance.az).cloned();
        let first_added = *self.first_added.get_or_insert(now);
        let Some(index) = self.find(&instance.id) else {
            let mut target = Target::new(instance, region, now);
            // Targets known from the start need no probe request: they get
            // their requests by hash.
            target.contacted = !self.has_traffic || now < first_added + INITIAL_DISCOVERY;
            let Instance { id, started_at, .. } = &target.instance;
            let notices = self.departed.take(now, id, *started_at);
            target.notices = notices.unwrap_or_default();
            let cold_requests = self.removed_cold.remove(id);
            target.cold_requests = cold_requests.unwrap_or_default();
            self.targets.push(target);
            return true;
        };
        let known = &self.targets[index].instance;
        let changed = known.state != instance.state || known.started_at != instance.started_at;
        self.targets[index].update(instance, region, now);
        changed
    }

    /// Removes a target. Its notices are kept for a time, because an earlier
    /// state of its registration may arrive later.
    pub fn remove(&mut self, now: Millis, id: &InstanceId) {
        if let Some(index) = self.find(id) {
            let target = self.targets.remove(index);
            let started_at = target.instance.started_at;
            self.departed.insert(now, id, started_at, target.notices);
            self.removed_cold.insert(id.clone(), target.cold_requests);
            self.removed_cold.retain(|_, sent| sent.is_recent(now));
        }
    }

    /// Returns whether a target that was chosen may no longer be sent requests,
    /// because it is gone, leaves or is in an evacuated availability zone.
    #[must_use]
    pub fn is_withdrawn(&self, id: &InstanceId, evacuated: &BTreeSet<AzName>) -> bool {
        let target = self.find(id).map(|index| &self.targets[index].instance);
        target.is_none_or(|t| t.state != InstanceState::Ready || evacuated.contains(&t.az))
    }

    /// Counts a caller's request, which adds to the retry budget of the
    /// service.
    pub fn deposit_retry(&mut self, now: Millis, limits: &RetryLimits) {
        self.retry_budget.deposit(now, limits);
    }

    /// Withdraws one retry from the budget of the service. Returns false if the
    /// budget is exhausted.
    pub fn withdraw_retry(&mut self, now: Millis, limits: &RetryLimits, entries: usize) -> bool {
        self.retry_budget.withdraw(now, limits, entries)
    }

    /// Returns the fraction of requests that overflows to other regions.
    #[must_use]
    pub fn overflow_fraction(&self) -> f64 {
        self.overflow.as_ref().map_or(0.0, Overflow::fraction)
    }

    /// Returns what callers ask of the service through this entry of a region, measured
    /// over the first attempts of their requests as if targets had all objects warm.
    #[must_use]
    pub fn demand(&self, now: Millis, region: &RegionName) -> Demand {
        let loads = self.region_loads.iter();
        let far = loads.filter(|(r, load)| *r != region && load.is_recent(now));
        let (sum, count) = far.fold((0.0, 0.0), |(sum, count), (_, load)| {
            (sum + load.slot_load(now), count + 1.0)
        });
        let demand = self.demand.demand(now);
        let stated = if self.overflow.is_some() && self.is_settled(now) {
            demand.requests
        } else {
            0.0
        };
        Demand {
            stated,
            stated_far: stated * self.overflow_fraction(),
            far_load: sum / f64::max(count, 1.0),
            far_reports: f64::min(count, 1.0),
            ..demand
        }
    }

    /// Releases a request that has ended, and learns from its outcome and from
    /// the load report of the target.
    pub fn finish(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        ending: Ending,
        report: Option<LoadReport>,
    ) {
        let Some(index) = self.find(&ticket.id) else {
            return;
        };
        let target = &mut self.targets[index];
        target.load.own = target.load.own.saturating_sub(1);
        if let Some(report) = &report {
            target.load.report(now, report, target.slots());
            if let Some(region) = target.region.clone() {
                self.region_loads
                    .entry(region)
                    .or_default()
                    .report(now, report);
            }
        }
        let left = target.load.own;
        match ending {
            Ending::Answered => {
                target.health.on_success(now, left);
                if let Some(object) = ticket.object {
                    target.objects.record(object, now);
                }
                self.update_estimates(now, index, ticket);
                self.update_limit(now, index, ticket, report.as_ref());
            }
            Ending::ErrorResponse => target.health.on_error(now, left),
            Ending::Rejected => {
                let busy = report.is_none_or(|r| r.requests() >= f64::from(r.slots));
                if busy {
                    target.mark_full(now);
                    target.health.on_cancelled(left);
                } else {
                    target.health.on_error(now, left);
                }
            }
            Ending::Misdirected | Ending::Unreachable => target.health.on_failure(now, left, true),
            Ending::Broken => target.health.on_failure(now, left, false),
            Ending::Cancelled => target.health.on_cancelled(left),
        }
    }

    /// Learns the size of the response to a request.
    pub fn record_size(&mut self, ticket: &Ticket, response: Size) {
        if let Some(estimate) = self.estimates.get_mut(&ticket.route) {
            estimate.size.record(response);
        }
    }

    /// Returns what is known of how many requests at once the targets take well.
    #[must_use]
    pub fn limits(&self) -> &LimitCurve {
        &self.limits
    }

    /// Takes the change of that number, if it is by half or more.
    pub fn take_limit_change(&mut self) -> Option<LimitChange> {
        self.limits.take_change()
    }

    /// Returns the hash of a route and what is known of its requests.
    pub(super) fn route_estimate(&mut self, rule: &RouteRule) -> (u64, RouteEstimate) {
        let route = xxh3_64(rule.prefix.as_bytes());
        let estimate = self.estimates.entry(route);
        let estimate = estimate.or_insert_with(|| RouteEstimate::new(rule.objective));
        (route, *estimate)
    }

    pub(super) fn find(&self, id: &InstanceId) -> Option<usize> {
        self.targets.iter().position(|t| t.instance.id == *id)
    }

    /// Learns from an answer how many requests at once the targets take well. Only
    /// requests that found their object warm and a free slot are comparable.
    fn update_limit(
        &mut self,
        now: Millis,
        index: usize,
        ticket: &Ticket,
        report: Option<&LoadReport>,
    ) {
        let free = ticket.load < self.targets[index].slots();
        if let Some(report) = report.filter(|_| ticket.warm && free) {
            #[expect(clippy::cast_precision_loss)]
            let elapsed_ms = (now - ticket.sent_at).0 as f64 - ticket.rtt_ms;
            self.limits.record(ticket.route, elapsed_ms, report);
        }
    }

    /// Updates the duration estimate of the route and the target's slowdown
    /// from an answered request.
    fn update_estimates(&mut self, now: Millis, index: usize, ticket: &Ticket) {
        let Some(estimate) = self.estimates.get_mut(&ticket.route) else {
            return;
        };
        let estimate = &mut estimate.duration;
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = ((now - ticket.sent_at).0 as f64 - ticket.rtt_ms).max(1.0);
        let duration_ms = elapsed_ms / ticket.slowdown.max(0.01);
        if ticket.warm && !ticket.basis.remote {
            // The targets may be slow for good, and then callers need more slots.
            estimate.record_typical(duration_ms * ticket.reported_slowdown);
        }
        let average_ms = estimate.duration_ms(ticket.warm);
        estimate.record(now, ticket.warm, duration_ms);
        let target = &mut self.targets[index];
        let ratio = (duration_ms / average_ms).clamp(0.4, 4.0);
        target.slowdown *= 1.0 + (ratio - 1.0) * SLOWDOWN_SMOOTHING;
        target.slowdown += (1.0 - target.slowdown) * SLOWDOWN_REVERSION;
        target.slowdown = target.slowdown.clamp(0.3, 20.0);
    }
}
