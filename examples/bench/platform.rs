//! The simulated platform: virtual time, targets, links and requests. Both
//! policies run on it.

use std::{cmp::Reverse, collections::BinaryHeap};

use savorybeam::domain::Millis;

use crate::{
    net::{Net, Step},
    stats::Stats,
    target::{Admission, Target},
    world::{self, Deployment, ENTRIES, MILLI, Micros, Request},
};

/// An event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// A request arrives at its entry.
    Arrive(usize),
    /// An attempt arrives at its target.
    Reach(usize),
    /// The work of an attempt is done.
    Done(usize),
    /// The next chunk of a response may be sent over a link: attempt, bytes of
    /// the response.
    Chunk(usize, u64),
    /// A response arrives at the entry: attempt, whether the target shed it.
    Response(usize, bool),
    /// The cancellation of an attempt arrives at the target.
    Cancel(usize),
    /// A request may be hedged now.
    Hedge(usize),
    /// The back-off of a failed request is over.
    Retry(usize),
    /// The deadline of a request has passed.
    Deadline(usize),
    /// A request for slot units arrives at an entry: service, borrower, lender,
    /// count.
    UnitRequest(usize, usize, usize, u32),
    /// A slot unit arrives at an entry: target, entry.
    Grant(usize, usize),
    /// The periodic work of an entry is due.
    Tick(usize),
    /// A change of the first service's document arrives at an entry.
    Adopt(usize),
    /// The targets measure their load.
    Measure,
    /// The load reports of the last measurement arrive at the entries.
    Report,
}

/// One execution of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: usize,
    pub entry: usize,
    pub target: usize,
    pub sent: Micros,
    /// When it arrived at its target.
    pub reached: Micros,
    /// When a slot was free for it.
    pub started: Option<Micros>,
    /// The time that its target spent on it.
    pub spent: Micros,
    /// The number of earlier attempts of the request.
    pub nth: u64,
    /// Whether the entry has cancelled it.
    pub cancelled: bool,
    /// Whether it has ended at the target.
    pub finished: bool,
}

/// The state of the platform.
pub struct Platform {
    pub now: Micros,
    pub deployment: Deployment,
    pub requests: Vec<Request>,
    /// Whether the caller of each request has its response.
    pub ended: Vec<bool>,
    pub attempts: Vec<Attempt>,
    /// The number of attempts of each request.
    pub sends: Vec<u64>,
    pub targets: Vec<Target>,
    pub stats: Stats,
    pub net: Net,
    pub reports: Vec<f64>,
    heap: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    arrived: usize,
}

impl Platform {
    pub fn new(
        deployment: Deployment,
        requests: Vec<Request>,
        targets: Vec<Target>,
        stats: Stats,
        net: Net,
    ) -> Self {
        let mut platform = Self {
            now: 0,
            deployment,
            ended: vec![false; requests.len()],
            sends: vec![0; requests.len()],
            requests,
            attempts: Vec::new(),
            reports: vec![0.0; targets.len()],
            targets,
            stats,
            net,
            heap: BinaryHeap::new(),
            order: 0,
            arrived: 0,
        };
        platform.schedule_arrival();
        platform.schedule_restarts();
        platform.after(world::SECOND, Event::Measure);
        platform
    }

    /// Returns the current time in the unit of the policies.
    pub fn millis(&self) -> Millis {
        Millis(self.now / MILLI)
    }

    pub fn after(&mut self, time: Micros, event: Event) {
        self.order += 1;
        let at = self.now + time;
        self.heap.push(Reverse((at, self.order, event)));
    }

    /// Returns the next event that a policy has to handle.
    pub fn next(&mut self) -> Option<Event> {
        loop {
            let Reverse((at, _, event)) = self.heap.pop()?;
            self.now = at;
            match event {
                Event::Arrive(_) => {
                    self.schedule_arrival();
                    return Some(event);
                }
                Event::Reach(attempt) => self.reached(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Chunk(attempt, left) => self.chunk(attempt, left),
                Event::Cancel(attempt) => self.cancelled(attempt),
                Event::Measure => self.measure(),
                _ => return Some(event),
            }
        }
    }

    /// Schedules the changes of the document for a restart. They arrive at the
    /// entries within 1.6 s.
    fn schedule_restarts(&mut self) {
        let Some((leave, back)) = self.targets.iter().find_map(|t| t.restart) else {
            return;
        };
        for entry in 0..ENTRIES {
            let delay = 200 * MILLI * entry as Micros;
            self.after(leave + delay, Event::Adopt(entry));
            self.after(back + delay, Event::Adopt(entry));
        }
    }

    /// Schedules the next arrival, so that the event queue holds one at a time.
    fn schedule_arrival(&mut self) {
        let next = self.arrived;
        if let Some(request) = self.requests.get(next) {
            let at = request.at + self.deployment.client;
            self.arrived += 1;
            self.order += 1;
            self.heap
                .push(Reverse((at, self.order, Event::Arrive(next))));
        }
    }

    /// Returns whether all requests have arrived.
    pub fn all_arrived(&self) -> bool {
        self.arrived >= self.requests.len()
    }

    /// Returns the one-way delay between an entry and a target.
    pub fn delay(&self, entry: usize, target: usize) -> Micros {
        let there = world::region_of(self.targets[target].az);
        self.between(world::entry_region(entry), there)
    }

    pub fn between(&self, a: usize, b: usize) -> Micros {
        if a == b {
            self.deployment.az
        } else {
            self.deployment.region
        }
    }

    /// Sends a request to a target.
    pub fn send(&mut self, request: usize, entry: usize, target: usize) -> usize {
        let attempt = self.attempts.len();
        let nth = self.sends[request];
        self.sends[request] += 1;
        self.stats.sent(self.now, nth);
        self.attempts.push(Attempt {
            request,
            entry,
            target,
            sent: self.now,
            reached: 0,
            started: None,
            spent: 0,
            nth,
            cancelled: false,
            finished: false,
        });
        self.after(self.delay(entry, target), Event::Reach(attempt));
        attempt
    }

    /// Cancels an attempt and notifies its target.
    pub fn cancel(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        a.cancelled = true;
        let (entry, target, spent) = (a.entry, a.target, a.spent);
        // The attempt may have ended at the target while its response is in transit.
        self.stats.mark_wasted(self.now, spent);
        self.after(self.delay(entry, target), Event::Cancel(attempt));
    }

    /// Ends a request for its caller, unless it has ended before.
    pub fn respond(&mut self, request: usize, answered: bool) {
        if std::mem::replace(&mut self.ended[request], true) {
            return;
        }
        let at = self.now + self.deployment.client;
        self.stats.end(&self.requests[request], at, answered);
    }

    fn reached(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].reached = self.now;
        let a = self.attempts[attempt];
        match self.targets[target].admit(attempt) {
            Admission::Started => self.start(attempt),
            Admission::Queued => {}
            Admission::Shed => {
                self.attempts[attempt].finished = true;
                self.after(self.delay(a.entry, target), Event::Response(attempt, true));
            }
        }
        self.observe(target);
    }

    fn observe(&mut self, target: usize) {
        let region = world::region_of(self.targets[target].az);
        let there = self
            .targets
            .iter()
            .filter(|t| world::region_of(t.az) == region);
        let (work, slots) = there.fold((0, 0), |(w, s), t| (w + t.load(), s + t.slots));
        self.stats
            .observe(self.now, &self.targets[target], work, slots);
    }

    fn start(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        let request = &self.requests[a.request];
        let factor =
            world::execution_factor(request, a.nth) * self.targets[a.target].slowdown(self.now);
        let time = (request.work as f64 * factor) as Micros;
        self.attempts[attempt].started = Some(self.now);
        self.after(time, Event::Done(attempt));
    }

    fn done(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        if a.finished {
            return;
        }
        let bytes = self.requests[a.request].bytes;
        let from = world::region_of(self.targets[a.target].az);
        let to = world::entry_region(a.entry);
        if from == to {
            let delay = self.delay(a.entry, a.target);
            self.after(delay, Event::Response(attempt, false));
            self.release(attempt);
        } else {
            self.net.begin(attempt);
            let first = self.net.window(bytes);
            for _ in 0..first {
                self.chunk(attempt, bytes);
            }
        }
    }

    /// Sends the next chunk of a response over a link. The attempt keeps its slot
    /// until the last chunk is sent.
    fn chunk(&mut self, attempt: usize, bytes: u64) {
        let a = self.attempts[attempt];
        if a.finished {
            return;
        }
        let from = world::region_of(self.targets[a.target].az);
        let to = world::entry_region(a.entry);
        match self.net.chunk(self.now, attempt, bytes, (from, to)) {
            Step::Wait(at) | Step::Sent(at) => {
                self.after(at - self.now, Event::Chunk(attempt, bytes));
            }
            Step::Last(at) => {
                let arrival = at - self.now + self.deployment.region;
                self.after(arrival, Event::Response(attempt, false));
                self.release(attempt);
            }
            Step::End => {}
        }
    }

    fn cancelled(&mut self, attempt: usize) {
        if !self.attempts[attempt].finished {
            self.release(attempt);
        }
    }

    fn release(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].finished = true;
        self.record_time(attempt);
        if self.targets[target].is_leaving(self.now) {
            let reached = self.attempts[attempt].reached;
            self.stats.left(self.now, reached);
        }
        self.net.cancel(attempt);
        if let Some(next) = self.targets[target].remove(attempt) {
            self.start(next);
        }
    }

    /// Records the time that a target spent on an attempt.
    fn record_time(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        let repeated = self.sends[a.request] > 1;
        if let Some(started) = a.started {
            let wasted = a.cancelled && repeated;
            self.attempts[attempt].spent = self.now - started;
            self.stats.spent(self.now, wasted, self.now - started);
        }
    }

    /// Measures the load of the targets each second. The reports arrive 2 s later.
    /// One target of each service always reports that it is idle.
    fn measure(&mut self) {
        for (n, target) in self.targets.iter().enumerate() {
            let load = f64::from(target.load()) / f64::from(target.slots);
            self.reports[n] = if target.misreports { 0.0 } else { load };
        }
        self.after(2 * world::SECOND, Event::Report);
        if !self.all_arrived() {
            self.after(world::SECOND, Event::Measure);
        }
    }
}
