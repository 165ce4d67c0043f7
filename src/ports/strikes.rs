//! Tells other entries of requests that crash their targets.

use std::{fmt, net::SocketAddr};

use super::Call;
use crate::policy::{crash::StrikeNotice, once::Member};

/// A call to another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct StrikeCall {
    /// The address of the other entry.
    pub peer: SocketAddr,
    /// This entry.
    pub sender: Member,
    /// The strikes that this entry knows.
    pub notices: Vec<StrikeNotice>,
}

/// Why no answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StrikeError {
    /// The address of the other entry.
    pub peer: SocketAddr,
    /// The step that failed, and the cause.
    pub cause: String,
}

impl fmt::Display for StrikeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "send strikes to {}: {}", self.peer, self.cause)
    }
}

impl std::error::Error for StrikeError {}

/// The port to the strikes of other entries.
#[derive(Clone)]
pub struct Strikes {
    /// Sends strikes and returns those that this entry lacks.
    pub send: Call<StrikeCall, Result<Vec<StrikeNotice>, StrikeError>>,
}

impl fmt::Debug for Strikes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Strikes")
    }
}
