//! Slow start: rate limits for targets that have just started.
//!
//! A cold target tolerates a limited request rate, which is statically divided
//! among all entries. Each entry may send its share in any one second; a
//! sliding log of the latest sends enforces this for every window, not only for
//! aligned ones. If the rate is smaller than the number of entries, rendezvous
//! hashing selects the entries that may send, so that all entries agree without
//! any communication.

use std::collections::VecDeque;

use super::duration::mix;
use crate::domain::Millis;

/// The fraction of the rate limit that is divided among the entries. The rest
/// covers entries that do not know of each other yet, and requests that arrive
/// closer together than they were sent.
const USED_FRACTION: f64 = 0.7;

/// The window over which the rate is limited.
const WINDOW: Millis = Millis(1_000);

/// The rate limit of cold targets and the entries that share it.
#[derive(Clone, Copy, Debug)]
pub struct ColdQuota<'a> {
    /// The requests per second that a cold target may get from all entries.
    pub max_rate: f64,
    /// The hashed names of all entries, including this one. There are none as long as
    /// this entry may not use its share.
    pub entries: &'a [u64],
    /// The hashed name of this entry.
    pub this_entry: u64,
}

impl ColdQuota<'_> {
    /// Returns how many requests this entry may send per second to the target
    /// with the given hash.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    #[must_use]
    pub fn share(&self, target: u64) -> usize {
        if self.entries.is_empty() {
            return 0;
        }
        let divided_rate = (self.max_rate * USED_FRACTION).max(0.0);
        let per_entry = divided_rate / self.entries.len() as f64;
        if per_entry >= 1.0 {
            return per_entry as usize;
        }
        let rank = |name: u64| mix(name, target);
        let own_rank = rank(self.this_entry);
        let ahead = self.entries.iter().filter(|e| rank(**e) > own_rank).count();
        usize::from(ahead < divided_rate as usize)
    }
}

/// A log of the requests that this entry sent to one target while it was cold.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdRequests {
    sent: VecDeque<Millis>,
}

impl ColdRequests {
    /// Returns whether one more request may be sent now.
    pub fn allows(&self, now: Millis, target: u64, quota: &ColdQuota<'_>) -> bool {
        let recent = self.sent.iter().filter(|at| **at + WINDOW > now).count();
        recent < quota.share(target)
    }

    /// Returns whether any request counts towards the rate at the given time.
    pub fn is_recent(&self, now: Millis) -> bool {
        self.sent.back().is_some_and(|at| *at + WINDOW > now)
    }

    /// Records that a request is sent now.
    pub fn record(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
