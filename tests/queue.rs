//! Tests of lanes, queue order and admission. Where a single FIFO queue would
//! behave differently, the case states how.

use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Lane, Millis, Priority},
    policy::queue::{Queue, RouteDurations, Ticket, WaitId},
};

fn ticket(arrived: u64, deadline: u64, lane: Lane) -> Ticket {
    Ticket {
        arrived: Millis(arrived),
        deadline: Millis(deadline),
        lane,
        expected_duration: Millis(10),
        priority: Priority::Normal,
    }
}

fn queue(units: u32) -> (Queue<u32>, SmallRng) {
    let mut queue = Queue::new();
    queue.resize(units);
    (queue, SmallRng::seed_from_u64(1))
}

const MEAN: Millis = Millis(10);

#[test]
fn short_requests_start_while_long_ones_wait() {
    let (mut queue, mut rng) = queue(6);
    let long = ticket(0, 60_000, Lane::Long);
    for n in 0..10 {
        let offer = queue.offer(Millis(0), &mut rng, long, Millis(1000), n);
        assert!(offer.is_ok());
    }
    while queue.can_start(Lane::Long) {
        queue.start(Lane::Long);
    }
    let short = ticket(1, 5000, Lane::Short);
    let offer = queue.offer(Millis(1), &mut rng, short, MEAN, 100);
    assert!(offer.is_ok());
    // A single FIFO queue would give all six units to long requests.
    let held = queue.running(Lane::Long);
    let started = queue
        .can_start(Lane::Short)
        .then(|| queue.start(Lane::Short));
    let item = started.flatten().map(|(_, item)| item);
    assert_eq!((held, item), (3, Some(100)));
}

#[test]
fn an_overload_of_short_requests_does_not_starve_long_ones() {
    let (mut queue, mut rng) = queue(4);
    let long = ticket(0, 1000, Lane::Long);
    assert!(queue.offer(Millis(0), &mut rng, long, MEAN, 1).is_ok());
    let mut lanes = Vec::new();
    for now in [400, 600] {
        let short = ticket(now, now + 1000, Lane::Short);
        let offer = queue.offer(Millis(now), &mut rng, short, MEAN, 2);
        assert!(offer.is_ok());
        lanes.push(queue.next_lane(Millis(now)));
        queue.start(Lane::Short);
        queue.finished(Lane::Short);
    }
    // Strict precedence of the short lane would never start the long request.
    assert_eq!(lanes, [Some(Lane::Short), Some(Lane::Long)]);
}

#[test]
fn the_earliest_deadline_starts_first() {
    let (mut queue, mut rng) = queue(1);
    for deadline in [900, 300, 600] {
        let offer = queue.offer(
            Millis(0),
            &mut rng,
            ticket(0, deadline, Lane::Short),
            MEAN,
            u32::try_from(deadline).expect("it is small"),
        );
        assert!(offer.is_ok());
    }
    let order: Vec<u32> = std::iter::from_fn(|| queue.start(Lane::Short))
        .map(|(_, item)| item)
        .collect();
    assert_eq!(order, [300, 600, 900]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let (mut queue, mut rng) = queue(2);
    queue.started(Lane::Short);
    queue.started(Lane::Short);
    let mut texts = Vec::new();
    for n in 0..30 {
        let offer = queue.offer(Millis(0), &mut rng, ticket(0, 100, Lane::Short), MEAN, n);
        if let Err(refusal) = offer {
            texts.push(refusal.to_string());
        }
    }
    // A FIFO queue would accept all 30, and about half of the answers would come
    // too late.
    texts.dedup();
    insta::assert_debug_snapshot!((queue.waiting(Lane::Short), texts), @r#"
(
    18,
    [
        "overloaded (not-run): queue: the deadline is in 100 ms, but the expected wait in the short lane is 95 ms and the expected duration is 10 ms",
    ],
)
"#);
}

#[test]
fn a_request_that_waited_too_long_does_not_start() {
    let (mut queue, mut rng) = queue(1);
    let offer = queue.offer(Millis(0), &mut rng, ticket(0, 100, Lane::Short), MEAN, 7);
    assert!(offer.is_ok());
    assert!(queue.expire(Millis(90), Lane::Short).is_empty());
    let expired = queue.expire(Millis(91), Lane::Short);
    let texts: Vec<String> = expired.iter().map(|(_, r)| r.to_string()).collect();
    assert_eq!(queue.peek(Lane::Short), None);
    insta::assert_debug_snapshot!(texts, @r#"
[
    "overloaded (not-run): queue: the deadline cannot be met after 91 ms in the short lane",
]
"#);
}

#[test]
fn cancelled_and_finished_requests_free_their_place() {
    let (mut queue, mut rng) = queue(1);
    let offer = queue.offer(Millis(0), &mut rng, ticket(0, 100, Lane::Short), MEAN, 1);
    let first = offer.expect("the queue is not full").id;
    let offer = queue.offer(Millis(0), &mut rng, ticket(0, 100, Lane::Short), MEAN, 2);
    assert!(offer.is_ok());
    assert_eq!(queue.cancel(first), Some(1));
    assert_eq!(queue.cancel(first), None);
    assert_eq!(queue.start(Lane::Short).map(|(_, item)| item), Some(2));
    assert!(!queue.can_start(Lane::Short));
    queue.finished(Lane::Short);
    assert!(queue.can_start(Lane::Short));
}

#[test]
fn lower_priorities_are_refused_first() {
    let accepted = |now: u64| {
        let (mut queue, mut rng) = queue(4);
        let old = queue.offer(Millis(0), &mut rng, ticket(0, 1000, Lane::Short), MEAN, 0);
        assert!(old.is_ok());
        [Priority::Bulk, Priority::Normal, Priority::Critical].map(|priority| {
            let ticket = Ticket {
                priority,
                ..ticket(now, now + 1000, Lane::Short)
            };
            queue.offer(Millis(now), &mut rng, ticket, MEAN, 1).is_ok()
        })
    };
    let steps = [400, 600, 800].map(accepted);
    insta::assert_compact_debug_snapshot!(steps, @"[[true, true, true], [false, true, true], [false, false, true]]");
}

#[test]
fn a_standing_queue_stays_short_under_overload() {
    let (mut queue, mut rng) = queue(1);
    let mut waits = Vec::new();
    for now in 0..4000 {
        // Twice the load that one unit can serve.
        if now % 5 == 0 {
            let ticket = ticket(now, now + 5000, Lane::Short);
            let _ = queue.offer(Millis(now), &mut rng, ticket, MEAN, 1);
        }
        if now % 10 == 0 {
            queue.finished(Lane::Short);
            if let Some((ticket, _)) = queue.start(Lane::Short) {
                waits.push(now - ticket.arrived.0);
            }
        }
    }
    // With the limit on the age of the first request alone, the wait would grow as
    // the overload lasts.
    let wait = [50, 100, 200, 399].map(|n| waits[n]);
    insta::assert_compact_debug_snapshot!(wait, @"[250, 500, 535, 535]");
}

#[test]
fn a_critical_request_displaces_a_bulk_one_in_a_full_lane() {
    let (mut queue, mut rng) = queue(1);
    let bulk = Ticket {
        priority: Priority::Bulk,
        ..ticket(0, 60_000, Lane::Short)
    };
    let mut last = 0;
    while queue.offer(Millis(0), &mut rng, bulk, MEAN, last).is_ok() {
        last += 1;
    }
    let critical = Ticket {
        priority: Priority::Critical,
        ..bulk
    };
    let queued = queue.offer(Millis(0), &mut rng, critical, MEAN, 1000);
    let displaced = queued.ok().and_then(|q| q.displaced);
    let displaced = displaced.map(|(item, refusal)| (item, refusal.to_string()));
    insta::assert_compact_debug_snapshot!((last, displaced), @r#"
(64, Some((63, "overloaded (not-run): queue: displaced by a critical request")))
"#);
}

#[test]
fn retry_times_are_spread() {
    let (mut queue, mut rng) = queue(1);
    let late = ticket(0, 500, Lane::Short);
    for n in 0..3 {
        assert!(
            queue
                .offer(Millis(0), &mut rng, late, Millis(100), n)
                .is_ok()
        );
    }
    let mut offer = || queue.offer(Millis(0), &mut rng, late, Millis(200), 9);
    let times: Vec<_> = (0..4)
        .map(|_| offer().err().and_then(|r| r.retry_after))
        .collect();
    insta::assert_compact_debug_snapshot!(times, @"[Some(Millis(1048)), Some(Millis(1000)), Some(Millis(480)), Some(Millis(1000))]");
}

#[test]
fn lanes_are_declared_or_learned() {
    let mut durations = RouteDurations::new();
    let lane = |durations: &RouteDurations| durations.lane(None, "/plans");
    let mut seen = vec![lane(&durations)];
    durations.record(Lane::Short, "/plans", Millis(9000));
    seen.push(lane(&durations));
    for _ in 0..3 {
        durations.record(Lane::Long, "/plans", Millis(2000));
    }
    seen.push(lane(&durations));
    for _ in 0..200 {
        durations.record(Lane::Long, "/plans", Millis(20));
    }
    seen.push(lane(&durations));
    let declared = durations.lane(Some(Lane::Long), "/plans");
    let expected = durations.expected(Lane::Short, "/plans");
    insta::assert_compact_debug_snapshot!((seen, declared, expected), @"([Short, Short, Long, Short], Long, Millis(20))");
}

/// A reference model: an unordered list that is searched for every operation.
#[derive(Default)]
struct Model {
    waiting: Vec<(Ticket, WaitId, u32)>,
    running: [u32; 2],
}

impl Model {
    fn first(&self, lane: Lane) -> Option<usize> {
        let lane = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| w.0.lane == lane);
        lane.min_by_key(|(_, w)| (w.0.deadline, w.1))
            .map(|(at, _)| at)
    }

    fn remove(&mut self, item: u32) {
        self.waiting.retain(|w| w.2 != item);
    }
}

quickcheck! {
    fn any_sequence_of_events_matches_a_list(events: Vec<(u8, u8, u16)>) -> bool {
        let (mut queue, mut rng) = queue(3);
        let mut model = Model::default();
        let mut now = Millis(0);
        events.into_iter().zip(0..).all(|((kind, n, time), item)| {
            now = now + Millis(u64::from(time % 20));
            apply_event(&mut queue, &mut model, &mut rng, now, (kind, n, time), item)
        })
    }
}

fn apply_event(
    queue: &mut Queue<u32>,
    model: &mut Model,
    rng: &mut SmallRng,
    now: Millis,
    (kind, n, time): (u8, u8, u16),
    item: u32,
) -> bool {
    let lane = [Lane::Short, Lane::Long][usize::from(n % 2)];
    let at = usize::from(n % 2);
    match kind % 8 {
        0..4 => {
            let priority =
                [Priority::Bulk, Priority::Normal, Priority::Critical][usize::from(n % 3)];
            let until = now.0 + u64::from(time % 1000);
            let ticket = Ticket {
                priority,
                ..ticket(now.0, until, lane)
            };
            if let Ok(queued) = queue.offer(now, rng, ticket, MEAN, item) {
                if let Some((removed, _)) = queued.displaced {
                    model.remove(removed);
                }
                model.waiting.push((ticket, queued.id, item));
            }
        }
        4 => {
            for (removed, _) in queue.expire(now, lane) {
                model.remove(removed);
            }
            let expired = |w: &(Ticket, WaitId, u32)| now + w.0.expected_duration > w.0.deadline;
            if model
                .first(lane)
                .is_some_and(|at| expired(&model.waiting[at]))
            {
                return false;
            }
        }
        5 => {
            let can_start = model.running[at] < [3, 1][at] && model.running.iter().sum::<u32>() < 3;
            if queue.can_start(lane) != can_start {
                return false;
            }
            let expected = model
                .first(lane)
                .filter(|_| can_start)
                .map(|at| model.waiting.remove(at));
            model.running[at] += u32::from(expected.is_some());
            let started = can_start.then(|| queue.start(lane)).flatten();
            if started.map(|s| s.1) != expected.map(|e| e.2) {
                return false;
            }
        }
        6 => {
            model.running[at] = model.running[at].saturating_sub(1);
            queue.finished(lane);
        }
        _ => {
            let known = model.waiting.get(usize::from(n)).copied();
            if let Some((_, id, item)) = known {
                model.remove(item);
                if queue.cancel(id) != Some(item) {
                    return false;
                }
            }
        }
    }
    let count = |lane| model.waiting.iter().filter(|w| w.0.lane == lane).count();
    [Lane::Short, Lane::Long].map(count) == [Lane::Short, Lane::Long].map(|l| queue.waiting(l))
}
