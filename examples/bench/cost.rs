//! Measures the time of single decisions.
//!
//! The figures depend on the machine, so they are printed and not written to
//! `docs/MEASURED.md`.

use std::{hint::black_box, time::Instant};

use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Lane, Millis, Place, PlaceName, PlaceState, Priority, Slots, TargetId, Weight},
    policy::{
        queue::{Queue, Ticket},
        retry::{Attempt, Budget, Window},
        target::{Completion, Criteria, Pool},
    },
};

const ROUNDS: u32 = 100_000;

/// Prints the mean time of each decision.
pub fn print() {
    for (places, targets) in [(6, 3), (1900, 4)] {
        let time = choices(places, targets);
        println!("choose, start and finish, {places} places × {targets} targets: {time} ns");
    }
    println!("offer and start: {} ns", queue());
    println!("budget and window: {} ns", hedges());
}

fn mean(mut f: impl FnMut(u64)) -> u128 {
    let start = Instant::now();
    (0..u64::from(ROUNDS)).for_each(&mut f);
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn place(n: usize, targets: usize) -> Place {
    let name = |kind: &str| format!("{kind}-{n}");
    let id = |t| TargetId(([10, t as u8, (n / 256) as u8, (n % 256) as u8], 80).into());
    Place {
        name: name("place").parse().expect("the name is valid"),
        region: name("region").parse().expect("the name is valid"),
        az: name("az").parse().expect("the name is valid"),
        weight: Weight(1),
        state: PlaceState::Active,
        targets: (0..targets).map(id).collect(),
        leaving: Vec::new(),
        slots: Slots(4),
    }
}

fn choices(places: usize, targets: usize) -> u128 {
    let places: Vec<Place> = (0..places).map(|n| place(n, targets)).collect();
    let weights: Vec<(PlaceName, u32)> = places.iter().map(|p| (p.name.clone(), 1)).collect();
    let mut pool = Pool::new();
    pool.adopt(Millis(0), &places);
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = Criteria {
        lane: Lane::Short,
        places: &weights,
        excluded: &[],
        extra: false,
        explore: true,
        accept_slow: false,
    };
    mean(|n| {
        let now = Millis(n / 10);
        if let Ok(choice) = pool.choose(now, &mut rng, &criteria, |_, _| 4) {
            pool.started(choice.target, Lane::Short);
            let time = Millis(10 + n % 10);
            pool.finished(now, choice.target, Lane::Short, Completion::Answered, time);
        }
    })
}

fn queue() -> u128 {
    let mut queue = Queue::new();
    queue.resize(30);
    let mut rng = SmallRng::seed_from_u64(1);
    mean(|n| {
        let ticket = Ticket {
            arrived: Millis(n),
            deadline: Millis(n + 5000),
            lane: Lane::Short,
            expected_duration: Millis(20),
            priority: Priority::Normal,
        };
        let _ = black_box(queue.offer(Millis(n), &mut rng, ticket, Millis(20), n));
        if queue.waiting(Lane::Short) > 50 {
            queue.start(Lane::Short);
            queue.finished(Lane::Short);
        }
    })
}

fn hedges() -> u128 {
    let mut budget = Budget::new();
    let mut window = Window::new();
    let attempt = Attempt {
        idempotent: true,
        sent: true,
        count: 1,
        first: Millis(0),
        deadline: Millis(u64::MAX),
        expected_duration: Millis(20),
        strikes: 0,
        shedding: false,
    };
    mean(|n| {
        budget.deposit();
        window.add(Millis(n / 10), Millis(10 + n % 100));
        let _ = black_box(budget.hedge(Millis(n), &attempt));
    })
}
