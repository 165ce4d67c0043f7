//! Detection of silent connections, which are open but have stopped responding.
//!
//! An open connection may never respond again while new connections to the same
//! target work. TCP does not detect this if the peer's kernel still
//! acknowledges data, so a connection counts as silent if it makes no progress
//! for a time that depends on the usual durations of the lane. A straggler can
//! be mistaken for a silent connection. This costs only a hedge, because a
//! connection is retired only after the same request was answered on another
//! one. See [docs/design.md](../../../docs/design.md), section 3.11.

use crate::domain::Millis;

/// How long a connection is idle before TCP sends keepalive probes.
pub const KEEPALIVE_IDLE: Millis = Millis(2000);

/// The time between two TCP keepalive probes.
pub const KEEPALIVE_INTERVAL: Millis = Millis(1000);

/// How many unanswered TCP keepalive probes close the connection.
pub const KEEPALIVE_PROBES: u32 = 3;

/// How long written data may remain unacknowledged before TCP closes the
/// connection.
pub const TCP_USER_TIMEOUT: Millis = Millis(5000);

/// How long a pooled connection may be idle before it is closed.
pub const POOL_IDLE_MAX: Millis = Millis(10_000);

/// The time after which a connection counts as silent, as a multiple of the
/// lane's p99.
const SILENCE_P99_FACTOR: u64 = 4;

/// The shortest time after which a connection counts as silent.
const SILENCE_TIMEOUT_MIN: Millis = Millis(1000);

/// The time after which a connection counts as silent while too few durations
/// have been measured to give a p99.
const SILENCE_TIMEOUT_DEFAULT: Millis = Millis(5000);

/// Returns how long a connection may go without progress before it counts as
/// silent, given the p99 of the lane.
#[must_use]
pub fn timeout(p99: Option<Millis>) -> Millis {
    let limit = p99.map(|t| Millis(t.0.saturating_mul(SILENCE_P99_FACTOR)));
    limit
        .unwrap_or(SILENCE_TIMEOUT_DEFAULT)
        .max(SILENCE_TIMEOUT_MIN)
}

/// What to do about a request whose connection makes no progress.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Check again at this time.
    Wait(Millis),
    /// Send the request again on a new connection.
    Hedge,
    /// Stop waiting and tell the caller that the outcome is unknown.
    GiveUp,
}

/// What happens to a connection when its request has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Disposition {
    /// It may serve further requests.
    Keep,
    /// It must be closed and not used again.
    Retire,
}

/// The progress of one request on one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    last_active: Millis,
    deadline: Millis,
    idempotent: bool,
    hedged: bool,
    response_started: bool,
}

impl Progress {
    /// Returns the progress of a request that is sent now.
    #[must_use]
    pub fn new(now: Millis, deadline: Millis, idempotent: bool) -> Self {
        Self {
            last_active: now,
            deadline,
            idempotent,
            hedged: false,
            response_started: false,
        }
    }

    /// Records that bytes were sent or received. `head_received` means that the
    /// response has begun, after which a hedge can no longer replace it.
    pub fn record_progress(&mut self, now: Millis, head_received: bool) {
        self.last_active = self.last_active.max(now);
        self.response_started |= head_received;
    }

    /// Records that the request was hedged, for this or any other reason.
    pub fn record_hedge(&mut self) {
        self.hedged = true;
    }

    /// Reports whether the connection is silent.
    #[must_use]
    pub fn is_silent(&self, now: Millis, p99: Option<Millis>) -> bool {
        now - self.last_active >= timeout(p99)
    }

    /// Decides what to do now.
    ///
    /// A request that is not idempotent waits until its deadline, since it may
    /// have been executed. The deadline does not end a response that has begun:
    /// a download may continue as long as it makes progress.
    #[must_use]
    pub fn check(&self, now: Millis, p99: Option<Millis>) -> Action {
        if self.response_started {
            return self.check_response(now, p99);
        }
        if now >= self.deadline {
            return Action::GiveUp;
        }
        if self.hedged || !self.idempotent {
            return Action::Wait(self.deadline);
        }
        if self.is_silent(now, p99) {
            return Action::Hedge;
        }
        Action::Wait(self.deadline.min(self.last_active + timeout(p99)))
    }

    /// Gives up on a response that has begun once its deadline has passed and
    /// the connection is silent.
    fn check_response(&self, now: Millis, p99: Option<Millis>) -> Action {
        let end = self.deadline.max(self.last_active + timeout(p99));
        if now >= end {
            Action::GiveUp
        } else {
            Action::Wait(end)
        }
    }

    /// Decides whether the connection is kept after its request has ended
    /// without a response on it, because the hedge was answered first or the
    /// caller gave up.
    #[must_use]
    pub fn disposition(&self, now: Millis, p99: Option<Millis>) -> Disposition {
        if self.is_silent(now, p99) {
            Disposition::Retire
        } else {
            Disposition::Keep
        }
    }
}

/// Reports whether a pooled connection has been idle for longer than
/// [`POOL_IDLE_MAX`].
#[must_use]
pub fn is_stale(now: Millis, last_used: Millis) -> bool {
    now - last_used > POOL_IDLE_MAX
}
