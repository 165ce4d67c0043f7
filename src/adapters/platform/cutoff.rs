//! Tells whether an answer to a poll may lack changes.
//!
//! The store puts at most about 500 items or 1 MB into one answer, but at least one
//! item, and does not say whether it has left any out. It leaves an item out whenever
//! that one no longer fits, so the size of an answer alone shows nothing: behind a
//! single configuration of 0.8 MB there is no room for the next one.

use super::items::{self, Item};
use crate::domain::Position;

/// The number of items from which on an answer may be incomplete. Four fifths of the
/// limit allow for "about"; less would cost an empty call after each busy period.
const FULL_ITEMS: usize = 400;

/// The size of an answer, with the next item, from which on that item may not have fit.
const FULL_BYTES: usize = 800_000;

/// What is known of the sizes of items.
#[derive(Debug, Default)]
pub(super) struct Cutoff {
    /// The size of the latest configuration, by far the largest item.
    configuration_bytes: usize,
    /// The position of the latest answer that could lack changes only if a
    /// configuration was next.
    doubted: Option<Position>,
}

impl Cutoff {
    /// Records the size of the configuration, if it is among the items.
    pub fn record_items(&mut self, items: &[Item]) {
        let mut configurations = items.iter().filter(|i| i.key.0 == items::CONFIG_KEY);
        if let Some(configuration) = configurations.next_back() {
            self.configuration_bytes = configuration.encoded_len();
        }
    }

    /// Returns whether the answer to a poll for the changes after `after` may lack
    /// changes before its time. `body_bytes` is its size and `position` where it ends.
    ///
    /// Items like the largest one of the answer are expected next. A configuration is
    /// expected only once in a row: if it was left out, the next answer begins with it.
    /// Otherwise a fleet whose heartbeats leave no room for one would be polled without
    /// a pause.
    pub fn may_lack(
        &mut self,
        items: &[Item],
        body_bytes: usize,
        after: Position,
        position: Position,
    ) -> bool {
        self.record_items(items);
        let Some(largest) = items.iter().map(Item::encoded_len).max() else {
            // The store returns at least one change if there is any.
            self.doubted = None;
            return false;
        };
        let is_full = items.len() >= FULL_ITEMS || body_bytes + largest >= FULL_BYTES;
        let has_room = body_bytes + self.configuration_bytes < FULL_BYTES;
        let was_doubted = self.doubted == Some(after);
        let is_doubted = !is_full && !has_room && !was_doubted;
        self.doubted = is_doubted.then_some(position);
        is_full || is_doubted
    }
}
