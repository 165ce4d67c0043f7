//! The headers of requests and answers.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    domain::{InstanceId, Millis},
    policy::balance::LoadReport,
};

/// The id of one attempt of a caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long a connection may be idle and still be used.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The object that a request concerns.
const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// A signature of the target over its answer.
const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const RETRY_AFTER: HeaderName = http::header::RETRY_AFTER;

/// What the head of a caller's request says of how to carry it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// The id of this attempt.
    pub id: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The object that it concerns.
    pub object: Option<HeaderValue>,
}

/// Reads the head of a caller's request.
#[must_use]
pub fn read_request(headers: &HeaderMap) -> RequestHead {
    RequestHead {
        id: headers.get(REQUEST_ID).cloned(),
        deadline: number(headers, &DEADLINE_MS).map(Millis),
        object: headers.get(AFFINITY_KEY).cloned(),
    }
}

/// Addresses a request to one start of a target, with the time that is left.
pub fn write_request(headers: &mut HeaderMap, id: &InstanceId, left: Millis) {
    headers.insert(DEADLINE_MS, HeaderValue::from(left.0));
    // An id is printable ASCII, so that it always is a valid value.
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(EXPECT_INSTANCE, value);
    }
}

/// What a target's answer says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target ran the request; this is its answer.
    Answered,
    /// The target rejected the request without running it.
    Rejected,
    /// Another target has the address. The request was not run.
    Misdirected,
    /// These bytes are not the answer to the request. It may have run.
    Spoiled(&'static str),
}

/// Reads the head of a target's answer to the request with the given id.
#[must_use]
pub fn read_answer(status: StatusCode, headers: &HeaderMap, id: Option<&HeaderValue>) -> Verdict {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Verdict::Rejected;
    }
    if headers.get(REQUEST_ID) != id {
        return Verdict::Spoiled("the answer belongs to another request");
    }
    if !headers.contains_key(SERVER_SEAL) {
        return Verdict::Spoiled("the answer bears no signature of the target");
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return Verdict::Spoiled("the body is encoded, which no caller asked for");
    }
    Verdict::Answered
}

/// Reads the load that a target reports: requests running, waiting, slots, and
/// how long work takes at the moment, in percent of the usual.
#[must_use]
pub fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
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

/// Tells a caller when to come back.
pub fn write_retry(headers: &mut HeaderMap, time: Millis) {
    let text = format!("{}.{:03}", time.0 / 1000, time.0 % 1000);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(RETRY_AFTER, value);
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
