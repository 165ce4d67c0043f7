//! Further attempts within a budget that all entries share.
//!
//! A service may get a ratio of its requests as further attempts in a window,
//! and a fixed number besides. The ratio needs no agreement, because each
//! entry's part follows from its own requests. The fixed number is divided by
//! the entries; half of it is held back for entries that restart and thereby
//! forget what they spent. The window slides in steps of a tenth, and a step
//! counts until it has left the window as a whole, so the count never falls
//! short of what any window holds. Retry budgets of this kind keep retries from
//! feeding an overload (metastable failures, OSDI 2022).

use std::collections::VecDeque;

use crate::domain::Millis;

/// In how many steps the window slides.
const STEPS: u64 = 10;

/// The part of the ratio that is used. Requests near the end of a window are
/// counted in another one by the targets than here.
const RATIO_USED: f64 = 0.85;

/// The part of the fixed number that is divided among the entries.
const SLACK_USED: f64 = 0.5;

/// What the users allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Further attempts for each request.
    pub ratio: f64,
    /// Further attempts besides, over all entries.
    pub slack: f64,
    /// The length of the window.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    extra: u32,
}

/// The budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Returns a budget of which nothing is spent.
    #[must_use]
    pub fn new() -> Self {
        Self {
            steps: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn earn(&mut self, now: Millis, allowed: &Allowance) {
        self.step(now, allowed).requests += 1;
    }

    /// Pays for a further attempt, if this entry's part of the budget allows it.
    /// `entries` is the number of entries that share the budget.
    pub fn pay(&mut self, now: Millis, allowed: &Allowance, entries: usize) -> bool {
        self.step(now, allowed);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let extra: u32 = self.steps.iter().map(|s| s.extra).sum();
        #[expect(clippy::cast_precision_loss)]
        let share = allowed.slack * SLACK_USED / entries.max(1) as f64;
        let limit = f64::from(requests) * allowed.ratio * RATIO_USED + share;
        if f64::from(extra) + 1.0 > limit {
            return false;
        }
        self.step(now, allowed).extra += 1;
        true
    }

    fn step(&mut self, now: Millis, allowed: &Allowance) -> &mut Step {
        let length = (allowed.window.0 / STEPS).max(1);
        let number = now.0 / length;
        while self
            .steps
            .front()
            .is_some_and(|s| s.number + STEPS < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.number != number) {
            self.steps.push_back(Step {
                number,
                ..Step::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
