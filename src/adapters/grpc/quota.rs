//! `Quota`: the method with which entries ask a granter for tokens.

use std::{future::Future, sync::Arc};

use super::{Peers, Routes};
use crate::{
    domain::Millis,
    policy::quota::{Answer, Ask, Echo, Grant, NEEDS_MAX, Need, Room},
    ports::{QuotaCall, QuotaError, Quotas},
};

const QUOTA: &str = "Quota";

/// The longest time until there is room again that is accepted.
const ROOM_MAX_MS: u64 = 60_000;

/// The largest number of tokens that an entry may ask for. A larger one is an error.
const TOKENS_MAX: u32 = 1_000_000;

/// An encoded [`Ask`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct QuotaRequest {
    #[prost(string, tag = "1")]
    entry: String,
    #[prost(uint32, tag = "2")]
    sharers: u32,
    #[prost(message, optional, tag = "3")]
    echo: Option<EchoMessage>,
    #[prost(bool, tag = "4")]
    for_others: bool,
    #[prost(message, repeated, tag = "5")]
    needs: Vec<NeedMessage>,
}

/// An encoded [`Answer`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct QuotaReply {
    /// Absent if the request could not be read.
    #[prost(message, optional, tag = "1")]
    echo: Option<EchoMessage>,
    #[prost(message, repeated, tag = "2")]
    grants: Vec<GrantMessage>,
}

/// An encoded [`Echo`].
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct EchoMessage {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    at_ms: u64,
}

/// An encoded [`Need`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct NeedMessage {
    #[prost(string, tag = "1")]
    workspace: String,
    #[prost(uint32, tag = "2")]
    waiting: u32,
    #[prost(uint32, tag = "3")]
    expected: u32,
    #[prost(uint32, tag = "4")]
    returned: u32,
    #[prost(uint32, tag = "5")]
    used: u32,
}

/// An encoded [`Grant`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct GrantMessage {
    #[prost(string, tag = "1")]
    workspace: String,
    #[prost(uint32, tag = "2")]
    tokens: u32,
    #[prost(bool, tag = "3")]
    pending: bool,
    /// Absent if the time is unknown, or if no tokens lack.
    #[prost(uint64, optional, tag = "4")]
    after_ms: Option<u64>,
    #[prost(uint64, tag = "5")]
    spread_ms: u64,
}

/// Registers the closure that answers other entries.
#[must_use]
pub fn serve_quota<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Ask) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    routes.route(QUOTA, move |message: QuotaRequest| {
        let answer = decode_ask(&message).map(&f);
        async move {
            Ok(match answer {
                Some(answer) => encode_answer(&answer.await),
                None => QuotaReply::default(),
            })
        }
    })
}

/// Returns the port that asks granters over `peers`.
#[must_use]
pub fn quotas(peers: Arc<Peers>) -> Quotas {
    Quotas {
        ask: Arc::new(move |call| {
            let peers = peers.clone();
            Box::pin(async move { ask(&peers, call).await })
        }),
    }
}

async fn ask(peers: &Peers, call: QuotaCall) -> Result<Answer, QuotaError> {
    let QuotaCall { peer, ask, timeout } = call;
    let error = |cause| QuotaError { peer, cause };
    let reply = peers.call_within(peer, QUOTA, encode_ask(&ask), timeout);
    let reply: QuotaReply = reply.await.map_err(|e| error(e.to_string()))?;
    decode_answer(&reply).ok_or_else(|| error("the reply has no time".to_owned()))
}

fn encode_ask(ask: &Ask) -> QuotaRequest {
    let encode = |need: &Need| NeedMessage {
        workspace: need.workspace.to_string(),
        waiting: need.waiting,
        expected: need.expected,
        returned: need.returned,
        used: need.used,
    };
    QuotaRequest {
        entry: ask.entry.to_string(),
        sharers: ask.sharers,
        echo: ask.echo.map(encode_echo),
        for_others: ask.for_others,
        needs: ask.needs.iter().take(NEEDS_MAX).map(encode).collect(),
    }
}

/// Decodes an ask, if it has a valid name. Needs without a valid name are omitted.
fn decode_ask(message: &QuotaRequest) -> Option<Ask> {
    let decode = |need: &NeedMessage| {
        Some(Need {
            workspace: need.workspace.parse().ok()?,
            waiting: need.waiting,
            expected: need.expected,
            returned: need.returned,
            used: need.used,
        })
        .filter(|need| need.asked().max(need.used) <= TOKENS_MAX)
    };
    let needs = message.needs.iter().take(NEEDS_MAX);
    Some(Ask {
        entry: message.entry.parse().ok()?,
        sharers: message.sharers,
        echo: message.echo.map(decode_echo),
        for_others: message.for_others,
        needs: needs.filter_map(decode).collect(),
    })
}

fn encode_answer(answer: &Answer) -> QuotaReply {
    let encode = |grant: &Grant| GrantMessage {
        workspace: grant.workspace.to_string(),
        tokens: grant.tokens,
        pending: grant.pending,
        after_ms: grant.room.map(|r| r.after.0),
        spread_ms: grant.room.map_or(0, |r| r.spread.0),
    };
    QuotaReply {
        echo: Some(encode_echo(answer.echo)),
        grants: answer.grants.iter().map(encode).collect(),
    }
}

fn decode_answer(message: &QuotaReply) -> Option<Answer> {
    let decode = |grant: &GrantMessage| {
        let room = |after: u64| Room {
            after: Millis(after.min(ROOM_MAX_MS)),
            spread: Millis(grant.spread_ms.min(ROOM_MAX_MS)),
        };
        Some(Grant {
            workspace: grant.workspace.parse().ok()?,
            tokens: grant.tokens,
            pending: grant.pending,
            room: grant.after_ms.map(room),
        })
    };
    let grants = message.grants.iter().take(NEEDS_MAX);
    Some(Answer {
        echo: message.echo.map(decode_echo)?,
        grants: grants.filter_map(decode).collect(),
    })
}

fn encode_echo(echo: Echo) -> EchoMessage {
    EchoMessage {
        life: echo.life,
        at_ms: echo.at.0,
    }
}

fn decode_echo(message: EchoMessage) -> Echo {
    Echo {
        life: message.life,
        at: Millis(message.at_ms),
    }
}
