//! Failures of the administration.

use std::fmt;

use crate::{
    domain::{Millis, Revision},
    policy::refusal::Outcome,
};

macro_rules! codes {
    ($($(#[$doc:meta])* $var:ident = $status:literal $word:literal),+ $(,)?) => {
        /// The stable codes of the administration.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Code {
            $($(#[$doc])* $var,)+
        }

        impl Code {
            /// All codes, in the order of their status.
            pub const ALL: &[Self] = &[$(Self::$var),+];

            /// Returns the code as operators see it.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$var => $word,)+ }
            }

            /// Returns the HTTP status, which other front ends may map further.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$var => $status,)+ }
            }
        }
    };
}

codes!(
    /// The request is malformed.
    BadRequest = 400 "bad-request",
    /// The token is missing or of no team.
    BadToken = 401 "bad-token",
    /// Another team owns the document.
    OtherTeam = 403 "other-team",
    /// There is no such document.
    UnknownDocument = 404 "unknown-document",
    /// There is no such path.
    UnknownPath = 404 "unknown-path",
    /// The path does not accept the method.
    UnknownMethod = 405 "unknown-method",
    /// The body did not arrive in time.
    SlowBody = 408 "slow-body",
    /// Another edit came first.
    RevisionConflict = 412 "revision-conflict",
    /// The body, or the record that it would make, is too large.
    TooLarge = 413 "too-large",
    /// The document has faults.
    InvalidDocument = 422 "invalid-document",
    /// The editor does not say which revision it replaces.
    BaseMissing = 428 "base-missing",
    /// The store holds a record that cannot be read.
    InvalidRecord = 500 "invalid-record",
    /// The entry does not have every document yet.
    NotReady = 503 "not-ready",
    /// The store does not answer.
    StoreUnavailable = 503 "store-unavailable",
    /// The store's answer to the write was lost.
    StoreAnswerLost = 504 "store-answer-lost",
);

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failure, with all that an operator is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The stable code.
    pub code: Code,
    /// Whether the edit may have taken effect.
    pub outcome: Outcome,
    /// The step and the peer, for people.
    pub detail: String,
    /// Every fault of a document.
    pub faults: Vec<String>,
    /// The revision from which the edit started.
    pub base: Option<Revision>,
    /// The revision that the store is at.
    pub found: Option<Revision>,
    /// When to try again, if that helps.
    pub retry: Option<Millis>,
}

impl Failure {
    /// Returns the failure of a request that changed nothing.
    #[must_use]
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            faults: Vec::new(),
            base: None,
            found: None,
            retry: None,
        }
    }

    /// Returns the failure of an edit that may have taken effect.
    #[must_use]
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::new(Code::StoreAnswerLost, detail)
        }
    }

    /// Lists the faults of a document.
    #[must_use]
    pub fn faults(mut self, faults: Vec<String>) -> Self {
        self.faults = faults;
        self
    }

    /// Says from which revision the edit started.
    #[must_use]
    pub fn base(mut self, revision: Revision) -> Self {
        self.base = Some(revision);
        self
    }

    /// Says which revision the store is at.
    #[must_use]
    pub fn found(mut self, revision: Revision) -> Self {
        self.found = Some(revision);
        self
    }

    /// Says when to try again.
    #[must_use]
    pub fn retry_after(mut self, time: Millis) -> Self {
        self.retry = Some(time);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl std::error::Error for Failure {}
