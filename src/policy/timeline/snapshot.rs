//! Events derived from two consecutive snapshots of an entry's state.
//!
//! Some events have no single place in the code that causes them: a drain
//! completes when the last of many requests ends, and the store is down when
//! calls of any kind fail. They are detected by comparing snapshots taken at
//! regular intervals, so they are reported at most one interval late.

use std::collections::BTreeMap;

use super::Kind;

/// The state of an entry from which events are derived, at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateSnapshot {
    /// Whether the entry serves requests.
    pub ready: bool,
    /// Whether the latest call to the store failed.
    pub store_down: bool,
    /// The leaving places and targets, each with the number of requests from
    /// this entry that are running there.
    pub leaving: BTreeMap<String, u64>,
}

/// Returns the events that happened between two snapshots.
#[must_use]
pub fn events_between(before: &StateSnapshot, after: &StateSnapshot) -> Vec<(Kind, String)> {
    let mut events = Vec::new();
    if after.ready && !before.ready {
        events.push((Kind::EntryReady, "the entry serves requests".to_owned()));
    }
    match (before.store_down, after.store_down) {
        (false, true) => events.push((Kind::StoreDown, "the latest call failed".to_owned())),
        (true, false) => events.push((Kind::StoreUp, "the latest call was answered".to_owned())),
        _ => {}
    }
    for (name, running) in &after.leaving {
        let former = before.leaving.get(name);
        if former.is_none() {
            let text = format!("{name}: {running} requests from this entry are running");
            events.push((Kind::DrainStarted, text));
        }
        if *running == 0 && former != Some(&0) {
            let text = format!("{name}: no requests from this entry are running");
            events.push((Kind::DrainCompleted, text));
        }
    }
    for name in before.leaving.keys() {
        if !after.leaving.contains_key(name) {
            let text = format!("{name} accepts new requests again or was removed");
            events.push((Kind::DrainCancelled, text));
        }
    }
    events
}
