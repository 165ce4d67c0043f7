//! Observes the requests to targets, for metrics, `explain` and drains.
//!
//! Every request passes the port to targets. It is wrapped here, so the code
//! that carries requests does not depend on the observation. A refused request
//! reaches no target and is counted by the code that refuses it.

use std::{sync::Arc, time::Instant};

use http::{Request, Response, header};
use http_body_util::BodyExt;
use prometheus_client::metrics::gauge::Gauge;

use super::decisions::Decisions;
use crate::{
    adapters::metrics::{Metrics, ServiceLabel},
    domain::{Millis, ServiceName, Shards, TargetId},
    ports::{Body, Clock, Outbound, SendError, Targets, admin::Decision},
};

/// The reason why a request is sent to its target. It is an extension of the
/// request, because only the code that chose the target knows it.
#[derive(Clone, Debug)]
pub struct DispatchReason {
    /// The place of the target.
    pub place: String,
    /// The kind of attempt, the lane, and the state of the target.
    pub reason: String,
}

type RunningCounts = Arc<Shards<TargetId, u64>>;

/// Counts the requests that run at each target and records how they ended.
/// Clones share the counts.
#[derive(Clone, Debug)]
pub struct Observer {
    /// The latest decisions.
    pub decisions: Decisions,
    /// The metrics of the process.
    pub metrics: Metrics,
    clock: Clock,
    running: RunningCounts,
}

impl Observer {
    /// Returns an observer without any records.
    #[must_use]
    pub fn new(clock: Clock, metrics: Metrics) -> Self {
        Self {
            decisions: Decisions::default(),
            metrics,
            clock,
            running: Arc::default(),
        }
    }

    /// Returns how many requests run at a target through this entry.
    #[must_use]
    pub fn running(&self, target: TargetId) -> u64 {
        self.running.get(&target, |n| *n).unwrap_or(0)
    }

    /// Wraps the port so that every request is counted and recorded.
    #[must_use]
    pub fn wrap(&self, targets: Targets) -> Targets {
        let observer = self.clone();
        let send = move |out: Outbound| {
            let active = service(&out.request).map(|s| observer.start(s, &out));
            let send = (targets.send)(out);
            Box::pin(async move {
                let result = send.await;
                match active {
                    Some(active) => active.on_head(result),
                    None => result,
                }
            }) as crate::ports::Fut<_>
        };
        Targets {
            send: Arc::new(send),
        }
    }

    /// Counts a request as running. It counts until the returned value is
    /// dropped.
    fn start(&self, service: ServiceName, out: &Outbound) -> ActiveRequest {
        let label = ServiceLabel {
            service: service.to_string(),
        };
        let gauge = self.metrics.running.get_or_create_owned(&label);
        gauge.inc();
        self.running.with(out.target, || 0, |n| *n += 1);
        ActiveRequest {
            observer: self.clone(),
            service,
            dispatch_reason: out.request.extensions().get::<DispatchReason>().cloned(),
            request: format!("{} {}", out.request.method(), out.request.uri().path()),
            target: out.target,
            gauge,
            wall: (self.clock.wall)(),
            start: Instant::now(),
            recorded: false,
        }
    }
}

/// A running request. It counts as running until it is dropped, also if the
/// caller disconnects.
struct ActiveRequest {
    observer: Observer,
    service: ServiceName,
    request: String,
    dispatch_reason: Option<DispatchReason>,
    target: TargetId,
    gauge: Gauge,
    wall: Millis,
    start: Instant,
    recorded: bool,
}

impl ActiveRequest {
    /// Records the head of the answer. The request counts as running until the
    /// body ends.
    fn on_head(
        mut self,
        result: Result<Response<Body>, SendError>,
    ) -> Result<Response<Body>, SendError> {
        match result {
            Ok(resp) => {
                self.record(resp.status().as_str(), "complete");
                Ok(resp.map(|body| {
                    // The closure owns `self`, so the request counts until the
                    // body is dropped.
                    let keep_counting = move |frame| {
                        let _ = &self;
                        frame
                    };
                    body.map_frame(keep_counting).boxed()
                }))
            }
            Err(e) => {
                match e {
                    SendError::Unsent { .. } => self.record("target-unreachable", "not-run"),
                    SendError::Unknown { .. } => self.record("connection-broken", "unknown"),
                }
                Err(e)
            }
        }
    }

    /// Records the outcome in the metrics and as a decision.
    fn record(&mut self, code: &str, outcome: &'static str) {
        self.recorded = true;
        let took = self.start.elapsed();
        let service = self.service.as_str();
        let metrics = &self.observer.metrics;
        metrics.count_request(service, code.to_owned(), outcome, took);
        let decision = Decision {
            wall_ms: self.wall.0,
            service: service.to_owned(),
            request: std::mem::take(&mut self.request),
            place: self.dispatch_reason.as_ref().map(|r| r.place.clone()),
            target: Some(self.target.to_string()),
            reason: self
                .dispatch_reason
                .take()
                .map(|r| r.reason)
                .unwrap_or_default(),
            result: format!("{code} {outcome}"),
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        };
        let decisions = self.observer.decisions.clone();
        decisions.record(self.service.clone(), decision);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.recorded {
            self.record("cancelled", "unknown");
        }
        self.gauge.dec();
        let counts = &self.observer.running;
        counts.get(&self.target, |n| *n = n.saturating_sub(1));
    }
}

/// Returns the service that the Host header names.
fn service(request: &Request<Body>) -> Option<ServiceName> {
    let host = request.headers().get(header::HOST)?.to_str().ok()?;
    // A service name contains no colon, so the text after the last colon is the
    // port.
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.parse().ok()
}
