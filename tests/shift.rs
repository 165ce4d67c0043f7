//! Guards moves of traffic: one that is too fast meets cold caches or overloads
//! a region, and one that forgets a place keeps sending work to it.

mod shift_fleet;

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Millis, Place, PlaceName, PlaceState, RegionName, Revision, Weight},
    policy::shift::{PlaceProgress, Progress, Share, Shift},
};
use shift_fleet::{Fleet, Mode, document, fleet, meter, name, shares};

const START: [(&str, u32); 3] = [("east", 100), ("north", 0), ("west", 0)];
const MOVED: [(&str, u32); 3] = [("east", 80), ("north", 0), ("west", 20)];

fn settled_after(fleet: &mut Fleet, limit: u64) -> u64 {
    let start = fleet.now;
    while fleet.entries.iter().any(|e| e.1.is_moving()) && fleet.now < start + limit * 1_000 {
        fleet.run(1);
    }
    (fleet.now - start) / 1_000
}

/// Fails if entries together exceed the cap, or if the move never ends.
#[test]
fn a_move_stays_under_its_cap() {
    let mut paced = fleet(Mode::Paced, &[document(&START)]);
    paced.adopt(0, 2, &document(&MOVED));
    settled_after(&mut paced, 60);
    paced.run(2);
    assert_eq!(paced.faults("west"), Vec::<String>::new());
    insta::assert_snapshot!(paced.timeline(2, &["east", "west"]));
}

/// Fails if the checks of this file could not tell a move that is too fast.
#[test]
fn the_naive_version_fails_the_checks() {
    let mut naive = fleet(Mode::Naive, &[document(&START)]);
    naive.regions = [(name("west"), meter(100))].into();
    naive.cold = [(name("west"), 500)].into();
    naive.adopt(0, 2, &document(&MOVED));
    naive.run(5);
    insta::assert_snapshot!(naive.faults("west").join("\n"));
}

/// Fails if a reversal jumps back, or goes on with the former move.
#[test]
fn a_reversal_starts_from_the_present_shares() {
    let mut fleet = fleet(Mode::Paced, &[document(&START)]);
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(6);
    fleet.adopt(0, 3, &document(&START));
    settled_after(&mut fleet, 60);
    fleet.run(2);
    let faults = [fleet.faults("west"), fleet.faults("east")].concat();
    assert_eq!(faults, Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(1, &["east", "west"]));
}

/// Fails if two services that move to one region overload it together.
#[test]
fn two_moves_share_the_headroom_of_a_region() {
    let mut fleet = fleet(Mode::Paced, &[document(&START), document(&START)]);
    fleet.regions = [(name("west"), meter(300))].into();
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(2);
    fleet.adopt(1, 2, &document(&MOVED));
    fleet.run(16);
    assert_eq!(fleet.faults("west"), Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(2, &["east", "west"]));
}

/// Fails if the share of a lost region is dropped, exceeds the headroom of the
/// others, or comes back at once.
#[test]
fn a_region_is_lost_in_the_middle_of_a_move() {
    let start = [("east", 60), ("north", 40), ("west", 0)];
    let moved = [("east", 60), ("north", 20), ("west", 20)];
    let mut fleet = fleet(Mode::Paced, &[document(&start)]);
    let limits = [("east", 2_000), ("north", 1_300), ("west", 250)];
    fleet.regions = limits.map(|(r, n)| (name(r), meter(n))).into();
    fleet.adopt(0, 2, &document(&moved));
    fleet.run(4);
    fleet.lose("north", true);
    fleet.run(4);
    fleet.lose("north", false);
    fleet.run(10);
    // The spread of a lost region's share is not part of a move.
    assert_eq!(fleet.faults("south"), Vec::<String>::new());
    insta::assert_snapshot!(fleet.timeline(1, &["east", "north", "west"]));
}

/// Fails if steps go on while the destination answers more slowly than before.
#[test]
fn a_cold_destination_slows_the_move() {
    let time = |cold: u32| {
        let mut fleet = fleet(Mode::Paced, &[document(&START)]);
        fleet.cold = [(name("west"), cold)].into();
        fleet.paces.clear();
        fleet.adopt(0, 2, &document(&MOVED));
        let time = settled_after(&mut fleet, 120);
        let held = fleet.paces.iter().filter(|p| p.starts_with("Held")).count();
        assert_eq!(fleet.faults("west"), Vec::<String>::new());
        format!("cold for {cold} requests: {time} s, held {held} times")
    };
    insta::assert_snapshot!([time(0), time(200), time(1_000)].join("\n"));
}

/// Fails if a place that leaves gets one more request, or its share is lost.
#[test]
fn a_leaving_place_gets_nothing_more() {
    let both = [("east", 70), ("north", 0), ("west", 30)];
    let mut fleet = fleet(Mode::Paced, &[document(&both)]);
    let mut leaving = document(&both);
    leaving.places[2].state = PlaceState::Leaving;
    fleet.adopt(0, 2, &leaving);
    fleet.run(2);
    insta::assert_snapshot!(fleet.timeline(1, &["east", "west"]));
}

/// Fails if a restarted entry, or one without traffic, runs ahead of the others.
#[test]
fn a_restarted_entry_takes_the_least_advanced_shares() {
    let mut fleet = fleet(Mode::Paced, &[document(&START)]);
    fleet.adopt(0, 2, &document(&MOVED));
    fleet.run(6);
    let reports = fleet.entries.iter().map(|e| e.1.progress());
    let least = reports.reduce(Progress::merge).expect("there are entries");
    let now = Millis(fleet.now);
    let moved = document(&MOVED);
    let mut restarted = Shift::new(&moved, Revision(2), Some(&least), now);
    let mut out: Vec<String> = fleet.entries.iter().map(|e| shares(&e.1)).collect();
    out.push(format!("restarted: {}", shares(&restarted)));
    let pace = restarted.tick(Some(&least), now + Millis(20_000));
    out.push(format!("without traffic: {pace:?} {}", shares(&restarted)));
    let alone = Shift::new(&moved, Revision(2), None, now);
    out.push(format!("without peers: {}", shares(&alone)));
    insta::assert_snapshot!(out.join("\n"));
}

fn progress((revision, busy, levels): (u8, bool, Vec<(u8, u8)>)) -> Progress {
    let level = |(at, (effective, target)): (usize, (u8, u8))| {
        let level = PlaceProgress {
            base: Share(effective.into()),
            target: Share(target.into()),
        };
        (name(&format!("p{}", at % 3)), level)
    };
    Progress {
        revision: Revision(u64::from(revision % 2)),
        has_traffic: busy,
        places: levels.into_iter().enumerate().map(level).collect(),
    }
}

type Report = (u8, bool, Vec<(u8, u8)>);

quickcheck! {
    /// Fails if the order or the repetition of reports changes what is merged.
    fn merged_progress_does_not_depend_on_order(a: Report, b: Report, c: Report) -> bool {
        let [a, b, c] = [a, b, c].map(progress);
        let both = |x: &Progress, y: &Progress| x.clone().merge(y.clone());
        both(&a, &b) == both(&b, &a)
            && both(&both(&a, &b), &c) == both(&a, &both(&b, &c))
            && both(&a, &a) == a
    }

    /// Fails if shares are lost by rounding, or a closed place or one without a
    /// unit gets a request.
    fn any_sequence_keeps_the_shares_whole(steps: Vec<(u8, u32, bool)>, seed: u64) -> bool {
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
            let open = |p: &Place| {
                p.state == PlaceState::Active && Some(&p.region) != lost.as_ref()
            };
            for _ in 0..20 {
                let bases: BTreeMap<PlaceName, u32> =
                    shift.shares().map(|s| (s.name.clone(), s.base.0)).collect();
                let sum: u32 = bases.values().sum();
                let some = current.places.iter().any(|p| open(p) && p.weight.0 > 0);
                if sum != Share::WHOLE.0 && (some || sum != 0) {
                    return false;
                }
                let mut unit = false;
                let admit = || { unit = flag; flag };
                let Ok(place) = shift.choose_place(&mut rng, admit, |_| true) else {
                    if sum > 0 { return false; }
                    continue;
                };
                if !open(place) || (bases[&place.name] == 0 && !unit) {
                    return false;
                }
                let chosen = place.name.clone();
                shift.observe(&chosen, Millis(u64::from(value % 50)), false);
            }
        }
        true
    }
}
