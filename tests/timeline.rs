//! Tests the timeline. A stamp that did not round-trip, or that was smaller
//! than an earlier one, would order an effect before its cause.

use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use savorybeam::{
    adapters::{
        events::{Line, decode, encode},
        http::Query,
    },
    domain::{EntryId, Millis},
    policy::timeline::{
        Event, EventRing, HybridClock, Kind, MAX_CLOCK_SKEW, MAX_EVENTS, Stamp, StateSnapshot, Utc,
        events_between, merge,
    },
};

#[derive(Clone, Debug)]
struct ArbitraryEvent(Event);

impl Arbitrary for ArbitraryEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        // A small range of values makes equal times and entries frequent.
        let entry = *g.choose(&["e1", "e2", "e-3.x"]).expect("one of three");
        Self(Event {
            stamp: Stamp {
                wall_time: Millis(u64::arbitrary(g) % 5),
                counter: u32::arbitrary(g) % 3,
                entry: entry.parse().expect("a name"),
            },
            kind: *g.choose(Kind::ALL).expect("there are kinds"),
            text: String::arbitrary(g),
        })
    }
}

fn entry(name: &str) -> EntryId {
    name.parse().expect("a name")
}

fn event(stamp: &str, kind: Kind, text: &str) -> Event {
    Event {
        stamp: stamp.parse().expect("a stamp"),
        kind,
        text: text.to_owned(),
    }
}

quickcheck! {
    fn stamps_round_trip(wall: u64, counter: u32) -> bool {
        let stamp = Stamp { wall_time: Millis(wall), counter, entry: entry("e-1.a") };
        stamp.to_string().parse() == Ok(stamp)
    }

    fn only_canonical_texts_parse_as_stamps(text: String) -> bool {
        text.parse::<Stamp>().map_or(true, |s| s.to_string() == text)
    }

    fn events_round_trip(arbitrary: ArbitraryEvent) -> bool {
        let line = Line::Event(arbitrary.0);
        decode(&encode(&line).to_string()) == Ok(line)
    }

    fn an_arbitrary_line_round_trips_or_is_rejected(text: String) -> bool {
        decode(&text).map_or(true, |line| decode(&encode(&line).to_string()) == Ok(line))
    }

    fn the_stamps_of_a_clock_increase(walls: Vec<u16>) -> bool {
        let mut clock = HybridClock::new(entry("e1"));
        let stamps: Vec<Stamp> = walls.iter().map(|w| clock.tick(Millis((*w).into()))).collect();
        stamps.windows(2).all(|pair| pair[0] < pair[1])
    }

    fn an_effect_sorts_after_its_cause(walls: Vec<(u16, u16)>) -> bool {
        let (mut one, mut two) = (HybridClock::new(entry("e1")), HybridClock::new(entry("e2")));
        walls.iter().all(|(a, b)| {
            let cause = one.tick(Millis((*a).into()));
            let adopted = two.receive(&cause, Millis((*b).into()));
            !adopted || cause < two.tick(Millis((*b).into()))
        })
    }

    fn merging_sorts_and_removes_duplicates(lists: Vec<Vec<ArbitraryEvent>>) -> bool {
        let lists: Vec<Vec<Event>> =
            lists.into_iter().map(|l| l.into_iter().map(|e| e.0).collect()).collect();
        let merged = merge(lists.clone());
        let mut naive: Vec<Stamp> = lists.concat().into_iter().map(|e| e.stamp).collect();
        naive.sort();
        naive.dedup();
        merged.into_iter().map(|e| e.stamp).collect::<Vec<_>>() == naive
    }

    fn queries_round_trip(pairs: Vec<(String, String)>) -> TestResult {
        let mut names: Vec<&String> = pairs.iter().map(|(n, _)| n).collect();
        names.sort();
        names.dedup();
        if names.len() != pairs.len() || names.iter().any(|n| n.is_empty()) {
            return TestResult::discard();
        }
        let query = pairs.iter().fold(Query::default(), |q, (n, v)| q.with(n, v));
        TestResult::from_bool(query.to_string().parse() == Ok(query))
    }

    fn an_arbitrary_query_round_trips_or_is_rejected(text: String) -> bool {
        text.parse::<Query>().map_or(true, |q| q.to_string().parse() == Ok(q))
    }
}

#[test]
fn a_stamp_too_far_ahead_of_the_wall_clock_is_ignored() {
    let mut clock = HybridClock::new(entry("e1"));
    let now = Millis(1_000_000);
    let ahead = |by: Millis| Stamp {
        wall_time: now + by,
        counter: 0,
        entry: entry("e2"),
    };
    let near = clock.receive(&ahead(MAX_CLOCK_SKEW), now);
    let far = clock.receive(&ahead(MAX_CLOCK_SKEW + Millis(1)), now);
    insta::assert_snapshot!(format!("{near} {far} {}", clock.tick(now)), @"true false 1060000.1@e1");
}

#[test]
fn a_ring_keeps_the_latest_events() {
    let mut ring = EventRing::default();
    for n in 0..MAX_EVENTS + 3 {
        let kind = if n % 2 == 0 {
            Kind::StoreUp
        } else {
            Kind::StoreDown
        };
        ring.push(event(&format!("{n}.0@e1"), kind, ""));
    }
    let all = ring.after(None, None, usize::MAX);
    let after = "4090.0@e1".parse().expect("a stamp");
    let last = ring.after(Some(&after), None, 2);
    let texts: Vec<String> = last.iter().map(|e| e.stamp.to_string()).collect();
    let seen = (all.len(), all[0].stamp.to_string(), ring.dropped(), texts);
    insta::assert_debug_snapshot!(seen, @r#"
    (
        4096,
        "3.0@e1",
        3,
        [
            "4097.0@e1",
            "4098.0@e1",
        ],
    )
    "#);
}

#[test]
fn events_of_two_entries_are_merged() {
    let one = vec![
        event(
            "1764846202123.0@e1",
            Kind::EditAccepted,
            "slotboard put at revision 5",
        ),
        event(
            "1764846202130.0@e1",
            Kind::RevisionAdopted,
            "slotboard revision 5",
        ),
    ];
    let two = vec![
        event(
            "1764846202123.1@e2",
            Kind::RevisionAdopted,
            "slotboard revision 5",
        ),
        event(
            "1764846203000.0@e2",
            Kind::DrainStarted,
            "slotboard place reykjanes-1",
        ),
    ];
    let merged = merge([two, one.clone(), one]);
    let lines: Vec<String> = merged.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn dates_are_correct_around_leap_days() {
    let days = [
        0,
        951_782_400_000,
        951_868_800_000,
        1_709_164_800_000,
        4_107_542_399_999,
    ];
    let all: Vec<String> = days.iter().map(|ms| Utc(Millis(*ms)).to_string()).collect();
    insta::assert_snapshot!(all.join("\n"), @"
    1970-01-01T00:00:00.000Z
    2000-02-29T00:00:00.000Z
    2000-03-01T00:00:00.000Z
    2024-02-29T00:00:00.000Z
    2100-02-28T23:59:59.999Z
    ");
}

#[test]
fn errors_of_invalid_stamps_state_the_format() {
    let invalid = [
        "",
        "5@e1",
        "5.0",
        "+5.0@e1",
        "05.0@e1",
        "5.4294967296@e1",
        "5.0@E1",
    ];
    let all: Vec<String> = invalid
        .iter()
        .map(|s| s.parse::<Stamp>().expect_err("it is invalid").to_string())
        .collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn a_drain_and_an_outage_are_reported_once() {
    let snapshot = |ready, store_down, leaving: &[(&str, u64)]| StateSnapshot {
        ready,
        store_down,
        leaving: leaving.iter().map(|(n, r)| ((*n).to_owned(), *r)).collect(),
    };
    let snapshots = [
        snapshot(false, false, &[]),
        snapshot(true, false, &[]),
        snapshot(true, true, &[("slotboard place a", 2)]),
        snapshot(
            true,
            true,
            &[("slotboard place a", 1), ("slotboard place b", 0)],
        ),
        snapshot(
            true,
            false,
            &[("slotboard place a", 0), ("slotboard place b", 0)],
        ),
        snapshot(true, false, &[("slotboard place b", 0)]),
    ];
    let mut seen = Vec::new();
    for (n, pair) in snapshots.windows(2).enumerate() {
        let events = events_between(&pair[0], &pair[1]);
        seen.extend(
            events
                .iter()
                .map(|(kind, text)| format!("{} {kind}: {text}", n + 1)),
        );
    }
    insta::assert_snapshot!(seen.join("\n"), @"
    1 entry-ready: the entry serves requests
    2 store-down: the latest call failed
    2 drain-started: slotboard place a: 2 requests from this entry are running
    3 drain-started: slotboard place b: 0 requests from this entry are running
    3 drain-completed: slotboard place b: no requests from this entry are running
    4 store-up: the latest call was answered
    4 drain-completed: slotboard place a: no requests from this entry are running
    5 drain-cancelled: slotboard place a accepts new requests again or was removed
    ");
}
