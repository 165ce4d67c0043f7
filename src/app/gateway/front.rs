//! Callers' requests as they come in.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use volo_http::{body::Body, server::Router};

use super::{State, answer, carry};

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
    if state.is_stopping() {
        // The caller goes to another entry before this one is gone.
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
    }
    resp
}
