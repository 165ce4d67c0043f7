//! Guards drains: one that is reported as finished too early lets an operator
//! remove a target or an entry in the middle of a request.

use std::{collections::BTreeMap, fmt::Write};

use quickcheck::quickcheck;
use savorybeam::{
    domain::{EntryId, Incarnation, Millis, Revision},
    policy::drain::{Drain, Report, Step, Stop, Subject},
};

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.expect("the name is valid")
}

fn report(entry: &str, life: u64, sequence: u64, revision: u64, running: u32) -> Report {
    Report {
        entry: name(entry),
        incarnation: Incarnation(life),
        sequence,
        revision: Revision(revision),
        running,
    }
}

fn place() -> Subject {
    Subject::Place(name("slotboard"), name("reykjanes-1"))
}

/// Fails if a late report, an old revision or a restarted entry is taken for the
/// end of the drain.
#[test]
fn the_drain_of_a_place_over_time() {
    let mut drain = Drain::new(place(), Revision(7));
    let mut listed: BTreeMap<EntryId, Incarnation> =
        ["e1", "e2", "e3"].map(|e| (name(e), Incarnation(1))).into();
    let mut out = String::new();
    let mut note = |what: &str, drain: &Drain, listed: &BTreeMap<EntryId, Incarnation>| {
        let left = drain.left(listed.iter().map(|(e, i)| (e, *i)));
        let rows: Vec<String> = left
            .entries
            .iter()
            .map(|(e, h)| format!("{e}: {h}"))
            .collect();
        let (running, finished) = (left.running(), left.is_finished());
        let rows = rows.join("; ");
        writeln!(
            out,
            "{what}: {running} running, finished {finished} [{rows}]"
        )
        .expect("memory");
    };
    note("begin", &drain, &listed);
    drain.observe(report("e1", 1, 1, 6, 4));
    drain.observe(report("e2", 1, 1, 7, 2));
    note("two reports", &drain, &listed);
    drain.observe(report("e1", 1, 3, 7, 1));
    drain.observe(report("e1", 1, 2, 7, 0));
    note("a late report", &drain, &listed);
    drain.observe(report("e2", 1, 2, 7, 0));
    drain.observe(report("e1", 1, 4, 7, 0));
    note("one silent", &drain, &listed);
    listed.remove(&name::<EntryId>("e3"));
    note("the silent VM is gone", &drain, &listed);
    listed.insert(name("e2"), Incarnation(2));
    note("e2 restarted", &drain, &listed);
    drain.observe(report("e2", 2, 1, 6, 0));
    note("e2 has an old document", &drain, &listed);
    drain.observe(report("e2", 2, 2, 8, 0));
    note("e2 has a newer one", &drain, &listed);
    insta::assert_snapshot!(out);
}

/// Fails if other entries hold up, or end, the drain of an entry.
#[test]
fn only_the_entry_itself_holds_up_its_drain() {
    let mut drain = Drain::new(Subject::Entry(name("e1")), Revision(0));
    let listed: Vec<EntryId> = vec![name("e1"), name("e2")];
    let mut out = Vec::new();
    for running in [3, 1, 0] {
        drain.observe(report("e1", 1, 10 - u64::from(running), 0, running));
        drain.observe(report("e2", 1, 1, 0, 5));
        let left = drain.left(listed.iter().map(|e| (e, Incarnation(1))));
        out.push(format!("{}: {}", drain.subject(), left.running()));
    }
    insta::assert_snapshot!(out.join("\n"));
}

quickcheck! {
    /// Fails if the order or the repetition of reports changes the result.
    fn reports_count_in_any_order(reports: Vec<(u8, u8, u8)>, swap: usize) -> bool {
        let mut all: Vec<Report> = Vec::new();
        for (sequence, (entry, revision, running)) in (0..).zip(reports) {
            let entry = format!("e{}", entry % 3);
            all.push(report(&entry, 1, sequence, u64::from(revision % 3), u32::from(running % 2)));
        }
        let listed: Vec<EntryId> = vec![name("e0"), name("e1"), name("e2")];
        let left = |reports: &[Report]| {
            let mut drain = Drain::new(place(), Revision(1));
            for report in reports {
                drain.observe(report.clone());
            }
            drain.left(listed.iter().map(|e| (e, Incarnation(1))))
        };
        let before = left(&all);
        let last = |e: &EntryId| all.iter().rev().find(|r| r.entry == *e);
        let free = |e: &EntryId| last(e).is_some_and(|r| r.revision.0 >= 1 && r.running == 0);
        let finished = listed.iter().all(free);
        let middle = swap % all.len().max(1);
        all.rotate_left(middle);
        all.extend_from_within(..middle);
        before == left(&all) && before.is_finished() == finished
    }

    /// Fails if an entry stops while requests run, stops accepting while callers
    /// may hold an answer that names it, or never stops.
    fn an_entry_stops_in_order(running: Vec<bool>, known: u16) -> bool {
        let linger = Millis(8_000);
        let (mut stop, first) = Stop::begin(linger, Millis(0));
        let known = Millis(u64::from(known % 40) * 100);
        let mut steps = vec![(first, Millis(0))];
        let mut busy = running.into_iter();
        for now in (0..400).map(|t| Millis(t * 100)) {
            if now >= known {
                stop.announced(now);
            }
            let running = u32::from(busy.next().unwrap_or(false));
            let step = stop.tick(running, now);
            if step == Some(Step::Exit) && running > 0 {
                return false;
            }
            steps.extend(step.map(|s| (s, now)));
        }
        let at = |step| steps.iter().find(|(s, _)| *s == step).map(|(_, at)| *at);
        let (closed, exit) = (at(Step::StopAccepting), at(Step::Exit));
        // Without an acknowledgement it goes on after 3 s.
        let told = known.min(Millis(3_000));
        closed.is_some_and(|c| c >= told + linger) && exit > closed
    }
}

/// Fails if a step of the stop sequence is lost or out of order.
#[test]
fn the_stop_of_an_entry_over_time() {
    let (mut stop, first) = Stop::begin(Millis(8_000), Millis(0));
    let mut out = format!("0 ms {first:?}\n");
    for now in (0..16_000).step_by(100).map(Millis) {
        if now == Millis(700) {
            stop.announced(now);
        }
        let running = u32::from(now < Millis(12_000));
        let (phase, closes) = (stop.phase(), stop.closes(now));
        if let Some(step) = stop.tick(running, now) {
            writeln!(out, "{now} {step:?}").expect("memory");
        }
        if phase != stop.phase() || now.0 % 2_000 == 0 {
            let (phase, accepts) = (stop.phase(), stop.accepts());
            writeln!(out, "{now} {phase:?}, accepts {accepts}, closes {closes}").expect("memory");
        }
    }
    insta::assert_snapshot!(out);
}
