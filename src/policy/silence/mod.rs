//! Connections that have stopped responding.
//!
//! Some open connections never answer again while new ones to the same target
//! work. TCP does not notice it if the peer's kernel still acknowledges, so a
//! lack of progress is judged by the lane's usual durations. The judgement can
//! be wrong for a straggler; then only a hedge was spent, because a connection
//! is retired only once the same request was answered on another one. See
//! [docs/design.md](../../../docs/design.md), section 3.11.

use crate::domain::Millis;

/// When TCP starts to probe an idle connection.
pub const KEEPALIVE_IDLE: Millis = Millis(2000);

/// The time between two TCP probes.
pub const KEEPALIVE_INTERVAL: Millis = Millis(1000);

/// How many TCP probes may remain unanswered.
pub const KEEPALIVE_PROBES: u32 = 3;

/// How long written data may remain unacknowledged.
pub const USER_TIMEOUT: Millis = Millis(5000);

/// How long a pooled connection may be idle before it is closed.
pub const IDLE_MAX: Millis = Millis(10_000);

/// A connection is silent after this many times the lane's p99.
const SILENT_FACTOR: u64 = 4;

/// The shortest time after which a connection counts as silent.
const SILENT_MIN: Millis = Millis(1000);

/// The time after which a connection counts as silent as long as too few
/// durations are known.
const SILENT_UNKNOWN: Millis = Millis(5000);

/// Returns how long a connection may make no progress, given the p99 of the
/// lane.
#[must_use]
pub fn patience(p99: Option<Millis>) -> Millis {
    let limit = p99.map(|t| Millis(t.0.saturating_mul(SILENT_FACTOR)));
    limit.unwrap_or(SILENT_UNKNOWN).max(SILENT_MIN)
}

/// What to do about a request whose connection makes no progress.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Look again at the instant.
    Wait(Millis),
    /// Send the request again on a new connection.
    Hedge,
    /// Tell the caller that the outcome is unknown.
    GiveUp,
}

/// What to do with a connection when its request has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fate {
    /// It may serve further requests.
    Keep,
    /// It must be closed and not be used again.
    Retire,
}

/// The progress of one request on one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    last: Millis,
    deadline: Millis,
    idempotent: bool,
    hedged: bool,
    started: bool,
}

impl Progress {
    /// Starts to observe a request that is sent now.
    #[must_use]
    pub fn new(now: Millis, deadline: Millis, idempotent: bool) -> Self {
        Self {
            last: now,
            deadline,
            idempotent,
            hedged: false,
            started: false,
        }
    }

    /// Records that bytes went either way. `head` says that the answer has begun,
    /// after which a hedge could not replace it any more.
    pub fn moved(&mut self, now: Millis, head: bool) {
        self.last = self.last.max(now);
        self.started |= head;
    }

    /// Records that the request was hedged, for whatever reason.
    pub fn hedged(&mut self) {
        self.hedged = true;
    }

    /// Says whether the connection is silent.
    #[must_use]
    pub fn silent(&self, now: Millis, p99: Option<Millis>) -> bool {
        now - self.last >= patience(p99)
    }

    /// Decides what to do now.
    ///
    /// A request that may not be repeated waits until its deadline, since it may
    /// have run. The deadline does not end an answer that has begun: a download
    /// takes as long as it makes progress.
    #[must_use]
    pub fn check(&self, now: Millis, p99: Option<Millis>) -> Action {
        if self.started {
            return self.check_body(now, p99);
        }
        if now >= self.deadline {
            return Action::GiveUp;
        }
        if self.hedged || !self.idempotent {
            return Action::Wait(self.deadline);
        }
        if self.silent(now, p99) {
            return Action::Hedge;
        }
        Action::Wait(self.deadline.min(self.last + patience(p99)))
    }

    /// An answer that has begun ends when neither bytes nor its deadline are
    /// left.
    fn check_body(&self, now: Millis, p99: Option<Millis>) -> Action {
        let end = self.deadline.max(self.last + patience(p99));
        if now >= end {
            Action::GiveUp
        } else {
            Action::Wait(end)
        }
    }

    /// Decides what becomes of the connection when its request has ended without
    /// an answer on it, because the hedge won or the caller gave up.
    #[must_use]
    pub fn fate(&self, now: Millis, p99: Option<Millis>) -> Fate {
        if self.silent(now, p99) {
            Fate::Retire
        } else {
            Fate::Keep
        }
    }
}

/// Says whether a pooled connection has been idle for too long.
#[must_use]
pub fn is_stale(now: Millis, used: Millis) -> bool {
    now - used > IDLE_MAX
}
