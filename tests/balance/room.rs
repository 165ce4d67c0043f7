//! Simulations of too little room: which rank is served, which waits, and what is left
//! of it when the account of the region is lost. Callers give up after 800 ms, and an
//! answer within 300 ms has its full value.

use std::collections::{BTreeMap, BTreeSet};

use savorybeam::{
    domain::{Millis, RouteRule},
    policy::{
        balance::{Applicant, Context, Ending, Pool, object_hash},
        demand::{Demand, RankSlots},
    },
};

use super::simulation::{
    Counts, Ended, Load, Served, Surge, Workspaces, az, context, instance, region, request, rule,
    simulate, zones,
};

const SEEDS: u64 = 3;

/// The time in which there is too little room.
const PEAK: (Millis, Millis) = (Millis(10_000), Millis(16_000));

/// By how many percent a less urgent rank may be served more often than a more urgent one.
const INVERSION_MAX: u32 = 5;

/// Returns a load of three ranks that fits, apart from its peak: one of them is then 2.3
/// times as much, and all need 1.2 times the slots.
fn load() -> Load {
    Load {
        rate: [250.0; 3],
        window_requests: 500.0,
        retries: 1,
        entries: 4,
        ranks: &[(0, 0.3), (1, 0.4), (2, 0.3)],
        surge: Some(Surge {
            rank: 1,
            factor: 2.3,
            from: PEAK.0,
            until: PEAK.1,
        }),
        admission: true,
        ..Load::default()
    }
}

fn runs(load: &Load) -> Vec<Counts> {
    (0..SEEDS).map(|seed| simulate(load, seed)).collect()
}

fn add(sum: &mut Served, one: &Served) {
    sum.asked += one.asked;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.refusals += one.refusals;
}

/// Returns the percentage of each rank that is served, after a check that none is served
/// less than a more urgent one and that none is starved.
fn served_ranks(runs: &[Counts]) -> Vec<u32> {
    let mut ranks: BTreeMap<u32, Served> = BTreeMap::new();
    let mut all = Served::default();
    for (rank, served) in runs.iter().flat_map(|run| &run.ranks) {
        add(ranks.entry(*rank).or_default(), served);
        add(&mut all, served);
    }
    let percents: Vec<u32> = ranks.values().map(Served::percent).collect();
    for pair in percents.windows(2) {
        assert!(pair[1] <= pair[0] + INVERSION_MAX, "{percents:?}");
    }
    let starved = percents.iter().any(|p| *p < all.percent() / 4);
    assert!(!starved, "{percents:?}");
    percents
}

/// Returns the percentage of the requests of a time that are answered in time.
fn in_time(runs: &[Counts], (from, until): (Millis, Millis)) -> u32 {
    let mut sum = Served::default();
    for run in runs {
        let seconds = run.seconds.range(from.0 / 1_000..until.0 / 1_000);
        seconds.for_each(|(_, served)| add(&mut sum, served));
    }
    sum.in_time * 100 / sum.asked.max(1)
}

/// Returns the percentage that is served of a part of the requests.
fn percent(runs: &[Counts], part: impl Fn(&Counts) -> Served) -> u32 {
    let mut sum = Served::default();
    for run in runs {
        add(&mut sum, &part(run));
    }
    round(sum.percent())
}

fn round(percent: u32) -> u32 {
    (percent + 2) / 5 * 5
}

/// Returns what is served of each rank, and in time at the peak and after it.
fn describe(load: &Load) -> String {
    describe_runs(load, &runs(load))
}

fn describe_runs(load: &Load, runs: &[Counts]) -> String {
    let ranks: Vec<u32> = served_ranks(runs).into_iter().map(round).collect();
    let after = (PEAK.1 + Millis(2_000), load.traffic);
    let [peak, after] = [PEAK, after].map(|time| round(in_time(runs, time)));
    format!("ranks {ranks:?}, in time at the peak {peak}, after it {after}")
}

/// Fails if all ranks are refused alike when one of them is 2.3 times as much, or if the
/// service is worse after the peak than before it.
#[test]
fn the_least_urgent_rank_waits_when_one_is_more_than_usual() {
    let cases = [0, 1, 2].map(|rank| {
        let surge = load().surge.map(|surge| Surge { rank, ..surge });
        let load = Load { surge, ..load() };
        format!("{rank} surges: {}", describe(&load))
    });
    insta::assert_snapshot!(cases.join("\n"));
}

/// Fails if anything is refused by rank while there is room, also while all objects are
/// cold after a start.
#[test]
fn nothing_is_refused_by_rank_while_there_is_room() {
    let calm = |admission| Load {
        admission,
        rate: [200.0; 3],
        surge: None,
        ..load()
    };
    let [with, without] = [true, false].map(|admission| {
        let runs = runs(&calm(admission));
        let refusals = runs.iter().flat_map(|run| run.ranks.values());
        refusals.map(|served| served.refusals).sum::<u32>()
    });
    assert_eq!(with, without, "with admission by rank, and without it");
}

/// Fails if requests of a region whose account is lost at the peak, or that is cut off
/// from the other regions, are all refused or served by no rank.
#[test]
fn a_region_serves_without_its_account_and_on_its_own() {
    let middle = Some((Millis(12_000), Millis(14_000)));
    let cases = [
        (
            "account lost",
            Load {
                unknown: middle,
                ..load()
            },
        ),
        (
            "cut off",
            Load {
                cut_off: middle,
                ..load()
            },
        ),
    ];
    let lines = cases.map(|(name, load)| format!("{name}: {}", describe(&load)));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if an explanation does not show the line by which requests are refused, shows one
/// where none applies, or moves it.
#[test]
fn an_explanation_shows_the_line() {
    let (az, here, evacuated) = (az(0), region(0), BTreeSet::new());
    let elsewhere = RouteRule {
        home_regions: vec![region(1)],
        ..rule()
    };
    let rule = rule();
    let mut pool = Pool::new();
    pool.put(Millis(0), instance(0, 0, 2), &zones());
    let needs = |by_rank| Demand {
        requests: 40.0,
        slots: 3.0,
        by_rank: RankSlots(by_rank),
        ..Demand::default()
    };
    let (calm, peak) = (needs([0.5, 0.5, 0.0, 0.0]), needs([1.0, 1.5, 1.0, 0.0]));
    let mut lines = Vec::new();
    for n in 0..400_u32 {
        let now = Millis(60_000 + u64::from(n) * 100);
        let demand = [Some(calm), Some(peak), Some(peak), None][n as usize / 100];
        let ctx = Context {
            region_demand: demand,
            ..context(now, &az, &here, &evacuated)
        };
        let req = request(&rule);
        if n % 100 == 99 {
            let [home, other] = [&rule, &elsewhere].map(|r| pool.explain(&ctx, &request(r)).line);
            assert_eq!(pool.explain(&ctx, &req).line, home);
            assert_eq!(other, None);
            let text = home.map(|line| {
                let (rank, account) = (line.rank, line.account);
                let needed = account.needed.total();
                format!(
                    "{rank:?}, {needed} of {}, {:.2}",
                    account.room, line.admitted
                )
            });
            lines.push(format!("{:?}: {text:?}", demand.map(|d| d.by_rank.0)));
        }
        let applicant = Applicant {
            rule: &rule,
            homes: req.homes,
            rank: rule.rank,
            workspace: None,
            subject: object_hash("object", &n.to_be_bytes()),
            returns: false,
        };
        if pool.admit(&ctx, &applicant).is_ok()
            && let Ok(choice) = pool.choose(&ctx, &req)
        {
            pool.finish(now, &choice.ticket, Ending::Answered, None);
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if small workspaces are refused because a large one asks for six times its usual
/// at a time when not all fits. There are 76, most of which an entry does not see in a
/// second; the first asks for a tenth of all, then for a third.
#[test]
fn small_workspaces_are_served_when_a_large_one_asks_for_more() {
    let load = |admission, ranks| Load {
        admission,
        ranks,
        surge: None,
        workspaces: Some(Workspaces {
            count: 76,
            large: 0.1,
            factor: 6.0,
            from: PEAK.0,
            until: PEAK.1,
        }),
        rate: [300.0; 3],
        ..load()
    };
    let three: &[_] = &[(0, 0.3), (1, 0.4), (2, 0.3)];
    let cases = [
        ("three ranks", true, three),
        ("three ranks, no line", false, three),
        ("one rank", true, &[(1, 1.0)]),
        ("one rank, no line", false, &[(1, 1.0)]),
    ];
    let lines = cases.map(|(name, admission, ranks)| {
        let load = load(admission, ranks);
        let runs = runs(&load);
        let [large, others] = [0, 1].map(|group| percent(&runs, |run| run.workspaces[group]));
        format!(
            "{name}: the large one {large}, others {others}; {}",
            describe_runs(&load, &runs)
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Plays a load and describes how the callers of each region and each rank are served.
fn describe_regions(load: &Load) -> String {
    let runs = runs(load);
    let percents = [0, 1, 2].map(|region| percent(&runs, |run| run.regions[region]));
    format!("regions {percents:?}, {}", describe_runs(load, &runs))
}

/// Fails if the callers of a region with a tenth of the slots and a third of the callers
/// are served worse than others while the regions together have room.
#[test]
fn a_small_region_is_served_like_others() {
    let load = Load {
        targets: [3, 14, 13],
        rate: [200.0; 3],
        surge: None,
        ..load()
    };
    insta::assert_snapshot!(describe_regions(&load));
}

/// Fails if a wave whose peak moves from region to region, which the regions together have
/// room for most of the time, leaves a rank or a region behind.
#[test]
fn a_wave_that_moves_between_regions_leaves_none_behind() {
    let load = Load {
        swing: 0.55,
        moving: true,
        traffic: Millis(38_000),
        duration: Millis(38_000),
        surge: None,
        ..load()
    };
    insta::assert_snapshot!(describe_regions(&load));
}

/// Fails if the loss of all warm objects, which makes requests take three times as long,
/// is not over within seconds, or if the more urgent ranks pay for it.
#[test]
fn a_service_recovers_when_all_objects_are_cold() {
    let load = Load {
        chill: Some(PEAK.0),
        surge: None,
        ..load()
    };
    insta::assert_snapshot!(describe(&load));
}

/// Fails if the ranks are not kept, or a rank starves, when the store is away at the peak:
/// a quarter of a region's targets end and entries learn of it only after the peak.
#[test]
fn ranks_are_kept_while_the_store_is_away_at_the_peak() {
    let load = |known_at| Load {
        ended: Some(Ended {
            targets: 2,
            at: Millis(11_000),
            known_at,
        }),
        ..load()
    };
    let cases = [("known at once", Millis(11_000)), ("away", Millis(17_000))];
    let lines = cases.map(|(name, known_at)| format!("{name}: {}", describe(&load(known_at))));
    insta::assert_snapshot!(lines.join("\n"));
}
