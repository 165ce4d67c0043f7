//! Tests the decisions on documents. A process that returned to an old revision
//! would undo a drain. A writer that misjudged a lost response would make an
//! edit twice. A diff that omitted a change would hide it from its reviewer.

use std::{collections::BTreeSet, sync::Arc};

use quickcheck::{QuickCheck, TestResult, quickcheck};
use savorybeam::{
    adapters::{
        ini::parse_document,
        store::{
            MAX_VALUE_BYTES, documents,
            record::{self, RecordError},
        },
    },
    domain::{Document, EntryId, Incarnation, Millis, Revision, ServiceName, Weight},
    policy::document::{
        Adoption, Content, DocumentState, Edit, EditError, EditId, History, MAX_FORMER_REVISIONS,
        RevisionReports, StoredHistory, WriteOutcome, diff,
    },
    ports::{Record, Update},
};

const BASE: &str = "\
[service]
name = slotboard
team = kitchens
deadline = 5 s
shift-cap = 40 rps

[place north]
region = nordurland
az = nordurland-1
weight = 60
targets = 10.0.0.1:80, 10.0.0.2:80
slots = 5

[place south]
region = reykjanes
az = reykjanes-1
weight = 40
targets = 10.0.1.1:80, 10.0.1.2:80
leaving = 10.0.1.2:80
slots = 3

[route /slots]
lane = short

[route /plans]
lane = long
priority = bulk
";

const EDITED: &str = "\
[service]
name = slotboard
team = bookings
deadline = 6 s
shift-cap = 20 rps

[place east]
region = austurland
az = austurland-1
weight = 10
state = leaving
targets = 10.0.2.1:80, 10.0.2.2:80
leaving = 10.0.2.2:80
slots = 5

[place south]
region = nordurland
az = nordurland-2
weight = 55
state = leaving
targets = 10.0.1.2:80, 10.0.1.3:80
slots = 4

[route /plans]
priority = critical
idempotent = true

[route /units]
";

fn document(text: &str) -> Document {
    parse_document("test", text).expect("the document is valid")
}

fn service() -> ServiceName {
    "slotboard".parse().expect("the name is valid")
}

fn lines<T: std::fmt::Display>(all: &[T]) -> String {
    let all: Vec<String> = all.iter().map(ToString::to_string).collect();
    all.join("\n")
}

/// Returns the content of a revision, which depends only on its number. Every
/// third revision is invalid, and some of the others delete the document.
fn content(revision: u64) -> Content {
    let mut doc = document(BASE);
    doc.deadline = Millis(revision);
    match revision % 6 {
        0 | 3 => Content::Invalid(vec!["a fault".to_owned()]),
        5 => Content::Deleted,
        _ => Content::Document(Arc::new(doc)),
    }
}

/// Passes `revisions` in their order to `adopt`, which returns the
/// revision in effect, and checks after each that the greatest valid one so far
/// is in effect.
fn latest_valid_is_in_effect(
    revisions: Vec<u8>,
    mut adopt: impl FnMut(Revision, Content) -> Revision,
) -> bool {
    let mut latest = Revision::default();
    revisions.into_iter().all(|n| {
        let revision = Revision(u64::from(n));
        let content = content(revision.0);
        if !matches!(content, Content::Invalid(_)) {
            latest = latest.max(revision);
        }
        adopt(revision, content) == latest
    })
}

quickcheck! {
    fn the_latest_valid_revision_is_in_effect(revisions: Vec<u8>) -> bool {
        let mut state = DocumentState::new(service());
        let mut reported = BTreeSet::new();
        let latest = latest_valid_is_in_effect(revisions, |revision, content| {
            if let Adoption::Rejected(event) = state.adopt(revision, content) {
                assert!(reported.insert(event.rejected), "an invalid revision is reported once");
            }
            state.revision()
        });
        let document = match content(state.revision().0) {
            Content::Document(document) => Some(document),
            _ => None,
        };
        let expected = if state.revision() == Revision::default() { None } else { document };
        latest && state.document() == expected.as_ref()
    }

    fn reports_may_arrive_repeatedly_and_in_any_order(reports: Vec<(u8, u8, u8)>) -> bool {
        let record = |reports: &mut dyn Iterator<Item = &(u8, u8, u8)>| {
            let mut recorded = RevisionReports::default();
            for (entry, incarnation, revision) in reports {
                let entry: EntryId = format!("e{}", entry % 4).parse().expect("the name is valid");
                recorded.report(
                    entry,
                    Incarnation(u64::from(incarnation % 3)),
                    Revision(u64::from(*revision)),
                );
            }
            recorded
        };
        let twice = || reports.iter().chain(&reports);
        record(&mut reports.iter()) == record(&mut twice().rev())
    }

    fn a_diff_lists_every_change_and_ignores_the_order(weights: (u8, u8), swap: bool) -> bool {
        let old = document(BASE);
        let mut new = old.clone();
        new.places[0].weight = Weight(u32::from(weights.0));
        new.places[1].weight = Weight(u32::from(weights.1));
        let changed = (0..2).filter(|n| old.places[*n].weight != new.places[*n].weight).count();
        if swap {
            new.places.reverse();
            new.routes.reverse();
            new.places[0].targets.reverse();
        }
        diff(Some(&old), Some(&new)).len() == changed
    }
}

/// Checks that the property above detects faults: a naive implementation, which
/// adopts whichever revision arrives last, fails it.
#[test]
fn naive_adoption_fails_the_property() {
    fn naive(revisions: Vec<u8>) -> bool {
        latest_valid_is_in_effect(revisions, |revision, _| revision)
    }
    let result = QuickCheck::new().quicktest(naive as fn(Vec<u8>) -> bool);
    assert!(result.is_err(), "the naive version passes the property");
}

#[test]
fn an_invalid_revision_leaves_the_last_valid_one_in_effect() {
    let mut state = DocumentState::new(service());
    let mut log = Vec::new();
    let mut other = document(BASE);
    other.service = "bokun".parse().expect("the name is valid");
    let revisions = [
        (
            3,
            Content::Invalid(vec!["line 1".to_owned(), "line 2".to_owned()]),
        ),
        (2, content(2)),
        (6, content(6)),
        (6, content(6)),
        (4, content(4)),
        (4, content(4)),
        (7, Content::Document(Arc::new(other))),
        (11, content(11)),
        (10, content(10)),
    ];
    for (revision, content) in revisions {
        let adoption = state.adopt(Revision(revision), content);
        let result = match &adoption {
            Adoption::Adopted {
                former_revision, ..
            } => format!("adopted after {former_revision}"),
            Adoption::Stale { current } => format!("stale, at {current}"),
            Adoption::Rejected(event) => event.to_string(),
        };
        let document = state.document().map(|d| d.deadline.to_string());
        log.push(format!(
            "{revision}: {result}; in effect {} with {document:?}, highest checked {}",
            state.revision(),
            state.highest_checked()
        ));
    }
    insta::assert_snapshot!(lines(&log));
}

/// Fails if a review or the timeline hides that a workspace, a key, a limit or a home has
/// changed, or that a route is open to callers without keys.
#[test]
fn a_diff_names_every_change_of_workspaces() {
    let key = |digit: &str| digit.repeat(64);
    let text = |workspaces: &str| format!("{BASE}\n{workspaces}");
    let old = document(&text(&format!(
        "[workspace bakers]\nkeys = {}, {}\nrate = 5 rps\n[workspace gone]\n",
        key("a"),
        key("b")
    )));
    let new = document(&text(&format!(
        "[workspace bakers]\nkeys = {}, {}\nrate = 2.5 rps\nburst = 4\npriority = critical\n\
         homes = reykjanes\n[workspace cooks]\n[route /menu]\npublic = true\n",
        key("b"),
        key("c")
    )));
    insta::assert_snapshot!(lines(&diff(Some(&old), Some(&new))));
}

#[test]
fn a_diff_names_every_kind_of_change() {
    let (old, new) = (document(BASE), document(EDITED));
    let parts = [
        lines(&diff(Some(&old), Some(&new))),
        lines(&diff(None, Some(&old))),
        lines(&diff(Some(&old), None)),
        lines(&diff(Some(&old), Some(&old))),
    ];
    insta::assert_snapshot!(parts.join("\n---\n"));
}

#[test]
fn a_rollout_status_lists_the_members_that_are_behind() {
    let name = |n: &str| n.parse::<EntryId>().expect("the name is valid");
    let members = ["e1", "e2", "e3", "e4"].map(name);
    let mut reports = RevisionReports::default();
    reports.report(name("e1"), Incarnation(1), Revision(9));
    reports.report(name("e2"), Incarnation(1), Revision(7));
    reports.report(name("e3"), Incarnation(1), Revision(9));
    // A restarted entry has no document, so a late report of its former
    // incarnation does not count.
    reports.report(name("e3"), Incarnation(2), Revision(0));
    reports.report(name("e3"), Incarnation(1), Revision(12));
    let partial = reports.status(Revision(9), &members);
    for member in &members[1..] {
        reports.report(member.clone(), Incarnation(3), Revision(10));
    }
    let complete = reports.status(Revision(9), &members);
    assert!(!partial.is_complete() && complete.is_complete());
    assert!(!reports.status(Revision(9), &[]).is_complete());
    insta::assert_snapshot!(lines(&[partial, complete]));
}

fn edit(id: u128, text: &str) -> Edit {
    Edit {
        id: EditId(id),
        team: "kitchens".parse().expect("the name is good"),
        wall_time: Millis(1_000),
        text: Some(text.to_owned()),
    }
}

/// A register with compare-and-swap, as a model of one key of the store.
#[derive(Clone, Default)]
struct Register {
    counter: u64,
    stored: Option<StoredHistory>,
}

impl Register {
    /// Returns the revision of the stored value, or 0 if there is none.
    fn revision(&self) -> Revision {
        let stored = self.stored.as_ref();
        stored.map_or(Revision::default(), |s| s.revision)
    }

    /// Returns the revision on which a write is conditional.
    fn assigned(&self) -> Revision {
        let stored = self.stored.as_ref();
        stored.map_or(Revision::default(), |s| s.assigned)
    }

    fn write(&mut self, expected: Revision, history: History) -> Option<Revision> {
        if self.assigned() != expected {
            return None;
        }
        self.counter += 1;
        let revision = Revision(self.counter);
        let stored = StoredHistory::new(revision, history);
        let revision = stored.revision;
        self.stored = Some(stored);
        Some(revision)
    }

    fn edit(&mut self, id: u128) {
        let history = History::extend(self.stored.clone(), None, edit(id, "text"));
        self.write(self.revision(), history.expect("no base is given"));
    }
}

/// Writes one edit whose response is lost, between other edits, and checks that
/// the outcome that `decide` derives from a later read is the actual one.
fn outcome_is_correct(
    (before, competing, arrives, after): (u8, bool, bool, u8),
    decide: impl Fn(EditId, Revision, Option<&StoredHistory>) -> WriteOutcome,
) -> TestResult {
    let mut register = Register::default();
    (0..u128::from(before % 30)).for_each(|n| register.edit(1_000 + n));
    let expected = register.revision();
    let own = History::extend(register.stored.clone(), None, edit(1, "text")).expect("no base");
    if competing {
        register.edit(2);
    }
    let written = arrives
        .then(|| register.write(expected, own.clone()))
        .flatten();
    (0..u128::from(after % 30)).for_each(|n| register.edit(2_000 + n));
    let outcome = decide(EditId(1), expected, register.stored.as_ref());
    // The outcome must remain correct if the write arrives after the read.
    let late = register.clone().write(expected, own);
    let known = u64::from(after % 30) < MAX_FORMER_REVISIONS as u64;
    TestResult::from_bool(match outcome {
        WriteOutcome::InEffect(own) | WriteOutcome::Superseded { own, .. } => written == Some(own),
        WriteOutcome::Conflict(_) => written.is_none() && late.is_none(),
        WriteOutcome::Pending => written.is_none() && late.is_some(),
        WriteOutcome::Unknown => !known,
    })
}

quickcheck! {
    fn the_outcome_of_a_lost_response_is_correct(case: (u8, bool, bool, u8)) -> TestResult {
        outcome_is_correct(case, History::write_outcome)
    }

    /// Fails if an edit that is accepted after the store has come back from an older
    /// copy has a revision that entries don't take, or one that was given out before.
    fn an_edit_is_later_than_all_in_effect(steps: Vec<Option<u8>>) -> bool {
        let mut register = Register::default();
        let (mut copies, mut known) = (vec![register.clone()], Revision::default());
        steps.into_iter().enumerate().all(|(n, step)| {
            if let Some(copy) = step {
                register = copies[usize::from(copy) % copies.len()].clone();
                return true;
            }
            let assigned = register.assigned();
            let history = History::extend(register.stored.clone(), None, edit(n as u128, "text"));
            let history = history.expect("no base is given").later_than(known);
            let floor = history.floor;
            let revision = register.write(assigned, history).expect("it is the only writer");
            copies.push(register.clone());
            let is_later = revision > std::mem::replace(&mut known, revision);
            is_later && (floor == Revision::default() || register.assigned() <= floor)
        })
    }

    fn edit_ids_round_trip(high: u64, low: u64) -> bool {
        let id = EditId(u128::from(high) << 64 | u128::from(low));
        id.to_string().parse() == Ok(id)
    }

    fn records_round_trip(texts: Vec<Option<String>>) -> bool {
        let mut register = Register::default();
        for (n, text) in texts.into_iter().enumerate() {
            let expected = register.revision();
            let edit = Edit { text, ..edit(n as u128, "") };
            let history = History::extend(register.stored.clone(), None, edit).expect("no base");
            register.write(expected, history);
        }
        register.stored.is_none_or(|s| {
            let bytes = record::encode(&s.history).expect("the record is small");
            record::decode(&bytes) == Ok(s.history)
        })
    }

    fn an_arbitrary_value_is_an_invalid_revision(value: Vec<u8>) -> bool {
        let found = Record {
            key: documents::key(&service()),
            value: value.into(),
            revision: Revision(1),
        };
        let revisions = documents::document_revisions(&Update::Put(found));
        revisions.len() == 1 && matches!(revisions[0].content, Content::Invalid(_))
    }
}

/// Checks that the property detects faults: a naive writer, which reports a
/// conflict whenever the current edit is not its own, fails it.
#[test]
fn a_naive_outcome_fails_the_property() {
    fn naive(case: (u8, bool, bool, u8)) -> TestResult {
        outcome_is_correct(case, |id, _, found| match found {
            Some(s) if s.history.current.id == id => WriteOutcome::InEffect(s.revision),
            Some(s) => WriteOutcome::Conflict(s.revision),
            None => WriteOutcome::Pending,
        })
    }
    let property = naive as fn((u8, bool, bool, u8)) -> TestResult;
    let result = QuickCheck::new().tests(1_000).quicktest(property);
    assert!(result.is_err(), "the naive version passes the property");
}

#[test]
fn a_history_keeps_twenty_former_revisions() {
    let mut register = Register::default();
    (0..30).for_each(|n| register.edit(n));
    let stored = register.stored.expect("there were edits");
    let former = &stored.history.former;
    assert_eq!(former.len(), MAX_FORMER_REVISIONS);
    assert_eq!(stored.edit_at(Revision(30)).map(|e| e.id), Some(EditId(29)));
    assert_eq!(stored.edit_at(Revision(10)).map(|e| e.id), Some(EditId(9)));
    assert_eq!(stored.edit_at(Revision(9)), None);
    let stale = History::extend(Some(stored), Some(Revision(29)), edit(99, "text"));
    let conflict = EditError::Conflict {
        base: Revision(29),
        found: Revision(30),
    };
    assert_eq!(stale, Err(conflict));
}

/// A record that exceeded the store's size limit would make every further edit
/// of the service fail.
#[test]
fn a_record_drops_old_revisions_to_fit() {
    let text = "x".repeat(MAX_VALUE_BYTES / 4);
    let mut stored = None;
    for n in 1..=6 {
        let history = History::extend(stored, None, edit(n, &text)).expect("no base");
        let bytes = record::encode(&history).expect("one text fits");
        assert!(bytes.len() <= MAX_VALUE_BYTES);
        stored = Some(StoredHistory::new(
            Revision(u64::try_from(n).expect("small")),
            record::decode(&bytes).expect("the record is valid"),
        ));
    }
    let stored = stored.expect("there were edits");
    assert_eq!(
        (stored.history.former.len(), stored.history.dropped),
        (2, true)
    );
    // The record no longer contains the edit that created the document.
    let outcome = History::write_outcome(EditId(99), Revision::default(), Some(&stored));
    assert_eq!(outcome, WriteOutcome::Unknown);
    let oversized =
        History::extend(None, None, edit(1, &"x".repeat(MAX_VALUE_BYTES))).expect("no base");
    assert!(matches!(
        record::encode(&oversized),
        Err(RecordError::TooLarge(_))
    ));
}

/// Fails if a record of a version that knows no floor is refused, if such a version
/// reads other bytes than its own while the store has lost nothing, or if a floor
/// that is no revision makes a record unreadable without a message.
#[test]
fn a_record_has_a_floor_only_if_it_needs_one() {
    let history = History::extend(None, None, edit(1, "text")).expect("no base");
    let plain = record::encode(&history).expect("the record is small");
    let raised = record::encode(&history.clone().later_than(Revision(8))).expect("small");
    let decode = |text: &str| record::decode(&text.to_owned().into());
    let text = String::from_utf8_lossy(&plain).into_owned();
    assert!(!text.contains("floor"), "{text}");
    assert_eq!(decode(&text), Ok(history));
    let found = record::decode(&raised).expect("the record is valid");
    assert_eq!(found.revision(Revision(3)), Revision(9));
    assert_eq!(found.revision(Revision(12)), Revision(12));
    for floor in ["-1", "1.5", "\"9\"", "null", "9223372036854775808", "1e30"] {
        let odd = text.replace("\"dropped\"", &format!("\"floor\":{floor},\"dropped\""));
        let error = decode(&odd).expect_err(floor).to_string();
        assert!(error.starts_with("the record cannot be decoded"), "{error}");
    }
    let beyond = found.later_than(Revision(u64::MAX));
    assert!(matches!(
        record::encode(&beyond),
        Err(RecordError::Malformed(_))
    ));
}

#[test]
fn updates_contain_the_parsed_revisions() {
    let stored = |text: Option<&str>, before: Option<StoredHistory>| {
        let edit = Edit {
            text: text.map(str::to_owned),
            ..edit(1, "")
        };
        let revision = before.as_ref().map_or(Revision(4), |s| s.revision.next());
        let history = History::extend(before, None, edit).expect("no base is given");
        StoredHistory::new(revision, history)
    };
    let put = |stored: &StoredHistory| {
        Update::Put(Record {
            key: documents::key(&service()),
            value: record::encode(&stored.history).expect("the record is small"),
            revision: stored.revision,
        })
    };
    let invalid = Some("[service]\nname = slotboard\n");
    let valid = stored(Some(BASE), None);
    let invalid_twice = stored(invalid, Some(stored(invalid, Some(valid.clone()))));
    let updates = [
        put(&valid),
        put(&stored(None, None)),
        put(&stored(invalid, None)),
        // A process that starts at an invalid revision adopts the last valid
        // one from the history.
        put(&invalid_twice),
        Update::Delete(documents::key(&service()), Revision(5)),
        Update::Delete("platform/vms/a".into(), Revision(6)),
        Update::Delete("documents/Not A Name".into(), Revision(7)),
    ];
    let results = updates.map(|u| {
        let revisions = documents::document_revisions(&u).into_iter().map(|a| {
            let content = match a.content {
                Content::Document(d) => format!("document of {}", d.team),
                Content::Deleted => "deleted".to_owned(),
                Content::Invalid(faults) => faults.join("; "),
            };
            format!("{} {}: {content}", a.service, a.revision)
        });
        let all: Vec<String> = revisions.collect();
        format!("{} revisions\n{}", all.len(), lines(&all))
    });
    insta::assert_snapshot!(lines(&results));
    let key = documents::key(&service());
    assert_eq!(documents::parse_key(&key), Some(service()));
}
