//! Measures the time of single decisions.
//!
//! The figures depend on the machine, so they are printed and not written to
//! `docs/MEASURED.md`.

use std::{hint::black_box, time::Instant};

use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{
        CallerKey, CallerLimits, Configuration, KeyDigest, Lane, Millis, Place, PlaceName,
        PlaceState, Priority, Rank, RequestKind, Revision, RouteRule, ServiceRule, Size, Slots,
        TargetId, Weight, WeightedService, Workspace,
    },
    policy::{
        queue::{Queue, Ticket},
        retry::{Attempt, Budget, Window},
        route::Table,
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
    let config = configuration();
    let table = Table::compile(config.clone(), 0).expect("the configuration is valid");
    println!(
        "resolve the key of one of 76 workspaces: {} ns",
        keys(&table)
    );
    let only_workspaces = Configuration {
        rules: Vec::new(),
        ..config
    };
    let bytes = memory(&only_workspaces);
    println!("memory of 76 workspaces with 4 keys each: {bytes} bytes");
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

/// Returns the key of a workspace.
fn key(workspace: usize, n: usize) -> Vec<u8> {
    format!("key-of-a-caller-{workspace:04}-{n}").into_bytes()
}

/// Returns a configuration with the 76 workspaces of the largest known deployment and
/// 1,556 routes.
fn configuration() -> Configuration {
    let name = |kind: &str, n: usize| format!("{kind}-{n}");
    let workspace = |n| Workspace {
        name: name("workspace", n).parse().expect("the name is valid"),
        keys: (0..4).map(|k| KeyDigest::of(&key(n, k))).collect(),
        rank: None,
        quota: None,
        home_regions: Vec::new(),
    };
    let rule = |n| RouteRule {
        name: name("route", n),
        host: name("host", n % 40),
        prefix: format!("/route-{n}/"),
        kind: RequestKind::Idempotent,
        objective: Millis(300),
        timeout: Millis(3_000),
        attempts: 2,
        rank: Rank(1),
        public: false,
        sticky: true,
        home_regions: Vec::new(),
        services: vec![WeightedService {
            service: "slots".parse().expect("the name is valid"),
            weight: 1.0,
        }],
    };
    Configuration {
        version: Revision(1),
        limits: CallerLimits {
            max_head: Size::kib(16),
            max_body: Size::kib(64),
            idle_timeout: Millis(15_000),
        },
        rules: (0..1_556).map(rule).collect(),
        services: vec![ServiceRule {
            name: "slots".parse().expect("the name is valid"),
            cold_rate: 1.0,
        }],
        workspaces: (0..76).map(workspace).collect(),
    }
}

fn keys(table: &Table) -> u128 {
    let keys: Vec<Bytes> = (0..76).map(|n| key(n, n % 4).into()).collect();
    mean(|n| {
        let key = CallerKey::new(keys[n as usize % keys.len()].clone());
        let found = black_box(table.workspace(&key.digest()));
        assert!(found.is_some());
    })
}

/// Returns the mean memory of a route table, from the growth of the process by many. It
/// must be the first to allocate much, since memory that was freed is used again.
fn memory(config: &Configuration) -> i64 {
    const TABLES: i64 = 1_000;
    let before = resident_bytes();
    let tables: Vec<Table> = (0..TABLES)
        .map(|_| Table::compile(config.clone(), 0).expect("the configuration is valid"))
        .collect();
    let bytes = (resident_bytes() - before) / TABLES;
    drop(black_box(tables));
    bytes
}

/// Returns the resident memory of this process, in whole pages of 4 KiB.
fn resident_bytes() -> i64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0i64) * 4096
}
