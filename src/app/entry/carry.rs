//! Carries one request from its caller to a target and the answer back.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, header};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::{State, inbound::Inbound};
use crate::{
    domain::{Millis, ServiceName, TargetId},
    policy::refusal::{Code, Refusal},
    ports::{Body, Outbound, SendError},
};

/// Headers that concern one connection only, and therefore stay there.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Carries a request.
///
/// # Errors
///
/// Returns what the caller is to be told if no answer of a target can be passed
/// on.
pub(super) async fn carry(state: &Arc<State>, inbound: Inbound) -> Result<Response<Body>, Refusal> {
    let Inbound {
        service,
        deadline,
        key,
        priority,
        mut request,
    } = inbound;
    let priority = priority.unwrap_or_default();
    tracing::debug!(
        "carry: {service} {} with key {key:?}, priority {priority}.",
        request.uri()
    );
    let unknown = || {
        Refusal::not_run(
            Code::UnknownService,
            format!("no document is in force for {service}"),
        )
    };
    let started = state
        .services
        .get(&service, |s| Ok((s.start()?, s.doc.deadline)));
    let (target, default) = started.ok_or_else(unknown)??;
    let running = Running {
        state: state.clone(),
        service: service.clone(),
        target,
    };
    let deadline = deadline.unwrap_or(default);
    prepare(&mut request, deadline);
    let send = (state.ports.targets.send)(Outbound { target, request });
    match timeout(deadline.duration(), send).await {
        Ok(Ok(resp)) => Ok(pass(resp, running)),
        Ok(Err(e @ SendError::Unsent { .. })) => {
            Err(Refusal::not_run(Code::Unreachable, e.to_string()).retry_after(Millis(1_000)))
        }
        Ok(Err(e @ SendError::Unknown { .. })) => {
            Err(Refusal::unknown(Code::Broken, e.to_string()))
        }
        Err(_) => {
            let detail = format!("answer from {target}: none within {deadline}");
            Err(Refusal::unknown(Code::Deadline, detail))
        }
    }
}

/// Turns the caller's head into the target's.
fn prepare(request: &mut http::Request<Body>, deadline: Millis) {
    let head = request.headers_mut();
    for name in &HOP_BY_HOP {
        head.remove(name);
    }
    head.insert("x-deadline-ms", HeaderValue::from(deadline.0));
}

fn pass(resp: Response<Body>, running: Running) -> Response<Body> {
    let mut resp = resp.map(|body| Tracked { body, running }.boxed());
    for name in &HOP_BY_HOP {
        resp.headers_mut().remove(name);
    }
    resp
}

/// A request that holds a slot until this value is dropped, whatever the reason.
struct Running {
    state: Arc<State>,
    service: ServiceName,
    target: TargetId,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state
            .services
            .get(&self.service, |s| s.end(self.target));
    }
}

/// An answer's body that holds its slot while it streams.
struct Tracked {
    body: Body,
    // Held for its drop.
    #[allow(dead_code)]
    running: Running,
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
