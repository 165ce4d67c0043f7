//! What a caller gets.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use volo_http::body::Body as FrontBody;

use super::{exchange::Answer, slot::Slot};
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

/// Returns the answer that tells a caller of a refusal.
pub(super) fn refuse(refusal: &Refusal) -> Response<FrontBody> {
    let mut resp = web::refusal_response(refusal);
    if let Some(time) = refusal.retry_after {
        headers::write_retry(resp.headers_mut(), time);
    }
    resp
}

/// Passes a target's answer on.
pub(super) fn pass(answer: Answer) -> Response<Body> {
    let Answer {
        mut head,
        content,
        mut slot,
        report,
    } = answer;
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
                // A content that was just read has not been sent.
                return Response::from_parts(head, full_body(Bytes::new()));
            };
            Tracked {
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

/// An answer's body that holds its slot while it streams.
struct Tracked {
    body: Body,
    slot: Slot,
    ending: Ending,
    report: Option<LoadReport>,
}

impl http_body::Body for Tracked {
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
            // A body of known length may be dropped without asking for its end.
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
