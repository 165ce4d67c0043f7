//! Homes with rules that look sufficient and are not.

use std::collections::BTreeMap;

use savorybeam::{
    domain::Millis,
    policy::once::{AttemptId, ClaimKey, Reply, Request, Response},
};

use super::Rules;

const EXPIRY: Millis = Millis(30_000);

pub struct Naive {
    attempt: AttemptId,
    since: Millis,
    /// The reply after the end of the execution.
    finished: Option<Reply>,
}

/// A home that knows no epochs.
pub fn answer(
    claims: &mut BTreeMap<ClaimKey, Naive>,
    request: &Request,
    rules: Rules,
    now: Millis,
) -> Response {
    match request {
        Request::Vote(vote) => {
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
                None if claim.attempt == vote.attempt => Reply::Granted,
                None => Reply::Held(Vec::new()),
            };
            Response::Vote(vote.epoch, reply)
        }
        Request::Release(release) => {
            let holds = |n: &Naive| n.attempt == release.attempt && n.finished.is_none();
            if claims.get(&release.key).is_some_and(holds) {
                claims.remove(&release.key);
            }
            Response::Noted(true)
        }
        Request::Finish(finish) => {
            let done = Naive {
                attempt: finish.attempt,
                since: now,
                finished: Some(Reply::Finished(finish.answer.clone())),
            };
            claims.insert(finish.key.clone(), done);
            Response::Noted(true)
        }
        Request::Read(_) => Response::Noted(false),
    }
}
