//! Converts refusals to HTTP responses.

use http::{HeaderValue, Response, StatusCode, header};
use volo_http::body::Body;

use crate::policy::refusal::Refusal;

/// The response header with the stable code of the refusal.
pub const CODE_HEADER: &str = "x-savorybeam-code";

/// The response header that says whether the request may have run.
pub const OUTCOME_HEADER: &str = "x-savorybeam-outcome";

/// Returns the response that reports a refusal to the caller.
#[must_use]
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let body = serde_json::json!({
        "code": refusal.code.as_str(),
        "outcome": refusal.outcome.to_string(),
        "detail": refusal.detail,
        "retry_ms": refusal.retry_after.map(|t| t.0),
    });
    let mut resp = Response::new(Body::from(body.to_string()));
    *resp.status_mut() = StatusCode::from_u16(refusal.code.status()).unwrap_or_default();
    let headers = resp.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(CODE_HEADER, HeaderValue::from_static(refusal.code.as_str()));
    let outcome = HeaderValue::from_str(&refusal.outcome.to_string());
    headers.insert(
        OUTCOME_HEADER,
        outcome.unwrap_or(HeaderValue::from_static("unknown")),
    );
    if let Some(delay) = refusal.retry_after {
        // Retry-After is in whole seconds, rounded up so that the caller does
        // not retry early.
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(delay.0.div_ceil(1000)),
        );
    }
    resp
}
