//! Retries and hedges.
//!
//! One [`Budget`] per service pays for both, so that together they add at most
//! 5% of work however many requests fail. Without it, retries multiply the load
//! exactly when targets are overloaded, and the overload then outlives its
//! cause. The price is that some requests fail that a retry would have saved.
//!
//! The functions only decide. The caller sends the retry or hedge, to a target
//! that [`Pool::choose`](crate::policy::target::Pool::choose) returns for an ask
//! with `extra`. See [docs/design.md](../../../docs/design.md), section 3.7.

mod window;

use std::fmt;

use rand::Rng;

use crate::domain::Millis;

pub use window::{Percentiles, Window};

/// What one first attempt earns, in thousandths of a retry. It is the 5% of
/// added work that the design allows.
const EARN: u32 = 50;

/// What one retry or hedge costs, in thousandths.
const COST: u32 = 1000;

/// The most that is saved up, in thousandths: ten retries.
const CAP: u32 = 10_000;

/// The mean delay before the first retry. It doubles with each further one.
const RETRY_DELAY: Millis = Millis(20);

/// How often a request is sent again, at most.
const ATTEMPTS_MAX: u32 = 3;

/// The shortest time after which a request is hedged.
const HEDGE_MIN: Millis = Millis(5);

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Denied {
    /// It may have run and must not run twice.
    NotIdempotent,
    /// The budget is used up.
    Budget,
    /// The service sheds load.
    Shedding,
    /// The answer could not be there before the deadline.
    Deadline,
    /// It was sent often enough.
    Attempts,
    /// It is suspected of crashing targets.
    Suspect,
    /// Too few durations are known to tell a late answer from a usual one.
    Unknown,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotIdempotent => "the request may not be repeated",
            Self::Budget => "the retry budget is used up",
            Self::Shedding => "the service sheds load",
            Self::Deadline => "the deadline is too near",
            Self::Attempts => "the request was sent often enough",
            Self::Suspect => "the request is suspected of crashing targets",
            Self::Unknown => "too few durations are known",
        })
    }
}

/// The request that may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether a target may have run it.
    pub sent: bool,
    /// How often it was sent, the first time included.
    pub count: u32,
    /// When it was first sent.
    pub first: Millis,
    /// Until when the answer must be there.
    pub deadline: Millis,
    /// How long it is expected to run.
    pub length: Millis,
    /// How often a request of this shape has crashed a target.
    pub strikes: u32,
    /// Whether the service sheds load at this entry.
    pub shedding: bool,
}

/// The budget of one service for retries and hedges.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: u32,
}

impl Budget {
    /// Returns an empty budget. It starts empty so that a restarted entry cannot
    /// exceed the limit with its first requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARN).min(CAP);
    }

    /// Returns how many retries or hedges can be paid now.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.tokens / COST
    }

    /// Decides whether a failed request is sent again, pays for it, and returns
    /// the delay before it is sent.
    ///
    /// # Errors
    ///
    /// Returns why the request is not sent again.
    pub fn retry<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        attempt: &Attempt,
    ) -> Result<Millis, Denied> {
        check(attempt)?;
        // Two strikes block a request, so a single one may be chance.
        if attempt.strikes > 1 {
            return Err(Denied::Suspect);
        }
        let doubled = RETRY_DELAY.0 << attempt.count.saturating_sub(1).min(4);
        let delay = Millis(rng.random_range(doubled / 2..=doubled * 3 / 2));
        in_time(now + delay, attempt)?;
        // No target has worked on a request that was not sent, so sending it
        // elsewhere adds no work.
        if attempt.sent {
            self.pay()?;
        }
        Ok(delay)
    }

    /// Decides whether a request without an answer is hedged now, and pays for
    /// it.
    ///
    /// # Errors
    ///
    /// Returns why the request is not hedged.
    pub fn hedge(&mut self, now: Millis, attempt: &Attempt) -> Result<(), Denied> {
        check_hedge(attempt)?;
        in_time(now, attempt)?;
        self.pay()
    }

    /// Returns what was paid for a hedge or retry that could not be sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + COST).min(CAP);
    }

    fn pay(&mut self) -> Result<(), Denied> {
        self.tokens = self.tokens.checked_sub(COST).ok_or(Denied::Budget)?;
        Ok(())
    }
}

/// Returns the instant at which a request that was just sent should be hedged,
/// so that the caller can set a timer.
///
/// # Errors
///
/// Returns why the request will not be hedged.
pub fn hedge_at(attempt: &Attempt, known: Percentiles) -> Result<Millis, Denied> {
    check_hedge(attempt)?;
    let delay = known.p95.ok_or(Denied::Unknown)?.max(HEDGE_MIN);
    let at = attempt.first + delay;
    in_time(at, attempt)?;
    Ok(at)
}

fn check(attempt: &Attempt) -> Result<(), Denied> {
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
    check(attempt)?;
    if !attempt.idempotent {
        return Err(Denied::NotIdempotent);
    }
    // A hedge would let it crash two targets at once.
    if attempt.strikes > 0 {
        return Err(Denied::Suspect);
    }
    Ok(())
}

fn in_time(start: Millis, attempt: &Attempt) -> Result<(), Denied> {
    if start + attempt.length > attempt.deadline {
        return Err(Denied::Deadline);
    }
    Ok(())
}
