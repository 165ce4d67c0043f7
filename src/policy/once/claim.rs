//! What a home keeps for a key, and the requests that change it.

use std::{fmt, sync::Arc};

use super::{Answer, AttemptId, ClaimKey, Fingerprint, Member};
use crate::domain::{Epoch, Millis};

/// A request to a home to grant a key to an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// The key.
    pub key: ClaimKey,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: AttemptId,
    /// The entry that runs the attempt.
    pub claimant: Member,
    /// The epoch in which the vote is to count.
    pub epoch: Epoch,
}

/// Notice to a home that an attempt was not dispatched and never will be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The key.
    pub key: ClaimKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Notice to a home that an attempt was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// The key.
    pub key: ClaimKey,
    /// What the request asked for.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target's answer, or none if it did not arrive completely.
    pub answer: Option<Arc<Answer>>,
}

/// An attempt that has the vote of a home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The attempt.
    pub attempt: AttemptId,
    /// What its request asks for.
    pub fingerprint: Fingerprint,
    /// The entry that runs it, for operators.
    pub claimant: Member,
    /// The epoch in which the vote was given.
    pub epoch: Epoch,
}

/// The state of a key at one home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// The attempts that may have won. A home grants a key to one attempt only;
    /// more than one come from a transfer, when the former homes disagreed.
    /// Then nobody gets a vote until all but one are released.
    Held(Vec<Holder>),
    /// An attempt was executed.
    Finished {
        /// What its request asked for.
        fingerprint: Fingerprint,
        /// The answer, if it was kept.
        answer: Option<Arc<Answer>>,
    },
}

/// What a home keeps for a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The state.
    pub state: State,
    /// When the home forgets the claim, on its own clock.
    pub expiry: Millis,
    /// Released attempts. A vote or a copy that arrives late must not hold the
    /// key for an attempt that nobody will release again.
    pub released: Vec<AttemptId>,
}

/// How many released attempts a claim remembers. Late messages are rare, so a
/// few suffice.
const RELEASED_MAX: usize = 4;

impl Claim {
    /// Returns a claim that nobody holds.
    pub(super) fn new(expiry: Millis) -> Self {
        Self {
            state: State::Held(Vec::new()),
            expiry,
            released: Vec::new(),
        }
    }

    /// Returns whether no attempt holds the key.
    pub(super) fn is_free(&self) -> bool {
        matches!(&self.state, State::Held(holders) if holders.is_empty())
    }

    /// Adds a holder unless it is known or released.
    pub(super) fn hold(&mut self, holder: Holder) {
        let released = self.released.contains(&holder.attempt);
        if let State::Held(holders) = &mut self.state {
            let known = holders.iter().any(|h| h.attempt == holder.attempt);
            if !known && !released {
                // A vector that grows by itself starts with room for four.
                holders.reserve_exact(1);
                holders.push(holder);
            }
        }
    }

    /// Removes a holder and remembers that it was released.
    pub(super) fn release(&mut self, attempt: AttemptId) {
        let State::Held(holders) = &mut self.state else {
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

impl fmt::Display for State {
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
