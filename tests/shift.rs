//! Tests of traffic shifts. A move that is too fast runs into cold caches or
//! overloads a region, and a place that should get no more requests must not
//! keep receiving them.

mod shift_fleet;

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{
        Homes, Millis, Place, PlaceName, PlaceState, RegionName, Revision, Weight, Workspace,
    },
    policy::shift::{PlaceProgress, Progress, Share, Shift},
};
use shift_fleet::{Fleet, Mode, document, fleet, format_shares, name, rate_limit};

const START: [(&str, u32); 3] = [("east", 100), ("north", 0), ("west", 0)];
const MOVED: [(&str, u32); 3] = [("east", 80), ("north", 0), ("west", 20)];

/// Runs the fleet until no traffic moves, for at most `limit` seconds. Returns
/// the elapsed seconds.
fn run_until_settled(fleet: &mut Fleet, limit: u64) -> u64 {
    let start = fleet.now;
    while fleet.entries.iter().any(|e| e.1.is_moving()) && fleet.now < start + limit * 1_000 {
        fleet.run(1);
    }
    (fleet.now - start) / 1_000
}

/// Guards against entries that together exceed the cap, and against a move that
/// never ends.
#[test]
fn a_move_stays_under_its_cap() {
    let mut fleet = fleet(Mode::Shift, &[document(&START)]);
    fleet.adopt(0, 2, &document(&MOVED));
    run_until_settled(&mut fleet, 60);
    fleet.run(2);
    assert_eq!(fleet.violations("west"), Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(2, &["east", "west"]));
}

/// Guards against checks that do not detect a move that is too fast.
#[test]
fn a_naive_move_violates_all_limits() {
    let mut naive = fleet(Mode::Naive, &[document(&START)]);
    naive.regions = [(name("west"), rate_limit(100))].into();
    naive.cold = [(name("west"), 500)].into();
    naive.adopt(0, 2, &document(&MOVED));
    naive.run(5);
    insta::assert_snapshot!(naive.violations("west").join("\n"));
}

/// Guards against a request that runs outside of the homes of its workspace while traffic
/// moves or its region has no headroom, and against homes that only grow and so would be
/// refused until the end of the move.
#[test]
fn requests_stay_in_their_homes() {
    let mut shift = Shift::new(&document(&START), Revision(1), None, Millis(0));
    shift.adopt(&document(&MOVED), Revision(2), Millis(0));
    shift.tick(None, Millis(1_000));
    let mut rng = SmallRng::seed_from_u64(7);
    let mut lines = Vec::new();
    for home in ["east", "north", "west"] {
        for (unit, full) in [(true, ""), (false, ""), (true, home)] {
            let workspace = Workspace {
                name: name("bakers"),
                keys: Vec::new(),
                rank: None,
                quota: None,
                home_regions: vec![name(home)],
            };
            let homes = Homes::of_workspace(Some(&workspace));
            let mut outcomes = BTreeMap::new();
            for _ in 0..500 {
                let headroom = |r: &RegionName| r.as_str() != full;
                let outcome = match shift.choose_home(&mut rng, homes, || unit, headroom) {
                    Ok(place) => place.name.to_string(),
                    Err(refusal) => refusal.to_string(),
                };
                *outcomes.entry(outcome).or_insert(0) += 1;
            }
            lines.push(format!("{home}, unit {unit}, full {full:?}: {outcomes:?}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a reversal that jumps back to the original shares or
/// continues the first move.
#[test]
fn a_reversal_starts_from_the_current_shares() {
    let mut fleet = fleet(Mode::Shift, &[document(&START)]);
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(6);
    fleet.adopt(0, 3, &document(&START));
    run_until_settled(&mut fleet, 60);
    fleet.run(2);
    let violations = [fleet.violations("west"), fleet.violations("east")].concat();
    assert_eq!(violations, Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(1, &["east", "west"]));
}

/// Guards against two services that overload a region when both move to it.
#[test]
fn two_moves_share_the_headroom_of_a_region() {
    let mut fleet = fleet(Mode::Shift, &[document(&START), document(&START)]);
    fleet.regions = [(name("west"), rate_limit(300))].into();
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(2);
    fleet.adopt(1, 2, &document(&MOVED));
    fleet.run(16);
    assert_eq!(fleet.violations("west"), Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(2, &["east", "west"]));
}

/// Guards against a lost region whose share is dropped, exceeds the headroom of
/// the other regions, or returns in one step.
#[test]
fn a_region_is_lost_in_the_middle_of_a_move() {
    let start = [("east", 60), ("north", 40), ("west", 0)];
    let moved = [("east", 60), ("north", 20), ("west", 20)];
    let mut fleet = fleet(Mode::Shift, &[document(&start)]);
    let limits = [("east", 2_000), ("north", 1_300), ("west", 250)];
    fleet.regions = limits.map(|(r, n)| (name(r), rate_limit(n))).into();
    fleet.adopt(0, 2, &document(&moved));
    fleet.run(4);
    fleet.set_region_lost("north", true);
    fleet.run(4);
    fleet.set_region_lost("north", false);
    fleet.run(10);
    // The redistribution of a lost region's share may exceed the growth limit,
    // so that limit is checked for a region that does not exist.
    assert_eq!(fleet.violations("south"), Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(1, &["east", "north", "west"]));
}

/// Guards against steps that advance while the destination responds more slowly
/// than before the move.
#[test]
fn a_cold_destination_slows_the_move() {
    let run_with_cold = |cold: u32| {
        let mut fleet = fleet(Mode::Shift, &[document(&START)]);
        fleet.cold = [(name("west"), cold)].into();
        fleet.outcomes.clear();
        fleet.adopt(0, 2, &document(&MOVED));
        let seconds = run_until_settled(&mut fleet, 120);
        let held = fleet
            .outcomes
            .iter()
            .filter(|o| o.starts_with("Held"))
            .count();
        assert_eq!(fleet.violations("west"), Vec::<String>::new());
        format!("cold for {cold} requests: {seconds} s, held {held} times")
    };
    insta::assert_snapshot!(
        [run_with_cold(0), run_with_cold(200), run_with_cold(1_000)].join("\n")
    );
}

/// Guards against a leaving place that gets another request, and against a
/// share that is lost with it.
#[test]
fn a_leaving_place_gets_no_more_requests() {
    let both = [("east", 70), ("north", 0), ("west", 30)];
    let mut fleet = fleet(Mode::Shift, &[document(&both)]);
    let mut leaving = document(&both);
    leaving.places[2].state = PlaceState::Leaving;
    fleet.adopt(0, 2, &leaving);
    fleet.run(2);
    insta::assert_snapshot!(fleet.timeline(1, &["east", "west"]));
}

/// Guards against an entry that is ahead of the others after a restart or while
/// it has no traffic.
#[test]
fn a_restarted_entry_takes_the_least_advanced_shares() {
    let mut fleet = fleet(Mode::Shift, &[document(&START)]);
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(6);
    let reports = fleet.entries.iter().map(|e| e.1.progress());
    let least = reports.reduce(Progress::merge).expect("there are entries");
    let now = Millis(fleet.now);
    let moved = document(&MOVED);
    let mut restarted = Shift::new(&moved, Revision(2), Some(&least), now);
    let mut out: Vec<String> = fleet.entries.iter().map(|e| format_shares(&e.1)).collect();
    out.push(format!("restarted: {}", format_shares(&restarted)));
    let outcome = restarted.tick(Some(&least), now + Millis(20_000));
    out.push(format!(
        "without traffic: {outcome:?} {}",
        format_shares(&restarted)
    ));
    let alone = Shift::new(&moved, Revision(2), None, now);
    out.push(format!("without peers: {}", format_shares(&alone)));
    insta::assert_snapshot!(out.join("\n"));
}

fn progress((revision, has_traffic, shares): (u8, bool, Vec<(u8, u8)>)) -> Progress {
    let place = |(at, (base, target)): (usize, (u8, u8))| {
        let progress = PlaceProgress {
            base: Share(base.into()),
            target: Share(target.into()),
        };
        (name(&format!("p{}", at % 3)), progress)
    };
    Progress {
        revision: Revision(u64::from(revision % 2)),
        has_traffic,
        places: shares.into_iter().enumerate().map(place).collect(),
    }
}

type Report = (u8, bool, Vec<(u8, u8)>);

quickcheck! {
    /// Guards against a merged value that depends on the order or the
    /// repetition of reports.
    fn merged_progress_does_not_depend_on_order(a: Report, b: Report, c: Report) -> bool {
        let [a, b, c] = [a, b, c].map(progress);
        let merge = |x: &Progress, y: &Progress| x.clone().merge(y.clone());
        merge(&a, &b) == merge(&b, &a)
            && merge(&merge(&a, &b), &c) == merge(&a, &merge(&b, &c))
            && merge(&a, &a) == a
    }

    /// Guards against shares that are lost by rounding, and against requests to
    /// a place that is leaving or in a lost region, or to a place without a
    /// base share for which no unit was taken.
    fn any_sequence_preserves_the_sum_of_shares(steps: Vec<(u8, u32, bool)>, seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut current = document(&START);
        let mut shift = Shift::new(&current, Revision(0), None, Millis(0));
        let mut lost: Option<RegionName> = None;
        let mut now = Millis(0);
        for (revision, (kind, value, flag)) in (1..).zip(steps) {
            let at = value as usize % 3;
            match kind % 5 {
                0 => current.places[at].weight = Weight(value / 3 % 100),
                1 => current.places[at].state =
                    if flag { PlaceState::Leaving } else { PlaceState::Active },
                2 => {
                    let region = current.places[at].region.clone();
                    if let Some(other) = lost.take() {
                        shift.set_region_lost(&other, false, now);
                    }
                    shift.set_region_lost(&region, flag, now);
                    lost = flag.then_some(region);
                }
                _ => now = now + Millis(u64::from(value % 12_000)),
            }
            shift.adopt(&current, Revision(revision), now);
            shift.tick(None, now);
            let is_available = |p: &Place| {
                p.state == PlaceState::Active && Some(&p.region) != lost.as_ref()
            };
            for _ in 0..20 {
                let bases: BTreeMap<PlaceName, u32> =
                    shift.shares().map(|s| (s.name.clone(), s.base.0)).collect();
                let sum: u32 = bases.values().sum();
                let any_available = current.places.iter().any(|p| is_available(p) && p.weight.0 > 0);
                if sum != Share::WHOLE.0 && (any_available || sum != 0) {
                    return false;
                }
                let mut unit_taken = false;
                let take_unit = || { unit_taken = flag; flag };
                let Ok(place) = shift.choose_place(&mut rng, take_unit, |_| true) else {
                    if sum > 0 { return false; }
                    continue;
                };
                if !is_available(place) || (bases[&place.name] == 0 && !unit_taken) {
                    return false;
                }
                let chosen = place.name.clone();
                shift.observe(&chosen, Millis(u64::from(value % 50)), false);
            }
        }
        true
    }
}
