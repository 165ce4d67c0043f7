//! Carries one request to targets until one has answered.

use std::sync::Arc;

use http::{Request, Response};

use super::{
    State, answer,
    exchange::{Answer, Outcome, exchange},
    job::Job,
    now,
    slot::Slot,
};
use crate::{
    domain::{InstanceId, Millis},
    policy::{
        balance::{ChooseError, Ticket},
        refusal::{Code, Refusal},
    },
    ports::Body,
};

/// When a caller may come back to a service whose targets are all full.
const FULL_RETRY: Millis = Millis(250);

/// The most targets that are tried for one request, those to which nothing was
/// sent included.
const TRIED_MAX: usize = 5;

/// Carries a request.
///
/// # Errors
///
/// Returns what the caller is to be told if no answer of a target can be passed
/// on.
pub(super) async fn carry(
    state: &Arc<State>,
    req: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let job = match Job::read(state, req).await {
        Ok(job) => job,
        Err(refusal) => {
            tracing::info!(cause = %refusal, "gateway: request refused unread.");
            return Err(refusal);
        }
    };
    let (at, allowed) = (now(state), state.allowance());
    let pools = &state.pools;
    pools.get(&job.service, |p| p.deposit_retry(at, &allowed));
    let mut run = Run {
        state,
        job,
        tried: Vec::new(),
        sent: 0,
        ran: false,
        last: None,
    };
    let result = run.answer().await;
    run.report(&result);
    result
}

/// The attempts of one request.
struct Run<'a> {
    state: &'a Arc<State>,
    job: Job,
    tried: Vec<InstanceId>,
    /// How many targets it was sent to.
    sent: u32,
    /// Whether a target may have run it.
    ran: bool,
    last: Option<Ticket>,
}

impl Run<'_> {
    async fn answer(&mut self) -> Result<Response<Body>, Refusal> {
        let mut kept: Option<Box<Answer>> = None;
        let failed = loop {
            let slot = match Slot::acquire(self.state, &self.job, &self.tried) {
                Ok(slot) => slot,
                Err(miss) => break self.missed(miss),
            };
            self.tried.push(slot.ticket().id.clone());
            self.last = Some(slot.ticket().clone());
            let outcome = exchange(self.state, &mut self.job, slot).await;
            self.note(&outcome);
            let failed = match outcome {
                Outcome::Answer(answer) if !answer.head.status.is_server_error() => {
                    return Ok(answer::pass(*answer));
                }
                Outcome::Answer(answer) => {
                    kept = Some(answer);
                    self.late()
                }
                Outcome::Late => break self.late(),
                Outcome::Rejected => self.full("the target rejected it"),
                Outcome::Unsent(cause) => self.full(&cause),
                Outcome::Unknown(cause) => Refusal::unknown(Code::ConnectionBroken, cause),
            };
            if !self.again() {
                break failed;
            }
        };
        // A target's own failure is passed on if nothing better has come.
        kept.map(|a| answer::pass(*a)).ok_or(failed)
    }

    /// Notes what an attempt has done.
    fn note(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Unsent(_) => {}
            Outcome::Rejected => self.sent += 1,
            Outcome::Answer(_) | Outcome::Unknown(_) | Outcome::Late => {
                self.sent += 1;
                self.ran = true;
            }
        }
        let cause = match outcome {
            Outcome::Answer(answer) if !answer.head.status.is_server_error() => return,
            Outcome::Answer(answer) => answer.head.status.to_string(),
            Outcome::Rejected => "rejected".to_owned(),
            Outcome::Late => "no answer in time".to_owned(),
            Outcome::Unsent(cause) | Outcome::Unknown(cause) => cause.clone(),
        };
        let request = self.job.label();
        let target = self.tried.last().map_or("-", InstanceId::as_str);
        tracing::info!(request, target, cause, "gateway: attempt failed.");
    }

    /// Decides whether the request is sent once more, and pays for it.
    fn again(&mut self) -> bool {
        let job = &self.job;
        let at = now(self.state);
        if self.ran && !job.rule.kind.is_idempotent() {
            return false;
        }
        if !job.is_kept() || self.tried.len() >= TRIED_MAX || at >= job.end {
            return false;
        }
        if self.sent == 0 {
            // No target has got it, so that this is not a further attempt.
            return true;
        }
        if self.sent >= job.rule.attempts {
            return false;
        }
        let allowed = self.state.allowance();
        let entries = self.state.peers().len();
        let pools = &self.state.pools;
        let paid = pools.get(&job.service, |p| p.withdraw_retry(at, &allowed, entries));
        paid.unwrap_or(false)
    }

    fn missed(&self, miss: ChooseError) -> Refusal {
        match miss {
            ChooseError::NoTarget => self.full("no target may take it"),
            ChooseError::Unavailable => self.full("all targets are full or failing"),
            ChooseError::TooLate { expected } => {
                self.full(&format!("an answer is expected after {expected}"))
            }
        }
    }

    /// Returns the failure of a request that no target can take.
    fn full(&self, cause: &str) -> Refusal {
        if self.ran {
            return Refusal::unknown(Code::ConnectionBroken, cause);
        }
        Refusal::not_run(Code::Overloaded, cause).retry_after(FULL_RETRY)
    }

    fn late(&self) -> Refusal {
        let tried: Vec<&str> = self.tried.iter().map(InstanceId::as_str).collect();
        let detail = format!("answer from {}: none in time", tried.join(", "));
        Refusal::unknown(Code::DeadlineExceeded, detail)
    }

    /// Logs and counts what became of the request.
    fn report(&self, result: &Result<Response<Body>, Refusal>) {
        let job = &self.job;
        let took = now(self.state) - job.arrived;
        let (code, outcome, cause) = match result {
            Ok(resp) => (resp.status().as_str().to_owned(), "complete", String::new()),
            Err(e) => (e.code.to_string(), e.outcome.as_str(), e.detail.clone()),
        };
        let last = self.last.as_ref();
        tracing::info!(
            request = job.label(),
            route = job.rule.name,
            version = %job.table.version,
            object = job.object.map(|o| format!("{o:016x}")),
            service = %job.service,
            target = last.map_or("-", |t| t.id.as_str()),
            attempts = self.sent,
            load = last.map(|t| t.load),
            report_age_ms = last.and_then(|t| t.report_age).map(|a| a.0),
            warm = last.map(|t| t.warm),
            far = last.map(|t| t.remote),
            expected_ms = last.map(|t| t.expected_duration.0),
            limit_ms = (job.end - job.arrived).0,
            took_ms = took.0,
            code,
            outcome,
            cause,
            "gateway: request ended."
        );
        let metrics = &self.state.ports.metrics;
        metrics.count_request(job.service.as_str(), code, outcome, took.duration());
    }
}
