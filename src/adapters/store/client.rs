//! Connections to the store and the fate of each call.
//!
//! Every call has a timeout, and every failure is put into a class, because a
//! writer must know whether its write may have taken effect. A call is `Unsent`
//! only if no connection could be made, and `Refused` only if the store itself
//! said that it did nothing. After anything else a write is in doubt. A class
//! that errs towards doubt costs a read, one that errs the other way would cost
//! correctness.

use std::{
    error::Error,
    fmt,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use futures::{StreamExt, stream};
use http::uri::PathAndQuery;
use prost::Message;
use tokio::sync::oneshot;
use tonic::{
    Code, ConnectError, Request, Status, Streaming,
    client::Grpc,
    transport::{Channel, Endpoint},
};
use tonic_prost::ProstCodec;

use super::Calls;
use crate::{domain::Millis, ports::StoreError};

/// The largest message from the store: a full page of the largest values, and
/// as much again as one value for keys and framing.
const MESSAGE_MAX: usize = (super::PAGE + 1) * super::VALUE_MAX;

/// How often an open connection is checked. A connection that has become silent
/// ends the watches on it after this time and `PING_TIMEOUT`.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long the reply to such a check may take.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to the store's endpoints.
pub(super) struct Client {
    peers: Vec<Peer>,
    preferred: AtomicUsize,
    timeout: Duration,
    /// The counts of the calls.
    pub(super) calls: Arc<Calls>,
}

struct Peer {
    address: SocketAddr,
    channel: Mutex<Option<Channel>>,
}

/// A kind of call.
#[derive(Clone, Copy)]
pub(super) struct Step {
    /// The name in errors.
    pub(super) name: &'static str,
    /// The method.
    pub(super) path: &'static str,
    /// Counts the call.
    pub(super) count: fn(&Calls),
    /// Whether the call may be sent again, to the next endpoint, although the
    /// first may have been carried out.
    pub(super) repeatable: bool,
}

/// Why a call to one endpoint failed.
enum Failure {
    /// No connection could be made.
    Unsent(String),
    /// The store said that it did nothing.
    Refused(String),
    /// The connection broke.
    Broken(String),
    /// The store did not answer in time, or gave an answer that leaves it open.
    Unknown(String),
}

/// Our side of a stream, which ends when this is dropped.
pub(super) struct Open(#[expect(dead_code, reason = "held for its drop")] oneshot::Sender<()>);

/// A connection for one call.
pub(super) type Connection = Grpc<Channel>;

impl Client {
    pub(super) fn new(endpoints: &[SocketAddr], timeout: Millis, calls: Arc<Calls>) -> Self {
        let peer = |address: &SocketAddr| Peer {
            address: *address,
            channel: Mutex::default(),
        };
        Self {
            peers: endpoints.iter().map(peer).collect(),
            preferred: AtomicUsize::new(0),
            timeout: timeout.duration(),
            calls,
        }
    }

    /// Makes a call with one request and one response.
    pub(super) async fn unary<A, B>(&self, step: Step, request: A) -> Result<B, StoreError>
    where
        A: Clone + Message + 'static,
        B: Default + Message + 'static,
    {
        self.call(step, |mut connection, path| {
            let request = Request::new(request.clone());
            async move {
                let codec = ProstCodec::<A, B>::default();
                Ok(connection.unary(request, path, codec).await?.into_inner())
            }
        })
        .await
    }

    /// Opens a stream with one request, and passes the stream to `first`, which
    /// reads as far as the call's timeout is to cover. Our side of the stream
    /// stays open as long as the returned value is kept.
    pub(super) async fn stream<A, B, F, T>(
        &self,
        step: Step,
        request: A,
        first: impl Fn(Streaming<B>) -> F,
    ) -> Result<(T, Open), StoreError>
    where
        A: Clone + Message + 'static,
        B: Default + Message + 'static,
        F: Future<Output = Result<T, Status>>,
    {
        self.call(step, |mut connection, path| {
            let (open, closed) = oneshot::channel();
            let one = stream::once(std::future::ready(request.clone()));
            // Dropping the response does not end the call as long as our side
            // is open, so the store would keep the watch.
            let requests = one.chain(stream::pending()).take_until(closed);
            let first = &first;
            async move {
                let codec = ProstCodec::<A, B>::default();
                let request = Request::new(requests);
                let stream = connection.streaming(request, path, codec).await?;
                Ok((first(stream.into_inner()).await?, Open(open)))
            }
        })
        .await
    }

    /// Tries the endpoints in turn, beginning with the one that worked last.
    async fn call<F, T>(
        &self,
        step: Step,
        attempt: impl Fn(Connection, PathAndQuery) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, Status>>,
    {
        let count = self.peers.len();
        let start = self.preferred.load(Relaxed);
        let mut error = unconfigured(step);
        for at in (0..count).map(|n| (start + n) % count) {
            let peer = &self.peers[at];
            let mut result = self.once(step, peer, &attempt).await;
            if step.repeatable && matches!(result, Err(Failure::Broken(_))) {
                // The connection had broken since it was last used, which says
                // nothing about the store. The next attempt opens a new one.
                result = self.once(step, peer, &attempt).await;
            }
            match result {
                Ok(response) => {
                    self.preferred.store(at, Relaxed);
                    self.calls.answered();
                    return Ok(response);
                }
                Err(Failure::Refused(cause)) => {
                    self.calls.answered();
                    return Err(Failure::Refused(cause).into_error(step, peer.address));
                }
                Err(failure) => {
                    // The next call begins with another endpoint.
                    self.preferred.store((at + 1) % count, Relaxed);
                    let last = failure.is_final(step);
                    error = failure.into_error(step, peer.address);
                    if last {
                        break;
                    }
                }
            }
        }
        self.calls.failed();
        Err(error)
    }

    async fn once<F, T>(
        &self,
        step: Step,
        peer: &Peer,
        attempt: impl Fn(Connection, PathAndQuery) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, Status>>,
    {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let mut connection =
            Grpc::new(peer.channel(self.timeout)?).max_decoding_message_size(MESSAGE_MAX);
        (step.count)(&self.calls);
        match tokio::time::timeout_at(deadline, connection.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => {
                peer.reset();
                return Err(Failure::Unsent(Chain(&e).to_string()));
            }
            Err(_) => {
                peer.reset();
                return Err(Failure::Unsent(self.timed_out()));
            }
        }
        let response = attempt(connection, PathAndQuery::from_static(step.path));
        match tokio::time::timeout_at(deadline, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(status)) => Err(classify(&status)),
            Err(_) => {
                // The connection may have become silent, so the next call opens
                // a new one. Calls and watches on the old one go on.
                peer.reset();
                Err(Failure::Unknown(self.timed_out()))
            }
        }
    }

    fn timed_out(&self) -> String {
        format!("timed out after {} ms", self.timeout.as_millis())
    }
}

impl Peer {
    fn channel(&self, timeout: Duration) -> Result<Channel, Failure> {
        let mut slot = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = slot.as_ref() {
            return Ok(channel.clone());
        }
        let uri = format!("http://{}", self.address);
        let endpoint = Endpoint::from_shared(uri).map_err(|e| Failure::Unsent(e.to_string()))?;
        let endpoint = endpoint
            // The attempt to connect ends well before the call does, so that a
            // call without a connection is known to be unsent.
            .connect_timeout(timeout / 2)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true);
        Ok(slot.insert(endpoint.connect_lazy()).clone())
    }

    fn reset(&self) {
        *self.channel.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

impl Failure {
    /// Tells whether another endpoint must not be tried.
    fn is_final(&self, step: Step) -> bool {
        matches!(self, Self::Broken(_) | Self::Unknown(_)) && !step.repeatable
    }

    fn into_error(self, step: Step, peer: SocketAddr) -> StoreError {
        let (peer, step_name) = (peer.to_string(), step.name);
        match self {
            Self::Broken(cause) | Self::Unknown(cause) if !step.repeatable => StoreError::Unknown {
                step: step_name,
                peer,
                cause,
            },
            Self::Unsent(cause)
            | Self::Refused(cause)
            | Self::Broken(cause)
            | Self::Unknown(cause) => StoreError::Down {
                step: step_name,
                peer,
                cause,
            },
        }
    }
}

fn unconfigured(step: Step) -> StoreError {
    StoreError::Down {
        step: step.name,
        peer: "(none)".to_owned(),
        cause: "no endpoint is configured".to_owned(),
    }
}

fn classify(status: &Status) -> Failure {
    let mut source = status.source();
    while let Some(error) = source {
        if let Some(connect) = error.downcast_ref::<ConnectError>() {
            return Failure::Unsent(format!("connect: {}", Chain(&*connect.0)));
        }
        source = error.source();
    }
    let cause = match status.message() {
        "" => status.code().description().to_owned(),
        message => message.to_owned(),
    };
    // A status that the store did not send has its cause behind it. hyper's
    // "canceled" nearly always means that the request was not sent, but not for
    // a stream that was just opened, so it is not taken for unsent.
    if let Some(source) = status.source() {
        return Failure::Broken(format!("{cause}: {}", Chain(source)));
    }
    match status.code() {
        // The store returns these only for requests that it has not carried
        // out. Our codec uses `OutOfRange` for a response that is too large,
        // which only a read can have: a transaction returns no values.
        Code::InvalidArgument
        | Code::FailedPrecondition
        | Code::NotFound
        | Code::OutOfRange
        | Code::PermissionDenied
        | Code::ResourceExhausted
        | Code::Unauthenticated
        | Code::Unimplemented => Failure::Refused(cause),
        _ => Failure::Unknown(cause),
    }
}

/// Prints an error with its causes.
struct Chain<'a>(&'a dyn Error);

impl fmt::Display for Chain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(f, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}
