//! The headers of requests and responses.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    adapters::http::CallerHeaders,
    domain::{InstanceId, Millis},
    policy::balance::{LoadReport, PauseRequest, TargetNotice},
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
/// The key of a caller and the name of its workspace.
pub const CALLER: CallerHeaders = CallerHeaders {
    key: HeaderName::from_static("key"),
    workspace: HeaderName::from_static("tenant"),
};
/// The load that a target reports.
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// Says that the target rejected the request without running it.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const RETRY_AFTER: HeaderName = http::header::RETRY_AFTER;
/// Says that the target is about to stop.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// The longest pause that a target can request. A longer one could only come
/// from a fault, and would withhold the target until it restarts.
const PAUSE_MAX: Millis = Millis(3_600_000);

/// The length up to which an unreadable value is kept for the log.
const LOGGED_VALUE_MAX: usize = 40;

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
    if let Err(cause) = check_request_id(headers, id) {
        return ResponseKind::Invalid(cause);
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

/// Checks that a response belongs to the request with the given id, and returns
/// why not.
fn check_request_id(headers: &HeaderMap, id: Option<&HeaderValue>) -> Result<(), &'static str> {
    let mut ids = headers.get_all(REQUEST_ID).iter();
    match (ids.next(), id) {
        (None, Some(_)) => Err("the response has no request id"),
        (first, _) if first != id || ids.next().is_some() => {
            Err("the response belongs to another request")
        }
        _ => Ok(()),
    }
}

/// Reads what a target says about itself with its response to the request with
/// the given id. A response that belongs to another request says nothing, nor
/// does 421, which comes from another instance than the one that was asked.
///
/// The target is leaving if `Server-Leaving` is `1`. It requests a pause with
/// `Retry-After` on 503:
///
/// * Seconds with an optional fraction, rounded up to milliseconds. Zero is no
///   pause, and more than an hour counts as an hour.
/// * A sign, an exponent, a date (RFC 9110), a list or anything else is
///   unreadable. No declared library parses dates, and clocks of VMs may differ.
/// * If the header is repeated, the longest pause counts. It is unreadable only
///   if no value can be read.
#[must_use]
pub fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
    id: Option<&HeaderValue>,
) -> TargetNotice {
    if check_request_id(headers, id).is_err() || status == StatusCode::MISDIRECTED_REQUEST {
        return TargetNotice::default();
    }
    let mut marks = headers.get_all(SERVER_LEAVING).iter();
    TargetNotice {
        leaving: marks.any(|v| v.as_bytes().trim_ascii() == b"1"),
        pause: if status == StatusCode::SERVICE_UNAVAILABLE {
            read_pause(headers)
        } else {
            PauseRequest::None
        },
    }
}

fn read_pause(headers: &HeaderMap) -> PauseRequest {
    let values = || headers.get_all(RETRY_AFTER).iter();
    let readable = values().filter_map(|v| read_seconds(v.as_bytes().trim_ascii()));
    match (readable.max(), values().next()) {
        (Some(pause), _) => PauseRequest::For(pause.min(PAUSE_MAX)),
        (None, None) => PauseRequest::None,
        (None, Some(first)) => {
            let bytes = first.as_bytes();
            let bytes = &bytes[..bytes.len().min(LOGGED_VALUE_MAX)];
            PauseRequest::Unreadable(bytes.escape_ascii().to_string())
        }
    }
}

/// Reads a decimal number of seconds, rounded up to milliseconds. A number that
/// exceeds the range is read as the largest one.
fn read_seconds(text: &[u8]) -> Option<Millis> {
    let mut parts = text.splitn(2, |b| *b == b'.');
    let (whole, fraction) = (parts.next()?, parts.next());
    let is_number = |digits: &[u8]| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    if !is_number(whole) || !fraction.is_none_or(is_number) {
        return None;
    }
    let append = |number: u64, digit: u8| {
        let shifted = number.saturating_mul(10);
        shifted.saturating_add(u64::from(digit - b'0'))
    };
    let seconds = whole.iter().copied().fold(0, append);
    let fraction = fraction.unwrap_or_default();
    let (head, tail) = fraction.split_at(fraction.len().min(3));
    let padded = head.iter().copied().chain(std::iter::repeat(b'0')).take(3);
    let remainder = u64::from(tail.iter().any(|b| *b != b'0'));
    let millis = padded.fold(0, append) + remainder;
    Some(Millis(seconds.saturating_mul(1_000).saturating_add(millis)))
}

/// Reads the load that a target reports with a response: running requests, waiting
/// requests, slots and the current duration of work in percent of the usual one.
/// The target counts an answered request among the running ones until the answer
/// is sent; it has left when the report is used.
#[must_use]
pub fn read_load_report(headers: &HeaderMap, kind: ResponseKind) -> Option<LoadReport> {
    let text = headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut parts = text.split(',').map(|p| p.trim().parse::<u32>().ok());
    let answered = u32::from(kind == ResponseKind::Answered);
    let report = LoadReport {
        running: parts.next()??.saturating_sub(answered),
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
