//! `Claim` and `Strike`: the methods that send requests to the homes of a key
//! and exchange strikes against requests that break connections.

use std::{net::SocketAddr, sync::Arc};

use tonic::Status;

use super::{
    claim::{ClaimReply, ClaimRequest, Strikes},
    peers::{CallError, Peers},
    sender::{Sender, SenderMessage, malformed},
    server::Routes,
};
use crate::{
    policy::{
        crash::StrikeNotice,
        once::{HomeRequest, HomeResponse, Member},
    },
    ports::{StrikeCall, StrikeError, Strikes as StrikePort},
};

const CLAIM: &str = "Claim";
const STRIKE: &str = "Strike";

/// Requests to one home. There may be several, because after a change of the
/// roster a new home reads many buckets from the same former home.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimBatch {
    #[prost(message, optional, tag = "1")]
    to: Option<super::claim::Member>,
    #[prost(message, repeated, tag = "2")]
    requests: Vec<ClaimRequest>,
}

/// The replies to a [`ClaimBatch`], in the order of its requests.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimBatchReply {
    #[prost(message, repeated, tag = "1")]
    replies: Vec<ClaimReply>,
}

/// Encoded strikes with their sender.
#[derive(Clone, prost::Message, PartialEq)]
pub struct StrikeMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(message, optional, tag = "2")]
    strikes: Option<Strikes>,
}

fn member(sender: &Sender) -> Member {
    Member {
        entry: sender.entry.clone(),
        incarnation: sender.incarnation,
    }
}

/// Registers the closure that handles requests to a home. The closure receives
/// the incarnation to which a request is addressed and returns none if that is
/// not this entry's incarnation.
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
            let to = batch
                .to
                .ok_or_else(|| Status::invalid_argument("no addressee"))?;
            let to = Member::try_from(to).map_err(malformed)?;
            let mut replies = Vec::new();
            let mut size = 0;
            for claim in batch.requests {
                let (_, _, request) = claim.into_parts().map_err(malformed)?;
                let wrong_incarnation =
                    || Status::failed_precondition("another incarnation is addressed");
                let (sender, response) = f(&to, &request).ok_or_else(wrong_incarnation)?;
                let reply = ClaimReply::new(&member(&sender), sender.epoch, &response);
                size += prost::Message::encoded_len(&reply);
                replies.push(reply);
                // The requesting entry repeats the requests that got no reply.
                if size > super::MAX_MESSAGE_BYTES / 8 {
                    break;
                }
            }
            Ok(ClaimBatchReply { replies })
        }
    })
}

/// Sends requests to the home `to` at `peer`. Because the size of a message is
/// limited, there may be fewer replies than requests.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn send_claims(
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
            .map(|r| ClaimRequest::new(&from, sender.epoch, r))
            .collect(),
    };
    let reply: ClaimBatchReply = peers.call(peer, CLAIM, batch).await?;
    let decode = |r: ClaimReply| {
        let parts = r.into_parts();
        parts.map(|(_, _, response)| response)
    };
    let all: Result<Vec<HomeResponse>, _> = reply.replies.into_iter().map(decode).collect();
    all.map_err(|e| CallError::invalid_reply(CLAIM, peer, &e))
}

/// Registers the closure that receives strikes and returns those that the
/// sender lacks.
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
            let strikes = decode_strikes(message)?;
            let (sender, more) = f(strikes);
            Ok(StrikeMessage {
                head: sender.encode(),
                strikes: Some(Strikes::from(more.as_slice())),
            })
        }
    })
}

fn decode_strikes(message: StrikeMessage) -> Result<Vec<StrikeNotice>, Status> {
    let strikes = message.strikes.unwrap_or_default();
    let all: Result<Vec<StrikeNotice>, _> = strikes.try_into();
    all.map_err(malformed)
}

/// Returns the port that sends strikes over `peers`.
#[must_use]
pub fn strikes(peers: Arc<Peers>) -> StrikePort {
    StrikePort {
        send: Arc::new(move |call| {
            let peers = peers.clone();
            Box::pin(async move {
                let StrikeCall {
                    peer,
                    sender,
                    notices,
                } = call;
                let sender = Sender::without_roster(&sender);
                let sent = send_strikes(&peers, peer, &sender, &notices).await;
                sent.map_err(|e| StrikeError {
                    peer,
                    cause: e.to_string(),
                })
            })
        }),
    }
}

/// Sends strikes to the entry at `peer` and returns those that this entry
/// lacks.
///
/// # Errors
///
/// See [`Peers::call`].
pub async fn send_strikes(
    peers: &Peers,
    peer: SocketAddr,
    sender: &Sender,
    strikes: &[StrikeNotice],
) -> Result<Vec<StrikeNotice>, CallError> {
    let message = StrikeMessage {
        head: sender.encode(),
        strikes: Some(Strikes::from(strikes)),
    };
    let reply: StrikeMessage = peers.call(peer, STRIKE, message).await?;
    decode_strikes(reply).map_err(|e| CallError::invalid_reply(STRIKE, peer, &e))
}
