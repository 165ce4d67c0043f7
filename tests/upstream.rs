//! Tests of the selection of upstreams and of the change log. The number of
//! calls to the store must not grow with the number of entries, and an entry
//! whose source has failed must not fall behind.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    net::SocketAddr,
    ops::Range,
};

use quickcheck::quickcheck;
use savorybeam::{
    domain::{EntryId, Era, Mbps, Millis, Position, Presence, Revision},
    policy::upstream::{
        ChainTimes, ChangeLog, REPLY_MARGIN, SeedSelector, Trust, Upstream, UpstreamFailure,
        UpstreamSelector,
    },
};

fn entry(n: u16, link: u32) -> Presence {
    let addr = |port| SocketAddr::from(([10, 0, 0, 1], port));
    Presence {
        name: format!("edge-{n}").parse().expect("a name"),
        front: addr(1_000 + n),
        peer: Some(addr(2_000 + n)),
        link: Mbps(link),
        az: "a-1".parse().expect("a name"),
        region: "north".parse().expect("a name"),
    }
}

fn name(n: u16) -> EntryId {
    format!("edge-{n}").parse().expect("a name")
}

/// Guards against entries that have the same view but follow different sources,
/// against an entry that keeps polling an upstream that has failed, and against a
/// long wait for one of which nothing is known after a failure.
#[test]
fn entries_follow_the_widest_link_and_avoid_failures() {
    let all = [(1, 10), (2, 100), (3, 100), (4, 100), (5, 100)].map(|(n, link)| entry(n, link));
    let failed = UpstreamFailure::Unresponsive;
    let mut text = String::new();
    let mut show = |what: &str, selector: &mut UpstreamSelector, now: u64, me: u16| {
        let choice = selector.choose(Millis(now), &name(me), all.iter());
        let followers = selector.has_followers();
        let trust = match &choice {
            Upstream::Store => String::new(),
            other => format!(", {:?}", selector.trust(other)),
        };
        writeln!(text, "{what}: {choice:?}, followers {followers}{trust}").expect("a line");
        choice
    };
    let mut selector = UpstreamSelector::default();
    show("narrow link", &mut selector, 0, 1);
    show("first in rank", &mut selector, 0, 2);
    let source = show("second in rank", &mut selector, 0, 3);
    selector.record_failure(Millis(1_000), &source, failed);
    let store = show("second, source failed", &mut selector, 1_000, 3);
    selector.record_answer(Millis(1_100), &store, Millis(1_000));
    show("second, 3 s later", &mut selector, 4_000, 3);
    show("second, 10 s later", &mut selector, 11_000, 3);
    let mut selector = UpstreamSelector::default();
    let source = show("third in rank", &mut selector, 0, 4);
    selector.record_failure(Millis(1_000), &source, failed);
    let store = show("third, source failed", &mut selector, 1_000, 4);
    selector.record_answer(Millis(1_100), &store, Millis(1_000));
    let next = show(
        "third, after an answer of the store",
        &mut selector,
        1_750,
        4,
    );
    selector.record_failure(Millis(2_000), &next, failed);
    show("third, next entry failed as well", &mut selector, 2_000, 4);
    show("third, 3 s later", &mut selector, 5_000, 4);
    let mut selector = UpstreamSelector::default();
    let source = show("fourth in rank", &mut selector, 0, 5);
    selector.record_failure(Millis(1_000), &source, failed);
    let next = show("fourth, source failed", &mut selector, 1_000, 5);
    let mut answered = selector.clone();
    selector.record_failure(Millis(1_250), &next, failed);
    show("fourth, next entry failed as well", &mut selector, 1_250, 5);
    answered.record_answer(Millis(2_000), &next, Millis(2_000));
    answered.record_failure(Millis(3_000), &next, failed);
    show(
        "fourth, next entry failed after an answer",
        &mut answered,
        3_000,
        5,
    );
    let mut selector = UpstreamSelector::default();
    let store = show("first in rank", &mut selector, 0, 2);
    selector.record_failure(Millis(0), &store, failed);
    let next = show("first, rejected by the store", &mut selector, 100, 2);
    selector.record_failure(Millis(100), &next, failed);
    show("first, next entry failed as well", &mut selector, 100, 2);
    show("first, 3 s later", &mut selector, 3_200, 2);
    insta::assert_snapshot!(text);
}

/// Guards against a start that waits for seeds that are down, against a seed that follows
/// another one, and against an entry that gives seeds up for good because they were
/// still reading the store.
#[test]
fn seeds_are_tried_in_turn_for_a_time() {
    let seeds = [1, 2, 3].map(|n| SocketAddr::from(([10, 0, 0, 1], n)));
    let mut text = String::new();
    for me in [name(1), name(4)] {
        let mut selector = SeedSelector::default();
        for at in [0, 250, 1_500].map(Millis) {
            let seed = selector.choose_read(at, &me, None, &seeds);
            writeln!(text, "{me} reads at {at}: {seed:?}").expect("a line");
            selector.record_failure(at, seeds.len());
        }
        for at in [1_600, 3_499, 3_500].map(Millis) {
            let seed = selector.choose_follow(at, &me, None, &seeds);
            writeln!(text, "{me} follows at {at}: {seed:?}").expect("a line");
        }
        selector.record_failure(Millis(3_500), seeds.len());
        selector.record_answer();
        let seed = selector.choose_follow(Millis(3_600), &me, None, &seeds);
        writeln!(text, "{me} follows after an answer: {seed:?}").expect("a line");
        let own = selector.choose_follow(Millis(3_600), &me, Some(seeds[1]), &seeds);
        writeln!(text, "{me} as a seed: {own:?}").expect("a line");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a herd of complete reads after the store has dropped its history:
/// entries that poll the store go back to those whose state was merely too old, but
/// not to those that do not answer.
#[test]
fn a_compacted_history_ends_the_direct_polls() {
    let all = [1, 2, 3, 4].map(|n| entry(n, 100));
    let mut selector = UpstreamSelector::default();
    let mut choices = Vec::new();
    for failure in [UpstreamFailure::Unresponsive, UpstreamFailure::Outdated] {
        let source = selector.choose(Millis(0), &name(4), all.iter());
        selector.record_failure(Millis(0), &source, failure);
        choices.push(source);
    }
    choices.push(selector.choose(Millis(10), &name(4), all.iter()));
    selector.record_compaction();
    choices.push(selector.choose(Millis(20), &name(4), all.iter()));
    insta::assert_compact_debug_snapshot!(choices);
}

/// Guards against two complete reads of a region in a new era: the entry that has
/// taken over from a source without the store goes back to it, but not to one that
/// does not answer.
#[test]
fn a_new_era_ends_the_takeover() {
    let all = [entry(1, 100), entry(2, 100), entry(3, 100)];
    let mut lines = Vec::new();
    for failure in [UpstreamFailure::Outdated, UpstreamFailure::Unresponsive] {
        let mut selector = UpstreamSelector::default();
        let source = selector.choose(Millis(0), &name(2), all.iter());
        selector.record_failure(Millis(0), &source, failure);
        let before = selector.choose(Millis(10), &name(2), all.iter());
        selector.record_new_era();
        let after = selector.choose(Millis(20), &name(2), all.iter());
        lines.push(format!("{failure:?}: {before:?}, then {after:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    Outdated: Store, then Entry(edge-1, 10.0.0.1:2001)
    Unresponsive: Store, then Store
    ");
}

/// The bound within which changes must take effect.
const BOUND: Millis = Millis(2_500);

/// The duration of a call to the store.
const STORE_CALL: Millis = Millis(100);

/// The delay until an entry has the answer of another one.
const REPLY_DELAY: Millis = Millis(25);

/// A call of an entry in the simulation.
#[derive(Clone)]
struct Call {
    start: Millis,
    upstream: Upstream,
    trust: Trust,
    /// How long another entry waits for a change.
    wait: Millis,
}

/// A simulation of the entries of a region in virtual time.
#[derive(Clone)]
struct Region {
    all: Vec<Presence>,
    selectors: Vec<UpstreamSelector>,
    /// The instant as of which each entry has the state of the store.
    synced: Vec<Millis>,
    /// The instant of the next step of each entry.
    next_step: Vec<Millis>,
    queue: BTreeSet<(Millis, usize)>,
    calls: Vec<Option<Call>>,
    /// Whether nothing changes in the store, so that entries answer at the end of
    /// the wait only.
    is_calm: bool,
    /// The instant from which some entries get no answers from some others. Those
    /// that get none from themselves have stopped.
    lost_from: Millis,
    is_lost: fn(usize, usize) -> bool,
    /// The duration of a call to the store.
    store_call: Millis,
    store_calls: u32,
    /// The age of the oldest state that any entry had.
    oldest: Millis,
}

impl Region {
    /// Returns a region of three availability zones, in which the names of entries
    /// begin with their zone. The ranking alternates between the zones.
    fn new(count: u16, is_calm: bool) -> Self {
        let many = usize::from(count);
        let next_step: Vec<Millis> = (0..u64::from(count)).map(|n| Millis(n % 50)).collect();
        let zone = |n| ["a-1", "a-2", "a-3"][usize::from(n % 3)];
        let place = |n| Presence {
            az: zone(n).parse().expect("a name"),
            name: format!("edge-{}-{n:03}", zone(n)).parse().expect("a name"),
            ..entry(n, 100)
        };
        Self {
            all: (0..count).map(place).collect(),
            selectors: vec![UpstreamSelector::default(); many],
            synced: vec![Millis(0); many],
            queue: next_step.iter().copied().zip(0..).collect(),
            next_step,
            calls: vec![None; many],
            is_calm,
            lost_from: Millis(u64::MAX),
            is_lost: |_, _| false,
            store_call: STORE_CALL,
            store_calls: 0,
            oldest: Millis(0),
        }
    }

    fn run(&mut self, until: Millis) {
        while let Some((now, n)) = self.queue.pop_first() {
            if until <= now {
                self.queue.insert((now, n));
                break;
            }
            let next = self.step(now, n);
            self.next_step[n] = next;
            self.queue.insert((next, n));
        }
    }

    fn has_lost(&self, now: Millis, n: usize, source: usize) -> bool {
        now >= self.lost_from && (self.is_lost)(n, source)
    }

    /// Begins or continues a call. Returns the instant of the next step.
    fn step(&mut self, now: Millis, n: usize) -> Millis {
        if self.has_lost(now, n, n) {
            return Millis(u64::MAX);
        }
        let age = now - self.synced[n];
        self.oldest = self.oldest.max(age);
        let times = ChainTimes::new(BOUND);
        let selector = &mut self.selectors[n];
        let Some(call) = self.calls[n].clone() else {
            let upstream = selector.choose(now, &self.all[n].name, self.all.iter());
            let (trust, pause) = match &upstream {
                Upstream::Store => (Trust::Settled, self.store_call),
                other => (selector.trust(other), REPLY_DELAY),
            };
            self.store_calls += u32::from(upstream == Upstream::Store);
            self.calls[n] = Some(Call {
                start: now,
                upstream,
                trust,
                wait: times.entry_wait(age, trust),
            });
            return now + pause;
        };
        let Upstream::Entry(name, _) = &call.upstream else {
            selector.record_answer(now, &call.upstream, call.start);
            self.synced[n] = call.start;
            self.calls[n] = None;
            let next = call.start + times.poll_period(selector.has_followers());
            return next.max(now);
        };
        let source = self.all.iter().position(|p| p.name == *name);
        let source = source.expect("a known entry");
        let answer_by = call.start + REPLY_DELAY + call.wait;
        if self.has_lost(now, n, source) {
            let detected = call.start + call.wait + REPLY_MARGIN;
            if now < detected {
                return detected;
            }
            self.calls[n] = None;
            let failure = UpstreamFailure::Unresponsive;
            self.selectors[n].record_failure(now, &call.upstream, failure);
            return now;
        }
        let as_of = self.synced[source];
        if now < answer_by && (self.is_calm || as_of <= self.synced[n]) {
            let next = if self.is_calm {
                answer_by
            } else {
                self.next_step[source]
            };
            return next.min(answer_by).max(now + REPLY_DELAY);
        }
        self.calls[n] = None;
        self.synced[n] = as_of.max(self.synced[n]);
        let selector = &mut self.selectors[n];
        if now - as_of <= times.max_age() {
            selector.record_answer(now, &call.upstream, as_of);
        } else if times.may_take_over(now, call.trust) {
            selector.record_alive(now, &call.upstream);
        } else {
            selector.record_failure(now, &call.upstream, UpstreamFailure::Outdated);
        }
        now
    }
}

/// What is lost: the entry, the entry from which it gets no answer.
type Loss = fn(usize, usize) -> bool;

/// Loses entries at several instants within two poll periods of the source. Returns a
/// line with the worst figures, and whether calls and ages stay within the limits.
fn lose(count: u16, what: &str, is_lost: Loss, limits: (u32, Millis)) -> (String, bool) {
    let (mut normal, mut calls, mut oldest) = (0, 0, Millis(0));
    for is_calm in [false, true] {
        let mut region = Region::new(count, is_calm);
        region.run(Millis(20_000));
        normal = normal.max(region.store_calls);
        region.is_lost = is_lost;
        for lost_from in (20_000..21_600).step_by(if count > 30 { 800 } else { 200 }) {
            let mut region = region.clone();
            region.lost_from = Millis(lost_from);
            region.run(region.lost_from);
            (region.store_calls, region.oldest) = (0, Millis(0));
            region.run(region.lost_from + Millis(10_000));
            calls = calls.max(region.store_calls);
            oldest = oldest.max(region.oldest);
        }
    }
    let line = format!("{count}, {what}, {normal}, {calls}, {}\n", oldest.0);
    (line, calls <= limits.0 && oldest <= limits.1)
}

/// Runs [`lose`] for several sizes of a region.
fn lose_in_each(counts: &[u16], what: &str, is_lost: Loss, limits: (u32, Millis)) -> String {
    let lines = counts.iter().map(|n| lose(*n, what, is_lost, limits));
    let (lines, kept): (Vec<String>, Vec<bool>) = lines.unzip();
    assert!(kept.iter().all(|k| *k), "{kept:?}\n{}", lines.concat());
    lines.concat()
}

const HEAD: &str =
    "entries, lost, calls in 20 s without a fault, in 10 s after the loss, oldest ms\n";

/// The maximum number of calls in 10 s after a loss: those of 20 s without a fault,
/// twice.
const MAX_CALLS: u32 = 54;

/// Guards against calls to the store that grow with the number of entries in a
/// region, also when all of them lose their source at once, and against state older
/// than 2.5 s after that loss.
#[test]
fn store_calls_do_not_grow_with_the_entries() {
    let limits = (MAX_CALLS, BOUND);
    let lines = lose_in_each(&[1, 3, 30, 300], "the source", |_, s| s < 1, limits);
    insta::assert_snapshot!(HEAD.to_owned() + &lines);
}

/// Guards against state older than the bound, and against a call to the store by
/// each entry, when the first two entries of the ranking are lost at once, or all of
/// one availability zone or of two, or the connections between zones.
#[test]
fn the_loss_of_two_sources_keeps_the_bound() {
    let limits = (MAX_CALLS, BOUND);
    let mut lines = lose_in_each(&[3, 30, 300], "the first two", |_, s| s < 2, limits);
    let losses: [(&str, Loss); 3] = [
        ("a zone", |_, s| s % 3 == 0),
        ("two zones", |_, s| s % 3 < 2),
        ("between zones", |n, s| n % 3 != s % 3),
    ];
    for (what, is_lost) in losses {
        lines += &lose_in_each(&[3, 30, 100], what, is_lost, limits);
    }
    insta::assert_snapshot!(HEAD.to_owned() + &lines);
}

/// Guards against a loss of more sources, or an entry without connections to others,
/// that loads the store, or delays changes by more than the time in which each further
/// entry is found silent. If the first three entries get no answers through, but run,
/// four entries poll the store all the time (56 calls), and few others once or twice.
/// If eight are lost, each entry may call once.
#[test]
fn each_further_lost_source_costs_one_probe() {
    let losses: [(&str, Loss, u64, u32); 5] = [
        ("the first three", |_, s| s < 3, 1, MAX_CALLS),
        ("the first four", |_, s| s < 4, 2, MAX_CALLS),
        ("the first eight", |_, s| s < 8, 6, 100 + MAX_CALLS),
        ("answers of three", |n, s| s < 3 && n != s, 1, 64),
        (
            "connections of one",
            |n, s| (n == 29) != (s == 29),
            4,
            MAX_CALLS,
        ),
    ];
    let mut lines = HEAD.to_owned();
    for (what, is_lost, probes, max_calls) in losses {
        let max_age = BOUND + Millis(probes * REPLY_MARGIN.0);
        lines += &lose_in_each(&[30, 100], what, is_lost, (max_calls, max_age));
    }
    insta::assert_snapshot!(lines);
}

/// Guards against a call to the store by each entry while the store answers late, but
/// within the timeout of 1 s, so that the state of all entries is too old.
#[test]
fn a_slow_store_is_called_by_few_entries() {
    let mut text = String::from("entries, duration of a call, calls in 10 s, oldest ms\n");
    for (count, call) in [(30, 800), (100, 800), (30, 1_000), (100, 1_000)] {
        let mut region = Region::new(count, false);
        region.store_call = Millis(call);
        region.run(Millis(10_000));
        let Region {
            store_calls,
            oldest,
            ..
        } = region;
        writeln!(text, "{count}, {call}, {store_calls}, {}", oldest.0).expect("a line");
        assert!(store_calls <= MAX_CALLS, "{text}");
    }
    insta::assert_snapshot!(text);
}

/// Returns a position in the era of a store that names none.
fn first_era(revision: u64) -> Position {
    Position::new(Era(0), Revision(revision))
}

/// Returns the log of a state of eight keys that changes with each revision. The
/// revisions of `gap` are known by the difference between its ends only.
fn log_with_gap(values: &[u8], gap: &Range<usize>) -> (ChangeLog<(usize, u8)>, Vec<[u8; 8]>) {
    let mut log = ChangeLog::default();
    let mut states = vec![[0; 8]];
    log.reset(Millis(0), first_era(0));
    for (n, value) in (1..).zip(values) {
        let (key, value) = (usize::from(value % 8), value / 8 % 2);
        let mut state = states[n - 1];
        state[key] = value;
        states.push(state);
        let position = first_era(n as u64);
        if !gap.contains(&n) {
            log.push(Millis(0), position, vec![(key, value)]);
        } else if n + 1 == gap.end {
            let before = states[gap.start - 1];
            let changed = (0..8).filter(|k| before[*k] != state[*k]);
            let difference = changed.map(|k| (k, state[k])).collect();
            log.push_difference(Millis(0), position, difference);
        }
    }
    (log, states)
}

quickcheck! {
    /// Guards against an entry that keeps a change which was undone while the
    /// history of the store was lost: an entry that may have it gets no difference.
    fn a_difference_leads_to_the_current_state(values: Vec<u8>, start: u8, length: u8, after: u8) -> bool {
        let start = usize::from(start) % 20 + 1;
        let gap = start..start + usize::from(length) % 10;
        let (log, states) = log_with_gap(&values, &gap);
        let after = usize::from(after) % states.len();
        let ends_in_gap = gap.contains(&(states.len() - 1)) && states.len() < gap.end;
        if ends_in_gap {
            return true;
        }
        let Some(changes) = log.changes_after(first_era(after as u64)) else {
            return gap.contains(&after) && gap.contains(&(after + 1));
        };
        let mut state = states[after];
        for (key, value) in changes {
            state[key] = value;
        }
        Some(&state) == states.last()
    }

    /// Guards against a log that omits a change after a requested revision, or
    /// that claims to be complete although it has dropped changes.
    fn the_log_returns_all_later_changes(batches: Vec<Vec<(u8, u8)>>, after: u8) -> bool {
        let mut log = ChangeLog::default();
        let mut states = vec![BTreeMap::new()];
        log.reset(Millis(0), first_era(0));
        for (n, batch) in (1_u64..).zip(&batches) {
            // Few enough that the log drops none.
            let batch = &batch[..batch.len().min(10)];
            let mut state = states.last().cloned().unwrap_or_default();
            state.extend(batch.iter().copied());
            states.push(state);
            log.push(Millis(n), first_era(n), batch.to_vec());
        }
        let after = usize::from(after) % states.len();
        let mut state = states[after].clone();
        let Some(changes) = log.changes_after(first_era(after as u64)) else {
            return false;
        };
        state.extend(changes);
        Some(&state) == states.last()
    }
}

/// Guards against a log that grows without bound, and against one that reports
/// no changes to an entry that is too far behind.
#[test]
fn dropped_changes_are_reported_as_missing() {
    let mut log = ChangeLog::default();
    assert_eq!(
        log.changes_after(first_era(5)),
        None,
        "an empty log has no changes"
    );
    log.reset(Millis(0), first_era(5));
    log.push(Millis(1_000), first_era(6), vec!["a"]);
    log.push(Millis(40_000), first_era(9), vec!["b"]);
    let seen: Vec<_> = [4, 5, 6, 8, 9, 12]
        .map(|r| format!("after {r}: {:?}", log.changes_after(first_era(r))))
        .into();
    insta::assert_snapshot!(seen.join("\n"));
}

/// Guards against a reply that has every version of a large configuration, and against a
/// log that loses other changes, or its limits, with the replaced ones.
#[test]
fn replaced_changes_are_removed_from_the_log() {
    let mut log = ChangeLog::default();
    log.reset(Millis(0), first_era(5));
    for n in 6..10 {
        let changes = vec![("config", n), ("target", n)];
        log.push(Millis(10 * n), first_era(n), changes);
    }
    log.push(Millis(100), first_era(12), vec![("config", 12)]);
    log.remove_replaced(|(key, version)| *key == "config" && *version < 12);
    let mut seen = vec![format!("{log:?}")];
    seen.extend(
        [4, 5, 8, 9, 12].map(|r| format!("after {r}: {:?}", log.changes_after(first_era(r)))),
    );
    insta::assert_snapshot!(seen.join("\n"), @r#"
    ChangeLog(0:5..0:12, 5 changes)
    after 4: None
    after 5: Some([("target", 6), ("target", 7), ("target", 8), ("target", 9), ("config", 12)])
    after 8: Some([("target", 9), ("config", 12)])
    after 9: Some([("config", 12)])
    after 12: Some([])
    "#);
}

/// Guards against an entry that keeps a change of a former era which the store has
/// lost, and against one that gets no changes because revisions are given out again.
#[test]
fn a_log_goes_on_in_a_new_era() {
    let at = |text: &str| -> Position { text.parse().expect("a position") };
    let mut log = ChangeLog::default();
    log.reset(Millis(0), at("3:50"));
    log.push(Millis(10), at("3:60"), vec!["a"]);
    log.push_difference(Millis(20), at("4:40"), vec!["b"]);
    log.push(Millis(30), at("4:45"), vec!["c"]);
    let seen = ["3:50", "3:60", "3:61", "4:39", "4:40", "4:45", "5:1"].map(|after| {
        let after = at(after);
        let gap = log.has_gap_after(after);
        format!("after {after}: {:?}, gap {gap}", log.changes_after(after))
    });
    insta::assert_snapshot!(seen.join("\n"), @r#"
    after 3:50: Some(["a", "b", "c"]), gap true
    after 3:60: Some(["b", "c"]), gap true
    after 3:61: None, gap true
    after 4:39: None, gap true
    after 4:40: Some(["c"]), gap false
    after 4:45: Some([]), gap false
    after 5:1: Some([]), gap false
    "#);
}
