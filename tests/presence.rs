//! Tests which entries a lookup names. Callers use all of them alike, so that an
//! entry that no lookup names serves nobody, and one that all name is overloaded.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use savorybeam::{
    domain::{EntryId, Mbps, Millis, Presence, RegionName},
    policy::presence::{Entries, announce_spread},
};

fn region(name: &str) -> RegionName {
    name.parse().expect("a valid name")
}

fn presence(n: u16, region_name: &str, link: u32) -> Presence {
    Presence {
        name: name(n),
        front: SocketAddr::from(([10, 0, 0, 1], 1_000 + n)),
        peer: None,
        link: Mbps(link),
        az: "a-1".parse().expect("a valid name"),
        region: region(region_name),
    }
}

fn name(n: u16) -> EntryId {
    format!("edge-{n}").parse().expect("a valid name")
}

/// Returns entries of which each tenth has a link that is ten times as fast.
fn large_region(count: u16) -> Entries {
    let mut entries = Entries::default();
    for n in 0..count {
        let link = if n % 10 == 0 { 200 } else { 20 };
        entries.join(presence(n, "north", link));
    }
    entries
}

/// Returns how often each port is named in the lookups of 1,000 callers.
fn named(entries: &Entries) -> BTreeMap<u16, u32> {
    let mut counts = BTreeMap::new();
    for caller in 0..1_000_u64 {
        let fronts = entries.lookup_addresses(Some(&region("north")), caller, None);
        for front in fronts {
            *counts.entry(front.port()).or_default() += 1;
        }
    }
    counts
}

/// Fails if entries of a large region are never named, or if those with a fast
/// link are not named more often than the others.
#[test]
fn lookups_use_every_entry_of_a_large_region_by_its_link() {
    let entries = large_region(98);
    let counts = named(&entries);
    let mean = |fast: bool| {
        let group = counts.iter().filter(|(port, _)| (**port % 10 == 0) == fast);
        let group: Vec<u32> = group.map(|(_, count)| *count).collect();
        group.iter().sum::<u32>() / u32::try_from(group.len()).expect("few")
    };
    let ratio = f64::from(mean(true)) / f64::from(mean(false));
    let size = entries
        .lookup_addresses(Some(&region("north")), 1, None)
        .len();
    insta::assert_snapshot!(
        format!("{} of 98 entries named, {size} in a lookup, fast links {ratio:.0} times as often", counts.len()),
        @"98 of 98 entries named, 16 in a lookup, fast links 7 times as often"
    );
}

/// Fails if callers of a region with few entries use all of them alike although their
/// links differ: those with a narrow link then hold answers for longer than objectives
/// allow. Also fails if a caller gets too few entries to try another one.
#[test]
fn callers_of_a_small_region_use_entries_by_their_links() {
    let lines = [(4, 4, 13), (4, 18, 10), (2, 2, 100)].map(|(fast, slow, link)| {
        let mut entries = Entries::default();
        for n in 0..fast + slow {
            let link = if n < fast { 200 } else { link };
            entries.join(presence(n, "north", link));
        }
        let counts = named(&entries);
        let all: u32 = counts.values().sum();
        let of_fast: u32 = counts.range(..1_000 + fast).map(|(_, count)| count).sum();
        format!(
            "{fast} of 200 and {slow} of {link} Mbit/s: {} named, {} for each caller, {} in 100 uses are of fast links",
            counts.len(),
            all / 1_000,
            of_fast * 100 / all
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Fails if a caller loses more entries than the one that has left, because it
/// closes its connections to those that a new response does not name.
#[test]
fn a_caller_keeps_its_entries_when_another_one_leaves() {
    let mut entries = large_region(98);
    let north = region("north");
    let lookup = |entries: &Entries, leaving: Option<&EntryId>| {
        let fronts = entries.lookup_addresses(Some(&north), 7, leaving);
        fronts.into_iter().collect::<BTreeSet<_>>()
    };
    let before = lookup(&entries, None);
    let mut lost = Vec::new();
    for n in 0..98 {
        let during = lookup(&entries, Some(&name(n)));
        lost.push(before.difference(&during).count());
    }
    entries.join(presence(98, "north", 20));
    let after = lookup(&entries, None);
    let (most, joined) = (lost.iter().max(), before.difference(&after).count());
    insta::assert_snapshot!(format!("{most:?} lost at most, {joined} when one joins"), @"Some(1) lost at most, 1 when one joins");
}

/// Fails if a region with few entries names only some of them, if a lookup names
/// an entry that is leaving, or if callers of a region without entries get none.
#[test]
fn small_regions_name_all_their_entries() {
    let mut entries = Entries::default();
    for n in 0..16 {
        entries.join(presence(n, "north", 20));
    }
    entries.join(presence(20, "south", 20));
    let count = |of: &str, leaving: Option<u16>| {
        let leaving = leaving.map(name);
        let fronts = entries.lookup_addresses(Some(&region(of)), 7, leaving.as_ref());
        fronts.len()
    };
    let counts = [
        count("north", None),
        count("north", Some(3)),
        count("south", None),
        count("south", Some(20)),
        count("west", None),
    ];
    insta::assert_debug_snapshot!(counts, @r"
    [
        16,
        15,
        1,
        16,
        16,
    ]
    ");
}

/// Fails if an entry that has just started, after the leases of all entries have
/// expired, takes itself for the only one and uses a whole limit that all of them
/// share.
#[test]
fn an_entry_that_has_just_started_does_not_know_all_others() {
    let mut entries = Entries::default();
    let mut seen = vec![entries.is_settled(Millis(60_000), Millis(1_500))];
    for at in [1_000, 2_000, 3_999, 4_000] {
        // A later announcement, after the lease was lost, does not start the time again.
        entries.record_announced(Millis(at));
        entries.record_state(Millis(at));
        seen.push(entries.is_settled(Millis(at), Millis(1_500)));
    }
    insta::assert_compact_debug_snapshot!(seen, @"[false, false, false, false, true]");
}

/// Fails if entries that start while the store is down, and read the complete state from
/// a seed, take themselves for the only ones after some time, or if one does so that has
/// been announced and has read nothing since.
#[test]
fn an_entry_does_not_know_others_before_the_store_lists_it() {
    let mut entries = Entries::default();
    let mut seen = Vec::new();
    let mut look = |entries: &Entries, at| seen.push(entries.is_settled(Millis(at), Millis(1_500)));
    entries.record_state(Millis(1_000));
    look(&entries, 60_000);
    entries.record_announced(Millis(60_000));
    entries.record_state(Millis(59_999));
    look(&entries, 90_000);
    entries.record_state(Millis(90_000));
    look(&entries, 90_000);
    insta::assert_compact_debug_snapshot!(seen, @"[false, false, true]");
}

/// Fails if an entry that restarts, and has forgotten what it sent, uses its share of the
/// rate of a cold target twice in a second, however short the time between polls is.
#[test]
fn a_restarted_entry_has_no_share_for_a_second() {
    let mut entries = Entries::default();
    entries.record_announced(Millis(1_000));
    entries.record_state(Millis(1_000));
    let shares =
        [1_000, 2_000, 2_499, 2_500].map(|at| entries.sharers(Millis(at), Millis(0), &[1]).len());
    insta::assert_compact_debug_snapshot!(shares, @"[0, 0, 0, 1]");
}

/// Fails if an entry that restarts while its announcement is still listed leaves its part
/// of a quota unused until it is settled, or uses it while its former run may, if one that
/// finds only its own new announcement does not wait, or if one does not that has read
/// only a state from before its start.
#[test]
fn a_listed_entry_knows_the_others_early() {
    let knows = |(listed, first_state): ([bool; 2], u64)| {
        let mut entries = Entries::new(Millis(500));
        for is_listed in listed {
            entries.record_read(is_listed);
        }
        entries.record_state(Millis(first_state));
        entries.record_announced(Millis(1_000));
        let early =
            [1_499, 1_500].map(|at| entries.knows_parts(Millis(at), Millis(900), Millis(1_000)));
        entries.record_state(Millis(1_100));
        let late = [1_499, 1_500, 3_399, 3_400]
            .map(|at| entries.knows_parts(Millis(at), Millis(900), Millis(1_000)));
        (early, late)
    };
    let seen = [
        ([true, true], 501),
        ([false, true], 501),
        ([true, true], 500),
    ]
    .map(knows);
    insta::assert_compact_debug_snapshot!(seen, @"[([false, true], [false, true, true, true]), ([false, false], [false, false, false, true]), ([false, false], [false, true, true, true])]");
}

/// Fails if an entry whose lease has run out no longer counts when a limit is divided,
/// although it may still use its share, or if the last entry never gets the shares of
/// those that are gone.
#[test]
fn departed_entries_keep_their_shares_for_a_time() {
    let mut entries = large_region(3);
    (1..3).for_each(|n| _ = entries.leave(Millis(1_000), &name(n)));
    let sharers = [1_000, 16_000, 16_001].map(|at| entries.with_departed(Millis(at)).count());
    insta::assert_compact_debug_snapshot!(sharers, @"[3, 3, 1]");
}

/// Fails if the announcements of all entries, after the store has lost them, exceed
/// the 400 writes per second that it accepts, or if they take so long that an entry
/// which is kept for 4 s is no longer named.
#[test]
fn announcements_after_a_loss_are_spread() {
    let spreads = [1, 9, 90, 295, 2_800].map(|n| (n, announce_spread(n).0));
    for (entries, spread) in spreads {
        if entries <= 295 {
            // The renewals are spread over a second as well.
            assert!(2 * entries * 1_000 <= 400 * usize::try_from(spread.max(1_000)).expect("ms"));
        }
        assert!(spread + 1_000 < 4_000);
    }
    insta::assert_compact_debug_snapshot!(spreads, @"[(1, 7), (9, 63), (90, 630), (295, 2000), (2800, 2000)]");
}
