//! `Claim` and `Strike`: the calls to the homes of a key, and the notices of
//! requests that break connections.

use std::net::SocketAddr;

use super::{
    claim::{Claim, ClaimReply, Strikes},
    head::{Head, Sender},
    peers::{CallError, Peers, Step},
    server::Routes,
};
use crate::policy::{
    crash::StrikeNotice,
    once::{HomeRequest, HomeResponse, Member},
};

const CLAIM: &str = "Claim";
const STRIKE: &str = "Strike";

/// The encoded call. It carries several requests, since a change of the roster
/// makes a new home read many buckets from the same former one.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimBatch {
    #[prost(message, optional, tag = "1")]
    to: Option<super::claim::Member>,
    #[prost(message, repeated, tag = "2")]
    requests: Vec<Claim>,
}

/// The encoded reply, in the order of the requests.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimBatchReply {
    #[prost(message, repeated, tag = "1")]
    replies: Vec<ClaimReply>,
}

/// The encoded notice.
#[derive(Clone, prost::Message, PartialEq)]
pub struct StrikeMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(message, optional, tag = "2")]
    strikes: Option<Strikes>,
}

fn member(sender: &Sender) -> Member {
    Member {
        entry: sender.entry.clone(),
        incarnation: sender.incarnation,
    }
}

/// Registers the closure that answers requests to a home. It gets the addressed
/// incarnation, and returns none if that is not its own.
#[must_use]
pub fn serve_claim<F>(routes: Routes, f: F) -> Routes
where
    F: Clone
        + Fn(&Member, &HomeRequest) -> Option<(Sender, HomeResponse)>
        + Send
        + std::marker::Sync
        + 'static,
{
    routes.route(CLAIM, move |batch: ClaimBatch| {
        let f = f.clone();
        async move {
            let wrong = |e: super::claim::Malformed| tonic::Status::invalid_argument(e.to_string());
            let to = batch
                .to
                .ok_or_else(|| tonic::Status::invalid_argument("no addressee"))?;
            let to = Member::try_from(to).map_err(wrong)?;
            let mut replies = Vec::new();
            let mut size = 0;
            for claim in batch.requests {
                let (_, _, request) = claim.into_parts().map_err(wrong)?;
                let gone =
                    || tonic::Status::failed_precondition("another incarnation is addressed");
                let (sender, response) = f(&to, &request).ok_or_else(gone)?;
                let reply = ClaimReply::new(&member(&sender), sender.epoch, &response);
                size += prost::Message::encoded_len(&reply);
                replies.push(reply);
                // What does not fit is asked for again.
                if size > super::MESSAGE_MAX / 8 {
                    break;
                }
            }
            Ok(ClaimBatchReply { replies })
        }
    })
}

/// Sends requests to the home `to` at `peer`. There may be fewer replies than
/// requests, because of the limit on messages.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn claim(
    peers: &Peers,
    peer: SocketAddr,
    sender: &Sender,
    to: &Member,
    requests: &[HomeRequest],
) -> Result<Vec<HomeResponse>, CallError> {
    let from = member(sender);
    let batch = ClaimBatch {
        to: Some(to.into()),
        requests: requests
            .iter()
            .map(|r| Claim::new(&from, sender.epoch, r))
            .collect(),
    };
    let reply: ClaimBatchReply = peers.call(peer, CLAIM, batch).await?;
    let read = |r: ClaimReply| {
        let parts = r.into_parts();
        parts.map(|(_, _, response)| response)
    };
    let all: Result<Vec<HomeResponse>, _> = reply.replies.into_iter().map(read).collect();
    all.map_err(|e| CallError {
        step: Step::Reply,
        method: CLAIM,
        peer,
        cause: e.to_string(),
    })
}

/// Registers the closure that takes notices of strikes and returns what this
/// entry knows beyond them.
#[must_use]
pub fn serve_strike<F>(routes: Routes, f: F) -> Routes
where
    F: Clone
        + Fn(Vec<StrikeNotice>) -> (Sender, Vec<StrikeNotice>)
        + Send
        + std::marker::Sync
        + 'static,
{
    routes.route(STRIKE, move |message: StrikeMessage| {
        let f = f.clone();
        async move {
            let strikes = read_strikes(message)?;
            let (sender, more) = f(strikes);
            Ok(StrikeMessage {
                head: sender.head(),
                strikes: Some(Strikes::from(more.as_slice())),
            })
        }
    })
}

fn read_strikes(message: StrikeMessage) -> Result<Vec<StrikeNotice>, tonic::Status> {
    let strikes = message.strikes.unwrap_or_default();
    let all: Result<Vec<StrikeNotice>, _> = strikes.try_into();
    all.map_err(|e: super::claim::Malformed| tonic::Status::invalid_argument(e.to_string()))
}

/// Tells the entry at `peer` of strikes and returns what it knows beyond them.
///
/// # Errors
///
/// As [`Peers::call`].
pub async fn strike(
    peers: &Peers,
    peer: SocketAddr,
    sender: &Sender,
    strikes: &[StrikeNotice],
) -> Result<Vec<StrikeNotice>, CallError> {
    let message = StrikeMessage {
        head: sender.head(),
        strikes: Some(Strikes::from(strikes)),
    };
    let reply: StrikeMessage = peers.call(peer, STRIKE, message).await?;
    read_strikes(reply).map_err(|e| CallError {
        step: Step::Reply,
        method: STRIKE,
        peer,
        cause: e.to_string(),
    })
}
