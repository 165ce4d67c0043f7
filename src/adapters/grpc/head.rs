//! What every message between entries begins with.

use prost::Message;
use tonic::Status;

use crate::domain::{EntryId, Epoch, Incarnation, ParseError};

/// The encoded sender. Every request and reply has it as field 1.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct Head {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The life of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The epoch of the roster it knows.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

/// Who sent a message, and which roster it knew.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// The entry.
    pub entry: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The epoch of the roster it knows.
    pub epoch: Epoch,
}

impl Sender {
    /// Returns the encoded form.
    #[must_use]
    pub fn head(&self) -> Option<Head> {
        Some(Head {
            entry: self.entry.to_string(),
            incarnation: self.incarnation.0,
            epoch: self.epoch.0,
        })
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no sender or its name is not valid.
    pub fn read(head: Option<Head>) -> Result<Self, ParseError> {
        let head = head.unwrap_or_default();
        Ok(Self {
            entry: head.entry.parse()?,
            incarnation: Incarnation(head.incarnation),
            epoch: Epoch(head.epoch),
        })
    }
}

/// Returns the status for a request that cannot be read.
#[must_use]
#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
pub fn malformed(error: ParseError) -> Status {
    Status::invalid_argument(error.to_string())
}
