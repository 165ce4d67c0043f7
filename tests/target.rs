//! Guards the choice of a target. Each case compares the pool with the naive
//! choice that it replaces, so that a pool that falls back to it is noticed.

use std::collections::{BTreeMap, HashMap};

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Lane, Millis, Place, PlaceName, PlaceState, RegionName, Slots, TargetId, Weight},
    policy::target::{ChooseError, Completion, Criteria, LoadReport, Pool, State, local_weights},
};

fn id(n: u8) -> TargetId {
    TargetId(([10, 0, 0, n], 8080).into())
}

fn name(text: &str) -> PlaceName {
    text.parse().expect("the name is valid")
}

fn place(targets: impl IntoIterator<Item = u8>, leaving: &[u8]) -> Place {
    Place {
        name: name("a"),
        region: "r".parse().expect("the name is valid"),
        az: "z".parse().expect("the name is valid"),
        weight: Weight(1),
        state: PlaceState::Active,
        targets: targets.into_iter().map(id).collect(),
        leaving: leaving.iter().copied().map(id).collect(),
        slots: Slots(4),
    }
}

fn pool(targets: u8) -> Pool {
    let mut pool = Pool::new();
    pool.adopt(Millis(0), &[place(0..targets, &[])]);
    pool
}

fn ask(places: &[(PlaceName, u32)]) -> Criteria<'_> {
    Criteria {
        lane: Lane::Short,
        places,
        excluded: &[],
        extra: false,
        explore: true,
        accept_slow: false,
    }
}

fn free(_: TargetId, _: Lane) -> u32 {
    u32::MAX
}

/// Sends a request every 2 ms from `from` to `to` and returns how many each
/// target got, in per mille. `time` is what a target takes, within 20%.
fn drive(pool: &mut Pool, from: u64, to: u64, time: impl Fn(TargetId) -> u64) -> Vec<u64> {
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(from);
    let mut ends: BTreeMap<(u64, u64), (TargetId, u64)> = BTreeMap::new();
    let mut counts: BTreeMap<TargetId, u64> = BTreeMap::new();
    for view in pool.statuses(Millis(from)) {
        counts.insert(view.target, 0);
    }
    for now in (from..to).step_by(2) {
        while let Some(first) = ends.first_entry().filter(|e| e.key().0 <= now) {
            let (target, time) = first.remove();
            pool.finished(
                Millis(now),
                target,
                Lane::Short,
                Completion::Answered,
                Millis(time),
            );
        }
        if let Ok(choice) = pool.choose(Millis(now), &mut rng, &ask(&places), free) {
            pool.started(choice.target, Lane::Short);
            let time = time(choice.target) * rng.random_range(80..=120) / 100;
            ends.insert((now + time, now), (choice.target, time));
            *counts.entry(choice.target).or_default() += 1;
        }
    }
    for ((_, _), (target, time)) in ends {
        pool.finished(
            Millis(to),
            target,
            Lane::Short,
            Completion::Answered,
            Millis(time),
        );
    }
    let total: u64 = counts.values().sum();
    counts.values().map(|n| n * 1000 / total.max(1)).collect()
}

/// Returns how many of 1000 choices fall on target 0 while nothing runs.
fn picks(pool: &mut Pool, now: u64) -> usize {
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(now);
    let mut pick = || pool.choose(Millis(now), &mut rng, &ask(&places), free);
    (0..1000)
        .filter(|_| pick().is_ok_and(|c| c.target == id(0)))
        .count()
}

#[test]
fn a_lying_report_attracts_no_traffic() {
    let reports = [0.0, 0.6, 0.6, 0.6];
    let naive = (0..4).min_by(|&a, &b| f64::total_cmp(&reports[a], &reports[b]));
    assert_eq!(
        naive,
        Some(0),
        "the naive choice sends everything to the liar"
    );
    let mut pool = pool(4);
    for (n, load) in (0..).zip(reports) {
        pool.report(
            id(n),
            LoadReport {
                measured_at: Millis(0),
                load,
            },
        );
    }
    // The liar is slower than its peers, but not slow enough to be ejected.
    let shares = drive(&mut pool, 0, 4000, |t| if t == id(0) { 20 } else { 10 });
    insta::assert_compact_debug_snapshot!(shares, @"[90, 299, 322, 288]");
}

#[test]
fn an_old_report_loses_its_effect() {
    let share = |at: u64| {
        let mut pool = pool(2);
        let full = LoadReport {
            measured_at: Millis(at),
            load: 1.0,
        };
        pool.report(id(0), full);
        let late = LoadReport {
            measured_at: Millis(at.saturating_sub(1)),
            load: 0.0,
        };
        pool.report(id(0), late);
        for n in 0..2 {
            pool.started(id(n), Lane::Short);
            let time = Millis(8 + 2 * u64::from(n));
            pool.finished(
                Millis(20_000),
                id(n),
                Lane::Short,
                Completion::Answered,
                time,
            );
        }
        picks(&mut pool, 20_000)
    };
    insta::assert_compact_debug_snapshot!([share(20_000), share(10_000)], @"[0, 1000]");
}

#[test]
fn a_slowed_target_keeps_little_traffic_and_comes_back() {
    let mut pool = pool(8);
    let usual = drive(&mut pool, 0, 2000, |_| 10);
    let slowed = drive(&mut pool, 2000, 6000, |t| if t == id(0) { 100 } else { 10 });
    let state = pool.state(Millis(6000), id(0));
    let after = drive(&mut pool, 6000, 16_000, |_| 10);
    let back = pool.state(Millis(16_000), id(0));
    // Round robin would send 125 to the slowed target.
    insta::assert_compact_debug_snapshot!((usual[0], slowed[0], state, after[0], back), @"(106, 1, Some(Ready), 79, Some(Ready))");
}

#[test]
fn a_single_straggler_does_not_eject_its_target() {
    let mut pool = pool(4);
    drive(&mut pool, 0, 2000, |_| 10);
    pool.started(id(0), Lane::Short);
    pool.finished(
        Millis(2001),
        id(0),
        Lane::Short,
        Completion::Answered,
        Millis(200),
    );
    assert_eq!(pool.state(Millis(2100), id(0)), Some(State::Ready));
}

#[test]
fn hedges_that_win_do_not_hide_a_slow_target() {
    let mut pool = pool(4);
    drive(&mut pool, 0, 2000, |_| 10);
    for n in 0..20 {
        pool.started(id(0), Lane::Short);
        pool.finished(
            Millis(2000 + n),
            id(0),
            Lane::Short,
            Completion::Cancelled,
            Millis(60),
        );
    }
    assert_eq!(pool.state(Millis(2100), id(0)), Some(State::Slow));
}

#[test]
fn a_cold_target_starts_with_little() {
    let mut pool = pool(4);
    drive(&mut pool, 0, 2000, |_| 10);
    pool.adopt(Millis(2000), &[place(0..5, &[])]);
    let slower = |t| if t == id(4) { 25 } else { 10 };
    let first = drive(&mut pool, 2000, 3000, slower)[4];
    // The ramp pauses while the target is more than twice as slow as its peers.
    drive(&mut pool, 3000, 20_000, slower);
    let held = pool.state(Millis(20_000), id(4));
    drive(&mut pool, 20_000, 40_000, |_| 10);
    let warm = pool.state(Millis(40_000), id(4));
    // Round robin would send 200 at once.
    insta::assert_compact_debug_snapshot!((first, held, warm), @"(4, Some(Cold), Some(Ready))");
}

#[test]
fn a_target_that_sheds_is_left_out_and_comes_back() {
    let mut pool = pool(4);
    pool.shed(Millis(0), id(0), Millis(60_000));
    let out = drive(&mut pool, 0, 4900, |_| 10)[0];
    let early = pool.state(Millis(4900), id(0));
    let back = pool.state(Millis(5001), id(0));
    let share = drive(&mut pool, 5001, 12_000, |_| 10)[0];
    let ready = pool.state(Millis(12_000), id(0));
    insta::assert_compact_debug_snapshot!((out, early, back, share, ready), @"(0, Some(Shedding), Some(Cold), 228, Some(Ready))");
}

#[test]
fn at_most_half_of_the_targets_are_left_out() {
    let mut pool = pool(4);
    for n in 0..4 {
        pool.shed(Millis(0), id(n), Millis(1000 + u64::from(n)));
    }
    // Leaving out every target that shed would refuse all work.
    let shares = drive(&mut pool, 0, 900, |_| 10);
    insta::assert_compact_debug_snapshot!(shares, @"[504, 495, 0, 0]");
}

#[test]
fn failures_in_a_row_lengthen_the_pause() {
    let mut pool = pool(4);
    let mut pauses = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        pool.started(id(0), Lane::Short);
        pool.finished(
            Millis(now),
            id(0),
            Lane::Short,
            Completion::Failed,
            Millis(1),
        );
        let from = now;
        while pool.state(Millis(now), id(0)) == Some(State::Shedding) {
            now += 50;
        }
        pauses.push(now - from);
    }
    insta::assert_compact_debug_snapshot!(pauses, @"[250, 500, 1000, 2000, 4000, 5000]");
}

#[test]
fn long_work_leaves_a_slot_of_each_target() {
    let mut pool = pool(2);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let long = Criteria {
        lane: Lane::Long,
        ..ask(&places)
    };
    let mut started = 0;
    while let Ok(choice) = pool.choose(Millis(0), &mut rng, &long, free) {
        pool.started(choice.target, Lane::Long);
        started += 1;
    }
    let short = pool.choose(Millis(0), &mut rng, &ask(&places), free);
    assert_eq!((started, short.is_ok()), (6, true));
}

#[test]
fn misses_say_whether_waiting_helps() {
    let mut pool = pool(2);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let none = |_: TargetId, _: Lane| 0;
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &ask(&places), none),
        Err(ChooseError::NoUnit)
    );
    let zero = [(name("a"), 0), (name("b"), 5)];
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &ask(&zero), free),
        Err(ChooseError::NoTarget)
    );
    pool.adopt(Millis(0), &[place(0..2, &[0, 1])]);
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &ask(&places), free),
        Err(ChooseError::NoTarget)
    );
}

#[test]
fn extra_attempts_avoid_cold_targets_and_former_ones() {
    let mut pool = pool(2);
    pool.adopt(Millis(1), &[place(0..3, &[])]);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let avoid = [id(0)];
    let extra = Criteria {
        excluded: &avoid,
        extra: true,
        ..ask(&places)
    };
    for _ in 0..50 {
        let choice = pool.choose(Millis(1), &mut rng, &extra, free);
        assert_eq!(choice.map(|c| c.target), Ok(id(1)));
    }
}

#[test]
fn probes_keep_to_their_budget() {
    let mut pool = pool(3);
    pool.started(id(0), Lane::Short);
    pool.finished(
        Millis(1),
        id(0),
        Lane::Short,
        Completion::Answered,
        Millis(1),
    );
    let count = |pool: &mut Pool, now| pool.start_probes(Millis(now)).len();
    let counts = [1000, 1500, 2999, 3000, 4000].map(|now| count(&mut pool, now));
    insta::assert_compact_debug_snapshot!(counts, @"[2, 0, 1, 2, 0]");
}

/// The obvious model of what must hold whatever happens.
#[derive(Default)]
struct Model {
    running: HashMap<TargetId, u32>,
    leaving: Vec<u8>,
}

quickcheck! {
    fn hard_rules_hold_on_any_sequence(seed: u64, events: Vec<(u8, u8, u16)>) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut pool = pool(6);
        let mut model = Model::default();
        let places = [(name("a"), 1)];
        let mut now = Millis(1);
        events.into_iter().all(|(kind, n, time)| {
            now = now + Millis(u64::from(time % 300));
            step(&mut pool, &mut model, &mut rng, now, (kind, n % 6, time), &places)
        })
    }
}

fn step(
    pool: &mut Pool,
    model: &mut Model,
    rng: &mut SmallRng,
    now: Millis,
    (kind, n, time): (u8, u8, u16),
    places: &[(PlaceName, u32)],
) -> bool {
    let target = id(n);
    let long = Millis(u64::from(time));
    let units = rng.random_range(0..3);
    match kind % 7 {
        0 => pool.shed(now, target, long),
        1 => pool.report(
            target,
            LoadReport {
                measured_at: now,
                load: f64::from(time),
            },
        ),
        2 => {
            model.leaving = vec![n, (n + 1) % 6];
            pool.adopt(now, &[place(0..6, &model.leaving)]);
        }
        3 | 4 => {
            let running = model.running.entry(target).or_default();
            if *running > 0 {
                *running -= 1;
                let end = [
                    Completion::Answered,
                    Completion::Failed,
                    Completion::Cancelled,
                ][usize::from(time % 3)];
                pool.finished(now, target, Lane::Short, end, long);
            }
        }
        _ => {
            // Odd targets have units, so a choice must not fall on even ones.
            let ask = Criteria {
                accept_slow: kind > 128,
                ..ask(places)
            };
            let odd = [id(1), id(3), id(5)];
            let free = |t: TargetId, _| if odd.contains(&t) { units } else { 0 };
            if let Ok(choice) = pool.choose(now, rng, &ask, free) {
                let n = (0..6)
                    .find(|&n| id(n) == choice.target)
                    .expect("it is known");
                let running = model.running.entry(choice.target).or_default();
                *running += 1;
                if n % 2 == 0 || units == 0 || model.leaving.contains(&n) || *running > 4 {
                    return false;
                }
                pool.started(choice.target, Lane::Short);
            }
        }
    }
    agrees(pool, model, now)
}

fn agrees(pool: &mut Pool, model: &Model, now: Millis) -> bool {
    let views = pool.statuses(now);
    let ejected = views.iter().filter(|v| v.ejected).count();
    let usable = views.iter().filter(|v| v.state != State::Leaving).count();
    let running = |t| model.running.get(&t).copied().unwrap_or(0);
    ejected <= usable / 2 && views.iter().all(|v| v.running[0] == running(v.target))
}

/// What each place gets of all the traffic, in parts.
fn received(demand: &[(RegionName, u32)], places: &[(PlaceName, RegionName, u32)]) -> Vec<f64> {
    let traffic: f64 = demand.iter().map(|(_, d)| f64::from(*d)).sum();
    let mut got = vec![0.0; places.len()];
    for (here, d) in demand {
        let weights = local_weights(here, demand, places);
        let total: f64 = weights.iter().map(|(_, w)| f64::from(*w)).sum();
        for (got, (_, w)) in got.iter_mut().zip(weights) {
            *got += f64::from(*d) / traffic * f64::from(w) / total;
        }
    }
    got
}

quickcheck! {
    fn local_weights_keep_each_place_its_part(demand: [u8; 3], weights: [u8; 5]) -> bool {
        let region = |n: usize| format!("r{}", n % 3).parse().expect("the name is valid");
        let demand: Vec<(RegionName, u32)> =
            (0..3).map(|n| (region(n), u32::from(demand[n]) + 1)).collect();
        let places: Vec<_> = (0..5)
            .map(|n| (name(&format!("p{n}")), region(n), u32::from(weights[n]) + 1))
            .collect();
        let total: f64 = places.iter().map(|(_, _, w)| f64::from(*w)).sum();
        let got = received(&demand, &places);
        got.iter().zip(&places).all(|(got, (_, _, w))| (got - f64::from(*w) / total).abs() < 1e-4)
    }
}

#[test]
fn traffic_crosses_regions_only_where_weights_demand_it() {
    let region = |text: &str| -> RegionName { text.parse().expect("the name is valid") };
    let places = [
        ("a1", "a", 30),
        ("a2", "a", 30),
        ("b1", "b", 20),
        ("c1", "c", 20),
    ];
    let places = places.map(|(p, r, w)| (name(p), region(r), w));
    let demand = ["a", "b", "c"].map(|r| (region(r), 10));
    let weights = |here: &str| local_weights(&region(here), &demand, &places);
    // Drawing by weight alone would send 80% of the traffic of b elsewhere.
    insta::assert_compact_debug_snapshot!(["a", "b", "c"].map(weights), @"[[(a1, 500000), (a2, 500000), (b1, 0), (c1, 0)], [(a1, 200000), (a2, 200000), (b1, 600000), (c1, 0)], [(a1, 200000), (a2, 200000), (b1, 0), (c1, 600000)]]");
    // Without knowledge of the demand the weights count as they are.
    let unknown = local_weights(&region("b"), &[], &places);
    insta::assert_compact_debug_snapshot!(unknown, @"[(a1, 30), (a2, 30), (b1, 20), (c1, 20)]");
}

#[test]
fn routes_of_different_lengths_do_not_make_targets_slow() {
    let mut pool = pool(6);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(3);
    let mut slow = 0;
    for now in 0..20_000 {
        let choice = pool.choose(Millis(now), &mut rng, &ask(&places), free);
        let Ok(choice) = choice else { continue };
        pool.started(choice.target, Lane::Short);
        let time = if rng.random_bool(0.2) { 300 } else { 10 };
        let time = time * rng.random_range(50..=150) / 100;
        pool.finished(
            Millis(now),
            choice.target,
            Lane::Short,
            Completion::Answered,
            Millis(time),
        );
        slow += u64::from(pool.state(Millis(now), choice.target) == Some(State::Slow));
    }
    assert_eq!(slow, 0);
}
