//! Tests the quotas of workspaces over many entries in virtual time: the sum of what
//! all entries admit, and what is refused below a quota.

mod entries;
#[path = "../vm/mod.rs"]
mod vm;
mod world;

use insta::assert_snapshot;
use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{EntryId, Millis, Quota, WorkspaceName},
    policy::quota::{Ask, Granter, Limit, Need},
};
use std::sync::Arc;
use world::{Demand, World, quota};
use xxhash_rust::xxh3::xxh3_64;

const SECOND: u64 = 1_000;

/// Adds the same rate of requests in each region.
fn evenly(world: &mut World, workspace: usize, rate: f64, from: u64, until: u64) {
    let regions = 3.min(world.nodes.len());
    for region in 0..regions {
        let rate = rate / f64::from(u8::try_from(regions).expect("a small number"));
        world.demand(Demand {
            workspace,
            region,
            rate,
            from,
            until,
        });
    }
}

/// Returns the quotas of 76 workspaces of which a few are large, at 1.6 times what they
/// use, which is `total` together.
fn uneven(total: f64) -> Vec<(f64, Quota)> {
    let weight = |i: u8| (f64::from(i) + 1.0).powf(-1.2);
    let sum: f64 = (0..76).map(weight).sum();
    let rates = (0_u8..76).map(|i| total * weight(i) / sum);
    rates.map(|r| (r, quota((r * 1.6).ceil()))).collect()
}

/// Plays 76 workspaces of which the largest sends `excess` times its quota.
fn hot(count: usize, total: f64, excess: f64) -> World {
    let loads = uneven(total);
    let mut world = World::new(1, count, loads.iter().map(|l| l.1).collect());
    for (i, (rate, quota)) in loads.iter().enumerate() {
        let rate = if i == 0 { quota.rate.0 * excess } else { *rate };
        evenly(&mut world, i, rate, 5 * SECOND, 11 * SECOND);
    }
    world.run(12 * SECOND);
    world
}

fn report(world: &World) -> String {
    let rest = 1..world.quotas.len();
    format!(
        "hot: {}\nrest: {}",
        world.summary(0..=0),
        world.summary(rest)
    )
}

/// Fails if one workspace beyond its quota takes tokens of others, or if small
/// workspaces, of which most entries see no request in a second, are refused.
#[test]
fn others_are_served_beside_a_hot_workspace() {
    for count in [1, 9, 68, 295] {
        let total = if count == 295 { 600.0 } else { 1_200.0 };
        let mut world = hot(count, total, 6.0);
        insta::with_settings!({snapshot_suffix => count.to_string()}, {
            assert_snapshot!("hot", report(&world));
        });
        assert!(world.worst_peak() <= 1.0, "{count}: {}", report(&world));
        // Fails if an operator gets a line of each entry for one workspace at its limit.
        let changes: Vec<_> = world.limit_changes();
        assert_eq!(changes, vec![(0, true); 3.min(count)], "{count}");
        world.run(20 * SECOND);
        assert_eq!(world.limit_changes(), vec![(0, false); 3.min(count)]);
    }
}

/// Fails if the calls between entries grow faster than the entries and the requests do.
#[test]
fn calls_grow_with_entries() {
    let mut lines = Vec::new();
    for (count, total) in [(9, 160.0), (68, 1_200.0), (295, 1_200.0)] {
        let world = hot(count, total, 0.6);
        let requests: usize = world.tally.iter().map(|t| t.asked).sum();
        let World { calls, needs, .. } = world;
        lines.push(format!(
            "{count} entries: {requests} requests in 6 s, {calls} calls in 12 s with {needs} workspaces"
        ));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Fails if a workspace that stays below its quota is refused: one that uses all of it
/// but a tenth, one whose callers move to another region, and one of three requests per
/// second, which most entries do not see.
#[test]
fn a_calm_workspace_is_refused_nothing() {
    let mut world = World::new(2, 68, vec![quota(200.0), quota(60.0), quota(5.0)]);
    evenly(&mut world, 0, 180.0, 5 * SECOND, 20 * SECOND);
    for (region, from, until) in [(0, 5, 10), (2, 10, 15), (1, 15, 20)] {
        let (from, until) = (from * SECOND, until * SECOND);
        let (workspace, rate) = (1, 50.0);
        world.demand(Demand {
            workspace,
            region,
            rate,
            from,
            until,
        });
    }
    evenly(&mut world, 2, 3.0, 5 * SECOND, 60 * SECOND);
    world.run(61 * SECOND);
    let rows = (0..3).map(|w| world.summary(w..=w));
    assert_snapshot!(rows.collect::<Vec<_>>().join("\n"));
}

/// Fails if a workspace that asks for more than its quota all the time gets less in each
/// window than its rate and nearly its burst, or more than the bounds allow.
#[test]
fn a_steady_excess_gets_rate_and_burst() {
    let mut lines = Vec::new();
    for count in [1, 9, 68, 295] {
        let mut world = World::new(5, count, vec![quota(120.0), quota(12.0)]);
        for (workspace, rate) in [(0, 240.0), (1, 40.0)] {
            evenly(&mut world, workspace, rate, 5 * SECOND, 35 * SECOND);
        }
        world.run(36 * SECOND);
        let rows = (0..2).map(|w| world.summary(w..=w));
        lines.push(format!("{count}\n{}", rows.collect::<Vec<_>>().join("\n")));
        assert!(world.worst_peak() <= 1.0, "{count}: {}", world.worst_peak());
    }
    assert_snapshot!(lines.join("\n"));
}

/// Fails if callers are sent back before there is a token, long after it, or at one
/// moment: those that are refused in a second return over three at three times the quota.
#[test]
fn refused_callers_return_when_there_is_room() {
    let name: WorkspaceName = "w0".parse().expect("a name");
    let me: EntryId = "e0".parse().expect("a name");
    let limits = || std::iter::once((name.clone(), Limit::new(&quota(20.0), &world::bounds())));
    let mut granter = Granter::new(&me, 1);
    granter.configure(Millis(0), limits());
    granter.set_own(Millis(0), &Arc::new(vec![xxh3_64(me.as_bytes())]), true);
    // A workspace that asks for three times its quota.
    let mut refused = Vec::new();
    for at in (SECOND..4 * SECOND).step_by(100) {
        let waiting = 6;
        let needs = vec![Need {
            waiting,
            used: waiting,
            ..Need::new(name.clone())
        }];
        let ask = Ask {
            entry: me.clone(),
            sharers: 0,
            echo: None,
            for_others: false,
            needs,
        };
        let grant = granter.answer(Millis(at), &ask).grants.remove(0);
        granter.record_exchange(Millis(at));
        refused.extend(grant.room.map(|room| (at, room, waiting - grant.tokens)));
    }
    let (at, room, _) = refused.pop().expect("a refusal");
    let early = granter.take(Millis(at) + room.after - Millis(2), &name);
    let in_time = granter.take(Millis(at) + room.after + Millis(2), &name);
    let mut returns = vec![0; 100];
    for (at, room, count) in refused {
        for caller in 0..count {
            let id = format!("{at}-{caller}");
            let back = at + room.retry_after(xxh3_64(id.as_bytes())).0;
            returns[usize::try_from(back / SECOND).expect("a small number")] += 1;
        }
    }
    assert_snapshot!(format!("{early} {in_time} {:?}", &returns[..10]));
}

/// Plays a workspace at twice its quota and one below it, beside a fault at 10 s.
fn with_fault(fault: impl FnOnce(&mut World) + 'static) -> String {
    let mut world = World::new(3, 24, vec![quota(100.0), quota(60.0)]);
    evenly(&mut world, 0, 200.0, 5 * SECOND, 20 * SECOND);
    evenly(&mut world, 1, 40.0, 5 * SECOND, 20 * SECOND);
    world.fault(10 * SECOND, fault);
    world.run(21 * SECOND);
    assert!(world.worst_peak() <= 1.0, "{}", report(&world));
    report(&world)
}

/// Fails if the loss of a granter leaves its region without tokens for long, or if its
/// successor grants what it has granted.
#[test]
fn a_granter_is_lost() {
    let killed = with_fault(|world| {
        let first = world.first(0);
        world.kill(first);
        world.fault(13 * SECOND, World::refresh_views);
    });
    let frozen = with_fault(|world| {
        let first = world.first(0);
        world.freeze(first, Millis(3 * SECOND));
    });
    let cut = with_fault(|world| {
        let first = world.first(0);
        world.cut.insert(first);
        world.fault(15 * SECOND, |world| world.cut.clear());
    });
    let restarted = with_fault(|world| {
        let first = world.first(0);
        world.kill(first);
        world.restart(first);
    });
    assert_snapshot!(format!(
        "killed\n{killed}\nfrozen\n{frozen}\ncut\n{cut}\nrestarted\n{restarted}"
    ));
}

/// Fails if entries without contact exceed a quota, or use less than their parts.
#[test]
fn regions_and_entries_are_cut_off() {
    let region = with_fault(|world| {
        world.cut_region = Some(0);
        world.fault(15 * SECOND, |world| world.cut_region = None);
    });
    let all = with_fault(|world| {
        world.cut = (0..world.nodes.len()).collect();
        world.fault(15 * SECOND, |world| world.cut.clear());
    });
    assert_snapshot!(format!("region\n{region}\nall\n{all}"));
}

/// Fails if a restart with lost memory earns the burst again.
#[test]
fn all_entries_restart() {
    let restarted = with_fault(|world| {
        for i in 0..world.nodes.len() {
            world.kill(i);
            world.restart(i);
        }
    });
    assert_snapshot!(restarted);
}

/// Fails if a lower quota is not kept from one window after it is in effect.
#[test]
fn a_quota_is_lowered() {
    let mut world = World::new(4, 24, vec![quota(100.0)]);
    evenly(&mut world, 0, 200.0, 5 * SECOND, 20 * SECOND);
    world.fault(10 * SECOND, |world| {
        world.quotas[0] = quota(20.0);
        world.configure();
    });
    world.run(21 * SECOND);
    let peak = world.peak(0, &quota(20.0), 10 * SECOND);
    assert_snapshot!(format!("{peak:.2}"));
    assert!(peak <= 1.0);
}

/// Plays random faults. Returns the largest fraction of a quota that was used, and the
/// largest sum of parts in relation to what the views allow.
fn play_random(seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total: u8 = rng.random_range(1..40);
    let count = usize::from(total);
    let rates = [rng.random_range(1.0..400.0), rng.random_range(0.5..20.0)];
    let mut world = World::new(seed, count, rates.iter().map(|r| quota(*r)).collect());
    world.loss = rng.random_range(0.0..0.2);
    world.late = rng.random_range(0.0..0.3);
    // The number of entries that half of the others do not know.
    let unknown = if rng.random_bool(0.5) { total / 12 } else { 0 };
    world.unknown_from = count - usize::from(unknown);
    world.refresh_views();
    for (workspace, rate) in rates.iter().enumerate() {
        // Requests in a row, and a pause after which all of the burst may be used.
        let mut from = 3 * SECOND;
        while from < 24 * SECOND {
            let rate = rate * rng.random_range(1.5..6.0);
            let until = from + rng.random_range(SECOND..14 * SECOND);
            evenly(&mut world, workspace, rate, from, until.min(24 * SECOND));
            from = until + rng.random_range(0..4 * SECOND);
        }
    }
    for _ in 0..rng.random_range(0..8) {
        let (node, kind) = (rng.random_range(0..count), rng.random_range(0..5));
        let length = rng.random_range(50..4_000);
        let at = rng.random_range(0..21 * SECOND);
        world.fault(at, move |world| match kind {
            0 => {
                world.kill(node);
                world.fault(at + length, move |world| world.restart(node));
            }
            1 => world.freeze(node, Millis(length)),
            2 => {
                world.cut.insert(node);
                world.fault(at + length, move |world| {
                    world.cut.remove(&node);
                });
            }
            3 => {
                world.cut_region = Some(node % 3);
                world.fault(at + length, |world| world.cut_region = None);
            }
            _ => {
                for i in 0..world.nodes.len() {
                    world.kill(i);
                    world.restart(i);
                }
            }
        });
    }
    world.run(25 * SECOND);
    let allowed = f64::from(total) / f64::from(total - unknown);
    (world.worst_peak(), world.most_parts / allowed)
}

/// Fails if the entries together exceed a quota in any window, or use a part twice,
/// whatever messages are lost or late, whichever entries stop, restart, are cut off or
/// know different others.
#[test]
fn the_sum_stays_within_the_quota() {
    let keeps = |seed: u64| {
        let (peak, parts) = play_random(seed);
        if peak <= 1.0 && parts <= 1.0 + 1e-9 {
            TestResult::passed()
        } else {
            TestResult::error(format!("seed {seed}: peak {peak:.3}, parts {parts:.3}"))
        }
    };
    QuickCheck::new()
        .tests(40)
        .quickcheck(keeps as fn(u64) -> TestResult);
}
