//! Health probes of targets from which this entry has no recent response.

use std::sync::Arc;

use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::time::timeout;

use super::{run_every, spawn_call};
use crate::{
    app::entry::State,
    domain::{Millis, ServiceName, TargetId},
    ports::{Body, Outbound},
};

/// How often an entry checks which targets are due for a probe.
const CHECK_PERIOD: Millis = Millis(500);

/// The timeout of a probe. A round trip between regions takes 70 ms.
const PROBE_TIMEOUT: Millis = Millis(1_000);

/// The path of the health check. A target answers it with success while it
/// accepts work.
const PROBE_PATH: &str = "/health";

/// Sends the probes that are due.
pub(super) async fn run(state: Arc<State>) {
    run_every(CHECK_PERIOD, move || {
        let now = (state.ports.clock.now)();
        let mut due: Vec<(ServiceName, TargetId)> = Vec::new();
        state.services.each(|name, s| {
            let targets = s.pool.start_probes(now).into_iter();
            due.extend(targets.map(|t| (name.clone(), t)));
        });
        for (service, target) in due {
            spawn_call(probe(state.clone(), service, target));
        }
    })
    .await;
}

async fn probe(state: Arc<State>, service: ServiceName, target: TargetId) {
    let request = probe_request();
    let send = (state.ports.targets.send)(Outbound::new(target, request));
    let alive = match timeout(PROBE_TIMEOUT.duration(), send).await {
        Ok(Ok(resp)) => resp.status().is_success(),
        Ok(Err(_)) | Err(_) => false,
    };
    let now = (state.ports.clock.now)();
    state
        .services
        .get(&service, |s| s.pool.probe_finished(now, target, alive));
}

/// Returns the request of a probe. It names no service, so it is not counted as a
/// caller's request.
fn probe_request() -> Request<Body> {
    let body = Empty::new().map_err(|never| match never {}).boxed();
    let mut request = Request::new(body);
    *request.uri_mut() = http::Uri::from_static(PROBE_PATH);
    request
}
