//! Tests where large bodies run. The load is the one of a region in which one
//! availability zone has few targets, with large and small requests mixed: bytes
//! that cross zones are dear, and a zone with few targets must not queue what
//! its neighbour could run.

use std::collections::BTreeSet;

use savorybeam::{
    domain::{Millis, Size},
    policy::balance::{Ending, Pool, Request, Ticket, object_hash},
};

use super::simulation::{addr, az, context, instance, region, request, rule, zones};

const SLOTS: u32 = 3;

/// How long a request runs.
const DURATION: Millis = Millis(100);

/// The availability zone of the target with each index: the short one has one
/// target, its neighbour three, and another region two.
const ZONES: [usize; 6] = [0, 3, 3, 3, 1, 1];

/// An entry in the short zone, with its requests that run.
struct Fixture {
    pool: Pool,
    now: Millis,
    running: Vec<(Millis, usize, Ticket)>,
}

/// Where the requests of a load ran.
#[derive(Debug, Default)]
struct Counts {
    near: u32,
    neighbour: u32,
    remote: u32,
    refused: u32,
    /// The highest number of requests at once at the target of the short zone.
    peak: usize,
}

impl Fixture {
    fn new() -> Self {
        let mut zones = zones();
        zones.insert(az(3), region(0));
        let mut pool = Pool::new();
        for (n, zone) in ZONES.into_iter().enumerate() {
            pool.put(Millis(0), instance(n, zone, SLOTS), &zones);
        }
        Self {
            pool,
            now: Millis(60_000),
            running: Vec::new(),
        }
    }

    /// Ends the requests that are done.
    fn advance(&mut self, now: Millis) {
        self.now = now;
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, _, _)| *end <= now);
        self.running = running;
        for (_, _, ticket) in done {
            self.pool.finish(now, &ticket, Ending::Answered, None);
        }
    }

    /// Sends one request with a body and learns that responses are small.
    fn send(&mut self, object: u64, size: Size, counts: &mut Counts) {
        let (az, region, rule, evacuated) = (az(0), region(0), rule(), BTreeSet::new());
        let ctx = context(self.now, &az, &region, &evacuated);
        let req = Request {
            object: Some(object_hash("/slots/", &object.to_le_bytes())),
            size,
            ..request(&rule)
        };
        let Ok(choice) = self.pool.choose(&ctx, &req) else {
            counts.refused += 1;
            return;
        };
        self.pool.record_size(&choice.ticket, Size(500));
        let target = (0..ZONES.len()).find(|n| addr(*n) == choice.addr);
        let target = target.expect("a known target");
        match ZONES[target] {
            0 => counts.near += 1,
            3 => counts.neighbour += 1,
            _ => counts.remote += 1,
        }
        self.running
            .push((self.now + DURATION, target, choice.ticket));
        let at_near = self.running.iter().filter(|(_, n, _)| *n == 0).count();
        counts.peak = counts.peak.max(at_near);
    }

    /// Sends a request of each of the sizes in turn, `gap` apart, for ten
    /// seconds. Returns the counts for each size.
    fn run(&mut self, sizes: &[Size], gap: Millis) -> Vec<Counts> {
        let mut counts: Vec<Counts> = sizes.iter().map(|_| Counts::default()).collect();
        for n in 0..10_000 / gap.0 {
            let now = Millis(60_000 + n * gap.0);
            self.advance(now);
            let turn = usize::try_from(n).expect("a small number") % sizes.len();
            self.send(n * 7 % 12, sizes[turn], &mut counts[turn]);
        }
        counts
    }
}

const LARGE: Size = Size::kib(64);
const SMALL: Size = Size(300);

/// Fails if large bodies leave their availability zone although it has room, or
/// if small requests stay there although their object is warm elsewhere.
#[test]
fn large_bodies_stay_in_their_zone_and_small_ones_follow_their_object() {
    let counts = Fixture::new().run(&[LARGE, SMALL], Millis(100));
    insta::assert_debug_snapshot!(counts);
}

/// Fails if a zone with one target queues large bodies that its neighbour has
/// room for, or if they leave the region.
#[test]
fn a_short_zone_overflows_before_its_queue_grows() {
    let counts = Fixture::new().run(&[LARGE], Millis(20));
    insta::assert_debug_snapshot!(counts);
}

/// Fails if a mixed load of large and small requests at the limit of the region
/// makes requests wait at the short zone's target.
#[test]
fn a_mixed_load_uses_the_whole_region() {
    let counts = Fixture::new().run(&[LARGE, SMALL, SMALL], Millis(10));
    insta::assert_debug_snapshot!(counts);
}
