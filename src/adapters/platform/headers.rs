//! The headers of requests and responses.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    domain::{InstanceId, Millis},
    policy::balance::LoadReport,
};

/// The id that a caller gives to one attempt. The response must repeat it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long a caller may reuse an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How long the sender waits for the response.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Identifies the object that a request concerns.
const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// A signature of the target over its response.
const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
/// The instance of a target that may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// The load that a target reports.
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// Says that the target rejected the request without running it.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const RETRY_AFTER: HeaderName = http::header::RETRY_AFTER;

/// The headers of a caller's request that determine how it is forwarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// The request id.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the response.
    pub timeout: Option<Millis>,
    /// The affinity key, which identifies the object that the request concerns.
    pub affinity_key: Option<HeaderValue>,
}

/// Reads the head of a caller's request.
#[must_use]
pub fn read_request_head(headers: &HeaderMap) -> RequestHead {
    RequestHead {
        id: headers.get(REQUEST_ID).cloned(),
        timeout: read_number(headers, &DEADLINE_MS).map(Millis),
        affinity_key: headers.get(AFFINITY_KEY).cloned(),
    }
}

/// Returns a request id for logs, `-` if there is none.
#[must_use]
pub fn label(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Sets the headers of an attempt: the instance that may run the request and
/// the time that is left for it.
pub fn write_attempt(headers: &mut HeaderMap, id: &InstanceId, time_left: Millis) {
    headers.insert(DEADLINE_MS, HeaderValue::from(time_left.0));
    // An id is printable ASCII and thus always a valid header value.
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(EXPECT_INSTANCE, value);
    }
}

/// What the head of a target's response says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The target ran the request and this is its response.
    Answered,
    /// The target rejected the request without running it.
    Rejected,
    /// Another instance uses the address. It did not run the request.
    Misdirected,
    /// This is not a valid response to the request, for the given reason. The
    /// request may have run.
    Invalid(&'static str),
}

/// Classifies the head of a target's response to the request with the given id.
///
/// A faulty target may write a response once more on a connection that it keeps
/// open. So the id is compared first: a response says something about the
/// request, also that it was not run, only if it has the request's id.
#[must_use]
pub fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    id: Option<&HeaderValue>,
) -> ResponseKind {
    let mut ids = headers.get_all(REQUEST_ID).iter();
    match (ids.next(), id) {
        (None, Some(_)) => return ResponseKind::Invalid("the response has no request id"),
        (first, _) if first != id || ids.next().is_some() => {
            return ResponseKind::Invalid("the response belongs to another request");
        }
        _ => {}
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::Misdirected;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return ResponseKind::Rejected;
    }
    if promises_not_run(status) {
        return ResponseKind::Invalid("the target does not say that a refused request has not run");
    }
    if !headers.contains_key(SERVER_SEAL) {
        return ResponseKind::Invalid("the response has no signature of the target");
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return ResponseKind::Invalid("the body has a content encoding, which no caller asked for");
    }
    ResponseKind::Answered
}

/// Returns whether callers take a status for a promise that the request has not
/// run. A target gives that promise only with a header, so such a status without
/// the header must not be passed on.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Reads the load that a target reports: running requests, waiting requests,
/// slots and the current duration of work in percent of the usual one.
#[must_use]
pub fn read_load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut parts = text.split(',').map(|p| p.trim().parse::<u32>().ok());
    let report = LoadReport {
        running: parts.next()??,
        waiting: parts.next()??,
        slots: parts.next()??,
        slowdown_percent: parts.next().flatten().unwrap_or(100),
    };
    Some(report)
}

/// Sets the time after which a caller may retry.
pub fn write_retry_after(headers: &mut HeaderMap, time: Millis) {
    let text = format!("{}.{:03}", time.0 / 1000, time.0 % 1000);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(RETRY_AFTER, value);
    }
}

fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
