//! A few members in one thread that hand each other their messages at once.
//! Links can be cut per direction, messages lost at random, members paused.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{EntryId, Millis},
    policy::member::{Action, Member, Members, Nonce, Tuning},
};

use crate::records::{id, member};

/// The interval of ticks.
const STEP: u64 = 100;

pub struct Fleet {
    pub nodes: Vec<Members>,
    pub now: Millis,
    pub rng: SmallRng,
    /// Members that neither tick nor answer.
    pub paused: Vec<usize>,
    /// Links, as (from, to), that lose every message.
    pub cuts: Vec<(usize, usize)>,
    /// The percentage of messages that are lost.
    pub loss: u32,
    /// Messages sent, requests and replies.
    pub sent: u64,
    /// The timeline: time, observer, event.
    pub timeline: Vec<String>,
}

impl Fleet {
    /// Returns members that know only the first of them.
    pub fn new(count: usize, seed: u64, tuning: Tuning) -> Self {
        let seeds = vec![member(0).peers];
        let node = |n| Members::new(member(n), seeds.clone(), tuning);
        Self {
            nodes: (0..count).map(node).collect(),
            now: Millis(1_000),
            rng: SmallRng::seed_from_u64(seed),
            paused: Vec::new(),
            cuts: Vec::new(),
            loss: 0,
            sent: 0,
            timeline: Vec::new(),
        }
    }

    /// Returns members that know each other, with an empty timeline.
    pub fn formed(count: usize, seed: u64, tuning: Tuning) -> Self {
        let mut fleet = Self::new(count, seed, tuning);
        fleet.run(Millis(60_000));
        fleet.timeline.clear();
        fleet.sent = 0;
        fleet
    }

    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Millis(STEP);
            self.step();
        }
    }

    pub fn step(&mut self) {
        for n in 0..self.nodes.len() {
            if !self.paused.contains(&n) {
                let actions = self.nodes[n].tick(self.now, &mut self.rng);
                for action in actions {
                    self.act(n, action);
                }
            }
        }
        for n in 0..self.nodes.len() {
            for event in self.nodes[n].take_events() {
                self.timeline.push(format!("{} | {event}", id(n)));
            }
        }
    }

    pub fn cut_both(&mut self, a: impl Fn(usize) -> bool) {
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|x| all.clone().map(move |y| (x, y)));
        self.cuts = pairs.filter(|(x, y)| a(*x) != a(*y)).collect();
    }

    /// Returns, per observer, the numbers of the members it would send callers
    /// to.
    pub fn views(&self) -> Vec<String> {
        let number = |id: &EntryId| id.as_str().trim_start_matches("entry-").to_owned();
        let view = |m: &Members| {
            let mut ids: Vec<_> = m.alive().map(|o| number(&o.id)).collect();
            ids.sort();
            format!("{}: {}", m.local().id, ids.join(" "))
        };
        self.nodes.iter().map(view).collect()
    }

    fn act(&mut self, from: usize, action: Action) {
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
                let via = index(via.port());
                if !self.carries(from, via) {
                    return;
                }
                let updates = self.nodes[via].on_relay(self.now, &target, updates);
                if let Some((to, ack)) = self.probe(via, to.port(), updates) {
                    self.nodes[via].on_ack(self.now, &target, Nonce(0), ack.clone());
                    if self.carries(via, from) {
                        self.nodes[from].on_ack(self.now, &id(to), nonce, ack);
                    }
                }
            }
            Action::Sync { to, digest } => {
                let to = index(to.port());
                if self.carries(from, to) {
                    let (records, more) = self.nodes[to].on_digest(&digest);
                    if self.carries(to, from) {
                        self.nodes[from].on_records(self.now, &id(to), records, more);
                    }
                }
            }
        }
    }

    fn probe(
        &mut self,
        from: usize,
        port: u16,
        updates: Vec<Member>,
    ) -> Option<(usize, Vec<Member>)> {
        let to = index(port);
        if !self.carries(from, to) {
            return None;
        }
        let ack = self.nodes[to].on_probe(self.now, &id(from), updates);
        self.carries(to, from).then_some((to, ack))
    }

    fn carries(&mut self, from: usize, to: usize) -> bool {
        self.sent += 1;
        let lost = self.rng.random_ratio(self.loss, 100);
        !lost && !self.paused.contains(&to) && !self.cuts.contains(&(from, to))
    }
}

fn index(port: u16) -> usize {
    usize::from(port) - 3_000
}
