//! A simulated fleet of members in one thread that deliver their messages
//! immediately. Links can be cut in one direction, messages can be lost at
//! random, and members can be paused.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{EntryId, Millis},
    policy::member::{Action, Member, Members, Nonce, Tuning},
};

use crate::records::{id, member};

/// The interval between two ticks.
const TICK_MS: u64 = 100;

pub struct Fleet {
    pub nodes: Vec<Members>,
    pub now: Millis,
    pub rng: SmallRng,
    /// Members that neither tick nor answer.
    pub paused: Vec<usize>,
    /// The links, as (from, to), that lose every message.
    pub cut_links: Vec<(usize, usize)>,
    /// The percentage of messages that are lost at random.
    pub loss_percent: u32,
    /// The number of requests and replies that were sent.
    pub sent: u64,
    /// The events of all members, each as `observer | event`.
    pub timeline: Vec<String>,
}

impl Fleet {
    /// Returns a fleet in which each member knows only the first one.
    pub fn new(count: usize, seed: u64, tuning: Tuning) -> Self {
        let seeds = vec![member(0).peers];
        let node = |n| Members::new(member(n), seeds.clone(), tuning);
        Self {
            nodes: (0..count).map(node).collect(),
            now: Millis(1_000),
            rng: SmallRng::seed_from_u64(seed),
            paused: Vec::new(),
            cut_links: Vec::new(),
            loss_percent: 0,
            sent: 0,
            timeline: Vec::new(),
        }
    }

    /// Returns a fleet in which all members know each other, with an empty
    /// timeline.
    pub fn converged(count: usize, seed: u64, tuning: Tuning) -> Self {
        let mut fleet = Self::new(count, seed, tuning);
        fleet.run(Millis(60_000));
        fleet.timeline.clear();
        fleet.sent = 0;
        fleet
    }

    /// Runs the fleet for a duration.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Millis(TICK_MS);
            self.tick();
        }
    }

    /// Ticks each member that is not paused, delivers its messages, and
    /// collects the events.
    pub fn tick(&mut self) {
        for n in 0..self.nodes.len() {
            if !self.paused.contains(&n) {
                let actions = self.nodes[n].tick(self.now, &mut self.rng);
                for action in actions {
                    self.deliver(n, action);
                }
            }
        }
        for n in 0..self.nodes.len() {
            for event in self.nodes[n].take_events() {
                self.timeline.push(format!("{} | {event}", id(n)));
            }
        }
    }

    /// Cuts all links between the members of a group and the other members, in
    /// both directions.
    pub fn isolate_group(&mut self, in_group: impl Fn(usize) -> bool) {
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|x| all.clone().map(move |y| (x, y)));
        self.cut_links = pairs
            .filter(|(x, y)| in_group(*x) != in_group(*y))
            .collect();
    }

    /// Returns, for each member, the numbers of the members to which it would
    /// direct callers.
    pub fn views(&self) -> Vec<String> {
        let number = |id: &EntryId| id.as_str().trim_start_matches("entry-").to_owned();
        let view = |m: &Members| {
            let mut ids: Vec<_> = m.alive().map(|o| number(&o.id)).collect();
            ids.sort();
            format!("{}: {}", m.local().id, ids.join(" "))
        };
        self.nodes.iter().map(view).collect()
    }

    /// Delivers the message of an action and its reply.
    fn deliver(&mut self, from: usize, action: Action) {
        match action {
            Action::Probe { to, nonce, updates } => {
                if let Some((to, ack)) = self.probe(from, to.port(), updates) {
                    self.nodes[from].on_ack(self.now, &id(to), nonce, ack);
                } else {
                    self.nodes[from].on_error(nonce);
                }
            }
            Action::Relay {
                via,
                target,
                to,
                nonce,
                updates,
            } => {
                let via = member_number(via.port());
                if !self.is_delivered(from, via) {
                    return;
                }
                let updates = self.nodes[via].on_relay(self.now, &target, updates);
                if let Some((to, ack)) = self.probe(via, to.port(), updates) {
                    self.nodes[via].on_ack(self.now, &target, Nonce(0), ack.clone());
                    if self.is_delivered(via, from) {
                        self.nodes[from].on_ack(self.now, &id(to), nonce, ack);
                    }
                }
            }
            Action::Sync { to, digest } => {
                let to = member_number(to.port());
                if self.is_delivered(from, to) {
                    let (records, more) = self.nodes[to].on_digest(&digest);
                    if self.is_delivered(to, from) {
                        self.nodes[from].on_records(self.now, &id(to), records, more);
                    }
                }
            }
        }
    }

    /// Delivers a probe. Returns the probed member and its reply, unless one of
    /// the messages was lost.
    fn probe(
        &mut self,
        from: usize,
        port: u16,
        updates: Vec<Member>,
    ) -> Option<(usize, Vec<Member>)> {
        let to = member_number(port);
        if !self.is_delivered(from, to) {
            return None;
        }
        let ack = self.nodes[to].on_probe(self.now, &id(from), updates);
        self.is_delivered(to, from).then_some((to, ack))
    }

    /// Counts a message and returns whether it is delivered.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        self.sent += 1;
        let is_lost = self.rng.random_ratio(self.loss_percent, 100);
        !is_lost && !self.paused.contains(&to) && !self.cut_links.contains(&(from, to))
    }
}

/// Returns the number of the member that has this port for peers.
fn member_number(port: u16) -> usize {
    usize::from(port) - 3_000
}
