//! Answers of the administration.

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::body::Body;

use crate::{
    adapters::{
        http::{CODE, OUTCOME},
        metrics,
    },
    domain::{ParseError, Revision},
    policy::admin::{AdminError, Code},
};

/// Returns a failure as the value that operators see.
#[must_use]
pub fn render(failure: &AdminError) -> Value {
    let mut value = json!({
        "code": failure.code.as_str(),
        "outcome": failure.outcome.to_string(),
        "detail": failure.detail,
        "retry_ms": failure.retry.map(|t| t.0),
    });
    if failure.code == Code::InvalidDocument {
        value["faults"] = json!(failure.faults);
    }
    if let Some(base) = failure.base {
        value["base"] = json!(base.0);
    }
    if let Some(found) = failure.found {
        value["found"] = json!(found.0);
    }
    value
}

/// Returns the answer that tells an operator of a failure.
pub(super) fn failure(failure: &AdminError) -> Response<Body> {
    let mut resp = json(&render(failure));
    *resp.status_mut() = StatusCode::from_u16(failure.code.status()).unwrap_or_default();
    let head = resp.headers_mut();
    head.insert(CODE, HeaderValue::from_static(failure.code.as_str()));
    let outcome = HeaderValue::from_str(&failure.outcome.to_string());
    let unknown = HeaderValue::from_static("unknown");
    head.insert(OUTCOME, outcome.unwrap_or(unknown));
    if let Some(found) = failure.found.filter(|f| *f != Revision::default()) {
        tag(&mut resp, found);
    }
    if failure.code == Code::BadToken {
        let scheme = HeaderValue::from_static("Bearer");
        resp.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(time) = failure.retry {
        // The header counts whole seconds, so a shorter time rounds up.
        let seconds = HeaderValue::from(time.0.div_ceil(1000));
        resp.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    resp
}

/// Returns the failure of a request whose header or query has a faulty value.
pub(super) fn bad(e: &ParseError) -> AdminError {
    AdminError::new(Code::BadRequest, e.to_string())
}

pub(super) fn text(body: impl Into<String>) -> Response<Body> {
    typed("text/plain; charset=utf-8", body.into())
}

pub(super) fn metrics(body: String) -> Response<Body> {
    typed(metrics::CONTENT_TYPE, body)
}

pub(super) fn json(value: &impl Serialize) -> Response<Body> {
    // Values here have text keys only, so they always serialize.
    let mut body = serde_json::to_string(value).unwrap_or_default();
    body.push('\n');
    typed("application/json", body)
}

pub(super) fn typed(content: &'static str, body: String) -> Response<Body> {
    let mut resp = Response::new(Body::from(body));
    let content = HeaderValue::from_static(content);
    resp.headers_mut().insert(header::CONTENT_TYPE, content);
    // Revisions and states change at any moment.
    let no_store = HeaderValue::from_static("no-store");
    resp.headers_mut().insert(header::CACHE_CONTROL, no_store);
    resp
}

/// Adds the revision as the entity tag.
pub(super) fn tag(resp: &mut Response<Body>, revision: Revision) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        resp.headers_mut().insert(header::ETAG, value);
    }
}
