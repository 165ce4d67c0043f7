//! Capacity that a bucket has not used for a window.

use std::collections::VecDeque;

use crate::domain::Millis;

/// The precision of the times. It bounds how many peaks are kept.
const SLOT: Millis = Millis(100);

/// The part of the capacity of a bucket that was not used during the last window, and
/// which may therefore be added to what the bucket earns.
///
/// What a bucket grants in a window is at most its level at the beginning, the tokens
/// that are in use then, what it earns, and what is added as surplus in the window. As
/// long as the level, the tokens in use and the surplus since then are together at most
/// the capacity, for each beginning in the last window, the surplus exceeds no bound that
/// the bucket alone keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct Surplus {
    /// The surplus that was added since the start, and the capacity of parts that came.
    added: f64,
    /// The end of a slot and the largest difference of use and `added` in it, in
    /// descending order of the difference.
    peaks: VecDeque<(Millis, f64)>,
}

impl Surplus {
    /// Records what could be used at once from now: the level and the tokens in use.
    pub fn record(&mut self, now: Millis, usable: f64) {
        let peak = usable - self.added;
        let mut slot = Millis(now.0.div_ceil(SLOT.0) * SLOT.0);
        while let Some((at, _)) = self.peaks.back().filter(|(_, p)| *p <= peak) {
            // Time does not go back, but a granter may be called with an earlier one.
            slot = slot.max(*at);
            self.peaks.pop_back();
        }
        if self.peaks.back().is_none_or(|(at, _)| *at < slot) {
            self.peaks.push_back((slot, peak));
        }
    }

    /// Adds up to `tokens`, as many as the capacity leaves after the largest use in the
    /// last `window`, and returns them.
    pub fn add(&mut self, now: Millis, window: Millis, capacity: f64, tokens: f64) -> f64 {
        while self.peaks.front().is_some_and(|(at, _)| *at + window < now) {
            self.peaks.pop_front();
        }
        let peak = self.peaks.front().map_or(0.0, |(_, peak)| *peak);
        let left = capacity - (self.added + peak);
        let added = if self.peaks.is_empty() {
            0.0
        } else {
            left.clamp(0.0, tokens)
        };
        self.added += added;
        added
    }

    /// Counts the capacity of a part that comes as used, because the entry that held it
    /// before may have used it in this window.
    pub fn count_as_used(&mut self, capacity: f64) {
        self.added += capacity;
    }
}
