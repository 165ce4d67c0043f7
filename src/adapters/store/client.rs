//! A gRPC client with failover between the store's endpoints.
//!
//! Every call has a timeout, and every failure is classified, because a writer
//! must know whether its write may have taken effect. A call is `NotSent` only
//! if no connection was established, and `Refused` only if the store returned a
//! status that rules out execution. After any other failure, the outcome of a
//! write is unknown. Classifying a failed write as unknown without need costs
//! an extra read; classifying an executed write as not executed would be
//! incorrect.

use std::{
    error::Error,
    fmt,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
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

use super::CallCounters;
use crate::{
    domain::{Millis, lock},
    ports::StoreError,
};

/// The size limit of a message from the store: a full page of values of the
/// maximum size, plus the size of one more value for keys and framing.
const MAX_MESSAGE_BYTES: usize = (super::PAGE_KEYS + 1) * super::MAX_VALUE_BYTES;

/// The interval of HTTP/2 keep-alive pings. The watches on an unresponsive
/// connection end after this interval plus [`PING_TIMEOUT`].
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long the reply to a keep-alive ping may take.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to the store's endpoints.
pub(super) struct Client {
    servers: Vec<ServerState>,
    /// The index of the server that the next call tries first.
    preferred: AtomicUsize,
    /// The timeout of one attempt at one server.
    timeout: Duration,
    pub(super) counters: Arc<CallCounters>,
}

/// An endpoint and the channel to it, if one is in use.
struct ServerState {
    address: SocketAddr,
    channel: Mutex<Option<Channel>>,
}

/// A method of the store's API and how to call it.
#[derive(Clone, Copy)]
pub(super) struct Method {
    /// The name of the step in error messages.
    pub(super) name: &'static str,
    /// The path of the gRPC method.
    pub(super) path: &'static str,
    /// Counts an attempt.
    pub(super) count: fn(&CallCounters),
    /// Whether the call may be sent again even though an earlier attempt may
    /// have been executed.
    pub(super) retry_safe: bool,
}

/// Why a call to one endpoint failed.
enum Failure {
    /// No connection was established, so the request was not sent.
    NotSent(String),
    /// The store returned a status that rules out execution.
    Refused(String),
    /// The connection broke during the call.
    Disconnected(String),
    /// The call timed out, or the store's status does not rule out execution.
    Unknown(String),
}

/// Keeps the request side of a stream open until it is dropped.
pub(super) struct StreamGuard(
    #[expect(dead_code, reason = "held for its drop")] oneshot::Sender<()>,
);

/// A gRPC client for one call.
pub(super) type Connection = Grpc<Channel>;

impl Client {
    pub(super) fn new(
        endpoints: &[SocketAddr],
        timeout: Millis,
        counters: Arc<CallCounters>,
    ) -> Self {
        let server = |address: &SocketAddr| ServerState {
            address: *address,
            channel: Mutex::default(),
        };
        Self {
            servers: endpoints.iter().map(server).collect(),
            preferred: AtomicUsize::new(0),
            timeout: timeout.duration(),
            counters,
        }
    }

    /// Calls a unary method.
    pub(super) async fn unary<A, B>(&self, method: Method, request: A) -> Result<B, StoreError>
    where
        A: Clone + Message + 'static,
        B: Default + Message + 'static,
    {
        self.call(method, |mut connection, path| {
            let request = Request::new(request.clone());
            async move {
                let codec = ProstCodec::<A, B>::default();
                Ok(connection.unary(request, path, codec).await?.into_inner())
            }
        })
        .await
    }

    /// Calls a bidirectional streaming method with a single request.
    ///
    /// The response stream is passed to `read_first`, which reads the messages
    /// that must arrive within the call's timeout. The request side of the
    /// stream stays open until the returned [`StreamGuard`] is dropped.
    pub(super) async fn stream<A, B, F, T>(
        &self,
        method: Method,
        request: A,
        read_first: impl Fn(Streaming<B>) -> F,
    ) -> Result<(T, StreamGuard), StoreError>
    where
        A: Clone + Message + 'static,
        B: Default + Message + 'static,
        F: Future<Output = Result<T, Status>>,
    {
        self.call(method, |mut connection, path| {
            let (guard, dropped) = oneshot::channel();
            let single = stream::once(std::future::ready(request.clone()));
            // Dropping the response stream does not end the call while the
            // request side is open, so the store would keep a watch. Dropping
            // the guard closes the request side.
            let requests = single.chain(stream::pending()).take_until(dropped);
            let read_first = &read_first;
            async move {
                let codec = ProstCodec::<A, B>::default();
                let request = Request::new(requests);
                let stream = connection.streaming(request, path, codec).await?;
                Ok((read_first(stream.into_inner()).await?, StreamGuard(guard)))
            }
        })
        .await
    }

    /// Tries the endpoints in turn, starting with the preferred one, until one
    /// of them responds or a failure forbids a retry.
    async fn call<F, T>(
        &self,
        method: Method,
        attempt: impl Fn(Connection, PathAndQuery) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, Status>>,
    {
        let count = self.servers.len();
        let start = self.preferred.load(Relaxed);
        let mut error = no_endpoint_error(method);
        for index in (0..count).map(|n| (start + n) % count) {
            let server = &self.servers[index];
            let mut result = self.attempt_at(method, server, &attempt).await;
            if method.retry_safe && matches!(result, Err(Failure::Disconnected(_))) {
                // The connection may have broken while it was idle, which does
                // not mean that the store is down. A second attempt at the same
                // server opens a new connection.
                result = self.attempt_at(method, server, &attempt).await;
            }
            match result {
                Ok(response) => {
                    self.preferred.store(index, Relaxed);
                    self.counters.record_response();
                    return Ok(response);
                }
                Err(Failure::Refused(cause)) => {
                    self.counters.record_response();
                    return Err(Failure::Refused(cause).into_error(method, server.address));
                }
                Err(failure) => {
                    // The next call starts with the next endpoint.
                    self.preferred.store((index + 1) % count, Relaxed);
                    let stop = failure.forbids_retry(method);
                    error = failure.into_error(method, server.address);
                    if stop {
                        break;
                    }
                }
            }
        }
        self.counters.record_failure();
        Err(error)
    }

    /// Makes one attempt at one server.
    async fn attempt_at<F, T>(
        &self,
        method: Method,
        server: &ServerState,
        attempt: impl Fn(Connection, PathAndQuery) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, Status>>,
    {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let mut connection =
            Grpc::new(server.channel(self.timeout)?).max_decoding_message_size(MAX_MESSAGE_BYTES);
        (method.count)(&self.counters);
        match tokio::time::timeout_at(deadline, connection.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => {
                server.discard_channel();
                return Err(Failure::NotSent(ErrorChain(&e).to_string()));
            }
            Err(_) => {
                server.discard_channel();
                return Err(Failure::NotSent(self.timeout_cause()));
            }
        }
        let response = attempt(connection, PathAndQuery::from_static(method.path));
        match tokio::time::timeout_at(deadline, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(status)) => Err(classify_status(&status)),
            Err(_) => {
                // The connection may be dead, so the next call opens a new one.
                // Calls and watches in progress keep the old one.
                server.discard_channel();
                Err(Failure::Unknown(self.timeout_cause()))
            }
        }
    }

    fn timeout_cause(&self) -> String {
        format!("timed out after {} ms", self.timeout.as_millis())
    }
}

impl ServerState {
    /// Returns the current channel, or a new one that connects on first use.
    fn channel(&self, timeout: Duration) -> Result<Channel, Failure> {
        let mut slot = lock(&self.channel);
        if let Some(channel) = slot.as_ref() {
            return Ok(channel.clone());
        }
        let uri = format!("http://{}", self.address);
        let endpoint = Endpoint::from_shared(uri).map_err(|e| Failure::NotSent(e.to_string()))?;
        let endpoint = endpoint
            // Connecting times out well before the call does, so that a call
            // without a connection is classified as not sent.
            .connect_timeout(timeout / 2)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true);
        Ok(slot.insert(endpoint.connect_lazy()).clone())
    }

    /// Makes the next call open a new connection.
    fn discard_channel(&self) {
        *lock(&self.channel) = None;
    }
}

impl Failure {
    /// Returns whether the call must not be sent again, because it may have
    /// been executed and is not safe to retry.
    fn forbids_retry(&self, method: Method) -> bool {
        matches!(self, Self::Disconnected(_) | Self::Unknown(_)) && !method.retry_safe
    }

    fn into_error(self, method: Method, address: SocketAddr) -> StoreError {
        let (peer, name) = (address.to_string(), method.name);
        match self {
            Self::Disconnected(cause) | Self::Unknown(cause) if !method.retry_safe => {
                StoreError::Unknown {
                    step: name,
                    peer,
                    cause,
                }
            }
            Self::NotSent(cause)
            | Self::Refused(cause)
            | Self::Disconnected(cause)
            | Self::Unknown(cause) => StoreError::Down {
                step: name,
                peer,
                cause,
            },
        }
    }
}

fn no_endpoint_error(method: Method) -> StoreError {
    StoreError::Down {
        step: method.name,
        peer: "(none)".to_owned(),
        cause: "no endpoint is configured".to_owned(),
    }
}

/// Classifies a gRPC status by whether the request may have been executed.
fn classify_status(status: &Status) -> Failure {
    let mut source = status.source();
    while let Some(error) = source {
        if let Some(connect) = error.downcast_ref::<ConnectError>() {
            return Failure::NotSent(format!("connect: {}", ErrorChain(&*connect.0)));
        }
        source = error.source();
    }
    let cause = match status.message() {
        "" => status.code().description().to_owned(),
        message => message.to_owned(),
    };
    // Only a status that was created locally has a source error. hyper's
    // "canceled" nearly always means that the request was not sent, except on a
    // stream that was just opened, so it is not classified as not sent.
    if let Some(source) = status.source() {
        return Failure::Disconnected(format!("{cause}: {}", ErrorChain(source)));
    }
    match status.code() {
        // The store returns these only for requests that it did not execute.
        // The local codec also reports `OutOfRange` for a response over the
        // size limit, which only a read can get: a transaction returns no
        // values.
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

/// Formats an error followed by the chain of its sources.
struct ErrorChain<'a>(&'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
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
