//! The messages that entries exchange about a limit, independent of their encoding.

use crate::domain::{EntryId, Epoch, Incarnation, LimitName};

/// One incarnation of an entry.
///
/// Everything that a ledger records about another entry names the incarnation
/// too, because a restarted entry does not know what it held before.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The entry VM.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// Units that the borrower holds under the id of one borrow request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldUnits {
    /// The id of the request that created or last renewed the loans.
    pub request_id: u64,
    /// The units, in ascending order.
    pub units: Vec<u32>,
}

/// A message between two entries about a limit.
///
/// The borrower chooses the `request_id`, which also identifies the loans under
/// that request, and never reuses it within its incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Requests units.
    Borrow {
        /// The id of the request and of the loans that it creates or renews.
        request_id: u64,
        /// How many units are wanted, including those to renew.
        want: u32,
        /// How many units the borrower can use already. The lender recalls units
        /// from a borrower that has more.
        held: u32,
        /// Units of a rate limit whose loans are to be renewed.
        renew: Vec<u32>,
    },
    /// Lends units.
    Grant {
        /// The request that this answers.
        request_id: u64,
        /// The units lent.
        units: Vec<u32>,
        /// How many idle units the lender still has.
        idle: u32,
    },
    /// Lends no units for now.
    Decline {
        /// The request that this answers.
        request_id: u64,
        /// Whether the request is queued, so that a grant may follow.
        queued: bool,
    },
    /// Returns units, which the sender no longer uses.
    Return(HeldUnits),
    /// Asks the borrower to return units as soon as the requests that use them have
    /// ended.
    Recall(HeldUnits),
    /// Asks the borrower for a [`Message::Reconcile`].
    Audit,
    /// Lists all units that the sender has borrowed from the recipient.
    Reconcile {
        /// Grants for requests with a lower id that are not listed were never
        /// accepted or have been returned, and will not be accepted later.
        floor: u64,
        /// The units held, grouped by request.
        loans: Vec<HeldUnits>,
    },
    /// Asks a member for units that have their home at the sender.
    Survey {
        /// The number of the survey round. Only answers to the current round are
        /// counted.
        round: u64,
        /// The units that the sender does not own.
        units: Vec<u32>,
    },
    /// Transfers the ownership of units to their home.
    Handover {
        /// The round that this answers, or zero if it answers none.
        round: u64,
        /// Units that the recipient owns from now on.
        units: Vec<u32>,
        /// Units that the sender still owns or has borrowed.
        kept: Vec<u32>,
    },
}

/// A message with its limit and the sender's epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The limit.
    pub limit: LimitName,
    /// The epoch of the sender's roster.
    pub epoch: Epoch,
    /// The message.
    pub message: Message,
}

/// A message to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// The recipient. Other incarnations of the same entry ignore the message.
    pub to: Member,
    /// The message with its limit and epoch.
    pub envelope: Envelope,
}
