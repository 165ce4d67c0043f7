//! The answer of a target on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use http::{Response, response::Parts};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep};

use super::{claims::Won, pacing::Pacer, slot::Slot};
use crate::{
    adapters::http::strip_hop_by_hop,
    domain::Millis,
    policy::{once::Answer, target::Completion},
    ports::Body,
};

/// Passes an answer on. The slot is held until the last byte is through, because
/// the target is busy until then.
pub(super) fn pass(
    resp: Response<Body>,
    slot: Slot,
    won: Option<Won>,
    pacer: Option<Pacer>,
) -> Response<Body> {
    let (mut parts, body) = resp.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let record = won.map(|won| Record {
        won,
        head: parts.clone(),
        body: Some(BytesMut::new()),
    });
    let tracked = Tracked {
        body,
        slot,
        record,
        pacer,
        held: None,
        stall: Box::pin(tokio::time::sleep(STALL.duration())),
    };
    Response::from_parts(parts, tracked.boxed())
}

/// How long an answer may pause. A connection that has gone silent in the middle
/// of a download would otherwise hold its slot for good. It is far above any pause
/// of a target that still works.
const STALL: Millis = Millis(30_000);

/// The answer of a keyed request, which is kept for repeats.
struct Record {
    won: Won,
    head: Parts,
    body: Option<BytesMut>,
}

impl Record {
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
        self.won
            .finish(Answer::record(self.head.status.as_u16(), headers, body));
    }
}

type Error = Box<dyn std::error::Error + Send + Sync>;

/// An answer's body that holds its slot while it streams.
struct Tracked {
    body: Body,
    slot: Slot,
    record: Option<Record>,
    pacer: Option<Pacer>,
    /// A frame that waits for the link.
    held: Option<Frame<Bytes>>,
    stall: Pin<Box<Sleep>>,
}

impl Tracked {
    /// Passes a frame on as soon as the link has capacity for it.
    fn release(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        if let Some(pacer) = &mut self.pacer
            && pacer.poll(cx).is_pending()
        {
            return Poll::Pending;
        }
        Poll::Ready(self.held.take())
    }

    /// Ends an answer that has paused for too long.
    fn stalled(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        ready!(self.stall.as_mut().poll(cx));
        self.slot.finish(Completion::Failed);
        let target = self.slot.target();
        let cause = format!("read answer from {target}: no byte for {STALL}");
        Poll::Ready(Some(Err(cause.into())))
    }

    /// Takes a frame from the target.
    fn take(&mut self, frame: Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            if let Some(record) = &mut self.record {
                record.add(data);
            }
            if let Some(pacer) = &mut self.pacer {
                pacer.add(data.len());
            }
        }
        self.held = Some(frame);
        self.stall.as_mut().reset(Instant::now() + STALL.duration());
    }

    fn complete(&mut self) {
        self.slot.finish(Completion::Answered);
        if let Some(record) = self.record.take() {
            record.finish();
        }
    }
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.held.is_none() {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => self.take(frame),
                Poll::Ready(Some(Err(e))) => {
                    self.slot.finish(Completion::Failed);
                    return Poll::Ready(Some(Err(e)));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => return self.stalled(cx),
            }
        }
        let frame = ready!(self.release(cx));
        // A body of known length may be dropped without asking for its end.
        if self.body.is_end_stream() {
            self.complete();
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
