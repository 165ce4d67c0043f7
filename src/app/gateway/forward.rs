//! Forwards one request to targets until one has answered.

use std::{
    net::IpAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use http::{Request, Response};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    State, crashes,
    exchange::{BrokenConn, Outcome, TargetResponse, exchange},
    now,
    quota::Admission,
    request::{self, RoutedRequest},
    response,
    slot::Slot,
};
use crate::{
    adapters::platform::headers,
    domain::{InstanceId, Millis},
    policy::{
        balance::{Basis, ChooseError, Ticket, Withheld},
        refusal::{self, Code, Refusal},
    },
    ports::Body,
};

/// The `retry-after` of a request that no target could take.
const OVERLOADED_RETRY_AFTER: Millis = Millis(250);

/// The `retry-after` of a request that a target rejected while its region has room, so
/// that another target can take it.
const REJECTED_RETRY_AFTER: Millis = Millis(50);

/// The service in the metrics of requests that were refused before their service
/// was asked.
const NO_SERVICE: &str = "-";

/// The maximum number of targets that are chosen for one request, including
/// those to which nothing could be sent.
const MAX_TRIED: usize = 5;

/// Forwards a request of the caller with the given address and returns the
/// response of a target.
///
/// # Errors
///
/// Returns the refusal for the caller if no target gave a valid response.
pub(super) async fn forward(
    state: &Arc<State>,
    caller: Option<IpAddr>,
    req: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let id = headers::read_request_head(req.headers()).id;
    let request = match RoutedRequest::read(state, caller, req).await {
        Ok(request) => request,
        Err(refusal) => {
            let request = headers::label(id.as_ref());
            tracing::info!(request, cause = %refusal, "gateway: request refused before forwarding.");
            let (code, outcome) = (refusal.code.to_string(), refusal.outcome.as_str());
            let metrics = &state.ports.metrics;
            metrics.count_request(NO_SERVICE, code, outcome, Duration::ZERO);
            return Err(refusal);
        }
    };
    let (at, limits) = (now(state), state.retry_limits());
    state.count_request(at);
    let pools = &state.pools;
    pools.get(&request.service, |p| p.deposit_retry(at, &limits));
    let mut forwarding = Forwarding {
        state,
        caller,
        request,
        tried: Vec::new(),
        sent_count: 0,
        maybe_run: false,
        breaks: None,
        last: None,
        refused: None,
        reported: false,
    };
    let result = forwarding.run().await;
    forwarding.report(&result);
    result
}

/// The progress of one request through its attempts.
struct Forwarding<'a> {
    state: &'a Arc<State>,
    /// The address of the caller, for logs.
    caller: Option<IpAddr>,
    request: RoutedRequest,
    /// The targets that were chosen, in order.
    tried: Vec<InstanceId>,
    /// The number of targets to which the request was sent.
    sent_count: u32,
    /// Whether a target may have run the request.
    maybe_run: bool,
    /// Whether the request has got a strike, if it has broken the connection to a target.
    breaks: Option<Arc<AtomicBool>>,
    /// The latest attempt.
    last: Option<Attempt>,
    /// What the refusal of the request was based on, if a target could have taken
    /// it.
    refused: Option<Basis>,
    /// Whether the result has been logged.
    reported: bool,
}

/// An attempt at one target.
struct Attempt {
    ticket: Ticket,
    /// The time from the arrival of the request to the start of the attempt.
    delay: Millis,
    /// The number of requests at the target according to its response.
    reported: Option<f64>,
}

impl Forwarding<'_> {
    /// Tries targets until one responds without a server error or no further
    /// attempt is allowed.
    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        // Held until the request has ended.
        let trial = crashes::admit(self.state, self.request.fingerprint)?;
        let mut error_response: Option<Box<TargetResponse>> = None;
        let refusal = loop {
            if !self.state.admits(self.request.deadline) {
                break self.stopping();
            }
            let slot = match Slot::acquire(self.state, &self.request, &self.tried) {
                Ok(slot) => slot,
                Err(error) => break self.choose_refusal(error),
            };
            self.tried.push(slot.ticket().id.clone());
            self.last = Some(Attempt {
                ticket: slot.ticket().clone(),
                delay: now(self.state) - self.request.arrived,
                reported: None,
            });
            // If this is dropped before the outcome, the request may have run.
            let admission = self.request.admission.as_mut();
            let spent = admission.and_then(Admission::spend);
            let outcome = exchange(self.state, &self.request, slot).await;
            self.record_outcome(&outcome);
            if let (Some(admission), Some(spent)) = (&mut self.request.admission, spent)
                && matches!(outcome, Outcome::Rejected | Outcome::Unsent(_))
            {
                admission.restore(spent);
            }
            let broken = matches!(outcome, Outcome::Broken(_));
            if let Outcome::Broken(conn) = &outcome {
                let persistent = trial.is_some() || self.breaks.is_some();
                let struck = self.breaks.get_or_insert_default();
                crashes::record_break(self.state, &self.request, conn, persistent, struck);
            }
            let refusal = match outcome {
                Outcome::Response(response) if !response.head.status.is_server_error() => {
                    crashes::record_success(self.state, self.request.fingerprint);
                    return Ok(response::pass_through(*response));
                }
                Outcome::Response(response) => {
                    error_response = Some(response);
                    self.timed_out()
                }
                Outcome::TimedOut => break self.timed_out(),
                Outcome::Rejected => self.rejected(),
                Outcome::Unsent(cause) => self.no_target(&cause),
                Outcome::Broken(BrokenConn { cause, .. }) | Outcome::Unknown(cause) => {
                    Refusal::unknown(Code::ConnectionBroken, cause)
                }
            };
            if !self.take_retry(broken) || !self.renew_token().await {
                break refusal;
            }
        };
        // If no attempt succeeded, the caller gets the error response of a
        // target.
        error_response
            .map(|r| response::pass_through(*r))
            .ok_or(refusal)
    }

    /// Updates the progress with the outcome of an attempt and logs a failure.
    fn record_outcome(&mut self, outcome: &Outcome) {
        if let (Some(attempt), Outcome::Response(response)) = (&mut self.last, outcome) {
            attempt.reported = response.report.map(|r| r.requests());
        }
        match outcome {
            Outcome::Unsent(_) => {}
            Outcome::Rejected => self.sent_count += 1,
            Outcome::Response(_) | Outcome::Broken(_) | Outcome::Unknown(_) | Outcome::TimedOut => {
                self.sent_count += 1;
                self.maybe_run = true;
            }
        }
        let cause = match outcome {
            Outcome::Response(response) if !response.head.status.is_server_error() => return,
            Outcome::Response(response) => response.head.status.to_string(),
            Outcome::Rejected => "rejected".to_owned(),
            Outcome::TimedOut => "no response before the deadline".to_owned(),
            Outcome::Unsent(cause)
            | Outcome::Broken(BrokenConn { cause, .. })
            | Outcome::Unknown(cause) => cause.clone(),
        };
        let request = self.request.label();
        let target = self.tried.last().map_or("-", InstanceId::as_str);
        tracing::info!(request, target, cause, "gateway: attempt failed.");
    }

    /// Returns whether the quota of the workspace allows a further attempt. If the last
    /// one may have run the request, that takes a further token.
    async fn renew_token(&mut self) -> bool {
        let deadline = self.request.deadline;
        match &mut self.request.admission {
            Some(admission) => admission.renew(deadline).await,
            None => true,
        }
    }

    /// Returns whether the request may be sent to another target, and takes the
    /// retry from the budget if it is one. `broken` says whether the latest attempt broke
    /// its connection.
    fn take_retry(&mut self, broken: bool) -> bool {
        let request = &self.request;
        let at = now(self.state);
        if self.maybe_run && !request.rule.kind.is_idempotent() {
            return false;
        }
        if !request.is_resendable() || self.tried.len() >= MAX_TRIED || at >= request.deadline {
            return false;
        }
        if self.sent_count == 0 {
            // No target received the request, so this is no retry.
            return true;
        }
        if self.sent_count >= request.rule.attempts {
            return false;
        }
        if crashes::forbids_retry(self.state, request.fingerprint, broken) {
            return false;
        }
        let limits = self.state.retry_limits();
        let entries = self.state.sharer_count(at);
        let pools = &self.state.pools;
        let taken = pools.get(&request.service, |p| p.withdraw_retry(at, &limits, entries));
        taken.unwrap_or(false)
    }

    /// Returns the refusal if no target could be chosen.
    fn choose_refusal(&mut self, error: ChooseError) -> Refusal {
        self.refused = error.basis();
        let cause = error.to_string();
        match error {
            ChooseError::Withheld(withheld) => self.withheld(&cause, withheld),
            ChooseError::TooLate { expected, .. } => {
                self.without_vain_return(self.no_target(&cause), expected)
            }
            _ => self.no_target(&cause),
        }
    }

    /// Omits when to return if the caller would have given up before the response, which
    /// takes the expected time then as well.
    fn without_vain_return(&self, refusal: Refusal, expected: Millis) -> Refusal {
        let response = refusal
            .retry_after
            .map(|wait| now(self.state) + wait + expected);
        let in_vain = response.is_some_and(|at| at > self.request.caller_deadline);
        Refusal {
            retry_after: refusal.retry_after.filter(|_| !in_vain),
            ..refusal
        }
    }

    /// Returns the refusal of a request that its last target rejected. If all
    /// targets want a pause now, the caller has to wait for its end.
    fn rejected(&self) -> Refusal {
        let cause = "the target rejected the request";
        let RoutedRequest { service, table, .. } = &self.request;
        let homes = self.request.homes();
        let (withheld, has_room) = self.state.with_pool(service, table, |pool, context| {
            (pool.withheld(context, homes), pool.has_room(context))
        });
        if let Some(withheld) = withheld {
            return self.withheld(cause, withheld);
        }
        let mut refusal = self.no_target(cause);
        if has_room && refusal.retry_after.is_some() {
            refusal.retry_after = Some(REJECTED_RETRY_AFTER);
        }
        refusal
    }

    /// Returns the refusal of a request for which all targets are paused or
    /// leaving.
    fn withheld(&self, cause: &str, withheld: Withheld) -> Refusal {
        let mut refusal = self.no_target(cause);
        if refusal.retry_after.is_some() {
            let hash = xxh3_64(self.request.label().as_bytes());
            refusal.retry_after = withheld.retry_after(hash).or(refusal.retry_after);
        }
        refusal
    }

    /// Returns the refusal of a request that no target takes, which is
    /// `unknown` if an earlier attempt may have run it.
    fn no_target(&self, cause: &str) -> Refusal {
        if self.maybe_run {
            return Refusal::unknown(Code::ConnectionBroken, cause);
        }
        Refusal::not_run(Code::Overloaded, cause).retry_after(OVERLOADED_RETRY_AFTER)
    }

    /// Returns the refusal of a request for which no attempt may begin any more,
    /// because the entry is stopping.
    fn stopping(&self) -> Refusal {
        if self.maybe_run {
            return self.no_target("the entry ends before a further attempt would");
        }
        request::stopping("the entry ends before the deadline of the request")
    }

    /// Returns the refusal of a request that no target answered in time.
    fn timed_out(&self) -> Refusal {
        let tried: Vec<&str> = self.tried.iter().map(InstanceId::as_str).collect();
        let limit = if now(self.state) < self.request.deadline {
            "the entry stops"
        } else {
            "the deadline"
        };
        let detail = format!("no response from {} before {limit}", tried.join(", "));
        Refusal::unknown(Code::DeadlineExceeded, detail)
    }

    /// Logs the result of the request and adds it to the metrics.
    fn report(&mut self, result: &Result<Response<Body>, Refusal>) {
        match result {
            Ok(resp) => {
                self.log_end(resp.status().as_str(), "complete", "");
                self.count_workspace(None);
            }
            Err(e) => {
                self.log_end(e.code.as_str(), e.outcome.as_str(), &e.detail);
                self.count_workspace(Some(e.code.as_str()));
            }
        }
    }

    /// Adds the request to the metrics of its workspace, with the code of its failure.
    fn count_workspace(&self, failure: Option<&'static str>) {
        if let Some(workspace) = &self.request.workspace {
            let metrics = &self.state.ports.metrics;
            metrics.count_workspace(workspace.name.as_str(), failure);
        }
    }

    /// Logs the end of the request and adds it to the metrics.
    fn log_end(&mut self, code: &str, outcome: &'static str, cause: &str) {
        self.reported = true;
        let request = &self.request;
        let took = now(self.state) - request.arrived;
        let last = self.last.as_ref().map(|a| &a.ticket);
        let basis = last.map(|t| t.basis).or(self.refused);
        let split = basis.and_then(|b| b.split);
        let demand = split.map(|s| s.demand);
        tracing::info!(
            request = request.label(),
            caller = self.caller.map(|c| c.to_string()),
            route = request.rule.name,
            workspace = request.workspace.as_ref().map(|w| w.name.as_str()),
            rank = %request.rank,
            version = %request.table.version,
            object = request.object.map(|o| format!("{o:016x}")),
            service = %request.service,
            target = last.map_or("-", |t| t.id.as_str()),
            attempts = self.sent_count,
            load = last.map(|t| t.load),
            report_age_ms = last.and_then(|t| t.report_age).map(|a| a.0),
            reported = self.last.as_ref().and_then(|a| a.reported),
            warm = last.map(|t| t.warm),
            probe = last.map(|t| t.probe),
            far = basis.map(|b| b.remote),
            az = last.map(|t| t.az.as_str()),
            utilization = basis.map(|b| b.utilization),
            placed_far = basis.map(|b| b.placed_remote()),
            far_share = split.map(|s| s.fraction),
            lifted = split.map(|s| s.lifted),
            planned_share = demand.and_then(|d| d.planned_fraction()),
            needed_slots = demand.and_then(|d| d.needed),
            local_slots = demand.map(|d| d.available),
            local_load = demand.map(|d| d.loads.local),
            others_load = demand.map(|d| d.loads.others),
            expected_ms = last.map(|t| t.expected_duration.0),
            limit_ms = (request.deadline - request.arrived).0,
            took_ms = took.0,
            attempt_ms = self.last.as_ref().map(|a| a.delay.0),
            stopping_ms = request.stop_age.map(|a| a.0),
            code,
            outcome,
            cause,
            "gateway: request ended."
        );
        let metrics = &self.state.ports.metrics;
        metrics.count_request(
            request.service.as_str(),
            code.to_owned(),
            outcome,
            took.duration(),
        );
    }
}

impl Drop for Forwarding<'_> {
    /// Logs a request that was dropped before it had a result.
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let outcome = if self.last.is_some() {
            refusal::Outcome::Unknown
        } else {
            refusal::Outcome::NotRun
        };
        self.log_end(
            "cancelled",
            outcome.as_str(),
            "the connection closed before the response",
        );
        self.count_workspace(Some("cancelled"));
    }
}
