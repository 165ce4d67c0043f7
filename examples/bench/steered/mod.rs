//! Connects the decisions of `savorybeam::policy` to the simulated platform, as
//! an entry connects them to the network.

mod setup;
mod units;

use std::collections::HashMap;

use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Lane, Millis, PlaceName, TargetId},
    policy::{
        queue::{Queue, RouteDurations, Ticket, WaitId},
        retry::{self, Attempt, Budget, Window},
        target::{Completion, Criteria, LoadReport, Pool},
    },
};

use crate::{
    loans::Loans,
    platform::{Event, Platform},
    target::Target,
    world::{self, ENTRIES, Kind, MILLI, Micros},
};

/// Interval at which an entry expires waiting requests and requests units.
const TICK: Micros = 20 * MILLI;

/// The state of one service at one entry.
struct ServiceState {
    pool: Pool,
    queue: Queue<usize>,
    durations: RouteDurations,
    budget: Budget,
    windows: [Window; 2],
    /// When the response to the last request for units is due.
    reply_due: Micros,
    places: Vec<(PlaceName, u32)>,
}

/// A request that has not ended.
#[derive(Clone, Debug, Default)]
struct InFlight {
    /// Its place in the queue, if it waits.
    wait: Option<WaitId>,
    /// The attempts that run.
    attempts: Vec<usize>,
    /// The targets of all its attempts.
    used: Vec<TargetId>,
    lane: Lane,
    /// The expected duration of an attempt.
    duration: Millis,
    /// When its first attempt was sent.
    first: Millis,
}

/// The state of all entries.
pub struct Steered {
    services: Vec<Vec<ServiceState>>,
    loans: Loans,
    in_flight: HashMap<usize, InFlight>,
    rng: SmallRng,
    ids: HashMap<TargetId, usize>,
}

fn id(target: usize) -> TargetId {
    TargetId(([10, 0, (target / 256) as u8, (target % 256) as u8], 8080).into())
}

fn lane_index(lane: Lane) -> usize {
    usize::from(lane == Lane::Long)
}

/// Returns whether an entry sends work to a target.
fn uses(platform: &Platform, services: &[Vec<ServiceState>], target: usize, entry: usize) -> bool {
    let Target { service, az, .. } = platform.targets[target];
    let serves = units::serves(entry, service);
    serves && services[entry][service].places[az].1 > 0
}

/// Returns the entry for the callers of a service in a region. The lookup
/// concentrates them on one entry.
fn entry_for(service: usize, region: usize) -> usize {
    let per_region = ENTRIES / world::REGIONS;
    region * per_region + service % per_region
}

impl Steered {
    pub fn new(platform: &mut Platform, seed: u64) -> Self {
        let targets = platform.targets.iter();
        let targets: Vec<_> = targets
            .map(|t| (t.service, world::region_of(t.az), t.slots))
            .collect();
        let count = platform.deployment.services.len();
        for entry in 0..ENTRIES {
            platform.after(TICK, Event::Tick(entry));
        }
        let services: Vec<Vec<ServiceState>> = (0..ENTRIES)
            .map(|e| {
                (0..count)
                    .map(|s| setup::service_state(platform, s, e))
                    .collect()
            })
            .collect();
        let usable = |t: usize| std::array::from_fn(|e| uses(platform, &services, t, e));
        let usable = (0..targets.len()).map(usable).collect();
        Self {
            services,
            loans: Loans::new(&targets, count, usable),
            in_flight: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            ids: (0..targets.len()).map(|t| (id(t), t)).collect(),
        }
    }

    pub fn handle(&mut self, platform: &mut Platform, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(platform, request),
            Event::Response(attempt, shed) => self.response(platform, attempt, shed),
            Event::Hedge(request) => self.hedge(platform, request),
            Event::Retry(request) => self.retry(platform, request),
            Event::Deadline(request) => self.deadline(platform, request),
            Event::UnitRequest(service, from, to, count) => {
                self.lend_units(platform, service, (from, to), count);
            }
            Event::Grant(target, entry) => {
                self.loans.granted(target, entry);
                self.dispatch(platform, entry, platform.targets[target].service);
            }
            Event::Tick(entry) => self.tick(platform, entry),
            Event::Adopt(entry) => self.adopt(platform, entry),
            Event::Report => self.report(platform),
            _ => {}
        }
    }

    fn arrive(&mut self, platform: &mut Platform, request: usize) {
        let r = platform.requests[request];
        let entry = entry_for(r.service, r.region);
        let state = &mut self.services[entry][r.service];
        let declared = (r.kind == Kind::Download).then_some(Lane::Long);
        let lane = state.durations.lane(declared, r.kind.route());
        let duration = state.durations.expected(lane, r.kind.route());
        let left = r.kind.deadline() - 2 * platform.deployment.client;
        platform.after(left, Event::Deadline(request));
        self.in_flight.insert(
            request,
            InFlight {
                lane,
                duration,
                ..InFlight::default()
            },
        );
        self.enqueue(platform, entry, request, platform.now + left);
    }

    fn enqueue(&mut self, platform: &mut Platform, entry: usize, request: usize, deadline: Micros) {
        let r = platform.requests[request];
        let state = &mut self.services[entry][r.service];
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        let ticket = Ticket {
            arrived: platform.millis(),
            deadline: Millis(deadline / MILLI),
            lane: in_flight.lane,
            expected_duration: in_flight.duration,
            priority: r.kind.priority(),
        };
        state.queue.resize(self.loans.sums(r.service, entry).0);
        let mean = state.durations.mean(in_flight.lane);
        let now = platform.millis();
        match state.queue.offer(now, &mut self.rng, ticket, mean, request) {
            Ok(queued) => {
                in_flight.wait = Some(queued.id);
                if let Some((displaced, _)) = queued.displaced {
                    self.end(platform, displaced, false);
                }
            }
            Err(_) => self.end(platform, request, false),
        }
        self.dispatch(platform, entry, r.service);
    }

    fn end(&mut self, platform: &mut Platform, request: usize, answered: bool) {
        self.in_flight.remove(&request);
        platform.respond(request, answered);
    }

    /// Starts waiting requests while there are free units, and requests more units.
    fn dispatch(&mut self, platform: &mut Platform, entry: usize, service: usize) {
        let (held, _) = self.loans.sums(service, entry);
        self.services[entry][service].queue.resize(held);
        self.expire(platform, entry, service);
        let now = platform.millis();
        while let Some(lane) = self.services[entry][service].queue.next_lane(now) {
            let other = if lane == Lane::Short {
                Lane::Long
            } else {
                Lane::Short
            };
            let started = self.start(platform, entry, service, lane)
                || (self.services[entry][service].queue.can_start(other)
                    && self.start(platform, entry, service, other));
            if !started {
                break;
            }
        }
        self.request_units(platform, entry, service);
    }

    fn expire(&mut self, platform: &mut Platform, entry: usize, service: usize) {
        for lane in [Lane::Short, Lane::Long] {
            let now = platform.millis();
            for (request, _) in self.services[entry][service].queue.expire(now, lane) {
                self.end(platform, request, false);
            }
        }
    }

    fn start(&mut self, platform: &mut Platform, entry: usize, service: usize, lane: Lane) -> bool {
        let state = &mut self.services[entry][service];
        let now = platform.millis();
        let Some((ticket, &request)) = state.queue.peek(lane) else {
            return false;
        };
        let accept_slow = now - ticket.arrived > Millis(100);
        let used = self.in_flight.get(&request).map(|l| l.used.clone());
        let used = used.unwrap_or_default();
        let Some(target) = self.choose(platform, request, entry, &used, accept_slow) else {
            return false;
        };
        let state = &mut self.services[entry][service];
        let Some((_, request)) = state.queue.start(lane) else {
            return false;
        };
        if platform.sends[request] == 0 {
            state.budget.deposit();
        }
        self.send(platform, entry, request, target);
        true
    }

    /// Chooses a target for a request. `used` are the targets of its earlier
    /// attempts.
    fn choose(
        &mut self,
        platform: &Platform,
        request: usize,
        entry: usize,
        used: &[TargetId],
        accept_slow: bool,
    ) -> Option<usize> {
        let r = platform.requests[request];
        let state = &mut self.services[entry][r.service];
        let criteria = Criteria {
            lane: self.in_flight.get(&request)?.lane,
            places: &state.places,
            excluded: used,
            extra: !used.is_empty(),
            explore: r.kind != Kind::Booking,
            accept_slow,
        };
        let (loans, ids) = (&self.loans, &self.ids);
        let free = |target: TargetId, lane| loans.free(ids[&target], entry, lane);
        let choice = state
            .pool
            .choose(platform.millis(), &mut self.rng, &criteria, free);
        choice.ok().map(|c| self.ids[&c.target])
    }

    fn send(&mut self, platform: &mut Platform, entry: usize, request: usize, target: usize) {
        let r = platform.requests[request];
        let state = &mut self.services[entry][r.service];
        let now = platform.millis();
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.pool.started(id(target), in_flight.lane);
        self.loans.take(target, entry, in_flight.lane);
        let first = in_flight.used.is_empty();
        if first {
            in_flight.first = now;
        }
        in_flight.wait = None;
        in_flight.used.push(id(target));
        in_flight
            .attempts
            .push(platform.send(request, entry, target));
        let attempt = retry_state(platform, in_flight, request, &state.queue);
        let percentiles = state.windows[lane_index(in_flight.lane)].percentiles();
        if first && let Ok(at) = retry::hedge_time(&attempt, percentiles) {
            platform.after((at - now).0 * MILLI, Event::Hedge(request));
        }
    }

    /// Records the end of an attempt and releases its unit.
    fn finish(
        &mut self,
        platform: &mut Platform,
        attempt: usize,
        lane: Lane,
        completion: Completion,
    ) {
        let a = platform.attempts[attempt];
        let service = platform.requests[a.request].service;
        let state = &mut self.services[a.entry][service];
        let time = Millis((platform.now - a.sent) / MILLI);
        state
            .pool
            .finished(platform.millis(), id(a.target), lane, completion, time);
        state.queue.finished(lane);
        if completion == Completion::Answered {
            state.windows[lane_index(lane)].add(platform.millis(), time);
            let route = platform.requests[a.request].kind.route();
            state.durations.record(lane, route, time);
        }
        if let Some(to) = self.loans.release(a.target, a.entry, lane) {
            let delay = platform.between(world::entry_region(a.entry), world::entry_region(to));
            platform.after(delay, Event::Grant(a.target, to));
        }
    }

    fn response(&mut self, platform: &mut Platform, attempt: usize, shed: bool) {
        let a = platform.attempts[attempt];
        if a.cancelled {
            return;
        }
        let service = platform.requests[a.request].service;
        let Some(mut in_flight) = self.in_flight.remove(&a.request) else {
            return;
        };
        in_flight.attempts.retain(|&other| other != attempt);
        if shed {
            self.finish(platform, attempt, in_flight.lane, Completion::Cancelled);
            let state = &mut self.services[a.entry][service];
            state
                .pool
                .shed(platform.millis(), id(a.target), Millis(1000));
            self.in_flight.insert(a.request, in_flight);
            self.retry_shed(platform, a.entry, a.request);
        } else {
            self.finish(platform, attempt, in_flight.lane, Completion::Answered);
            self.cancel_attempts(platform, &in_flight);
            platform.respond(a.request, true);
        }
        self.dispatch(platform, a.entry, service);
    }

    fn cancel_attempts(&mut self, platform: &mut Platform, in_flight: &InFlight) {
        for &attempt in &in_flight.attempts {
            self.finish(platform, attempt, in_flight.lane, Completion::Cancelled);
            platform.cancel(attempt);
        }
    }

    /// Schedules a retry of a request that was shed, if the retry budget permits.
    fn retry_shed(&mut self, platform: &mut Platform, entry: usize, request: usize) {
        let service = platform.requests[request].service;
        let state = &mut self.services[entry][service];
        let Some(in_flight) = self.in_flight.get(&request) else {
            return;
        };
        if !in_flight.attempts.is_empty() {
            return;
        }
        let attempt = Attempt {
            sent: false,
            ..retry_state(platform, in_flight, request, &state.queue)
        };
        match state
            .budget
            .retry(platform.millis(), &mut self.rng, &attempt)
        {
            Ok(delay) => platform.after(delay.0 * MILLI, Event::Retry(request)),
            Err(_) => self.end(platform, request, false),
        }
    }

    fn retry(&mut self, platform: &mut Platform, request: usize) {
        let r = platform.requests[request];
        let deadline = r.at + r.kind.deadline() - platform.deployment.client;
        let entry = entry_for(r.service, r.region);
        self.enqueue(platform, entry, request, deadline);
    }

    fn hedge(&mut self, platform: &mut Platform, request: usize) {
        let r = platform.requests[request];
        let entry = entry_for(r.service, r.region);
        let Some(in_flight) = self.in_flight.get(&request).cloned() else {
            return;
        };
        let state = &mut self.services[entry][r.service];
        if in_flight.attempts.len() != 1 || !state.queue.can_start(in_flight.lane) {
            return;
        }
        let attempt = retry_state(platform, &in_flight, request, &state.queue);
        if state.budget.hedge(platform.millis(), &attempt).is_err() {
            return;
        }
        match self.choose(platform, request, entry, &in_flight.used, false) {
            Some(target) => {
                self.services[entry][r.service]
                    .queue
                    .started(in_flight.lane);
                self.send(platform, entry, request, target);
            }
            None => self.services[entry][r.service].budget.refund(),
        }
    }

    fn deadline(&mut self, platform: &mut Platform, request: usize) {
        let Some(in_flight) = self.in_flight.remove(&request) else {
            return;
        };
        let r = platform.requests[request];
        let entry = entry_for(r.service, r.region);
        if let Some(wait) = in_flight.wait {
            self.services[entry][r.service].queue.cancel(wait);
        }
        self.cancel_attempts(platform, &in_flight);
        platform.respond(request, false);
        self.dispatch(platform, entry, r.service);
    }

    fn tick(&mut self, platform: &mut Platform, entry: usize) {
        for service in 0..self.services[entry].len() {
            self.dispatch(platform, entry, service);
        }
        if !platform.all_arrived() || !self.in_flight.is_empty() {
            platform.after(TICK, Event::Tick(entry));
        }
    }

    /// Adopts the current document of the first service.
    fn adopt(&mut self, platform: &mut Platform, entry: usize) {
        let places = setup::places(platform, 0);
        self.services[entry][0]
            .pool
            .adopt(platform.millis(), &places);
        for (target, t) in platform.targets.iter().enumerate() {
            self.loans.set_leaving(target, t.is_leaving(platform.now));
        }
        self.dispatch(platform, entry, 0);
    }

    fn report(&mut self, platform: &Platform) {
        let now = platform.millis();
        for (target, &load) in platform.reports.iter().enumerate() {
            let report = LoadReport {
                measured_at: now - Millis(2000),
                load,
            };
            for services in &mut self.services {
                let state = &mut services[platform.targets[target].service];
                state.pool.report(id(target), report);
            }
        }
    }
}

fn retry_state(
    platform: &Platform,
    in_flight: &InFlight,
    request: usize,
    queue: &Queue<usize>,
) -> Attempt {
    let r = platform.requests[request];
    let deadline = r.at + r.kind.deadline() - platform.deployment.client;
    Attempt {
        idempotent: r.kind != Kind::Booking,
        sent: true,
        count: in_flight.used.len() as u32,
        first: in_flight.first,
        deadline: Millis(deadline / MILLI),
        expected_duration: in_flight.duration,
        strikes: 0,
        shedding: queue.head_wait_percent(platform.millis(), Lane::Short) > 50,
    }
}
