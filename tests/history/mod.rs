//! Checks of recorded histories.
//!
//! A test records what callers asked, what reached a target, what callers were
//! told and which revisions an observer saw. [`violations`] lists what none of
//! these may show, independent of how the system under test is built.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// A target's answer, by its content.
    Answer(String),
    /// A refusal with the outcome `not-run`.
    NotRun,
    /// A failure with the outcome `unknown`.
    Unknown,
}

/// One event. Calls are numbered; a repeat is a call of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A byte of the request may have reached a target.
    Dispatched {
        call: u64,
        key: Option<String>,
        at: u64,
    },
    /// A target executed the request.
    Executed { call: u64, answer: String },
    /// The caller got its result.
    Returned { call: u64, told: Told },
    /// An observer saw a revision in effect.
    Seen {
        observer: String,
        service: String,
        revision: u64,
    },
}

/// Returns what is wrong with a history.
///
/// `retention` is the time within which a key may be dispatched only once.
pub fn violations(history: &[Event], retention: u64) -> Vec<String> {
    let mut found = repeated(history, retention);
    found.extend(false_not_run(history));
    found.extend(invented(history));
    found.extend(reverted(history));
    found
}

fn repeated(history: &[Event], retention: u64) -> Vec<String> {
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut found = Vec::new();
    for event in history {
        let Event::Dispatched {
            call,
            key: Some(key),
            at,
        } = event
        else {
            continue;
        };
        if let Some((former, before)) = last.insert(key, (*call, *at))
            && at.saturating_sub(before) < retention
        {
            found.push(format!(
                "key {key} was dispatched by call {former} and by call {call}"
            ));
        }
    }
    found
}

/// The dispatch may come later than the refusal, so the whole history counts.
fn false_not_run(history: &[Event]) -> Vec<String> {
    let sent = |event: &Event| match event {
        Event::Dispatched { call, .. } => Some(*call),
        _ => None,
    };
    let sent: BTreeSet<u64> = history.iter().filter_map(sent).collect();
    let refused = |event: &Event| match event {
        Event::Returned {
            call,
            told: Told::NotRun,
        } => sent.contains(call).then_some(*call),
        _ => None,
    };
    let calls = history.iter().filter_map(refused);
    calls
        .map(|c| format!("call {c} was told not-run and was dispatched"))
        .collect()
}

fn invented(history: &[Event]) -> Vec<String> {
    let mut real: BTreeSet<&str> = BTreeSet::new();
    let mut found = Vec::new();
    for event in history {
        match event {
            Event::Executed { answer, .. } => {
                real.insert(answer);
            }
            Event::Returned {
                call,
                told: Told::Answer(answer),
            } if !real.contains(answer.as_str()) => {
                found.push(format!("call {call} got {answer:?}, which nobody executed"));
            }
            _ => {}
        }
    }
    found
}

fn reverted(history: &[Event]) -> Vec<String> {
    let mut newest: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut found = Vec::new();
    for event in history {
        let Event::Seen {
            observer,
            service,
            revision,
        } = event
        else {
            continue;
        };
        let seen = newest.entry((observer, service)).or_default();
        if revision < seen {
            found.push(format!(
                "{observer} went from revision {seen} of {service} to {revision}"
            ));
        }
        *seen = (*seen).max(*revision);
    }
    found
}
