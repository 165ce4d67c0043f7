//! Errors for callers whose request was refused or failed.
//!
//! Each refusal has a stable code and states whether the request may have run.
//! There are only two outcomes: a third one such as "probably not" would not help
//! a caller that has to decide whether to repeat a payment. See
//! [docs/design.md](../../../docs/design.md), section 3.4.

use std::fmt;

use crate::domain::Millis;

/// Whether a target may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No target has run the request or will run it.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it is written to headers, answers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The stable codes of refusals and failures.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// There is no document in force for the service.
    UnknownService,
    /// The request has no key, or none of a workspace.
    UnknownKey,
    /// The entry cannot know whether the key was withdrawn.
    KeysOutdated,
    /// No target accepts requests.
    NoTarget,
    /// The queue is full, requests of this priority are shed, or the deadline
    /// cannot be met.
    Overloaded,
    /// The entry is stopping and ends before the deadline of the request. Any
    /// other entry can take it at once.
    Stopping,
    /// The deadline passed.
    DeadlineExceeded,
    /// The target could not be reached.
    TargetUnreachable,
    /// The connection broke after the request was sent.
    ConnectionBroken,
    /// Another request with the same idempotency key is running.
    InProgress,
    /// The request with this idempotency key was executed, but its answer was not
    /// kept.
    AnswerNotKept,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The entries that store claims of the idempotency key, its homes, did not
    /// answer.
    ClaimUnavailable,
    /// The request is blocked, since it has crashed targets.
    RequestBlocked,
    /// A region, a link or a shift is at its limit.
    LimitReached,
    /// The quota of the caller's workspace is used up.
    QuotaExceeded,
    /// The entry that keeps the quota of the caller's workspace cannot be reached, and
    /// the part of this entry is used up.
    QuotaUnavailable,
    /// The body is too large.
    TooLarge,
    /// The head is too large.
    HeadTooLarge,
}

impl Code {
    /// Returns the code as it is written to headers, answers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::UnknownKey => "unknown-key",
            Self::KeysOutdated => "keys-outdated",
            Self::NoTarget => "no-target",
            Self::Overloaded => "overloaded",
            Self::Stopping => "stopping",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::TargetUnreachable => "target-unreachable",
            Self::ConnectionBroken => "connection-broken",
            Self::InProgress => "in-progress",
            Self::AnswerNotKept => "answer-not-kept",
            Self::KeyReused => "key-reused",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::RequestBlocked => "request-blocked",
            Self::LimitReached => "limit-reached",
            Self::QuotaExceeded => "quota-exceeded",
            Self::QuotaUnavailable => "quota-unavailable",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
        }
    }

    /// Returns the HTTP status of the code. Other protocols may map it further.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::UnknownService => 404,
            Self::InProgress | Self::AnswerNotKept => 409,
            Self::KeyReused => 422,
            Self::TooLarge => 413,
            Self::QuotaExceeded => 429,
            Self::HeadTooLarge => 431,
            Self::RequestBlocked => 403,
            Self::KeysOutdated
            | Self::NoTarget
            | Self::Overloaded
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::LimitReached
            | Self::QuotaUnavailable => 503,
            Self::TargetUnreachable | Self::ConnectionBroken => 502,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal or failure, with all that is reported to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The stable code.
    pub code: Code,
    /// Whether a target may have run the request.
    pub outcome: Outcome,
    /// A message for people that names the failed step and the peer.
    pub detail: String,
    /// The time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Returns a refusal of a request that no target has run.
    #[must_use]
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Returns a failure of a request that a target may have run.
    #[must_use]
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, time: Millis) -> Self {
        self.retry_after = Some(time);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl std::error::Error for Refusal {}
