//! Entries that exchange claims over a network which loses, delays, duplicates
//! and reorders messages, as a seed decides. It only connects the state
//! machines: there is no I/O and no real time.

mod naive;
mod schedule;

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use savorybeam::{
    domain::{Epoch, Incarnation, Millis, Size},
    policy::once::{
        Answer, AttemptId, Bucket, ClaimKey, ClaimLimits, ClaimTable, Claimant, Decision,
        Fingerprint, HomeRequest, HomeResponse, HomeSet, Member, Roster, RosterEntry, VoteRequest,
    },
};

use self::naive::Naive;
use crate::history::{Event, Told};

/// Which rules the homes follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rules {
    /// Those of the crate.
    Quorum,
    /// Naive: a new home votes at once, without reading from the former ones.
    Unread,
    /// Naive: one home, the nearest by hash that the claimant takes for alive.
    Single,
    /// Naive: a claim that is not finished expires after 30 s.
    Expiry,
}

/// Each key is executed once, so a schedule needs several to test much.
const KEYS: usize = 8;

pub const LIMITS: ClaimLimits = ClaimLimits {
    claims: 100,
    answers: Size::kib(64),
};

struct Run {
    call: u64,
    key: ClaimKey,
    claimant: Claimant,
    won: bool,
    sent: bool,
}

struct Node {
    place: RosterEntry,
    alive: bool,
    /// Adopted rosters.
    known: usize,
    origin: Millis,
    tables: BTreeMap<Bucket, ClaimTable>,
    naive: BTreeMap<ClaimKey, Naive>,
    runs: Vec<Run>,
}

enum Body {
    Request(HomeRequest),
    /// A response, with the attempt whose vote it answers.
    Response(Option<AttemptId>, HomeResponse),
}

struct Message {
    from: Member,
    to: Member,
    body: Body,
}

pub struct World {
    rng: SmallRng,
    rules: Rules,
    now: Millis,
    nodes: Vec<Node>,
    rosters: Vec<Roster>,
    wire: Vec<Message>,
    cut: Option<usize>,
    calls: u64,
    keys: Vec<ClaimKey>,
    regions: usize,
    pub history: Vec<Event>,
    pub decisions: BTreeMap<&'static str, u32>,
}

impl World {
    pub fn new(seed: u64, rules: Rules, regions: usize, entries: usize) -> Self {
        let place = |i: usize| RosterEntry {
            member: Member {
                entry: format!("e{i}").parse().expect("a name"),
                incarnation: Incarnation(1),
            },
            region: format!("r{}", i % regions).parse().expect("a name"),
            az: format!("r{}-{}", i % regions, i / regions % 2)
                .parse()
                .expect("a name"),
        };
        let nodes: Vec<Node> = (0..entries).map(|i| node(place(i), Millis(0))).collect();
        let first = Roster::new(Epoch(1), nodes.iter().map(|n| n.place.clone()));
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            rules,
            now: Millis(0),
            nodes,
            rosters: vec![first],
            wire: Vec::new(),
            cut: None,
            calls: 0,
            keys: (0..KEYS).map(|i| key(&format!("k{i}"))).collect(),
            regions,
            history: Vec::new(),
            decisions: BTreeMap::new(),
        };
        for i in 0..entries {
            world.adopt(i, 1);
        }
        world
    }

    pub fn call(&mut self, i: usize) {
        let key = self.keys.choose(&mut self.rng).cloned().expect("a key");
        // Now and then a caller reuses a key for another request by mistake.
        let request = u128::from(self.rng.random_ratio(1, 20));
        self.call_with(i, &key, Fingerprint(request));
    }

    pub fn call_with(&mut self, i: usize, key: &ClaimKey, fingerprint: Fingerprint) {
        if !self.nodes[i].alive {
            return;
        }
        self.calls += 1;
        let homes = self.homes(i, key);
        let vote = VoteRequest {
            key: key.clone(),
            fingerprint,
            attempt: AttemptId(self.calls),
            claimant: self.nodes[i].place.member.clone(),
            epoch: homes.epoch,
        };
        let claimant = Claimant::new(vote, homes, self.clock(i));
        let run = Run {
            call: self.calls,
            key: key.clone(),
            claimant,
            won: false,
            sent: false,
        };
        self.ask(i, &run);
        self.nodes[i].runs.push(run);
    }

    /// The homes of a key as entry `i` sees them.
    fn homes(&mut self, i: usize, key: &ClaimKey) -> HomeSet {
        let roster = &self.rosters[self.nodes[i].known - 1];
        if self.rules != Rules::Single {
            return roster.homes(key.bucket());
        }
        let skip = self.rng.random_range(0..self.nodes.len() * 3);
        let alive = roster.entries().iter().enumerate();
        let alive = alive.filter(|(j, _)| *j != skip).map(|(_, e)| e.clone());
        let seen = Roster::new(roster.epoch(), alive);
        let mut homes = seen.homes(key.bucket());
        homes.members.truncate(1);
        homes
    }

    fn ask(&mut self, i: usize, run: &Run) {
        for (to, vote) in run.claimant.vote_requests() {
            self.send(i, &to, Body::Request(HomeRequest::Vote(vote)));
        }
    }

    fn ask_again(&mut self, i: usize, mut run: Run) -> Run {
        let newest = self.rosters[self.nodes[i].known - 1].clone();
        if self.rules != Rules::Single {
            run.claimant.restart(newest.homes(run.key.bucket()));
        }
        self.ask(i, &run);
        run
    }

    fn time_out(&mut self, i: usize, mut run: Run) -> Option<Run> {
        match run.claimant.on_timeout() {
            Some(decision) => self.decide(i, run, decision),
            None => Some(run),
        }
    }

    /// Tells the caller what a decision means and frees the key if it is lost.
    fn decide(&mut self, i: usize, mut run: Run, decision: Decision) -> Option<Run> {
        let (name, told) = match decision {
            Decision::Won => ("won", None),
            Decision::Finished(answer) => ("finished", Some(told(answer.as_ref()))),
            Decision::InProgress => ("in progress", Some(Told::Unknown)),
            Decision::KeyReused => ("reused", Some(Told::NotRun)),
            Decision::Unavailable(_) => ("unavailable", Some(Told::NotRun)),
        };
        *self.decisions.entry(name).or_default() += 1;
        let Some(told) = told else {
            run.won = true;
            return Some(run);
        };
        self.release(i, &mut run, told);
        None
    }

    fn release(&mut self, i: usize, run: &mut Run, told: Told) {
        let call = run.call;
        self.history.push(Event::Returned { call, told });
        for (to, release) in run.claimant.release(&HomeSet::default()) {
            self.send(i, &to, Body::Request(HomeRequest::Release(release)));
        }
    }

    /// Writes a request to a target, finds that no byte could be written, or
    /// gives up because the caller has left.
    fn dispatch(&mut self, i: usize, mut run: Run) -> Option<Run> {
        let now = self.clock(i);
        if !run.won || run.sent {
            return Some(run);
        }
        if self.rng.random_ratio(1, 8) {
            self.release(i, &mut run, Told::NotRun);
            return None;
        }
        assert!(run.claimant.dispatch(now), "a winner may dispatch");
        if self.rng.random_ratio(1, 8) {
            run.claimant.mark_unsent();
            return Some(run);
        }
        run.sent = true;
        self.history.push(Event::Dispatched {
            call: run.call,
            key: Some(run.key.to_string()),
            at: self.now.0,
        });
        Some(run)
    }

    fn end(&mut self, i: usize, mut run: Run) -> Option<Run> {
        if !run.sent {
            return Some(run);
        }
        let call = run.call;
        let body = format!("answer to {call}");
        self.history.push(Event::Executed {
            call,
            answer: body.clone(),
        });
        let answer = Arc::new(Answer::record(200, [], Some(Bytes::from(body))));
        let answer = self.rng.random_ratio(3, 4).then_some(answer);
        let told = told(answer.as_ref());
        self.history.push(Event::Returned { call, told });
        for (to, finish) in run.claimant.finish(answer, &HomeSet::default()) {
            self.send(i, &to, Body::Request(HomeRequest::Finish(finish)));
        }
        None
    }

    fn deliver(&mut self) {
        let Some(message) = self.take() else {
            return;
        };
        let far = [&message.from, &message.to].map(|m| self.region(m));
        let lost = self.cut.is_some() && far[0] != far[1] && far.contains(&self.cut);
        if !lost {
            self.handle(&message);
        }
        if self.rng.random_ratio(1, 6) {
            self.wire.push(message);
        }
    }

    fn take(&mut self) -> Option<Message> {
        let waiting = self.wire.len();
        (waiting > 0).then(|| self.wire.swap_remove(self.rng.random_range(0..waiting)))
    }

    fn handle(&mut self, message: &Message) {
        let Some(i) = self.find(&message.to) else {
            return;
        };
        match &message.body {
            Body::Request(request) => {
                let response = self.answer(i, request);
                let attempt = match request {
                    HomeRequest::Vote(vote) => Some(vote.attempt),
                    _ => None,
                };
                self.send(i, &message.from, Body::Response(attempt, response));
            }
            Body::Response(attempt, HomeResponse::Vote(epoch, reply)) => {
                self.each_run(i, |world, i, mut run| {
                    if Some(run.claimant.attempt()) != *attempt {
                        return Some(run);
                    }
                    match run.claimant.on_reply(&message.from, *epoch, reply.clone()) {
                        Some(decision) => world.decide(i, run, decision),
                        None => Some(run),
                    }
                });
            }
            Body::Response(_, HomeResponse::Page(Ok(page))) => {
                let now = self.clock(i);
                let table = self.nodes[i].tables.get_mut(&page.request.bucket);
                if let Some(table) = table {
                    table.on_page(&message.from, page.clone(), now);
                }
            }
            Body::Response(..) => {}
        }
    }

    fn answer(&mut self, i: usize, request: &HomeRequest) -> HomeResponse {
        let now = self.clock(i);
        if matches!(self.rules, Rules::Single | Rules::Expiry) {
            return naive::answer(&mut self.nodes[i].naive, request, self.rules, now);
        }
        let bucket = request.bucket();
        match self.nodes[i].tables.get_mut(&bucket) {
            Some(table) => table.handle(request, now),
            None => HomeResponse::Acknowledged(false),
        }
    }

    fn each_run(&mut self, i: usize, f: impl Fn(&mut Self, usize, Run) -> Option<Run>) {
        for run in std::mem::take(&mut self.nodes[i].runs) {
            if let Some(run) = f(self, i, run) {
                self.nodes[i].runs.push(run);
            }
        }
    }

    /// Kills an entry with all that it knows. Its dispatched requests may run.
    fn stop(&mut self, i: usize) {
        self.nodes[i].alive = false;
        self.nodes[i].runs.clear();
    }

    /// Starts a killed entry with empty memory. It knows the newest roster, and
    /// nothing of those before.
    fn start(&mut self, i: usize) {
        if self.nodes[i].alive {
            return;
        }
        let mut place = self.nodes[i].place.clone();
        place.member.incarnation = place.member.incarnation.next();
        self.nodes[i] = node(place, self.now);
        self.adopt(i, self.rosters.len());
        if self.rng.random_ratio(2, 3) {
            self.publish();
        }
    }

    /// Writes a new roster to the store: entries that are alive, and some that
    /// are not or that were left out.
    fn publish(&mut self) {
        let epoch = Epoch(self.rosters.len() as u64 + 1);
        let mut entries = Vec::new();
        for node in &self.nodes {
            let odds = if node.alive { 9 } else { 3 };
            if self.rng.random_ratio(odds, 10) {
                entries.push(node.place.clone());
            }
        }
        // The proposer lists itself, so no roster is empty.
        if entries.is_empty() {
            entries.push(self.nodes[0].place.clone());
        }
        self.rosters.push(Roster::new(epoch, entries));
    }

    /// Lets an entry learn of the next roster, or miss some of them.
    fn learn(&mut self, i: usize) {
        let newest = self.rosters.len();
        let next = (self.nodes[i].known + 1).min(newest);
        let miss = self.rng.random_ratio(1, 6);
        self.adopt(i, if miss { newest } else { next });
    }

    fn adopt(&mut self, i: usize, epoch: usize) {
        let node = &mut self.nodes[i];
        if epoch <= node.known || !node.alive {
            return;
        }
        node.known = epoch;
        let to = &self.rosters[epoch - 1];
        let from = match (epoch, self.rules) {
            (2.., Rules::Quorum) => self.rosters[epoch - 2].clone(),
            _ => Roster::default(),
        };
        for key in &self.keys {
            let bucket = key.bucket();
            let me = node.place.member.clone();
            let table = node
                .tables
                .entry(bucket)
                .or_insert_with(|| ClaimTable::new(me, bucket, LIMITS));
            table.adopt(&from.homes(bucket), &to.homes(bucket));
        }
    }

    fn read(&mut self, i: usize) {
        let tables = self.nodes[i].tables.values();
        let reads: Vec<_> = tables.flat_map(ClaimTable::transfer_requests).collect();
        for (to, read) in reads {
            if self.rng.random() {
                continue;
            }
            self.send(i, &to, Body::Request(HomeRequest::Transfer(read)));
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.clock(i);
        let tables = self.nodes[i].tables.values_mut();
        tables.for_each(|r| r.tick(now));
    }

    fn send(&mut self, i: usize, to: &Member, body: Body) {
        let from = self.nodes[i].place.member.clone();
        let to = to.clone();
        self.wire.push(Message { from, to, body });
    }

    fn find(&self, member: &Member) -> Option<usize> {
        let is = |n: &Node| n.alive && n.place.member == *member;
        self.nodes.iter().position(is)
    }

    fn region(&self, member: &Member) -> Option<usize> {
        let is = |n: &Node| n.place.member.entry == member.entry;
        self.nodes.iter().position(is).map(|i| i % self.regions)
    }

    /// Each entry's clock counts from its own start.
    fn clock(&self, i: usize) -> Millis {
        self.now - self.nodes[i].origin
    }
}

fn node(place: RosterEntry, origin: Millis) -> Node {
    Node {
        place,
        alive: true,
        known: 0,
        origin,
        tables: BTreeMap::new(),
        naive: BTreeMap::new(),
        runs: Vec::new(),
    }
}

pub fn key(name: &str) -> ClaimKey {
    ClaimKey {
        service: "payout-ledger".parse().expect("a name"),
        key: name.parse().expect("a key"),
    }
}

fn told(answer: Option<&Arc<Answer>>) -> Told {
    let body = answer.and_then(|a| a.body.clone());
    body.map_or(Told::Unknown, |b| {
        Told::Answer(String::from_utf8_lossy(&b).into_owned())
    })
}
