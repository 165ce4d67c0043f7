//! Refusals as HTTP answers.

use http::{HeaderValue, Response, StatusCode, header};
use volo_http::body::Body;

use crate::policy::refusal::Refusal;

/// The header with the stable code.
pub const CODE: &str = "x-savorybeam-code";

/// The header that says whether the request may have run.
pub const OUTCOME: &str = "x-savorybeam-outcome";

/// Returns the answer that tells a caller of a refusal.
#[must_use]
pub fn answer(refusal: &Refusal) -> Response<Body> {
    let text = serde_json::json!({
        "code": refusal.code.as_str(),
        "outcome": refusal.outcome.to_string(),
        "detail": refusal.detail,
        "retry_ms": refusal.retry_after.map(|t| t.0),
    });
    let mut resp = Response::new(Body::from(text.to_string()));
    *resp.status_mut() = StatusCode::from_u16(refusal.code.status()).unwrap_or_default();
    let head = resp.headers_mut();
    head.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    head.insert(CODE, HeaderValue::from_static(refusal.code.as_str()));
    let outcome = HeaderValue::from_str(&refusal.outcome.to_string());
    head.insert(
        OUTCOME,
        outcome.unwrap_or(HeaderValue::from_static("unknown")),
    );
    if let Some(time) = refusal.retry_after {
        // The header counts whole seconds, so a shorter time rounds up.
        head.insert(
            header::RETRY_AFTER,
            HeaderValue::from(time.0.div_ceil(1000)),
        );
    }
    resp
}
