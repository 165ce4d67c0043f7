//! The heavy loads of the users' deployments, in virtual time and without a
//! network: more work than slots, regions with few targets, targets slowed by
//! neighbours.

use super::world::{Load, Tally, play};

const SEEDS: u64 = 5;

/// Returns the outcome over all seeds in percent of the requests, rounded to 5,
/// so that the snapshot shows the level and not the draw.
fn percent(load: &Load) -> [u32; 4] {
    let mut sum = Tally::default();
    for seed in 0..SEEDS {
        let tally = play(load, seed);
        sum.asked += tally.asked;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refused += tally.refused;
        sum.cold += tally.cold;
    }
    let part = |n: u32| (n * 100 / sum.asked + 2) / 5 * 5;
    [sum.in_time, sum.late, sum.refused, sum.cold].map(part)
}

fn load(rate: [f64; 3]) -> Load {
    Load {
        targets: [2, 8, 6],
        rate,
        objects: 86,
        keeps: 40,
        length: SECONDS_40,
        naive: false,
    }
}

const SECONDS_40: savorybeam::domain::Millis = savorybeam::domain::Millis(40_000);

/// Consistent hashing with bounded loads. Without placement by object most work
/// is cold and the targets, which have room for all of it, fall behind.
#[test]
fn objects_stay_at_targets_that_know_them() {
    let placed = load([40.0, 115.0, 115.0]);
    let naive = Load {
        naive: true,
        ..load([40.0, 115.0, 115.0])
    };
    let results = [("placed", percent(&placed)), ("naive", percent(&naive))];
    insta::assert_debug_snapshot!(results);
}

/// Overflow between regions. The region with two targets has a third of the
/// callers; whole objects leave it, or what leaves would be cold elsewhere.
#[test]
fn a_region_with_few_targets_hands_objects_over() {
    insta::assert_debug_snapshot!(percent(&load([115.0, 115.0, 115.0])));
}

/// Admission by objective. Without it the targets' queues stay full and nearly
/// every answer comes late, so that less is of use than at half of the load.
#[test]
fn overload_refuses_the_excess_and_serves_the_rest_in_time() {
    let results = [1.0, 1.5, 2.5].map(|x| percent(&load([160.0 * x, 340.0 * x, 260.0 * x])));
    insta::assert_debug_snapshot!(results);
}
