//! The listening side.

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
    MESSAGE_MAX, SERVICE,
    traffic::{Counted, Traffic},
};
use crate::domain::Millis;

/// The pause after a failed accept. It fails when the process is out of file
/// descriptors, and an immediate retry would use a whole core.
const ACCEPT_PAUSE: Millis = Millis(50);

type Reply = Pin<Box<dyn Future<Output = http::Response<Body>> + Send>>;
type Handler = Arc<dyn Fn(http::Request<Body>) -> Reply + Send + Sync>;

/// The methods of an entry, each a closure over its messages.
#[derive(Clone, Default)]
pub struct Routes {
    methods: HashMap<String, Handler>,
    traffic: Arc<Traffic>,
}

impl fmt::Debug for Routes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<_> = self.methods.keys().collect();
        names.sort();
        f.debug_tuple("Routes").field(&names).finish()
    }
}

impl Routes {
    /// Returns routes without a method that count into `traffic`.
    #[must_use]
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            methods: HashMap::new(),
            traffic,
        }
    }

    /// Adds a unary method, for example `Probe`. A second closure of the same
    /// method replaces the first.
    #[must_use]
    pub fn route<Req, Resp, F, Fut>(mut self, method: &str, f: F) -> Self
    where
        F: Clone + Fn(Req) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
        Req: Default + Message + 'static,
        Resp: Default + Message + 'static,
    {
        let traffic = Arc::clone(&self.traffic);
        let handler = move |request| -> Reply {
            let (f, traffic) = (f.clone(), Arc::clone(&traffic));
            Box::pin(answer(request, f, traffic))
        };
        self.methods
            .insert(format!("/{SERVICE}/{method}"), Arc::new(handler));
        self
    }
}

async fn answer<Req, Resp, F, Fut>(
    request: http::Request<Body>,
    f: F,
    traffic: Arc<Traffic>,
) -> http::Response<Body>
where
    F: Fn(Req) -> Fut + Send + 'static,
    Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
    Req: Default + Message + 'static,
    Resp: Default + Message + 'static,
{
    traffic.message_in();
    let unary = tower::service_fn(move |request: Request<Req>| {
        let reply = f(request.into_inner());
        async move { reply.await.map(Response::new) }
    });
    let reply = tonic::server::Grpc::new(ProstCodec::<Resp, Req>::default())
        .max_decoding_message_size(MESSAGE_MAX)
        .max_encoding_message_size(MESSAGE_MAX)
        .unary(unary, request)
        .await;
    traffic.message_out();
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
    /// Returns the address at which it accepts, with the port that the
    /// operating system chose if the settings left it open.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting and waits until running calls have ended. After `limit`
    /// the remaining connections are closed, since a peer that no longer reads
    /// would keep the process from ending. Returns whether all calls ended.
    pub async fn stop(mut self, limit: Millis) -> bool {
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(limit.duration(), &mut self.task).await;
        if ended.is_err() {
            tracing::warn!("grpc: calls were still running {limit} after the stop");
            self.task.abort();
        }
        ended.is_ok()
    }
}

/// Starts to serve `routes` at `addr`.
///
/// # Errors
///
/// Returns the error of the operating system, with the address, if it cannot be
/// bound.
pub async fn bind(addr: SocketAddr, routes: Routes) -> io::Result<Server> {
    let failed = |e: io::Error| io::Error::new(e.kind(), format!("bind {addr}: {e}"));
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    let (stop, mut stopped) = watch::channel(false);
    let Routes { methods, traffic } = routes;
    let service = PeerService(Arc::new(methods));
    let serving = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(accept(listener, traffic), async move {
            // An error means that the handle was dropped, which also stops it.
            let _ = stopped.wait_for(|s| *s).await;
        });
    let task = tokio::spawn(async move {
        if let Err(e) = serving.await {
            tracing::error!("grpc: serve {addr}: {e}");
        }
    });
    Ok(Server { addr, stop, task })
}

fn accept(listener: TcpListener, traffic: Arc<Traffic>) -> impl Stream<Item = io::Result<Counted>> {
    stream::unfold((listener, traffic), |(listener, traffic)| async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let counted = Counted::new(stream, Arc::clone(&traffic));
                    return Some((counted, (listener, traffic)));
                }
                Err(e) => {
                    tracing::warn!("grpc: accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
                }
            }
        }
    })
}
