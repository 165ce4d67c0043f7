//! `Limit`: the messages about limits of several entries.
//!
//! One call carries everything that waits for a peer, since a change of the
//! roster concerns many limits at once. There is no reply: answers are messages
//! of their own, so that each may be lost alone.

use std::net::SocketAddr;

use prost::Message as _;

use super::{
    head::{Head, Sender, malformed},
    peers::{CallError, Peers},
    server::Routes,
};
use crate::{
    domain::{Epoch, Incarnation, ParseError},
    policy::limit::{Held, Item, Member, Message},
};

const LIMIT: &str = "Limit";

/// The encoded call.
#[derive(Clone, prost::Message, PartialEq)]
pub struct LimitMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(string, tag = "2")]
    to: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(message, repeated, tag = "4")]
    items: Vec<ItemMessage>,
}

/// The encoded message about one limit.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ItemMessage {
    #[prost(string, tag = "1")]
    limit: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(oneof = "Kind", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    kind: Option<Kind>,
}

#[derive(Clone, prost::Oneof, PartialEq)]
enum Kind {
    #[prost(message, tag = "3")]
    Ask(AskMessage),
    #[prost(message, tag = "4")]
    Grant(GrantMessage),
    #[prost(uint64, tag = "5")]
    Decline(u64),
    #[prost(message, tag = "6")]
    Return(HeldMessage),
    #[prost(message, tag = "7")]
    Recall(HeldMessage),
    #[prost(bool, tag = "8")]
    Audit(bool),
    #[prost(message, tag = "9")]
    Reconcile(ReconcileMessage),
    #[prost(message, tag = "10")]
    Survey(SurveyMessage),
    #[prost(message, tag = "11")]
    Handover(HandoverMessage),
}

#[derive(Clone, prost::Message, PartialEq)]
struct AskMessage {
    #[prost(uint64, tag = "1")]
    ask: u64,
    #[prost(uint32, tag = "2")]
    want: u32,
    #[prost(uint32, tag = "3")]
    held: u32,
    #[prost(uint32, repeated, tag = "4")]
    renew: Vec<u32>,
}

#[derive(Clone, prost::Message, PartialEq)]
struct GrantMessage {
    #[prost(uint64, tag = "1")]
    ask: u64,
    #[prost(uint32, repeated, tag = "2")]
    units: Vec<u32>,
    #[prost(uint32, tag = "3")]
    idle: u32,
}

#[derive(Clone, prost::Message, PartialEq)]
struct HeldMessage {
    #[prost(uint64, tag = "1")]
    ask: u64,
    #[prost(uint32, repeated, tag = "2")]
    units: Vec<u32>,
}

#[derive(Clone, prost::Message, PartialEq)]
struct ReconcileMessage {
    #[prost(uint64, tag = "1")]
    floor: u64,
    #[prost(message, repeated, tag = "2")]
    loans: Vec<HeldMessage>,
}

#[derive(Clone, prost::Message, PartialEq)]
struct SurveyMessage {
    #[prost(uint64, tag = "1")]
    round: u64,
    #[prost(uint32, repeated, tag = "2")]
    units: Vec<u32>,
}

#[derive(Clone, prost::Message, PartialEq)]
struct HandoverMessage {
    #[prost(uint64, tag = "1")]
    round: u64,
    #[prost(uint32, repeated, tag = "2")]
    units: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    kept: Vec<u32>,
}

#[derive(Clone, Copy, prost::Message, PartialEq)]
struct Nothing {}

impl ItemMessage {
    /// Returns the encoded form.
    #[must_use]
    pub fn new(item: &Item) -> Self {
        Self {
            limit: item.limit.to_string(),
            epoch: item.epoch.0,
            kind: Some(put(&item.message)),
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit's name is not valid or the message is of an
    /// unknown kind.
    pub fn read(self) -> Result<Item, ParseError> {
        let unknown = || ParseError::new("message about a limit", "", "a known kind");
        Ok(Item {
            limit: self.limit.parse()?,
            epoch: Epoch(self.epoch),
            message: get(self.kind.ok_or_else(unknown)?),
        })
    }
}

fn put(message: &Message) -> Kind {
    match message.clone() {
        Message::Ask {
            ask,
            want,
            held,
            renew,
        } => Kind::Ask(AskMessage {
            ask,
            want,
            held,
            renew,
        }),
        Message::Grant { ask, units, idle } => Kind::Grant(GrantMessage { ask, units, idle }),
        Message::Decline { ask } => Kind::Decline(ask),
        Message::Return(held) => Kind::Return(put_held(held)),
        Message::Recall(held) => Kind::Recall(put_held(held)),
        Message::Audit => Kind::Audit(true),
        Message::Reconcile { floor, loans } => Kind::Reconcile(ReconcileMessage {
            floor,
            loans: loans.into_iter().map(put_held).collect(),
        }),
        Message::Survey { round, units } => Kind::Survey(SurveyMessage { round, units }),
        Message::Handover { round, units, kept } => {
            Kind::Handover(HandoverMessage { round, units, kept })
        }
    }
}

fn get(kind: Kind) -> Message {
    match kind {
        Kind::Ask(AskMessage {
            ask,
            want,
            held,
            renew,
        }) => Message::Ask {
            ask,
            want,
            held,
            renew,
        },
        Kind::Grant(GrantMessage { ask, units, idle }) => Message::Grant { ask, units, idle },
        Kind::Decline(ask) => Message::Decline { ask },
        Kind::Return(held) => Message::Return(get_held(held)),
        Kind::Recall(held) => Message::Recall(get_held(held)),
        Kind::Audit(_) => Message::Audit,
        Kind::Reconcile(ReconcileMessage { floor, loans }) => Message::Reconcile {
            floor,
            loans: loans.into_iter().map(get_held).collect(),
        },
        Kind::Survey(SurveyMessage { round, units }) => Message::Survey { round, units },
        Kind::Handover(HandoverMessage { round, units, kept }) => {
            Message::Handover { round, units, kept }
        }
    }
}

fn put_held(held: Held) -> HeldMessage {
    let Held { ask, units } = held;
    HeldMessage { ask, units }
}

fn get_held(held: HeldMessage) -> Held {
    let HeldMessage { ask, units } = held;
    Held { ask, units }
}

/// Registers the closure that takes messages about limits: the sender, the
/// incarnation that it addressed, and the messages.
#[must_use]
pub fn serve_limit<F>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(&Member, &Member, Vec<Item>) + Send + std::marker::Sync + 'static,
{
    routes.route(LIMIT, move |message: LimitMessage| {
        let f = f.clone();
        async move {
            let sender = Sender::read(message.head).map_err(malformed)?;
            let from = Member {
                entry: sender.entry,
                incarnation: sender.incarnation,
            };
            let to = Member {
                entry: message.to.parse().map_err(malformed)?,
                incarnation: Incarnation(message.incarnation),
            };
            // A message that cannot be read counts as lost.
            let items = message.items.into_iter().filter_map(|i| i.read().ok());
            f(&from, &to, items.collect());
            Ok(Nothing {})
        }
    })
}

/// Sends messages about limits to the entry at `peer`.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn limit(
    peers: &Peers,
    peer: SocketAddr,
    sender: Sender,
    to: &Member,
    items: &[Item],
) -> Result<(), CallError> {
    let message = LimitMessage {
        head: sender.head(),
        to: to.entry.to_string(),
        incarnation: to.incarnation.0,
        items: items.iter().map(ItemMessage::new).collect(),
    };
    let _: Nothing = peers.call(peer, LIMIT, message).await?;
    Ok(())
}

/// Returns how many bytes a message about a limit takes.
#[must_use]
pub fn item_size(item: &Item) -> usize {
    ItemMessage::new(item).encoded_len()
}
