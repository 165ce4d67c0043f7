//! Accepts connections and stops without cutting off a request.

use std::{convert::Infallible, fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use socket2::{SockFilter, SockRef};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};
use volo_http::{body::Body, context::ServerContext, server::Router};

use super::socket::Socket;

/// What a server spends on its connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many connections are open at the most.
    pub connections: u32,
    /// How many bytes a request's head may have.
    pub head: usize,
    /// How long a caller may take to send a head, which also ends connections
    /// that are idle for as long.
    pub patience: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            head: 32 * 1024,
            patience: Duration::from_secs(10),
        }
    }
}

/// How many connections over the limit are told so at the same time. Further
/// ones are closed without an answer, so that a flood costs no memory.
const REJECTIONS: u32 = 64;

/// How long connections are still accepted after new ones are turned away. A
/// handshake that was under way ends within a round trip between regions.
const LAST: Duration = Duration::from_millis(250);

/// How long a connection without a request is kept at a stop, because its caller
/// may have sent the first one already.
const FIRST: Duration = Duration::from_secs(1);

const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-savorybeam-code: too-many-connections\r\nx-savorybeam-outcome: not-run\r\n\
    retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The address could not be bound.
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
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the address that was bound, with the port that was assigned if
    /// port 0 was asked for.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting, and returns when every running request has its whole
    /// answer. There is no time limit, because a large download may take long.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // The task only fails if it panicked, and then nothing runs any more.
        let _ = self.task.await;
    }
}

/// Binds an address and serves the router there.
///
/// # Errors
///
/// Returns the address with the cause if it cannot be bound.
pub async fn bind(addr: SocketAddr, limits: Limits, router: Router) -> Result<Server, BindError> {
    let err = |cause| BindError { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(err)?;
    let addr = listener.local_addr().map_err(err)?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept(listener, limits, Arc::new(router), stopped));
    Ok(Server { addr, stop, task })
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    router: Arc<Router>,
    stopped: watch::Receiver<bool>,
) {
    let open = Arc::new(Semaphore::new(limits.connections as usize));
    let rejections = Arc::new(Semaphore::new(REJECTIONS as usize));
    let mut running = JoinSet::new();
    let mut stop = stopped.clone();
    loop {
        tokio::select! {
            () = stopping(&mut stop) => break,
            Some(_) = running.join_next() => {}
            conn = listener.accept() => match conn {
                Ok((stream, peer)) => match open.clone().try_acquire_owned() {
                    Ok(permit) => {
                        let conn = serve(stream, peer, limits, router.clone(), stopped.clone());
                        running.spawn(async move {
                            conn.await;
                            drop(permit);
                        });
                    }
                    Err(_) => reject(stream, &rejections),
                },
                Err(e) => {
                    tracing::warn!("http: accept failed: {e}.");
                    // Out of file descriptors: waiting lets running requests
                    // end and give theirs back.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
        }
    }
    refuse(&listener);
    let end = tokio::time::Instant::now() + LAST;
    while let Ok(conn) = tokio::time::timeout_at(end, listener.accept()).await {
        // The limit does not apply to the last few, which are connected already.
        if let Ok((stream, peer)) = conn {
            running.spawn(serve(stream, peer, limits, router.clone(), stopped.clone()));
        }
    }
    drop(listener);
    while running.join_next().await.is_some() {}
}

/// Turns new connections away in the kernel, while those whose handshake has
/// begun can still be accepted.
///
/// Closing a listener resets connections that nobody has accepted yet, although
/// their callers may have sent requests. A dropped SYN is sent again after the
/// listener is closed and is refused then.
fn refuse(listener: &TcpListener) {
    const FLAGS: u32 = 13;
    const SYN: u32 = 0x02;
    // The numbers are the published codes of classic BPF: load a byte, jump if a
    // bit is set, return the length to keep.
    let filter = [
        SockFilter::new(0x30, 0, 0, FLAGS),
        SockFilter::new(0x45, 0, 1, SYN),
        SockFilter::new(0x06, 0, 0, 0),
        SockFilter::new(0x06, 0, 0, u32::MAX),
    ];
    if let Err(e) = SockRef::from(listener).attach_filter(&filter) {
        tracing::warn!("http: turn new connections away: {e}.");
    }
}

/// Waits until the server is to stop. The channel's guard is dropped at once,
/// since it must not be held across an await.
async fn stopping(stopped: &mut watch::Receiver<bool>) {
    let _ = stopped.wait_for(|s| *s).await.is_ok();
}

fn reject(mut stream: TcpStream, rejections: &Arc<Semaphore>) {
    let Ok(permit) = rejections.clone().try_acquire_owned() else {
        return;
    };
    tokio::spawn(async move {
        let write = stream.write_all(TOO_MANY);
        let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
        drop(permit);
    });
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    router: Arc<Router>,
    mut stopped: watch::Receiver<bool>,
) {
    // Answers are often one small segment, which must not wait for an ACK.
    let _ = stream.set_nodelay(true);
    let used = Arc::new(Notify::new());
    let seen = used.clone();
    let service = service_fn(move |req: http::Request<Incoming>| {
        seen.notify_one();
        let router = router.clone();
        async move {
            let mut cx = ServerContext::new(peer.into());
            let resp = router.call(&mut cx, req.map(Body::from_incoming)).await;
            Ok::<_, Infallible>(resp.unwrap_or_else(|never| match never {}))
        }
    });
    // A peer takes a closed connection for the end of its request's work. hyper
    // drops its socket before that work, so another handle keeps it open.
    let socket = Socket::new(stream);
    let _open = socket.clone();
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.patience)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = stopping(&mut stopped) => {
            // The shutdown would close a connection without a request at once.
            tokio::select! {
                _ = conn.as_mut() => return,
                () = used.notified() => {}
                () = tokio::time::sleep(FIRST) => {}
            }
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        tracing::debug!("http: connection from {peer} ended: {e}.");
    }
}
