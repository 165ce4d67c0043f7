//! Targets that leave, lapse, fail, stay silent, start cold or move.

use std::{collections::BTreeSet, fmt::Write};

use savorybeam::{
    domain::{Instance, InstanceId, InstanceState, Millis, Slots},
    policy::balance::{
        Ask, Choice, Ending, Miss, Pool, Quota, Registry, Report, Scene, Step, Ticket,
    },
};

use super::world::{addr, instance, region, rule, zones};

struct Bench {
    pool: Pool,
    now: Millis,
    closed: BTreeSet<savorybeam::domain::AzName>,
}

impl Bench {
    /// Two targets in the own region and one in another one.
    fn new() -> Self {
        let mut pool = Pool::new();
        for (n, at) in [(0, 0), (1, 0), (2, 1)] {
            pool.put(Millis(0), instance(n, at, 2), &zones());
        }
        Self {
            pool,
            now: Millis(60_000),
            closed: BTreeSet::new(),
        }
    }

    fn choose(&mut self, tried: &[InstanceId]) -> Result<Choice, Miss> {
        let region = region(0);
        let scene = Scene {
            now: self.now,
            region: &region,
            closed: &self.closed,
            quota: Quota {
                bound: 3.0,
                entries: &[1, 2],
                me: 1,
            },
            shift: 0.15,
        };
        let rule = rule();
        let ask = Ask {
            rule: &rule,
            object: None,
            tried,
            left: rule.timeout,
        };
        self.pool.choose(&scene, &ask)
    }

    /// Returns how many of ten requests each target gets, each answered after
    /// 120 ms but for those of the failing target.
    fn spread(&mut self, failing: Option<(usize, Ending)>) -> [u32; 3] {
        let mut counts = [0; 3];
        for _ in 0..10 {
            let Ok(choice) = self.choose(&[]) else {
                continue;
            };
            let at = (0..3).find(|n| addr(*n) == choice.addr).expect("known");
            counts[at] += 1;
            self.now = self.now + Millis(120);
            let ending = failing.filter(|(n, _)| *n == at).map(|(_, ending)| ending);
            let ending = ending.unwrap_or(Ending::Answered);
            self.pool.finish(self.now, &choice.ticket, ending, None);
        }
        counts
    }
}

/// Guards against requests that reach a target after it has said that it leaves.
#[test]
fn a_draining_target_gets_nothing() {
    let mut bench = Bench::new();
    let mut leaving = instance(0, 0, 2);
    leaving.state = InstanceState::Draining;
    bench.pool.put(bench.now, leaving, &zones());
    assert_eq!(bench.spread(None)[0], 0);
}

/// Guards against requests into an availability zone that is evacuated.
#[test]
fn an_evacuated_zone_gets_nothing() {
    let mut bench = Bench::new();
    bench.closed.insert("az-0".parse().expect("a name"));
    assert_eq!(bench.spread(None), [0, 0, 10]);
}

/// Guards against targets that look idle because this entry has not heard of them
/// lately, while every answer from their region tells of long queues.
#[test]
fn an_unseen_target_counts_as_loaded_as_its_region() {
    let mut bench = Bench::new();
    let full = Report {
        running: 2,
        waiting: 6,
        slots: 2,
        pace: 100,
    };
    let mut text = String::new();
    for n in 0..12 {
        let Ok(choice) = bench.choose(&["i-1".parse().expect("an id")]) else {
            break;
        };
        let Ticket { id, load, .. } = &choice.ticket;
        writeln!(text, "request {n}: {id} with {load:.1}").expect("a string");
        bench.now = bench.now + Millis(120);
        let report = (*id == instance(0, 0, 2).id).then_some(full);
        let ending = Ending::Answered;
        bench.pool.finish(bench.now, &choice.ticket, ending, report);
    }
    let unseen = bench.choose(&["i-0".parse().expect("an id"), "i-2".parse().expect("an id")]);
    let unseen = unseen.map(|c| format!("{} with {:.1}", c.ticket.id, c.ticket.load));
    writeln!(text, "unseen: {unseen:?}").expect("a string");
    insta::assert_snapshot!(text);
}

/// Outlier ejection: failures in a row take a target out, and it is tried again
/// later. Otherwise a dead one would fail each request that comes to it.
#[test]
fn failing_targets_are_left_alone_for_a_time() {
    let mut text = String::new();
    for ending in [
        Ending::Unreachable,
        Ending::Misdirected,
        Ending::Broken,
        Ending::Rejected,
    ] {
        let mut bench = Bench::new();
        let early = bench.spread(Some((0, ending)));
        bench.now = bench.now + Millis(6_000);
        let later = bench.spread(None);
        writeln!(text, "{ending:?}: {early:?}, after 6 s {later:?}").expect("a string");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a target that keeps requests without ever answering: it would
/// otherwise look idle once they are given up.
#[test]
fn a_silent_target_is_hardly_tried() {
    let mut bench = Bench::new();
    let mut silent = 0;
    for _ in 0..40 {
        let Ok(choice) = bench.choose(&[]) else {
            continue;
        };
        bench.now = bench.now + Millis(50);
        if choice.addr == addr(0) {
            // Never ends, as at a target without power.
            silent += 1;
        } else {
            bench
                .pool
                .finish(bench.now, &choice.ticket, Ending::Answered, None);
        }
    }
    assert!(silent <= 5, "the silent target got {silent} of 40 requests");
}

/// Guards against a retry at the target that has just failed.
#[test]
fn tried_targets_are_left_out() {
    let mut bench = Bench::new();
    let tried: Vec<InstanceId> = (0..3).map(|n| instance(n, 0, 1).id).collect();
    assert_eq!(bench.choose(&tried), Err(Miss::NoTarget));
}

/// Slow start: a cold target gets no more in a second than this entry's share.
#[test]
fn a_cold_target_gets_its_share_only() {
    let mut bench = Bench::new();
    for n in 0..3 {
        let mut cold = instance(n, 0, 2);
        cold.cold = Millis(5_000);
        bench.pool.put(bench.now, cold, &zones());
    }
    // A bound of 3 for two entries leaves one request a second for this one.
    let mut taken = [0; 3];
    while let Ok(choice) = bench.choose(&[]) {
        let at = (0..3).find(|n| addr(*n) == choice.addr).expect("known");
        taken[at] += 1;
    }
    assert_eq!(taken, [1, 1, 1]);
}

/// Guards against a target that joins and never shows whether it works.
#[test]
fn a_target_that_joins_gets_a_request() {
    let mut bench = Bench::new();
    bench.spread(None);
    bench.pool.put(bench.now, instance(3, 0, 2), &zones());
    let choice = bench.choose(&[]).expect("a target");
    assert_eq!(choice.addr, addr(3));
}

fn registered(n: usize, count: usize) -> (Registry, Vec<Instance>) {
    let mut registry = Registry::default();
    registry.heard(Millis(1_000));
    let all: Vec<Instance> = (0..count).map(|n| instance(n, 0, 2)).collect();
    for instance in &all {
        registry.put(instance.clone());
    }
    (registry, all.into_iter().take(n).collect())
}

fn vanish(registry: &mut Registry, gone: &[Instance], now: Millis) -> usize {
    let mut steps: Vec<Step> = Vec::new();
    for instance in gone {
        steps.extend(registry.remove(now, &instance.id));
    }
    steps.extend(registry.expire(now));
    steps.len()
}

/// Guards against losing all targets whose entries lapsed while the store was
/// away, and against keeping those that have left.
#[test]
fn lapsed_entries_have_a_grace_time_and_leavers_have_none() {
    let (mut registry, most) = registered(8, 10);
    registry.heard(Millis(9_000));
    let at_once = vanish(&mut registry, &most, Millis(9_000));
    registry.put(most[0].clone());
    let later = registry.expire(Millis(11_000)).len();
    let lapsed = format!("8 of 10 after an outage: {at_once} at once, {later} after 2 s");

    let (mut registry, few) = registered(2, 10);
    registry.heard(Millis(9_000));
    let left = vanish(&mut registry, &few, Millis(9_000));
    let (mut registry, most) = registered(8, 10);
    registry.heard(Millis(2_000));
    let calm = vanish(&mut registry, &most, Millis(2_000));
    let text = format!(
        "{lapsed}\n2 of 10 after an outage: {left} at once\n8 of 10 on a calm day: {calm} at once"
    );
    insta::assert_snapshot!(text);
}

/// Guards against a late copy of a registration that brings back a former state
/// of the target.
#[test]
fn an_old_registration_changes_nothing() {
    let (mut registry, _) = registered(0, 0);
    let new = |seq, born| Instance {
        seq,
        started_at: Some(Millis(born)),
        slots: Slots(u32::try_from(seq).expect("a small number")),
        ..instance(0, 0, 2)
    };
    let results = [new(5, 10), new(4, 10), new(1, 11), new(9, 10), new(2, 11)]
        .map(|i| registry.put(i).is_some());
    assert_eq!(results, [true, false, true, false, true]);
}

/// Guards against heartbeats that are passed on to all entries, and against news
/// that is taken for a heartbeat. The pairs differ in one field each.
#[test]
fn only_heartbeats_lead_to_no_step() {
    let first = Instance {
        seq: 1,
        ..instance(0, 0, 2)
    };
    let later = Instance {
        seq: 2,
        ..first.clone()
    };
    let pairs = [
        ("heartbeat", later.clone()),
        (
            "draining",
            Instance {
                state: InstanceState::Draining,
                ..later.clone()
            },
        ),
        (
            "slots",
            Instance {
                slots: Slots(9),
                ..later.clone()
            },
        ),
        (
            "cold",
            Instance {
                cold: Millis(500),
                ..later.clone()
            },
        ),
        (
            "start",
            Instance {
                started_at: Some(Millis(7)),
                ..later
            },
        ),
    ];
    let lines = pairs.map(|(what, instance)| {
        let mut registry = Registry::default();
        registry.put(first.clone());
        format!("{what}: {}", registry.put(instance).is_some())
    });
    insta::assert_snapshot!(lines.join("\n"));
}
