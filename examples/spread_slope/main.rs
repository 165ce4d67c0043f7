//! Measures what control traffic costs per entry as the fleet grows.
//!
//! The entries run in one thread and in virtual time, and their messages are
//! encoded as on the wire. A message takes 35 ms in each direction. There are
//! 1,900 services with documents of 2 KB, and 0.64 edits per second. The overhead
//! of HTTP/2 is measured with real calls on loopback. TCP and IP headers are not
//! counted.
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

use nodes::{Call, Node, SERVICE_COUNT, announcement};
use tally::Tally;

/// The delay of a message in one direction.
const LINK_DELAY: Millis = Millis(35);
const TICK_INTERVAL: Millis = Millis(100);
/// The time before the measurement, in which the entries find each other.
const WARM_UP: Millis = Millis(600_000);
/// The time that is measured.
const MEASURED_TIME: Millis = Millis(180_000);
const EDITS_PER_SECOND: f64 = 0.64;

enum Event {
    /// The tick of an entry.
    Tick(usize),
    /// An edit of the next service.
    Edit,
    /// An entry's watch on the store reports the edit with this revision.
    Watch(usize, u64),
    /// A request arrives: the sender, the receiver and the request.
    Request(usize, usize, Call),
    /// A reply arrives: the sender and receiver of the request, the request and
    /// the reply.
    Reply(usize, usize, Call, Call),
}

/// A simulated fleet with its pending events.
struct Simulation {
    nodes: Vec<Node>,
    /// The pending events, ordered by time and then by the order of scheduling.
    queue: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    /// The random source of the times between edits. It is separate from `rng`, so
    /// that the edits are the same for all sizes.
    edit_rng: SmallRng,
    tally: Tally,
}

fn main() -> eyre::Result<()> {
    let sizes = std::env::args().skip(1).map(|size| size.parse());
    let mut sizes = sizes.collect::<Result<Vec<usize>, _>>()?;
    if sizes.is_empty() {
        sizes = vec![9, 30, 100];
    }
    let overhead = wire::measure_overhead()?;
    println!("bytes of HTTP/2 per call, both directions: {overhead}\n");
    println!("Sent per entry and second; as much is received.\n");
    println!(
        "| entries | membership messages | B | document messages | B | HTTP/2 B | sum B | edits | last entry after ms, median | p99 | under way at the end |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let mut simulation = Simulation::new(size);
        simulation.run_events();
        println!("{}", simulation.tally.row(size, MEASURED_TIME, &overhead));
    }
    Ok(())
}

impl Simulation {
    fn new(size: usize) -> Self {
        let mut simulation = Self {
            nodes: (0..size).map(Node::new).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(1),
            edit_rng: SmallRng::seed_from_u64(2),
            tally: Tally::default(),
        };
        for n in 0..size {
            // Entries start at different times, so that they do not all probe at the
            // same time.
            let start = Millis(simulation.rng.random_range(1..=1_000));
            simulation.schedule(start, Event::Tick(n));
        }
        simulation.schedule(WARM_UP, Event::Edit);
        simulation
    }

    /// Adds an event to the queue.
    fn schedule(&mut self, time: Millis, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    /// Processes events until the measured time ends.
    fn run_events(&mut self) {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            if now >= WARM_UP + MEASURED_TIME {
                break;
            }
            self.take(now, event);
        }
    }

    /// Processes one event.
    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Tick(n) => {
                let calls = self.nodes[n].tick(now, &mut self.rng);
                self.send(now, n, calls);
                self.schedule(now + TICK_INTERVAL, Event::Tick(n));
            }
            Event::Edit => self.edit(now),
            Event::Watch(n, revision) => {
                let calls = self.nodes[n].on_watch(now, &announcement(revision), &mut self.rng);
                self.record_adoptions(now, n);
                self.send(now, n, calls);
            }
            Event::Request(from, to, call) => {
                let (reply, calls) = self.nodes[to].on_request(now, from, &call, &mut self.rng);
                if now >= WARM_UP {
                    self.tally.record_message(&reply);
                }
                self.schedule(now + LINK_DELAY, Event::Reply(from, to, call, reply));
                self.send(now, to, calls);
            }
            Event::Reply(from, to, call, reply) => {
                let calls = self.nodes[from].on_reply(now, to, &call, &reply, &mut self.rng);
                self.record_adoptions(now, from);
                self.send(now, from, calls);
            }
        }
    }

    /// Edits the next service: the watches report the edit after the delay of a
    /// message. Also schedules the edit after it.
    fn edit(&mut self, now: Millis) {
        let revision = 2 + self.tally.edit_count();
        assert!(
            revision < SERVICE_COUNT,
            "each service can be edited only once"
        );
        self.tally.record_edit(now, revision);
        let holders = watch_holders(self.nodes[0].members.alive());
        let holders: Vec<usize> = holders.into_iter().map(nodes::entry_index).collect();
        for n in holders {
            self.schedule(now + LINK_DELAY, Event::Watch(n, revision));
        }
        // The times between edits are distributed exponentially, as for independent
        // teams.
        let interval = -self.edit_rng.random_range(f64::EPSILON..1.0).ln() / EDITS_PER_SECOND;
        let interval = std::time::Duration::from_secs_f64(interval);
        let interval = u64::try_from(interval.as_millis()).unwrap_or(u64::MAX);
        self.schedule(now + Millis(interval), Event::Edit);
    }

    /// Records the revisions that an entry has adopted since the last call.
    fn record_adoptions(&mut self, now: Millis, n: usize) {
        for revision in std::mem::take(&mut self.nodes[n].adopted) {
            self.tally
                .record_adoption(now, revision.0, self.nodes.len());
        }
    }

    /// Records requests and schedules their arrival.
    fn send(&mut self, now: Millis, from: usize, calls: Vec<(usize, Call)>) {
        for (to, call) in calls {
            if now >= WARM_UP {
                self.tally.record_message(&call);
            }
            self.tally.record_call(now, now >= WARM_UP, (from, to));
            self.schedule(now + LINK_DELAY, Event::Request(from, to, call));
        }
    }
}
