//! Discards the rest of a request's body after the request was answered.
//!
//! A caller whose request is answered early, for example refused because of the
//! announced length of its body, is still sending. A socket that is closed with
//! unread data resets the connection. The reset fails the caller's next write,
//! and it destroys the part of the response that the caller has not received.
//! The server therefore reads on until the body ends, within limits on size and
//! time, and the connection can carry further requests.
//!
//! This is the lingering close of other servers, moved from the socket into the
//! HTTP layer. A discard at the socket could not tell the rest of a body from a
//! next request. Callers regard a request that the server has read as possibly
//! run, while one that is still unread when the connection closes is sent again.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::oneshot::{self, error::TryRecvError};
use volo_http::body::Body;

/// How much of a body is discarded. It bounds the traffic of a refused upload
/// whose caller does not read the response.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// How long the connection of an answered request stays open for the rest of
/// its body. It covers the retransmission of a lost response, which takes 1 s
/// at first, and a round trip between regions. Such a connection delays the stop
/// of a server by at most this time after the end of the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives the body of a request that is dropped before it was read to its
/// end. The channel closes without a value if the body was read.
pub(super) type Unread = oneshot::Receiver<Incoming>;

/// A request's body that is returned through a channel if it is dropped unread.
struct RequestBody {
    body: Option<Incoming>,
    unread: Option<oneshot::Sender<Incoming>>,
    /// Whether the caller sends the body. A caller with `Expect: 100-continue`
    /// does so after the first read, which makes hyper send the interim response.
    /// Without that the caller may send its next request in place of the body.
    sending: bool,
}

/// Returns the request for the handler and a receiver of the unread body. There
/// is no receiver if the request has no body.
pub(super) fn track(req: Request<Incoming>) -> (Request<Body>, Option<Unread>) {
    if req.body().is_end_stream() {
        return (req.map(Body::from_incoming), None);
    }
    let sending = !req.headers().contains_key(header::EXPECT);
    let (tx, rx) = oneshot::channel();
    let req = req.map(|body| {
        Body::from_body(RequestBody {
            body: Some(body),
            unread: Some(tx),
            sending,
        })
    });
    (req, Some(rx))
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.sending = true;
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.body = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), Incoming::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let body = self.body.take();
        let unread = body.filter(|body| self.sending && !body.is_end_stream());
        if let (Some(body), Some(tx)) = (unread, self.unread.take()) {
            // Sending fails if the connection has closed, which ends the body.
            let _ = tx.send(body);
        }
    }
}

/// A response's body whose drop tells that the response has ended.
struct ResponseBody {
    body: Body,
    _end_guard: oneshot::Sender<Infallible>,
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

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

/// Starts to discard the unread body of an answered request. Returns the
/// response to send meanwhile.
pub(super) fn discard(unread: Option<Unread>, resp: Response<Body>) -> Response<Body> {
    let Some(mut unread) = unread else {
        return resp;
    };
    let dropped = match unread.try_recv() {
        Ok(body) => Some(body),
        // The handler still reads it, for example to forward it.
        Err(TryRecvError::Empty) => None,
        Err(TryRecvError::Closed) => return resp,
    };
    let (end_guard, response_ended) = oneshot::channel();
    tokio::spawn(async move {
        let body = match dropped {
            Some(body) => Ok(body),
            None => unread.await,
        };
        if let Ok(body) = body {
            read_rest(body, response_ended).await;
        }
    });
    resp.map(|body| {
        Body::from_body(ResponseBody {
            body,
            _end_guard: end_guard,
        })
    })
}

/// Reads a body until it ends, or until [`DISCARD_TIMEOUT`] after the response
/// has ended. hyper closes the connection when a body is dropped before its end.
async fn read_rest(mut body: Incoming, response_ended: oneshot::Receiver<Infallible>) {
    let expired = async {
        let _ = response_ended.await;
        tokio::time::sleep(DISCARD_TIMEOUT).await;
    };
    let read = async {
        let mut budget = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = budget.checked_sub(len) else {
                // The caller, stopped by flow control, has the rest of the time
                // to read the response.
                return std::future::pending().await;
            };
            budget = left;
        }
    };
    tokio::select! {
        () = read => {}
        () = expired => tracing::debug!("http: the rest of an answered request's body is not read."),
    }
}
