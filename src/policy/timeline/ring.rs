//! The latest events of one entry, and the events of several in one order.

use std::collections::VecDeque;

use super::{Event, Part, Stamp};

/// How many events an entry keeps. At 200 bytes each this takes below 1 MB,
/// and the events of one incident at a single entry number in the hundreds.
pub const EVENTS_MAX: usize = 4_096;

/// The latest events of one entry.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    events: VecDeque<Event>,
    dropped: u64,
}

impl Ring {
    /// Adds an event, and drops the oldest one beyond [`EVENTS_MAX`].
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
            self.dropped = self.dropped.saturating_add(1);
        }
    }

    /// Returns the latest `limit` events after a stamp, in their order.
    #[must_use]
    pub fn after(&self, stamp: Option<&Stamp>, part: Option<Part>, limit: usize) -> Vec<Event> {
        let fits =
            |e: &&Event| stamp.is_none_or(|s| e.stamp > *s) && part.is_none_or(|p| e.part() == p);
        let mut latest: Vec<Event> = self
            .events
            .iter()
            .rev()
            .filter(fits)
            .take(limit)
            .cloned()
            .collect();
        latest.reverse();
        latest
    }

    /// Returns how many events were dropped to make room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Merges the events of several entries in the order of their stamps.
///
/// An event that arrives from two sides, because two administration addresses
/// returned the same entry's events, is kept once.
#[must_use]
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut all: Vec<Event> = lists.into_iter().flatten().collect();
    // The sort is stable and detects sorted runs, of which there is one for
    // each list, so this is close to a merge of the lists.
    all.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    all.dedup_by(|a, b| a.stamp == b.stamp);
    all
}
