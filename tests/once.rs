//! Guards at-most-once execution of keyed requests: a second execution pays a
//! farmer twice, and a false `not-run` drops a payout silently.

mod claims;
mod history;

use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;
use claims::{LIMITS, Rules, World, key};
use history::{Event, Told, violations};
use quickcheck::{QuickCheck, quickcheck};
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Epoch, Incarnation, Millis, Size},
    policy::once::{
        Answer, AttemptId, Bucket, ClaimKey, Claimant, Fingerprint, Finish, HomeSet, Limits,
        Member, RETENTION, Register, Release, Reply, Roster, RosterEntry, TOMBSTONE, Vote,
    },
};

fn world(seed: u64, rules: Rules) -> World {
    let sizes = [
        (1, 1),
        (1, 2),
        (1, 3),
        (2, 4),
        (2, 5),
        (3, 3),
        (3, 6),
        (3, 9),
        (4, 8),
    ];
    let (regions, entries) = sizes[(seed % 9) as usize];
    let mut world = World::new(seed, rules, regions, entries);
    world.run(600, 1 + (seed / 9 % 10) as u32);
    world.settle();
    world
}

fn faults(seed: u64, rules: Rules) -> Vec<String> {
    violations(&world(seed, rules).history, RETENTION.0)
}

/// Loss, duplication, delay, reordering, paused and dead claimants, restarted
/// homes, rosters in two views and cut regions, all at once.
#[test]
fn random_histories_have_no_violation() {
    fn holds(seed: u64) -> bool {
        faults(seed, Rules::Quorum).is_empty()
    }
    let mut check = QuickCheck::new().tests(800);
    check.quickcheck(holds as fn(u64) -> bool);
}

/// A schedule that no naive version fails would prove nothing about ours.
#[test]
fn the_same_histories_break_naive_rules() {
    for rules in [Rules::Unread, Rules::Single, Rules::Expiry] {
        let broken = (0..300).filter(|s| !faults(*s, rules).is_empty()).count();
        assert!(broken >= 10, "{rules:?} fails only {broken} of 300 seeds");
        let mended = (0..300).find(|s| !faults(*s, Rules::Quorum).is_empty());
        assert_eq!(mended, None);
    }
}

/// Guards against a schedule that is so rough that nothing is ever executed.
#[test]
fn random_histories_reach_all_decisions() {
    let mut kinds = BTreeSet::new();
    let mut events = [0, 0];
    for seed in 0..100 {
        let world = world(seed, Rules::Quorum);
        kinds.extend(world.decisions.into_keys());
        for event in world.history {
            events[0] += u32::from(matches!(event, Event::Executed { .. }));
            events[1] += u32::from(matches!(
                event,
                Event::Returned {
                    told: Told::Answer(_),
                    ..
                }
            ));
        }
    }
    let [executed, answered] = events;
    assert!(executed >= 100, "only {executed} executions in 100 seeds");
    assert!(answered > executed, "no recorded answer was ever returned");
    insta::assert_debug_snapshot!(kinds, @r#"
    {
        "finished",
        "in progress",
        "reused",
        "unavailable",
        "won",
    }
    "#);
}

#[test]
fn the_checker_finds_each_violation() {
    let sent = |call, at| Event::Dispatched {
        call,
        key: Some("k".to_owned()),
        at,
    };
    let seen = |revision| Event::Seen {
        observer: "e1".to_owned(),
        service: "slotboard".to_owned(),
        revision,
    };
    let returned = |call, told| Event::Returned { call, told };
    let history = [
        returned(1, Told::NotRun),
        sent(1, 10),
        sent(2, 20),
        sent(3, 200),
        returned(2, Told::Answer("paid".to_owned())),
        seen(5),
        seen(4),
        seen(5),
    ];
    insta::assert_debug_snapshot!(violations(&history, 100));
}

fn entry(name: &str, region: &str, az: &str) -> RosterEntry {
    RosterEntry {
        member: member(name),
        region: region.parse().expect("a name"),
        az: az.parse().expect("a name"),
    }
}

fn member(name: &str) -> Member {
    Member {
        entry: name.parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn vote(key: &ClaimKey, attempt: u64, fingerprint: u128) -> Vote {
    Vote {
        key: key.clone(),
        fingerprint: Fingerprint(fingerprint),
        attempt: AttemptId(attempt),
        claimant: member("c"),
        epoch: Epoch(1),
    }
}

fn homes(epoch: u64, names: &[&str]) -> HomeSet {
    HomeSet {
        epoch: Epoch(epoch),
        members: names.iter().map(|n| member(n)).collect(),
    }
}

/// Returns a home that votes in epoch 1.
fn home(name: &str, key: &ClaimKey, limits: Limits) -> Register {
    let mut register = Register::new(member(name), key.bucket(), limits);
    register.adopt(&HomeSet::default(), &homes(1, &["a", "b", "c"]));
    register
}

fn release(key: &ClaimKey, attempt: u64) -> Release {
    Release {
        key: key.clone(),
        attempt: AttemptId(attempt),
    }
}

#[test]
fn homes_are_as_far_apart_as_the_roster_allows() {
    let all = [
        entry("a", "r1", "z1"),
        entry("b", "r1", "z1"),
        entry("c", "r1", "z2"),
        entry("d", "r2", "z1"),
        entry("e", "r2", "z1"),
        entry("f", "r3", "z1"),
    ];
    let spread = |entries: &[RosterEntry]| -> BTreeSet<(usize, usize, usize)> {
        let roster = Roster::new(Epoch(1), entries.iter().cloned());
        let rate = |bucket| {
            let homes = roster.homes(bucket).members;
            let of = |m: &Member| roster.entries().iter().find(|e| e.member == *m);
            let found: Vec<_> = homes.iter().filter_map(of).collect();
            let regions: BTreeSet<_> = found.iter().map(|e| &e.region).collect();
            let zones: BTreeSet<_> = found.iter().map(|e| (&e.region, &e.az)).collect();
            (homes.len(), zones.len(), regions.len())
        };
        Bucket::all().map(rate).collect()
    };
    let sizes = [&all[..], &all[..5], &all[..3], &all[..2], &all[..1], &[]];
    let lines: Vec<String> = sizes
        .iter()
        .map(|e| format!("{} entries: (homes, AZs, regions) {:?}", e.len(), spread(e)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

quickcheck! {
    /// Each changed home means that claims have to be read from other entries.
    fn one_entry_less_changes_at_most_one_home(count: u8, gone: u8) -> bool {
        let count = 2 + usize::from(count % 12);
        let entries = (0..count).map(|i| entry(&format!("e{i}"), &format!("r{}", i % 4), "z"));
        let entries: Vec<_> = entries.collect();
        let mut fewer = entries.clone();
        fewer.remove(usize::from(gone) % count);
        let [all, rest] = [entries, fewer].map(|e| Roster::new(Epoch(1), e));
        Bucket::all().step_by(64).all(|b| {
            let [before, after] = [&all, &rest].map(|r| r.homes(b).members);
            before.iter().filter(|m| !after.contains(m)).count() <= 1
        })
    }
}

/// Plays a claimant against the replies of its homes and prints the outcome.
fn outcome(fixed: &[(&str, Reply)]) -> String {
    let homes = homes(1, &["a", "b", "c"]);
    let mut claimant = Claimant::new(vote(&key("k"), 1, 7), homes.clone(), Millis(0));
    let mut decision = None;
    for (home, reply) in fixed {
        let made = claimant.on_reply(&member(home), Epoch(1), reply.clone());
        decision = decision.or(made);
    }
    let decision = decision
        .or_else(|| claimant.on_timeout())
        .expect("a decision");
    let may = claimant.dispatch(Millis(1));
    let releases = claimant.release(&homes).len();
    let refusal = decision.refusal(&mut SmallRng::seed_from_u64(1));
    let text = refusal.map_or_else(|| format!("{decision:?}"), |r| r.to_string());
    format!("{text}\n  may run: {may}, releases: {releases}")
}

/// Two claimants with one vote each must both give up. Whether that is
/// `not-run` depends on whether the third home may have voted for the other.
#[test]
fn split_votes_execute_nothing() {
    let key = key("k");
    let mut other = home("b", &key, LIMITS);
    other.vote(&vote(&key, 2, 7), Millis(0));
    let held = other.vote(&vote(&key, 1, 7), Millis(0));
    let mut third = home("c", &key, LIMITS);
    third.vote(&vote(&key, 3, 7), Millis(0));
    let third = third.vote(&vote(&key, 1, 7), Millis(0));
    let reused = other.vote(&vote(&key, 4, 8), Millis(0));
    let lines = [
        outcome(&[("a", Reply::Granted), ("c", Reply::Granted)]),
        outcome(&[("a", Reply::Granted), ("b", held.clone()), ("c", third)]),
        outcome(&[("a", Reply::Granted), ("b", held.clone())]),
        outcome(&[("b", held.clone()), ("c", held)]),
        outcome(&[("a", Reply::Granted), ("b", reused)]),
        outcome(&[("a", Reply::Granted), ("a", Reply::Granted)]),
        outcome(&[]),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn an_entry_without_a_roster_refuses_and_one_alone_executes() {
    let key = key("k");
    let none = Roster::default().homes(key.bucket());
    let mut claimant = Claimant::new(vote(&key, 1, 7), none, Millis(0));
    let refused = claimant.on_timeout().expect("a decision");
    let alone = Roster::new(Epoch(1), [entry("a", "r1", "z1")]).homes(key.bucket());
    let mut register = Register::new(member("a"), key.bucket(), LIMITS);
    register.adopt(&HomeSet::default(), &alone);
    let mut claimant = Claimant::new(vote(&key, 1, 7), alone, Millis(0));
    let reply = register.vote(&claimant.votes()[0].1, Millis(0));
    let won = claimant.on_reply(&member("a"), Epoch(1), reply);
    insta::assert_debug_snapshot!((refused, won));
}

/// A request that was paused for half a day must not be sent just before its
/// claim expires at the homes.
#[test]
fn a_winner_that_pauses_too_long_may_not_dispatch() {
    let won = || {
        let mut claimant = Claimant::new(vote(&key("k"), 1, 7), homes(1, &["a"]), Millis(5));
        claimant.on_reply(&member("a"), Epoch(1), Reply::Granted);
        claimant
    };
    assert!(won().dispatch(Millis(5 + RETENTION.0 / 2 - 1)));
    assert!(!won().dispatch(Millis(5 + RETENTION.0 / 2)));
}

/// Forgetting a claim early would allow a second execution, so a full register
/// refuses new keys until the retention of old ones ends.
#[test]
fn a_full_register_refuses_until_the_retention_ends() {
    // Keys of one bucket, so that one register holds them.
    let names = (0..).map(|i| key(&format!("k{i}")));
    let keys: Vec<ClaimKey> = names
        .filter(|k| k.bucket() == key("k0").bucket())
        .take(4)
        .collect();
    let limits = Limits {
        claims: 2,
        answers: Size(20),
    };
    let mut register = home("a", &keys[0], limits);
    let answer = |n| {
        Some(Arc::new(Answer::record(
            200,
            [],
            Some(Bytes::from(vec![b'x'; n])),
        )))
    };
    let finish = |i: usize, n| Finish {
        key: keys[i].clone(),
        fingerprint: Fingerprint(7),
        attempt: AttemptId(i as u64),
        answer: answer(n),
    };
    let mut log = Vec::new();
    let mut step = |name: &str, result: String| log.push(format!("{name}: {result}"));
    for (i, key) in keys.iter().enumerate().take(3) {
        let reply = register.vote(&vote(key, i as u64, 7), Millis(0));
        step("vote", format!("{reply:?}"));
    }
    step(
        "answer kept",
        register.finish(&finish(0, 15), Millis(10)).to_string(),
    );
    step(
        "no room for a body",
        register.finish(&finish(1, 15), Millis(10)).to_string(),
    );
    step(
        "no room for a claim",
        register.finish(&finish(3, 1), Millis(10)).to_string(),
    );
    for (i, key) in keys.iter().enumerate().take(2) {
        step(
            "repeat",
            format!("{:?}", register.vote(&vote(key, 9, 7), Millis(20))),
        );
        step(
            "other request",
            format!("{:?}", register.vote(&vote(key, 9, 8), Millis(20))),
        );
        assert!(i < 2);
    }
    let last = Millis(10 + RETENTION.0 - 1);
    step(
        "before the end",
        format!("{:?}", register.vote(&vote(&keys[2], 9, 7), last)),
    );
    register.tick(last + Millis(1));
    let reply = register.vote(&vote(&keys[2], 9, 7), last + Millis(1));
    step(
        "after the end",
        format!("{reply:?}, {} claims", register.len()),
    );
    insta::assert_snapshot!(log.join("\n"));
}

/// A vote that arrives after its release would hold the key for a day.
#[test]
fn a_released_attempt_gets_no_vote() {
    let key = key("k");
    let mut register = home("a", &key, LIMITS);
    register.release(&release(&key, 1), Millis(0));
    let late = register.vote(&vote(&key, 1, 7), Millis(1));
    let next = register.vote(&vote(&key, 2, 8), Millis(2));
    register.release(&release(&key, 2), Millis(3));
    register.tick(Millis(3) + TOMBSTONE);
    insta::assert_debug_snapshot!((late, next, register.len()));
}

/// Former homes that disagree: neither attempt may win in the new epoch, until
/// one of them is released.
#[test]
fn a_new_home_knows_all_possible_winners() {
    let key = key("k");
    let (now, max) = (Millis(0), Size::kib(200));
    let next = homes(2, &["a", "b", "d"]);
    let mut sources = [home("a", &key, LIMITS), home("b", &key, LIMITS)];
    sources[0].vote(&vote(&key, 1, 7), now);
    sources[1].vote(&vote(&key, 2, 7), now);
    let mut new = Register::new(member("d"), key.bucket(), LIMITS);
    new.adopt(&homes(1, &["a", "b", "c"]), &next);
    let in_two = |register: &mut Register, attempt| {
        let mut vote = vote(&key, attempt, 7);
        vote.epoch = Epoch(2);
        format!("{:?}", register.vote(&vote, now))
    };
    let mut log = vec![in_two(&mut new, 1)];
    for (to, read) in new.reads() {
        let Some(source) = ["a", "b"].iter().position(|n| to == member(n)) else {
            continue;
        };
        let page = sources[source].read(&read, now, max).expect("a page");
        new.on_page(&to, page.clone(), now);
        new.on_page(&to, page, now);
    }
    log.push(format!("{:?}", sources[0].vote(&vote(&key, 1, 7), now)));
    log.push(format!("ready: {}", new.is_ready()));
    log.push(in_two(&mut new, 1));
    log.push(in_two(&mut new, 2));
    new.release(&release(&key, 2), now);
    log.push(in_two(&mut new, 1));
    insta::assert_snapshot!(log.join("\n"));
}

/// Claims that were lost with two homes must not be taken for absent: the new
/// home waits until they have expired, and only if the former homes are known
/// to have ended.
#[test]
fn a_home_without_sources_waits_for_the_retention() {
    let key = key("k");
    let mut new = Register::new(member("d"), key.bucket(), LIMITS);
    new.adopt(&homes(1, &["a", "b", "c"]), &homes(2, &["c", "d", "e"]));
    let mut log = Vec::new();
    let mut after = |register: &mut Register, at: Millis| {
        register.tick(at);
        log.push(format!("{at}: ready {}", register.is_ready()));
    };
    after(&mut new, RETENTION + RETENTION);
    new.on_gone(&member("a"), RETENTION + RETENTION);
    new.on_gone(&member("b"), RETENTION + RETENTION + Millis(5));
    after(&mut new, Millis(3 * RETENTION.0 + 4));
    after(&mut new, Millis(3 * RETENTION.0 + 5));
    insta::assert_snapshot!(log.join("\n"));
}
