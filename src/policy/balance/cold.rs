//! Requests to targets that have just started.
//!
//! A cold target tolerates a certain rate, which all entries share. Each entry
//! may send its part in any one second; the window slides over the instants of
//! the last sends, so no second holds more. Where the rate is smaller than the
//! number of entries, a few entries share it alone, chosen by rendezvous hashing
//! so that they agree without any exchange. This is slow start with a statically
//! divided token bucket.

use std::collections::VecDeque;

use super::work::mix;
use crate::domain::Millis;

/// The part of the bound that is divided. The rest covers entries that do not
/// know of each other yet, and requests that meet on the way.
const USED: f64 = 0.7;

const WINDOW: Millis = Millis(1_000);

/// What this entry may send to one cold target.
#[derive(Clone, Copy, Debug)]
pub struct Quota<'a> {
    /// The requests that a cold target may get in one second from all entries.
    pub bound: f64,
    /// The hashed names of all entries, this one included.
    pub entries: &'a [u64],
    /// The hashed name of this entry.
    pub me: u64,
}

impl Quota<'_> {
    /// Returns how many requests this entry may send to a target in one second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    #[must_use]
    pub fn share(&self, target: u64) -> usize {
        let whole = (self.bound * USED).max(0.0);
        let each = whole / self.entries.len().max(1) as f64;
        if each >= 1.0 {
            return each as usize;
        }
        let rank = |name: u64| mix(name, target);
        let mine = rank(self.me);
        let ahead = self.entries.iter().filter(|e| rank(**e) > mine).count();
        usize::from(ahead < whole as usize)
    }
}

/// The requests that this entry sent to one target while it was cold.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    sent: VecDeque<Millis>,
}

impl Starts {
    /// Tells whether one more request may be sent now.
    pub fn allow(&self, now: Millis, target: u64, quota: &Quota<'_>) -> bool {
        let recent = self.sent.iter().filter(|at| **at + WINDOW > now).count();
        recent < quota.share(target)
    }

    /// Counts a request that is sent now.
    pub fn add(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
