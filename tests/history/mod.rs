//! A checker of recorded histories.
//!
//! A test records what was dispatched to targets, what they executed, which
//! results callers got, and which revisions observers saw. [`violations`] lists
//! the violated invariants. It does not depend on the implementation of the
//! system under test.

#![allow(dead_code, reason = "no test uses all items")]

use std::collections::{BTreeMap, BTreeSet};

/// The result that a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The body of a target's answer.
    Answer(String),
    /// A refusal with the outcome `not-run`.
    NotRun,
    /// A failure with the outcome `unknown`.
    Unknown,
}

/// An event in a history. Each call has a number, and a repeat is a new call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A byte of the request may have reached a target, at time `at`.
    Dispatched {
        call: u64,
        key: Option<String>,
        at: u64,
    },
    /// A target executed the request.
    Executed { call: u64, answer: String },
    /// The caller got its result.
    Returned { call: u64, result: CallResult },
    /// An observer saw that a revision was in effect.
    Observed {
        observer: String,
        service: String,
        revision: u64,
    },
}

/// Returns the violated invariants of a history.
///
/// `retention` is the time during which a key may be dispatched only once.
pub fn violations(history: &[Event], retention: u64) -> Vec<String> {
    let mut violations = repeated_dispatches(history, retention);
    violations.extend(false_not_run_results(history));
    violations.extend(unexecuted_answers(history));
    violations.extend(reverted_revisions(history));
    violations
}

/// Returns the keys that were dispatched twice within the retention time.
fn repeated_dispatches(history: &[Event], retention: u64) -> Vec<String> {
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history {
        let Event::Dispatched {
            call,
            key: Some(key),
            at,
        } = event
        else {
            continue;
        };
        if let Some((earlier_call, earlier_at)) = last.insert(key, (*call, *at))
            && at.saturating_sub(earlier_at) < retention
        {
            violations.push(format!(
                "key {key} was dispatched by call {earlier_call} and by call {call}"
            ));
        }
    }
    violations
}

/// Returns the calls with the result not-run that were dispatched. The dispatch
/// may follow the refusal, so it is searched for in the whole history.
fn false_not_run_results(history: &[Event]) -> Vec<String> {
    let dispatched = |event: &Event| match event {
        Event::Dispatched { call, .. } => Some(*call),
        _ => None,
    };
    let dispatched: BTreeSet<u64> = history.iter().filter_map(dispatched).collect();
    let not_run = |event: &Event| match event {
        Event::Returned {
            call,
            result: CallResult::NotRun,
        } => dispatched.contains(call).then_some(*call),
        _ => None,
    };
    let calls = history.iter().filter_map(not_run);
    calls
        .map(|c| format!("call {c} got not-run but was dispatched"))
        .collect()
}

/// Returns the calls that got an answer that no target had executed.
fn unexecuted_answers(history: &[Event]) -> Vec<String> {
    let mut executed: BTreeSet<&str> = BTreeSet::new();
    let mut violations = Vec::new();
    for event in history {
        match event {
            Event::Executed { answer, .. } => {
                executed.insert(answer);
            }
            Event::Returned {
                call,
                result: CallResult::Answer(answer),
            } if !executed.contains(answer.as_str()) => {
                violations.push(format!(
                    "call {call} got {answer:?}, which no target had executed"
                ));
            }
            _ => {}
        }
    }
    violations
}

/// Returns the observers that went back to an older revision of a service.
fn reverted_revisions(history: &[Event]) -> Vec<String> {
    let mut newest_seen: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history {
        let Event::Observed {
            observer,
            service,
            revision,
        } = event
        else {
            continue;
        };
        let seen = newest_seen.entry((observer, service)).or_default();
        if revision < seen {
            violations.push(format!(
                "{observer} went from revision {seen} of {service} to {revision}"
            ));
        }
        *seen = (*seen).max(*revision);
    }
    violations
}
