//! The gRPC client of an entry, with a pool of channels to its peers.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Instant};

use http::uri::PathAndQuery;
use hyper_util::rt::TokioIo;
use prost::Message;
use tokio::net::TcpStream;
use tonic::{
    ConnectError, Request, Status,
    transport::{Channel, Endpoint},
};
use tonic_prost::ProstCodec;

use super::{
    MAX_MESSAGE_BYTES, SERVICE, stamps,
    traffic::{CountedStream, Traffic},
};
use crate::{
    domain::{Millis, Shards},
    ports::Events,
};

/// The timeout for a connection attempt. It is more than three times the
/// round-trip time between regions.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// How long an unused channel is kept open. Probes go to random peers, so
/// without this timeout each entry would keep a connection to every other
/// entry.
const CHANNEL_IDLE_TIMEOUT: Millis = Millis(30_000);

/// The step at which a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The request exceeds [`MAX_MESSAGE_BYTES`], so nothing was sent.
    Encode,
    /// The connection attempt failed, so the peer has not received the request.
    Connect,
    /// No reply arrived. The peer may have processed the request.
    Wait,
    /// The reply is an error or cannot be decoded.
    Reply,
}

/// The error of a failed call to a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// The step that failed.
    pub step: Step,
    /// The name of the gRPC method.
    pub method: &'static str,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The cause.
    pub cause: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            step,
            method,
            peer,
            cause,
        } = self;
        match step {
            Step::Encode => write!(f, "encode {method} for {peer}: {cause}"),
            Step::Connect => write!(f, "connect to {peer} for {method}: {cause}"),
            Step::Wait => write!(f, "wait for {method} from {peer}: {cause}"),
            Step::Reply => write!(f, "{method} failed at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns the error for a reply that contains an invalid value.
    #[must_use]
    pub fn invalid_reply(method: &'static str, peer: SocketAddr, error: &dyn fmt::Display) -> Self {
        Self {
            step: Step::Reply,
            method,
            peer,
            cause: error.to_string(),
        }
    }
}

#[derive(Clone, Debug)]
struct PooledChannel {
    channel: Channel,
    last_used: Instant,
}

/// A pool of channels to other entries, by address. A channel is opened at the
/// first call to its peer.
#[derive(Debug)]
pub struct Peers {
    channels: Shards<SocketAddr, PooledChannel>,
    timeout: Millis,
    traffic: Arc<Traffic>,
    events: Option<Events>,
}

impl Peers {
    /// Returns an empty pool. Calls fail after `timeout`, and their messages
    /// and bytes are counted in `traffic`.
    #[must_use]
    pub fn new(timeout: Millis, traffic: Arc<Traffic>) -> Self {
        Self {
            channels: Shards::new(),
            timeout,
            traffic,
            events: None,
        }
    }

    /// Exchanges stamps in the metadata of requests and replies.
    #[must_use]
    pub fn with_events(mut self, events: Events) -> Self {
        self.events = Some(events);
        self
    }

    /// Calls a method of the entry at `peer` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns the step that failed, the peer and the cause. If no reply
    /// arrived, the channel is also removed from the pool, since its connection
    /// may be dead, and the next call opens a new one.
    pub async fn call<Req, Resp>(
        &self,
        peer: SocketAddr,
        method: &'static str,
        request: Req,
    ) -> Result<Resp, CallError>
    where
        Req: Message + 'static,
        Resp: Default + Message + 'static,
    {
        self.call_within(peer, method, request, self.timeout).await
    }

    /// Like [`call`](Self::call), with a timeout for this call.
    ///
    /// # Errors
    ///
    /// See [`call`](Self::call).
    pub async fn call_within<Req, Resp>(
        &self,
        peer: SocketAddr,
        method: &'static str,
        request: Req,
        timeout: Millis,
    ) -> Result<Resp, CallError>
    where
        Req: Message + 'static,
        Resp: Default + Message + 'static,
    {
        self.call_large(peer, method, request, timeout, MAX_MESSAGE_BYTES)
            .await
    }

    /// Like [`call_within`](Self::call_within), for replies of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// See [`call`](Self::call).
    pub async fn call_large<Req, Resp>(
        &self,
        peer: SocketAddr,
        method: &'static str,
        request: Req,
        timeout: Millis,
        max_bytes: usize,
    ) -> Result<Resp, CallError>
    where
        Req: Message + 'static,
        Resp: Default + Message + 'static,
    {
        let error = |step, cause| CallError {
            step,
            method,
            peer,
            cause,
        };
        let size = request.encoded_len();
        if size > MAX_MESSAGE_BYTES {
            let cause = format!("{size} bytes exceed the limit of {MAX_MESSAGE_BYTES}");
            return Err(error(Step::Encode, cause));
        }
        let channel = self.channel(peer);
        let sent = self.send(channel, method, request, max_bytes);
        match tokio::time::timeout(timeout.duration(), sent).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(status)) => {
                let step = failed_step(&status);
                if step != Step::Reply {
                    self.channels.remove(&peer);
                }
                Err(error(step, root_cause(&status)))
            }
            Err(_) => {
                self.channels.remove(&peer);
                Err(error(Step::Wait, format!("timed out after {timeout}")))
            }
        }
    }

    async fn send<Req, Resp>(
        &self,
        channel: Channel,
        method: &'static str,
        request: Req,
        max_bytes: usize,
    ) -> Result<Resp, Status>
    where
        Req: Message + 'static,
        Resp: Default + Message + 'static,
    {
        let path = PathAndQuery::try_from(format!("/{SERVICE}/{method}"));
        let path = path.map_err(|e| Status::internal(e.to_string()))?;
        let mut grpc = tonic::client::Grpc::new(channel)
            .max_decoding_message_size(max_bytes)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let ready = grpc.ready().await;
        ready.map_err(|e| Status::from_error(Box::new(e)))?;
        self.traffic.add_message_out();
        let mut request = Request::new(request);
        stamps::inject(self.events.as_ref(), request.metadata_mut());
        let codec = ProstCodec::<Req, Resp>::default();
        let reply = grpc.unary(request, path, codec).await?;
        stamps::extract(self.events.as_ref(), reply.metadata());
        self.traffic.add_message_in();
        Ok(reply.into_inner())
    }

    /// Closes channels that have been idle for 30 s. Callers run this every few
    /// seconds.
    pub fn close_idle(&self) {
        self.close_idle_after(CHANNEL_IDLE_TIMEOUT);
    }

    /// Closes channels that have been idle for `limit`. Calls that are still
    /// running complete normally.
    pub fn close_idle_after(&self, limit: Millis) {
        let mut idle = Vec::new();
        self.channels.each(|peer, pooled| {
            if pooled.last_used.elapsed() >= limit.duration() {
                idle.push(*peer);
            }
        });
        for peer in idle {
            self.channels.remove(&peer);
        }
    }

    /// Returns the number of open channels.
    #[must_use]
    pub fn open_channels(&self) -> usize {
        let mut count = 0;
        self.channels.each(|_, _| count += 1);
        count
    }

    fn channel(&self, peer: SocketAddr) -> Channel {
        let new = || PooledChannel {
            channel: open_channel(peer, Arc::clone(&self.traffic)),
            last_used: Instant::now(),
        };
        self.channels.with(peer, new, |pooled| {
            pooled.last_used = Instant::now();
            pooled.channel.clone()
        })
    }
}

fn open_channel(peer: SocketAddr, traffic: Arc<Traffic>) -> Channel {
    // The URI only sets the `:authority` header; the connector below connects
    // to `peer`.
    let endpoint = Endpoint::from_static("http://peer");
    endpoint.connect_with_connector_lazy(tower::service_fn(move |_| {
        let traffic = Arc::clone(&traffic);
        async move { connect(peer, traffic).await.map(TokioIo::new) }
    }))
}

async fn connect(peer: SocketAddr, traffic: Arc<Traffic>) -> io::Result<CountedStream> {
    let connecting = TcpStream::connect(peer);
    match tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting).await {
        Ok(stream) => CountedStream::new(stream?, traffic),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("timed out after {CONNECT_TIMEOUT}"),
        )),
    }
}

/// Returns the step at which a call failed. Only a failed connection attempt
/// proves that the peer has not received the request.
fn failed_step(status: &Status) -> Step {
    let mut source = std::error::Error::source(status);
    if source.is_none() {
        return Step::Reply;
    }
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return Step::Connect;
        }
        source = error.source();
    }
    Step::Wait
}

/// Returns the text of the innermost error, which is the most specific.
fn root_cause(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        text = error.to_string();
        source = error.source();
    }
    text
}
