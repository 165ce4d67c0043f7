//! Counts of the latest tokens.

use std::collections::VecDeque;

use super::TOKEN_VALIDITY;
use crate::domain::Millis;

/// The precision of the times. It bounds how many are kept.
const SLOT: Millis = Millis(50);

/// The number of tokens within the validity of a token, by time.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    counts: VecDeque<(Millis, u32)>,
}

impl Recent {
    /// Adds tokens.
    pub fn record(&mut self, now: Millis, tokens: u32) {
        match self.counts.back_mut() {
            _ if tokens == 0 => {}
            // The end of the slot counts, so that no token is forgotten too early.
            Some((until, sum)) if now < *until => *sum += tokens,
            _ => self.counts.push_back((now + SLOT, tokens)),
        }
    }

    /// Forgets tokens that are no longer valid.
    pub fn expire(&mut self, now: Millis) {
        let is_over = |at: Millis| at + TOKEN_VALIDITY < now;
        while self.counts.front().is_some_and(|(at, _)| is_over(*at)) {
            self.counts.pop_front();
        }
    }

    /// Removes up to `tokens`, the oldest first, and returns their number.
    pub fn remove(&mut self, tokens: u32) -> u32 {
        let mut left = tokens;
        for (_, count) in &mut self.counts {
            let removed = left.min(*count);
            *count -= removed;
            left -= removed;
        }
        tokens - left
    }

    /// Returns the number of tokens.
    pub fn sum(&self) -> u32 {
        self.counts.iter().map(|(_, count)| count).sum()
    }
}
