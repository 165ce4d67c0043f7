//! The naive policy: round robin over the targets, a limit of its own per entry,
//! one FIFO queue, and a retry on each failure.

use std::collections::VecDeque;

use crate::{
    platform::{Core, Event},
    world::{self, ENTRIES},
};

/// How often a request is sent.
const ATTEMPTS_MAX: u64 = 3;

/// How many requests wait at an entry per service.
const WAITING_MAX: usize = 1000;

struct Line {
    waiting: VecDeque<usize>,
    targets: Vec<usize>,
    next: usize,
}

/// The state of all entries.
pub struct Naive {
    lines: Vec<Vec<Line>>,
    running: Vec<[u32; ENTRIES]>,
    /// The targets that each entry knows to leave.
    leaving: [Vec<usize>; ENTRIES],
}

impl Naive {
    pub fn new(core: &Core) -> Self {
        let line = |service| Line {
            waiting: VecDeque::new(),
            targets: (0..core.targets.len())
                .filter(|&t| core.targets[t].service == service)
                .collect(),
            next: 0,
        };
        let services = core.deployment.services.len();
        Self {
            lines: (0..ENTRIES)
                .map(|_| (0..services).map(line).collect())
                .collect(),
            running: vec![[0; ENTRIES]; core.targets.len()],
            leaving: Default::default(),
        }
    }

    pub fn handle(&mut self, core: &mut Core, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(core, request),
            Event::Answer(attempt, shed) => self.answer(core, attempt, shed),
            Event::Adopt(entry) => {
                let all = 0..core.targets.len();
                let leaving = all.filter(|&t| core.targets[t].leaves(core.now));
                self.leaving[entry] = leaving.collect();
            }
            Event::Deadline(request) => core.respond(request, false),
            _ => {}
        }
    }

    fn arrive(&mut self, core: &mut Core, request: usize) {
        let r = core.requests[request];
        let each = ENTRIES / world::REGIONS;
        let entry = r.region * each + (r.seed % each as u64) as usize;
        let line = &mut self.lines[entry][r.service];
        if line.waiting.len() >= WAITING_MAX {
            core.respond(request, false);
            return;
        }
        line.waiting.push_back(request);
        let left = r.kind.deadline() - core.deployment.client;
        core.after(left, Event::Deadline(request));
        self.pump(core, entry, r.service);
    }

    fn pump(&mut self, core: &mut Core, entry: usize, service: usize) {
        let line = &mut self.lines[entry][service];
        while let Some(&request) = line.waiting.front() {
            let count = line.targets.len();
            let order = (0..count).map(|n| (line.next + n) % count);
            let mut order = order.filter(|&n| {
                let target = line.targets[n];
                let room = self.running[target][entry] < core.targets[target].slots;
                room && !self.leaving[entry].contains(&target)
            });
            let Some(n) = order.next() else {
                return;
            };
            line.next = n + 1;
            line.waiting.pop_front();
            let target = line.targets[n];
            self.running[target][entry] += 1;
            core.send(request, entry, target);
        }
    }

    fn answer(&mut self, core: &mut Core, attempt: usize, shed: bool) {
        let a = core.attempts[attempt];
        self.running[a.target][a.entry] -= 1;
        let service = core.requests[a.request].service;
        if !shed {
            core.respond(a.request, true);
        } else if core.tries[a.request] < ATTEMPTS_MAX {
            self.lines[a.entry][service].waiting.push_front(a.request);
        } else {
            core.respond(a.request, false);
        }
        self.pump(core, a.entry, service);
    }
}
