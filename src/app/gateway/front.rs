//! Callers' requests as they come in.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use volo_http::{body::Body, server::Router};

use super::{State, answer, carry};
use crate::adapters::platform::headers;

/// How long callers may leave a connection idle and use it again. It is shorter
/// than [`super::IDLE`], so that no request meets the end of its connection.
const KEEP_ALIVE: HeaderValue = HeaderValue::from_static("timeout=4");

/// Returns the router of the callers' server.
pub(super) fn router(state: &Arc<State>) -> Router {
    let state = state.clone();
    let handler = move |req: Request<Body>| {
        let running = Running::new(&state);
        async move { handle(running.0.clone(), req).await }
    };
    Router::new().fallback(handler)
}

/// Counts a request for as long as it is handled.
struct Running(Arc<State>);

impl Running {
    fn new(state: &Arc<State>) -> Self {
        state.started();
        Self(state.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.ended();
    }
}

async fn handle(state: Arc<State>, req: Request<Body>) -> Response<Body> {
    let result = carry::carry(&state, req.map(BodyExt::boxed)).await;
    let mut resp = match result {
        Ok(resp) => resp.map(Body::from_body),
        Err(refusal) => answer::refuse(&refusal),
    };
    let head = resp.headers_mut();
    if state.is_stopping() {
        // The caller goes to another entry before this one is gone.
        head.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        head.insert(headers::KEEP_ALIVE, KEEP_ALIVE);
    }
    resp
}
