//! Tests that the units in use at all entries never exceed the limit, and that
//! unused units reach the entries that need them.

mod node;
mod platform;
mod scenario;
mod traces;
mod wire;
mod world;

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::domain::{Epoch, Millis, Quota, Rate, Rps, Slots};
use savorybeam::policy::limit::{Ledger, Limit, Roster, RosterMember, WORKSPACE_REQUEST};
use world::{Faults, STEP_MS, Scheme, World};

/// Returns the number of seeds that a property is checked with. `SAVORYBEAM_SEEDS`
/// overrides it for a long run.
fn seeds(default: u64) -> u64 {
    env_number("SAVORYBEAM_SEEDS").unwrap_or(default)
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seed of a run. It does not shrink, because another seed gives an unrelated
/// run.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn check_property(count: u64, property: fn(Seed) -> TestResult) {
    // Set this variable to the seed of a failed run to repeat it.
    if let Some(seed) = env_number("SAVORYBEAM_SEED") {
        let result = property(Seed(seed));
        assert!(!result.is_failure(), "{result:?}");
        return;
    }
    QuickCheck::new()
        .rng(Gen::new(64))
        .tests(count)
        .quickcheck(property);
}

fn run_world(world: &mut World, duration: u64) -> Result<(), String> {
    let end = world.now + duration;
    while world.now < end {
        world.step();
        if let Some(violation) = world.violation() {
            return Err(violation);
        }
    }
    Ok(())
}

fn random_world(seed: u64, scheme: Scheme, limit: Option<Limit>) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(3..=9);
    let size = rng.random_range(1..9);
    let limit = limit.unwrap_or(Limit::Slots(Slots(size)));
    let faults = Faults::random(&mut rng);
    World::new(seed, count, scheme, limit, faults)
}

fn to_test_result(seed: u64, result: Result<(), String>) -> TestResult {
    match result {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("seed {seed}: {violation}")),
    }
}

fn slots_stay_within_limit(Seed(seed): Seed) -> TestResult {
    let mut world = random_world(seed, Scheme::Escrow, None);
    to_test_result(seed, run_world(&mut world, 60_000))
}

fn rates_stay_within_limit(Seed(seed): Seed) -> TestResult {
    let mut world = random_world(seed, Scheme::Escrow, Some(Limit::requests(Rps(60))));
    to_test_result(seed, run_world(&mut world, 30_000))
}

/// Guards against loans, handovers and restarts that let two entries use the same
/// slot at the same time.
#[test]
fn slots_are_never_used_twice() {
    check_property(seeds(60), slots_stay_within_limit);
}

/// Guards against the use of a rate loan after its lender has reclaimed it.
#[test]
fn rates_are_never_used_twice() {
    check_property(seeds(6), rates_stay_within_limit);
}

/// The time in which unused units must have moved after the last fault, in
/// milliseconds. It is the sum of the longest times in these runs: the platform's
/// detection of a crash, the restart, the report of the crash, the interval between
/// two rosters, the delivery of a roster, a survey round, the audit interval and a
/// few round trips.
const SETTLE_MS: u64 = 15_000 + 8_000 + 5_000 + 2_000 + 2_000 + 4_000 + 4_000 + 1_000;

fn unused_units_move(Seed(seed): Seed, limit: Option<Limit>) -> TestResult {
    let mut world = random_world(seed, Scheme::Escrow, limit);
    if let Err(violation) = run_world(&mut world, 20_000) {
        return to_test_result(seed, Err(violation));
    }
    world.end_faults();
    let size = world.limit.units() as usize;
    let count = world.entries.len();
    let hot = world.rng().random_range(0..count);
    let end = world.now + SETTLE_MS;
    while world.now < end {
        for (index, entry) in world.entries.iter_mut().enumerate() {
            if let Some(entry) = entry {
                entry.demand = if index == hot { 1.0 } else { 0.0 };
            }
        }
        if let Err(violation) = run_world(&mut world, STEP_MS) {
            return to_test_result(seed, Err(violation));
        }
        if world.max_units() == size && world.entries[hot].is_some() {
            return TestResult::passed();
        }
    }
    let max_units = world.max_units();
    to_test_result(
        seed,
        Err(format!(
            "one entry has at most {max_units} of {size} units after {SETTLE_MS} ms"
        )),
    )
}

/// Guards against units that are lost for good with a message or an entry, and
/// against units that stay idle at an entry that does not need them.
#[test]
fn unused_slots_reach_the_demand() {
    check_property(seeds(30), |seed| unused_units_move(seed, None));
}

/// The same test for the units of a rate.
#[test]
fn unused_rates_reach_the_demand() {
    check_property(seeds(4), |seed| {
        unused_units_move(seed, Some(Limit::requests(Rps(60))))
    });
}

/// Verifies that these tests detect a faulty protocol: a lease that is checked too
/// late and reclaimed without a safety margin.
#[test]
fn a_lease_without_margin_exceeds_the_limit() {
    let exceeds =
        |seed: &u64| run_world(&mut random_world(*seed, Scheme::Lease, None), 60_000).is_err();
    assert!((0..20).any(|seed| exceeds(&seed)));
}

/// Shows why units are lent: with an equal split, the units of idle entries cannot
/// be used.
#[test]
fn an_equal_split_strands_unused_units() {
    let limit = Limit::Slots(Slots(6));
    let reached = |scheme| {
        let mut world = World::new(1, 3, scheme, limit, Faults::NONE);
        for (index, entry) in world.entries.iter_mut().flatten().enumerate() {
            entry.demand = if index == 0 { 1.0 } else { 0.0 };
        }
        run_world(&mut world, 10_000).expect("neither scheme exceeds the limit");
        world.max_units()
    };
    let text = format!(
        "equal split: {} of 6\nloans: {} of 6",
        reached(Scheme::Split),
        reached(Scheme::Escrow)
    );
    insta::assert_snapshot!(text, @r"
    equal split: 2 of 6
    loans: 6 of 6
    ");
}

/// Returns why entries that all ask for more than a limit of 60 requests a second and a
/// burst admit too many in some window, if so. With a burst they pause in between, so
/// that they save for it, and have faults less often, so that they have units to save with.
fn excess_admissions(seed: u64, limit: Limit, burst: usize) -> Result<(), String> {
    let mut world = random_world(seed, Scheme::Escrow, Some(limit));
    if burst > 0 {
        world.faults.loss /= 10.0;
        world.faults.fault_rate /= 10.0;
    }
    for phase in 0..10 {
        let pauses = burst > 0 && phase % 2 == 0;
        for entry in world.entries.iter_mut().flatten() {
            entry.demand = if pauses { 0.0 } else { 0.9 };
        }
        run_world(&mut world, if burst > 0 { 4_000 } else { 2_000 })?;
    }
    let times = &world.admissions;
    for (seconds, regular) in [(1, 63), (5, 315)] {
        // Clocks run up to 5% fast, and a bucket holds the tokens of 100 ms or of one
        // request beside the burst.
        let max_admissions = regular + 6 + world.entries.len() + burst;
        let starts = times.iter().enumerate();
        let count = |(i, t): (usize, &u64)| {
            let window = |u: &&u64| **u < t + seconds * 1_000;
            times[i..].iter().take_while(window).count()
        };
        let worst = starts.map(count).max().unwrap_or(0);
        if worst > max_admissions {
            return Err(format!(
                "{worst} admissions in {seconds} s, of at most {max_admissions}"
            ));
        }
    }
    Ok(())
}

/// Guards against units that earn tokens at two entries for the same time when they
/// move.
#[test]
fn admissions_stay_within_the_rate() {
    check_property(seeds(4), |Seed(seed)| {
        to_test_result(seed, excess_admissions(seed, Limit::requests(Rps(60)), 0))
    });
}

/// Guards against a burst of a workspace that each entry has as a whole, or that is
/// earned again when units move or an entry restarts, and against a fraction of a request
/// that is rounded up at each admission.
#[test]
fn a_workspace_stays_within_its_rate_and_burst() {
    check_property(seeds(4), |Seed(seed)| {
        let quota = Quota {
            rate: Rate(59.5),
            burst: 120.0,
        };
        to_test_result(seed, excess_admissions(seed, Limit::workspace(&quota), 120))
    });
}

/// Guards against refusals that do not tell a limit that is used up from units that may
/// still arrive or that no entry has, and against a time to return before there is room.
#[test]
fn a_refusal_of_a_workspace_says_why() {
    let quota = Quota {
        rate: Rate(0.5),
        burst: 1.0,
    };
    let member = world::member(0, 1);
    let name = "workspace/slotboard/cooks".parse().expect("a name");
    let mut ledger = Ledger::new(name, member.clone(), Limit::workspace(&quota));
    let mut lines = Vec::new();
    let mut ask = |ledger: &mut Ledger, ms, per_second: f64| {
        let admitted = ledger.admit(WORKSPACE_REQUEST, Millis(ms));
        let shortage = ledger.shortage(WORKSPACE_REQUEST, per_second * 1_000.0, Millis(ms));
        lines.push(format!("{ms}, {per_second}/s: {admitted} {shortage:?}"));
    };
    ask(&mut ledger, 0, 1.0);
    ledger.record_dry(Millis(0));
    ask(&mut ledger, 0, 1.0);
    let member = RosterMember {
        member,
        leaving: false,
    };
    let roster = Arc::new(Roster::new(Epoch(1), vec![member]));
    ledger.set_roster(roster, Millis(1_000));
    ledger.tick(Millis(1_000));
    ask(&mut ledger, 1_000, 0.4);
    ledger.record_dry(Millis(1_000));
    ask(&mut ledger, 1_000, 0.4);
    for ms in [1_000, 3_000, 3_000, 60_000, 60_000, 60_000] {
        ask(&mut ledger, ms, 1.0);
    }
    ledger.put_back(WORKSPACE_REQUEST);
    ask(&mut ledger, 60_000, 1.0);
    insta::assert_snapshot!(lines.join("\n"));
}

/// The time in which all slots move to the demand without faults, in milliseconds:
/// the longest request (3 s), the idle timeout (0.5 s), the decay of the average
/// (2 s), the longest backoff (4 s) and a few round trips.
const FOLLOW_SLOTS_MS: u64 = 10_000;

/// The same for the units of a rate, which no request uses. But the average decays
/// more slowly (6 s), and a unit whose return crosses its renewal is only available
/// after the reclaim (2.7 s).
const FOLLOW_RATES_MS: u64 = 6_000 + 500 + 2_700 + 4_000 + 500;

/// Guards against units that take many round trips to move to the demand.
#[test]
fn units_follow_the_demand() {
    let follow = |seed: u64, limit, duration| {
        let mut world = random_world(seed, Scheme::Escrow, Some(limit));
        world.end_faults();
        for hot in [0, 1, 2] {
            for (index, entry) in world.entries.iter_mut().flatten().enumerate() {
                entry.demand = if index == hot { 1.0 } else { 0.0 };
            }
            if let Err(violation) = run_world(&mut world, duration) {
                return to_test_result(seed, Err(violation));
            }
            let entry = world.entries[hot].as_ref().expect("no entry crashes");
            let units = entry.node.units(world.clock(entry)).len();
            if units != limit.units() as usize {
                return to_test_result(
                    seed,
                    Err(format!(
                        "entry {hot} has {units} of {} units",
                        limit.units()
                    )),
                );
            }
        }
        TestResult::passed()
    };
    for seed in 0..seeds(20) {
        let result = follow(seed, Limit::Slots(Slots(5)), FOLLOW_SLOTS_MS);
        assert!(!result.is_failure(), "{result:?}");
    }
    for seed in 0..seeds(2) {
        let result = follow(seed, Limit::requests(Rps(60)), FOLLOW_RATES_MS);
        assert!(!result.is_failure(), "{result:?}");
    }
}
