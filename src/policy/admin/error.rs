//! Errors of the administration API.

use std::fmt;

use crate::{
    domain::{Millis, Revision},
    policy::refusal::Outcome,
};

macro_rules! codes {
    ($($(#[$doc:meta])* $var:ident = $status:literal $word:literal),+ $(,)?) => {
        /// The stable error codes of the administration API.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Code {
            $($(#[$doc])* $var,)+
        }

        impl Code {
            /// All codes, in the order of their status.
            pub const ALL: &[Self] = &[$(Self::$var),+];

            /// Returns the code as it appears in responses.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$var => $word,)+ }
            }

            /// Returns the HTTP status. Front ends with another protocol may
            /// map it to their own codes.
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
    /// The token is missing or belongs to no team.
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
    /// The edit does not state which revision it replaces.
    BaseMissing = 428 "base-missing",
    /// The store holds a record that cannot be read.
    InvalidRecord = 500 "invalid-record",
    /// The entry does not have every document yet.
    NotReady = 503 "not-ready",
    /// The store does not answer.
    StoreUnavailable = 503 "store-unavailable",
    /// The store's response to the write was lost.
    StoreAnswerLost = 504 "store-answer-lost",
);

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error of the administration API, with everything that the response
/// reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminError {
    /// The stable code.
    pub code: Code,
    /// Whether the edit may have taken effect.
    pub outcome: Outcome,
    /// A description for operators, with the failed step and the peer if there
    /// are any.
    pub detail: String,
    /// Every fault of an invalid document.
    pub faults: Vec<String>,
    /// The revision from which the edit started.
    pub base: Option<Revision>,
    /// The store's current revision.
    pub found: Option<Revision>,
    /// The time after which a retry may succeed, if it may.
    pub retry: Option<Millis>,
}

impl AdminError {
    /// Returns the error of a request that changed nothing.
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

    /// Returns the error of an edit that may have taken effect.
    #[must_use]
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::new(Code::StoreAnswerLost, detail)
        }
    }

    /// Sets the faults of an invalid document.
    #[must_use]
    pub fn faults(mut self, faults: Vec<String>) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the revision from which the edit started.
    #[must_use]
    pub fn base(mut self, revision: Revision) -> Self {
        self.base = Some(revision);
        self
    }

    /// Sets the store's current revision.
    #[must_use]
    pub fn found(mut self, revision: Revision) -> Self {
        self.found = Some(revision);
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, time: Millis) -> Self {
        self.retry = Some(time);
        self
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl std::error::Error for AdminError {}
