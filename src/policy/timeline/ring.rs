//! The event buffer of one entry, and merging the events of several entries.

use std::collections::VecDeque;

use super::{Component, Event, Stamp};

/// The number of events that an entry keeps. At 200 bytes each they take less
/// than 1 MB, and an incident causes hundreds of events at a single entry.
pub const MAX_EVENTS: usize = 4_096;

/// A ring buffer of the latest events of one entry.
#[derive(Clone, Debug, Default)]
pub struct EventRing {
    events: VecDeque<Event>,
    dropped: u64,
}

impl EventRing {
    /// Appends an event. If there are more than [`MAX_EVENTS`], drops the
    /// oldest one.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.dropped = self.dropped.saturating_add(1);
        }
    }

    /// Returns the latest `limit` events after `stamp` that concern
    /// `component`, oldest first. `None` selects all stamps or components.
    #[must_use]
    pub fn after(
        &self,
        stamp: Option<&Stamp>,
        component: Option<Component>,
        limit: usize,
    ) -> Vec<Event> {
        let matches = |e: &&Event| {
            stamp.is_none_or(|s| e.stamp > *s) && component.is_none_or(|c| e.component() == c)
        };
        let mut latest: Vec<Event> = self
            .events
            .iter()
            .rev()
            .filter(matches)
            .take(limit)
            .cloned()
            .collect();
        latest.reverse();
        latest
    }

    /// Returns the number of events dropped because the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Merges the events of several entries in the order of their stamps.
///
/// Duplicates, which occur when two administration addresses return the events
/// of the same entry, are removed.
#[must_use]
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut all: Vec<Event> = lists.into_iter().flatten().collect();
    // The sort detects sorted runs. Each list is one run, so this costs little
    // more than merging the lists.
    all.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    all.dedup_by(|a, b| a.stamp == b.stamp);
    all
}
