//! A sample target, which `dev` runs inside its process and tests run as a
//! separate process (`examples/target_standin`).

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use volo_http::{body::Body, server::Router};

use crate::{
    adapters::http::{self as web, BindError, Limits, Server},
    domain::lock,
};

/// The behaviour of the target, which `/control` sets. Its `Debug` form is the
/// body of the response.
#[derive(Debug, Default)]
struct Control {
    /// The number of concurrent requests above which requests are shed.
    slots: AtomicU32,
    /// The delay of every request, in milliseconds.
    slow: AtomicU64,
    /// Whether every request is shed.
    shed: AtomicBool,
    /// Whether health checks fail.
    drain: AtomicBool,
    /// Whether requests get no response until this is cleared.
    silent: AtomicBool,
}

#[derive(Debug)]
struct SampleTarget {
    name: HeaderValue,
    control: Control,
    running: AtomicU32,
    /// The highest number of concurrent requests. It includes requests that were
    /// shed, because a sender that respects the slots causes none.
    peak: AtomicU32,
    /// How often a request with each idempotency key or call id was executed.
    runs: Mutex<HashMap<String, u64>>,
    /// The `x-deadline-ms` header of each call, by call id.
    deadlines: Mutex<HashMap<String, String>>,
    crash: fn(),
}

/// Starts a sample target.
///
/// `crash` is called for requests to `/crash` and `/control?crash`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(
    addr: SocketAddr,
    name: &str,
    slots: u32,
    crash: fn(),
) -> Result<Server, BindError> {
    let target = Arc::new(SampleTarget {
        name: HeaderValue::from_str(name).unwrap_or(HeaderValue::from_static("target")),
        control: Control {
            slots: AtomicU32::new(slots),
            ..Control::default()
        },
        running: AtomicU32::new(0),
        peak: AtomicU32::new(0),
        runs: Mutex::default(),
        deadlines: Mutex::default(),
        crash,
    });
    let handler = move |req: Request<Body>| {
        let target = target.clone();
        async move {
            let mut resp = handle(&target, req).await;
            resp.headers_mut().insert("x-target", target.name.clone());
            resp
        }
    };
    web::bind(addr, Limits::default(), Router::new().fallback(handler)).await
}

/// Decrements the count of running requests on drop, so that a request whose
/// caller disconnects is counted correctly.
struct RunningGuard(Arc<SampleTarget>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(target: &Arc<SampleTarget>, req: Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let mut segments = path.trim_matches('/').splitn(2, '/');
    let (first, rest) = (
        segments.next().unwrap_or_default(),
        segments.next().unwrap_or_default(),
    );
    match first {
        "control" => return control(target, req.uri().query().unwrap_or_default()),
        "health" => return health(target),
        "load" => return load(target),
        "peak" => return text_response(target.peak.load(Ordering::Relaxed).to_string()),
        "runs" => return text_response(target.runs(rest).to_string()),
        "deadline" => return text_response(target.deadline(rest)),
        _ => {}
    }
    let running = target.running.fetch_add(1, Ordering::Relaxed) + 1;
    let guard = RunningGuard(target.clone());
    target.peak.fetch_max(running, Ordering::Relaxed);
    if target.control.shed.load(Ordering::Relaxed)
        || running > target.control.slots.load(Ordering::Relaxed)
    {
        return shed_response();
    }
    target.count(&req);
    if first == "crash" {
        (target.crash)();
    }
    while target.control.silent.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A sleep of zero would still last until the next millisecond.
    let slow = target.control.slow.load(Ordering::Relaxed);
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    let number = rest.parse().unwrap_or(0);
    match first {
        "bytes" => bytes_response(number, guard),
        "delay" => {
            tokio::time::sleep(Duration::from_millis(number)).await;
            text_response(format!("waited {number} ms\n"))
        }
        // The body is streamed back, so it can be larger than the memory.
        "echo" => Response::new(req.into_body()),
        _ => status(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

impl SampleTarget {
    /// Counts a POST request by its idempotency key and any request by its call
    /// id, and stores the deadline of the call.
    fn count(&self, req: &Request<Body>) {
        let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        let key = header("idempotency-key").filter(|_| *req.method() == http::Method::POST);
        let call = header("x-call-id");
        let mut runs = lock(&self.runs);
        for name in key.into_iter().chain(call) {
            *runs.entry(name.to_owned()).or_default() += 1;
        }
        drop(runs);
        if let (Some(call), Some(left)) = (call, header("x-deadline-ms")) {
            let mut deadlines = lock(&self.deadlines);
            deadlines.insert(call.to_owned(), left.to_owned());
        }
    }

    /// Returns the deadline of a call in milliseconds, or an empty text if it had
    /// none.
    fn deadline(&self, call: &str) -> String {
        let deadlines = lock(&self.deadlines);
        deadlines.get(call).cloned().unwrap_or_default()
    }

    /// Returns how often a request with this idempotency key or call id was
    /// executed.
    fn runs(&self, key: &str) -> u64 {
        let runs = lock(&self.runs);
        runs.get(key).copied().unwrap_or(0)
    }
}

fn control(target: &SampleTarget, query: &str) -> Response<Body> {
    let c = &target.control;
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, "1"));
        let n: u32 = value.parse().unwrap_or(0);
        match key {
            "slots" => c.slots.store(n, Ordering::Relaxed),
            "slow" => c.slow.store(n.into(), Ordering::Relaxed),
            "shed" => c.shed.store(n > 0, Ordering::Relaxed),
            "drain" => c.drain.store(n > 0, Ordering::Relaxed),
            "silence" => c.silent.store(n > 0, Ordering::Relaxed),
            "peak" => target.peak.store(n, Ordering::Relaxed),
            "crash" if n > 0 => (target.crash)(),
            _ => {
                return status(
                    StatusCode::BAD_REQUEST,
                    "known keys are slots, slow, shed, drain, silence, peak, crash\n",
                );
            }
        }
    }
    text_response(format!("{c:?}\n"))
}

fn health(target: &SampleTarget) -> Response<Body> {
    if target.control.drain.load(Ordering::Relaxed) {
        return status(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    text_response("healthy\n".to_owned())
}

fn load(target: &SampleTarget) -> Response<Body> {
    text_response(target.running.load(Ordering::Relaxed).to_string())
}

fn shed_response() -> Response<Body> {
    let mut resp = status(StatusCode::SERVICE_UNAVAILABLE, "shedding load\n");
    resp.headers_mut()
        .insert("retry-after", HeaderValue::from_static("1"));
    resp
}

fn text_response(body: String) -> Response<Body> {
    Response::new(Body::from(body))
}

fn status(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut resp = text_response(body.to_owned());
    *resp.status_mut() = status;
    resp
}

/// Returns a response of `n` bytes in chunks of at most 16 KiB. The request counts
/// as running until the body is sent, so the body holds the guard.
fn bytes_response(n: u64, guard: RunningGuard) -> Response<Body> {
    const CHUNK_BYTES: u64 = 16 * 1024;
    let state = (n, guard);
    let frames = futures::stream::unfold(state, |(left, guard)| async move {
        let len = usize::try_from(left.min(CHUNK_BYTES)).unwrap_or_default();
        let frame = Frame::data(Bytes::from(vec![b'x'; len]));
        (len > 0).then(|| (Ok(frame), (left - len as u64, guard)))
    });
    let mut resp = Response::new(Body::from_stream(frames));
    resp.headers_mut()
        .insert("content-length", HeaderValue::from(n));
    resp
}
