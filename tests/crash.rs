//! Tests the protection of targets against requests that crash them. A caller that
//! repeats such a request through several entries must not take down the service.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use savorybeam::{
    domain::{Incarnation, Millis},
    policy::{
        crash::{
            Admission, BLOCK_DURATION, Failure, FailureCause, RecentSuccesses, Stage, StrikeNotice,
            StrikeTable, is_strike, neighbour_places,
        },
        once::{Fingerprint, Member},
    },
};

/// The fingerprint of a request that crashes targets.
const CRASHING: Fingerprint = Fingerprint(7);

fn member(i: usize) -> Member {
    Member {
        entry: format!("e{i}").parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn tables(count: usize) -> Vec<StrikeTable> {
    (0..count)
        .map(|i| StrikeTable::new(member(i), 100))
        .collect()
}

/// Guards against a strike that does not reach some entry, and against entries that open
/// channels to many others to spread strikes.
#[test]
fn strikes_reach_all_entries_over_few_channels() {
    let mut lines = Vec::new();
    for len in [1, 2, 3, 9, 25, 100, 295] {
        let mut reached = BTreeSet::from([0]);
        let mut steps = 0;
        loop {
            let next = reached.iter().flat_map(|own| neighbour_places(*own, len));
            let next: BTreeSet<usize> = next.chain(reached.iter().copied()).collect();
            if next.len() == reached.len() {
                break;
            }
            (reached, steps) = (next, steps + 1);
        }
        let most = (0..len).map(|own| neighbour_places(own, len).len()).max();
        let (reached, most) = (reached.len(), most.unwrap_or(0));
        lines.push(format!(
            "{len} entries: {reached} reached in {steps} steps, {most} neighbours"
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    1 entries: 1 reached in 0 steps, 0 neighbours
    2 entries: 2 reached in 1 steps, 1 neighbours
    3 entries: 3 reached in 1 steps, 2 neighbours
    9 entries: 9 reached in 2 steps, 4 neighbours
    25 entries: 25 reached in 4 steps, 4 neighbours
    100 entries: 100 reached in 9 steps, 4 neighbours
    295 entries: 295 reached in 14 steps, 4 neighbours
    ");
}

/// Repeats a crashing request through random entries for less than ten minutes, and
/// returns how many targets crash. If `naive`, strikes are ignored and each repeat
/// runs. The notices sent before the response arrive at all entries; the periodic
/// exchange duplicates, delays and reorders them.
fn count_crashes(seed: u64, naive: bool) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries = tables(9);
    let mut late: Vec<StrikeNotice> = Vec::new();
    let (mut crashes, mut now) = (0, Millis(0));
    for _ in 0..40 {
        now = now + Millis(rng.random_range(0..BLOCK_DURATION.0 / 41));
        let i = rng.random_range(0..entries.len());
        if naive || !matches!(entries[i].admit(CRASHING, now), Admission::Refused(_)) {
            crashes += 1;
            let strike = entries[i].record_strike(CRASHING, now);
            entries[i].end_trial(CRASHING);
            entries.shuffle(&mut rng);
            for entry in &mut entries {
                let reply = entry.merge(&strike, now);
                late.extend(reply);
            }
            late.push(strike);
        }
        late.shuffle(&mut rng);
        for notice in late.iter().take(3) {
            let i = rng.random_range(0..entries.len());
            entries[i].merge(notice, now);
        }
    }
    crashes
}

quickcheck! {
    fn a_repeated_crash_takes_at_most_two_targets(seed: u64) -> bool {
        count_crashes(seed, false) == 2 && count_crashes(seed, true) == 40
    }

    /// Notices arrive in any order and more than once, which must not affect the result
    /// of merging them.
    fn merging_ignores_order_and_duplicates(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut notices = Vec::new();
        let mut sources = tables(4);
        for t in 0..rng.random_range(1..12) {
            let i = rng.random_range(0..sources.len());
            let now = Millis(t);
            if rng.random_ratio(1, 5) {
                notices.extend(sources[i].clear(CRASHING, now));
            } else {
                notices.push(sources[i].record_strike(CRASHING, now));
            }
            let j = rng.random_range(0..sources.len());
            if let Some(last) = notices.last() {
                sources[j].merge(last, now);
            }
        }
        let end = Millis(100);
        let mut counts = BTreeSet::new();
        for copies in 1..5 {
            notices.shuffle(&mut rng);
            let mut table = StrikeTable::new(member(9), 100);
            for notice in std::iter::repeat_n(&notices, copies).flatten() {
                table.merge(notice, end);
            }
            counts.insert(table.count(CRASHING, end));
        }
        counts.len() == 1
    }
}

#[test]
fn strikes_block_for_ten_minutes_and_can_be_cleared() {
    let mut here = StrikeTable::new(member(0), 100);
    let mut peer = StrikeTable::new(member(1), 100);
    let mut log = Vec::new();
    let mut step = |name: &str, table: &mut StrikeTable, at: u64| {
        let now = Millis(at);
        let hedge = table.may_hedge(CRASHING, now);
        let admission = match table.admit(CRASHING, now) {
            Admission::Refused(refusal) => format!("{refusal}, retry {:?}", refusal.retry_after),
            other => format!("{other:?}"),
        };
        log.push(format!("{at} {name}: {admission}, hedge {hedge}"));
    };
    step("first", &mut here, 0);
    let first = here.record_strike(CRASHING, Millis(10));
    peer.merge(&first, Millis(12));
    step("one strike", &mut peer, 20);
    step("second at the same time", &mut peer, 30);
    let second = peer.record_strike(CRASHING, Millis(1000));
    peer.end_trial(CRASHING);
    step("two strikes", &mut peer, 1001);
    here.merge(&second, Millis(1001));
    step("two strikes at the other", &mut here, 1001);
    step(
        "just before the end",
        &mut here,
        1000 + BLOCK_DURATION.0 - 1,
    );
    step("after the end", &mut here, 1001 + BLOCK_DURATION.0);
    here.record_strike(CRASHING, Millis(2000 + BLOCK_DURATION.0));
    let third = here.record_strike(CRASHING, Millis(2001 + BLOCK_DURATION.0));
    peer.merge(&third, Millis(2002 + BLOCK_DURATION.0));
    step("blocked again", &mut peer, 2002 + BLOCK_DURATION.0);
    let cleared = here
        .clear(CRASHING, Millis(2003 + BLOCK_DURATION.0))
        .expect("known");
    peer.merge(&third, Millis(2004 + BLOCK_DURATION.0));
    peer.merge(&cleared, Millis(2005 + BLOCK_DURATION.0));
    peer.merge(&third, Millis(2006 + BLOCK_DURATION.0));
    step(
        "cleared by the operator",
        &mut peer,
        2007 + BLOCK_DURATION.0,
    );
    insta::assert_snapshot!(log.join("\n"));
}

/// The periodic exchange repeats a notice until its strikes expire, which must
/// neither extend nor renew the block.
#[test]
fn repeated_notices_do_not_extend_a_block() {
    let mut here = StrikeTable::new(member(0), 100);
    let mut peer = StrikeTable::new(member(1), 100);
    here.record_strike(CRASHING, Millis(0));
    let mut notice = here.record_strike(CRASHING, Millis(0));
    peer.merge(&notice, Millis(0));
    peer.merge(&notice, Millis(5000));
    assert_eq!(peer.count(CRASHING, Millis(BLOCK_DURATION.0 - 1)), 2);
    assert_eq!(peer.count(CRASHING, BLOCK_DURATION), 0);
    notice.age = BLOCK_DURATION;
    let mut new = StrikeTable::new(member(2), 100);
    assert_eq!(new.merge(&notice, BLOCK_DURATION), None);
    assert!(new.is_empty(), "the block has ended");
    notice.age = Millis(BLOCK_DURATION.0 - 7);
    new.merge(&notice, BLOCK_DURATION);
    assert_eq!(new.count(CRASHING, BLOCK_DURATION + Millis(6)), 2);
    assert_eq!(new.count(CRASHING, BLOCK_DURATION + Millis(7)), 0);
}

/// If a member removed its strikes and started again at one, a peer that has cleared
/// the old strikes would take the new one for cleared.
#[test]
fn a_forgotten_total_is_never_reused() {
    let mut here = StrikeTable::new(member(0), 1);
    let mut peer = StrikeTable::new(member(1), 100);
    peer.merge(&here.record_strike(CRASHING, Millis(0)), Millis(0));
    peer.clear(CRASHING, Millis(1));
    here.record_strike(Fingerprint(8), Millis(1));
    assert_eq!(
        here.count(CRASHING, Millis(1)),
        0,
        "the table has space for one fingerprint"
    );
    peer.merge(&here.record_strike(CRASHING, Millis(2)), Millis(2));
    assert_eq!(peer.count(CRASHING, Millis(2)), 1);
}

/// A caller that causes failures with many different requests must not evict a
/// blocked fingerprint.
#[test]
fn blocked_fingerprints_are_not_evicted_first() {
    let mut table = StrikeTable::new(member(0), 10);
    table.record_strike(CRASHING, Millis(0));
    table.record_strike(CRASHING, Millis(0));
    for i in 100..200 {
        table.record_strike(Fingerprint(i), Millis(1));
    }
    let counts = [CRASHING, Fingerprint(100), Fingerprint(199)].map(|f| table.count(f, Millis(2)));
    assert_eq!((table.len(), counts), (10, [2, 0, 1]));
    table.tick(Millis(1) + BLOCK_DURATION);
    assert!(table.is_empty());
}

/// The periodic exchange sends all strikes in messages of limited size.
#[test]
fn pages_contain_all_strikes() {
    let mut table = StrikeTable::new(member(0), 100);
    for i in 0..25 {
        table.record_strike(Fingerprint(i), Millis(0));
    }
    let (mut seen, mut after) = (Vec::new(), None);
    loop {
        let page = table.page(after, 10, Millis(1));
        let Some(last) = page.last() else {
            break;
        };
        after = Some(last.fingerprint);
        seen.extend(page.iter().map(|s| s.fingerprint.0));
    }
    assert_eq!(seen, (0..25).collect::<Vec<_>>());
}

/// Only failures that indicate a crash are strikes. The failure of a rack must not
/// block the popular requests that were running in it.
#[test]
fn which_failures_are_strikes() {
    let mut lines = Vec::new();
    for stage in [Stage::Unsent, Stage::Written, Stage::Answered] {
        for cause in [
            FailureCause::Broken,
            FailureCause::Silent,
            FailureCause::Cancelled,
        ] {
            for (leaving, succeeded) in [(false, false), (true, false), (false, true)] {
                let failure = Failure {
                    stage,
                    cause,
                    leaving,
                };
                if is_strike(failure, succeeded) {
                    lines.push(format!("{failure:?}, succeeded {succeeded}"));
                }
            }
        }
    }
    let mut successes = RecentSuccesses::new();
    successes.insert(CRASHING, Millis(0));
    let excused = [0, 299_999, 300_000].map(|t| successes.contains(CRASHING, Millis(t)));
    lines.push(format!("excused at 0 s, before and at 300 s: {excused:?}"));
    insta::assert_snapshot!(lines.join("\n"));
}
