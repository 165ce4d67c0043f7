//! The encoding of messages about limits.
//!
//! Messages of several limits to the same recipient are sent in one batch,
//! since an entry with thousands of limits would otherwise make thousands of
//! calls per tick. Lists of units are delta-encoded. A bit set would be larger,
//! because most messages contain few units.

use prost::{Message as _, Oneof};

use crate::domain::{EntryId, Epoch, Incarnation, LimitName, ParseError, Size};
use crate::policy::limit::{Envelope, HeldUnits, MAX_UNITS, Member, Message, Outgoing};

/// The maximum size of an encoded batch.
pub const MAX_BATCH_SIZE: Size = Size::kib(256);

/// Messages of several limits from one entry to another.
#[derive(Clone, prost::Message, PartialEq)]
pub struct LimitBatch {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "2")]
    pub from_incarnation: u64,
    /// The recipient's name.
    #[prost(string, tag = "3")]
    pub to: String,
    /// The recipient's incarnation.
    #[prost(uint64, tag = "4")]
    pub to_incarnation: u64,
    /// The messages.
    #[prost(message, repeated, tag = "5")]
    pub items: Vec<LimitItem>,
}

/// The empty reply to a batch. Responses to its messages are sent in later
/// batches.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct LimitAck {}

/// An encoded [`Envelope`]: a message about one limit.
#[derive(Clone, prost::Message, PartialEq)]
pub struct LimitItem {
    /// The limit's name.
    #[prost(string, tag = "1")]
    pub limit: String,
    /// The epoch of the sender's roster.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The encoded message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// An encoded [`Message`].
#[derive(Clone, Oneof, PartialEq)]
pub enum Body {
    /// See [`Message::Borrow`].
    #[prost(message, tag = "3")]
    Borrow(Borrow),
    /// See [`Message::Grant`].
    #[prost(message, tag = "4")]
    Grant(Grant),
    /// See [`Message::Decline`].
    #[prost(message, tag = "5")]
    Decline(Decline),
    /// See [`Message::Return`].
    #[prost(message, tag = "6")]
    Return(Loan),
    /// See [`Message::Recall`].
    #[prost(message, tag = "7")]
    Recall(Loan),
    /// See [`Message::Audit`]. The value is always true.
    #[prost(bool, tag = "8")]
    Audit(bool),
    /// See [`Message::Reconcile`].
    #[prost(message, tag = "9")]
    Reconcile(Reconcile),
    /// See [`Message::Survey`].
    #[prost(message, tag = "10")]
    Survey(Survey),
    /// See [`Message::Handover`].
    #[prost(message, tag = "11")]
    Handover(Handover),
}

/// See [`Message::Borrow`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Borrow {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// How many units are wanted, including those to renew.
    #[prost(uint32, tag = "2")]
    pub want: u32,
    /// How many units the borrower can use already.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// The units whose loans are to be renewed.
    #[prost(uint32, repeated, tag = "4")]
    pub renew: Vec<u32>,
}

/// See [`Message::Grant`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Grant {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The units lent.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
    /// How many idle units the lender still has.
    #[prost(uint32, tag = "3")]
    pub idle: u32,
}

/// See [`Message::Decline`].
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Decline {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Whether a grant may follow.
    #[prost(bool, tag = "2")]
    pub queued: bool,
}

/// See [`HeldUnits`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Loan {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The units.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
}

/// See [`Message::Reconcile`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Reconcile {
    /// The lowest id of a request that may still be granted.
    #[prost(uint64, tag = "1")]
    pub floor: u64,
    /// The units that the borrower holds, grouped by request.
    #[prost(message, repeated, tag = "2")]
    pub loans: Vec<Loan>,
}

/// See [`Message::Survey`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Survey {
    /// The number of the survey round.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The units that the sender does not own.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
}

/// See [`Message::Handover`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Handover {
    /// The number of the survey round.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The units that the recipient owns from now on.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
    /// The units that the sender still owns or has borrowed.
    #[prost(uint32, repeated, tag = "3")]
    pub kept: Vec<u32>,
}

/// Delta-encodes units, which are in ascending order. Most deltas take one
/// byte.
fn encode_units(units: &[u32]) -> Vec<u32> {
    let mut last = 0;
    let delta = |unit: &u32| unit.saturating_sub(std::mem::replace(&mut last, *unit));
    units.iter().map(delta).collect()
}

/// Decodes delta-encoded units and stops at the first one that is not below
/// [`MAX_UNITS`].
fn decode_units(deltas: &[u32]) -> Vec<u32> {
    let mut last = 0u32;
    let unit = |delta: &u32| {
        last = last.saturating_add(*delta);
        last
    };
    deltas
        .iter()
        .map(unit)
        .take_while(|u| *u < MAX_UNITS)
        .collect()
}

fn encode_loan(held: &HeldUnits) -> Loan {
    Loan {
        ask: held.request_id,
        units: encode_units(&held.units),
    }
}

fn decode_loan(loan: &Loan) -> HeldUnits {
    HeldUnits {
        request_id: loan.ask,
        units: decode_units(&loan.units),
    }
}

fn encode_body(message: &Message) -> Body {
    match message {
        Message::Borrow {
            request_id,
            want,
            held,
            renew,
        } => Body::Borrow(Borrow {
            ask: *request_id,
            want: *want,
            held: *held,
            renew: encode_units(renew),
        }),
        Message::Grant {
            request_id,
            units,
            idle,
        } => Body::Grant(Grant {
            ask: *request_id,
            units: encode_units(units),
            idle: *idle,
        }),
        Message::Decline { request_id, queued } => Body::Decline(Decline {
            ask: *request_id,
            queued: *queued,
        }),
        Message::Return(held) => Body::Return(encode_loan(held)),
        Message::Recall(held) => Body::Recall(encode_loan(held)),
        Message::Audit => Body::Audit(true),
        Message::Reconcile { floor, loans } => Body::Reconcile(Reconcile {
            floor: *floor,
            loans: loans.iter().map(encode_loan).collect(),
        }),
        Message::Survey { round, units } => Body::Survey(Survey {
            round: *round,
            units: encode_units(units),
        }),
        Message::Handover { round, units, kept } => Body::Handover(Handover {
            round: *round,
            units: encode_units(units),
            kept: encode_units(kept),
        }),
    }
}

fn decode_body(body: &Body) -> Message {
    match body {
        Body::Borrow(m) => Message::Borrow {
            request_id: m.ask,
            want: m.want,
            held: m.held,
            renew: decode_units(&m.renew),
        },
        Body::Grant(m) => Message::Grant {
            request_id: m.ask,
            units: decode_units(&m.units),
            idle: m.idle,
        },
        Body::Decline(m) => Message::Decline {
            request_id: m.ask,
            queued: m.queued,
        },
        Body::Return(loan) => Message::Return(decode_loan(loan)),
        Body::Recall(loan) => Message::Recall(decode_loan(loan)),
        Body::Audit(_) => Message::Audit,
        Body::Reconcile(m) => Message::Reconcile {
            floor: m.floor,
            loans: m.loans.iter().map(decode_loan).collect(),
        },
        Body::Survey(m) => Message::Survey {
            round: m.round,
            units: decode_units(&m.units),
        },
        Body::Handover(m) => Message::Handover {
            round: m.round,
            units: decode_units(&m.units),
            kept: decode_units(&m.kept),
        },
    }
}

fn encode_item(envelope: &Envelope) -> LimitItem {
    LimitItem {
        limit: envelope.limit.as_str().to_owned(),
        epoch: envelope.epoch.0,
        body: Some(encode_body(&envelope.message)),
    }
}

/// Packs messages into batches of at most [`MAX_BATCH_SIZE`], each for one
/// recipient, in the order in which the recipients first appear.
#[must_use]
pub fn pack(from: &Member, out: &[Outgoing]) -> Vec<LimitBatch> {
    let mut batches: Vec<LimitBatch> = Vec::new();
    let mut open_batches: Vec<(&Member, usize, usize)> = Vec::new();
    for outgoing in out {
        let item = encode_item(&outgoing.envelope);
        // The tag and the length prefix of the item take at most five bytes.
        let length = item.encoded_len() + 5;
        let current = open_batches
            .iter_mut()
            .find(|(to, _, _)| **to == outgoing.to);
        match current {
            Some((_, index, size)) if fits(*size + length) => {
                batches[*index].items.push(item);
                *size += length;
            }
            current => {
                let mut batch = empty_batch(from, &outgoing.to);
                let size = batch.encoded_len() + length;
                batch.items.push(item);
                match current {
                    Some(slot) => *slot = (&outgoing.to, batches.len(), size),
                    None => open_batches.push((&outgoing.to, batches.len(), size)),
                }
                batches.push(batch);
            }
        }
    }
    batches
}

fn fits(length: usize) -> bool {
    length as u64 <= MAX_BATCH_SIZE.0
}

fn empty_batch(from: &Member, to: &Member) -> LimitBatch {
    LimitBatch {
        from: from.entry.as_str().to_owned(),
        from_incarnation: from.incarnation.0,
        to: to.entry.as_str().to_owned(),
        to_incarnation: to.incarnation.0,
        items: Vec::new(),
    }
}

/// A decoded batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnpackedBatch {
    /// The sender.
    pub from: Member,
    /// The recipient, as addressed by the sender.
    pub to: Member,
    /// The messages, without those of kinds that this version does not know.
    pub items: Vec<Envelope>,
}

/// Decodes a batch.
///
/// # Errors
///
/// Returns an error for the first name that is not valid.
pub fn unpack(batch: &LimitBatch) -> Result<UnpackedBatch, ParseError> {
    let mut items = Vec::new();
    for item in &batch.items {
        let limit: LimitName = item.limit.parse()?;
        let Some(body) = &item.body else { continue };
        items.push(Envelope {
            limit,
            epoch: Epoch(item.epoch),
            message: decode_body(body),
        });
    }
    Ok(UnpackedBatch {
        from: member(&batch.from, batch.from_incarnation)?,
        to: member(&batch.to, batch.to_incarnation)?,
        items,
    })
}

fn member(name: &str, incarnation: u64) -> Result<Member, ParseError> {
    let entry: EntryId = name.parse()?;
    Ok(Member {
        entry,
        incarnation: Incarnation(incarnation),
    })
}
