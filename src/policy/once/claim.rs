//! The state that a home stores for a key, and the messages that change it.

use std::{fmt, sync::Arc};

use super::{Answer, AttemptId, ClaimKey, Fingerprint, Member};
use crate::domain::{Epoch, Millis};

/// A request to a home to vote for an attempt, which grants it the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteRequest {
    /// The key.
    pub key: ClaimKey,
    /// The digest of the caller's request.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: AttemptId,
    /// The entry that runs the attempt.
    pub claimant: Member,
    /// The epoch that the vote belongs to.
    pub epoch: Epoch,
}

/// Tells a home that an attempt was not dispatched and never will be, so the
/// home removes its vote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The key.
    pub key: ClaimKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Tells a home that an attempt was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// The key.
    pub key: ClaimKey,
    /// The digest of the caller's request.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target's answer, or none if the response was incomplete.
    pub answer: Option<Arc<Answer>>,
}

/// An attempt that a home has voted for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The attempt.
    pub attempt: AttemptId,
    /// The digest of its request.
    pub fingerprint: Fingerprint,
    /// The entry that runs it. Only shown to operators.
    pub claimant: Member,
    /// The epoch in which the vote was given.
    pub epoch: Epoch,
}

/// The state of a key at one home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The attempts that may have won. A home votes for one attempt only. There
    /// is more than one after a transfer from former homes that had voted for
    /// different attempts; no attempt then gets a vote until all but one are
    /// released.
    Held(Vec<Holder>),
    /// An attempt was executed.
    Finished {
        /// The digest of its request.
        fingerprint: Fingerprint,
        /// The answer, if it was recorded.
        answer: Option<Arc<Answer>>,
    },
}

/// The record that a home stores for a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The state.
    pub state: ClaimState,
    /// When the home deletes the claim, by its own clock.
    pub expiry: Millis,
    /// Released attempts. A delayed vote request or transfer must not make one
    /// of them a holder again, since nobody would release it a second time.
    pub released: Vec<AttemptId>,
}

/// How many released attempts a claim remembers. Delayed messages are rare, so
/// a few are enough.
const RELEASED_MAX: usize = 4;

impl Claim {
    /// Returns a claim without holders.
    pub(super) fn new(expiry: Millis) -> Self {
        Self {
            state: ClaimState::Held(Vec::new()),
            expiry,
            released: Vec::new(),
        }
    }

    /// Returns whether no attempt holds the key.
    pub(super) fn is_free(&self) -> bool {
        matches!(&self.state, ClaimState::Held(holders) if holders.is_empty())
    }

    /// Adds a holder, unless it is already one or was released.
    pub(super) fn add_holder(&mut self, holder: Holder) {
        let released = self.released.contains(&holder.attempt);
        if let ClaimState::Held(holders) = &mut self.state {
            let known = holders.iter().any(|h| h.attempt == holder.attempt);
            if !known && !released {
                // `push` on an empty vector would allocate space for four.
                holders.reserve_exact(1);
                holders.push(holder);
            }
        }
    }

    /// Removes a holder and records it as released.
    pub(super) fn release(&mut self, attempt: AttemptId) {
        let ClaimState::Held(holders) = &mut self.state else {
            return;
        };
        holders.retain(|h| h.attempt != attempt);
        if self.released.contains(&attempt) {
            return;
        }
        if self.released.len() == RELEASED_MAX {
            self.released.remove(0);
        }
        self.released.push(attempt);
    }
}

impl fmt::Display for ClaimState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held(holders) if holders.is_empty() => f.write_str("free"),
            Self::Held(holders) => {
                let names: Vec<String> = holders
                    .iter()
                    .map(|h| format!("{} by {} in epoch {}", h.attempt, h.claimant, h.epoch))
                    .collect();
                write!(f, "held: {}", names.join(", "))
            }
            Self::Finished {
                answer: Some(answer),
                ..
            } => write!(f, "finished with {}", answer.status),
            Self::Finished { .. } => f.write_str("finished without an answer"),
        }
    }
}
