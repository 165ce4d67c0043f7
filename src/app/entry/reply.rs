//! Forwards the answer of a target to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use http::{Response, response::Parts};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep};

use super::{claims::WonClaim, pacing::Pacer, slot::Slot};
use crate::{
    adapters::http::strip_hop_by_hop,
    domain::Millis,
    policy::{once::Answer, target::Completion},
    ports::Body,
};

/// Forwards an answer. The slot is held until the last byte has been read,
/// because the target is busy until then.
pub(super) fn forward(
    resp: Response<Body>,
    slot: Slot,
    claim: Option<WonClaim>,
    pacer: Option<Pacer>,
) -> Response<Body> {
    let (mut parts, body) = resp.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let recorder = claim.map(|claim| AnswerRecorder {
        claim,
        head: parts.clone(),
        body: Some(BytesMut::new()),
    });
    let tracked_body = TrackedBody {
        body,
        slot,
        recorder,
        pacer,
        pending_frame: None,
        stall_timer: Box::pin(tokio::time::sleep(STALL_TIMEOUT.duration())),
    };
    Response::from_parts(parts, tracked_body.boxed())
}

/// The longest time without a frame of an answer. Without this limit, a
/// connection that hangs in the middle of a download would hold its slot
/// forever. It is far longer than any pause of a working target.
const STALL_TIMEOUT: Millis = Millis(30_000);

/// Records the answer of a keyed request for repeats of it.
struct AnswerRecorder {
    claim: WonClaim,
    head: Parts,
    /// `None` once the body has exceeded the size that is recorded.
    body: Option<BytesMut>,
}

impl AnswerRecorder {
    fn add(&mut self, data: &Bytes) {
        let max = usize::try_from(Answer::MAX_BODY.0).unwrap_or(usize::MAX);
        if let Some(body) = &mut self.body {
            if body.len() + data.len() <= max {
                body.extend_from_slice(data);
            } else {
                self.body = None;
            }
        }
    }

    fn finish(self) {
        let headers = self.head.headers.iter();
        let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
        let body = self.body.map(BytesMut::freeze);
        self.claim
            .finish(Answer::record(self.head.status.as_u16(), headers, body));
    }
}

type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer. It holds the slot while it streams.
struct TrackedBody {
    body: Body,
    slot: Slot,
    recorder: Option<AnswerRecorder>,
    pacer: Option<Pacer>,
    /// A frame that waits for capacity of the link.
    pending_frame: Option<Frame<Bytes>>,
    stall_timer: Pin<Box<Sleep>>,
}

impl TrackedBody {
    /// Returns the pending frame as soon as the link has capacity for it.
    fn poll_release(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        if let Some(pacer) = &mut self.pacer
            && pacer.poll(cx).is_pending()
        {
            return Poll::Pending;
        }
        Poll::Ready(self.pending_frame.take())
    }

    /// Ends the answer with an error if no frame has arrived within the stall
    /// timeout.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        ready!(self.stall_timer.as_mut().poll(cx));
        self.slot.set_completion(Completion::Failed);
        let target = self.slot.target();
        let cause = format!("read answer from {target}: no byte for {STALL_TIMEOUT}");
        Poll::Ready(Some(Err(cause.into())))
    }

    /// Accepts a frame from the target.
    fn take(&mut self, frame: Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            if let Some(recorder) = &mut self.recorder {
                recorder.add(data);
            }
            if let Some(pacer) = &mut self.pacer {
                pacer.add(data.len());
            }
        }
        self.pending_frame = Some(frame);
        self.stall_timer
            .as_mut()
            .reset(Instant::now() + STALL_TIMEOUT.duration());
    }

    /// Marks the request as answered and records the answer.
    fn complete(&mut self) {
        self.slot.set_completion(Completion::Answered);
        if let Some(recorder) = self.recorder.take() {
            recorder.finish();
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.pending_frame.is_none() {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => self.take(frame),
                Poll::Ready(Some(Err(e))) => {
                    self.slot.set_completion(Completion::Failed);
                    return Poll::Ready(Some(Err(e)));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => return self.poll_stall(cx),
            }
        }
        let frame = ready!(self.poll_release(cx));
        // A body of known length may be dropped without being polled to its
        // end.
        if self.body.is_end_stream() {
            self.complete();
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.pending_frame.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
