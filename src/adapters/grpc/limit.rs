//! The encoding of the messages of limits.
//!
//! One wire message carries the messages of several limits to one recipient,
//! because a tick of an entry with thousands of limits would otherwise send
//! thousands of calls. Units are encoded as the gaps between them: most messages
//! carry few units, for which a bit set would be longer.

use prost::{Message as _, Oneof};

use crate::domain::{EntryId, Epoch, Incarnation, LimitName, ParseError, Size};
use crate::policy::limit::{Envelope, HeldUnits, MAX_UNITS, Member, Message, Outgoing};

/// The largest encoded batch.
pub const BATCH_MAX: Size = Size::kib(256);

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

/// The answer to a batch. Answers to its messages travel in later batches.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct LimitAck {}

/// A message of one limit.
#[derive(Clone, prost::Message, PartialEq)]
pub struct LimitItem {
    /// The limit's name.
    #[prost(string, tag = "1")]
    pub limit: String,
    /// The epoch of the sender's roster.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// The kinds of messages.
#[derive(Clone, Oneof, PartialEq)]
pub enum Body {
    /// See [`Message::Borrow`].
    #[prost(message, tag = "3")]
    Ask(Ask),
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
    /// See [`Message::Audit`]; always true.
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
pub struct Ask {
    /// The id of the ask.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// How many units are wanted.
    #[prost(uint32, tag = "2")]
    pub want: u32,
    /// How many units the borrower has.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// The units to renew.
    #[prost(uint32, repeated, tag = "4")]
    pub renew: Vec<u32>,
}

/// See [`Message::Grant`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Grant {
    /// The id of the ask.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The units lent.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
    /// How many idle units are left.
    #[prost(uint32, tag = "3")]
    pub idle: u32,
}

/// See [`Message::Decline`].
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Decline {
    /// The id of the ask.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Whether a grant may follow.
    #[prost(bool, tag = "2")]
    pub queued: bool,
}

/// See [`HeldUnits`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Loan {
    /// The id of the ask.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The units.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
}

/// See [`Message::Reconcile`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Reconcile {
    /// The lowest ask that may still be granted.
    #[prost(uint64, tag = "1")]
    pub floor: u64,
    /// What the borrower holds.
    #[prost(message, repeated, tag = "2")]
    pub loans: Vec<Loan>,
}

/// See [`Message::Survey`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Survey {
    /// The round.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The units that the sender lacks.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
}

/// See [`Message::Handover`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct Handover {
    /// The round.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The units that the recipient owns from now on.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
    /// The units that the sender still has.
    #[prost(uint32, repeated, tag = "3")]
    pub kept: Vec<u32>,
}

/// Encodes units in ascending order as the gaps between them, which mostly take
/// one byte each.
fn to_gaps(units: &[u32]) -> Vec<u32> {
    let mut last = 0;
    let gap = |unit: &u32| unit.saturating_sub(std::mem::replace(&mut last, *unit));
    units.iter().map(gap).collect()
}

/// Decodes gaps, without the units that no limit has.
fn from_gaps(gaps: &[u32]) -> Vec<u32> {
    let mut last = 0u32;
    let unit = |gap: &u32| {
        last = last.saturating_add(*gap);
        last
    };
    gaps.iter()
        .map(unit)
        .take_while(|u| *u < MAX_UNITS)
        .collect()
}

fn to_loan(held: &HeldUnits) -> Loan {
    Loan {
        ask: held.request_id,
        units: to_gaps(&held.units),
    }
}

fn from_loan(loan: &Loan) -> HeldUnits {
    HeldUnits {
        request_id: loan.ask,
        units: from_gaps(&loan.units),
    }
}

fn to_body(message: &Message) -> Body {
    match message {
        Message::Borrow {
            request_id,
            want,
            held,
            renew,
        } => Body::Ask(Ask {
            ask: *request_id,
            want: *want,
            held: *held,
            renew: to_gaps(renew),
        }),
        Message::Grant {
            request_id,
            units,
            idle,
        } => Body::Grant(Grant {
            ask: *request_id,
            units: to_gaps(units),
            idle: *idle,
        }),
        Message::Decline { request_id, queued } => Body::Decline(Decline {
            ask: *request_id,
            queued: *queued,
        }),
        Message::Return(held) => Body::Return(to_loan(held)),
        Message::Recall(held) => Body::Recall(to_loan(held)),
        Message::Audit => Body::Audit(true),
        Message::Reconcile { floor, loans } => Body::Reconcile(Reconcile {
            floor: *floor,
            loans: loans.iter().map(to_loan).collect(),
        }),
        Message::Survey { round, units } => Body::Survey(Survey {
            round: *round,
            units: to_gaps(units),
        }),
        Message::Handover { round, units, kept } => Body::Handover(Handover {
            round: *round,
            units: to_gaps(units),
            kept: to_gaps(kept),
        }),
    }
}

fn from_body(body: &Body) -> Message {
    match body {
        Body::Ask(m) => Message::Borrow {
            request_id: m.ask,
            want: m.want,
            held: m.held,
            renew: from_gaps(&m.renew),
        },
        Body::Grant(m) => Message::Grant {
            request_id: m.ask,
            units: from_gaps(&m.units),
            idle: m.idle,
        },
        Body::Decline(m) => Message::Decline {
            request_id: m.ask,
            queued: m.queued,
        },
        Body::Return(loan) => Message::Return(from_loan(loan)),
        Body::Recall(loan) => Message::Recall(from_loan(loan)),
        Body::Audit(_) => Message::Audit,
        Body::Reconcile(m) => Message::Reconcile {
            floor: m.floor,
            loans: m.loans.iter().map(from_loan).collect(),
        },
        Body::Survey(m) => Message::Survey {
            round: m.round,
            units: from_gaps(&m.units),
        },
        Body::Handover(m) => Message::Handover {
            round: m.round,
            units: from_gaps(&m.units),
            kept: from_gaps(&m.kept),
        },
    }
}

fn to_item(envelope: &Envelope) -> LimitItem {
    LimitItem {
        limit: envelope.limit.as_str().to_owned(),
        epoch: envelope.epoch.0,
        body: Some(to_body(&envelope.message)),
    }
}

/// Packs messages into batches of at most [`BATCH_MAX`], in the order in which
/// each recipient first appears.
#[must_use]
pub fn pack(from: &Member, out: &[Outgoing]) -> Vec<LimitBatch> {
    let mut batches: Vec<LimitBatch> = Vec::new();
    let mut open: Vec<(&Member, usize, usize)> = Vec::new();
    for sent in out {
        let item = to_item(&sent.envelope);
        // The field's tag and length take at most five bytes here.
        let length = item.encoded_len() + 5;
        let known = open.iter_mut().find(|(to, _, _)| **to == sent.to);
        match known {
            Some((_, at, size)) if fits(*size + length) => {
                batches[*at].items.push(item);
                *size += length;
            }
            known => {
                let mut batch = header(from, &sent.to);
                let size = batch.encoded_len() + length;
                batch.items.push(item);
                match known {
                    Some(slot) => *slot = (&sent.to, batches.len(), size),
                    None => open.push((&sent.to, batches.len(), size)),
                }
                batches.push(batch);
            }
        }
    }
    batches
}

fn fits(length: usize) -> bool {
    length as u64 <= BATCH_MAX.0
}

fn header(from: &Member, to: &Member) -> LimitBatch {
    LimitBatch {
        from: from.entry.as_str().to_owned(),
        from_incarnation: from.incarnation.0,
        to: to.entry.as_str().to_owned(),
        to_incarnation: to.incarnation.0,
        items: Vec::new(),
    }
}

/// What a batch contains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unpacked {
    /// The sender.
    pub from: Member,
    /// The recipient that the sender addressed.
    pub to: Member,
    /// The messages, without those of a kind that this version does not know.
    pub items: Vec<Envelope>,
}

/// Unpacks a batch.
///
/// # Errors
///
/// Returns the first name that is not valid.
pub fn unpack(batch: &LimitBatch) -> Result<Unpacked, ParseError> {
    let mut items = Vec::new();
    for item in &batch.items {
        let limit: LimitName = item.limit.parse()?;
        let Some(body) = &item.body else { continue };
        items.push(Envelope {
            limit,
            epoch: Epoch(item.epoch),
            message: from_body(body),
        });
    }
    Ok(Unpacked {
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
