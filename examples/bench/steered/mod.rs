//! Our policy: the decisions of `savorybeam::policy`, wired to the simulated
//! platform as an entry wires them to the network.

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
    fake::Fake,
    loans::Loans,
    platform::{Core, Event},
    world::{self, ENTRIES, Kind, MILLI, Micros},
};

/// How often an entry looks for expired work and missing units.
const TICK: Micros = 20 * MILLI;

/// The state of one service at one entry.
struct Own {
    pool: Pool,
    queue: Queue<usize>,
    lengths: RouteDurations,
    budget: Budget,
    windows: [Window; 2],
    /// Until when the entry waits for an answer to its last question for units.
    asked: Micros,
    places: Vec<(PlaceName, u32)>,
}

/// A request on its way.
#[derive(Clone, Debug, Default)]
struct Live {
    wait: Option<WaitId>,
    attempts: Vec<usize>,
    used: Vec<TargetId>,
    lane: Lane,
    length: Millis,
    first: Millis,
}

/// The state of all entries.
pub struct Steered {
    owns: Vec<Vec<Own>>,
    loans: Loans,
    live: HashMap<usize, Live>,
    rng: SmallRng,
    ids: HashMap<TargetId, usize>,
}

fn id(target: usize) -> TargetId {
    TargetId(([10, 0, (target / 256) as u8, (target % 256) as u8], 8080).into())
}

fn at(lane: Lane) -> usize {
    usize::from(lane == Lane::Long)
}

/// Says whether an entry sends work to a target.
fn uses(core: &Core, owns: &[Vec<Own>], target: usize, entry: usize) -> bool {
    let Fake { service, az, .. } = core.targets[target];
    let serves = entry_for(service, world::entry_region(entry)) == entry;
    serves && owns[entry][service].places[az].1 > 0
}

/// Returns the entry that callers of a service in a region use, as the lookup
/// concentrates them on one.
fn entry_for(service: usize, region: usize) -> usize {
    let each = ENTRIES / world::REGIONS;
    region * each + service % each
}

impl Steered {
    pub fn new(core: &mut Core, seed: u64) -> Self {
        let kinds = core.targets.iter();
        let kinds: Vec<_> = kinds
            .map(|t| (t.service, world::region_of(t.az), t.slots))
            .collect();
        let services = core.deployment.services.len();
        for entry in 0..ENTRIES {
            core.after(TICK, Event::Tick(entry));
        }
        let owns: Vec<Vec<Own>> = (0..ENTRIES)
            .map(|e| (0..services).map(|s| setup::own(core, s, e)).collect())
            .collect();
        let usable = |t: usize| std::array::from_fn(|e| uses(core, &owns, t, e));
        let usable = (0..kinds.len()).map(usable).collect();
        Self {
            owns,
            loans: Loans::new(&kinds, services, usable),
            live: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            ids: (0..kinds.len()).map(|t| (id(t), t)).collect(),
        }
    }

    pub fn handle(&mut self, core: &mut Core, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(core, request),
            Event::Answer(attempt, shed) => self.answer(core, attempt, shed),
            Event::Hedge(request) => self.hedge(core, request),
            Event::Retry(request) => self.retry(core, request),
            Event::Deadline(request) => self.deadline(core, request),
            Event::Ask(service, from, to, count) => self.asked(core, service, (from, to), count),
            Event::Grant(target, entry) => {
                self.loans.granted(target, entry);
                self.pump(core, entry, core.targets[target].service);
            }
            Event::Tick(entry) => self.tick(core, entry),
            Event::Adopt(entry) => self.adopt(core, entry),
            Event::Report => self.report(core),
            _ => {}
        }
    }

    fn arrive(&mut self, core: &mut Core, request: usize) {
        let r = core.requests[request];
        let entry = entry_for(r.service, r.region);
        let own = &mut self.owns[entry][r.service];
        let declared = (r.kind == Kind::Download).then_some(Lane::Long);
        let lane = own.lengths.lane(declared, r.kind.route());
        let length = own.lengths.expected(lane, r.kind.route());
        let left = r.kind.deadline() - 2 * core.deployment.client;
        core.after(left, Event::Deadline(request));
        self.live.insert(
            request,
            Live {
                lane,
                length,
                ..Live::default()
            },
        );
        self.enqueue(core, entry, request, core.now + left);
    }

    fn enqueue(&mut self, core: &mut Core, entry: usize, request: usize, deadline: Micros) {
        let r = core.requests[request];
        let own = &mut self.owns[entry][r.service];
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let ticket = Ticket {
            arrived: core.millis(),
            deadline: Millis(deadline / MILLI),
            lane: live.lane,
            expected_duration: live.length,
            priority: r.kind.priority(),
        };
        own.queue.resize(self.loans.sums(r.service, entry).0);
        let mean = own.lengths.mean(live.lane);
        let now = core.millis();
        match own.queue.offer(now, &mut self.rng, ticket, mean, request) {
            Ok(queued) => {
                live.wait = Some(queued.id);
                if let Some((displaced, _)) = queued.displaced {
                    self.end(core, displaced, false);
                }
            }
            Err(_) => self.end(core, request, false),
        }
        self.pump(core, entry, r.service);
    }

    fn end(&mut self, core: &mut Core, request: usize, answered: bool) {
        self.live.remove(&request);
        core.respond(request, answered);
    }

    /// Starts waiting requests for which there are units, and asks for more.
    fn pump(&mut self, core: &mut Core, entry: usize, service: usize) {
        let (held, _) = self.loans.sums(service, entry);
        self.owns[entry][service].queue.resize(held);
        self.expire(core, entry, service);
        let now = core.millis();
        while let Some(lane) = self.owns[entry][service].queue.next_lane(now) {
            let other = if lane == Lane::Short {
                Lane::Long
            } else {
                Lane::Short
            };
            let started = self.start(core, entry, service, lane)
                || (self.owns[entry][service].queue.can_start(other)
                    && self.start(core, entry, service, other));
            if !started {
                break;
            }
        }
        self.ask_units(core, entry, service);
    }

    fn expire(&mut self, core: &mut Core, entry: usize, service: usize) {
        for lane in [Lane::Short, Lane::Long] {
            let now = core.millis();
            for (request, _) in self.owns[entry][service].queue.expire(now, lane) {
                self.end(core, request, false);
            }
        }
    }

    fn start(&mut self, core: &mut Core, entry: usize, service: usize, lane: Lane) -> bool {
        let own = &mut self.owns[entry][service];
        let now = core.millis();
        let Some((ticket, &request)) = own.queue.peek(lane) else {
            return false;
        };
        let pressed = now - ticket.arrived > Millis(100);
        let used = self.live.get(&request).map(|l| l.used.clone());
        let used = used.unwrap_or_default();
        let Some(target) = self.choose(core, request, entry, &used, pressed) else {
            return false;
        };
        let own = &mut self.owns[entry][service];
        let Some((_, request)) = own.queue.start(lane) else {
            return false;
        };
        if core.tries[request] == 0 {
            own.budget.deposit();
        }
        self.send(core, entry, request, target);
        true
    }

    /// Chooses a target for a request. `used` are those that it was sent to.
    fn choose(
        &mut self,
        core: &Core,
        request: usize,
        entry: usize,
        used: &[TargetId],
        pressed: bool,
    ) -> Option<usize> {
        let r = core.requests[request];
        let own = &mut self.owns[entry][r.service];
        let ask = Criteria {
            lane: self.live.get(&request)?.lane,
            places: &own.places,
            excluded: used,
            extra: !used.is_empty(),
            explore: r.kind != Kind::Booking,
            accept_slow: pressed,
        };
        let (loans, ids) = (&self.loans, &self.ids);
        let free = |target: TargetId, lane| loans.free(ids[&target], entry, lane);
        let choice = own.pool.choose(core.millis(), &mut self.rng, &ask, free);
        choice.ok().map(|c| self.ids[&c.target])
    }

    fn send(&mut self, core: &mut Core, entry: usize, request: usize, target: usize) {
        let r = core.requests[request];
        let own = &mut self.owns[entry][r.service];
        let now = core.millis();
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        own.pool.started(id(target), live.lane);
        self.loans.take(target, entry, live.lane);
        let first = live.used.is_empty();
        if first {
            live.first = now;
        }
        live.wait = None;
        live.used.push(id(target));
        live.attempts.push(core.send(request, entry, target));
        let attempt = describe(core, live, request, &own.queue);
        let known = own.windows[at(live.lane)].percentiles();
        if first && let Ok(at) = retry::hedge_time(&attempt, known) {
            core.after((at - now).0 * MILLI, Event::Hedge(request));
        }
    }

    /// Takes an attempt back and records how it ended.
    fn close(&mut self, core: &mut Core, attempt: usize, lane: Lane, finish: Completion) {
        let a = core.attempts[attempt];
        let service = core.requests[a.request].service;
        let own = &mut self.owns[a.entry][service];
        let time = Millis((core.now - a.sent) / MILLI);
        own.pool
            .finished(core.millis(), id(a.target), lane, finish, time);
        own.queue.finished(lane);
        if finish == Completion::Answered {
            own.windows[at(lane)].add(core.millis(), time);
            let route = core.requests[a.request].kind.route();
            own.lengths.record(lane, route, time);
        }
        if let Some(to) = self.loans.release(a.target, a.entry, lane) {
            let delay = core.between(world::entry_region(a.entry), world::entry_region(to));
            core.after(delay, Event::Grant(a.target, to));
        }
    }

    fn answer(&mut self, core: &mut Core, attempt: usize, shed: bool) {
        let a = core.attempts[attempt];
        if a.dropped {
            return;
        }
        let service = core.requests[a.request].service;
        let Some(mut live) = self.live.remove(&a.request) else {
            return;
        };
        live.attempts.retain(|&other| other != attempt);
        if shed {
            self.close(core, attempt, live.lane, Completion::Cancelled);
            let own = &mut self.owns[a.entry][service];
            own.pool.shed(core.millis(), id(a.target), Millis(1000));
            self.live.insert(a.request, live);
            self.failed(core, a.entry, a.request);
        } else {
            self.close(core, attempt, live.lane, Completion::Answered);
            self.drop_attempts(core, &live);
            core.respond(a.request, true);
        }
        self.pump(core, a.entry, service);
    }

    fn drop_attempts(&mut self, core: &mut Core, live: &Live) {
        for &attempt in &live.attempts {
            self.close(core, attempt, live.lane, Completion::Cancelled);
            core.cancel(attempt);
        }
    }

    /// Sends a request again that was shed, if it may be.
    fn failed(&mut self, core: &mut Core, entry: usize, request: usize) {
        let service = core.requests[request].service;
        let own = &mut self.owns[entry][service];
        let Some(live) = self.live.get(&request) else {
            return;
        };
        if !live.attempts.is_empty() {
            return;
        }
        let attempt = Attempt {
            sent: false,
            ..describe(core, live, request, &own.queue)
        };
        match own.budget.retry(core.millis(), &mut self.rng, &attempt) {
            Ok(delay) => core.after(delay.0 * MILLI, Event::Retry(request)),
            Err(_) => self.end(core, request, false),
        }
    }

    fn retry(&mut self, core: &mut Core, request: usize) {
        let r = core.requests[request];
        let deadline = r.at + r.kind.deadline() - core.deployment.client;
        let entry = entry_for(r.service, r.region);
        self.enqueue(core, entry, request, deadline);
    }

    fn hedge(&mut self, core: &mut Core, request: usize) {
        let r = core.requests[request];
        let entry = entry_for(r.service, r.region);
        let Some(live) = self.live.get(&request).cloned() else {
            return;
        };
        let own = &mut self.owns[entry][r.service];
        if live.attempts.len() != 1 || !own.queue.can_start(live.lane) {
            return;
        }
        let attempt = describe(core, &live, request, &own.queue);
        if own.budget.hedge(core.millis(), &attempt).is_err() {
            return;
        }
        match self.choose(core, request, entry, &live.used, false) {
            Some(target) => {
                self.owns[entry][r.service].queue.started(live.lane);
                self.send(core, entry, request, target);
            }
            None => self.owns[entry][r.service].budget.refund(),
        }
    }

    fn deadline(&mut self, core: &mut Core, request: usize) {
        let Some(live) = self.live.remove(&request) else {
            return;
        };
        let r = core.requests[request];
        let entry = entry_for(r.service, r.region);
        if let Some(wait) = live.wait {
            self.owns[entry][r.service].queue.cancel(wait);
        }
        self.drop_attempts(core, &live);
        core.respond(request, false);
        self.pump(core, entry, r.service);
    }

    fn tick(&mut self, core: &mut Core, entry: usize) {
        for service in 0..self.owns[entry].len() {
            self.pump(core, entry, service);
        }
        if !core.drained() || !self.live.is_empty() {
            core.after(TICK, Event::Tick(entry));
        }
    }

    /// Takes over the document of the first service, as it is now.
    fn adopt(&mut self, core: &mut Core, entry: usize) {
        let places = setup::places(core, 0);
        self.owns[entry][0].pool.adopt(core.millis(), &places);
        for (target, fake) in core.targets.iter().enumerate() {
            self.loans.close(target, fake.leaves(core.now));
        }
        self.pump(core, entry, 0);
    }

    fn report(&mut self, core: &Core) {
        let now = core.millis();
        for (target, &load) in core.reports.iter().enumerate() {
            let report = LoadReport {
                measured_at: now - Millis(2000),
                load,
            };
            for owns in &mut self.owns {
                let own = &mut owns[core.targets[target].service];
                own.pool.report(id(target), report);
            }
        }
    }
}

fn describe(core: &Core, live: &Live, request: usize, queue: &Queue<usize>) -> Attempt {
    let r = core.requests[request];
    let deadline = r.at + r.kind.deadline() - core.deployment.client;
    Attempt {
        idempotent: r.kind != Kind::Booking,
        sent: true,
        count: live.used.len() as u32,
        first: live.first,
        deadline: Millis(deadline / MILLI),
        expected_duration: live.length,
        strikes: 0,
        shedding: queue.head_wait_percent(core.millis(), Lane::Short) > 50,
    }
}
