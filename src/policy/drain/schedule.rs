//! The schedule of a stop that ends with a kill.

use crate::domain::Millis;

/// The fraction of the grace period during which connections are accepted,
/// because callers learn of the stop only from their next lookup.
const ACCEPT_FRACTION: f64 = 0.55;

/// The fraction of the grace period after which the requests that still run get
/// a final answer.
const ANSWER_FRACTION: f64 = 0.94;

/// The fraction of the grace period after which the process ends. The rest
/// covers a late start of the stop: the grace period runs from the signal.
const EXIT_FRACTION: f64 = 0.97;

/// The schedule of a process that is killed when its grace period ends.
///
/// A request that is still running then is lost without an answer, and it may
/// have run. So the schedule takes a new request only if its whole time limit
/// lies before the end. An estimate of its duration is not enough: a target may
/// be slow, and a response may be on its way over a narrow link for longer than
/// its target worked on it. The caller of a refused request still has the time
/// to use another entry. The same holds for each attempt of a request that was
/// taken before the stop. Only a body that its caller still receives after its
/// time limit may be broken off by the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    began: Millis,
    grace: Millis,
}

impl StopSchedule {
    /// Returns the schedule of a stop that begins now.
    #[must_use]
    pub fn begin(now: Millis, grace: Millis) -> Self {
        Self { began: now, grace }
    }

    /// Returns how long the stop has been going on.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        now - self.began
    }

    /// Returns the time until which connections are accepted.
    #[must_use]
    pub fn accept_until(&self) -> Millis {
        self.began + self.grace.fraction(ACCEPT_FRACTION)
    }

    /// Returns the time by which every request must have its final answer.
    #[must_use]
    pub fn answer_by(&self) -> Millis {
        self.began + self.grace.fraction(ANSWER_FRACTION)
    }

    /// Returns the time at which the process ends, whatever is still running.
    #[must_use]
    pub fn exit_at(&self) -> Millis {
        self.began + self.grace.fraction(EXIT_FRACTION)
    }

    /// Returns whether a new request with the given deadline is taken.
    #[must_use]
    pub fn admits(&self, deadline: Millis) -> bool {
        deadline <= self.answer_by()
    }
}
