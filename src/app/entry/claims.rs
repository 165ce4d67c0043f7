//! Claims on idempotency keys, which let a keyed request run at most once.

use std::sync::Arc;

use futures::{StreamExt, stream::FuturesUnordered};
use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::Rng;
use tokio::time::timeout;

use super::{State, job::Job};
use crate::{
    adapters::grpc,
    domain::Millis,
    policy::{
        once::{
            Answer, AttemptId, ClaimKey, Claimant, Decision, HomeRequest, HomeResponse, HomeSet,
            Member, VoteRequest,
        },
        refusal::Refusal,
    },
    ports::Body,
};

/// The time limit for the votes of the homes. A round trip between regions
/// takes 70 ms.
const VOTE_TIMEOUT: Millis = Millis(1_000);

impl State {
    /// Returns the homes of a key.
    fn homes(&self, key: &ClaimKey) -> HomeSet {
        self.fleet.rosters().claims[0].homes(key.bucket())
    }

    /// Asks the homes for their votes until there is a decision.
    async fn collect_votes(
        self: &Arc<Self>,
        claimant: &mut Claimant,
        deadline: Millis,
    ) -> Decision {
        let now = (self.ports.clock.now)();
        let vote_deadline = deadline.min(now + VOTE_TIMEOUT);
        let votes = claimant.vote_requests();
        let mut asked: FuturesUnordered<_> = votes
            .into_iter()
            .map(|(home, vote)| {
                let state = self.clone();
                async move {
                    let reply = state.ask_home(&home, HomeRequest::Vote(vote)).await;
                    (home, reply)
                }
            })
            .collect();
        loop {
            let left = vote_deadline - (self.ports.clock.now)();
            match timeout(left.duration(), asked.next()).await {
                Ok(Some((home, Some(HomeResponse::Vote(epoch, reply))))) => {
                    if let Some(decision) = claimant.on_reply(&home, epoch, reply) {
                        return decision;
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => {
                    let decision = claimant.on_timeout();
                    return decision
                        .unwrap_or_else(|| Decision::Unavailable("no home answered".to_owned()));
                }
            }
        }
    }

    /// Sends a request to a home. This entry may be that home.
    pub(super) async fn ask_home(
        self: &Arc<Self>,
        home: &Member,
        request: HomeRequest,
    ) -> Option<HomeResponse> {
        if *home == *self.claims.me() {
            return Some(self.claims.handle(&request, (self.ports.clock.now)()));
        }
        let address = self.fleet.address(&home.entry)?;
        let sender = self.fleet.sender();
        let replies =
            grpc::send_claims(&self.fleet.peers, address, &sender, home, &[request]).await;
        replies.ok()?.pop()
    }

    /// Releases the key of an attempt that was not dispatched.
    fn release_claim(self: &Arc<Self>, claimant: &mut Claimant, key: &ClaimKey) {
        let newest = self.homes(key);
        self.notify_homes(claimant.release(&newest));
    }

    /// Records the answer of an attempt that was dispatched, or that it was
    /// lost.
    fn finish_claim(
        self: &Arc<Self>,
        claimant: &mut Claimant,
        key: &ClaimKey,
        answer: Option<Arc<Answer>>,
    ) {
        let newest = self.homes(key);
        self.notify_homes(claimant.finish(answer, &newest));
    }

    fn notify_homes<T: Into<HomeRequest>>(self: &Arc<Self>, messages: Vec<(Member, T)>) {
        if messages.is_empty() {
            return;
        }
        let now = (self.ports.clock.now)();
        self.claims.outbox().push(messages, now);
        self.send_outbox();
    }

    /// Sends the releases and answers that are due. Each is sent again until
    /// its home has acknowledged it.
    pub(super) fn send_outbox(self: &Arc<Self>) {
        let now = (self.ports.clock.now)();
        let due = self.claims.outbox().due(now);
        for (id, home, request) in due {
            let state = self.clone();
            tokio::spawn(async move {
                if state.ask_home(&home, request).await.is_some() {
                    state.claims.outbox().on_reply(id, &home);
                }
            });
        }
    }
}

/// The outcome of a claim.
pub(super) enum ClaimOutcome {
    /// The request has no key and needs no claim.
    Unkeyed,
    /// The request may be dispatched once.
    Won(WonClaim),
    /// The request was executed before, and this answer was recorded.
    Answered(http::Response<Body>),
}

/// The right to dispatch a request once.
///
/// Dropping it before the dispatch releases the key. Dropping it after the
/// dispatch records that the answer was lost.
pub(super) struct WonClaim {
    state: Arc<State>,
    key: ClaimKey,
    claimant: Claimant,
}

/// Claims the key of a request.
///
/// # Errors
///
/// Refuses the request if another attempt holds the key or no quorum answers.
pub(super) async fn claim(state: &Arc<State>, job: &Job) -> Result<ClaimOutcome, Refusal> {
    let Some(key) = job.key.clone() else {
        return Ok(ClaimOutcome::Unkeyed);
    };
    let now = (state.ports.clock.now)();
    let homes = state.homes(&key);
    let vote = VoteRequest {
        key: key.clone(),
        fingerprint: job.claim_fingerprint(),
        attempt: AttemptId(rand::rng().random()),
        claimant: state.claims.me().clone(),
        epoch: homes.epoch,
    };
    let mut won = WonClaim {
        state: state.clone(),
        key,
        claimant: Claimant::new(vote, homes, now),
    };
    let decision = state.collect_votes(&mut won.claimant, job.deadline).await;
    match decision {
        Decision::Won => Ok(ClaimOutcome::Won(won)),
        Decision::Finished(Some(answer)) if answer.body.is_some() => {
            Ok(ClaimOutcome::Answered(replay(&answer)))
        }
        decision => match decision.refusal(&mut rand::rng()) {
            Some(refusal) => Err(refusal),
            None => Ok(ClaimOutcome::Won(won)),
        },
    }
}

impl WonClaim {
    /// Returns whether the request may be sent to a target now.
    pub fn dispatch(&mut self, now: Millis) -> bool {
        self.claimant.dispatch(now)
    }

    /// Marks the dispatched request as unsent: no byte of it was written.
    pub fn mark_unsent(&mut self) {
        self.claimant.mark_unsent();
    }

    /// Records the answer for repeats of the request.
    pub fn finish(mut self, answer: Answer) {
        let answer = Some(Arc::new(answer));
        self.state
            .finish_claim(&mut self.claimant, &self.key, answer);
    }
}

impl Drop for WonClaim {
    fn drop(&mut self) {
        // The first call has an effect only before the dispatch, the second
        // only after it.
        self.state.release_claim(&mut self.claimant, &self.key);
        self.state.finish_claim(&mut self.claimant, &self.key, None);
    }
}

/// Returns a recorded answer as a response.
fn replay(answer: &Answer) -> http::Response<Body> {
    let body = answer.body.clone().unwrap_or_default();
    let mut resp = http::Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *resp.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            resp.headers_mut().insert(name, value);
        }
    }
    let replayed = HeaderName::from_static("x-savorybeam-replayed");
    resp.headers_mut()
        .insert(replayed, HeaderValue::from_static("true"));
    resp
}
