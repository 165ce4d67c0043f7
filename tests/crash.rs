//! Guards targets against requests that crash them: a caller that repeats such
//! a request through one entry after the other must not take down the service.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use savorybeam::{
    domain::{Incarnation, Millis},
    policy::{
        crash::{Admission, BLOCK, Ending, Failure, Stage, Strike, Strikes, Successes, is_strike},
        once::{Fingerprint, Member},
    },
};

const BAD: Fingerprint = Fingerprint(7);

fn member(i: usize) -> Member {
    Member {
        entry: format!("e{i}").parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn tables(count: usize) -> Vec<Strikes> {
    (0..count).map(|i| Strikes::new(member(i), 100)).collect()
}

/// Repeats a crashing request through random entries for less than ten minutes,
/// and returns how many targets it takes down. Notices that are pushed before
/// the response arrive; the periodic exchange duplicates, delays and reorders
/// them.
fn lost(seed: u64, naive: bool) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries = tables(9);
    let mut late: Vec<Strike> = Vec::new();
    let (mut lost, mut now) = (0, Millis(0));
    for _ in 0..40 {
        now = now + Millis(rng.random_range(0..BLOCK.0 / 41));
        let i = rng.random_range(0..entries.len());
        if naive || !matches!(entries[i].admit(BAD, now), Admission::Refused(_)) {
            lost += 1;
            let strike = entries[i].strike(BAD, now);
            entries[i].end_trial(BAD);
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
    lost
}

quickcheck! {
    fn a_repeated_crash_takes_at_most_two_targets(seed: u64) -> bool {
        lost(seed, false) == 2 && lost(seed, true) == 40
    }

    /// Gossip has no order, so the result of merging must not depend on it.
    fn merging_ignores_order_and_duplicates(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut notices = Vec::new();
        let mut sources = tables(4);
        for t in 0..rng.random_range(1..12) {
            let i = rng.random_range(0..sources.len());
            let now = Millis(t);
            if rng.random_ratio(1, 5) {
                notices.extend(sources[i].clear(BAD, now));
            } else {
                notices.push(sources[i].strike(BAD, now));
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
            let mut table = Strikes::new(member(9), 100);
            for notice in std::iter::repeat_n(&notices, copies).flatten() {
                table.merge(notice, end);
            }
            counts.insert(table.count(BAD, end));
        }
        counts.len() == 1
    }
}

#[test]
fn strikes_block_for_ten_minutes_and_can_be_cleared() {
    let mut here = Strikes::new(member(0), 100);
    let mut peer = Strikes::new(member(1), 100);
    let mut log = Vec::new();
    let mut step = |name: &str, table: &mut Strikes, at: u64| {
        let now = Millis(at);
        let hedge = table.may_hedge(BAD, now);
        let admission = match table.admit(BAD, now) {
            Admission::Refused(refusal) => format!("{refusal}, retry {:?}", refusal.retry_after),
            other => format!("{other:?}"),
        };
        log.push(format!("{at} {name}: {admission}, hedge {hedge}"));
    };
    step("first", &mut here, 0);
    let first = here.strike(BAD, Millis(10));
    peer.merge(&first, Millis(12));
    step("one strike", &mut peer, 20);
    step("second at the same time", &mut peer, 30);
    let second = peer.strike(BAD, Millis(1000));
    peer.end_trial(BAD);
    step("two strikes", &mut peer, 1001);
    here.merge(&second, Millis(1001));
    step("two strikes at the other", &mut here, 1001);
    step("just before the end", &mut here, 1000 + BLOCK.0 - 1);
    step("after the end", &mut here, 1001 + BLOCK.0);
    here.strike(BAD, Millis(2000 + BLOCK.0));
    let third = here.strike(BAD, Millis(2001 + BLOCK.0));
    peer.merge(&third, Millis(2002 + BLOCK.0));
    step("blocked again", &mut peer, 2002 + BLOCK.0);
    let cleared = here.clear(BAD, Millis(2003 + BLOCK.0)).expect("known");
    peer.merge(&third, Millis(2004 + BLOCK.0));
    peer.merge(&cleared, Millis(2005 + BLOCK.0));
    peer.merge(&third, Millis(2006 + BLOCK.0));
    step("cleared by the operator", &mut peer, 2007 + BLOCK.0);
    insta::assert_snapshot!(log.join("\n"));
}

/// Gossip repeats a notice for as long as it is known, which must not prolong
/// the block or renew it.
#[test]
fn repeated_notices_do_not_prolong_a_block() {
    let mut here = Strikes::new(member(0), 100);
    let mut peer = Strikes::new(member(1), 100);
    here.strike(BAD, Millis(0));
    let mut notice = here.strike(BAD, Millis(0));
    peer.merge(&notice, Millis(0));
    peer.merge(&notice, Millis(5000));
    assert_eq!(peer.count(BAD, Millis(BLOCK.0 - 1)), 2);
    assert_eq!(peer.count(BAD, BLOCK), 0);
    notice.age = BLOCK;
    let mut new = Strikes::new(member(2), 100);
    assert_eq!(new.merge(&notice, BLOCK), None);
    assert!(new.is_empty(), "the block has ended");
    notice.age = Millis(BLOCK.0 - 7);
    new.merge(&notice, BLOCK);
    assert_eq!(new.count(BAD, BLOCK + Millis(6)), 2);
    assert_eq!(new.count(BAD, BLOCK + Millis(7)), 0);
}

/// A member that forgets its strikes and counts from one again would have its
/// new strike taken for the old one, which a peer has cleared.
#[test]
fn a_forgotten_total_is_never_reused() {
    let mut here = Strikes::new(member(0), 1);
    let mut peer = Strikes::new(member(1), 100);
    peer.merge(&here.strike(BAD, Millis(0)), Millis(0));
    peer.clear(BAD, Millis(1));
    here.strike(Fingerprint(8), Millis(1));
    assert_eq!(here.count(BAD, Millis(1)), 0, "the table holds one only");
    peer.merge(&here.strike(BAD, Millis(2)), Millis(2));
    assert_eq!(peer.count(BAD, Millis(2)), 1);
}

/// A caller that produces many failures must not evict a blocked request.
#[test]
fn eviction_spares_blocked_requests() {
    let mut table = Strikes::new(member(0), 10);
    table.strike(BAD, Millis(0));
    table.strike(BAD, Millis(0));
    for i in 100..200 {
        table.strike(Fingerprint(i), Millis(1));
    }
    let counts = [BAD, Fingerprint(100), Fingerprint(199)].map(|f| table.count(f, Millis(2)));
    assert_eq!((table.len(), counts), (10, [2, 0, 1]));
    table.tick(Millis(1) + BLOCK);
    assert!(table.is_empty());
}

/// The periodic exchange must reach all strikes in bounded messages.
#[test]
fn pages_cover_the_table() {
    let mut table = Strikes::new(member(0), 100);
    for i in 0..25 {
        table.strike(Fingerprint(i), Millis(0));
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

/// Only evidence of a crash counts. A lost rack must not block the popular
/// requests that were running in it.
#[test]
fn which_failures_are_strikes() {
    let mut lines = Vec::new();
    for stage in [Stage::Unsent, Stage::Written, Stage::Answered] {
        for ending in [Ending::Broken, Ending::Silent, Ending::Cancelled] {
            for (leaving, succeeded) in [(false, false), (true, false), (false, true)] {
                let failure = Failure {
                    stage,
                    ending,
                    leaving,
                };
                if is_strike(failure, succeeded) {
                    lines.push(format!("{failure:?}, succeeded {succeeded}"));
                }
            }
        }
    }
    let mut successes = Successes::new();
    successes.insert(BAD, Millis(0));
    let excused = [0, 299_999, 300_000].map(|t| successes.contains(BAD, Millis(t)));
    lines.push(format!("excused at 0 s, before and at 300 s: {excused:?}"));
    insta::assert_snapshot!(lines.join("\n"));
}
