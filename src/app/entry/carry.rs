//! Forwards one request to a target, with retries and a hedge, and returns the
//! answer.

use std::{pin::Pin, sync::Arc};

use futures::{StreamExt, stream::FuturesUnordered};
use http::{HeaderMap, Response, StatusCode, header};

use super::{
    State, callers,
    claims::{self, ClaimOutcome, WonClaim},
    crashes, grants,
    job::{Inbound, Job},
    limits::link_limit,
    observe::DispatchReason,
    pacing::Pacer,
    quota::Admission,
    reply,
    service::Service,
    slot::Slot,
};
use crate::{
    adapters::metrics::ServiceLabel,
    domain::{Lane, Millis, TargetId, Workspace, lock},
    policy::{
        refusal::{Code, Refusal},
        retry::{self, Percentiles},
        silence,
        target::{Completion, LoadReport},
    },
    ports::{Body, Outbound, SendError},
};

type SendFuture = Pin<Box<dyn Future<Output = (Slot, Result<Response<Body>, SendError>)> + Send>>;

/// Forwards a request to a target and returns the target's answer.
///
/// # Errors
///
/// Returns the refusal for the caller if no target's answer can be passed on.
pub(super) async fn carry(
    state: &Arc<State>,
    mut inbound: Inbound,
) -> Result<Response<Body>, Refusal> {
    let workspace = callers::resolve(state, &mut inbound)?;
    let name = workspace.as_ref().map(|w| w.name.clone());
    let result = carry_resolved(state, inbound, workspace).await;
    if let Some(name) = name {
        let failure = result.as_ref().err().map(|refusal| refusal.code.as_str());
        state.ports.metrics.count_workspace(name.as_str(), failure);
    }
    result
}

/// Forwards a request whose workspace is known.
async fn carry_resolved(
    state: &Arc<State>,
    inbound: Inbound,
    workspace: Option<Arc<Workspace>>,
) -> Result<Response<Body>, Refusal> {
    let arrived = (state.ports.clock.now)();
    let admission = Admission::acquire(state, &inbound, workspace.as_deref(), arrived).await?;
    let job = Job::read(state, inbound, arrived, workspace).await?;
    let trial = crashes::admit(state, &job)?;
    let claim = match claims::claim(state, &job).await? {
        ClaimOutcome::Unkeyed => None,
        ClaimOutcome::Won(claim) => Some(claim),
        ClaimOutcome::Answered(resp) => return Ok(resp),
    };
    let suspect = trial.is_some();
    let slot = grants::acquire(state, &job).await?;
    let delivery = Delivery {
        state,
        job,
        admission,
        claim,
        suspect,
        in_flight: FuturesUnordered::new(),
        tried_targets: Vec::new(),
        hedged: false,
        sent: false,
        first_sent: (state.ports.clock.now)(),
    };
    delivery.execute(slot).await
}

/// The delivery of one request: its running attempts and what earlier ones
/// have shown.
struct Delivery<'a> {
    state: &'a Arc<State>,
    job: Job,
    /// Its part of the limit of its workspace, if that has one.
    admission: Option<Admission>,
    claim: Option<WonClaim>,
    /// Whether a request with this fingerprint has broken a connection before.
    /// Such a request is not hedged.
    suspect: bool,
    in_flight: FuturesUnordered<SendFuture>,
    tried_targets: Vec<TargetId>,
    hedged: bool,
    /// Whether a target may have received the request.
    sent: bool,
    /// When the first attempt began.
    first_sent: Millis,
}

impl Delivery<'_> {
    /// Sends the request to the target of a slot, and retries and hedges it
    /// until there is an answer or a refusal.
    async fn execute(mut self, slot: Slot) -> Result<Response<Body>, Refusal> {
        self.deposit();
        self.send(slot)?;
        loop {
            let now = self.now();
            let next_wakeup = self.next_wakeup(now);
            let timer = tokio::time::sleep((next_wakeup - now).duration());
            let in_flight = &mut self.in_flight;
            let ended = tokio::select! {
                Some(ended) = in_flight.next() => Some(ended),
                () = timer => None,
            };
            match ended {
                Some((slot, Ok(resp))) => {
                    if let Some(resp) = self.on_answer(slot, resp).await? {
                        return Ok(resp);
                    }
                }
                Some((slot, Err(e))) => self.on_failure(slot, e).await?,
                None if self.now() >= self.job.deadline => return Err(self.deadline_refusal()),
                None => self.hedge(),
            }
        }
    }

    fn now(&self) -> Millis {
        (self.state.ports.clock.now)()
    }

    /// Records a first attempt in the retry budget.
    fn deposit(&self) {
        self.state
            .services
            .get(&self.job.service, |s| s.budget.deposit());
    }

    /// Sends the request to the target of a slot.
    fn send(&mut self, mut slot: Slot) -> Result<(), Refusal> {
        let now = self.now();
        if let Some(admission) = &mut self.admission
            && !admission.spend(now)
        {
            slot.set_completion(Completion::Cancelled);
            let detail = "the limit of the workspace has no room for a further attempt";
            return Err(Refusal::not_run(Code::QuotaExceeded, detail));
        }
        // The claim is checked directly before the dispatch, because the
        // process may have been paused since the claim was won.
        if let Some(claim) = &mut self.claim
            && !claim.dispatch(now)
        {
            self.restore_admission();
            let detail = "the claim is too old to be used";
            return Err(Refusal::not_run(Code::ClaimUnavailable, detail));
        }
        let target = slot.target();
        let Some(mut request) = self.job.request(now) else {
            self.restore_admission();
            slot.set_completion(Completion::Cancelled);
            return Err(Refusal::unknown(
                Code::ConnectionBroken,
                format!("send to {target}: the body cannot be sent again"),
            ));
        };
        request.extensions_mut().insert(self.dispatch_reason(&slot));
        self.tried_targets.push(target);
        let hold = slot.hold();
        let out = Outbound {
            in_flight: hold,
            once_only: !self.job.idempotent,
            // Responses have no request id. A faulty target that writes a shed
            // response once more would make the next request on the connection
            // appear shed.
            may_reuse: Arc::new(|status, headers| shed_duration(status, headers).is_none()),
            ..Outbound::new(target, request)
        };
        let send = (self.state.ports.targets.send)(out);
        let clock = self.state.ports.clock.clone();
        self.in_flight.push(Box::pin(async move {
            let result = send.await;
            if result.is_ok() {
                slot.set_head_time((clock.now)());
            }
            (slot, result)
        }));
        Ok(())
    }

    /// Returns why the request is sent to the target of a slot, for `explain`.
    fn dispatch_reason(&self, slot: &Slot) -> DispatchReason {
        let Self {
            job, tried_targets, ..
        } = self;
        let kind = match (tried_targets.len(), self.hedged) {
            (0, _) => "first attempt".to_owned(),
            (n, true) => format!("hedge after {n} attempts"),
            (n, false) => format!("retry after {n} attempts"),
        };
        let state = &slot.choice().state;
        DispatchReason {
            place: slot.choice().place.to_string(),
            reason: format!("{kind}, lane {}, target {state:?}", job.lane),
        }
    }

    /// Returns when to hedge the request, or its deadline if it is not hedged.
    fn next_wakeup(&self, now: Millis) -> Millis {
        if self.hedged || self.suspect || !self.job.is_repeatable() {
            return self.job.deadline;
        }
        let percentiles = self.percentiles();
        let attempt = self.job.attempt(true, self.attempts(), self.first_sent);
        let hedge_at = retry::hedge_time(&attempt, percentiles).ok();
        let silent_at = self
            .job
            .idempotent
            .then(|| self.first_sent + silence::timeout(percentiles.p99));
        let next_wakeup = hedge_at
            .into_iter()
            .chain(silent_at)
            .min()
            .unwrap_or(self.job.deadline);
        // A hedge that found no free slot is attempted again 5 ms later.
        next_wakeup.max(now + Millis(5)).min(self.job.deadline)
    }

    fn percentiles(&self) -> Percentiles {
        let lane = usize::from(self.job.lane == Lane::Long);
        let percentiles = |s: &mut Service| s.latency_windows[lane].percentiles();
        self.state
            .services
            .get(&self.job.service, percentiles)
            .unwrap_or_default()
    }

    fn label(&self) -> ServiceLabel {
        ServiceLabel {
            service: self.job.service.to_string(),
        }
    }

    fn attempts(&self) -> u32 {
        u32::try_from(self.tried_targets.len()).unwrap_or(u32::MAX)
    }

    /// Sends a hedge if the budget allows it and a slot is free. If the budget
    /// does not allow it, no other hedge is attempted.
    fn hedge(&mut self) {
        let now = self.now();
        let attempt = self.job.attempt(true, self.attempts(), self.first_sent);
        let withdraw = |s: &mut Service| s.budget.hedge(now, &attempt).is_ok();
        if !self
            .state
            .services
            .get(&self.job.service, withdraw)
            .unwrap_or(false)
        {
            self.hedged = true;
            return;
        }
        match grants::acquire_extra(self.state, &self.job, &self.tried_targets) {
            Some(slot) => {
                self.hedged = true;
                let hedges = &self.state.ports.metrics.hedges;
                hedges.get_or_create(&self.label()).inc();
                // The first copy is still running, so a failure to send this
                // one changes nothing for the caller.
                let _ = self.send(slot);
            }
            None => {
                self.state
                    .services
                    .get(&self.job.service, |s| s.budget.refund());
            }
        }
    }

    /// Passes an answer on, or returns `None` if the target shed the request
    /// and it was sent to another one.
    async fn on_answer(
        &mut self,
        mut slot: Slot,
        resp: Response<Body>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        let now = self.now();
        if let Some(duration) = shed_duration(resp.status(), resp.headers()) {
            let target = slot.target();
            self.state
                .services
                .get(&self.job.service, |s| s.pool.shed(now, target, duration));
            slot.set_completion(Completion::Cancelled);
            return self.on_shed(slot, resp).await;
        }
        if let Some(report) = load_report(&resp, now) {
            let target = slot.target();
            self.state
                .services
                .get(&self.job.service, |s| s.pool.report(target, report));
        }
        if !resp.status().is_server_error() {
            let mut successes = lock(&self.state.successes);
            successes.insert(self.job.fingerprint, now);
            drop(successes);
            if self.suspect {
                crashes::clear_strikes(self.state, &self.job);
            }
        }
        let pacer = self.pacer(&slot);
        Ok(Some(reply::forward(resp, slot, self.claim.take(), pacer)))
    }

    /// Sends a request that its target shed to another target, or passes the
    /// target's answer on. A target that sheds a request has not run it
    /// (docs/api.md), so a request that is not idempotent can be sent again
    /// too, and its key is released.
    async fn on_shed(
        &mut self,
        slot: Slot,
        resp: Response<Body>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        if let Some(claim) = &mut self.claim {
            claim.mark_unsent();
        }
        self.restore_admission();
        if self.retry(false).await {
            return Ok(None);
        }
        Ok(Some(reply::forward(resp, slot, None, None)))
    }

    /// Takes back the part of the limit that an attempt has used which was not run.
    fn restore_admission(&mut self) {
        if let Some(admission) = &mut self.admission {
            admission.restore();
        }
    }

    /// Returns the pacer of an answer that comes from another region.
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

    /// Retries the request after a failed attempt, or returns the refusal if no
    /// other attempt is running and a retry is not allowed.
    async fn on_failure(&mut self, mut slot: Slot, e: SendError) -> Result<(), Refusal> {
        slot.set_completion(Completion::Failed);
        let sent = matches!(e, SendError::Unknown { .. });
        self.sent |= sent;
        if sent {
            self.suspect |= crashes::record_strike(self.state, &self.job, &e).await;
        } else {
            if let Some(claim) = &mut self.claim {
                claim.mark_unsent();
            }
            self.restore_admission();
        }
        drop(slot);
        if !self.in_flight.is_empty() || self.retry(sent).await {
            return Ok(());
        }
        if self.sent {
            return Err(Refusal::unknown(Code::ConnectionBroken, e.to_string()));
        }
        Err(Refusal::not_run(Code::TargetUnreachable, e.to_string()).retry_after(Millis(1_000)))
    }

    /// Retries the request if the retry budget, the deadline and free slots
    /// allow it. Returns whether it was sent.
    async fn retry(&mut self, sent: bool) -> bool {
        if !self.job.is_repeatable() {
            return false;
        }
        let now = self.now();
        let mut attempt = self.job.attempt(sent, self.attempts(), self.first_sent);
        attempt.strikes = {
            let strikes = lock(&self.state.strikes);
            strikes.count(self.job.fingerprint, now)
        };
        let withdraw = |s: &mut Service| s.budget.retry(now, &mut rand::rng(), &attempt);
        let Some(Ok(delay)) = self.state.services.get(&self.job.service, withdraw) else {
            return false;
        };
        tokio::time::sleep(delay.duration()).await;
        if let Some(slot) = grants::acquire_extra(self.state, &self.job, &self.tried_targets) {
            let retries = &self.state.ports.metrics.retries;
            retries.get_or_create(&self.label()).inc();
            return self.send(slot).is_ok();
        }
        if !sent {
            // No target has run it, so it may wait for a slot again.
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

    /// Returns the refusal of a request without an answer before its deadline.
    fn deadline_refusal(&self) -> Refusal {
        let targets: Vec<String> = self.tried_targets.iter().map(ToString::to_string).collect();
        let detail = format!(
            "answer from {}: none before the deadline",
            targets.join(", ")
        );
        Refusal::unknown(Code::DeadlineExceeded, detail)
    }
}

/// Returns how long a target that sheds load asks to get no requests.
fn shed_duration(status: StatusCode, headers: &HeaderMap) -> Option<Millis> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: u64 = value.parse().ok()?;
    Some(Millis(seconds.saturating_mul(1000)))
}

/// Returns the load that a target reports with an answer: its running and
/// waiting requests divided by its slots.
fn load_report(resp: &Response<Body>, now: Millis) -> Option<LoadReport> {
    let load: f64 = resp.headers().get("x-load")?.to_str().ok()?.parse().ok()?;
    load.is_finite().then_some(LoadReport {
        measured_at: now,
        load,
    })
}
