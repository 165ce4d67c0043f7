//! Tests rules of claims that random schedules rarely exercise. Without one of them,
//! a key could be executed twice or be blocked for a day.

use std::{collections::BTreeSet, fmt::Debug, sync::Arc};

use bytes::Bytes;
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};
use savorybeam::{
    domain::{Epoch, Incarnation, Millis, Size},
    policy::once::{
        Answer, AttemptId, Bucket, CLAIM_RETENTION, ClaimKey, ClaimLimits, ClaimTable, Claimant,
        Decision, Fingerprint, Finish, HomeSet, Member, MessageId, Outbox, RefusalReason, Release,
        Roster, RosterEntry, TOMBSTONE_RETENTION, TransferRequest, VoteReply, VoteRequest,
    },
};

const LIMITS: ClaimLimits = ClaimLimits {
    claims: 100,
    answers: Size::kib(64),
};

fn key(name: &str) -> ClaimKey {
    ClaimKey {
        service: "payout-ledger".parse().expect("a name"),
        key: name.parse().expect("a key"),
    }
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

fn vote(key: &ClaimKey, attempt: u64, fingerprint: u128) -> VoteRequest {
    VoteRequest {
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

/// Returns the claim table of a home that votes in epoch 1.
fn home(name: &str, key: &ClaimKey, limits: ClaimLimits) -> ClaimTable {
    home_of(&homes(1, &["a", "b", "c"]), name, key, limits)
}

/// Returns the claim table of one of the homes of the first roster.
fn home_of(first: &HomeSet, name: &str, key: &ClaimKey, limits: ClaimLimits) -> ClaimTable {
    let mut table = ClaimTable::new(member(name), key.bucket(), limits);
    table.adopt(&HomeSet::default(), first);
    table
}

/// Transfers all claims of a former home if it is asked for them.
fn transfer(new: &mut ClaimTable, from: &str, source: &mut ClaimTable) {
    let requests = new.transfer_requests();
    let asked = requests.iter().find(|(to, _)| *to == member(from));
    let (_, request) = asked.expect("the former home is asked");
    let page = source.transfer_page(request, Millis(0), Size::kib(200));
    new.on_page(&member(from), page.expect("a page"), Millis(0));
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
    /// Each new home requires a transfer of claims from other entries.
    fn removing_an_entry_changes_at_most_one_home(count: u8, removed: u8) -> bool {
        let count = 2 + usize::from(count % 12);
        let entries = (0..count).map(|i| entry(&format!("e{i}"), &format!("r{}", i % 4), "z"));
        let entries: Vec<_> = entries.collect();
        let mut fewer = entries.clone();
        fewer.remove(usize::from(removed) % count);
        let [all, rest] = [entries, fewer].map(|e| Roster::new(Epoch(1), e));
        Bucket::all().step_by(64).all(|b| {
            let [before, after] = [&all, &rest].map(|r| r.homes(b).members);
            before.iter().filter(|m| !after.contains(m)).count() <= 1
        })
    }
}

/// Passes the replies of homes to a claimant and describes the outcome.
fn outcome(replies: &[(&str, VoteReply)]) -> String {
    let homes = homes(1, &["a", "b", "c"]);
    let mut claimant = Claimant::new(vote(&key("k"), 1, 7), homes.clone(), Millis(0));
    let mut decision = None;
    for (home, reply) in replies {
        let made = claimant.on_reply(&member(home), Epoch(1), reply.clone());
        decision = decision.or(made);
    }
    let decision = decision
        .or_else(|| claimant.on_timeout())
        .expect("a decision");
    let may_run = claimant.dispatch(Millis(1));
    let releases = claimant.release(&homes).len();
    let refusal = decision.refusal(&mut SmallRng::seed_from_u64(1));
    let text = refusal.map_or_else(|| format!("{decision:?}"), |r| r.to_string());
    format!("{text}\n  may run: {may_run}, releases: {releases}")
}

/// If two attempts have one vote each, neither may be dispatched. The outcome is
/// `not-run` only if the third home cannot have voted for the other attempt.
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
        outcome(&[("a", VoteReply::Granted), ("c", VoteReply::Granted)]),
        outcome(&[("a", VoteReply::Granted), ("b", held.clone()), ("c", third)]),
        outcome(&[("a", VoteReply::Granted), ("b", held.clone())]),
        outcome(&[("b", held.clone()), ("c", held)]),
        outcome(&[("a", VoteReply::Granted), ("b", reused)]),
        outcome(&[("a", VoteReply::Granted), ("a", VoteReply::Granted)]),
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
    let mut table = ClaimTable::new(member("a"), key.bucket(), LIMITS);
    table.adopt(&HomeSet::default(), &alone);
    let mut claimant = Claimant::new(vote(&key, 1, 7), alone, Millis(0));
    let reply = table.vote(&claimant.vote_requests()[0].1, Millis(0));
    let won = claimant.on_reply(&member("a"), Epoch(1), reply);
    insta::assert_debug_snapshot!((refused, won));
}

/// A request that is delayed after its win must not be dispatched when its claim may
/// soon expire at the homes.
#[test]
fn a_winner_that_is_delayed_too_long_may_not_dispatch() {
    let won = || {
        let mut claimant = Claimant::new(vote(&key("k"), 1, 7), homes(1, &["a"]), Millis(5));
        claimant.on_reply(&member("a"), Epoch(1), VoteReply::Granted);
        claimant
    };
    assert!(won().dispatch(Millis(5 + CLAIM_RETENTION.0 / 2 - 1)));
    assert!(!won().dispatch(Millis(5 + CLAIM_RETENTION.0 / 2)));
}

/// Deleting a claim early would allow a second execution, so a full table refuses
/// new keys until the claims of old ones expire.
#[test]
fn a_full_table_refuses_new_keys_until_claims_expire() {
    // Keys of one bucket, so that one table holds them.
    let names = (0..).map(|i| key(&format!("k{i}")));
    let keys: Vec<ClaimKey> = names
        .filter(|k| k.bucket() == key("k0").bucket())
        .take(4)
        .collect();
    let limits = ClaimLimits {
        claims: 2,
        answers: Size(20),
    };
    let mut table = home("a", &keys[0], limits);
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
    let mut step = |name: &str, result: &dyn Debug| log.push(format!("{name}: {result:?}"));
    for (i, key) in keys.iter().enumerate().take(3) {
        let reply = table.vote(&vote(key, i as u64, 7), Millis(0));
        step("vote", &reply);
    }
    step("answer kept", &table.finish(&finish(0, 15), Millis(10)));
    step(
        "no room for a body",
        &table.finish(&finish(1, 15), Millis(10)),
    );
    step(
        "no room for a claim",
        &table.finish(&finish(3, 1), Millis(10)),
    );
    for key in keys.iter().take(2) {
        step("repeat", &table.vote(&vote(key, 9, 7), Millis(20)));
        step("other request", &table.vote(&vote(key, 9, 8), Millis(20)));
    }
    let last = Millis(10 + CLAIM_RETENTION.0 - 1);
    step("before the end", &table.vote(&vote(&keys[2], 9, 7), last));
    table.tick(last, |_| true);
    step(
        "repeat before the end",
        &table.vote(&vote(&keys[1], 9, 7), last),
    );
    table.tick(last + Millis(1), |_| true);
    let reply = table.vote(&vote(&keys[2], 9, 7), last + Millis(1));
    step(
        "after the end",
        &format_args!("{reply:?}, {} claims", table.len()),
    );
    insta::assert_snapshot!(log.join("\n"));
}

/// A vote request that arrives after the release of its attempt must not hold the
/// key, since nobody would release it again within the retention of a day.
#[test]
fn a_released_attempt_gets_no_vote() {
    let key = key("k");
    let mut table = home("a", &key, LIMITS);
    table.release(&release(&key, 1), Millis(0));
    let late = table.vote(&vote(&key, 1, 7), Millis(1));
    let next = table.vote(&vote(&key, 2, 8), Millis(2));
    table.release(&release(&key, 2), Millis(3));
    table.tick(Millis(3) + TOMBSTONE_RETENTION, |_| true);
    insta::assert_debug_snapshot!((late, next, table.len()));
}

/// If the former homes voted for different attempts, none of these may win in the
/// new epoch until the others are released.
#[test]
fn a_new_home_knows_all_possible_winners() {
    let key = key("k");
    let (now, max) = (Millis(0), Size::kib(200));
    let next = homes(2, &["a", "b", "d"]);
    let mut sources = [home("a", &key, LIMITS), home("b", &key, LIMITS)];
    sources[0].vote(&vote(&key, 1, 7), now);
    sources[1].vote(&vote(&key, 2, 7), now);
    let mut new = ClaimTable::new(member("d"), key.bucket(), LIMITS);
    new.adopt(&homes(1, &["a", "b", "c"]), &next);
    let in_two = |table: &mut ClaimTable, attempt| {
        let mut vote = vote(&key, attempt, 7);
        vote.epoch = Epoch(2);
        format!("{:?}", table.vote(&vote, now))
    };
    let mut log = vec![in_two(&mut new, 1)];
    for (to, read) in new.transfer_requests() {
        let Some(source) = ["a", "b"].iter().position(|n| to == member(n)) else {
            continue;
        };
        let page = sources[source]
            .transfer_page(&read, now, max)
            .expect("a page");
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

/// If two of three former homes are lost, the new home must not assume that there
/// were no claims. It waits until they have expired, counted from when it knows that
/// the former homes have ended, which is when they have no seat any more.
#[test]
fn a_home_without_sources_waits_for_the_retention() {
    let key = key("k");
    let mut new = ClaimTable::new(member("d"), key.bucket(), LIMITS);
    new.adopt(&homes(1, &["a", "b", "c"]), &homes(2, &["c", "d", "e"]));
    let two = Millis(2 * CLAIM_RETENTION.0);
    let mut log = Vec::new();
    let mut after = |at: Millis, gone: &[&str]| {
        new.tick(at, |m| !gone.iter().any(|n| *m == member(n)));
        log.push(format!("{at}, {gone:?} gone: ready {}", new.is_ready()));
    };
    after(two, &[]);
    after(two, &["a"]);
    after(two + Millis(5), &["a", "b"]);
    after(two + CLAIM_RETENTION + Millis(4), &["a", "b"]);
    after(two + CLAIM_RETENTION + Millis(5), &["a", "b"]);
    insta::assert_snapshot!(log.join("\n"));
}

/// A vote of an older epoch may be from a home that has lost it since.
#[test]
fn votes_of_two_epochs_are_not_added_up() {
    let mut claimant = Claimant::new(vote(&key("k"), 1, 7), homes(1, &["a", "b", "c"]), Millis(0));
    let mut reply =
        |home: &str, epoch, reply| claimant.on_reply(&member(home), Epoch(epoch), reply);
    assert_eq!(reply("a", 1, VoteReply::Granted), None);
    assert_eq!(
        reply("b", 1, VoteReply::Refused(RefusalReason::Stale(Epoch(2)))),
        None
    );
    assert_eq!(claimant.newer_epoch(), Some(Epoch(2)));
    claimant.restart(homes(2, &["a", "b", "d"]));
    let mut reply =
        |home: &str, epoch, reply| claimant.on_reply(&member(home), Epoch(epoch), reply);
    assert_eq!(reply("b", 2, VoteReply::Granted), None);
    assert_eq!(reply("a", 1, VoteReply::Granted), None, "it is of epoch 1");
    assert_eq!(
        reply("c", 2, VoteReply::Granted),
        None,
        "it is no longer a home"
    );
    assert_eq!(reply("d", 2, VoteReply::Granted), Some(Decision::Won));
    let asked = claimant.release(&HomeSet::default());
    let asked: Vec<String> = asked.iter().map(|(m, _)| m.to_string()).collect();
    assert_eq!(
        asked,
        ["a#1", "b#1", "c#1", "d#1"],
        "all members that may have voted for it"
    );
}

/// The release of a vote allows another attempt to run, so a request that a target
/// may have received must keep its votes.
#[test]
fn a_dispatched_attempt_is_never_released() {
    let set = homes(1, &["a"]);
    let mut claimant = Claimant::new(vote(&key("k"), 1, 7), set.clone(), Millis(0));
    assert!(!claimant.dispatch(Millis(0)), "it has no vote");
    claimant.on_reply(&member("a"), Epoch(1), VoteReply::Granted);
    assert!(
        claimant.finish(None, &set).is_empty(),
        "it was not dispatched"
    );
    assert!(claimant.dispatch(Millis(0)));
    assert!(!claimant.dispatch(Millis(0)), "it was dispatched");
    assert!(
        claimant.release(&set).is_empty(),
        "a target may have seen it"
    );
    claimant.mark_unsent();
    assert!(claimant.dispatch(Millis(0)), "no byte was written");
    assert_eq!(claimant.finish(None, &set).len(), 1);
    assert!(claimant.release(&set).is_empty(), "it has run");
    claimant.mark_unsent();
    assert!(!claimant.dispatch(Millis(0)), "it has run");

    let mut lost = Claimant::new(vote(&key("k"), 2, 7), set.clone(), Millis(0));
    assert!(lost.on_timeout().is_some());
    lost.on_reply(&member("a"), Epoch(1), VoteReply::Granted);
    assert!(!lost.dispatch(Millis(0)), "the caller was told not-run");
    assert_eq!(lost.release(&set).len(), 1);
}

/// A member that missed an epoch may not have been a home in it, while the homes of
/// that epoch voted. It must read their claims.
#[test]
fn a_home_that_missed_an_epoch_requests_a_transfer() {
    let key = key("k");
    let mut table = home("a", &key, LIMITS);
    let former = homes(2, &["b", "c", "d"]);
    let next = homes(3, &["a", "b", "c"]);
    let mut in_order = home("a", &key, LIMITS);
    in_order.adopt(&homes(1, &["a", "b", "c"]), &homes(2, &["a", "b", "d"]));
    assert!(in_order.is_ready(), "a home that stays votes at once");
    table.adopt(&former, &next);
    assert_eq!(
        (table.is_ready(), table.transfer_requests().len()),
        (false, 3)
    );
    let mut missed = home("a", &key, LIMITS);
    missed.adopt(&homes(2, &["a", "c", "d"]), &next);
    assert!(!missed.is_ready(), "it does not know that it stayed");
}

/// A single remaining home may not have voted for the winner, so it needs a transfer
/// from a second former home.
#[test]
fn a_single_remaining_home_requests_a_transfer() {
    let key = key("k");
    let former = homes(1, &["a", "b", "c"]);
    let mut last = home("a", &key, LIMITS);
    last.adopt(&former, &homes(2, &["a"]));
    assert!(!last.is_ready());
    let mut other = home("b", &key, LIMITS);
    other.vote(&vote(&key, 1, 7), Millis(0));
    let reads = last.transfer_requests();
    let (to, read) = reads
        .iter()
        .find(|(m, _)| *m == member("b"))
        .expect("it asks b");
    let page = other
        .transfer_page(read, Millis(0), Size::kib(1))
        .expect("a page");
    last.on_page(to, page, Millis(0));
    assert!(last.is_ready(), "its own claims count as the second source");
    let mut again = vote(&key, 2, 7);
    again.epoch = Epoch(2);
    assert!(matches!(last.vote(&again, Millis(0)), VoteReply::Held(_)));
}

/// Both of two homes have voted for each winner. While one of them is frozen, the new
/// homes must not wait for it: the first roster of a fleet often lists two entries. The
/// frozen one may complete a quorum of the former epoch later, so the new homes must
/// know the other one's votes.
#[test]
fn a_frozen_home_of_two_blocks_no_transfer() {
    let key = key("k");
    let former = homes(1, &["a", "b"]);
    let mut awake = home_of(&former, "a", &key, LIMITS);
    let mut frozen = home_of(&former, "b", &key, LIMITS);
    awake.vote(&vote(&key, 1, 7), Millis(0));
    let mut new = ["c", "d"].map(|n| ClaimTable::new(member(n), key.bucket(), LIMITS));
    let mut log = Vec::new();
    for table in &mut new {
        table.adopt(&former, &homes(2, &["b", "c", "d"]));
        transfer(table, "a", &mut awake);
        let mut second = vote(&key, 2, 7);
        second.epoch = Epoch(2);
        log.push(format!("{:?}", table.vote(&second, Millis(1))));
    }
    // The frozen home votes in epoch 1 until it is asked for its claims.
    log.push(format!("{:?}", frozen.vote(&vote(&key, 1, 7), Millis(2))));
    log.push(format!("{:?}", awake.vote(&vote(&key, 3, 7), Millis(2))));
    insta::assert_snapshot!(log.join("\n"), @r"
    Held([Holder { attempt: AttemptId(1), fingerprint: Fingerprint(7), claimant: Member { entry: c, incarnation: Incarnation(1) }, epoch: Epoch(1) }])
    Held([Holder { attempt: AttemptId(1), fingerprint: Fingerprint(7), claimant: Member { entry: c, incarnation: Incarnation(1) }, epoch: Epoch(1) }])
    Granted
    Refused(Stale(Epoch(2)))
    ");
}

/// One of three homes may not have voted for a winner. If it became one of two homes
/// without a transfer, a later home that reads from it alone would not know the winner.
#[test]
fn the_remaining_home_of_three_reads_before_it_is_one_of_two() {
    let key = key("k");
    let [mut voter, mut other] = ["a", "c"].map(|n| home(n, &key, LIMITS));
    voter.vote(&vote(&key, 1, 7), Millis(0));
    other.adopt(&homes(1, &["a", "b", "c"]), &homes(2, &["c", "d"]));
    let at_once = other.is_ready();
    transfer(&mut other, "a", &mut voter);
    let mut new = ClaimTable::new(member("e"), key.bucket(), LIMITS);
    new.adopt(&homes(2, &["c", "d"]), &homes(3, &["d", "e", "f"]));
    transfer(&mut new, "c", &mut other);
    assert_eq!((at_once, new.is_ready()), (false, true));
    assert!(new.get(&key, Millis(1)).is_some(), "the winner is known");
}

/// A restarted home has no claims, so it must not vote under a roster that lists its
/// previous incarnation.
#[test]
fn a_restarted_home_does_not_vote_as_its_previous_incarnation() {
    let key = key("k");
    let mut me = member("a");
    me.incarnation = Incarnation(2);
    let mut table = ClaimTable::new(me.clone(), key.bucket(), LIMITS);
    table.adopt(&HomeSet::default(), &homes(1, &["a", "b", "c"]));
    let reply = table.vote(&vote(&key, 1, 7), Millis(0));
    assert_eq!(reply, VoteReply::Refused(RefusalReason::NotHome));
    let read = TransferRequest {
        bucket: key.bucket(),
        former: Epoch(1),
        epoch: Epoch(2),
        after: None,
    };
    let page = table.transfer_page(&read, Millis(0), Size::kib(1));
    assert_eq!(
        page,
        Err(RefusalReason::Transferring),
        "it has no claims of epoch 1"
    );
    let mut next = homes(2, &["b", "c"]);
    next.members.push(me);
    table.adopt(&homes(1, &["a", "b", "c"]), &next);
    assert_eq!(
        (table.is_ready(), table.transfer_requests().len()),
        (false, 3)
    );
}

/// A lost release blocks its key for a day, so it is repeated until each home has
/// acknowledged it, and is also sent to the homes of a roster that is adopted
/// meanwhile.
#[test]
fn the_outbox_sends_until_all_homes_have_answered() {
    let key = key("k");
    let mut outbox = Outbox::new(2);
    let message = |attempt, name: &str| vec![(member(name), release(&key, attempt))];
    let mut log = Vec::new();
    let mut due = |outbox: &mut Outbox, at| {
        let due = outbox.due(Millis(at));
        let names: Vec<String> = due
            .iter()
            .map(|(i, m, _)| format!("{} to {m}", i.0))
            .collect();
        log.push(format!("{at}: {}", names.join(", ")));
    };
    outbox.push(message(1, "a"), Millis(0));
    outbox.push([message(2, "a"), message(2, "b")].concat(), Millis(0));
    due(&mut outbox, 0);
    due(&mut outbox, 100);
    outbox.on_reply(MessageId(1), &member("a"));
    outbox.on_reply(MessageId(1), &member("a"));
    due(&mut outbox, 150);
    outbox.push(message(3, "a"), Millis(200));
    due(&mut outbox, 200);
    outbox.on_reply(MessageId(1), &member("b"));
    outbox.on_reply(MessageId(2), &member("a"));
    outbox.on_roster(|_| homes(2, &["a", "d"]));
    due(&mut outbox, 210);
    due(&mut outbox, 29_999);
    due(&mut outbox, 30_000);
    due(&mut outbox, 30_200);
    assert!(outbox.is_empty());
    insta::assert_snapshot!(log.join("\n"));
}
