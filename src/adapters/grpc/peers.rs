//! The calling side.

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
    MESSAGE_MAX, SERVICE,
    traffic::{Counted, Traffic},
};
use crate::domain::{Millis, ParseError, Shards};

/// How long a connection attempt may take. It is more than three times the
/// round trip between regions.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// How long an unused channel is kept. Probes go to random peers, so without
/// this limit each entry would hold a connection to every other one.
const IDLE_LIMIT: Millis = Millis(30_000);

/// The part of a call that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The message exceeds the limit, so nothing was sent.
    Encode,
    /// No connection was made, so the peer has not seen the call.
    Connect,
    /// There was no reply. The peer may have taken the call.
    Wait,
    /// The reply is an error or cannot be read.
    Reply,
}

/// Why a call to a peer failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// The step that failed.
    pub step: Step,
    /// The method.
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
    /// Returns the error for a reply whose values are not valid.
    #[must_use]
    pub fn unreadable(method: &'static str, peer: SocketAddr, error: &ParseError) -> Self {
        Self {
            step: Step::Reply,
            method,
            peer,
            cause: error.to_string(),
        }
    }
}

#[derive(Clone, Debug)]
struct Link {
    channel: Channel,
    used: Instant,
}

/// Channels to other entries, by address, opened at the first call.
#[derive(Debug)]
pub struct Peers {
    links: Shards<SocketAddr, Link>,
    timeout: Millis,
    traffic: Arc<Traffic>,
}

impl Peers {
    /// Returns an empty pool whose calls fail after `timeout` and count into
    /// `traffic`.
    #[must_use]
    pub fn new(timeout: Millis, traffic: Arc<Traffic>) -> Self {
        Self {
            links: Shards::new(),
            timeout,
            traffic,
        }
    }

    /// Calls a method of the entry at `peer` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns the step that failed and the peer. A call that timed out also
    /// drops the channel, so that the next call opens a new connection: the old
    /// one may have become silent.
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

    /// Does the same as [`call`](Self::call) with another timeout.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
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
        let error = |step, cause| CallError {
            step,
            method,
            peer,
            cause,
        };
        let size = request.encoded_len();
        if size > MESSAGE_MAX {
            let cause = format!("{size} bytes exceed the limit of {MESSAGE_MAX}");
            return Err(error(Step::Encode, cause));
        }
        let channel = self.channel(peer);
        let sent = send(channel, method, request, &self.traffic);
        match tokio::time::timeout(timeout.duration(), sent).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(status)) => {
                let step = step(&status);
                if step != Step::Reply {
                    self.links.remove(&peer);
                }
                Err(error(step, cause(&status)))
            }
            Err(_) => {
                self.links.remove(&peer);
                Err(error(Step::Wait, format!("timed out after {timeout}")))
            }
        }
    }

    /// Closes channels that have not been used for 30 s. Call it every few
    /// seconds.
    pub fn sweep(&self) {
        self.sweep_idle(IDLE_LIMIT);
    }

    /// Closes channels that have not been used for `limit`. Running calls end
    /// undisturbed.
    pub fn sweep_idle(&self, limit: Millis) {
        let mut idle = Vec::new();
        self.links.each(|peer, link| {
            if link.used.elapsed() >= limit.duration() {
                idle.push(*peer);
            }
        });
        for peer in idle {
            self.links.remove(&peer);
        }
    }

    /// Returns the number of open channels.
    #[must_use]
    pub fn open(&self) -> usize {
        let mut count = 0;
        self.links.each(|_, _| count += 1);
        count
    }

    fn channel(&self, peer: SocketAddr) -> Channel {
        let new = || Link {
            channel: open(peer, Arc::clone(&self.traffic)),
            used: Instant::now(),
        };
        self.links.with(peer, new, |link| {
            link.used = Instant::now();
            link.channel.clone()
        })
    }
}

fn open(peer: SocketAddr, traffic: Arc<Traffic>) -> Channel {
    // The address only fills the `:authority` header; the connector below
    // connects to `peer`.
    let endpoint = Endpoint::from_static("http://peer");
    endpoint.connect_with_connector_lazy(tower::service_fn(move |_| {
        let traffic = Arc::clone(&traffic);
        async move { connect(peer, traffic).await.map(TokioIo::new) }
    }))
}

async fn connect(peer: SocketAddr, traffic: Arc<Traffic>) -> io::Result<Counted> {
    let connecting = TcpStream::connect(peer);
    match tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting).await {
        Ok(stream) => Counted::new(stream?, traffic),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("timed out after {CONNECT_TIMEOUT}"),
        )),
    }
}

async fn send<Req, Resp>(
    channel: Channel,
    method: &'static str,
    request: Req,
    traffic: &Traffic,
) -> Result<Resp, Status>
where
    Req: Message + 'static,
    Resp: Default + Message + 'static,
{
    let path = PathAndQuery::try_from(format!("/{SERVICE}/{method}"));
    let path = path.map_err(|e| Status::internal(e.to_string()))?;
    let mut grpc = tonic::client::Grpc::new(channel)
        .max_decoding_message_size(MESSAGE_MAX)
        .max_encoding_message_size(MESSAGE_MAX);
    let ready = grpc.ready().await;
    ready.map_err(|e| Status::from_error(Box::new(e)))?;
    traffic.message_out();
    let codec = ProstCodec::<Req, Resp>::default();
    let reply = grpc.unary(Request::new(request), path, codec).await?;
    traffic.message_in();
    Ok(reply.into_inner())
}

/// Only a failed connection attempt proves that the peer has not seen the call.
fn step(status: &Status) -> Step {
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

/// Returns the innermost cause, which names the fault.
fn cause(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        text = error.to_string();
        source = error.source();
    }
    text
}
