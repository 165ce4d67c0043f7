//! The port to targets.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use tokio::sync::oneshot;

use super::Call;
use crate::domain::{Millis, TargetId};

/// A streaming body of a request or a response.
pub type Body = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// Why a request got no response from its target.
///
/// The variant decides whether a caller may be told `not-run`, so an adapter
/// may return `Unsent` only if no byte of the request was written. See
/// [docs/design.md](../../docs/design.md), section 3.4.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendError {
    /// The target cannot have seen the request.
    Unsent {
        /// The step that failed.
        step: &'static str,
        /// The target.
        peer: TargetId,
        /// The cause.
        cause: String,
    },
    /// The target may have run the request.
    Unknown {
        /// The step that failed.
        step: &'static str,
        /// The target.
        peer: TargetId,
        /// The cause.
        cause: String,
        /// Whether the connection broke, which a crash of the target causes.
        broken: bool,
    },
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent { step, peer, cause }
            | Self::Unknown {
                step, peer, cause, ..
            } => {
                write!(f, "{step} {peer}: {cause}")
            }
        }
    }
}

impl std::error::Error for SendError {}

/// Held as long as a target may work on a request. The channel closes when the
/// last clone is dropped, which its receiver waits for. Nothing is ever sent.
pub type InFlight = Arc<oneshot::Sender<()>>;

/// A flag that says whether the first byte of a request may have been sent.
/// After a timeout it shows whether the target may have run the request.
#[derive(Clone, Debug, Default)]
pub struct SendStarted(Arc<AtomicBool>);

impl SendStarted {
    /// Sets the flag, before the first byte is sent.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Clears the flag, if no byte was sent after all.
    pub fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Returns whether the first byte may have been sent.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The default timeout for opening a connection. Between regions, opening one
/// takes about 70 ms.
const DEFAULT_CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Returns whether a connection may carry another request, from the status and
/// the headers of the response that it has carried.
pub type ReuseCheck = Arc<dyn Fn(StatusCode, &HeaderMap) -> bool + Send + Sync>;

/// Returns whether a request may still be sent to its target.
pub type SendCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// A request and the target to send it to.
pub struct Outbound {
    /// The target.
    pub target: TargetId,
    /// The request.
    pub request: Request<Body>,
    /// Held by the adapter until the target has finished the request. After a
    /// cancellation that is when the target closes the connection.
    pub in_flight: InFlight,
    /// The timeout for opening a new connection.
    pub connect_timeout: Millis,
    /// Whether the request needs a connection that has carried no other one. A
    /// request without an id does, because nothing in a response shows to which
    /// request it belongs.
    pub fresh: bool,
    /// Whether the request is not sent on a connection that may be silent, because
    /// nothing would show whether the target has run it.
    pub once_only: bool,
    /// Called before the first byte is sent. If it returns false, the request is
    /// not sent. Opening a connection takes time, in which the target may have been
    /// withdrawn.
    pub may_send: SendCheck,
    /// Set before the first byte is sent.
    pub started: SendStarted,
    /// Called with the head of the response, before the response is returned.
    /// If it returns false, the connection closes with the response. A response
    /// that does not belong to the request is followed by the one that does,
    /// which would be read as the response to the next request.
    pub may_reuse: ReuseCheck,
}

impl fmt::Debug for Outbound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outbound")
            .field("target", &self.target)
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

impl Outbound {
    /// Returns a request that occupies no slot, such as a probe. Its connection
    /// may be reused after any response.
    #[must_use]
    pub fn new(target: TargetId, request: Request<Body>) -> Self {
        Self {
            target,
            request,
            in_flight: Arc::new(oneshot::channel().0),
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            fresh: false,
            once_only: false,
            may_send: Arc::new(|| true),
            started: SendStarted::default(),
            may_reuse: Arc::new(|_, _| true),
        }
    }
}

/// The operations on targets.
#[derive(Clone)]
pub struct Targets {
    /// Sends a request and returns the response as soon as its head is
    /// complete. Dropping the future or the body cancels the request.
    pub send: Call<Outbound, Result<Response<Body>, SendError>>,
}

impl fmt::Debug for Targets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Targets")
    }
}
