//! Watches what is sent to targets: for metrics, `explain` and drains.
//!
//! The port to targets is the one place that every request passes, so it is
//! wrapped here and the code that carries requests needs to know nothing of it.
//! A refusal reaches no target and is noted by the code that refuses.

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

/// Why a request goes to its target. It travels with the request as an
/// extension, since only the code that chose knows it.
#[derive(Clone, Debug)]
pub struct Why {
    /// The place.
    pub place: String,
    /// The rule that decided, with the figures that it saw.
    pub reason: String,
}

type Counts = Arc<Shards<TargetId, u64>>;

/// Counts the requests that run at each target and notes how they ended.
/// Clones share the counts.
#[derive(Clone, Debug)]
pub struct Observer {
    /// The latest decisions.
    pub decisions: Decisions,
    /// The metrics of the process.
    pub metrics: Metrics,
    clock: Clock,
    running: Counts,
}

impl Observer {
    /// Returns an observer that has seen nothing.
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

    /// Returns the port with every request noted and counted.
    #[must_use]
    pub fn wrap(&self, targets: Targets) -> Targets {
        let observer = self.clone();
        let send = move |out: Outbound| {
            let seen = service(&out.request).map(|s| observer.start(s, &out));
            let send = (targets.send)(out);
            Box::pin(async move {
                let result = send.await;
                match seen {
                    Some(seen) => seen.head(result),
                    None => result,
                }
            }) as crate::ports::Fut<_>
        };
        Targets {
            send: Arc::new(send),
        }
    }

    fn start(&self, service: ServiceName, out: &Outbound) -> Seen {
        let label = ServiceLabel {
            service: service.to_string(),
        };
        let gauge = self.metrics.running.get_or_create_owned(&label);
        gauge.inc();
        self.running.with(out.target, || 0, |n| *n += 1);
        Seen {
            observer: self.clone(),
            service,
            why: out.request.extensions().get::<Why>().cloned(),
            request: format!("{} {}", out.request.method(), out.request.uri().path()),
            target: out.target,
            gauge,
            wall: (self.clock.wall)(),
            start: Instant::now(),
            ended: false,
        }
    }
}

/// A request that runs. It counts until it is dropped, also if the caller goes
/// away.
struct Seen {
    observer: Observer,
    service: ServiceName,
    request: String,
    why: Option<Why>,
    target: TargetId,
    gauge: Gauge,
    wall: Millis,
    start: Instant,
    ended: bool,
}

impl Seen {
    /// Notes the head of the answer, and goes on counting until the body ends.
    fn head(
        mut self,
        result: Result<Response<Body>, SendError>,
    ) -> Result<Response<Body>, SendError> {
        match result {
            Ok(resp) => {
                self.note(resp.status().as_str(), "complete");
                Ok(resp.map(|body| {
                    let keep = move |frame| {
                        let _ = &self;
                        frame
                    };
                    body.map_frame(keep).boxed()
                }))
            }
            Err(e) => {
                match e {
                    SendError::Unsent { .. } => self.note("target-unreachable", "not-run"),
                    SendError::Unknown { .. } => self.note("connection-broken", "unknown"),
                }
                Err(e)
            }
        }
    }

    fn note(&mut self, code: &str, outcome: &'static str) {
        self.ended = true;
        let took = self.start.elapsed();
        let service = self.service.as_str();
        let metrics = &self.observer.metrics;
        metrics.count_request(service, code.to_owned(), outcome, took);
        let decision = Decision {
            wall_ms: self.wall.0,
            service: service.to_owned(),
            request: std::mem::take(&mut self.request),
            place: self.why.as_ref().map(|w| w.place.clone()),
            target: Some(self.target.to_string()),
            reason: self.why.take().map(|w| w.reason).unwrap_or_default(),
            result: format!("{code} {outcome}"),
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        };
        let decisions = self.observer.decisions.clone();
        decisions.note(self.service.clone(), decision);
    }
}

impl Drop for Seen {
    fn drop(&mut self) {
        if !self.ended {
            self.note("cancelled", "unknown");
        }
        self.gauge.dec();
        let counts = &self.observer.running;
        counts.get(&self.target, |n| *n = n.saturating_sub(1));
    }
}

fn service(request: &Request<Body>) -> Option<ServiceName> {
    let host = request.headers().get(header::HOST)?.to_str().ok()?;
    // A service name has no colon, so what follows the last one is a port.
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.parse().ok()
}
