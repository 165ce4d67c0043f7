//! Probes of targets that this entry has not heard of lately.

use std::sync::Arc;

use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::time::timeout;

use super::{beside, every};
use crate::{
    app::entry::State,
    domain::{Millis, ServiceName, TargetId},
    ports::{Body, Outbound},
};

/// How often an entry looks for targets that are due.
const PERIOD: Millis = Millis(500);

/// How long a probe may take. A round trip between regions takes 70 ms.
const TIMEOUT: Millis = Millis(1_000);

/// The path that targets answer with success while they take work.
const PATH: &str = "/health";

/// Probes targets.
pub(super) async fn run(state: Arc<State>) {
    every(PERIOD, move || {
        let now = (state.ports.clock.now)();
        let mut due: Vec<(ServiceName, TargetId)> = Vec::new();
        state.services.each(|name, s| {
            let targets = s.pool.start_probes(now).into_iter();
            due.extend(targets.map(|t| (name.clone(), t)));
        });
        for (service, target) in due {
            beside(probe(state.clone(), service, target));
        }
    })
    .await;
}

async fn probe(state: Arc<State>, service: ServiceName, target: TargetId) {
    let request = request();
    let send = (state.ports.targets.send)(Outbound::new(target, request));
    let alive = match timeout(TIMEOUT.duration(), send).await {
        Ok(Ok(resp)) => resp.status().is_success(),
        Ok(Err(_)) | Err(_) => false,
    };
    let now = (state.ports.clock.now)();
    state
        .services
        .get(&service, |s| s.pool.probe_finished(now, target, alive));
}

/// Returns the request of a probe. It names no service, so it is not counted as
/// one of a caller.
fn request() -> Request<Body> {
    let body = Empty::new().map_err(|never| match never {}).boxed();
    let mut request = Request::new(body);
    *request.uri_mut() = http::Uri::from_static(PATH);
    request
}
