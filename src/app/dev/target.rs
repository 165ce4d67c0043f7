//! A sample target, which `dev` runs in process and tests run as a process of
//! its own (`examples/target_standin`).

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use volo_http::{body::Body, server::Router};

use crate::adapters::http::{self as web, BindError, Limits, Server};

/// What `/control` sets.
#[derive(Debug, Default)]
struct Control {
    slots: AtomicU32,
    slow: AtomicU64,
    shed: AtomicBool,
    drain: AtomicBool,
    silent: AtomicBool,
}

#[derive(Debug)]
struct Sample {
    name: HeaderValue,
    control: Control,
    running: AtomicU32,
    /// The most requests that were here at the same time, the ones that were
    /// shed included, since a sender that keeps to the slots causes none.
    peak: AtomicU32,
    runs: Mutex<HashMap<String, u64>>,
    /// The deadline that came with each call that has an id.
    deadlines: Mutex<HashMap<String, String>>,
    crash: fn(),
}

/// Starts a sample target.
///
/// `crash` is what a request to `/crash` does to the process.
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
    let sample = Arc::new(Sample {
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
        let sample = sample.clone();
        async move {
            let mut resp = handle(&sample, req).await;
            resp.headers_mut().insert("x-target", sample.name.clone());
            resp
        }
    };
    web::bind(addr, Limits::default(), Router::new().fallback(handler)).await
}

/// Counts a request while it runs, also if its caller goes away.
struct Guard(Arc<Sample>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(sample: &Arc<Sample>, req: Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let mut parts = path.trim_matches('/').splitn(2, '/');
    let (first, rest) = (
        parts.next().unwrap_or_default(),
        parts.next().unwrap_or_default(),
    );
    match first {
        "control" => return control(sample, req.uri().query().unwrap_or_default()),
        "health" => return health(sample),
        "load" => return load(sample),
        "peak" => return text(sample.peak.load(Ordering::Relaxed).to_string()),
        "runs" => return text(sample.runs(rest).to_string()),
        "deadline" => return text(sample.deadline(rest)),
        _ => {}
    }
    let running = sample.running.fetch_add(1, Ordering::Relaxed) + 1;
    let guard = Guard(sample.clone());
    sample.peak.fetch_max(running, Ordering::Relaxed);
    if sample.control.shed.load(Ordering::Relaxed)
        || running > sample.control.slots.load(Ordering::Relaxed)
    {
        return shed();
    }
    sample.count(&req);
    if first == "crash" {
        (sample.crash)();
    }
    while sample.control.silent.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Even a sleep of no time lasts until the next millisecond.
    let slow = sample.control.slow.load(Ordering::Relaxed);
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    let number = rest.parse().unwrap_or(0);
    match first {
        "bytes" => stream(number, guard),
        "delay" => {
            tokio::time::sleep(Duration::from_millis(number)).await;
            text(format!("waited {number} ms\n"))
        }
        // The body streams back, so the answer can be larger than the memory.
        "echo" => Response::new(req.into_body()),
        _ => status(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

impl Sample {
    /// Counts a POST under its key, and any request under the id of its call.
    fn count(&self, req: &Request<Body>) {
        let text = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        let key = text("idempotency-key").filter(|_| *req.method() == http::Method::POST);
        let call = text("x-call-id");
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for name in key.into_iter().chain(call) {
            *runs.entry(name.to_owned()).or_default() += 1;
        }
        drop(runs);
        if let (Some(call), Some(left)) = (call, text("x-deadline-ms")) {
            let deadlines = self.deadlines.lock();
            let mut deadlines = deadlines.unwrap_or_else(PoisonError::into_inner);
            deadlines.insert(call.to_owned(), left.to_owned());
        }
    }

    /// Returns the deadline that came with a call, empty if none did.
    fn deadline(&self, call: &str) -> String {
        let deadlines = self.deadlines.lock();
        let deadlines = deadlines.unwrap_or_else(PoisonError::into_inner);
        deadlines.get(call).cloned().unwrap_or_default()
    }

    fn runs(&self, key: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or(0)
    }
}

fn control(sample: &Sample, query: &str) -> Response<Body> {
    let c = &sample.control;
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, "1"));
        let n: u32 = value.parse().unwrap_or(0);
        match key {
            "slots" => c.slots.store(n, Ordering::Relaxed),
            "slow" => c.slow.store(n.into(), Ordering::Relaxed),
            "shed" => c.shed.store(n > 0, Ordering::Relaxed),
            "drain" => c.drain.store(n > 0, Ordering::Relaxed),
            "silence" => c.silent.store(n > 0, Ordering::Relaxed),
            "peak" => sample.peak.store(n, Ordering::Relaxed),
            "crash" if n > 0 => (sample.crash)(),
            _ => {
                return status(
                    StatusCode::BAD_REQUEST,
                    "known are slots, slow, shed, drain, silence, peak, crash\n",
                );
            }
        }
    }
    text(format!("{c:?}\n"))
}

fn health(sample: &Sample) -> Response<Body> {
    if sample.control.drain.load(Ordering::Relaxed) {
        return status(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    text("healthy\n".to_owned())
}

fn load(sample: &Sample) -> Response<Body> {
    text(sample.running.load(Ordering::Relaxed).to_string())
}

fn shed() -> Response<Body> {
    let mut resp = status(StatusCode::SERVICE_UNAVAILABLE, "shedding load\n");
    resp.headers_mut()
        .insert("retry-after", HeaderValue::from_static("1"));
    resp
}

fn text(body: String) -> Response<Body> {
    Response::new(Body::from(body))
}

fn status(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut resp = text(body.to_owned());
    *resp.status_mut() = status;
    resp
}

/// Returns `n` bytes in chunks of at most 16 KiB. The guard goes with the body.
fn stream(n: u64, guard: Guard) -> Response<Body> {
    const CHUNK: u64 = 16 * 1024;
    let state = (n, guard);
    let frames = futures::stream::unfold(state, |(left, guard)| async move {
        let len = usize::try_from(left.min(CHUNK)).unwrap_or_default();
        let frame = Frame::data(Bytes::from(vec![b'x'; len]));
        (len > 0).then(|| (Ok(frame), (left - len as u64, guard)))
    });
    let mut resp = Response::new(Body::from_stream(frames));
    resp.headers_mut()
        .insert("content-length", HeaderValue::from(n));
    resp
}
