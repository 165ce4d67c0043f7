//! Tests of targets that drain, expire, fail, become unresponsive, start cold,
//! join or register again.

use std::{collections::BTreeSet, fmt::Write};

use savorybeam::{
    domain::{Instance, InstanceId, InstanceState, Millis, RequestKind, RouteRule, Slots},
    policy::{
        balance::{
            Choice, ChooseError, ColdQuota, Context, Ending, LoadReport, Pool, Registry,
            RegistryChange, Request, Ticket, object_hash,
        },
        demand::Demand,
    },
};

use super::simulation::{addr, az, context, instance, region, request, rule, zones};

/// A pool of three targets and a virtual clock.
pub struct Fixture {
    pub pool: Pool,
    pub now: Millis,
    evacuated: BTreeSet<savorybeam::domain::AzName>,
}

impl Fixture {
    /// Adds two targets in the local region and one in another region.
    pub fn new() -> Self {
        let mut pool = Pool::new();
        for (n, at) in [(0, 0), (1, 0), (2, 1)] {
            pool.put(Millis(0), instance(n, at, 2), &zones());
        }
        Self {
            pool,
            now: Millis(60_000),
            evacuated: BTreeSet::new(),
        }
    }

    pub fn choose(&mut self, tried: &[InstanceId]) -> Result<Choice, ChooseError> {
        let (az, region, rule) = (az(0), region(0), rule());
        let ctx = context(self.now, &az, &region, &self.evacuated);
        let req = Request {
            tried,
            ..request(&rule)
        };
        self.pool.choose(&ctx, &req)
    }

    /// Returns how many of ten requests each target gets. Each request ends
    /// after 120 ms, with the given outcome at the failing target and an answer
    /// elsewhere.
    pub fn distribution(&mut self, failing: Option<(usize, Ending)>) -> [u32; 3] {
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

/// Guards against sending requests to a target that has announced that it
/// drains.
#[test]
fn a_draining_target_gets_no_requests() {
    let mut fixture = Fixture::new();
    let mut leaving = instance(0, 0, 2);
    leaving.state = InstanceState::Draining;
    fixture.pool.put(fixture.now, leaving, &zones());
    assert_eq!(fixture.distribution(None)[0], 0);
}

/// Guards against sending requests to an availability zone that is evacuated.
#[test]
fn an_evacuated_zone_gets_no_requests() {
    let mut fixture = Fixture::new();
    fixture.evacuated.insert("az-0".parse().expect("a name"));
    assert_eq!(fixture.distribution(None), [0, 0, 10]);
}

/// Guards against taking a region for full because its busy targets answer more
/// often, so that an average over their reports counts them more often than the
/// idle ones.
#[test]
fn the_load_of_a_region_counts_each_target_once() {
    let mut fixture = Fixture::new();
    let report = |running, waiting| LoadReport {
        running,
        waiting,
        slots: 2,
        slowdown_percent: 100,
    };
    // The answers of 60 s: the busy target always runs two requests, the idle one
    // runs one and then none.
    for n in 0..6_000 {
        fixture.now = fixture.now + Millis(10);
        let (others, report) = match n % 3 {
            0 => ([1, 2], report(0, 0)),
            _ => ([0, 2], report(2, 2)),
        };
        let others = others.map(|n| instance(n, 0, 2).id);
        let choice = fixture.choose(&others).expect("a target");
        let ticket = &choice.ticket;
        let pool = &mut fixture.pool;
        pool.finish(fixture.now, ticket, Ending::Answered, Some(report));
    }
    fixture.now = fixture.now + Millis(150);
    let choice = fixture.choose(&[]).expect("a target");
    let loads = choice
        .ticket
        .basis
        .split
        .expect("targets on both sides")
        .demand
        .loads;
    insta::assert_snapshot!(format!("{:.1}", loads.local), @"1.0");
}

/// Guards against taking a target for idle because this entry has no recent
/// report of it, while all reports from its region show long queues.
#[test]
fn a_target_without_reports_gets_the_load_of_its_region() {
    let mut fixture = Fixture::new();
    let full = LoadReport {
        running: 2,
        waiting: 6,
        slots: 2,
        slowdown_percent: 100,
    };
    let mut text = String::new();
    for n in 0..12 {
        let Ok(choice) = fixture.choose(&["i-1".parse().expect("an id")]) else {
            break;
        };
        let Ticket { id, load, .. } = &choice.ticket;
        writeln!(text, "request {n}: {id} with {load:.1}").expect("a string");
        fixture.now = fixture.now + Millis(120);
        let report = (*id == instance(0, 0, 2).id).then_some(full);
        let ending = Ending::Answered;
        fixture
            .pool
            .finish(fixture.now, &choice.ticket, ending, report);
    }
    let unreported =
        fixture.choose(&["i-0".parse().expect("an id"), "i-2".parse().expect("an id")]);
    let unreported = unreported.map(|c| format!("{} with {:.1}", c.ticket.id, c.ticket.load));
    writeln!(text, "without reports: {unreported:?}").expect("a string");
    insta::assert_snapshot!(text);
}

/// Tests outlier ejection: consecutive failures eject a target for a limited
/// time. Otherwise a dead target would fail every request that is sent to it.
#[test]
fn failing_targets_are_ejected_for_a_time() {
    let mut text = String::new();
    for ending in [
        Ending::Unreachable,
        Ending::Misdirected,
        Ending::Broken,
        Ending::Rejected,
    ] {
        let mut fixture = Fixture::new();
        let early = fixture.distribution(Some((0, ending)));
        fixture.now = fixture.now + Millis(6_000);
        let later = fixture.distribution(None);
        writeln!(text, "{ending:?}: {early:?}, after 6 s {later:?}").expect("a string");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a target that accepts requests but never answers: it would
/// otherwise seem idle once its requests are cancelled.
#[test]
fn an_unresponsive_target_gets_few_requests() {
    let mut fixture = Fixture::new();
    let mut unanswered = 0;
    for _ in 0..40 {
        let Ok(choice) = fixture.choose(&[]) else {
            continue;
        };
        fixture.now = fixture.now + Millis(50);
        if choice.addr == addr(0) {
            // The request never ends, as after a power failure of the target.
            unanswered += 1;
        } else {
            fixture
                .pool
                .finish(fixture.now, &choice.ticket, Ending::Answered, None);
        }
    }
    assert!(
        unanswered <= 5,
        "the unresponsive target got {unanswered} of 40 requests"
    );
}

/// Guards against retrying a request on a target that has already failed it.
#[test]
fn tried_targets_are_not_eligible() {
    let mut fixture = Fixture::new();
    let tried: Vec<InstanceId> = (0..3).map(|n| instance(n, 0, 1).id).collect();
    assert_eq!(fixture.choose(&tried), Err(ChooseError::NoTarget));
}

/// Tests slow start: a cold target gets at most this entry's share of requests
/// per second.
#[test]
fn a_cold_target_gets_at_most_its_share() {
    let mut fixture = Fixture::new();
    for n in 0..3 {
        let mut cold = instance(n, 0, 2);
        cold.cold = Millis(5_000);
        fixture.pool.put(fixture.now, cold, &zones());
    }
    // A rate of 3 for two entries leaves one request per second for this entry.
    let mut taken = [0; 3];
    while let Ok(choice) = fixture.choose(&[]) {
        let at = (0..3).find(|n| addr(*n) == choice.addr).expect("known");
        taken[at] += 1;
    }
    assert_eq!(taken, [1, 1, 1]);
}

/// Fails if a cold target gets an entry's share twice in a second because its registration
/// was gone for a moment or has another address: the target itself is the same.
#[test]
fn a_cold_target_that_registers_again_gets_no_second_share() {
    let cold = |n| Instance {
        cold: Millis(5_000),
        ..instance(n, 0, 2)
    };
    let mut counts = Vec::new();
    for (gap, port) in [(0, 80), (900, 80), (1_000, 80), (0, 81), (1_000, 81)] {
        let mut fixture = Fixture::new();
        (0..3).for_each(|n| _ = fixture.pool.put(fixture.now, cold(n), &zones()));
        let mut sent = 0;
        for _ in 0..2 {
            while fixture.choose(&[]).is_ok() {
                sent += 1;
            }
            fixture.now = fixture.now + Millis(gap);
            for n in 0..3 {
                if port == 80 {
                    fixture.pool.remove(fixture.now, &instance(n, 0, 2).id);
                }
                let addr = format!("10.0.0.{n}:{port}").parse().expect("an address");
                fixture
                    .pool
                    .put(fixture.now, Instance { addr, ..cold(n) }, &zones());
            }
        }
        counts.push((gap, port, sent));
    }
    insta::assert_compact_debug_snapshot!(counts, @"[(0, 80, 3), (900, 80, 3), (1000, 80, 6), (0, 81, 3), (1000, 81, 6)]");
}

/// Guards against a new target that hashing gives no requests, so that it never
/// shows whether it works.
#[test]
fn a_new_target_gets_a_probe_request() {
    let mut fixture = Fixture::new();
    fixture.distribution(None);
    fixture.pool.put(fixture.now, instance(3, 0, 2), &zones());
    let choice = fixture.choose(&[]).expect("a target");
    assert_eq!(choice.addr, addr(3));
}

/// Returns how many of 100 entries of a region send a probe to each of four targets
/// that join 30 s after the first ones, and after a first request if there is one.
fn probing_entries(first_request: bool) -> [usize; 4] {
    let (az, region, rule, evacuated) = (az(0), region(0), rule(), BTreeSet::new());
    let names: Vec<u64> = (0..100).map(|n| object_hash("entry", &[n])).collect();
    let mut counts = [0; 4];
    for name in &names {
        let mut pool = Pool::new();
        let mut send = |pool: &mut Pool, now| {
            let ctx = Context {
                region_entries: names.len(),
                cold_quota: ColdQuota {
                    max_rate: 0.0,
                    entries: &names,
                    this_entry: *name,
                },
                ..context(now, &az, &region, &evacuated)
            };
            let ticket = pool.choose(&ctx, &request(&rule)).expect("a target").ticket;
            pool.finish(now + Millis(90), &ticket, Ending::Answered, None);
            let new = (4..8).find(|n| instance(*n, 0, 2).id == ticket.id);
            if let Some(new) = new.filter(|_| ticket.probe) {
                counts[new - 4] += 1;
            }
        };
        (0..4).for_each(|n| assert!(pool.put(Millis(0), instance(n, 0, 2), &zones())));
        if first_request {
            send(&mut pool, Millis(29_000));
        }
        (4..8).for_each(|n| assert!(pool.put(Millis(30_000), instance(n, 0, 2), &zones())));
        (0..40).for_each(|at| send(&mut pool, Millis(30_001 + at * 100)));
    }
    counts
}

/// Fails if every entry of a large region probes each new target, which then
/// handles as many requests of objects that it does not have, or if no entry does,
/// so that a target without objects of its own never shows whether it works.
#[test]
fn few_entries_of_a_region_probe_a_new_target() {
    let counts = probing_entries(true);
    let few = counts.map(|n| (1..=10).contains(&n));
    assert_eq!(few, [true; 4], "{counts:?}");
}

/// Fails if targets that are registered before there are any requests, as at the
/// start of all entries, are probed because an entry learned of them late. All
/// targets are new then, and none has shown more than another that it works.
#[test]
fn targets_that_precede_the_first_request_are_not_probed() {
    assert_eq!(probing_entries(false), [0; 4]);
}

fn registered(n: usize, count: usize) -> (Registry, Vec<Instance>) {
    let mut registry = Registry::default();
    registry.record_answer(Millis(1_000));
    let all: Vec<Instance> = (0..count).map(|n| instance(n, 0, 2)).collect();
    for instance in &all {
        registry.put(instance.clone());
    }
    (registry, all.into_iter().take(n).collect())
}

fn remove_all(registry: &mut Registry, gone: &[Instance], now: Millis) -> usize {
    let mut changes: Vec<RegistryChange> = Vec::new();
    for instance in gone {
        changes.extend(registry.remove(now, &instance.id));
    }
    changes.extend(registry.remove_expired(now));
    changes.len()
}

/// Guards against removing all targets whose registrations expired during an
/// outage of the store, and against keeping targets that have left.
#[test]
fn only_mass_expiry_after_an_outage_has_a_grace_period() {
    let (mut registry, eight) = registered(8, 10);
    registry.record_answer(Millis(9_000));
    let at_once = remove_all(&mut registry, &eight, Millis(9_000));
    registry.put(eight[0].clone());
    let later = registry.remove_expired(Millis(11_000)).len();
    let expired = format!("8 of 10 after an outage: {at_once} at once, {later} after 2 s");

    let (mut registry, two) = registered(2, 10);
    registry.record_answer(Millis(9_000));
    let left = remove_all(&mut registry, &two, Millis(9_000));
    let (mut registry, eight) = registered(8, 10);
    registry.record_answer(Millis(2_000));
    let calm = remove_all(&mut registry, &eight, Millis(2_000));
    let text = format!(
        "{expired}\n2 of 10 after an outage: {left} at once\n8 of 10 without an outage: {calm} at once"
    );
    insta::assert_snapshot!(text);
}

/// Guards against a delayed copy of an old registration that reverts the state
/// of the target.
#[test]
fn an_older_registration_is_ignored() {
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

/// Guards against forwarding heartbeats to all entries, and against taking a
/// change for a heartbeat. Each pair differs in one field besides the sequence
/// number.
#[test]
fn only_heartbeats_return_no_change() {
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

/// Guards the cap on shifts between regions: the registrations of targets that
/// crashed earlier are removed after their successors have registered, as after
/// an outage of the store. The region has lost nothing then, so its requests
/// must not all change region at once.
#[test]
fn removing_crashed_targets_does_not_lift_the_limit_on_shifts() {
    let mut fixture = Fixture::new();
    fixture.distribution(None);
    for _ in 0..10 {
        let choice = fixture.choose(&[]).expect("a target");
        let remote = choice.addr == addr(2);
        let ending = if remote {
            Ending::Answered
        } else {
            Ending::Unreachable
        };
        fixture.now = fixture.now + Millis(120);
        fixture
            .pool
            .finish(fixture.now, &choice.ticket, ending, None);
    }
    // Longer than the crash counts as a loss, and than the ejections last.
    fixture.now = fixture.now + Millis(6_000);
    for n in [3, 4] {
        fixture.pool.put(fixture.now, instance(n, 0, 2), &zones());
    }
    let successors: Vec<bool> = (0..2).map(|_| fixture.choose(&[]).is_ok()).collect();
    for n in [0, 1] {
        fixture.pool.remove(fixture.now, &instance(n, 0, 2).id);
    }
    let chosen: Vec<usize> = (0..8)
        .filter_map(|_| fixture.choose(&[]).ok())
        .map(|c| (0..5).find(|n| addr(*n) == c.addr).expect("known"))
        .collect();
    let remote = chosen.iter().filter(|n| **n == 2).count();
    insta::assert_snapshot!(
        format!(
            "successors chosen {successors:?}, then {remote} of {} requests in another region",
            chosen.len()
        ),
        @"successors chosen [true, true], then 0 of 8 requests in another region"
    );
}

/// Fails if an object counts as warm at the next target in rank while the queue of
/// its own target is full. Under overload, requests would then run at targets that
/// do not have their object, and displace the objects there.
#[test]
fn a_full_target_keeps_its_objects() {
    let mut pool = Pool::new();
    for n in 0..3 {
        pool.put(Millis(0), instance(n, 0, 2), &zones());
    }
    let now = Millis(60_000);
    let (az, region, rule, evacuated) = (az(0), region(0), rule(), BTreeSet::new());
    let mut choose = |at: Millis, reject: bool| {
        let ctx = context(at, &az, &region, &evacuated);
        let req = Request {
            object: Some(7),
            ..request(&rule)
        };
        let Choice { addr, ticket } = pool.choose(&ctx, &req).expect("a target");
        let ending = if reject {
            Ending::Rejected
        } else {
            Ending::Answered
        };
        pool.finish(at + Millis(10), &ticket, ending, None);
        (addr, ticket.warm)
    };
    let (first, _) = choose(now, true);
    let (second, assumed_warm) = choose(now + Millis(20), false);
    let elsewhere = first != second;
    insta::assert_snapshot!(
        format!("elsewhere while full: {elsewhere}, as warm: {assumed_warm}"),
        @"elsewhere while full: true, as warm: false"
    );
}

/// Returns whether a request whose own target has just become full runs elsewhere,
/// if the three targets of the region have reported the given load.
fn spill(running: u32, waiting: u32, sticky: bool) -> String {
    let mut pool = Pool::new();
    for n in 0..3 {
        pool.put(Millis(0), instance(n, 0, 2), &zones());
    }
    let mut now = Millis(60_000);
    let (az, region, evacuated) = (az(0), region(0), BTreeSet::new());
    let rule = RouteRule { sticky, ..rule() };
    let mut send = |object, ending, [running, waiting]: [u32; 2]| {
        now = now + Millis(1);
        let ctx = context(now, &az, &region, &evacuated);
        let req = Request {
            object: Some(object),
            ..request(&rule)
        };
        let ticket = pool.choose(&ctx, &req)?.ticket;
        let report = LoadReport {
            running,
            waiting,
            slots: 2,
            slowdown_percent: 100,
        };
        pool.finish(now, &ticket, ending, Some(report));
        Ok::<_, ChooseError>(ticket)
    };
    for object in 100..130 {
        send(object, Ending::Answered, [running, waiting]).expect("a target");
    }
    let own = send(7, Ending::Rejected, [2, 9]).expect("a target");
    let next = send(7, Ending::Answered, [running, waiting]);
    let elsewhere = match next {
        Ok(ticket) => Ok(ticket.id != own.id),
        Err(ChooseError::Displacing(basis)) => Err(format!(
            "displacing at {:.2} requests per slot",
            basis.utilization
        )),
        Err(e) => Err(format!("{e:?}")),
    };
    format!("{running} running, {waiting} waiting, sticky {sticky}: {elsewhere:?}")
}

/// Fails if an overloaded region runs a request at a target that does not have its
/// object, which keeps the region overloaded, or if a region with room or a request
/// whose object makes no difference is refused.
#[test]
fn an_overloaded_region_does_not_displace_objects() {
    let cases = [(0, 0, true), (2, 0, true), (2, 1, true), (2, 1, false)];
    let lines = cases.map(|(running, waiting, sticky)| spill(running, waiting, sticky));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns where the requests of a region run whose demand fits its slots.
fn sides(rule: &RouteRule, cold: Millis) -> String {
    let (az, region, evacuated) = (az(0), region(0), BTreeSet::new());
    let mut pool = Pool::new();
    let now = Millis(20_000);
    for n in 0..6 {
        let target = Instance {
            cold: if n % 3 == 0 { cold } else { Millis(0) },
            ..instance(n, n % 3, 2)
        };
        pool.put(now, target, &zones());
    }
    let demand = Demand {
        requests: 2.0,
        slots: 0.5,
        ..Demand::default()
    };
    let (mut local, mut remote, mut refused) = (0, 0, 0);
    for n in 0..50 {
        let context = context(now + Millis(n * 200), &az, &region, &evacuated);
        let context = Context {
            region_demand: Some(demand),
            cold_quota: ColdQuota {
                max_rate: 0.0,
                ..context.cold_quota
            },
            ..context
        };
        let Ok(choice) = pool.choose(&context, &request(rule)) else {
            refused += 1;
            continue;
        };
        let ticket = &choice.ticket;
        if ticket.basis.remote {
            remote += 1;
        } else {
            local += 1;
        }
        pool.finish(context.now, ticket, Ending::Cancelled, None);
    }
    format!("local {local}, remote {remote}, refused {refused}")
}

/// Fails if requests are refused for good because the plan keeps them in a region of
/// which no target may take them: it is no home of their route, or its targets are all
/// in their slow start and this entry has no share of their rate.
#[test]
fn requests_that_no_local_target_can_take_run_elsewhere() {
    let elsewhere = RouteRule {
        home_regions: vec![region(1)],
        ..rule()
    };
    let lines = [
        format!("all homes: {}", sides(&rule(), Millis(0))),
        format!("another home: {}", sides(&elsewhere, Millis(0))),
        format!("slow start: {}", sides(&rule(), Millis(60_000))),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against starting a request that cannot be repeated at a target that is known to
/// be so slow that it would outlive the time of its route: its outcome would be unknown.
#[test]
fn a_request_that_runs_once_is_not_started_where_it_is_too_late() {
    let mut fixture = Fixture::new();
    let rule = RouteRule {
        kind: RequestKind::Once,
        ..rule()
    };
    let ids = [0, 1, 2].map(|n| instance(n, 0, 2).id);
    let choose = |fixture: &mut Fixture, tried: &[usize], time_left| {
        let (az, region) = (az(0), region(0));
        let ctx = context(fixture.now, &az, &region, &fixture.evacuated);
        let tried: Vec<_> = tried.iter().map(|n| ids[*n].clone()).collect();
        let req = Request {
            tried: &tried,
            time_left: Millis(time_left),
            ..request(&rule)
        };
        fixture.pool.choose(&ctx, &req)
    };
    // The first target takes 700 ms, the second one 100 ms.
    for _ in 0..100 {
        for (others, took) in [([1, 2], 700), ([0, 2], 100)] {
            if let Ok(choice) = choose(&mut fixture, &others, 5_000) {
                fixture.now = fixture.now + Millis(took);
                let ticket = &choice.ticket;
                let pool = &mut fixture.pool;
                pool.finish(fixture.now, ticket, Ending::Answered, None);
            }
        }
    }
    let mut lines = String::new();
    for (tried, time_left) in [
        (&[][..], 800),
        (&[][..], 300),
        (&[1, 2], 2_000),
        (&[1, 2], 300),
        (&[0, 1, 2], 300),
    ] {
        let choice = choose(&mut fixture, tried, time_left);
        let line = choice.map(|c| c.ticket.id.to_string());
        let line = line.unwrap_or_else(|e| e.to_string());
        writeln!(lines, "{time_left} ms left, tried {tried:?}: {line}").expect("a string");
    }
    insta::assert_snapshot!(lines);
}
