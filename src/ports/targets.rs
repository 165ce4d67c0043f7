//! Requests to targets.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use tokio::sync::oneshot;

use super::Call;
use crate::domain::{Millis, TargetId};

/// A body that streams in either direction.
pub type Body = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// Why a request got no answer from its target.
///
/// The difference between the two decides whether a caller may be told
/// `not-run`, so an adapter may return `Unsent` only when no byte of the request
/// was written. See [docs/design.md](../../docs/design.md), section 3.4.
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

/// Held as long as a target may work on a request. The receiver of the channel
/// learns the end when the last clone is dropped; nothing is ever sent.
pub type Hold = Arc<oneshot::Sender<()>>;

/// Tells whether the first byte of a request may have left. Whoever gives up
/// waiting learns from it whether the target can have run the request.
#[derive(Clone, Debug, Default)]
pub struct Begun(Arc<AtomicBool>);

impl Begun {
    /// Notes that the first byte is about to leave.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Notes that no byte has left after all.
    pub fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Tells whether the first byte may have left.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// How long a connection may take to open if nothing else is said. Between
/// regions it takes about 70 ms.
const CONNECT: Millis = Millis(1_000);

/// A request with the target that is to run it.
#[derive(Debug)]
pub struct Outbound {
    /// The target.
    pub target: TargetId,
    /// The request.
    pub request: Request<Body>,
    /// What the adapter holds until the target has ended the request. After a
    /// cancellation that is when the target closes the connection.
    pub hold: Hold,
    /// How long a new connection may take to open.
    pub connect: Millis,
    /// Set as soon as the first byte may have left.
    pub begun: Begun,
}

impl Outbound {
    /// Returns a request that holds no slot, such as a probe.
    #[must_use]
    pub fn new(target: TargetId, request: Request<Body>) -> Self {
        Self {
            target,
            request,
            hold: Arc::new(oneshot::channel().0),
            connect: CONNECT,
            begun: Begun::default(),
        }
    }
}

/// Sends requests to targets.
#[derive(Clone)]
pub struct Targets {
    /// Sends a request and returns the answer's head as soon as it is there.
    /// Dropping the future or the body cancels the request.
    pub send: Call<Outbound, Result<Response<Body>, SendError>>,
}

impl fmt::Debug for Targets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Targets")
    }
}
