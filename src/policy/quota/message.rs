//! The messages between entries and granters.

use crate::domain::{EntryId, Millis, WorkspaceName};

/// The maximum number of workspaces in a message. Others are left to the next one.
pub const NEEDS_MAX: usize = 256;

/// A time of a granter, which an entry sends back with its next ask. A delegation
/// counts from this time, so that a delayed one ends no later than the entry assumes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Echo {
    /// A random number that identifies the run of the granter, whose clock restarts.
    pub life: u64,
    /// The time by the clock of the granter.
    pub at: Millis,
}

/// What an entry needs for one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Need {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The number of requests that wait for a token.
    pub waiting: u32,
    /// The number of further tokens that are likely to be used while they are valid.
    pub expected: u32,
    /// The number of tokens of this granter that the entry gives back unused.
    pub returned: u32,
    /// The number of requests since the last ask.
    pub used: u32,
}

impl Need {
    /// Returns a need for nothing.
    #[must_use]
    pub fn new(workspace: WorkspaceName) -> Self {
        Self {
            workspace,
            waiting: 0,
            expected: 0,
            returned: 0,
            used: 0,
        }
    }

    /// Returns the number of tokens that are asked for.
    #[must_use]
    pub fn asked(&self) -> u32 {
        self.waiting.saturating_add(self.expected)
    }
}

/// A call of an entry to a granter.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The entry that asks.
    pub entry: EntryId,
    /// The number of entries that share limits, of which the entry delegates its part,
    /// or 0 if it delegates none.
    pub sharers: u32,
    /// The latest time of the granter that the entry knows, if it delegates its part.
    pub echo: Option<Echo>,
    /// Whether the entry is a granter itself and asks for tokens that are spare.
    pub for_others: bool,
    /// The needs.
    pub needs: Vec<Need>,
}

/// When a workspace without tokens has room again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// The time until the next token.
    pub after: Millis,
    /// The time over which those that return should be spread, since more wait than
    /// one token serves.
    pub spread: Millis,
}

impl Room {
    /// Returns the time after which one caller may retry. `hash` distinguishes it from
    /// others.
    #[must_use]
    pub fn retry_after(&self, hash: u64) -> Millis {
        self.after + Millis(hash % (self.spread.0 + 1))
    }
}

/// What a granter gives for one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The number of tokens.
    pub tokens: u32,
    /// Whether the granter asks the granters of other regions for the tokens that lack.
    pub pending: bool,
    /// When there is room again, if tokens lack and no other granter has any.
    pub room: Option<Room>,
}

/// The answer of a granter.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The time of the granter.
    pub echo: Echo,
    /// What it gives for each need.
    pub grants: Vec<Grant>,
}
