//! The sender, the first field of most messages between entries.

use std::fmt;

use prost::Message;
use tonic::Status;

use crate::{
    domain::{EntryId, Epoch, Incarnation, ParseError},
    policy::once::Member,
};

/// An encoded [`Sender`], which messages carry as field 1.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct SenderMessage {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The incarnation of the sender's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The epoch of the newest roster that the sender knows.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

/// The sender of a message and the epoch of its roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// The sender's name.
    pub entry: EntryId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The epoch of the newest roster that the sender knows.
    pub epoch: Epoch,
}

impl Sender {
    /// Returns the sender of a message that depends on no roster.
    #[must_use]
    pub fn without_roster(member: &Member) -> Self {
        Self {
            entry: member.entry.clone(),
            incarnation: member.incarnation,
            epoch: Epoch(0),
        }
    }

    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> Option<SenderMessage> {
        Some(SenderMessage {
            entry: self.entry.to_string(),
            incarnation: self.incarnation.0,
            epoch: self.epoch.0,
        })
    }

    /// Decodes a sender.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is missing or its name is not valid.
    pub fn decode(head: Option<SenderMessage>) -> Result<Self, ParseError> {
        let head = head.unwrap_or_default();
        Ok(Self {
            entry: head.entry.parse()?,
            incarnation: Incarnation(head.incarnation),
            epoch: Epoch(head.epoch),
        })
    }
}

/// Returns the status for a request that cannot be decoded.
#[must_use]
pub fn malformed(error: impl fmt::Display) -> Status {
    Status::invalid_argument(error.to_string())
}
