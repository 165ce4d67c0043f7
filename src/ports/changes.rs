//! Changes as one entry passes them on to another.

use std::{fmt, net::SocketAddr};

use super::{Batch, Call};
use crate::domain::{Millis, Revision};

/// Asks another entry for the changes after a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Where entries reach it.
    pub peer: SocketAddr,
    /// The revision up to which everything is known, or none if everything is
    /// asked for.
    pub after: Option<Revision>,
    /// How long it waits for news.
    pub wait: Millis,
}

/// What an entry knows.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The changes.
    pub batch: Batch,
    /// How long ago the store knew just this.
    pub age: Millis,
}

/// Why an entry passed nothing on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskError {
    /// It no longer has all changes after the revision.
    Compacted,
    /// It knows nothing yet.
    Empty,
    /// The call failed.
    Failed {
        /// The step that failed.
        step: &'static str,
        /// The entry.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the entry no longer has the changes"),
            Self::Empty => f.write_str("the entry knows nothing yet"),
            Self::Failed { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for AskError {}

/// What a gateway needs of other entries.
#[derive(Clone)]
pub struct Changes {
    /// Asks an entry for changes.
    pub ask: Call<Ask, Result<News, AskError>>,
}

impl fmt::Debug for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Changes")
    }
}
