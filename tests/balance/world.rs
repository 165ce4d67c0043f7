//! Targets in virtual time: slots, a queue, objects that stay warm for a while,
//! and neighbours that slow a target down for moments.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{
        AzName, Instance, InstanceId, InstanceState, Millis, RegionName, RequestKind, RouteRule,
        Slots, TargetId, WeightedService,
    },
    policy::balance::{Ask, Ending, Miss, Pool, Quota, Report, Scene, Ticket, object_hash},
};

pub fn region(n: usize) -> RegionName {
    ["austurland", "nordurland", "reykjanes"][n]
        .parse()
        .expect("a name")
}

pub fn zones() -> BTreeMap<AzName, RegionName> {
    let az = |n: usize| format!("az-{n}").parse().expect("a name");
    (0..3).map(|n| (az(n), region(n))).collect()
}

pub fn instance(n: usize, at: usize, slots: u32) -> Instance {
    Instance {
        id: format!("i-{n}").parse().expect("an id"),
        service: "slotboard".parse().expect("a name"),
        addr: format!("10.0.0.{n}:80").parse().expect("an address"),
        az: format!("az-{at}").parse().expect("a name"),
        slots: Slots(slots),
        state: InstanceState::Ready,
        cold: Millis(0),
        seq: 1,
        started_at: Some(Millis(1)),
    }
}

pub fn rule() -> RouteRule {
    RouteRule {
        name: "browse".to_owned(),
        host: "kitchens.example".to_owned(),
        prefix: "/slots/".to_owned(),
        kind: RequestKind::Idempotent,
        objective: Millis(300),
        timeout: Millis(800),
        attempts: 2,
        priority: 1,
        sticky: true,
        home_regions: Vec::new(),
        services: vec![WeightedService {
            service: "slotboard".parse().expect("a name"),
            weight: 1.0,
        }],
    }
}

/// How the targets and callers of a run behave.
pub struct Load {
    /// Targets in each region.
    pub targets: [usize; 3],
    /// Requests a second in each region.
    pub rate: [f64; 3],
    /// How many objects each region's callers ask for.
    pub objects: u64,
    /// How many objects a target keeps warm.
    pub keeps: usize,
    /// For how long the run lasts.
    pub length: Millis,
    /// Whether requests go anywhere at random instead, as a naive entry does.
    pub naive: bool,
}

/// What became of the requests of a run.
#[derive(Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub cold: u32,
}

const SLOTS: u32 = 6;
const QUEUE: usize = 18;
const WARM_MS: f64 = 93.0;
const COLD_MS: f64 = 310.0;
const FAR_MS: u64 = 70;

struct Server {
    id: InstanceId,
    region: usize,
    running: u32,
    waiting: VecDeque<Request>,
    warm: VecDeque<u64>,
    slow: Millis,
}

#[derive(Clone)]
struct Request {
    entry: usize,
    object: u64,
    arrived: Millis,
    ticket: Option<Ticket>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Reach(usize, usize),
    End(usize, usize),
    Answer(usize, usize),
}

/// Plays a load with one entry in each region and returns what became of the
/// requests that came after the first fifth of the run, when objects are warm.
pub fn play(load: &Load, seed: u64) -> Tally {
    World::new(load, seed).run()
}

struct World<'a> {
    load: &'a Load,
    rng: SmallRng,
    pools: Vec<Pool>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    number: u64,
    tally: Tally,
    rule: RouteRule,
}

impl<'a> World<'a> {
    fn new(load: &'a Load, seed: u64) -> Self {
        let mut pools = vec![Pool::new(), Pool::new(), Pool::new()];
        let mut servers = Vec::new();
        for (at, count) in load.targets.iter().enumerate() {
            for _ in 0..*count {
                let instance = instance(servers.len(), at, SLOTS);
                let id = instance.id.clone();
                for pool in &mut pools {
                    pool.put(Millis(0), instance.clone(), &zones());
                }
                servers.push(Server {
                    id,
                    region: at,
                    running: 0,
                    waiting: VecDeque::new(),
                    warm: VecDeque::new(),
                    slow: Millis(0),
                });
            }
        }
        let mut world = Self {
            load,
            rng: SmallRng::seed_from_u64(seed),
            pools,
            servers,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            tally: Tally::default(),
            rule: rule(),
        };
        (0..3).for_each(|entry| world.next_arrival(Millis(10_000), entry));
        world
    }

    fn add(&mut self, at: Millis, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn next_arrival(&mut self, now: Millis, entry: usize) {
        let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1000.0 / self.load.rate[entry];
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.add(now + Millis(gap as u64), Event::Arrive(entry));
    }

    fn run(mut self) -> Tally {
        let end = Millis(10_000) + self.load.length;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            match event {
                Event::Arrive(entry) => {
                    self.next_arrival(now, entry);
                    self.arrive(now, entry);
                }
                Event::Reach(server, request) => self.reach(now, server, request),
                Event::End(server, request) => self.end(now, server, request),
                Event::Answer(server, request) => self.answer(now, server, request),
            }
        }
        self.tally
    }

    fn counts(&self, arrived: Millis) -> bool {
        arrived.0 > 10_000 + self.load.length.0 / 5
    }

    fn arrive(&mut self, now: Millis, entry: usize) {
        let own = self.rng.random_range(0..self.load.objects);
        let object = object_hash("/slots/", format!("{entry}/{own}").as_bytes());
        let counts = self.counts(now);
        self.tally.asked += u32::from(counts);
        let chosen = self.choose(now, entry, object);
        let Some((server, ticket)) = chosen else {
            self.tally.refused += u32::from(counts);
            return;
        };
        let far = self.servers[server].region != entry;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            object,
            arrived: now,
            ticket,
        });
        let way = if far { FAR_MS / 2 } else { 1 };
        self.add(now + Millis(way), Event::Reach(server, request));
    }

    fn choose(
        &mut self,
        now: Millis,
        entry: usize,
        object: u64,
    ) -> Option<(usize, Option<Ticket>)> {
        if self.load.naive {
            return Some((self.rng.random_range(0..self.servers.len()), None));
        }
        let region = region(entry);
        let closed = BTreeSet::new();
        let scene = Scene {
            now,
            region: &region,
            closed: &closed,
            quota: Quota {
                bound: 20.0,
                entries: &[1, 2, 3],
                me: 1,
            },
            shift: 0.15,
        };
        let ask = Ask {
            rule: &self.rule,
            object: Some(object),
            tried: &[],
            left: self.rule.timeout,
        };
        let choice: Result<_, Miss> = self.pools[entry].choose(&scene, &ask);
        let ticket = choice.ok()?.ticket;
        let at = self.servers.iter().position(|s| s.id == ticket.id);
        Some((at.expect("a known target"), Some(ticket)))
    }

    fn reach(&mut self, now: Millis, server: usize, request: usize) {
        let s = &mut self.servers[server];
        if s.running < SLOTS {
            self.start(now, server, request);
        } else if s.waiting.len() < QUEUE {
            s.waiting.push_back(self.requests[request].clone());
            // The queue holds the request itself; its number is found again by
            // its place in the list.
            let last = s.waiting.len() - 1;
            s.waiting[last].entry = request;
        } else {
            self.finish(now, server, request, Ending::Rejected);
        }
    }

    fn start(&mut self, now: Millis, server: usize, request: usize) {
        let object = self.requests[request].object;
        // Neighbours slow a target down for about a seventh of the time.
        let noisy = self.rng.random_bool(0.006);
        let straggles = self.rng.random_bool(0.03);
        let s = &mut self.servers[server];
        s.running += 1;
        if noisy {
            s.slow = now + Millis(600);
        }
        let known = s.warm.iter().position(|o| *o == object);
        match known {
            Some(at) => {
                s.warm.remove(at);
            }
            None if s.warm.len() >= self.load.keeps => {
                s.warm.pop_front();
            }
            None => {}
        }
        s.warm.push_back(object);
        let mut ms = if known.is_some() { WARM_MS } else { COLD_MS };
        if now < s.slow {
            ms *= 2.5;
        }
        if straggles {
            ms *= 7.0;
        }
        let counts = self.counts(self.requests[request].arrived);
        self.tally.cold += u32::from(counts && known.is_none());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.add(now + Millis(ms as u64), Event::End(server, request));
    }

    fn end(&mut self, now: Millis, server: usize, request: usize) {
        let s = &mut self.servers[server];
        s.running -= 1;
        if let Some(next) = s.waiting.pop_front() {
            // A request whose caller has given up leaves the queue.
            if now - next.arrived < Millis(800) {
                self.start(now, server, next.entry);
            } else {
                self.finish(now, server, next.entry, Ending::Cancelled);
            }
        }
        let far = self.servers[server].region != self.requests[request].entry;
        let way = if far { FAR_MS / 2 } else { 1 };
        self.add(now + Millis(way), Event::Answer(server, request));
    }

    fn answer(&mut self, now: Millis, server: usize, request: usize) {
        let arrived = self.requests[request].arrived;
        if self.counts(arrived) {
            if now - arrived <= self.rule.objective {
                self.tally.in_time += 1;
            } else {
                self.tally.late += 1;
            }
        }
        self.finish(now, server, request, Ending::Answered);
    }

    fn finish(&mut self, now: Millis, server: usize, request: usize, ending: Ending) {
        let s = &self.servers[server];
        let report = Report {
            running: s.running,
            waiting: u32::try_from(s.waiting.len()).expect("a short queue"),
            slots: SLOTS,
            pace: if now < s.slow { 250 } else { 100 },
        };
        let Request { entry, ticket, .. } = &self.requests[request];
        if let Some(ticket) = ticket {
            let report = (ending != Ending::Cancelled).then_some(report);
            self.pools[*entry].finish(now, ticket, ending, report);
        }
        if ending == Ending::Rejected && self.counts(self.requests[request].arrived) {
            self.tally.refused += 1;
        }
    }
}

pub fn addr(n: usize) -> TargetId {
    instance(n, 0, 1).addr
}
