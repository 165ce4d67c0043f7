//! Builds the responses to callers.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures::task::AtomicWaker;
use http::{Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::task::JoinHandle;
use volo_http::body::Body as FrontBody;

use super::{exchange::TargetResponse, slot::Slot};
use crate::{
    adapters::{
        http::{self as web, Content, full_body, strip_hop_by_hop},
        platform::headers,
    },
    domain::{Millis, lock},
    policy::{
        balance::{Ending, LoadReport},
        refusal::{Code, Refusal},
    },
    ports::Body,
};

/// Returns the response that reports a refusal to a caller.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<FrontBody> {
    let mut resp = web::refusal_response(refusal);
    if refusal.code == Code::RequestBlocked {
        // A status that promises the platform's callers that the request has not run. With
        // the 403 of the own interface they would take a proper request for a forbidden one.
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    if let Some(time) = refusal.retry_after {
        headers::write_retry_after(resp.headers_mut(), time);
    }
    resp
}

/// Returns a target's response for the caller.
pub(super) fn pass_through(response: TargetResponse) -> Response<Body> {
    let TargetResponse {
        mut head,
        content,
        mut slot,
        time_left,
        request,
        report,
    } = response;
    strip_hop_by_hop(&mut head.headers);
    let ending = if head.status.is_server_error() {
        Ending::ErrorResponse
    } else {
        Ending::Answered
    };
    if let Some(size) = content.size() {
        slot.record_size(size);
    }
    let body = match content {
        Content::Whole(bytes) => {
            slot.finish(ending, report);
            full_body(bytes)
        }
        mut content @ Content::Stream(_) => {
            let Some(body) = content.take_body() else {
                // Not reached: content that was just read has not been sent.
                return Response::from_parts(head, full_body(Bytes::new()));
            };
            let stream = Stream {
                body,
                slot,
                ending,
                report,
                request,
            };
            TrackedBody::spawn(stream, time_left).boxed()
        }
    };
    Response::from_parts(head, body)
}

/// A body that is being passed on, with the slot that it holds.
struct Stream {
    body: Body,
    slot: Slot,
    ending: Ending,
    report: Option<LoadReport>,
    /// The id of the request, for logs.
    request: String,
}

impl Stream {
    /// Logs that the caller did not get the whole body.
    fn log_cut(&self, cause: &str) {
        let (request, target) = (&self.request, &self.slot.ticket().id);
        tracing::info!(request, %target, cause, "gateway: response not delivered whole.");
    }
}

/// A stream that ends at its cutoff also if nobody polls it, for example because
/// the caller does not read. The slot's service shard may be locked under `stream`.
struct SharedStream {
    /// None once the stream has ended or was broken off.
    stream: Mutex<Option<Stream>>,
    waker: AtomicWaker,
}

impl SharedStream {
    fn lock(&self) -> MutexGuard<'_, Option<Stream>> {
        lock(&self.stream)
    }

    /// Waits until the cutoff. Then releases the slot and closes the connection to
    /// the target.
    async fn break_off(self: Arc<Self>, time_left: Millis) {
        tokio::time::sleep(time_left.duration()).await;
        let Some(stream) = self.lock().take() else {
            return;
        };
        stream.log_cut("broken off after the deadline");
        self.waker.wake();
    }
}

/// The body of a response, which holds its slot while it streams.
struct TrackedBody {
    shared: Arc<SharedStream>,
    cutoff: JoinHandle<()>,
    ended: bool,
}

impl TrackedBody {
    fn spawn(stream: Stream, time_left: Millis) -> Self {
        let shared = Arc::new(SharedStream {
            stream: Mutex::new(Some(stream)),
            waker: AtomicWaker::new(),
        });
        Self {
            cutoff: tokio::spawn(shared.clone().break_off(time_left)),
            shared,
            ended: false,
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.cutoff.abort();
        let stream = self.shared.lock().take();
        if let Some(stream) = stream.filter(|_| !self.ended) {
            stream.log_cut("the connection closed before its end");
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.shared.waker.register(cx.waker());
        let mut guard = self.shared.lock();
        let Some(stream) = guard.as_mut() else {
            drop(guard);
            self.ended = true;
            // An error, so that the response does not look complete.
            return Poll::Ready(Some(Err("broken off after the deadline".into())));
        };
        let frame = ready!(Pin::new(&mut stream.body).poll_frame(cx));
        let (ending, report) = (stream.ending, stream.report);
        match &frame {
            Some(Err(e)) => {
                stream.log_cut(&format!("read response: {e}"));
                stream.slot.finish(Ending::Broken, None);
            }
            None => stream.slot.finish(ending, report),
            // The server may drop a body of known length after the last frame,
            // without polling for its end.
            Some(Ok(_)) if stream.body.is_end_stream() => stream.slot.finish(ending, report),
            Some(Ok(_)) => return Poll::Ready(frame),
        }
        drop(guard);
        self.ended = true;
        self.cutoff.abort();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let is_end = |s: &Stream| s.body.is_end_stream();
        self.ended || self.shared.lock().as_ref().is_some_and(is_end)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = |s: &Stream| s.body.size_hint();
        self.shared.lock().as_ref().map(hint).unwrap_or_default()
    }
}
