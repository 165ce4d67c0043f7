//! Homes with rules that look sufficient and are not.

use std::collections::BTreeMap;

use savorybeam::{
    domain::Millis,
    policy::once::{AttemptId, ClaimKey, HomeRequest, HomeResponse, VoteReply},
};

use super::Rules;

const EXPIRY: Millis = Millis(30_000);

pub struct Naive {
    attempt: AttemptId,
    since: Millis,
    /// The reply after the end of the execution.
    finished: Option<VoteReply>,
}

/// A home that knows no epochs.
pub fn answer(
    claims: &mut BTreeMap<ClaimKey, Naive>,
    request: &HomeRequest,
    rules: Rules,
    now: Millis,
) -> HomeResponse {
    match request {
        HomeRequest::Vote(vote) => {
            let open = |n: &Naive| rules == Rules::Expiry && n.finished.is_none();
            if claims
                .get(&vote.key)
                .is_some_and(|n| open(n) && n.since + EXPIRY <= now)
            {
                claims.remove(&vote.key);
            }
            let claim = claims.entry(vote.key.clone()).or_insert(Naive {
                attempt: vote.attempt,
                since: now,
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
            let holds = |n: &Naive| n.attempt == release.attempt && n.finished.is_none();
            if claims.get(&release.key).is_some_and(holds) {
                claims.remove(&release.key);
            }
            HomeResponse::Acknowledged(true)
        }
        HomeRequest::Finish(finish) => {
            let done = Naive {
                attempt: finish.attempt,
                since: now,
                finished: Some(VoteReply::Finished(finish.answer.clone())),
            };
            claims.insert(finish.key.clone(), done);
            HomeResponse::Acknowledged(true)
        }
        HomeRequest::Transfer(_) => HomeResponse::Acknowledged(false),
    }
}
