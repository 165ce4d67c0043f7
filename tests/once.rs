//! Tests at-most-once execution of keyed requests in a simulated cluster. A second
//! execution would pay a farmer twice, and a false `not-run` would silently drop a
//! payout.

mod claims;
mod history;

use std::collections::BTreeSet;

use claims::{Protocol, Simulation, key};
use history::{CallResult, Event, violations};
use quickcheck::QuickCheck;
use savorybeam::policy::once::{CLAIM_RETENTION, Fingerprint};

fn simulate(seed: u64, protocol: Protocol) -> Simulation {
    let sizes = [
        (1, 1),
        (1, 2),
        (1, 3),
        (2, 4),
        (2, 5),
        (3, 3),
        (3, 6),
        (3, 9),
        (4, 8),
    ];
    let (regions, entries) = sizes[(seed % 9) as usize];
    let mut sim = Simulation::new(seed, protocol, regions, entries);
    sim.run(800, 1 + (seed / 9 % 10) as u32, seed.is_multiple_of(2));
    sim.settle();
    sim
}

fn violations_of(seed: u64, protocol: Protocol) -> Vec<String> {
    violations(&simulate(seed, protocol).history, CLAIM_RETENTION.0)
}

/// The schedules combine loss, duplication, delay and reordering of messages,
/// delayed and dead claimants, restarted homes, entries with different rosters,
/// and regions that are cut off.
#[test]
fn random_histories_have_no_violation() {
    fn holds(seed: u64) -> bool {
        violations_of(seed, Protocol::Quorum).is_empty()
    }
    let mut check = QuickCheck::new().tests(800);
    check.quickcheck(holds as fn(u64) -> bool);
}

/// The schedules must be able to detect faults: each incorrect protocol has to fail
/// in some of them.
#[test]
fn random_histories_detect_incorrect_protocols() {
    let broken = |protocol| {
        (0..200)
            .filter(|s| !violations_of(*s, protocol).is_empty())
            .count()
    };
    for protocol in [
        Protocol::NoTransfer,
        Protocol::SingleHome,
        Protocol::EarlyExpiry,
    ] {
        let count = broken(protocol);
        assert!(count >= 10, "{protocol:?} fails only {count} of 200 seeds");
    }
    assert_eq!(broken(Protocol::Quorum), 0);
}

/// The schedules must not contain so many faults that nothing is executed.
#[test]
fn random_histories_reach_all_decisions() {
    let mut kinds = BTreeSet::new();
    let mut events = [0, 0];
    for seed in 0..100 {
        let sim = simulate(seed, Protocol::Quorum);
        kinds.extend(sim.decisions.into_keys());
        for event in sim.history {
            events[0] += u32::from(matches!(event, Event::Executed { .. }));
            events[1] += u32::from(matches!(
                event,
                Event::Returned {
                    result: CallResult::Answer(_),
                    ..
                }
            ));
        }
    }
    let [executed, answered] = events;
    assert!(executed >= 100, "only {executed} executions in 100 seeds");
    assert!(answered > executed, "no recorded answer was ever returned");
    insta::assert_debug_snapshot!(kinds, @r#"
    {
        "finished",
        "in progress",
        "reused",
        "unavailable",
        "won",
    }
    "#);
}

/// With homes in three regions, the loss of one region must neither lose the answers
/// of executed requests nor prevent the execution of new keys.
#[test]
fn claims_survive_the_loss_of_a_region() {
    for lost in 0..3 {
        let mut sim = Simulation::new(1, Protocol::Quorum, 3, 9);
        let caller = (lost + 1) % 3;
        for i in 0..4 {
            sim.call_with(caller, &key(&format!("k{i}")), Fingerprint(7));
        }
        (0..30).for_each(|_| sim.run_round());
        sim.kill_region(lost);
        for i in 0..8 {
            sim.call_with(caller + 3, &key(&format!("k{i}")), Fingerprint(7));
        }
        (0..30).for_each(|_| sim.run_round());
        assert_eq!(violations(&sim.history, CLAIM_RETENTION.0), [""; 0]);
        // Four calls before the loss and eight after it, of which four are repeats.
        // A repeat wins if the first attempt was released before its dispatch.
        let count = |name| sim.decisions.get(name).copied().unwrap_or(0);
        let released = count("won") - 8;
        assert_eq!(count("finished"), 4 - released, "{:?}", sim.decisions);
    }
}

#[test]
fn the_checker_finds_each_violation() {
    let sent = |call, at| Event::Dispatched {
        call,
        key: Some("k".to_owned()),
        at,
    };
    let seen = |revision| Event::Observed {
        observer: "e1".to_owned(),
        service: "slotboard".to_owned(),
        revision,
    };
    let returned = |call, result| Event::Returned { call, result };
    let history = [
        returned(1, CallResult::NotRun),
        sent(1, 10),
        sent(2, 20),
        sent(3, 200),
        returned(2, CallResult::Answer("paid".to_owned())),
        seen(5),
        seen(4),
        seen(5),
    ];
    insta::assert_debug_snapshot!(violations(&history, 100));
}
