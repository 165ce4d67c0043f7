//! The gRPC server of an entry.

use std::{
    collections::HashMap,
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::stream::{self, Stream};
use prost::Message;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tonic::{Request, Response, Status, body::Body, server::NamedService};
use tonic_prost::ProstCodec;

use super::{
    MAX_MESSAGE_BYTES, SERVICE,
    sender::malformed,
    stamps,
    traffic::{CountedStream, Traffic},
};
use crate::{
    domain::{Millis, ParseError},
    ports::Events,
};

/// How long to wait after `accept` failed. It fails when the process is out of
/// file descriptors, and retrying without a delay would fully occupy a core.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

type ReplyFuture = Pin<Box<dyn Future<Output = http::Response<Body>> + Send>>;
type Handler = Arc<dyn Fn(http::Request<Body>) -> ReplyFuture + Send + Sync>;

/// The methods of a server, each with the closure that handles its requests.
#[derive(Clone, Default)]
pub struct Routes {
    methods: HashMap<String, Handler>,
    traffic: Arc<Traffic>,
    events: Option<Events>,
}

impl fmt::Debug for Routes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<_> = self.methods.keys().collect();
        names.sort();
        f.debug_tuple("Routes").field(&names).finish()
    }
}

impl Routes {
    /// Returns an empty set of methods. Their messages and bytes are counted in
    /// `traffic`.
    #[must_use]
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            methods: HashMap::new(),
            traffic,
            events: None,
        }
    }

    /// Exchanges stamps in the metadata of requests and replies. This applies
    /// only to methods that are added afterwards.
    #[must_use]
    pub fn with_events(mut self, events: Events) -> Self {
        self.events = Some(events);
        self
    }

    /// Adds a unary method, for example `Probe`. Adding a method again replaces
    /// its closure.
    #[must_use]
    pub fn route<Req, Resp, F, Fut>(self, method: &str, f: F) -> Self
    where
        F: Clone + Fn(Req) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
        Req: Default + Message + 'static,
        Resp: Default + Message + 'static,
    {
        self.route_large(method, MAX_MESSAGE_BYTES, f)
    }

    /// Like [`route`](Self::route), for replies of up to `max_bytes`.
    #[must_use]
    pub fn route_large<Req, Resp, F, Fut>(mut self, method: &str, max_bytes: usize, f: F) -> Self
    where
        F: Clone + Fn(Req) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
        Req: Default + Message + 'static,
        Resp: Default + Message + 'static,
    {
        let (traffic, events) = (Arc::clone(&self.traffic), self.events.clone());
        let handler = move |request| -> ReplyFuture {
            let (f, traffic, events) = (f.clone(), Arc::clone(&traffic), events.clone());
            Box::pin(handle_unary(request, max_bytes, f, traffic, events))
        };
        self.methods
            .insert(format!("/{SERVICE}/{method}"), Arc::new(handler));
        self
    }

    /// Like [`route`](Self::route), for a closure that takes and returns decoded
    /// values. A request that cannot be decoded is rejected.
    pub(super) fn route_decoded<Req, Resp, In, Out, F, Fut>(
        self,
        method: &str,
        decode: fn(Req) -> Result<In, ParseError>,
        f: F,
        encode: fn(&Out) -> Resp,
    ) -> Self
    where
        F: Clone + Fn(In) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Out, Status>> + Send,
        In: Send + 'static,
        Out: 'static,
        Req: Default + Message + 'static,
        Resp: Default + Message + 'static,
    {
        self.route(method, move |message| {
            let f = f.clone();
            async move {
                let value = decode(message).map_err(malformed)?;
                f(value).await.map(|reply| encode(&reply))
            }
        })
    }
}

async fn handle_unary<Req, Resp, F, Fut>(
    request: http::Request<Body>,
    max_bytes: usize,
    f: F,
    traffic: Arc<Traffic>,
    events: Option<Events>,
) -> http::Response<Body>
where
    F: Fn(Req) -> Fut + Send + 'static,
    Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
    Req: Default + Message + 'static,
    Resp: Default + Message + 'static,
{
    traffic.add_message_in();
    let unary = tower::service_fn(move |request: Request<Req>| {
        let events = events.clone();
        stamps::extract(events.as_ref(), request.metadata());
        let reply = f(request.into_inner());
        async move {
            let mut reply = Response::new(reply.await?);
            stamps::inject(events.as_ref(), reply.metadata_mut());
            Ok(reply)
        }
    });
    let reply = tonic::server::Grpc::new(ProstCodec::<Resp, Req>::default())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(max_bytes)
        .unary(unary, request)
        .await;
    traffic.add_message_out();
    reply
}

#[derive(Clone)]
struct PeerService(Arc<HashMap<String, Handler>>);

impl NamedService for PeerService {
    const NAME: &'static str = SERVICE;
}

impl tower::Service<http::Request<Body>> for PeerService {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let Some(handler) = self.0.get(request.uri().path()) else {
            let unknown = Status::unimplemented("no such method").into_http();
            return Box::pin(std::future::ready(Ok(unknown)));
        };
        let reply = handler(request);
        Box::pin(async move { Ok(reply.await) })
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the address of the listener. If port 0 was requested, this has
    /// the port that the operating system chose.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections and waits up to `limit` for running calls.
    /// Then it closes the remaining connections, since a peer that no longer
    /// reads would keep the process from exiting. Returns whether all calls
    /// ended in time.
    pub async fn stop(mut self, limit: Millis) -> bool {
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(limit.duration(), &mut self.task).await;
        if ended.is_err() {
            tracing::warn!(
                "grpc: closing connections with calls still running {limit} after the stop"
            );
            self.task.abort();
        }
        ended.is_ok()
    }
}

/// Binds `addr` and starts to serve `routes`.
///
/// # Errors
///
/// Returns the operating system's error, with the address, if the address
/// cannot be bound.
pub async fn bind(addr: SocketAddr, routes: Routes) -> io::Result<Server> {
    let with_addr = |e: io::Error| io::Error::new(e.kind(), format!("bind {addr}: {e}"));
    let listener = TcpListener::bind(addr).await.map_err(with_addr)?;
    let addr = listener.local_addr().map_err(with_addr)?;
    let (stop, mut stopped) = watch::channel(false);
    let Routes {
        methods, traffic, ..
    } = routes;
    let service = PeerService(Arc::new(methods));
    let serving = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(accept(listener, traffic), async move {
            // An error means that the `Server` was dropped, which also stops
            // the listener.
            let _ = stopped.wait_for(|s| *s).await;
        });
    let task = tokio::spawn(async move {
        if let Err(e) = serving.await {
            tracing::error!("grpc: server on {addr} failed: {e}");
        }
    });
    Ok(Server { addr, stop, task })
}

fn accept(
    listener: TcpListener,
    traffic: Arc<Traffic>,
) -> impl Stream<Item = io::Result<CountedStream>> {
    stream::unfold((listener, traffic), |(listener, traffic)| async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let counted = CountedStream::new(stream, Arc::clone(&traffic));
                    return Some((counted, (listener, traffic)));
                }
                Err(e) => {
                    tracing::warn!("grpc: accept failed: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
                }
            }
        }
    })
}
