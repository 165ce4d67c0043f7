//! Recognizes requests that were refused and come again.

use std::collections::{HashMap, VecDeque};

use crate::domain::Millis;

/// How long a refusal is remembered. Callers come again within a third of the time that
/// they have left.
const RETENTION: Millis = Millis(4_000);

/// The largest number of refusals that are remembered. Beyond it the oldest are
/// forgotten.
const RETURNS_MAX: usize = 4_096;

/// The refusals of an entry, by the hash of what was asked for.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    counts: HashMap<u64, u32>,
    order: VecDeque<(Millis, u64)>,
}

impl Returns {
    /// Records a refused request.
    pub fn record(&mut self, now: Millis, request: u64) {
        self.expire(now);
        if self.order.len() == RETURNS_MAX {
            self.forget_oldest();
        }
        self.order.push_back((now, request));
        *self.counts.entry(request).or_default() += 1;
    }

    /// Returns whether such a request was refused lately. Each refusal counts for one
    /// request.
    pub fn take(&mut self, now: Millis, request: u64) -> bool {
        self.expire(now);
        let Some(count) = self.counts.get_mut(&request) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&request);
        }
        if let Some(at) = self.order.iter().position(|(_, r)| *r == request) {
            self.order.remove(at);
        }
        true
    }

    fn expire(&mut self, now: Millis) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| *at + RETENTION < now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, request)) = self.order.pop_front() else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&request);
            }
        }
    }
}
