//! Carries one request from its caller to a target and the answer back.

use std::{
    pin::Pin,
    sync::{Arc, PoisonError},
};

use futures::{StreamExt, stream::FuturesUnordered};
use http::{Response, StatusCode, header};

use super::{
    State,
    claims::{self, Claimed, Won},
    crashes, grants,
    job::{Inbound, Job},
    limits::link_limit,
    observe::Why,
    pacing::Pacer,
    reply,
    service::Service,
    slot::Slot,
};
use crate::{
    adapters::metrics::ServiceLabel,
    domain::{Lane, Millis, TargetId},
    policy::{
        refusal::{Code, Refusal},
        retry::{self, Percentiles},
        silence,
        target::{Completion, LoadReport},
    },
    ports::{Body, Outbound, SendError},
};

type Sending = Pin<Box<dyn Future<Output = (Slot, Result<Response<Body>, SendError>)> + Send>>;

/// Carries a request.
///
/// # Errors
///
/// Returns what the caller is to be told if no answer of a target can be passed
/// on.
pub(super) async fn carry(state: &Arc<State>, inbound: Inbound) -> Result<Response<Body>, Refusal> {
    let job = Job::read(state, inbound).await?;
    let trial = crashes::admit(state, &job)?;
    let won = match claims::claim(state, &job).await? {
        Claimed::Unkeyed => None,
        Claimed::Won(won) => Some(won),
        Claimed::Answered(resp) => return Ok(resp),
    };
    let suspect = trial.is_some();
    let slot = grants::acquire(state, &job).await?;
    let run = Run {
        state,
        job,
        won,
        suspect,
        sending: FuturesUnordered::new(),
        tried: Vec::new(),
        hedged: false,
        sent: false,
        first: (state.ports.clock.now)(),
    };
    run.answer(slot).await
}

/// The attempts of one request.
struct Run<'a> {
    state: &'a Arc<State>,
    job: Job,
    won: Option<Won>,
    /// Whether its shape has broken a connection before.
    suspect: bool,
    sending: FuturesUnordered<Sending>,
    tried: Vec<TargetId>,
    hedged: bool,
    /// Whether a target may have seen it.
    sent: bool,
    first: Millis,
}

impl Run<'_> {
    async fn answer(mut self, slot: Slot) -> Result<Response<Body>, Refusal> {
        self.earn();
        self.send(slot)?;
        loop {
            let now = self.now();
            let wake = self.wake(now);
            let timer = tokio::time::sleep((wake - now).duration());
            let sending = &mut self.sending;
            let ended = tokio::select! {
                Some(ended) = sending.next() => Some(ended),
                () = timer => None,
            };
            match ended {
                Some((slot, Ok(resp))) => {
                    if let Some(resp) = self.answered(slot, resp).await? {
                        return Ok(resp);
                    }
                }
                Some((slot, Err(e))) => self.failed(slot, e).await?,
                None if self.now() >= self.job.deadline => return Err(self.late()),
                None => self.hedge(),
            }
        }
    }

    fn now(&self) -> Millis {
        (self.state.ports.clock.now)()
    }

    fn earn(&self) {
        self.state
            .services
            .get(&self.job.service, |s| s.budget.deposit());
    }

    /// Sends the request to the target of a slot.
    fn send(&mut self, mut slot: Slot) -> Result<(), Refusal> {
        let now = self.now();
        // The right to dispatch is checked directly before the dispatch, since
        // a pause may lie between the win and this point.
        if let Some(won) = &mut self.won
            && !won.dispatch(now)
        {
            let detail = "the claim is too old to be used";
            return Err(Refusal::not_run(Code::ClaimUnavailable, detail));
        }
        let target = slot.target();
        let Some(mut request) = self.job.request(now) else {
            slot.finish(Completion::Cancelled);
            return Err(Refusal::unknown(
                Code::ConnectionBroken,
                format!("send to {target}: the body cannot be sent again"),
            ));
        };
        request.extensions_mut().insert(self.why(&slot));
        self.tried.push(target);
        let hold = slot.hold();
        let out = Outbound {
            in_flight: hold,
            ..Outbound::new(target, request)
        };
        let send = (self.state.ports.targets.send)(out);
        let clock = self.state.ports.clock.clone();
        self.sending.push(Box::pin(async move {
            let result = send.await;
            if result.is_ok() {
                slot.answered((clock.now)());
            }
            (slot, result)
        }));
        Ok(())
    }

    /// Returns why the request goes to the target of a slot, for `explain`.
    fn why(&self, slot: &Slot) -> Why {
        let Self { job, tried, .. } = self;
        let kind = match (tried.len(), self.hedged) {
            (0, _) => "first attempt".to_owned(),
            (n, true) => format!("hedge after {n} attempts"),
            (n, false) => format!("retry after {n} attempts"),
        };
        let state = &slot.choice().state;
        Why {
            place: slot.choice().place.to_string(),
            reason: format!("{kind}, lane {}, target {state:?}", job.lane),
        }
    }

    /// Returns the next instant at which something is to be decided.
    fn wake(&self, now: Millis) -> Millis {
        if self.hedged || self.suspect || !self.job.is_kept() {
            return self.job.deadline;
        }
        let known = self.percentiles();
        let attempt = self.job.attempt(true, self.count(), self.first);
        let usual = retry::hedge_time(&attempt, known).ok();
        let silent = self
            .job
            .idempotent
            .then(|| self.first + silence::timeout(known.p99));
        let wake = usual
            .into_iter()
            .chain(silent)
            .min()
            .unwrap_or(self.job.deadline);
        // A hedge that found no free slot is tried again a little later.
        wake.max(now + Millis(5)).min(self.job.deadline)
    }

    fn percentiles(&self) -> Percentiles {
        let lane = usize::from(self.job.lane == Lane::Long);
        let known = |s: &mut Service| s.windows[lane].percentiles();
        self.state
            .services
            .get(&self.job.service, known)
            .unwrap_or_default()
    }

    fn label(&self) -> ServiceLabel {
        ServiceLabel {
            service: self.job.service.to_string(),
        }
    }

    fn count(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    fn hedge(&mut self) {
        let now = self.now();
        let attempt = self.job.attempt(true, self.count(), self.first);
        let pay = |s: &mut Service| s.budget.hedge(now, &attempt).is_ok();
        if !self
            .state
            .services
            .get(&self.job.service, pay)
            .unwrap_or(false)
        {
            self.hedged = true;
            return;
        }
        match grants::acquire_extra(self.state, &self.job, &self.tried) {
            Some(slot) => {
                self.hedged = true;
                let hedges = &self.state.ports.metrics.hedges;
                hedges.get_or_create(&self.label()).inc();
                // The first copy is still running, so a failure to send this one
                // changes nothing for the caller.
                let _ = self.send(slot);
            }
            None => {
                self.state
                    .services
                    .get(&self.job.service, |s| s.budget.refund());
            }
        }
    }

    /// Passes an answer on, or returns none if the target shed the request and
    /// another one may take it.
    async fn answered(
        &mut self,
        mut slot: Slot,
        resp: Response<Body>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        let now = self.now();
        if let Some(time) = shed(&resp) {
            let target = slot.target();
            self.state
                .services
                .get(&self.job.service, |s| s.pool.shed(now, target, time));
            slot.finish(Completion::Cancelled);
            return self.refused(slot, resp).await;
        }
        if let Some(report) = report(&resp, now) {
            let target = slot.target();
            self.state
                .services
                .get(&self.job.service, |s| s.pool.report(target, report));
        }
        if !resp.status().is_server_error() {
            let mut successes = self
                .state
                .successes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            successes.insert(self.job.fingerprint, now);
            drop(successes);
            if self.suspect {
                crashes::absolve(self.state, &self.job);
            }
        }
        let pacer = self.pacer(&slot);
        Ok(Some(reply::pass(resp, slot, self.won.take(), pacer)))
    }

    /// Sends a request elsewhere that its target shed, or passes the target's
    /// answer on. A target that sheds has not run the request (docs/api.md), so
    /// that also a request that may not be repeated can be sent again, and its
    /// key becomes free.
    async fn refused(
        &mut self,
        slot: Slot,
        resp: Response<Body>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        if let Some(won) = &mut self.won {
            won.unsent();
        }
        if self.retry(false).await {
            return Ok(None);
        }
        Ok(Some(reply::pass(resp, slot, None, None)))
    }

    /// Returns the pace of an answer that comes from another region.
    fn pacer(&self, slot: &Slot) -> Option<Pacer> {
        let place = &slot.choice().place;
        let region = self
            .state
            .services
            .get(&self.job.service, |s| s.region(place).cloned());
        let here = &self.state.settings.region;
        let from = region.flatten().filter(|r| r != here)?;
        Some(Pacer::new(
            self.state,
            link_limit(&from, here),
            self.job.lane,
        ))
    }

    /// Sends the request again after a failure if that is allowed.
    async fn failed(&mut self, mut slot: Slot, e: SendError) -> Result<(), Refusal> {
        slot.finish(Completion::Failed);
        let sent = matches!(e, SendError::Unknown { .. });
        self.sent |= sent;
        if sent {
            self.suspect |= crashes::strike(self.state, &self.job, &e).await;
        } else if let Some(won) = &mut self.won {
            won.unsent();
        }
        drop(slot);
        if !self.sending.is_empty() || self.retry(sent).await {
            return Ok(());
        }
        if self.sent {
            return Err(Refusal::unknown(Code::ConnectionBroken, e.to_string()));
        }
        Err(Refusal::not_run(Code::TargetUnreachable, e.to_string()).retry_after(Millis(1_000)))
    }

    /// Sends the request once more, if budget, time and units allow.
    async fn retry(&mut self, sent: bool) -> bool {
        if !self.job.is_kept() {
            return false;
        }
        let now = self.now();
        let mut attempt = self.job.attempt(sent, self.count(), self.first);
        attempt.strikes = {
            let strikes = self
                .state
                .strikes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            strikes.count(self.job.fingerprint, now)
        };
        let decide = |s: &mut Service| s.budget.retry(now, &mut rand::rng(), &attempt);
        let Some(Ok(delay)) = self.state.services.get(&self.job.service, decide) else {
            return false;
        };
        tokio::time::sleep(delay.duration()).await;
        if let Some(slot) = grants::acquire_extra(self.state, &self.job, &self.tried) {
            let retries = &self.state.ports.metrics.retries;
            retries.get_or_create(&self.label()).inc();
            return self.send(slot).is_ok();
        }
        if !sent {
            // It has not run anywhere, so it may wait for a slot once more.
            return match grants::acquire(self.state, &self.job).await {
                Ok(slot) => self.send(slot).is_ok(),
                Err(_) => false,
            };
        }
        self.state
            .services
            .get(&self.job.service, |s| s.budget.refund());
        false
    }

    fn late(&self) -> Refusal {
        let targets: Vec<String> = self.tried.iter().map(ToString::to_string).collect();
        let detail = format!(
            "answer from {}: none before the deadline",
            targets.join(", ")
        );
        Refusal::unknown(Code::DeadlineExceeded, detail)
    }
}

/// Returns for how long a target that refuses work wants to be left alone.
fn shed(resp: &Response<Body>) -> Option<Millis> {
    if resp.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = resp.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: u64 = value.parse().ok()?;
    Some(Millis(seconds.saturating_mul(1000)))
}

/// Returns what a target says of its load with an answer: running and waiting
/// requests in parts of its slots.
fn report(resp: &Response<Body>, now: Millis) -> Option<LoadReport> {
    let load: f64 = resp.headers().get("x-load")?.to_str().ok()?.parse().ok()?;
    load.is_finite().then_some(LoadReport {
        measured_at: now,
        load,
    })
}
