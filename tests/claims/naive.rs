//! Homes with protocols that seem to execute a key at most once but do not.

use std::collections::BTreeMap;

use savorybeam::{
    domain::Millis,
    policy::once::{AttemptId, ClaimKey, HomeRequest, HomeResponse, VoteReply},
};

use super::Protocol;

const NAIVE_EXPIRY: Millis = Millis(30_000);

pub struct NaiveClaim {
    attempt: AttemptId,
    claimed_at: Millis,
    /// The reply to further vote requests once the attempt has finished.
    finished: Option<VoteReply>,
}

/// Handles a request as a home that ignores epochs.
pub fn handle(
    claims: &mut BTreeMap<ClaimKey, NaiveClaim>,
    request: &HomeRequest,
    protocol: Protocol,
    now: Millis,
) -> HomeResponse {
    match request {
        HomeRequest::Vote(vote) => {
            let open = |n: &NaiveClaim| protocol == Protocol::EarlyExpiry && n.finished.is_none();
            if claims
                .get(&vote.key)
                .is_some_and(|n| open(n) && n.claimed_at + NAIVE_EXPIRY <= now)
            {
                claims.remove(&vote.key);
            }
            let claim = claims.entry(vote.key.clone()).or_insert(NaiveClaim {
                attempt: vote.attempt,
                claimed_at: now,
                finished: None,
            });
            let reply = match &claim.finished {
                Some(reply) => reply.clone(),
                None if claim.attempt == vote.attempt => VoteReply::Granted,
                None => VoteReply::Held(Vec::new()),
            };
            HomeResponse::Vote(vote.epoch, reply)
        }
        HomeRequest::Release(release) => {
            let holds = |n: &NaiveClaim| n.attempt == release.attempt && n.finished.is_none();
            if claims.get(&release.key).is_some_and(holds) {
                claims.remove(&release.key);
            }
            HomeResponse::Acknowledged(true)
        }
        HomeRequest::Finish(finish) => {
            let done = NaiveClaim {
                attempt: finish.attempt,
                claimed_at: now,
                finished: Some(VoteReply::Finished(finish.answer.clone())),
            };
            claims.insert(finish.key.clone(), done);
            HomeResponse::Acknowledged(true)
        }
        HomeRequest::Transfer(_) => HomeResponse::Acknowledged(false),
    }
}
