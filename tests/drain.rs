//! Tests of drains and of the stop sequence. A drain that is reported as
//! finished too early lets an operator remove a target or an entry while it
//! still serves a request.

use std::{collections::BTreeMap, fmt::Write};

use quickcheck::quickcheck;
use savorybeam::{
    domain::{EntryId, Incarnation, Millis, Revision},
    policy::drain::{Drain, Report, Step, StopSchedule, StopSequence, Subject},
};

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the name is valid")
}

fn report(entry: &str, incarnation: u64, sequence: u64, revision: u64, running: u32) -> Report {
    Report {
        entry: name(entry),
        incarnation: Incarnation(incarnation),
        sequence,
        revision: Revision(revision),
        running,
    }
}

fn place() -> Subject {
    Subject::Place(name("slotboard"), name("reykjanes-1"))
}

/// Guards against a drain that is reported as finished because of a report that
/// arrives late, an entry with an older revision in effect, or a restarted
/// entry.
#[test]
fn a_place_drain_waits_for_every_entry() {
    let mut drain = Drain::new(place(), Revision(7));
    let mut listed: BTreeMap<EntryId, Incarnation> =
        ["e1", "e2", "e3"].map(|e| (name(e), Incarnation(1))).into();
    let mut out = String::new();
    let mut record = |event: &str, drain: &Drain, listed: &BTreeMap<EntryId, Incarnation>| {
        let remaining = drain.remaining(listed.iter().map(|(e, i)| (e, *i)));
        let blockers: Vec<String> = remaining
            .entries
            .iter()
            .map(|(e, b)| format!("{e}: {b}"))
            .collect();
        let (running, finished) = (remaining.running(), remaining.is_finished());
        let blockers = blockers.join("; ");
        writeln!(
            out,
            "{event}: {running} running, finished {finished} [{blockers}]"
        )
        .expect("writing to a string succeeds");
    };
    record("begin", &drain, &listed);
    drain.observe(report("e1", 1, 1, 6, 4));
    drain.observe(report("e2", 1, 1, 7, 2));
    record("two reports", &drain, &listed);
    drain.observe(report("e1", 1, 3, 7, 1));
    drain.observe(report("e1", 1, 2, 7, 0));
    record("a late report", &drain, &listed);
    drain.observe(report("e2", 1, 2, 7, 0));
    drain.observe(report("e1", 1, 4, 7, 0));
    record("e3 has not reported", &drain, &listed);
    listed.remove(&name::<EntryId>("e3"));
    record("e3 is gone from the platform", &drain, &listed);
    listed.insert(name("e2"), Incarnation(2));
    record("e2 restarted", &drain, &listed);
    drain.observe(report("e2", 2, 1, 6, 0));
    record("e2 has an older revision", &drain, &listed);
    drain.observe(report("e2", 2, 2, 8, 0));
    record("e2 has a newer revision", &drain, &listed);
    insta::assert_snapshot!(out);
}

/// Guards against reports of other entries that block or finish the drain of an
/// entry.
#[test]
fn only_the_entry_itself_blocks_its_drain() {
    let mut drain = Drain::new(Subject::Entry(name("e1")), Revision(0));
    let listed: Vec<EntryId> = vec![name("e1"), name("e2")];
    let mut out = Vec::new();
    for running in [3, 1, 0] {
        drain.observe(report("e1", 1, 10 - u64::from(running), 0, running));
        drain.observe(report("e2", 1, 1, 0, 5));
        let remaining = drain.remaining(listed.iter().map(|e| (e, Incarnation(1))));
        out.push(format!("{}: {}", drain.subject(), remaining.running()));
    }
    insta::assert_snapshot!(out.join("\n"));
}

quickcheck! {
    /// Guards against a result that depends on the order or the repetition of
    /// reports.
    fn reports_are_order_independent(reports: Vec<(u8, u8, u8)>, rotation: usize) -> bool {
        let mut all: Vec<Report> = Vec::new();
        for (sequence, (entry, revision, running)) in (0..).zip(reports) {
            let entry = format!("e{}", entry % 3);
            all.push(report(&entry, 1, sequence, u64::from(revision % 3), u32::from(running % 2)));
        }
        let listed: Vec<EntryId> = vec![name("e0"), name("e1"), name("e2")];
        let remaining = |reports: &[Report]| {
            let mut drain = Drain::new(place(), Revision(1));
            for report in reports {
                drain.observe(report.clone());
            }
            drain.remaining(listed.iter().map(|e| (e, Incarnation(1))))
        };
        let before = remaining(&all);
        let last = |e: &EntryId| all.iter().rev().find(|r| r.entry == *e);
        let is_drained = |e: &EntryId| last(e).is_some_and(|r| r.revision.0 >= 1 && r.running == 0);
        let finished = listed.iter().all(is_drained);
        let middle = rotation % all.len().max(1);
        all.rotate_left(middle);
        all.extend_from_within(..middle);
        before == remaining(&all) && before.is_finished() == finished
    }

    /// Guards against an entry that exits while requests are running, stops
    /// accepting connections while callers may hold a look-up answer that names
    /// it, or never exits.
    fn an_entry_stops_in_order(running: Vec<bool>, acknowledged: u16) -> bool {
        let linger = Millis(8_000);
        let (mut stop, first) = StopSequence::begin(linger, Millis(0));
        let acknowledged = Millis(u64::from(acknowledged % 40) * 100);
        let mut steps = vec![(first, Millis(0))];
        let mut running = running.into_iter();
        for now in (0..400).map(|t| Millis(t * 100)) {
            if now >= acknowledged {
                stop.acknowledged(now);
            }
            let count = u32::from(running.next().unwrap_or(false));
            let step = stop.tick(count, now);
            if step == Some(Step::Exit) && count > 0 {
                return false;
            }
            steps.extend(step.map(|s| (s, now)));
        }
        let at = |step| steps.iter().find(|(s, _)| *s == step).map(|(_, at)| *at);
        let (closed, exit) = (at(Step::StopAccepting), at(Step::Exit));
        // Without an acknowledgement the sequence continues after 3 s.
        let linger_start = acknowledged.min(Millis(3_000));
        closed.is_some_and(|c| c >= linger_start + linger) && exit > closed
    }
}

/// Guards against a step of the stop sequence that is lost or out of order.
#[test]
fn the_stop_sequence_has_all_steps_in_order() {
    let (mut stop, first) = StopSequence::begin(Millis(8_000), Millis(0));
    let mut out = format!("0 ms {first:?}\n");
    for now in (0..16_000).step_by(100).map(Millis) {
        if now == Millis(700) {
            stop.acknowledged(now);
        }
        let running = u32::from(now < Millis(12_000));
        let (phase, closes) = (stop.phase(), stop.closes_connections(now));
        if let Some(step) = stop.tick(running, now) {
            writeln!(out, "{now} {step:?}").expect("writing to a string succeeds");
        }
        if phase != stop.phase() || now.0 % 2_000 == 0 {
            let (phase, accepts) = (stop.phase(), stop.accepts_connections());
            writeln!(out, "{now} {phase:?}, accepts {accepts}, closes {closes}")
                .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a schedule under which a process takes a request that may run
/// when the process is killed: one from a caller that waits for longer than the
/// process runs.
#[test]
fn a_stop_schedule_admits_only_what_ends_before_the_process() {
    let began = Millis(1_000);
    let mut out = String::new();
    for grace in [3_000, 6_000, 30_000].map(Millis) {
        let schedule = StopSchedule::begin(began, grace);
        let times = [
            schedule.accept_until(),
            schedule.answer_by(),
            schedule.exit_at(),
        ];
        let [accept, answer, exit] = times.map(|at| at - began);
        writeln!(
            out,
            "grace {grace}: accepts for {accept}, answers by {answer}, exits at {exit}"
        )
        .expect("writing to a string succeeds");
        for limit in [300, 2_500, 10_000].map(Millis) {
            let mut arrivals = (0..grace.0).map(Millis);
            let refused = arrivals.find(|age| !schedule.admits(began + *age + limit));
            let refused = refused.map_or("never".to_owned(), |age| age.to_string());
            writeln!(out, "  a limit of {limit} is refused from: {refused}")
                .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(out);
}

quickcheck! {
    /// Guards against an admitted request whose deadline lies behind the time of
    /// the final answers, or a schedule out of order, for any grace period.
    fn an_admitted_request_ends_before_the_process(began: u32, grace: u32, deadline: u32) -> bool {
        let [began, grace, deadline] = [began, grace, deadline].map(|n| Millis(n.into()));
        let schedule = StopSchedule::begin(began, grace);
        let ordered = schedule.accept_until() <= schedule.answer_by()
            && schedule.answer_by() <= schedule.exit_at()
            && schedule.exit_at() <= began + grace;
        ordered && (!schedule.admits(deadline) || deadline <= schedule.exit_at())
    }
}
