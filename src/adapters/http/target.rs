//! Connections to targets.
//!
//! Idle connections are kept for each target in a shard of their own lock. A
//! connection that sat idle for long is not used again, because something
//! between the two ends may have lost track of it. The kernel's keepalive finds
//! silent connections while a request runs; it needs no cooperation of the
//! target, so a slow target is not mistaken for a silent connection.

use std::{sync::Arc, time::Duration};

use http::Response;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    domain::{Millis, Shards, TargetId},
    ports::{Body, Clock, Outbound, SendError, Targets},
};

/// How long a connection may take to open. Between regions it takes about
/// 70 ms.
const CONNECT: Millis = Millis(1_000);

/// How long an idle connection is kept.
const IDLE: Millis = Millis(10_000);

/// How many idle connections are kept for each target.
const KEPT: usize = 64;

struct Idle {
    sender: SendRequest<Body>,
    since: Millis,
}

type Pool = Arc<Shards<TargetId, Vec<Idle>>>;

/// Opens a pool of connections to targets.
#[must_use]
pub fn open(clock: Clock) -> Targets {
    let pool: Pool = Arc::default();
    Targets {
        send: Arc::new(move |out| {
            let (pool, clock) = (pool.clone(), clock.clone());
            Box::pin(async move { send(&pool, &clock, out).await })
        }),
    }
}

async fn send(pool: &Pool, clock: &Clock, out: Outbound) -> Result<Response<Body>, SendError> {
    let Outbound {
        target,
        mut request,
    } = out;
    while let Some(mut sender) = checkout(pool, target, (clock.now)()) {
        match sender.try_send_request(request).await {
            Ok(resp) => return Ok(keep(pool, clock, target, sender, resp)),
            Err(mut e) => match e.take_message() {
                // The connection closed while it was idle. Nothing of the
                // request was written, so another connection may take it.
                Some(unsent) => request = unsent,
                None => return Err(unknown(target, &e.into_error())),
            },
        }
    }
    let mut sender = connect(target).await?;
    match sender.try_send_request(request).await {
        Ok(resp) => Ok(keep(pool, clock, target, sender, resp)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::Unsent {
                step: "send to",
                peer: target,
                cause: e.into_error().to_string(),
            }),
            None => Err(unknown(target, &e.into_error())),
        },
    }
}

fn unknown(peer: TargetId, e: &hyper::Error) -> SendError {
    SendError::Unknown {
        step: "answer from",
        peer,
        cause: e.to_string(),
        broken: true,
    }
}

/// Takes an idle connection that is young enough and still open.
fn checkout(pool: &Pool, target: TargetId, now: Millis) -> Option<SendRequest<Body>> {
    pool.get(&target, |idle| {
        while let Some(conn) = idle.pop() {
            if now - conn.since < IDLE && conn.sender.is_ready() {
                return Some(conn.sender);
            }
        }
        None
    })
    .flatten()
}

/// Returns the answer, and puts the connection back once its body has ended.
fn keep(
    pool: &Pool,
    clock: &Clock,
    target: TargetId,
    mut sender: SendRequest<Body>,
    resp: Response<hyper::body::Incoming>,
) -> Response<Body> {
    let (pool, clock) = (pool.clone(), clock.clone());
    tokio::spawn(async move {
        if sender.ready().await.is_err() {
            return;
        }
        let since = (clock.now)();
        pool.with(target, Vec::new, |idle| {
            idle.retain(|c| since - c.since < IDLE && !c.sender.is_closed());
            if idle.len() < KEPT {
                idle.push(Idle { sender, since });
            }
        });
    });
    resp.map(|body| body.map_err(Into::into).boxed())
}

async fn connect(target: TargetId) -> Result<SendRequest<Body>, SendError> {
    let failed = |step, cause: String| SendError::Unsent {
        step,
        peer: target,
        cause,
    };
    let stream = timeout(CONNECT.duration(), TcpStream::connect(target.0)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(failed("connect to", e.to_string())),
        Err(_) => return Err(failed("connect to", format!("timed out after {CONNECT}"))),
    };
    tune(&stream).map_err(|e| failed("configure connection to", e.to_string()))?;
    let (sender, conn) = http1::handshake::<_, Body>(TokioIo::new(stream))
        .await
        .map_err(|e| failed("handshake with", e.to_string()))?;
    tokio::spawn(async move {
        if let Err(e) = conn.await {
            tracing::debug!("target: connection to {target} ended: {e}.");
        }
    });
    Ok(sender)
}

/// Makes the kernel notice within about 5 s that the other end has lost track
/// of the connection.
fn tune(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(2))
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_secs(5)))?;
    socket.set_tcp_nodelay(true)
}
