//! Accepts connections and shuts down without interrupting running requests.

use std::{
    convert::Infallible,
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    task::{JoinHandle, JoinSet},
    time::timeout,
};
use volo::net::Address;
use volo_http::{context::ServerContext, server::Router};

use super::{socket::Socket, unread};

/// Resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: u32,
    /// The maximum size of a request's head.
    pub head_bytes: usize,
    /// How long a caller may take to send a request's head. It is also the idle
    /// timeout of a connection.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// How many connections over the limit are sent a 503 response at the same time.
/// Further ones are closed without a response, which bounds the memory that a
/// flood of connections uses.
const MAX_REJECTIONS: u32 = 64;

/// How long a connection over the limit stays open for its response.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a stopping server still accepts connections after it has begun to
/// drop SYN packets. A TCP handshake that has begun completes within one round
/// trip between regions.
const ACCEPT_GRACE: Duration = Duration::from_millis(250);

/// How long a stopping server waits for the first request on a connection that
/// has had none, because the caller may have sent it already.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// The send buffer of a connection in the kernel, which doubles it. Otherwise it grows to
/// several MiB of a response whose caller has stopped to read.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-savorybeam-code: too-many-connections\r\nx-savorybeam-outcome: not-run\r\n\
    retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A failure to bind an address.
#[derive(Debug)]
pub struct BindError {
    /// The address.
    pub addr: SocketAddr,
    /// The cause.
    pub cause: io::Error,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bind to {}: {}", self.addr, self.cause)
    }
}

impl std::error::Error for BindError {}

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    phase: watch::Sender<Phase>,
    task: JoinHandle<()>,
}

/// How far the stop of a server has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// It accepts connections.
    Serving,
    /// It completes the running requests.
    Draining,
    /// It closes all connections.
    Aborting,
}

impl Server {
    /// Returns the bound address. If port 0 was requested, it contains the port
    /// that the kernel assigned.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections and returns when the responses to all running
    /// requests are complete. There is no timeout, because a large download may
    /// take long.
    pub async fn stop(self) {
        self.phase.send_replace(Phase::Draining);
        // Joining fails only if the task panicked, and then no request runs.
        let _ = self.task.await;
    }

    /// Stops like [`Server::stop`], but closes the connections of requests that
    /// still run after `limit`, and returns when their handlers have been
    /// dropped. Returns whether all responses were complete.
    pub async fn stop_within(mut self, limit: Duration) -> bool {
        self.phase.send_replace(Phase::Draining);
        if timeout(limit, &mut self.task).await.is_ok() {
            return true;
        }
        self.phase.send_replace(Phase::Aborting);
        let _ = self.task.await;
        false
    }
}

/// Returns the IP address of a peer, none over a Unix socket, which no server of
/// this project listens on.
#[must_use]
pub fn peer_ip(peer: &Address) -> Option<IpAddr> {
    match peer {
        Address::Ip(addr) => Some(addr.ip()),
        Address::Unix(_) => None,
    }
}

/// Binds an address and serves `router` on it.
///
/// # Errors
///
/// Returns the address with the cause if it cannot be bound.
pub async fn bind(addr: SocketAddr, limits: Limits, router: Router) -> Result<Server, BindError> {
    let err = |cause| BindError { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(err)?;
    let addr = listener.local_addr().map_err(err)?;
    let (phase, phases) = watch::channel(Phase::Serving);
    let task = tokio::spawn(accept(listener, limits, Arc::new(router), phases));
    Ok(Server { addr, phase, task })
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    router: Arc<Router>,
    phases: watch::Receiver<Phase>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections as usize));
    let rejections = Arc::new(Semaphore::new(MAX_REJECTIONS as usize));
    let mut running = JoinSet::new();
    let mut phase = phases.clone();
    loop {
        tokio::select! {
            () = wait_for(&mut phase, Phase::Draining) => break,
            Some(_) = running.join_next() => {}
            conn = listener.accept() => match conn {
                Ok((stream, peer)) => match permits.clone().try_acquire_owned() {
                    Ok(permit) => {
                        let conn = serve(stream, peer, limits, router.clone(), phases.clone());
                        running.spawn(async move {
                            conn.await;
                            drop(permit);
                        });
                    }
                    Err(_) => reject(stream, &rejections),
                },
                Err(e) => {
                    tracing::warn!("http: accept failed: {e}.");
                    // The usual cause is a lack of file descriptors; the pause
                    // lets running requests finish and release theirs.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
        }
    }
    drop_syns(&listener);
    let deadline = tokio::time::Instant::now() + ACCEPT_GRACE;
    while let Ok(conn) = tokio::time::timeout_at(deadline, listener.accept()).await {
        // These few are connected already, so the limit does not apply.
        if let Ok((stream, peer)) = conn {
            running.spawn(serve(stream, peer, limits, router.clone(), phases.clone()));
        }
    }
    drop(listener);
    let completed = async { while running.join_next().await.is_some() {} };
    tokio::select! {
        () = completed => return,
        () = wait_for(&mut phase, Phase::Aborting) => {}
    }
    running.shutdown().await;
}

/// Attaches a socket filter that drops SYN packets, while connections whose
/// handshake has begun can still be accepted.
///
/// Closing a listener resets the connections in its accept queue, although their
/// callers may have sent requests. A caller whose SYN was dropped retransmits it
/// after the listener is closed, and the connection is refused then.
fn drop_syns(listener: &TcpListener) {
    const FLAGS_OFFSET: u32 = 13;
    const SYN_FLAG: u32 = 0x02;
    // Classic BPF opcodes: 0x30 loads a byte, 0x45 jumps if a bit is set, and
    // 0x06 returns how many bytes of the packet to keep.
    let filter = [
        SockFilter::new(0x30, 0, 0, FLAGS_OFFSET),
        SockFilter::new(0x45, 0, 1, SYN_FLAG),
        SockFilter::new(0x06, 0, 0, 0),
        SockFilter::new(0x06, 0, 0, u32::MAX),
    ];
    if let Err(e) = SockRef::from(listener).attach_filter(&filter) {
        tracing::warn!("http: attach the filter that drops SYN packets: {e}.");
    }
}

/// Waits until a stop has come to the given phase. A server whose handle was
/// dropped drains and aborts nothing. The channel's guard is dropped at once,
/// since it must not be held across an await.
async fn wait_for(current: &mut watch::Receiver<Phase>, phase: Phase) {
    let reached = current.wait_for(|c| *c >= phase).await.is_ok();
    if !reached && phase == Phase::Aborting {
        std::future::pending::<()>().await;
    }
}

fn reject(mut stream: TcpStream, rejections: &Arc<Semaphore>) {
    let Ok(permit) = rejections.clone().try_acquire_owned() else {
        return;
    };
    tokio::spawn(async move {
        // Without an effect if the caller has gone.
        let _ = timeout(REJECTION_TIMEOUT, send_rejection(&mut stream)).await;
        drop(permit);
    });
}

/// Sends the 503 response and discards the request, because closing a socket
/// with unread data resets the connection and may destroy the response.
async fn send_rejection(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(TOO_MANY_CONNECTIONS).await?;
    stream.shutdown().await?;
    let mut buf = [0; 1024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    router: Arc<Router>,
    mut phase: watch::Receiver<Phase>,
) {
    // Responses are often one small segment, which Nagle's algorithm would hold
    // back until an ACK arrives.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let first_request = Arc::new(Notify::new());
    let notify = first_request.clone();
    let service = service_fn(move |req: http::Request<Incoming>| {
        notify.notify_one();
        let router = router.clone();
        async move {
            let mut cx = ServerContext::new(peer.into());
            let (req, unread) = unread::track(req);
            let resp = router.call(&mut cx, req).await;
            let resp = resp.unwrap_or_else(|never| match never {});
            Ok::<_, Infallible>(unread::discard(unread, resp))
        }
    });
    // A peer assumes that the work on its request has ended when the connection
    // closes. hyper drops its socket before it drops that work, so this clone
    // keeps the connection open until then.
    let socket = Socket::new(stream);
    let _keep_open = socket.clone();
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = wait_for(&mut phase, Phase::Draining) => {
            // `graceful_shutdown` closes a connection without a request at once.
            tokio::select! {
                _ = conn.as_mut() => return,
                () = first_request.notified() => {}
                () = tokio::time::sleep(FIRST_REQUEST_GRACE) => {}
            }
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        tracing::debug!("http: connection from {peer} ended: {e}.");
    }
}
