//! Simulations of heavy load in the users' deployments, in virtual time and
//! without a network: more load than slots, regions with few targets, and
//! targets slowed down by noisy neighbours.

use super::simulation::{Counts, Load, simulate};

const SEEDS: u64 = 5;

/// Returns the counts over all seeds in percent of the requests, rounded to 5
/// so that the snapshot does not depend on random variation: answers in time,
/// late answers, refusals and cold requests.
fn percent(load: &Load) -> [u32; 4] {
    let mut sum = Counts::default();
    for seed in 0..SEEDS {
        let counts = simulate(load, seed);
        sum.total += counts.total;
        sum.in_time += counts.in_time;
        sum.late += counts.late;
        sum.refused += counts.refused;
        sum.cold += counts.cold;
    }
    let percent_of = |n: u32| (n * 100 / sum.total + 2) / 5 * 5;
    [sum.in_time, sum.late, sum.refused, sum.cold].map(percent_of)
}

fn load(rate: [f64; 3]) -> Load {
    Load {
        targets: [2, 8, 6],
        rate,
        burst: 1.0,
        swing: 0.0,
        window_requests: 0.0,
        objects: 86,
        warm_objects: 40,
        retries: 0,
        entries: 1,
        late_targets: 0,
        draining_targets: 0,
        restarted_entries: 0,
        traffic: RUN_DURATION,
        duration: RUN_DURATION,
        ..Load::default()
    }
}

const RUN_DURATION: savorybeam::domain::Millis = savorybeam::domain::Millis(40_000);

/// Tests consistent hashing with bounded loads. Without placement by object,
/// most requests are cold, and targets with enough slots for warm requests fall
/// behind.
#[test]
fn objects_stay_at_warm_targets() {
    let by_object = load([40.0, 115.0, 115.0]);
    let random = Load {
        random: true,
        ..load([40.0, 115.0, 115.0])
    };
    let results = [
        ("by_object", percent(&by_object)),
        ("random", percent(&random)),
    ];
    insta::assert_debug_snapshot!(results);
}

/// Tests overflow between regions. The region with two targets has a third of
/// the callers. If it moved requests instead of whole objects, they would be
/// cold in the other regions.
#[test]
fn objects_overflow_from_a_region_with_few_targets() {
    insta::assert_debug_snapshot!(percent(&load([115.0, 115.0, 115.0])));
}

/// Tests admission control by latency objective. Without it the queues of the
/// targets stay full and nearly every answer is late, so that fewer requests
/// succeed in time than at half the load.
#[test]
fn overload_is_refused_and_admitted_requests_are_in_time() {
    let results = [1.0, 1.5, 2.5].map(|x| percent(&load([160.0 * x, 340.0 * x, 260.0 * x])));
    insta::assert_debug_snapshot!(results);
}
