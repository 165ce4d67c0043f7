//! What targets take well, found out: the curve from noisy samples, and simulations of
//! targets that slow down before their slots are taken.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::Millis,
    policy::balance::{LimitCurve, LoadReport},
};

use super::simulation::{Load, Served, simulate};

/// Returns the limit that follows from answers of targets that take `factor` times as long
/// with all slots as up to `knee` of them, as a part of the slots.
fn learned(slots: u32, knee: f64, factor: f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut curve = LimitCurve::default();
    for nth in 0..4_000_u64 {
        let running = rng.random_range(0..slots);
        let load = f64::from(running + 1) / f64::from(slots);
        let beyond = ((load - knee) / (1.0 - knee)).max(0.0);
        let mut ms = [80.0, 400.0][usize::from(nth % 2 == 0)] * rng.random_range(0.8..1.25);
        ms *= 1.0 + beyond * (factor - 1.0);
        let is_noisy = rng.random_bool(0.15);
        let is_straggler = rng.random_bool(0.03);
        ms *= if is_noisy { 2.5 } else { 1.0 } * if is_straggler { 7.0 } else { 1.0 };
        let report = LoadReport {
            running,
            waiting: 0,
            slots,
            slowdown_percent: if is_noisy { 250 } else { 100 },
        };
        curve.record(nth % 2, ms, &report);
    }
    curve.part()
}

/// Fails if noise, tails or routes of different durations hide that targets slow down, or
/// look like it.
#[test]
fn the_limit_is_where_most_is_done() {
    let cases = [
        (4, 0.99, 1.0),
        (6, 0.99, 1.0),
        (6, 0.5, 1.4),
        (4, 0.6, 2.5),
        (6, 0.6, 2.5),
    ];
    let lines = cases.map(|(slots, knee, factor)| {
        let part = learned(slots, knee, factor);
        format!("{slots} slots, {factor} times as long from {knee} on: {part:.2}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns the percentage of requests in time, from the given second on.
fn in_time(load: &Load, from: u64) -> u32 {
    let mut sum = Served::default();
    for seed in 0..2 {
        for (_, served) in simulate(load, seed).seconds.range(from..) {
            sum.asked += served.asked;
            sum.in_time += served.in_time;
        }
    }
    sum.in_time * 100 / sum.asked.max(1)
}

fn load(knee_factor: f64) -> Load {
    Load {
        targets: [24; 3],
        rate: [375.0; 3],
        window_requests: 500.0,
        objects: 300,
        warm_objects: 22,
        knee: 0.6,
        knee_factor,
        timeouts: true,
        retries: 1,
        entries: 8,
        admission: true,
        traffic: Millis(30_000),
        duration: Millis(32_000),
        ..Load::default()
    }
}

/// Fails if a start, when all objects are cold, leaves targets that slow down in a state
/// in which objects never become warm, or if targets that don't slow down are limited.
#[test]
fn a_cold_start_does_not_hold_targets_down() {
    let results = [1.0, 2.5].map(|factor| in_time(&load(factor), 15));
    assert!(results[0] >= 85 && results[1] >= 45, "{results:?}");
}
