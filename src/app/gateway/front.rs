//! Accepts callers' requests.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use volo::net::Address;
use volo_http::{body::Body, server::Router};

use super::{State, forward, response};
use crate::adapters::{http::peer_ip, platform::headers};

/// How long callers may reuse an idle connection. It is shorter than
/// [`super::IDLE_TIMEOUT`], so that a caller does not send a request on a
/// connection that is being closed.
const KEEP_ALIVE: HeaderValue = HeaderValue::from_static("timeout=4");

/// Returns the router of the server for callers.
pub(super) fn router(state: &Arc<State>) -> Router {
    let state = state.clone();
    let handler = move |peer: Address, req: Request<Body>| {
        let running = RunningGuard::new(&state);
        async move { handle(running.0.clone(), &peer, req).await }
    };
    Router::new().fallback(handler)
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<State>);

impl RunningGuard {
    fn new(state: &Arc<State>) -> Self {
        state.request_started();
        Self(state.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

async fn handle(state: Arc<State>, peer: &Address, req: Request<Body>) -> Response<Body> {
    let caller = peer_ip(peer);
    let result = forward::forward(&state, caller, req.map(BodyExt::boxed)).await;
    let mut resp = match result {
        Ok(resp) => resp.map(Body::from_body),
        Err(refusal) => response::refusal_response(&refusal),
    };
    let head = resp.headers_mut();
    if state.is_stopping() {
        // Makes the caller connect to another entry before this one has
        // stopped.
        head.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        head.insert(headers::KEEP_ALIVE, KEEP_ALIVE);
    }
    resp
}
