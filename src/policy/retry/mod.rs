//! Retries and hedges.
//!
//! One [`Budget`] per service limits both, so that together they add at most 5%
//! of work however many requests fail. Without it, retries multiply the load
//! exactly when targets are overloaded, and the overload then outlives its
//! cause. The cost is that some requests fail that a retry would have saved.
//!
//! The functions only decide. The caller sends the retry or hedge to a target
//! that [`Pool::choose`](crate::policy::target::Pool::choose) returns for
//! criteria with `extra`. See [docs/design.md](../../../docs/design.md), section
//! 3.7.

mod window;

use std::fmt;

use rand::Rng;

use crate::domain::Millis;

pub use window::{Percentiles, Window};

/// The deposit for each first attempt, in thousandths of a retry. It is the 5%
/// of added work that the design allows.
const DEPOSIT_MILLITOKENS: u32 = 50;

/// The cost of one retry or hedge.
const COST_MILLITOKENS: u32 = 1000;

/// The maximum balance: ten retries or hedges.
const BALANCE_MAX_MILLITOKENS: u32 = 10_000;

/// The mean delay before the first retry. It doubles with each further retry.
const RETRY_DELAY: Millis = Millis(20);

/// The maximum number of attempts of a request, including the first one.
const ATTEMPTS_MAX: u32 = 3;

/// The shortest delay before a request is hedged.
const HEDGE_DELAY_MIN: Millis = Millis(5);

/// The reason why a request is not retried or hedged.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Denied {
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// The budget is exhausted.
    Budget,
    /// The service sheds load.
    Shedding,
    /// The answer is not expected before the deadline.
    Deadline,
    /// The request has reached the maximum number of attempts.
    Attempts,
    /// The request is suspected of crashing targets.
    SuspectedCrash,
    /// There are too few durations to compute the delay of a hedge.
    TooFewSamples,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotIdempotent => "the request may have run and is not idempotent",
            Self::Budget => "the retry budget is exhausted",
            Self::Shedding => "the service sheds load",
            Self::Deadline => "the deadline is too near",
            Self::Attempts => "the request has reached the maximum number of attempts",
            Self::SuspectedCrash => "the request is suspected of crashing targets",
            Self::TooFewSamples => "there are too few durations to compute the delay of a hedge",
        })
    }
}

/// The state of a request that may be retried or hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a target may have run it.
    pub sent: bool,
    /// The number of attempts so far, including the first one.
    pub count: u32,
    /// The time of the first attempt.
    pub first: Millis,
    /// When the answer is due.
    pub deadline: Millis,
    /// How long it is expected to run.
    pub expected_duration: Millis,
    /// The number of crashes of targets that are attributed to requests with the
    /// same fingerprint.
    pub strikes: u32,
    /// Whether the service sheds load at this entry.
    pub shedding: bool,
}

/// The budget of one service for retries and hedges.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    millitokens: u32,
}

impl Budget {
    /// Returns an empty budget. With an initial balance, a restarted entry could
    /// exceed the limit on added work with its first requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + DEPOSIT_MILLITOKENS).min(BALANCE_MAX_MILLITOKENS);
    }

    /// Returns how many retries or hedges the budget allows now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.millitokens / COST_MILLITOKENS
    }

    /// Decides whether a failed request is retried, withdraws its cost, and
    /// returns the delay before the retry.
    ///
    /// # Errors
    ///
    /// Returns why the request is not retried.
    pub fn retry<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        attempt: &Attempt,
    ) -> Result<Millis, Denied> {
        check_attempt(attempt)?;
        // Requests are blocked after two strikes. A single crash may be a
        // coincidence.
        if attempt.strikes > 1 {
            return Err(Denied::SuspectedCrash);
        }
        let mean_delay = RETRY_DELAY.0 << attempt.count.saturating_sub(1).min(4);
        let delay = Millis(rng.random_range(mean_delay / 2..=mean_delay * 3 / 2));
        check_deadline(now + delay, attempt)?;
        // No target has worked on a request that was not sent, so the retry adds
        // no work and is free.
        if attempt.sent {
            self.withdraw()?;
        }
        Ok(delay)
    }

    /// Decides whether a request without an answer is hedged now, and withdraws
    /// the cost.
    ///
    /// # Errors
    ///
    /// Returns why the request is not hedged.
    pub fn hedge(&mut self, now: Millis, attempt: &Attempt) -> Result<(), Denied> {
        check_hedge(attempt)?;
        check_deadline(now, attempt)?;
        self.withdraw()
    }

    /// Returns the cost of a retry or hedge that could not be sent.
    pub fn refund(&mut self) {
        self.millitokens = (self.millitokens + COST_MILLITOKENS).min(BALANCE_MAX_MILLITOKENS);
    }

    fn withdraw(&mut self) -> Result<(), Denied> {
        self.millitokens = self
            .millitokens
            .checked_sub(COST_MILLITOKENS)
            .ok_or(Denied::Budget)?;
        Ok(())
    }
}

/// Returns the time at which a request that was just sent should be hedged, for
/// the caller's timer.
///
/// # Errors
///
/// Returns why the request will not be hedged.
pub fn hedge_time(attempt: &Attempt, known: Percentiles) -> Result<Millis, Denied> {
    check_hedge(attempt)?;
    let delay = known.p95.ok_or(Denied::TooFewSamples)?.max(HEDGE_DELAY_MIN);
    let at = attempt.first + delay;
    check_deadline(at, attempt)?;
    Ok(at)
}

fn check_attempt(attempt: &Attempt) -> Result<(), Denied> {
    if attempt.sent && !attempt.idempotent {
        return Err(Denied::NotIdempotent);
    }
    if attempt.shedding {
        return Err(Denied::Shedding);
    }
    if attempt.count >= ATTEMPTS_MAX {
        return Err(Denied::Attempts);
    }
    Ok(())
}

fn check_hedge(attempt: &Attempt) -> Result<(), Denied> {
    check_attempt(attempt)?;
    if !attempt.idempotent {
        return Err(Denied::NotIdempotent);
    }
    // If the request does crash targets, a hedge would crash a second one.
    if attempt.strikes > 0 {
        return Err(Denied::SuspectedCrash);
    }
    Ok(())
}

fn check_deadline(start: Millis, attempt: &Attempt) -> Result<(), Denied> {
    if start + attempt.expected_duration > attempt.deadline {
        return Err(Denied::Deadline);
    }
    Ok(())
}
