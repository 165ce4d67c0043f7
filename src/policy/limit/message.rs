//! The messages of a limit, without their encoding.

use crate::domain::{EntryId, Epoch, Incarnation, LimitName};

/// One life of an entry.
///
/// Everything a ledger records about another entry names its incarnation too,
/// since a restarted entry knows nothing of what its former life held.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The entry VM.
    pub entry: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// Units that the borrower holds under one ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The ask under which they were granted.
    pub ask: u64,
    /// The units, in ascending order.
    pub units: Vec<u32>,
}

/// What one entry tells another about a limit.
///
/// The ask's number, chosen by the borrower and never reused in its
/// incarnation, is also the id of the loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Requests units.
    Ask {
        /// The id of the ask and of the loan.
        ask: u64,
        /// How many units are wanted, including those to renew.
        want: u32,
        /// How many units the borrower has, so that those without come first.
        held: u32,
        /// Units of a rate limit whose loan shall be renewed.
        renew: Vec<u32>,
    },
    /// Lends units.
    Grant {
        /// The ask that this answers.
        ask: u64,
        /// The units lent.
        units: Vec<u32>,
        /// How many idle units the lender still has.
        idle: u32,
    },
    /// Lends nothing now.
    Decline {
        /// The ask that this answers.
        ask: u64,
        /// Whether a grant may follow when a unit becomes free.
        queued: bool,
    },
    /// Gives units back. The sender no longer uses them.
    Return(Held),
    /// Requests units back as soon as the request that uses them has ended.
    Recall(Held),
    /// Requests a [`Message::Reconcile`].
    Audit,
    /// Reports everything that the borrower holds from the recipient.
    Reconcile {
        /// Grants for lower asks that are not listed were never accepted or have
        /// been returned, and will not be accepted later.
        floor: u64,
        /// What the borrower holds.
        loans: Vec<Held>,
    },
    /// Requests the units whose home the sender now is.
    Survey {
        /// The sender's round; only answers of one round count together.
        round: u64,
        /// The units that the sender lacks.
        units: Vec<u32>,
    },
    /// Transfers units to their home.
    Handover {
        /// The round that this answers; zero if it is not an answer.
        round: u64,
        /// Units that the recipient owns from now on.
        units: Vec<u32>,
        /// Units that the sender still owns or holds.
        kept: Vec<u32>,
    },
}

/// A message with the limit and the epoch that it concerns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
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
    /// The recipient. Another incarnation ignores the message.
    pub to: Member,
    /// The message.
    pub item: Item,
}
