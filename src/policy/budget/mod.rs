//! Retry budgets that all entries share.
//!
//! Within a window, the retries to a service are limited to a ratio of its
//! requests plus a fixed number. The ratio needs no coordination, because each
//! entry derives its share from its own requests. The fixed number is divided
//! among the entries, of which one that has just started may not know all: it
//! uses the ratio only. Half of the number is held in reserve for entries that
//! restart and thereby forget what they have spent. The sliding window consists of ten
//! buckets, and a bucket counts until the window has left it entirely, so that
//! the count is never lower than the actual number in any window. Such budgets
//! keep retries from sustaining an overload (metastable failures, OSDI 2022).

use std::collections::VecDeque;

use crate::domain::Millis;

/// The number of buckets in the sliding window.
const WINDOW_BUCKETS: u64 = 10;

/// The fraction of the ratio that is used. Targets count a request near the end
/// of a window in a different window than this entry does.
const RATIO_FRACTION: f64 = 0.85;

/// The fraction of the fixed number that is divided among the entries.
const SLACK_FRACTION: f64 = 0.5;

/// The limits on retries that the users configure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries in a window, summed over all entries.
    pub slack: f64,
    /// The length of the window.
    pub window: Millis,
}

/// The counts in one part of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The retry budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Returns an unused budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request, which adds to the budget.
    pub fn deposit(&mut self, now: Millis, limits: &RetryLimits) {
        self.current_bucket(now, limits).requests += 1;
    }

    /// Withdraws one retry and returns true, unless this entry's share of the
    /// budget is exhausted. `entries` is the number of entries that share the
    /// fixed number, zero as long as this entry may not use its part of it.
    pub fn withdraw(&mut self, now: Millis, limits: &RetryLimits, entries: usize) -> bool {
        self.current_bucket(now, limits);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        #[expect(clippy::cast_precision_loss)]
        let share = match entries {
            0 => 0.0,
            n => limits.slack * SLACK_FRACTION / n as f64,
        };
        let limit = f64::from(requests) * limits.ratio * RATIO_FRACTION + share;
        if f64::from(retries) + 1.0 > limit {
            return false;
        }
        self.current_bucket(now, limits).retries += 1;
        true
    }

    fn current_bucket(&mut self, now: Millis, limits: &RetryLimits) -> &mut Bucket {
        let bucket_ms = (limits.window.0 / WINDOW_BUCKETS).max(1);
        let index = now.0 / bucket_ms;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.index + WINDOW_BUCKETS < index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index != index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
