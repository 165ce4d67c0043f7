//! The simulated platform: virtual time, targets, links and the fate of each
//! request. Both policies drive the same platform.

use std::{cmp::Reverse, collections::BinaryHeap};

use savorybeam::domain::Millis;

use crate::{
    fake::{Fake, Start},
    measure::Tally,
    net::{Net, Step},
    world::{self, Deployment, ENTRIES, MILLI, Micros, Request},
};

/// What happens at an instant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// A request reaches its entry.
    Arrive(usize),
    /// An attempt reaches its target.
    Reach(usize),
    /// The work of an attempt is done.
    Done(usize),
    /// The next part of an attempt's answer may be sent over a link.
    Chunk(usize, u64),
    /// An answer reaches the entry; it says whether the target shed the attempt.
    Answer(usize, bool),
    /// A cancellation reaches the target.
    Cancel(usize),
    /// A request may be hedged now.
    Hedge(usize),
    /// A failed request may be sent again now.
    Retry(usize),
    /// The deadline of a request has passed.
    Deadline(usize),
    /// An entry asks another one for slot units: service, from, to, count.
    Ask(usize, usize, usize, u32),
    /// A slot unit of a target reaches an entry.
    Grant(usize, usize),
    /// An entry does its periodic work.
    Tick(usize),
    /// A change of the first service's document reaches an entry.
    Adopt(usize),
    /// Targets measure their load.
    Measure,
    /// The reports of the last measurement reach the entries.
    Report,
}

/// One execution of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: usize,
    pub entry: usize,
    pub target: usize,
    pub sent: Micros,
    /// When it reached its target.
    pub reached: Micros,
    /// When it began to run.
    pub started: Option<Micros>,
    /// The time that its target has spent on it.
    pub spent: Micros,
    /// How many attempts of the request came before it.
    pub nth: u64,
    /// Whether the entry has given it up.
    pub dropped: bool,
    /// Whether the target has finished with it.
    pub over: bool,
}

/// The platform.
pub struct Core {
    pub now: Micros,
    pub deployment: Deployment,
    pub requests: Vec<Request>,
    /// Whether each request's caller has been told its end.
    pub ended: Vec<bool>,
    pub attempts: Vec<Attempt>,
    /// How often each request was sent.
    pub tries: Vec<u64>,
    pub targets: Vec<Fake>,
    pub tally: Tally,
    pub net: Net,
    pub reports: Vec<f64>,
    heap: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    arrived: usize,
}

impl Core {
    pub fn new(
        deployment: Deployment,
        requests: Vec<Request>,
        targets: Vec<Fake>,
        tally: Tally,
        net: Net,
    ) -> Self {
        let mut core = Self {
            now: 0,
            deployment,
            ended: vec![false; requests.len()],
            tries: vec![0; requests.len()],
            requests,
            attempts: Vec::new(),
            reports: vec![0.0; targets.len()],
            targets,
            tally,
            net,
            heap: BinaryHeap::new(),
            order: 0,
            arrived: 0,
        };
        core.arrive();
        core.plan_restarts();
        core.after(world::SECOND, Event::Measure);
        core
    }

    /// Returns the time as the decisions see it.
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
                    self.arrive();
                    return Some(event);
                }
                Event::Reach(attempt) => self.reach(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Chunk(attempt, left) => self.chunk(attempt, left),
                Event::Cancel(attempt) => self.cancelled(attempt),
                Event::Measure => self.measure(),
                _ => return Some(event),
            }
        }
    }

    /// Has each entry learn of a leaving target and of its return within 1.6 s.
    fn plan_restarts(&mut self) {
        let Some((leave, back)) = self.targets.iter().find_map(|t| t.restart) else {
            return;
        };
        for entry in 0..ENTRIES {
            let late = 200 * MILLI * entry as Micros;
            self.after(leave + late, Event::Adopt(entry));
            self.after(back + late, Event::Adopt(entry));
        }
    }

    /// Schedules the next arrival, so that the queue holds one at a time.
    fn arrive(&mut self) {
        let next = self.arrived;
        if let Some(request) = self.requests.get(next) {
            let at = request.at + self.deployment.client;
            self.arrived += 1;
            self.order += 1;
            self.heap
                .push(Reverse((at, self.order, Event::Arrive(next))));
        }
    }

    /// Says whether all requests have arrived.
    pub fn drained(&self) -> bool {
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
        let nth = self.tries[request];
        self.tries[request] += 1;
        self.tally.sent(self.now, nth);
        self.attempts.push(Attempt {
            request,
            entry,
            target,
            sent: self.now,
            reached: 0,
            started: None,
            spent: 0,
            nth,
            dropped: false,
            over: false,
        });
        self.after(self.delay(entry, target), Event::Reach(attempt));
        attempt
    }

    /// Gives an attempt up and tells its target.
    pub fn cancel(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        a.dropped = true;
        let (entry, target, spent) = (a.entry, a.target, a.spent);
        // It may be over while its answer is still on the way.
        self.tally.wasted(self.now, spent);
        self.after(self.delay(entry, target), Event::Cancel(attempt));
    }

    /// Tells a caller the end of its request, once.
    pub fn respond(&mut self, request: usize, answered: bool) {
        if std::mem::replace(&mut self.ended[request], true) {
            return;
        }
        let at = self.now + self.deployment.client;
        self.tally.end(&self.requests[request], at, answered);
    }

    fn reach(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].reached = self.now;
        let a = self.attempts[attempt];
        match self.targets[target].arrive(attempt) {
            Start::Now => self.start(attempt),
            Start::Later => {}
            Start::Shed => {
                self.attempts[attempt].over = true;
                self.after(self.delay(a.entry, target), Event::Answer(attempt, true));
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
        let (work, slots) = there.fold((0, 0), |(w, s), t| (w + t.present(), s + t.slots));
        self.tally
            .observe(self.now, &self.targets[target], work, slots);
    }

    fn start(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        let request = &self.requests[a.request];
        let factor = world::execution(request, a.nth) * self.targets[a.target].factor(self.now);
        let time = (request.work as f64 * factor) as Micros;
        self.attempts[attempt].started = Some(self.now);
        self.after(time, Event::Done(attempt));
    }

    fn done(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        if a.over {
            return;
        }
        let bytes = self.requests[a.request].bytes;
        let from = world::region_of(self.targets[a.target].az);
        let to = world::entry_region(a.entry);
        if from == to {
            let delay = self.delay(a.entry, a.target);
            self.after(delay, Event::Answer(attempt, false));
            self.release(attempt);
        } else {
            self.net.begin(attempt);
            let first = self.net.window(bytes);
            for _ in 0..first {
                self.chunk(attempt, bytes);
            }
        }
    }

    /// Sends the next part of an answer over a link. The target's slot is held
    /// until the last part is sent.
    fn chunk(&mut self, attempt: usize, bytes: u64) {
        let a = self.attempts[attempt];
        if a.over {
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
                self.after(arrival, Event::Answer(attempt, false));
                self.release(attempt);
            }
            Step::End => {}
        }
    }

    fn cancelled(&mut self, attempt: usize) {
        if !self.attempts[attempt].over {
            self.release(attempt);
        }
    }

    fn release(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].over = true;
        self.account(attempt);
        if self.targets[target].leaves(self.now) {
            let reached = self.attempts[attempt].reached;
            self.tally.left(self.now, reached);
        }
        self.net.forget(attempt);
        if let Some(next) = self.targets[target].leave(attempt) {
            self.start(next);
        }
    }

    /// Records the time that a target spent on an attempt.
    fn account(&mut self, attempt: usize) {
        let a = self.attempts[attempt];
        let repeated = self.tries[a.request] > 1;
        if let Some(started) = a.started {
            let vain = a.dropped && repeated;
            self.attempts[attempt].spent = self.now - started;
            self.tally.spent(self.now, vain, self.now - started);
        }
    }

    /// Targets measure their load each second; the reports arrive 2 s late. One
    /// target of each service always reports that it is idle.
    fn measure(&mut self) {
        for (n, target) in self.targets.iter().enumerate() {
            let load = f64::from(target.present()) / f64::from(target.slots);
            self.reports[n] = if target.lies { 0.0 } else { load };
        }
        self.after(2 * world::SECOND, Event::Report);
        if !self.drained() {
            self.after(world::SECOND, Event::Measure);
        }
    }
}
