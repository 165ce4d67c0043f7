//! Responses of the administration server.

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::body::Body;

use crate::{
    adapters::{
        http::{CODE_HEADER, OUTCOME_HEADER},
        metrics,
    },
    domain::{ParseError, Revision},
    policy::admin::{AdminError, Code},
};

/// Returns the JSON form of a failure.
#[must_use]
pub fn failure_json(failure: &AdminError) -> Value {
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

/// Returns the response to a request that failed.
pub(super) fn failure(failure: &AdminError) -> Response<Body> {
    let mut resp = json(&failure_json(failure));
    *resp.status_mut() = StatusCode::from_u16(failure.code.status()).unwrap_or_default();
    let headers = resp.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from_static(failure.code.as_str()));
    let outcome = HeaderValue::from_str(&failure.outcome.to_string());
    let unknown = HeaderValue::from_static("unknown");
    headers.insert(OUTCOME_HEADER, outcome.unwrap_or(unknown));
    if let Some(found) = failure.found.filter(|f| *f != Revision::default()) {
        set_etag(&mut resp, found);
    }
    if failure.code == Code::BadToken {
        let scheme = HeaderValue::from_static("Bearer");
        resp.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(time) = failure.retry {
        // The header is in whole seconds, so the time is rounded up.
        let seconds = HeaderValue::from(time.0.div_ceil(1000));
        resp.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    resp
}

/// Returns the failure of a request with an invalid value in the path, in the query
/// or in a header.
pub(super) fn bad_request(e: &ParseError) -> AdminError {
    AdminError::new(Code::BadRequest, e.to_string())
}

pub(super) fn text(body: impl Into<String>) -> Response<Body> {
    with_type("text/plain; charset=utf-8", body.into())
}

pub(super) fn metrics(body: String) -> Response<Body> {
    with_type(metrics::CONTENT_TYPE, body)
}

pub(super) fn json(value: &impl Serialize) -> Response<Body> {
    // The keys of all values are strings, so serialization cannot fail.
    let mut body = serde_json::to_string(value).unwrap_or_default();
    body.push('\n');
    with_type("application/json", body)
}

pub(super) fn with_type(content: &'static str, body: String) -> Response<Body> {
    let mut resp = Response::new(Body::from(body));
    let content = HeaderValue::from_static(content);
    resp.headers_mut().insert(header::CONTENT_TYPE, content);
    // Revisions and states may change at any time, so a cached copy is wrong.
    let no_store = HeaderValue::from_static("no-store");
    resp.headers_mut().insert(header::CACHE_CONTROL, no_store);
    resp
}

/// Sets the entity tag to the revision.
pub(super) fn set_etag(resp: &mut Response<Body>, revision: Revision) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        resp.headers_mut().insert(header::ETAG, value);
    }
}
