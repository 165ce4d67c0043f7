//! Guards at-most-once execution of keyed requests: a second execution pays a
//! farmer twice, and a false `not-run` drops a payout silently.

mod claims;
mod history;

use std::collections::BTreeSet;

use claims::{Rules, World, key};
use history::{Event, Told, violations};
use quickcheck::QuickCheck;
use savorybeam::policy::once::{CLAIM_RETENTION, Fingerprint};

fn world(seed: u64, rules: Rules) -> World {
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
    let mut world = World::new(seed, rules, regions, entries);
    world.run(800, 1 + (seed / 9 % 10) as u32, seed.is_multiple_of(2));
    world.settle();
    world
}

fn faults(seed: u64, rules: Rules) -> Vec<String> {
    violations(&world(seed, rules).history, CLAIM_RETENTION.0)
}

/// Loss, duplication, delay, reordering, paused and dead claimants, restarted
/// homes, rosters in two views and cut regions, all at once.
#[test]
fn random_histories_have_no_violation() {
    fn holds(seed: u64) -> bool {
        faults(seed, Rules::Quorum).is_empty()
    }
    let mut check = QuickCheck::new().tests(800);
    check.quickcheck(holds as fn(u64) -> bool);
}

/// A schedule that no naive version fails would prove nothing about ours.
#[test]
fn the_same_histories_break_naive_rules() {
    let broken = |rules| (0..200).filter(|s| !faults(*s, rules).is_empty()).count();
    for rules in [Rules::Unread, Rules::Single, Rules::Expiry] {
        let count = broken(rules);
        assert!(count >= 10, "{rules:?} fails only {count} of 200 seeds");
    }
    assert_eq!(broken(Rules::Quorum), 0);
}

/// Guards against a schedule that is so rough that nothing is ever executed.
#[test]
fn random_histories_reach_all_decisions() {
    let mut kinds = BTreeSet::new();
    let mut events = [0, 0];
    for seed in 0..100 {
        let world = world(seed, Rules::Quorum);
        kinds.extend(world.decisions.into_keys());
        for event in world.history {
            events[0] += u32::from(matches!(event, Event::Executed { .. }));
            events[1] += u32::from(matches!(
                event,
                Event::Returned {
                    told: Told::Answer(_),
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

/// With homes in three regions, the loss of one must neither forget what was
/// executed nor stop new keys.
#[test]
fn a_lost_region_changes_nothing_for_callers_elsewhere() {
    for lost in 0..3 {
        let mut world = World::new(1, Rules::Quorum, 3, 9);
        let caller = (lost + 1) % 3;
        for i in 0..4 {
            world.call_with(caller, &key(&format!("k{i}")), Fingerprint(7));
        }
        (0..30).for_each(|_| world.exchange());
        world.stop_region(lost);
        for i in 0..8 {
            world.call_with(caller + 3, &key(&format!("k{i}")), Fingerprint(7));
        }
        (0..30).for_each(|_| world.exchange());
        assert_eq!(violations(&world.history, CLAIM_RETENTION.0), [""; 0]);
        // Four and eight calls. An attempt that was given up before its dispatch
        // lets the repeat win.
        let count = |name| world.decisions.get(name).copied().unwrap_or(0);
        let given_up = count("won") - 8;
        assert_eq!(count("finished"), 4 - given_up, "{:?}", world.decisions);
    }
}

#[test]
fn the_checker_finds_each_violation() {
    let sent = |call, at| Event::Dispatched {
        call,
        key: Some("k".to_owned()),
        at,
    };
    let seen = |revision| Event::Seen {
        observer: "e1".to_owned(),
        service: "slotboard".to_owned(),
        revision,
    };
    let returned = |call, told| Event::Returned { call, told };
    let history = [
        returned(1, Told::NotRun),
        sent(1, 10),
        sent(2, 20),
        sent(3, 200),
        returned(2, Told::Answer("paid".to_owned())),
        seen(5),
        seen(4),
        seen(5),
    ];
    insta::assert_debug_snapshot!(violations(&history, 100));
}
