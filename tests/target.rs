//! Tests of the target pool. Where a simpler algorithm exists, such as round
//! robin or the least reported load, the case states what it would do, so that
//! a pool that behaves like it fails the test.

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

fn criteria(places: &[(PlaceName, u32)]) -> Criteria<'_> {
    Criteria {
        lane: Lane::Short,
        places,
        excluded: &[],
        extra: false,
        explore: true,
        accept_slow: false,
    }
}

fn unlimited(_: TargetId, _: Lane) -> u32 {
    u32::MAX
}

/// Ends a request of `time` milliseconds at `now`.
fn finish(pool: &mut Pool, now: u64, target: TargetId, completion: Completion, time: u64) {
    let (now, time) = (Millis(now), Millis(time));
    pool.finished(now, target, Lane::Short, completion, time);
}

/// Starts a request and ends it at `now`, after `time` milliseconds.
fn run(pool: &mut Pool, now: u64, target: TargetId, completion: Completion, time: u64) {
    pool.started(target, Lane::Short);
    finish(pool, now, target, completion, time);
}

/// Sends a request every 2 ms from `from` to `to` and returns the share of each
/// target, in per mille. `time` is the latency of a target, varied by 20%.
fn run_load(pool: &mut Pool, from: u64, to: u64, time: impl Fn(TargetId) -> u64) -> Vec<u64> {
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(from);
    let mut ends: BTreeMap<(u64, u64), (TargetId, u64)> = BTreeMap::new();
    let mut counts: BTreeMap<TargetId, u64> = BTreeMap::new();
    for status in pool.statuses(Millis(from)) {
        counts.insert(status.target, 0);
    }
    for now in (from..to).step_by(2) {
        while let Some(first) = ends.first_entry().filter(|e| e.key().0 <= now) {
            let (target, time) = first.remove();
            finish(pool, now, target, Completion::Answered, time);
        }
        if let Ok(choice) = pool.choose(Millis(now), &mut rng, &criteria(&places), unlimited) {
            pool.started(choice.target, Lane::Short);
            let time = time(choice.target) * rng.random_range(80..=120) / 100;
            ends.insert((now + time, now), (choice.target, time));
            *counts.entry(choice.target).or_default() += 1;
        }
    }
    for ((_, _), (target, time)) in ends {
        finish(pool, to, target, Completion::Answered, time);
    }
    let total: u64 = counts.values().sum();
    counts.values().map(|n| n * 1000 / total.max(1)).collect()
}

/// Returns how often target 0 is chosen in 1000 choices while no request runs.
fn choices_of_first(pool: &mut Pool, now: u64) -> usize {
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(now);
    let mut pick = || pool.choose(Millis(now), &mut rng, &criteria(&places), unlimited);
    (0..1000)
        .filter(|_| pick().is_ok_and(|c| c.target == id(0)))
        .count()
}

#[test]
fn an_understated_load_report_gains_no_traffic() {
    let reports = [0.0, 0.6, 0.6, 0.6];
    let least_reported = (0..4).min_by(|&a, &b| f64::total_cmp(&reports[a], &reports[b]));
    assert_eq!(
        least_reported,
        Some(0),
        "the least reported load would send everything to target 0"
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
    // Target 0 is slower than its peers, but not slow enough to be ejected.
    let shares = run_load(&mut pool, 0, 4000, |t| if t == id(0) { 20 } else { 10 });
    insta::assert_compact_debug_snapshot!(shares, @"[90, 299, 322, 288]");
}

#[test]
fn an_old_report_loses_its_effect() {
    let choices = |at: u64| {
        let mut pool = pool(2);
        let full = LoadReport {
            measured_at: Millis(at),
            load: 1.0,
        };
        pool.report(id(0), full);
        let older = LoadReport {
            measured_at: Millis(at.saturating_sub(1)),
            load: 0.0,
        };
        pool.report(id(0), older);
        for n in 0..2 {
            let time = 8 + 2 * u64::from(n);
            run(&mut pool, 20_000, id(n), Completion::Answered, time);
        }
        choices_of_first(&mut pool, 20_000)
    };
    insta::assert_compact_debug_snapshot!([choices(20_000), choices(10_000)], @"[0, 1000]");
}

#[test]
fn a_slow_target_loses_traffic_and_recovers() {
    let mut pool = pool(8);
    let before = run_load(&mut pool, 0, 2000, |_| 10);
    let slowed = run_load(&mut pool, 2000, 6000, |t| if t == id(0) { 100 } else { 10 });
    let state = pool.state(Millis(6000), id(0));
    let after = run_load(&mut pool, 6000, 16_000, |_| 10);
    let back = pool.state(Millis(16_000), id(0));
    // Round robin would send 125 per mille to the slowed target.
    insta::assert_compact_debug_snapshot!((before[0], slowed[0], state, after[0], back), @"(106, 1, Some(Ready), 79, Some(Ready))");
}

#[test]
fn a_single_straggler_does_not_eject_its_target() {
    let mut pool = pool(4);
    run_load(&mut pool, 0, 2000, |_| 10);
    run(&mut pool, 2001, id(0), Completion::Answered, 200);
    assert_eq!(pool.state(Millis(2100), id(0)), Some(State::Ready));
}

#[test]
fn cancelled_requests_reveal_a_slow_target() {
    let mut pool = pool(4);
    run_load(&mut pool, 0, 2000, |_| 10);
    for n in 0..20 {
        run(&mut pool, 2000 + n, id(0), Completion::Cancelled, 60);
    }
    assert_eq!(pool.state(Millis(2100), id(0)), Some(State::Slow));
}

#[test]
fn a_cold_target_is_ramped_up() {
    let mut pool = pool(4);
    run_load(&mut pool, 0, 2000, |_| 10);
    pool.adopt(Millis(2000), &[place(0..5, &[])]);
    let slower = |t| if t == id(4) { 25 } else { 10 };
    let first = run_load(&mut pool, 2000, 3000, slower)[4];
    // The ramp pauses while the target is more than twice as slow as its peers.
    run_load(&mut pool, 3000, 20_000, slower);
    let held = pool.state(Millis(20_000), id(4));
    run_load(&mut pool, 20_000, 40_000, |_| 10);
    let warm = pool.state(Millis(40_000), id(4));
    // Round robin would send 200 per mille at once.
    insta::assert_compact_debug_snapshot!((first, held, warm), @"(4, Some(Cold), Some(Ready))");
}

#[test]
fn a_shedding_target_is_ejected_and_returns() {
    let mut pool = pool(4);
    pool.shed(Millis(0), id(0), Millis(60_000));
    let out = run_load(&mut pool, 0, 4900, |_| 10)[0];
    let early = pool.state(Millis(4900), id(0));
    let back = pool.state(Millis(5001), id(0));
    let share = run_load(&mut pool, 5001, 12_000, |_| 10)[0];
    let ready = pool.state(Millis(12_000), id(0));
    insta::assert_compact_debug_snapshot!((out, early, back, share, ready), @"(0, Some(Shedding), Some(Cold), 228, Some(Ready))");
}

#[test]
fn at_most_half_of_the_targets_are_ejected() {
    let mut pool = pool(4);
    for n in 0..4 {
        pool.shed(Millis(0), id(n), Millis(1000 + u64::from(n)));
    }
    // Ejecting all targets that shed load would refuse every request.
    let shares = run_load(&mut pool, 0, 900, |_| 10);
    insta::assert_compact_debug_snapshot!(shares, @"[504, 495, 0, 0]");
}

#[test]
fn consecutive_failures_double_the_back_off() {
    let mut pool = pool(4);
    let mut back_offs = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        run(&mut pool, now, id(0), Completion::Failed, 1);
        let from = now;
        while pool.state(Millis(now), id(0)) == Some(State::Shedding) {
            now += 50;
        }
        back_offs.push(now - from);
    }
    insta::assert_compact_debug_snapshot!(back_offs, @"[250, 500, 1000, 2000, 4000, 5000]");
}

#[test]
fn long_requests_leave_one_slot_of_each_target_free() {
    let mut pool = pool(2);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let long = Criteria {
        lane: Lane::Long,
        ..criteria(&places)
    };
    let mut started = 0;
    while let Ok(choice) = pool.choose(Millis(0), &mut rng, &long, unlimited) {
        pool.started(choice.target, Lane::Long);
        started += 1;
    }
    let short = pool.choose(Millis(0), &mut rng, &criteria(&places), unlimited);
    assert_eq!((started, short.is_ok()), (6, true));
}

#[test]
fn errors_tell_missing_units_from_missing_targets() {
    let mut pool = pool(2);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let none = |_: TargetId, _: Lane| 0;
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &criteria(&places), none),
        Err(ChooseError::NoUnit)
    );
    let zero = [(name("a"), 0), (name("b"), 5)];
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &criteria(&zero), unlimited),
        Err(ChooseError::NoTarget)
    );
    pool.adopt(Millis(0), &[place(0..2, &[0, 1])]);
    assert_eq!(
        pool.choose(Millis(0), &mut rng, &criteria(&places), unlimited),
        Err(ChooseError::NoTarget)
    );
}

#[test]
fn retries_and_hedges_avoid_cold_and_excluded_targets() {
    let mut pool = pool(2);
    pool.adopt(Millis(1), &[place(0..3, &[])]);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(1);
    let excluded = [id(0)];
    let extra = Criteria {
        excluded: &excluded,
        extra: true,
        ..criteria(&places)
    };
    for _ in 0..50 {
        let choice = pool.choose(Millis(1), &mut rng, &extra, unlimited);
        assert_eq!(choice.map(|c| c.target), Ok(id(1)));
    }
}

#[test]
fn probes_respect_their_interval() {
    let mut pool = pool(3);
    run(&mut pool, 1, id(0), Completion::Answered, 1);
    let count = |pool: &mut Pool, now| pool.start_probes(Millis(now)).len();
    let counts = [1000, 1500, 2999, 3000, 4000].map(|now| count(&mut pool, now));
    insta::assert_compact_debug_snapshot!(counts, @"[2, 0, 1, 2, 0]");
}

/// A reference model: the running requests of each target, and the targets that
/// are leaving.
#[derive(Default)]
struct Model {
    running: HashMap<TargetId, u32>,
    leaving: Vec<u8>,
}

quickcheck! {
    fn invariants_hold_for_any_sequence_of_events(seed: u64, events: Vec<(u8, u8, u16)>) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut pool = pool(6);
        let mut model = Model::default();
        let places = [(name("a"), 1)];
        let mut now = Millis(1);
        events.into_iter().all(|(kind, n, time)| {
            now = now + Millis(u64::from(time % 300));
            apply_event(&mut pool, &mut model, &mut rng, now, (kind, n % 6, time), &places)
        })
    }
}

fn apply_event(
    pool: &mut Pool,
    model: &mut Model,
    rng: &mut SmallRng,
    now: Millis,
    (kind, n, time): (u8, u8, u16),
    places: &[(PlaceName, u32)],
) -> bool {
    let target = id(n);
    let duration = Millis(u64::from(time));
    let units = rng.random_range(0..3);
    match kind % 7 {
        0 => pool.shed(now, target, duration),
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
                let completion = [
                    Completion::Answered,
                    Completion::Failed,
                    Completion::Cancelled,
                ][usize::from(time % 3)];
                pool.finished(now, target, Lane::Short, completion, duration);
            }
        }
        _ => {
            // Only odd targets have units, so no even one may be chosen.
            let criteria = Criteria {
                accept_slow: kind > 128,
                ..criteria(places)
            };
            let odd = [id(1), id(3), id(5)];
            let free = |t: TargetId, _| if odd.contains(&t) { units } else { 0 };
            if let Ok(choice) = pool.choose(now, rng, &criteria, free) {
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
    matches_model(pool, model, now)
}

fn matches_model(pool: &mut Pool, model: &Model, now: Millis) -> bool {
    let statuses = pool.statuses(now);
    let ejected = statuses.iter().filter(|s| s.ejected).count();
    let eligible = statuses
        .iter()
        .filter(|s| s.state != State::Leaving)
        .count();
    let running = |t| model.running.get(&t).copied().unwrap_or(0);
    ejected <= eligible / 2 && statuses.iter().all(|s| s.running[0] == running(s.target))
}

/// Returns the share of each place in the traffic of all regions.
fn place_shares(demand: &[(RegionName, u32)], places: &[(PlaceName, RegionName, u32)]) -> Vec<f64> {
    let traffic: f64 = demand.iter().map(|(_, d)| f64::from(*d)).sum();
    let mut received = vec![0.0; places.len()];
    for (here, d) in demand {
        let weights = local_weights(here, demand, places);
        let total: f64 = weights.iter().map(|(_, w)| f64::from(*w)).sum();
        for (received, (_, w)) in received.iter_mut().zip(weights) {
            *received += f64::from(*d) / traffic * f64::from(w) / total;
        }
    }
    received
}

quickcheck! {
    fn local_weights_preserve_the_share_of_each_place(demand: [u8; 3], weights: [u8; 5]) -> bool {
        let region = |n: usize| format!("r{}", n % 3).parse().expect("the name is valid");
        let demand: Vec<(RegionName, u32)> =
            (0..3).map(|n| (region(n), u32::from(demand[n]) + 1)).collect();
        let places: Vec<_> = (0..5)
            .map(|n| (name(&format!("p{n}")), region(n), u32::from(weights[n]) + 1))
            .collect();
        let total: f64 = places.iter().map(|(_, _, w)| f64::from(*w)).sum();
        let shares = place_shares(&demand, &places);
        shares.iter().zip(&places).all(|(share, (_, _, w))| (share - f64::from(*w) / total).abs() < 1e-4)
    }
}

#[test]
fn traffic_crosses_regions_only_if_the_weights_require_it() {
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
    // Choosing by weight alone would send 80% of the traffic of b to other
    // regions.
    insta::assert_compact_debug_snapshot!(["a", "b", "c"].map(weights), @"[[(a1, 500000), (a2, 500000), (b1, 0), (c1, 0)], [(a1, 200000), (a2, 200000), (b1, 600000), (c1, 0)], [(a1, 200000), (a2, 200000), (b1, 0), (c1, 600000)]]");
    // With no known demand, the configured weights are returned.
    let no_demand = local_weights(&region("b"), &[], &places);
    insta::assert_compact_debug_snapshot!(no_demand, @"[(a1, 30), (a2, 30), (b1, 20), (c1, 20)]");
}

#[test]
fn mixed_request_durations_do_not_mark_targets_slow() {
    let mut pool = pool(6);
    let places = [(name("a"), 1)];
    let mut rng = SmallRng::seed_from_u64(3);
    let mut slow = 0;
    for now in 0..20_000 {
        let choice = pool.choose(Millis(now), &mut rng, &criteria(&places), unlimited);
        let Ok(choice) = choice else { continue };
        let time = if rng.random_bool(0.2) { 300 } else { 10 };
        let time = time * rng.random_range(50..=150) / 100;
        run(&mut pool, now, choice.target, Completion::Answered, time);
        slow += u64::from(pool.state(Millis(now), choice.target) == Some(State::Slow));
    }
    assert_eq!(slow, 0);
}
