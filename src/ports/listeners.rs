//! Tells whether a target still listens.

use std::fmt;

use super::Call;
use crate::domain::TargetId;

/// What an attempt to open a connection to a target shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// The target accepts connections.
    Open,
    /// The connection was refused: no process listens at the address.
    Closed,
    /// Nothing answered in time, or the attempt failed otherwise.
    Unknown,
}

/// The port to the listeners of targets.
#[derive(Clone)]
pub struct Listeners {
    /// Opens a connection, and closes it without a request.
    pub check: Call<TargetId, Listener>,
}

impl fmt::Debug for Listeners {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Listeners")
    }
}
