//! What a caller is told when its request is not carried through.
//!
//! Each refusal has a stable code and says whether the request was run. There
//! are only two outcomes, since a third such as "probably not" would be of no
//! use to a caller that has to decide whether to repeat a payment. See
//! [docs/design.md](../../../docs/design.md), section 3.4.

use std::fmt;

use crate::domain::Millis;

/// Whether a target may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No target has run it or will run it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as callers and logs see it.
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
    /// No document is in force for the service.
    UnknownService,
    /// No target may take the request.
    NoTarget,
    /// All slots are taken and the queue is full, or the deadline is too near.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The target could not be reached.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// The same key is being run.
    InProgress,
    /// The request with this key was executed, but its answer is not kept.
    NotKept,
    /// The key was used for another request.
    KeyReused,
    /// The homes of the key did not answer.
    ClaimUnavailable,
    /// The request has crashed targets.
    Blocked,
    /// A region, a link or a shift is at its limit.
    Limited,
    /// The body is too large.
    TooLarge,
    /// The head is too large.
    HeadTooLarge,
}

impl Code {
    /// Returns the code as callers see it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::NoTarget => "no-target",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline-exceeded",
            Self::Unreachable => "target-unreachable",
            Self::Broken => "connection-broken",
            Self::InProgress => "in-progress",
            Self::NotKept => "answer-not-kept",
            Self::KeyReused => "key-reused",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::Blocked => "request-blocked",
            Self::Limited => "limit-reached",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
        }
    }

    /// Returns the HTTP status, which other front ends may map further.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownService => 404,
            Self::InProgress | Self::NotKept => 409,
            Self::KeyReused => 422,
            Self::TooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::Blocked => 403,
            Self::NoTarget | Self::Overloaded | Self::ClaimUnavailable | Self::Limited => 503,
            Self::Unreachable | Self::Broken => 502,
            Self::Deadline => 504,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal or failure, with all that its caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The stable code.
    pub code: Code,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The step and the peer, for people.
    pub detail: String,
    /// When to try again, if that helps.
    pub retry: Option<Millis>,
}

impl Refusal {
    /// Returns a refusal of a request that no target has run.
    #[must_use]
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry: None,
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

    /// Says when to try again.
    #[must_use]
    pub fn retry_after(mut self, time: Millis) -> Self {
        self.retry = Some(time);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl std::error::Error for Refusal {}
