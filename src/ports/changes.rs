//! Fetches changes of the platform from another entry.

use std::{fmt, net::SocketAddr};

use super::{Batch, Call};
use crate::{
    domain::{Millis, Position},
    policy::demand::{EntryReport, RegionDemand},
};

/// What another entry asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangesQuery {
    /// The position up to which the other entry has all changes, or none if it asks
    /// for the complete state.
    pub after: Option<Position>,
    /// Whether the other entry knows eras of the store. If not, the era of that
    /// position means nothing.
    pub has_era: bool,
    /// How long to wait for a first change.
    pub wait: Millis,
    /// The demand of the other entry, if it reports any.
    pub report: Option<EntryReport>,
}

/// A request to another entry for the changes after a position.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchRequest {
    /// The address at which the other entry serves changes.
    pub peer: SocketAddr,
    /// The position up to which the sender has all changes, or none to request
    /// the complete state.
    pub after: Option<Position>,
    /// How long the other entry waits for a first change before it answers.
    pub wait: Millis,
    /// The demand of the sender, if the other entry adds up that of their region.
    pub report: Option<EntryReport>,
}

/// A batch of changes from another entry, with its age.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedBatch {
    /// The changes.
    pub batch: Batch,
    /// The time since the store was known to be in this state.
    pub age: Millis,
    /// Whether the changes are the difference between two states, which lacks
    /// what was undone between them.
    pub has_gap: bool,
    /// The demand of the region as the other entry has added it up, if it does.
    pub demand: Option<RegionDemand>,
}

/// Why changes could not be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchError {
    /// The other entry no longer has all changes after the revision.
    Compacted,
    /// The other entry has not read any state yet.
    Empty,
    /// The other entry is of an earlier version, which does not notice that the
    /// store has come back from an older copy.
    NoEra,
    /// The call failed.
    Failed {
        /// The step that failed.
        step: &'static str,
        /// The address of the other entry.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => {
                f.write_str("the entry no longer has the changes after the revision")
            }
            Self::NoEra => f.write_str("the entry is of a version that knows no eras"),
            Self::Empty => f.write_str("the entry has no state yet"),
            Self::Failed { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for FetchError {}

/// The port to other entries.
#[derive(Clone)]
pub struct Changes {
    /// Fetches changes from another entry.
    pub fetch: Call<FetchRequest, Result<AgedBatch, FetchError>>,
}

impl fmt::Debug for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Changes")
    }
}
