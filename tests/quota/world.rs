//! Entries in virtual time, with a network that loses and delays messages.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    sync::Arc,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Bounds, Mbps, Millis, Presence, Quota, Rate, WorkspaceName},
    policy::quota::{
        ASK_PERIOD, ASK_TIMEOUT, Answer, Call, Granter, Holder, Limit, PENDING_PERIOD, Rounds,
        Shortage, View,
    },
};
use xxhash_rust::xxh3::xxh3_64;

const ROUND_GAP: Millis = Millis(5);
/// How long a restarted entry does not use its part.
const UNKNOWN: Millis = Millis(1_000);

/// The requests of one workspace in one region.
#[derive(Clone, Copy)]
pub struct Demand {
    pub workspace: usize,
    pub region: usize,
    pub rate: f64,
    pub from: u64,
    pub until: u64,
}

/// What happened to the requests of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: usize,
    pub exceeded: usize,
    pub unavailable: usize,
    pub admitted: Vec<Millis>,
}

struct Waiter {
    workspace: usize,
    needed: u64,
    until: Millis,
}

pub struct Node {
    presence: Presence,
    region: usize,
    /// The origin of its clock.
    origin: u64,
    run: u64,
    holder: Holder,
    granter: Granter,
    rounds: Rounds,
    begun: u64,
    ended: u64,
    open_calls: usize,
    exchanges: bool,
    is_pending: bool,
    waiters: Vec<Waiter>,
    next_round: Millis,
    /// When the next round begins if none is begun before.
    due: Millis,
    known_from: Millis,
    frozen_until: Millis,
    pub is_down: bool,
}

#[derive(Debug)]
enum Event {
    Request {
        workspace: usize,
        node: usize,
    },
    /// A round that is due, or that requests wait for.
    Begin(usize),
    Wake(usize),
    Ask {
        call: Call,
        from: usize,
    },
    Reply {
        call: Call,
        to: usize,
        run: u64,
        answer: Option<Answer>,
    },
    Expire(usize),
    Fault(usize),
}

pub struct World {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub quotas: Vec<Quota>,
    pub bounds: Bounds,
    pub tally: Vec<Tally>,
    /// The calls, and the workspaces in them.
    pub calls: usize,
    pub needs: usize,
    /// The largest sum of the parts that all entries held at once.
    pub most_parts: f64,
    /// The fraction of messages that are lost, and that are late.
    pub loss: f64,
    pub late: f64,
    /// Entries that no message reaches.
    pub cut: HashSet<usize>,
    pub cut_region: Option<usize>,
    /// Entries with an odd number do not know those from this number on.
    pub unknown_from: usize,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    faults: Vec<Option<Fault>>,
    /// The views of entries with an even and an odd number, and of those that have just
    /// started.
    views: [View; 4],
    names: Vec<WorkspaceName>,
    /// The calls that are still open, by number of the reply or timeout.
    open: HashSet<(usize, u64, String, Millis)>,
}

pub type Fault = Box<dyn FnOnce(&mut World)>;

pub fn bounds() -> Bounds {
    Bounds {
        drain_deadline: Millis(3_000),
        config_deadline: Millis(3_000),
        grace_period: Millis(6_000),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        retry_window: Millis(10_000),
        cold_factor: 1.5,
        cold_slack: 8.0,
        lookup_ttl: Millis(5_000),
        max_shift: 0.15,
        quota_window: Millis(5_000),
        quota_overshoot: 0.1,
        quota_slack: 20.0,
        revocation_limit: None,
    }
}

pub fn quota(rate: f64) -> Quota {
    Quota {
        rate: Rate(rate),
        burst: rate.round(),
    }
}

impl World {
    pub fn new(seed: u64, count: usize, quotas: Vec<Quota>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = Self {
            now: Millis(0),
            nodes: Vec::new(),
            bounds: bounds(),
            tally: vec![Tally::default(); quotas.len()],
            names: (0..quotas.len())
                .map(|i| format!("w{i}").parse().expect("a name"))
                .collect(),
            quotas,
            calls: 0,
            needs: 0,
            most_parts: 0.0,
            loss: 0.0,
            late: 0.0,
            cut: HashSet::new(),
            cut_region: None,
            unknown_from: usize::MAX,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            faults: Vec::new(),
            views: Default::default(),
            open: HashSet::new(),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        for i in 0..count {
            let node = world.new_node(i, i % 3, 0);
            world.nodes.push(node);
            world.at(Millis(world_offset(i)), Event::Begin(i));
        }
        world.refresh_views();
        world
    }

    fn new_node(&mut self, i: usize, region: usize, run: u64) -> Node {
        let addr = format!("10.0.{}.{}:1", i / 250, i % 250 + 1);
        let presence = Presence {
            name: format!("e{i}").parse().expect("a name"),
            front: addr.parse().expect("an address"),
            peer: addr.parse().ok(),
            link: Mbps([200, 100, 10][i % 3]),
            az: format!("az{}", i % 6).parse().expect("a name"),
            region: format!("r{region}").parse().expect("a name"),
        };
        let mut granter = Granter::new(&presence.name, self.rng.random());
        let origin = self.rng.random_range(0..1_000_000);
        granter.configure(Millis(self.now.0 + origin), self.limits());
        Node {
            region,
            origin,
            run,
            holder: Holder::default(),
            granter,
            rounds: Rounds::new(presence.name.clone(), presence.region.clone()),
            presence,
            begun: 0,
            ended: 0,
            open_calls: 0,
            exchanges: false,
            is_pending: false,
            waiters: Vec::new(),
            next_round: Millis(0),
            due: Millis(0),
            known_from: Millis(0),
            frozen_until: Millis(0),
            is_down: false,
        }
    }

    fn limits(&self) -> impl Iterator<Item = (WorkspaceName, Limit)> + use<> {
        let limits = self.quotas.iter().map(|q| Limit::new(q, &self.bounds));
        let limits: Vec<_> = self.names.iter().cloned().zip(limits).collect();
        limits.into_iter()
    }

    /// Announces the entries that run.
    pub fn refresh_views(&mut self) {
        for (odd, limit) in [(0, usize::MAX), (1, self.unknown_from)] {
            let mut view = View::default();
            let known = self.nodes.iter().take(limit);
            view.sharers = Arc::new(known.map(|n| xxh3_64(n.presence.name.as_bytes())).collect());
            for node in self.nodes.iter().take(limit).filter(|n| !n.is_down) {
                let region = node.presence.region.clone();
                view.regions
                    .entry(region)
                    .or_default()
                    .push(node.presence.clone());
            }
            self.views[odd + 2].regions = view.regions.clone();
            self.views[odd] = view;
        }
    }

    pub fn configure(&mut self) {
        for i in 0..self.nodes.len() {
            let (at, limits) = (self.local(i), self.limits());
            self.nodes[i].granter.configure(at, limits);
        }
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].is_down = true;
        self.nodes[i].run += 1;
    }

    pub fn restart(&mut self, i: usize) {
        let (region, run) = (self.nodes[i].region, self.nodes[i].run + 1);
        self.nodes[i] = self.new_node(i, region, run);
        self.nodes[i].known_from = self.now + UNKNOWN;
        self.at(self.now + Millis(1), Event::Begin(i));
    }

    pub fn freeze(&mut self, i: usize, time: Millis) {
        self.nodes[i].frozen_until = self.now + time;
    }

    /// Returns the granter of a region in calm.
    pub fn first(&self, region: usize) -> usize {
        let in_region = |i: &usize| self.nodes[*i].region == region && !self.nodes[*i].is_down;
        (0..self.nodes.len())
            .filter(in_region)
            .min_by_key(|i| {
                let p = &self.nodes[*i].presence;
                (Reverse(p.link), p.name.clone())
            })
            .expect("a region has entries")
    }

    pub fn fault(&mut self, at: u64, fault: impl FnOnce(&mut Self) + 'static) {
        self.faults.push(Some(Box::new(fault)));
        self.at(Millis(at), Event::Fault(self.faults.len() - 1));
    }

    /// Adds the requests of a workspace, at random times and entries of the region.
    pub fn demand(&mut self, demand: Demand) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].region == demand.region)
            .collect();
        #[allow(clippy::cast_precision_loss)]
        let mut at = demand.from as f64;
        loop {
            let uniform: f64 = self.rng.random_range(1e-9..1.0);
            at -= uniform.ln() * 1_000.0 / demand.rate;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let time = at as u64;
            if time >= demand.until {
                return;
            }
            let node = nodes[self.rng.random_range(0..nodes.len())];
            let workspace = demand.workspace;
            self.at(Millis(time), Event::Request { workspace, node });
        }
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn local(&self, i: usize) -> Millis {
        self.now + Millis(self.nodes[i].origin)
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at.0 >= until {
                return;
            }
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&id) else {
                continue;
            };
            let node = match &event {
                Event::Request { node, .. } => Some(*node),
                Event::Begin(i)
                | Event::Wake(i)
                | Event::Expire(i)
                | Event::Reply { to: i, .. } => Some(*i),
                Event::Ask { call, .. } => index(&call.to),
                Event::Fault(_) => None,
            };
            let thaw = node.map_or(Millis(0), |i| self.nodes[i].frozen_until);
            if thaw > at {
                self.at(thaw, event);
            } else {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { workspace, node } => self.request(workspace, node),
            Event::Begin(i) if self.now < self.nodes[i].due => {}
            Event::Begin(i) | Event::Wake(i) => self.begin(i),
            Event::Ask { call, from } => self.ask(call, from),
            Event::Reply {
                call,
                to,
                run,
                answer,
            } => self.reply(&call, to, run, answer),
            Event::Expire(i) => self.wake(i),
            Event::Fault(n) => {
                if let Some(fault) = self.faults[n].take() {
                    fault(self);
                }
            }
        }
    }

    /// Admits a request as `app::gateway::quota` does.
    fn request(&mut self, workspace: usize, i: usize) {
        if self.nodes[i].is_down {
            return;
        }
        let (at, name) = (self.local(i), self.names[workspace].clone());
        self.tally[workspace].asked += 1;
        self.nodes[i].holder.record(at, &name);
        self.nodes[i].granter.record(at, &name);
        if self.take(i, workspace) {
            return;
        }
        if self.is_exhausted(i, &name) {
            self.tally[workspace].exceeded += 1;
            return;
        }
        let node = &mut self.nodes[i];
        node.holder.set_waiting(&name, true);
        node.waiters.push(Waiter {
            workspace,
            needed: node.begun + 1,
            until: self.now + ASK_TIMEOUT,
        });
        if node.open_calls == 0 {
            let soon = self.now.max(node.next_round);
            self.at(soon, Event::Wake(i));
        }
        self.at(self.now + ASK_TIMEOUT, Event::Expire(i));
    }

    fn take(&mut self, i: usize, workspace: usize) -> bool {
        let (at, name) = (self.local(i), &self.names[workspace]);
        let node = &mut self.nodes[i];
        let taken = node.holder.take(at, name).is_some() || node.granter.take(at, name);
        if taken {
            self.tally[workspace].admitted.push(self.now);
        }
        taken
    }

    fn is_exhausted(&self, i: usize, name: &WorkspaceName) -> bool {
        let (at, node) = (self.local(i), &self.nodes[i]);
        match node.holder.shortage(at, name) {
            Shortage::Exhausted(_) => true,
            Shortage::Pending => false,
            Shortage::Unknown => {
                node.rounds.is_reached() && node.granter.exhaustion(at, name).is_some()
            }
        }
    }

    fn begin(&mut self, i: usize) {
        if self.nodes[i].is_down || self.nodes[i].open_calls > 0 {
            return;
        }
        if self.now < self.nodes[i].next_round {
            return;
        }
        let at = self.local(i);
        if self.calls.is_multiple_of(20) {
            self.add_parts();
        }
        let is_known = self.now >= self.nodes[i].known_from;
        let view = &self.views[2 * usize::from(!is_known) + i % 2];
        let node = &mut self.nodes[i];
        node.begun += 1;
        let needs = node.holder.needs(at, node.rounds.life());
        let calls = node.rounds.begin(at, view, needs, &mut node.granter);
        node.exchanges = calls.iter().any(|c| c.ask.for_others);
        node.is_pending = false;
        node.open_calls = calls.len();
        let run = node.run;
        for call in calls {
            self.calls += 1;
            self.needs += call.ask.needs.len();
            self.open.insert(call_key(i, run, &call));
            let timeout = Event::Reply {
                call: call.clone(),
                to: i,
                run,
                answer: None,
            };
            self.at(self.now + call.timeout, timeout);
            if let Some(to) = index(&call.to)
                && let Some(delay) = self.delay(i, to)
            {
                self.at(self.now + delay, Event::Ask { call, from: i });
            }
        }
        if self.nodes[i].open_calls == 0 {
            self.end(i);
        }
    }

    /// Adds up the parts that all entries hold.
    fn add_parts(&mut self) {
        let now = self.now;
        let running = self.nodes.iter_mut().filter(|n| !n.is_down);
        let parts = running.map(|n| n.granter.part(now + Millis(n.origin)));
        self.most_parts = self.most_parts.max(parts.sum());
    }

    /// Returns the time that a message takes, or none if it is lost.
    fn delay(&mut self, from: usize, to: usize) -> Option<Millis> {
        let region = |i: usize| self.nodes[i].region;
        let is_remote = region(from) != region(to);
        let is_apart = |r| (region(from) == r) != (region(to) == r);
        let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
        if is_cut || self.cut_region.is_some_and(is_apart) || self.rng.random_bool(self.loss) {
            return None;
        }
        let base = if is_remote { 35 } else { 1 };
        let extra = if self.rng.random_bool(self.late) {
            self.rng.random_range(100..2_000)
        } else {
            self.rng.random_range(0..3)
        };
        Some(Millis(base + extra))
    }

    fn ask(&mut self, call: Call, from: usize) {
        let Some(to) = index(&call.to).filter(|i| !self.nodes[*i].is_down) else {
            return;
        };
        let at = self.local(to);
        let granter = &mut self.nodes[to].granter;
        let answer = granter.answer(at, &call.ask);
        if granter.is_short(at) {
            let soon = self.now.max(self.nodes[to].next_round);
            self.at(soon, Event::Wake(to));
        }
        let run = self.nodes[from].run;
        if let Some(delay) = self.delay(to, from) {
            let answer = Some(answer);
            let reply = Event::Reply {
                call,
                to: from,
                run,
                answer,
            };
            self.at(self.now + delay, reply);
        }
    }

    fn reply(&mut self, call: &Call, i: usize, run: u64, answer: Option<Answer>) {
        let is_open = self.open.remove(&call_key(i, run, call));
        if !is_open || self.nodes[i].run != run {
            return;
        }
        let at = self.local(i);
        let node = &mut self.nodes[i];
        // After a freeze an answer may be handled before the timeout.
        let answer = answer.filter(|_| at < call.sent + call.timeout);
        node.is_pending |= node.rounds.record(at, call, answer.as_ref(), &node.holder);
        if let Some(answer) = answer.filter(|_| call.ask.for_others) {
            node.granter.add(at, &call.ask.needs, &answer);
        }
        node.open_calls -= 1;
        if node.open_calls == 0 {
            self.end(i);
        }
    }

    fn end(&mut self, i: usize) {
        let at = self.local(i);
        let node = &mut self.nodes[i];
        if node.exchanges {
            node.granter.record_exchange(at);
        }
        node.is_pending |= node.granter.is_short(at);
        node.ended = node.begun;
        node.next_round = self.now + ROUND_GAP;
        self.wake(i);
        let node = &self.nodes[i];
        let period = match (node.is_pending, node.waiters.is_empty()) {
            (true, _) => PENDING_PERIOD,
            (false, true) => ASK_PERIOD,
            (false, false) => ROUND_GAP,
        };
        self.nodes[i].due = self.now + period;
        self.at(self.nodes[i].due, Event::Begin(i));
    }

    /// Lets the requests that wait try again.
    fn wake(&mut self, i: usize) {
        let waiters = std::mem::take(&mut self.nodes[i].waiters);
        for waiter in waiters {
            let name = self.names[waiter.workspace].clone();
            let is_admitted = self.take(i, waiter.workspace);
            let (at, node) = (self.local(i), &self.nodes[i]);
            let is_pending = node.holder.shortage(at, &name) == Shortage::Pending
                || node.granter.is_pending(at, &name);
            let is_answered = node.ended >= waiter.needed && !is_pending;
            if !is_admitted && !is_answered && self.now < waiter.until {
                self.nodes[i].waiters.push(waiter);
                continue;
            }
            self.nodes[i].holder.set_waiting(&name, false);
            if !is_admitted {
                let is_exhausted = self.is_exhausted(i, &name);
                let tally = &mut self.tally[waiter.workspace];
                tally.exceeded += usize::from(is_exhausted);
                tally.unavailable += usize::from(!is_exhausted);
            }
        }
    }

    /// Returns the largest number of requests of a workspace that ran within a window,
    /// as a fraction of what the bounds allow.
    pub fn peak(&self, workspace: usize, quota: &Quota, from: u64) -> f64 {
        let mut times = self.tally[workspace].admitted.clone();
        times.retain(|at| at.0 >= from);
        times.sort_unstable();
        let (mut first, mut most) = (0, 0);
        for (last, at) in times.iter().enumerate() {
            while times[first] + self.bounds.quota_window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        #[allow(clippy::cast_precision_loss)]
        let (most, window) = (most as f64, self.bounds.quota_window.0 as f64 / 1_000.0);
        let regular = quota.rate.0 * window + quota.burst;
        most / (regular * (1.0 + self.bounds.quota_overshoot) + self.bounds.quota_slack)
    }

    /// Returns the workspaces that have reached their limits at an entry, or are below
    /// them again.
    pub fn limit_changes(&mut self) -> Vec<(usize, bool)> {
        let now = self.now;
        let changes = self.nodes.iter_mut().flat_map(|node| {
            let changes = node.granter.limit_changes(now + Millis(node.origin));
            changes.into_iter().map(|c| (c.workspace, c.is_at_limit))
        });
        let index = |name| self.names.iter().position(|n| *n == name);
        changes
            .filter_map(|(name, reached)| Some((index(name)?, reached)))
            .collect()
    }

    /// Returns the largest peak of all workspaces.
    pub fn worst_peak(&self) -> f64 {
        let peaks = self.quotas.iter().enumerate();
        peaks.map(|(w, q)| self.peak(w, q, 0)).fold(0.0, f64::max)
    }

    /// Returns what happened to some workspaces, for snapshots.
    pub fn summary(&self, workspaces: impl Iterator<Item = usize>) -> String {
        let mut total = Tally::default();
        let mut peak = 0.0_f64;
        for w in workspaces {
            let tally = &self.tally[w];
            total.asked += tally.asked;
            total.exceeded += tally.exceeded;
            total.unavailable += tally.unavailable;
            total.admitted.extend(&tally.admitted);
            peak = peak.max(self.peak(w, &self.quotas[w], 0));
        }
        let Tally {
            asked,
            exceeded,
            unavailable,
            admitted,
        } = total;
        let served = admitted.len();
        format!(
            "asked {asked} served {served} exceeded {exceeded} unavailable {unavailable} peak {peak:.2}"
        )
    }
}

/// Returns the number of an entry.
fn index(presence: &Presence) -> Option<usize> {
    presence.name.as_str()[1..].parse().ok()
}

fn call_key(i: usize, run: u64, call: &Call) -> (usize, u64, String, Millis) {
    let others = if call.ask.for_others { "+" } else { "" };
    (i, run, format!("{}{others}", call.to.name), call.sent)
}

fn world_offset(i: usize) -> u64 {
    (i as u64 * 37) % 300
}
