//! A simulation of entries, a network, a platform and a store in virtual time, with
//! faults that follow from a seed. Times without a unit are in milliseconds.

use std::{collections::BTreeMap, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::domain::{Incarnation, Millis, Slots};
use savorybeam::policy::limit::{Ledger, Limit, Member, Roster};

use super::node::{Node, OutgoingPacket, Packet, Unit};

/// The virtual time between two steps.
pub const STEP_MS: u64 = 10;

/// The faults of the network and the platform. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is duplicated.
    pub duplicates: f64,
    /// The longest usual delay of a message.
    pub delay: u64,
    /// The probability that a message is delayed by up to 6 seconds.
    pub late: f64,
    /// The probability of a fault in each second.
    pub fault_rate: f64,
    /// The largest relative deviation of the speed of a clock.
    pub drift: f64,
}

impl Faults {
    pub const NONE: Self = Self {
        loss: 0.0,
        duplicates: 0.0,
        delay: 40,
        late: 0.0,
        fault_rate: 0.0,
        drift: 0.0,
    };

    pub fn random(rng: &mut SmallRng) -> Self {
        Self {
            loss: rng.random_range(0.0..0.3),
            duplicates: rng.random_range(0.0..0.3),
            delay: rng.random_range(10..400),
            late: rng.random_range(0.0..0.05),
            fault_rate: rng.random_range(0.1..1.0),
            drift: 0.05,
        }
    }
}

/// The scheme by which the entries share the limit, see [`Node`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scheme {
    Escrow,
    Split,
    Lease,
}

#[derive(Debug)]
pub struct Entry {
    pub member: Member,
    pub node: Node,
    pub size: u32,
    /// The revision of the document that set the size.
    revision: u64,
    clock_offset: f64,
    clock_speed: f64,
    /// The entry neither runs nor receives messages until this time.
    paused_until: u64,
    last_tick: u64,
    /// The probability that it starts a request in a step.
    pub demand: f64,
    /// Its running requests: the unit, the end, and the size of the limit that the
    /// entry knew at the start.
    pub running: Vec<(Unit, u64, u32)>,
}

/// A crashed entry. Its requests keep running at the target until they end.
#[derive(Debug)]
pub struct CrashedEntry {
    pub member: Member,
    pub units: Vec<u32>,
    pub size: u32,
    /// When the platform reports it gone.
    pub report_at: u64,
}

#[derive(Debug)]
pub enum Event {
    Packet {
        from: Member,
        to: Member,
        packet: Packet,
    },
    Roster(usize, Arc<Roster>),
    Gone(usize, Member),
    Size(usize, u64, u32),
    Start(usize),
}

pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub entries: Vec<Option<Entry>>,
    pub limit: Limit,
    revision: u64,
    scheme: Scheme,
    pub rng: SmallRng,
    /// The times at which requests were admitted to a rate limit.
    pub admissions: Vec<u64>,
    pub crashed: Vec<CrashedEntry>,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub roster: Arc<Roster>,
    incarnations: Vec<u64>,
    /// The store is unavailable until this time.
    pub store_down: u64,
    /// A network partition: the entries below the index cannot reach the others until
    /// the given time.
    partition: Option<(usize, u64)>,
    /// The entry that the next roster marks as leaving.
    pub leaving: Option<usize>,
    last_proposal: u64,
}

pub fn member(index: usize, incarnation: u64) -> Member {
    Member {
        entry: format!("e{index}").parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

impl World {
    pub fn new(seed: u64, count: usize, scheme: Scheme, limit: Limit, faults: Faults) -> Self {
        let mut world = Self {
            now: 0,
            faults,
            entries: (0..count).map(|_| None).collect(),
            limit,
            revision: 0,
            scheme,
            rng: SmallRng::seed_from_u64(seed),
            admissions: Vec::new(),
            crashed: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            roster: Arc::default(),
            incarnations: vec![0; count],
            store_down: 0,
            partition: None,
            leaving: None,
            last_proposal: 0,
        };
        for index in 0..count {
            world.start(index);
        }
        world.propose_roster();
        world
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    fn start(&mut self, index: usize) {
        if self.entries[index].is_some() {
            return;
        }
        self.incarnations[index] += 1;
        let member = member(index, self.incarnations[index]);
        let count = self.entries.len();
        let size = self.limit.units();
        let node = match self.scheme {
            Scheme::Escrow => {
                let name = "slots/10.0.0.1:80".parse().expect("a valid name");
                Node::Escrow(Box::new(Ledger::new(name, member.clone(), self.limit)))
            }
            Scheme::Split => Node::split(index, count, size),
            Scheme::Lease => Node::lease(index, size),
        };
        let drift = self.faults.drift;
        let entry = Entry {
            member,
            node,
            size,
            revision: self.revision,
            clock_offset: self.rng.random_range(0.0..1e6),
            clock_speed: self.rng.random_range(1.0 - drift..=1.0 + drift),
            paused_until: 0,
            last_tick: 0,
            demand: self.rng.random_range(0.0..0.3),
            running: Vec::new(),
        };
        self.entries[index] = Some(entry);
        let roster = self.roster.clone();
        let delay = self.rng.random_range(0..500);
        self.push(delay, Event::Roster(index, roster));
    }

    pub fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub fn crash(&mut self, index: usize) {
        // At most one crashed incarnation of each entry keeps the roster simple: the
        // platform reports it gone before the next one may crash.
        let name = member(index, 0).entry;
        if self.crashed.iter().any(|c| c.member.entry == name) {
            return;
        }
        let Some(entry) = self.entries[index].take() else {
            return;
        };
        let units = entry.running.iter().map(|(u, _, _)| u.number()).collect();
        let sizes = entry.running.iter().map(|(_, _, size)| *size);
        let size = sizes.chain([entry.size]).max().unwrap_or(0);
        let ends = entry.running.iter().map(|(_, end, _)| *end).max();
        let lag = self.now + self.rng.random_range(500..15_000);
        self.crashed.push(CrashedEntry {
            member: entry.member,
            units,
            size,
            report_at: lag.max(ends.unwrap_or(0)),
        });
        let delay = self.rng.random_range(100..8_000);
        self.push(delay, Event::Start(index));
    }

    /// Sets the size of the limit. Entries learn of it with a delay.
    pub fn set_size(&mut self, size: u32) {
        self.limit = Limit::Slots(Slots(size));
        self.revision += 1;
        for index in 0..self.entries.len() {
            let delay = self.rng.random_range(0..3_000);
            self.push(delay, Event::Size(index, self.revision, size));
        }
    }

    fn inject_fault(&mut self) {
        if !self.now.is_multiple_of(1_000) || !self.rng.random_bool(self.faults.fault_rate) {
            return;
        }
        let count = self.entries.len();
        let index = self.rng.random_range(0..count);
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let until = self.now + self.rng.random_range(200..8_000);
                if let Some(entry) = &mut self.entries[index] {
                    entry.paused_until = until;
                }
            }
            2 => self.crash(index),
            3 => {
                let until = self.now + self.rng.random_range(1_000..20_000);
                self.partition = Some((index, until));
            }
            4 => self.store_down = self.now + self.rng.random_range(1_000..40_000),
            5 => self.leaving = (self.leaving != Some(index)).then_some(index),
            6 if matches!(self.limit, Limit::Slots(_)) && self.scheme == Scheme::Escrow => {
                let size = self.rng.random_range(1..9);
                self.set_size(size);
            }
            _ => {
                let demand = self.rng.random_range(0.0..0.5);
                if let Some(entry) = &mut self.entries[index] {
                    entry.demand = demand;
                }
            }
        }
    }

    /// Ends all faults. The reports and restarts of crashed entries that are already
    /// scheduled still take place.
    pub fn end_faults(&mut self) {
        self.faults = Faults::NONE;
        self.partition = None;
        self.store_down = 0;
        self.leaving = None;
        for entry in self.entries.iter_mut().flatten() {
            entry.paused_until = 0;
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.inject_fault();
        self.report_crashed();
        if self.now >= self.last_proposal + 2_000 {
            self.last_proposal = self.now;
            self.propose_roster();
        }
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let event = first.remove();
            self.deliver(event);
        }
        for index in 0..self.entries.len() {
            self.run_entry(index);
        }
    }

    pub fn clock(&self, entry: &Entry) -> Millis {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        Millis((entry.clock_offset + self.now as f64 * entry.clock_speed) as u64)
    }

    fn deliver(&mut self, event: Event) {
        let index = match &event {
            Event::Packet { to, .. } => (0..self.entries.len())
                .find(|i| member(*i, 0).entry == to.entry)
                .expect("a known name"),
            Event::Roster(i, _) | Event::Gone(i, _) | Event::Size(i, ..) => *i,
            Event::Start(index) => return self.start(*index),
        };
        let Some(mut entry) = self.entries[index].take() else {
            return;
        };
        if self.now < entry.paused_until {
            let delay = entry.paused_until - self.now;
            self.entries[index] = Some(entry);
            return self.push(delay, event);
        }
        let clock = self.clock(&entry);
        let out = match event {
            Event::Packet { from, to, packet } => entry.node.receive(&from, &to, packet, clock),
            Event::Roster(_, roster) => {
                entry.node.set_roster(&roster, clock);
                Vec::new()
            }
            Event::Gone(_, gone) => {
                if let Some(ledger) = entry.node.ledger() {
                    ledger.on_gone(&gone, clock);
                }
                Vec::new()
            }
            Event::Size(_, revision, _) if revision <= entry.revision => Vec::new(),
            Event::Size(_, revision, size) => {
                entry.revision = revision;
                entry.size = size;
                let ledger = entry.node.ledger().expect("only ledgers change size");
                let out = ledger.set_limit(Limit::Slots(Slots(size)), clock);
                out.into_iter()
                    .map(|o| (o.to, Packet::Envelope(o.envelope)))
                    .collect()
            }
            Event::Start(_) => Vec::new(),
        };
        let from = entry.member.clone();
        self.entries[index] = Some(entry);
        self.send(index, &from, out);
    }

    /// Ends and starts requests of an entry, and runs its tick if it is due.
    fn run_entry(&mut self, index: usize) {
        let Some(mut entry) = self.entries[index].take() else {
            return;
        };
        if self.now < entry.paused_until {
            self.entries[index] = Some(entry);
            return;
        }
        let clock = self.clock(&entry);
        let mut out = Vec::new();
        let now = self.now;
        while let Some(at) = entry.running.iter().position(|(_, end, _)| *end <= now) {
            let (unit, _, _) = entry.running.swap_remove(at);
            out.extend(entry.node.release(unit, clock));
        }
        if self.rng.random_bool(entry.demand) {
            if matches!(self.limit, Limit::Slots(_)) {
                let (unit, sent) = entry.node.acquire(clock);
                out.extend(sent);
                let end = now + self.rng.random_range(10..3_000);
                let size = entry.size;
                entry.running.extend(unit.map(|u| (u, end, size)));
            } else if let Some(ledger) = entry.node.ledger() {
                let amount = match ledger.limit() {
                    Limit::Rate { max_amount, .. } => max_amount,
                    Limit::Slots(_) => 1,
                };
                if ledger.admit(amount, clock) {
                    self.admissions.push(now);
                }
                let usable = ledger.status().usable as usize;
                assert_eq!(
                    usable,
                    ledger.units(clock).len(),
                    "admission counted expired units"
                );
            }
        }
        if self.now >= entry.last_tick + 100 {
            entry.last_tick = self.now;
            out.extend(entry.node.tick(&member(0, 1), clock));
        }
        let from = entry.member.clone();
        self.entries[index] = Some(entry);
        self.send(index, &from, out);
    }

    fn send(&mut self, index: usize, from: &Member, out: Vec<OutgoingPacket>) {
        for (to, packet) in out {
            if self.rng.random_bool(self.faults.loss) || self.is_partitioned(index, &to) {
                continue;
            }
            let duplicates = 1 + u32::from(self.rng.random_bool(self.faults.duplicates));
            for _ in 0..duplicates {
                let late = self.rng.random_bool(self.faults.late);
                let most = if late { 6_000 } else { self.faults.delay };
                let delay = self.rng.random_range(1..=most);
                let event = Event::Packet {
                    from: from.clone(),
                    to: to.clone(),
                    packet: packet.clone(),
                };
                self.push(delay, event);
            }
        }
    }

    fn is_partitioned(&self, from: usize, to: &Member) -> bool {
        let Some((boundary, until)) = self.partition else {
            return false;
        };
        let to = (0..self.entries.len()).find(|i| member(*i, 0).entry == to.entry);
        self.now < until && to.is_some_and(|to| (from < boundary) != (to < boundary))
    }
}
