//! Events that follow from two looks at an entry's state.
//!
//! Some events have no single cause in the code: a drain ends when the last of
//! many requests ends, and the store is down when calls of any kind fail. They
//! are found by comparing the state at regular times, which is late by one
//! period at the most.

use std::collections::BTreeMap;

use super::Kind;

/// What one look at an entry saw.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Look {
    /// Whether the entry serves.
    pub ready: bool,
    /// Whether the latest call to the store failed.
    pub store_down: bool,
    /// The places and targets that leave, each with the requests that run there
    /// through this entry.
    pub leaving: BTreeMap<String, u64>,
}

/// Returns the events between two looks.
#[must_use]
pub fn events_between(before: &Look, after: &Look) -> Vec<(Kind, String)> {
    let mut events = Vec::new();
    if after.ready && !before.ready {
        events.push((Kind::EntryReady, "it serves requests".to_owned()));
    }
    match (before.store_down, after.store_down) {
        (false, true) => events.push((Kind::StoreDown, "the latest call failed".to_owned())),
        (true, false) => events.push((Kind::StoreUp, "the latest call was answered".to_owned())),
        _ => {}
    }
    for (name, running) in &after.leaving {
        let former = before.leaving.get(name);
        if former.is_none() {
            let text = format!("{name} with {running} requests here");
            events.push((Kind::DrainStarted, text));
        }
        if *running == 0 && former != Some(&0) {
            let text = format!("{name}: nothing runs there from here");
            events.push((Kind::DrainCompleted, text));
        }
    }
    for name in before.leaving.keys() {
        if !after.leaving.contains_key(name) {
            let text = format!("{name} takes new work again or is gone");
            events.push((Kind::DrainCancelled, text));
        }
    }
    events
}
