//! Sends one attempt to one target and reads the response.

use std::sync::Arc;

use http::{HeaderMap, Response, response::Parts};

use super::{State, now, request::RoutedRequest, slot::Slot};
use crate::{
    adapters::{
        http::Content,
        platform::headers::{self, ResponseKind},
    },
    domain::{Millis, TargetId},
    policy::{
        balance::{Ending, LoadReport},
        stream,
    },
    ports::{Body, Outbound, SendError},
};

/// The size up to which a response is buffered completely before any of it is
/// sent to the caller. If the connection breaks before that, another attempt
/// can still replace the response.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// The timeout for opening a connection to a target, after which another target
/// is tried. Without packet loss it takes at most 75 ms.
const CONNECT_TIMEOUT: Millis = Millis(300);

type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The outcome of an attempt.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The target ran the request and responded.
    Response(Box<TargetResponse>),
    /// The target rejected the request without running it.
    Rejected,
    /// No byte of the request was sent.
    Unsent(String),
    /// The request was sent, and the connection broke before the response. It may
    /// have run.
    Broken(BrokenConn),
    /// The request was sent, but no valid response was received. It may have
    /// run.
    Unknown(String),
    /// The request was sent and not answered before the deadline.
    TimedOut,
}

/// A connection that broke while its target ran a request.
#[derive(Debug)]
pub(super) struct BrokenConn {
    pub target: TargetId,
    /// Whether the target was known to be leaving, so that it may have been stopped.
    pub leaving: bool,
    pub cause: String,
}

/// A target's response, with the slot that it holds until its last byte is
/// sent.
#[derive(Debug)]
pub(super) struct TargetResponse {
    pub head: Parts,
    pub content: Content,
    pub slot: Slot,
    /// How long the response may be passed on.
    pub time_left: Millis,
    /// The id of the request, for logs.
    pub request: String,
    /// The load that the target reported with the response.
    pub report: Option<LoadReport>,
}

/// Sends a request to the target of a slot and reads the response.
pub(super) async fn exchange(state: &State, routed: &RoutedRequest, mut slot: Slot) -> Outcome {
    let deadline = routed.deadline;
    let time_left = deadline - now(state);
    let ticket = slot.ticket();
    let Some(request) = routed.build_request(&ticket.id, time_left) else {
        return Outcome::Unknown(
            "the body was not kept, so the request cannot be sent again".to_owned(),
        );
    };
    let id = routed.id.clone();
    let may_reuse = move |status, headers: &HeaderMap| {
        let kind = headers::classify_response(status, headers, id.as_ref());
        // The attempts of a request have one id. If another instance uses the
        // address, a second attempt may go to that one.
        let valid = matches!(kind, ResponseKind::Answered | ResponseKind::Rejected);
        valid && !headers::read_notice(status, headers, id.as_ref()).leaving
    };
    let may_send = slot.send_check();
    let out = Outbound {
        may_send: may_send.clone(),
        connect_timeout: CONNECT_TIMEOUT,
        fresh: routed.id.is_none(),
        once_only: !routed.rule.kind.is_idempotent(),
        may_reuse: Arc::new(may_reuse),
        ..Outbound::new(slot.choice.addr, request)
    };
    let started = out.started.clone();
    let attempt = async {
        let resp = (state.ports.targets.send)(out).await?;
        Ok::<_, SendError>(read_response(state, routed, &slot, resp).await)
    };
    let (ending, report, outcome) = match state.run_until(deadline, attempt).await {
        None if started.get() => return Outcome::TimedOut,
        None => (
            Ending::Unreachable,
            None,
            Outcome::Unsent("no connection in time".to_owned()),
        ),
        Some(Err(e @ SendError::Unsent { .. })) => {
            let ending = if may_send() {
                Ending::Unreachable
            } else {
                Ending::Cancelled
            };
            (ending, None, Outcome::Unsent(e.to_string()))
        }
        Some(Err(e @ SendError::Unknown { broken: true, .. })) => {
            let conn = BrokenConn {
                target: slot.choice.addr,
                leaving: !may_send(),
                cause: e.to_string(),
            };
            (Ending::Broken, None, Outcome::Broken(conn))
        }
        Some(Err(e @ SendError::Unknown { .. })) => {
            (Ending::Broken, None, Outcome::Unknown(e.to_string()))
        }
        Some(Ok(ReadResult::Rejected(report))) => (Ending::Rejected, report, Outcome::Rejected),
        Some(Ok(ReadResult::Misdirected)) => (Ending::Misdirected, None, Outcome::Rejected),
        Some(Ok(ReadResult::Invalid(cause))) => (Ending::Broken, None, Outcome::Unknown(cause)),
        Some(Ok(ReadResult::Response(head, content, report))) => {
            return Outcome::Response(Box::new(TargetResponse {
                head,
                content,
                slot,
                time_left: stream::time_left(routed.caller_deadline, now(state)),
                request: routed.label().to_owned(),
                report,
            }));
        }
    };
    slot.finish(ending, report);
    outcome
}

/// The response to an attempt, as far as the gateway reads it.
enum ReadResult {
    Response(Parts, Content, Option<LoadReport>),
    Rejected(Option<LoadReport>),
    Misdirected,
    Invalid(String),
}

async fn read_response(
    state: &State,
    routed: &RoutedRequest,
    slot: &Slot,
    resp: Response<Body>,
) -> ReadResult {
    let (head, body) = resp.into_parts();
    // The body may take long or break off; the notice holds from now on.
    let notice = headers::read_notice(head.status, &head.headers, routed.id.as_ref());
    slot.record_notice(routed.label(), &notice);
    let kind = headers::classify_response(head.status, &head.headers, routed.id.as_ref());
    let report = headers::read_load_report(&head.headers, kind);
    match kind {
        ResponseKind::Rejected => ReadResult::Rejected(report),
        ResponseKind::Misdirected => ReadResult::Misdirected,
        ResponseKind::Invalid(cause) => ReadResult::Invalid(cause.to_owned()),
        ResponseKind::Answered => match buffer(state, body).await {
            Ok(content) => ReadResult::Response(head, content, report),
            Err(e) => ReadResult::Invalid(format!("read response: {e}")),
        },
    }
}

/// Buffers the start of a response, as far as all of them together have room.
async fn buffer(state: &State, body: Body) -> Result<Content, BodyError> {
    let mut share = state.kept_responses.share();
    let may_keep = |part, total| total <= MAX_BUFFERED_BYTES && share.grow(part);
    let content = Content::read_while(body, may_keep).await?;
    Ok(content.with_share(share))
}
