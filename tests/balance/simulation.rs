//! A simulation of entries and targets in virtual time. Targets have slots, a
//! queue, a limited number of warm objects, and noisy neighbours that slow them
//! down for short periods.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{
        AzName, Homes, Instance, InstanceId, InstanceState, Millis, Position, Rank, RegionName,
        RequestKind, RouteRule, Size, Slots, TargetId, WeightedService,
    },
    policy::{
        balance::{
            Applicant, ChooseError, ColdQuota, Context, Ending, LoadReport, Pool, Request, Ticket,
            object_hash,
        },
        demand::{Demand, WorkspaceKey},
        overflow::Sides,
    },
};

pub fn region(n: usize) -> RegionName {
    ["austurland", "nordurland", "reykjanes"][n]
        .parse()
        .expect("a name")
}

pub fn az(n: usize) -> AzName {
    format!("az-{n}").parse().expect("a name")
}

pub fn zones() -> BTreeMap<AzName, RegionName> {
    (0..3).map(|n| (az(n), region(n))).collect()
}

pub fn instance(n: usize, zone: usize, slots: u32) -> Instance {
    Instance {
        id: format!("i-{n}").parse().expect("an id"),
        service: "slotboard".parse().expect("a name"),
        addr: format!("10.0.0.{n}:80").parse().expect("an address"),
        az: format!("az-{zone}").parse().expect("a name"),
        slots: Slots(slots),
        state: InstanceState::Ready,
        cold: Millis(0),
        seq: 1,
        position: Position::default(),
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
        rank: Rank(1),
        public: false,
        sticky: true,
        home_regions: Vec::new(),
        services: vec![WeightedService {
            service: "slotboard".parse().expect("a name"),
            weight: 1.0,
        }],
    }
}

/// Returns the rule of requests of a rank.
fn ranked(rank: u32) -> RouteRule {
    RouteRule {
        rank: Rank(rank),
        ..rule()
    }
}

/// Returns the context of an entry in an availability zone of the first region,
/// which shares the rate of cold targets with one other entry.
pub fn context<'a>(
    now: Millis,
    az: &'a AzName,
    region: &'a RegionName,
    evacuated: &'a BTreeSet<AzName>,
) -> Context<'a> {
    Context {
        now,
        az,
        region,
        evacuated,
        region_entries: 2,
        cold_quota: ColdQuota {
            max_rate: 3.0,
            entries: &[1, 2],
            this_entry: 1,
        },
        shift_cap: 0.15,
        region_requests: 0.0,
        region_demand: None,
        sides: Sides::default(),
    }
}

/// Returns a request without an object or a body.
pub fn request(rule: &RouteRule) -> Request<'_> {
    Request {
        rule,
        homes: Homes::new(rule, None),
        rank: rule.rank,
        workspace: None,
        object: None,
        tried: &[],
        time_left: rule.timeout,
        size: Size(0),
    }
}

/// The parameters of a simulation.
pub struct Load {
    /// The number of targets in each region.
    pub targets: [usize; 3],
    /// Requests per second in each region.
    pub rate: [f64; 3],
    /// By how much the requests of the first region's callers grow after
    /// [`BURST_START`].
    pub burst: f64,
    /// By how much the rate of the first region's callers rises above its mean at
    /// [`WAVE_CREST`] and falls below it half of [`WAVE_PERIOD`] later.
    pub swing: f64,
    /// Whether the callers of the other regions have such a wave too, a third of its
    /// period later each.
    pub moving: bool,
    /// The number of a region's requests in a window, as its entries estimate it.
    pub window_requests: f64,
    /// The number of objects that the callers of each region use.
    pub objects: u64,
    /// The number of objects that a target keeps warm.
    pub warm_objects: usize,
    /// How often a caller sends a request again that was refused.
    pub retries: u32,
    /// The number of entries in each region, among which its requests are divided.
    pub entries: usize,
    /// The number of targets of each region that the entries of the first two regions
    /// learn of only at [`LATE`], because their polls of the store come later.
    pub late_targets: usize,
    /// The number of targets of the first region that start to drain at [`DRAIN_START`].
    pub draining_targets: usize,
    /// The number of entries of the first region that are restarted at [`RESTART`].
    pub restarted_entries: usize,
    /// The time after which no caller sends a request any more.
    pub traffic: Millis,
    /// The duration of the simulation.
    pub duration: Millis,
    /// Whether targets are selected at random, as the baseline for comparison.
    pub random: bool,
    /// The ranks of the requests, with their parts.
    pub ranks: &'static [(u32, f64)],
    /// A time in which the requests of one rank are more than usual.
    pub surge: Option<Surge>,
    /// The workspaces of the requests, if there are any.
    pub workspaces: Option<Workspaces>,
    /// When all targets lose their warm objects, after the start of the traffic.
    pub chill: Option<Millis>,
    /// The targets of the first region that end at a time, and when entries learn of it
    /// from the store.
    pub ended: Option<Ended>,
    /// Whether requests are admitted by rank.
    pub admission: bool,
    /// The time in which the entries of the first region know no sum of their demand.
    pub unknown: Option<(Millis, Millis)>,
    /// The time in which the first region is cut off from the targets of the others.
    pub cut_off: Option<(Millis, Millis)>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            targets: [8; 3],
            rate: [100.0; 3],
            burst: 1.0,
            swing: 0.0,
            moving: false,
            window_requests: 0.0,
            objects: 86,
            warm_objects: 40,
            retries: 0,
            entries: 1,
            late_targets: 0,
            draining_targets: 0,
            restarted_entries: 0,
            traffic: Millis(24_000),
            duration: Millis(24_000),
            random: false,
            ranks: &[(1, 1.0)],
            surge: None,
            workspaces: None,
            chill: None,
            ended: None,
            admission: false,
            unknown: None,
            cut_off: None,
        }
    }
}

/// A time in which the requests of one rank are more than usual, after the start of the
/// traffic.
#[derive(Clone, Copy)]
pub struct Surge {
    pub rank: u32,
    pub factor: f64,
    pub from: Millis,
    pub until: Millis,
}

/// Workspaces with equal quotas, of which the first asks for more than usual for a time.
#[derive(Clone, Copy)]
pub struct Workspaces {
    pub count: u32,
    /// The part of the first one in the usual requests. The others have equal parts.
    pub large: f64,
    pub factor: f64,
    pub from: Millis,
    pub until: Millis,
}

/// Targets that end without a notice.
#[derive(Clone, Copy)]
pub struct Ended {
    pub targets: usize,
    pub at: Millis,
    pub known_at: Millis,
}

/// The requests of one kind, each counted once whatever its returns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// How often requests were refused.
    pub refusals: u32,
}

impl Served {
    /// Returns the percentage of the requests that were served.
    pub fn percent(&self) -> u32 {
        (self.in_time + self.late) * 100 / self.asked.max(1)
    }
}

/// The numbers of requests by outcome.
#[derive(Debug, Default)]
pub struct Counts {
    pub total: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests that started on a target without their object.
    pub cold: u32,
    /// The requests that reached a target.
    pub deliveries: Vec<Delivery>,
    /// The shares of requests that each entry of the first region sends to other
    /// regions, every [`SAMPLE_INTERVAL`] while there is traffic.
    pub shares: Vec<Vec<f64>>,
    /// The requests by rank and region, and by the second of their first attempt.
    pub ranks: BTreeMap<u32, Served>,
    pub regions: [Served; 3],
    /// Those of the first workspace and of all others in the time in which it asks for more
    /// than usual.
    pub workspaces: [Served; 2],
    pub seconds: BTreeMap<u64, Served>,
}

impl Counts {
    fn served(&mut self, ask: &Ask) -> Vec<&mut Served> {
        let second = (ask.first - START).0 / 1_000;
        let mut served = vec![
            self.ranks.entry(ask.rank).or_default(),
            &mut self.regions[ask.region],
            self.seconds.entry(second).or_default(),
        ];
        if ask.at_peak {
            served.push(&mut self.workspaces[usize::from(ask.workspace > 0)]);
        }
        served
    }
}

/// What a caller asks for.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Ask {
    region: usize,
    object: u64,
    rank: u32,
    workspace: u32,
    /// Whether the first workspace asked for more than usual at the first attempt.
    at_peak: bool,
    /// When the caller asked for the first time.
    first: Millis,
    retries: u32,
}

/// A request that reached a target.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// The time since the start of the traffic.
    pub at: Millis,
    /// The index of its caller's region.
    pub from: usize,
    /// The index of the region of its target.
    pub to: usize,
}

/// When the traffic starts.
const START: Millis = Millis(10_000);

/// When a burst starts.
const BURST_START: Millis = Millis(16_000);

/// When targets start to drain, after the start of the traffic.
const DRAIN_START: Millis = Millis(18_000);

/// When entries are restarted, after the start of the traffic.
const RESTART: Millis = Millis(21_000);

/// When the rate of a wave is highest, after the start of the traffic.
const WAVE_CREST: Millis = Millis(6_000);

/// The time from one crest of a wave to the next.
const WAVE_PERIOD: Millis = Millis(36_000);

/// The time from one sample of the shares to the next.
pub const SAMPLE_INTERVAL: Millis = Millis(2_000);

/// The time between two exchanges of the demand among the entries of a region. A poll
/// of the source takes up to this long in the gateway.
const EXCHANGE_PERIOD: Millis = Millis(1_300);

/// When entries learn of late targets: before the traffic, but long after the
/// first targets.
const LATE: Millis = Millis(6_500);

/// How long a caller waits before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(250);

const SLOTS: u32 = 6;
const QUEUE_MAX: usize = 18;
const WARM_REQUEST_MS: f64 = 93.0;
const COLD_REQUEST_MS: f64 = 310.0;
const REMOTE_RTT_MS: u64 = 70;

/// A simulated target.
struct Target {
    id: InstanceId,
    region: usize,
    running: u32,
    waiting: VecDeque<Call>,
    warm: VecDeque<u64>,
    slow_until: Millis,
    ended: bool,
}

/// A simulated request.
#[derive(Clone)]
struct Call {
    ask: Ask,
    /// The index of its entry among all.
    entry: usize,
    arrived: Millis,
    ticket: Option<Ticket>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    /// The return of a refused request.
    Return(Ask),
    Delivery(usize, usize),
    Completion(usize, usize),
    Answer(usize, usize),
    /// A sample of the shares in force.
    Sample,
    /// The start of a drain of targets.
    Drain,
    /// A restart of entries.
    Restart,
    /// The loss of all warm objects.
    Chill,
    /// The end of targets, and when the entries learn of it.
    End,
    Unregister,
}

/// Simulates a load. The first fifth of the run,
/// in which caches warm up, is not counted.
pub fn simulate(load: &Load, seed: u64) -> Counts {
    Simulation::new(load, seed).run()
}

struct Simulation<'a> {
    load: &'a Load,
    rng: SmallRng,
    pools: Vec<Pool>,
    sides: Vec<Sides>,
    /// The demand of each region as its entries know it, with the time of the exchange.
    demands: [(Millis, Option<Demand>); 3],
    targets: Vec<Target>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    event_count: u64,
    counts: Counts,
    rules: BTreeMap<u32, RouteRule>,
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, seed: u64) -> Self {
        let mut pools = vec![Pool::new(); 3 * load.entries];
        let mut targets = Vec::new();
        for (at, count) in load.targets.iter().enumerate() {
            for nth in 0..*count {
                let instance = instance(targets.len(), at, SLOTS);
                let id = instance.id.clone();
                let is_late = nth + load.late_targets >= *count;
                for (entry, pool) in pools.iter_mut().enumerate() {
                    let at = if is_late && entry < 2 * load.entries {
                        LATE
                    } else {
                        Millis(0)
                    };
                    pool.put(at, instance.clone(), &zones());
                }
                targets.push(Target {
                    id,
                    region: at,
                    running: 0,
                    waiting: VecDeque::new(),
                    warm: VecDeque::new(),
                    slow_until: Millis(0),
                    ended: false,
                });
            }
        }
        let mut simulation = Self {
            load,
            rng: SmallRng::seed_from_u64(seed),
            sides: vec![Sides::default(); pools.len()],
            demands: [(Millis(0), None); 3],
            pools,
            targets,
            calls: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            counts: Counts::default(),
            rules: load
                .ranks
                .iter()
                .map(|(rank, _)| (*rank, ranked(*rank)))
                .collect(),
        };
        (0..3).for_each(|region| simulation.next_arrival(START, region));
        for nth in 0..=load.traffic.0 / SAMPLE_INTERVAL.0 {
            let at = START + Millis(nth * SAMPLE_INTERVAL.0);
            simulation.add(at, Event::Sample);
        }
        simulation.add(START + DRAIN_START, Event::Drain);
        simulation.add(START + RESTART, Event::Restart);
        if let Some(at) = load.chill {
            simulation.add(START + at, Event::Chill);
        }
        if let Some(ended) = load.ended {
            simulation.add(START + ended.at, Event::End);
            simulation.add(START + ended.known_at, Event::Unregister);
        }
        simulation
    }

    fn add(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn next_arrival(&mut self, now: Millis, region: usize) {
        let factor = if region == 0 && now >= BURST_START {
            self.load.burst
        } else {
            1.0
        };
        let wave = if region == 0 || self.load.moving {
            self.wave(now, region)
        } else {
            1.0
        };
        let (large, surge) = self.large_part(now);
        let wave = wave * (1.0 + large * (surge - 1.0));
        let usual: f64 = self.load.ranks.iter().map(|(_, part)| part).sum();
        let parts: f64 = self.rank_parts(now).map(|(_, part)| part).sum();
        let rate = self.load.rate[region] * factor * wave * parts / usual;
        let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1000.0 / rate;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let next = now + Millis(gap as u64);
        if next < START + self.load.traffic {
            self.add(next, Event::Arrival(region));
        }
    }

    /// Returns the ranks with their parts at an instant.
    fn rank_parts(&self, now: Millis) -> impl Iterator<Item = (u32, f64)> + use<'a> {
        let surge = self.load.surge;
        let surge = surge.filter(|s| (START + s.from..START + s.until).contains(&now));
        self.load.ranks.iter().map(move |(rank, part)| {
            let factor = surge.filter(|s| s.rank == *rank).map_or(1.0, |s| s.factor);
            (*rank, part * factor)
        })
    }

    fn draw_rank(&mut self, now: Millis) -> u32 {
        let parts: Vec<_> = self.rank_parts(now).collect();
        let sum: f64 = parts.iter().map(|(_, part)| part).sum();
        let mut left = if parts.len() > 1 {
            self.rng.random::<f64>() * sum
        } else {
            0.0
        };
        let drawn = parts.iter().find(|(_, part)| {
            left -= part;
            left < 0.0
        });
        drawn.or(parts.last()).expect("a rank").0
    }

    /// Returns the usual part of the first workspace, and how many times as much it asks
    /// for at an instant.
    fn large_part(&self, now: Millis) -> (f64, f64) {
        self.load.workspaces.map_or((0.0, 1.0), |w| {
            let at_peak = (START + w.from..START + w.until).contains(&now);
            (w.large, if at_peak { w.factor } else { 1.0 })
        })
    }

    fn draw_workspace(&mut self, now: Millis) -> (u32, bool) {
        let Some(workspaces) = self.load.workspaces else {
            return (0, false);
        };
        let (large, surge) = self.large_part(now);
        let large = large * surge / (1.0 + large * (surge - 1.0));
        let workspace = if self.rng.random_bool(large) {
            0
        } else {
            self.rng.random_range(1..workspaces.count)
        };
        (workspace, surge > 1.0)
    }

    /// Returns the rate of a wave in a region relative to its mean.
    fn wave(&self, now: Millis, region: usize) -> f64 {
        let crest = WAVE_CREST + Millis(WAVE_PERIOD.0 / 3 * region as u64);
        #[expect(clippy::cast_precision_loss)]
        let [age, crest, period] = [now - START, crest, WAVE_PERIOD].map(|t| t.0 as f64);
        1.0 + self.load.swing * ((age - crest) / period * std::f64::consts::TAU).cos()
    }

    fn run(mut self) -> Counts {
        let end = START + self.load.duration;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            match event {
                Event::Arrival(region) => {
                    self.next_arrival(now, region);
                    let own = self.rng.random_range(0..self.load.objects);
                    let object = object_hash("/slots/", format!("{region}/{own}").as_bytes());
                    let rank = self.draw_rank(now);
                    let (workspace, at_peak) = self.draw_workspace(now);
                    self.arrive(
                        now,
                        Ask {
                            region,
                            object,
                            rank,
                            workspace,
                            at_peak,
                            first: now,
                            retries: 0,
                        },
                    );
                }
                Event::Return(ask) => self.arrive(now, ask),
                Event::Delivery(target, call) => self.deliver(now, target, call),
                Event::Completion(target, call) => self.complete(now, target, call),
                Event::Answer(target, call) => self.answer(now, target, call),
                Event::Sample => {
                    let entries = self.pools.iter().take(self.load.entries);
                    let shares = entries.map(Pool::overflow_fraction).collect();
                    self.counts.shares.push(shares);
                }
                Event::Drain => self.drain_targets(now),
                Event::Restart => self.restart_entries(now),
                Event::Chill => self.targets.iter_mut().for_each(|t| t.warm.clear()),
                Event::End => self.ended_targets().iter_mut().for_each(|t| t.ended = true),
                Event::Unregister => {
                    let ended: Vec<_> = self.ended_targets().iter().map(|t| t.id.clone()).collect();
                    for pool in &mut self.pools {
                        for id in &ended {
                            pool.remove(now, id);
                        }
                    }
                }
            }
        }
        self.counts
    }

    fn ended_targets(&mut self) -> &mut [Target] {
        let count = self.load.ended.map_or(0, |ended| ended.targets);
        &mut self.targets[..count]
    }

    fn drain_targets(&mut self, now: Millis) {
        for n in 0..self.load.draining_targets {
            let draining = Instance {
                state: InstanceState::Draining,
                ..instance(n, 0, SLOTS)
            };
            for pool in &mut self.pools {
                pool.put(now, draining.clone(), &zones());
            }
        }
    }

    fn restart_entries(&mut self, now: Millis) {
        for entry in 0..self.load.restarted_entries {
            let mut pool = Pool::new();
            for (n, target) in self.targets.iter().enumerate() {
                pool.put(now, instance(n, target.region, SLOTS), &zones());
            }
            self.pools[entry] = pool;
            self.sides[entry] = Sides::default();
        }
    }

    fn is_counted(&self, arrived: Millis) -> bool {
        arrived.0 > START.0 + self.load.duration.0 / 5
    }

    fn arrive(&mut self, now: Millis, ask: Ask) {
        let region = ask.region;
        let entry = match self.load.entries {
            1 => region,
            entries => region * entries + self.rng.random_range(0..entries),
        };
        let counted = self.is_counted(now);
        self.counts.total += u32::from(counted);
        if ask.retries == 0 {
            self.counts
                .served(&ask)
                .into_iter()
                .for_each(|s| s.asked += 1);
        }
        let (target, ticket) = match self.choose(now, entry, ask) {
            Ok(chosen) => chosen,
            Err(wait) => {
                self.counts.refused += u32::from(counted);
                self.counts
                    .served(&ask)
                    .into_iter()
                    .for_each(|s| s.refusals += 1);
                if ask.retries < self.load.retries {
                    let retries = ask.retries + 1;
                    self.add(now + wait, Event::Return(Ask { retries, ..ask }));
                }
                return;
            }
        };
        let remote = self.targets[target].region != region;
        let call = self.calls.len();
        self.calls.push(Call {
            ask,
            entry,
            arrived: now,
            ticket,
        });
        let one_way = if remote { REMOTE_RTT_MS / 2 } else { 1 };
        self.add(now + Millis(one_way), Event::Delivery(target, call));
    }

    fn choose(
        &mut self,
        now: Millis,
        entry: usize,
        ask: Ask,
    ) -> Result<(usize, Option<Ticket>), Millis> {
        let Ask {
            region: at, object, ..
        } = ask;
        if self.load.random {
            return Ok((self.rng.random_range(0..self.targets.len()), None));
        }
        let region_demand = self.exchange_demand(now, at);
        let is_in = |time: Option<(Millis, Millis)>| {
            at == 0 && time.is_some_and(|(from, until)| (from..until).contains(&(now - START)))
        };
        let region_demand = region_demand.filter(|_| !is_in(self.load.unknown));
        let (region, az) = (region(at), az(at));
        let others: &[usize] = if is_in(self.load.cut_off) {
            &[1, 2]
        } else {
            &[]
        };
        let evacuated: BTreeSet<_> = others.iter().map(|n| self::az(*n)).collect();
        let ctx = Context {
            cold_quota: ColdQuota {
                max_rate: 20.0,
                entries: &[1, 2, 3],
                this_entry: object_hash("entry", &entry.to_be_bytes()),
            },
            region_entries: self.load.entries,
            region_requests: self.load.window_requests,
            region_demand,
            sides: self.sides[entry],
            ..context(now, &az, &region, &evacuated)
        };
        let name = format!("workspace-{}", ask.workspace);
        let name = name.parse().expect("a name");
        let key = WorkspaceKey::new(&name, Rank(ask.rank));
        let workspace = self.load.workspaces.map(|_| (key, 1.0));
        let req = Request {
            object: Some(object),
            workspace,
            ..request(&self.rules[&ask.rank])
        };
        if self.load.admission {
            let applicant = Applicant {
                rule: &self.rules[&ask.rank],
                homes: Homes::new(&self.rules[&ask.rank], None),
                rank: Rank(ask.rank),
                workspace,
                subject: workspace.map_or(object, |(key, _)| object ^ u64::from(key.0)),
                returns: ask.retries > 0,
            };
            let admitted = self.pools[entry].admit(&ctx, &applicant);
            admitted.map_err(|no_room| no_room.returns_in)?;
        }
        let choice: Result<_, ChooseError> = self.pools[entry].choose(&ctx, &req);
        let basis = match &choice {
            Ok(choice) => Some(choice.ticket.basis),
            Err(error) => error.basis(),
        };
        if let Some(basis) = basis {
            let sent_remote = choice.is_ok().then_some(basis.remote);
            self.sides[entry].record(now, basis.placed_remote(), sent_remote);
        }
        let ticket = choice.map_err(|_| RETRY_AFTER)?.ticket;
        let at = self.targets.iter().position(|s| s.id == ticket.id);
        Ok((at.expect("a known target"), Some(ticket)))
    }

    /// Returns the demand of a region as of the last exchange between its entries.
    fn exchange_demand(&mut self, now: Millis, region: usize) -> Option<Demand> {
        let name = self::region(region);
        let (at, known) = &mut self.demands[region];
        if *at + EXCHANGE_PERIOD <= now {
            let entries = self.load.entries;
            let mut sum = Demand::default();
            for pool in &self.pools[region * entries..][..entries] {
                sum += pool.demand(now, &name);
            }
            *at = now;
            *known = (sum.requests > 0.0).then_some(sum);
        }
        *known
    }

    fn deliver(&mut self, now: Millis, target: usize, call: usize) {
        let s = &mut self.targets[target];
        let from = self.calls[call].ask.region;
        self.counts.deliveries.push(Delivery {
            at: now - START,
            from,
            to: s.region,
        });
        if s.ended {
            self.finish(now, target, call, Ending::Unreachable);
        } else if s.running < SLOTS {
            self.start(now, target, call);
        } else if s.waiting.len() < QUEUE_MAX {
            s.waiting.push_back(self.calls[call].clone());
            // In the queued copy, `entry` holds the index of the call instead.
            let last = s.waiting.len() - 1;
            s.waiting[last].entry = call;
        } else {
            self.finish(now, target, call, Ending::Rejected);
        }
    }

    fn start(&mut self, now: Millis, target: usize, call: usize) {
        let object = self.calls[call].ask.object;
        // Noisy neighbours slow a target down for about a seventh of the time.
        let has_noisy_neighbour = self.rng.random_bool(0.006);
        let is_straggler = self.rng.random_bool(0.03);
        let s = &mut self.targets[target];
        s.running += 1;
        if has_noisy_neighbour {
            s.slow_until = now + Millis(600);
        }
        let warm_index = s.warm.iter().position(|o| *o == object);
        match warm_index {
            Some(at) => {
                s.warm.remove(at);
            }
            None if s.warm.len() >= self.load.warm_objects => {
                s.warm.pop_front();
            }
            None => {}
        }
        s.warm.push_back(object);
        let mut ms = if warm_index.is_some() {
            WARM_REQUEST_MS
        } else {
            COLD_REQUEST_MS
        };
        if now < s.slow_until {
            ms *= 2.5;
        }
        if is_straggler {
            ms *= 7.0;
        }
        let counted = self.is_counted(self.calls[call].arrived);
        self.counts.cold += u32::from(counted && warm_index.is_none());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.add(now + Millis(ms as u64), Event::Completion(target, call));
    }

    fn complete(&mut self, now: Millis, target: usize, call: usize) {
        let s = &mut self.targets[target];
        s.running -= 1;
        if let Some(next) = s.waiting.pop_front() {
            // A request is dropped from the queue once its caller has timed
            // out.
            if now - next.arrived < Millis(800) {
                self.start(now, target, next.entry);
            } else {
                self.finish(now, target, next.entry, Ending::Cancelled);
            }
        }
        let remote = self.targets[target].region != self.calls[call].ask.region;
        let one_way = if remote { REMOTE_RTT_MS / 2 } else { 1 };
        self.add(now + Millis(one_way), Event::Answer(target, call));
    }

    fn answer(&mut self, now: Millis, target: usize, call: usize) {
        let arrived = self.calls[call].arrived;
        let ask = self.calls[call].ask;
        let in_time = now - ask.first <= self.rules[&ask.rank].objective;
        for served in self.counts.served(&ask) {
            served.in_time += u32::from(in_time);
            served.late += u32::from(!in_time);
        }
        if self.is_counted(arrived) {
            if now - arrived <= self.rules[&ask.rank].objective {
                self.counts.in_time += 1;
            } else {
                self.counts.late += 1;
            }
        }
        self.finish(now, target, call, Ending::Answered);
    }

    fn finish(&mut self, now: Millis, target: usize, call: usize, ending: Ending) {
        let s = &self.targets[target];
        let report = LoadReport {
            running: s.running,
            waiting: u32::try_from(s.waiting.len()).expect("a short queue"),
            slots: SLOTS,
            slowdown_percent: if now < s.slow_until { 250 } else { 100 },
        };
        let Call { entry, ticket, .. } = &self.calls[call];
        if let Some(ticket) = ticket {
            let reports = !matches!(ending, Ending::Cancelled | Ending::Unreachable);
            let report = reports.then_some(report);
            self.pools[*entry].finish(now, ticket, ending, report);
        }
        if matches!(ending, Ending::Rejected | Ending::Unreachable)
            && self.is_counted(self.calls[call].arrived)
        {
            self.counts.refused += 1;
        }
    }
}

pub fn addr(n: usize) -> TargetId {
    instance(n, 0, 1).addr
}
