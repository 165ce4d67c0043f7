//! Builds the responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use volo_http::body::Body as FrontBody;

use super::{exchange::TargetResponse, slot::Slot};
use crate::{
    adapters::{
        http::{self as web, Content, full_body, strip_hop_by_hop},
        platform::headers,
    },
    policy::{
        balance::{Ending, LoadReport},
        refusal::Refusal,
    },
    ports::Body,
};

/// Returns the response that reports a refusal to a caller.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<FrontBody> {
    let mut resp = web::refusal_response(refusal);
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
        report,
    } = response;
    strip_hop_by_hop(&mut head.headers);
    let ending = if head.status.is_server_error() {
        Ending::ErrorResponse
    } else {
        Ending::Answered
    };
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
            TrackedBody {
                body,
                slot,
                ending,
                report,
            }
            .boxed()
        }
    };
    Response::from_parts(head, body)
}

/// The body of a response, which holds its slot while it streams.
struct TrackedBody {
    body: Body,
    slot: Slot,
    ending: Ending,
    report: Option<LoadReport>,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        let (ending, report) = (self.ending, self.report);
        match &frame {
            Some(Err(_)) => self.slot.finish(Ending::Broken, None),
            None => self.slot.finish(ending, report),
            // The server may drop a body of known length after the last frame,
            // without polling for its end.
            Some(Ok(_)) if self.body.is_end_stream() => self.slot.finish(ending, report),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
