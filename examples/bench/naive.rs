//! The naive policy: round robin over the targets, a limit that each entry keeps
//! for itself, one FIFO queue per service, and a retry on each failure.

use std::collections::VecDeque;

use crate::{
    platform::{Event, Platform},
    world::{self, ENTRIES},
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u64 = 3;

/// Maximum number of requests that wait at an entry per service.
const MAX_WAITING: usize = 1000;

struct ServiceQueue {
    waiting: VecDeque<usize>,
    targets: Vec<usize>,
    next: usize,
}

/// The state of all entries.
pub struct Naive {
    queues: Vec<Vec<ServiceQueue>>,
    running: Vec<[u32; ENTRIES]>,
    /// The targets that each entry knows to be leaving.
    leaving: [Vec<usize>; ENTRIES],
}

impl Naive {
    pub fn new(platform: &Platform) -> Self {
        let queue = |service| ServiceQueue {
            waiting: VecDeque::new(),
            targets: (0..platform.targets.len())
                .filter(|&t| platform.targets[t].service == service)
                .collect(),
            next: 0,
        };
        let services = platform.deployment.services.len();
        Self {
            queues: (0..ENTRIES)
                .map(|_| (0..services).map(queue).collect())
                .collect(),
            running: vec![[0; ENTRIES]; platform.targets.len()],
            leaving: Default::default(),
        }
    }

    pub fn handle(&mut self, platform: &mut Platform, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(platform, request),
            Event::Response(attempt, shed) => self.response(platform, attempt, shed),
            Event::Adopt(entry) => {
                let all = 0..platform.targets.len();
                let leaving = all.filter(|&t| platform.targets[t].is_leaving(platform.now));
                self.leaving[entry] = leaving.collect();
            }
            Event::Deadline(request) => platform.respond(request, false),
            _ => {}
        }
    }

    fn arrive(&mut self, platform: &mut Platform, request: usize) {
        let r = platform.requests[request];
        let per_region = ENTRIES / world::REGIONS;
        let entry = r.region * per_region + (r.seed % per_region as u64) as usize;
        let queue = &mut self.queues[entry][r.service];
        if queue.waiting.len() >= MAX_WAITING {
            platform.respond(request, false);
            return;
        }
        queue.waiting.push_back(request);
        let left = r.kind.deadline() - platform.deployment.client;
        platform.after(left, Event::Deadline(request));
        self.dispatch(platform, entry, r.service);
    }

    fn dispatch(&mut self, platform: &mut Platform, entry: usize, service: usize) {
        let queue = &mut self.queues[entry][service];
        while let Some(&request) = queue.waiting.front() {
            let count = queue.targets.len();
            let order = (0..count).map(|n| (queue.next + n) % count);
            let mut order = order.filter(|&n| {
                let target = queue.targets[n];
                let free = self.running[target][entry] < platform.targets[target].slots;
                free && !self.leaving[entry].contains(&target)
            });
            let Some(n) = order.next() else {
                return;
            };
            queue.next = n + 1;
            queue.waiting.pop_front();
            let target = queue.targets[n];
            self.running[target][entry] += 1;
            platform.send(request, entry, target);
        }
    }

    fn response(&mut self, platform: &mut Platform, attempt: usize, shed: bool) {
        let a = platform.attempts[attempt];
        self.running[a.target][a.entry] -= 1;
        let service = platform.requests[a.request].service;
        if !shed {
            platform.respond(a.request, true);
        } else if platform.sends[a.request] < MAX_ATTEMPTS {
            self.queues[a.entry][service].waiting.push_front(a.request);
        } else {
            platform.respond(a.request, false);
        }
        self.dispatch(platform, a.entry, service);
    }
}
