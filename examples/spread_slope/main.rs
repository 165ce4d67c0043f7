//! Measures what control traffic costs per entry as the fleet grows.
//!
//! Entries run in one thread and in virtual time, over the real encoding. Each
//! direction of a link takes 35 ms. Documents change 0.64 times a second, with
//! 2 KB each and 1,900 services. The overhead of HTTP/2 is measured on loopback
//! with real calls; TCP and IP headers are not counted.
//!
//! ```text
//! cargo run --release --locked --example spread_slope -- 9 30 100
//! ```

mod nodes;
mod tally;
mod wire;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{domain::Millis, policy::spread::watch_holders};

use nodes::{Call, Node, SERVICES, item};
use tally::Tally;

const DELAY: Millis = Millis(35);
const TICK: Millis = Millis(100);
/// The time in which a fleet forms, and the time that is measured after it.
const FORMING: Millis = Millis(600_000);
const SPAN: Millis = Millis(180_000);
const EDITS_PER_SECOND: f64 = 0.64;

enum Event {
    Tick(usize),
    Edit,
    /// A holder's watch reports an edit.
    Watch(usize, u64),
    Request(usize, usize, Call),
    Reply(usize, usize, Call, Call),
}

struct Run {
    nodes: Vec<Node>,
    queue: BTreeMap<(Millis, u64), Event>,
    serial: u64,
    rng: SmallRng,
    /// A source of its own, so that all sizes see the same edits.
    gaps: SmallRng,
    tally: Tally,
}

fn main() -> eyre::Result<()> {
    let sizes = std::env::args().skip(1).map(|a| a.parse());
    let mut sizes = sizes.collect::<Result<Vec<usize>, _>>()?;
    if sizes.is_empty() {
        sizes = vec![9, 30, 100];
    }
    let overhead = wire::overhead()?;
    println!("bytes of HTTP/2 per call, both directions: {overhead}\n");
    println!("Sent per entry and second; as much is received.\n");
    println!(
        "| entries | membership messages | B | document messages | B | HTTP/2 B | sum B | edits | last entry after ms, median | p99 | under way at the end |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let mut run = Run::new(size);
        run.go();
        println!("{}", run.tally.row(size, SPAN, &overhead));
    }
    Ok(())
}

impl Run {
    fn new(size: usize) -> Self {
        let mut run = Self {
            nodes: (0..size).map(Node::new).collect(),
            queue: BTreeMap::new(),
            serial: 0,
            rng: SmallRng::seed_from_u64(1),
            gaps: SmallRng::seed_from_u64(2),
            tally: Tally::default(),
        };
        for n in 0..size {
            // Entries start at different times, so that probes are not in step.
            let start = Millis(run.rng.random_range(1..=1_000));
            run.at(start, Event::Tick(n));
        }
        run.at(FORMING, Event::Edit);
        run
    }

    fn at(&mut self, time: Millis, event: Event) {
        self.serial += 1;
        self.queue.insert((time, self.serial), event);
    }

    fn go(&mut self) {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            if now >= FORMING + SPAN {
                break;
            }
            self.take(now, event);
        }
    }

    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick(n) => {
                let calls = self.nodes[n].tick(now, &mut self.rng);
                self.send(now, n, calls);
                self.at(now + TICK, Event::Tick(n));
            }
            Event::Edit => self.edit(now),
            Event::Watch(n, revision) => {
                let calls = self.nodes[n].watched(now, &item(revision), &mut self.rng);
                self.adopted(now, n);
                self.send(now, n, calls);
            }
            Event::Request(from, to, call) => {
                let (reply, calls) = self.nodes[to].serve(now, from, &call, &mut self.rng);
                if now >= FORMING {
                    self.tally.message(&reply);
                }
                self.at(now + DELAY, Event::Reply(from, to, call, reply));
                self.send(now, to, calls);
            }
            Event::Reply(from, to, call, reply) => {
                let calls = self.nodes[from].finish(now, to, &call, &reply, &mut self.rng);
                self.adopted(now, from);
                self.send(now, from, calls);
            }
        }
    }

    fn edit(&mut self, now: Millis) {
        let revision = 2 + self.tally.edits();
        assert!(revision < SERVICES, "each service is edited once");
        self.tally.edit(now, revision);
        let holders = watch_holders(self.nodes[0].members.alive());
        let holders: Vec<usize> = holders.into_iter().map(nodes::number).collect();
        for n in holders {
            self.at(now + DELAY, Event::Watch(n, revision));
        }
        // Exponential gaps, as independent teams edit.
        let gap = -self.gaps.random_range(f64::EPSILON..1.0).ln() / EDITS_PER_SECOND;
        let gap = std::time::Duration::from_secs_f64(gap);
        let gap = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        self.at(now + Millis(gap), Event::Edit);
    }

    fn adopted(&mut self, now: Millis, n: usize) {
        for revision in std::mem::take(&mut self.nodes[n].adopted) {
            self.tally.adopted(now, revision.0, self.nodes.len());
        }
    }

    fn send(&mut self, now: Millis, from: usize, calls: Vec<(usize, Call)>) {
        for (to, call) in calls {
            if now >= FORMING {
                self.tally.message(&call);
            }
            self.tally.connect(now, now >= FORMING, (from, to));
            self.at(now + DELAY, Event::Request(from, to, call));
        }
    }
}
