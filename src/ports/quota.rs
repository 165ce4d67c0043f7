//! Asks other entries for tokens of quotas.

use std::{fmt, net::SocketAddr};

use super::Call;
use crate::{
    domain::Millis,
    policy::quota::{Answer, Ask},
};

/// A call to another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaCall {
    /// The address of the other entry.
    pub peer: SocketAddr,
    /// What to ask.
    pub ask: Ask,
    /// How long to wait for the answer.
    pub timeout: Millis,
}

/// Why no answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaError {
    /// The address of the other entry.
    pub peer: SocketAddr,
    /// The step that failed, and the cause.
    pub cause: String,
}

impl fmt::Display for QuotaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ask {} for tokens: {}", self.peer, self.cause)
    }
}

impl std::error::Error for QuotaError {}

/// The port to granters.
#[derive(Clone)]
pub struct Quotas {
    /// Asks another entry.
    pub ask: Call<QuotaCall, Result<Answer, QuotaError>>,
}

impl fmt::Debug for Quotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Quotas")
    }
}
