//! A pool of HTTP/1.1 connections to targets.
//!
//! Idle connections are pooled per target, in shards with a lock each. A
//! connection that was idle for too long is not reused, because a middlebox may
//! have dropped its state. TCP keepalive detects silent connections while a
//! request runs. The target's kernel answers the probes, so a slow target is not
//! mistaken for a silent connection.

use std::{
    ops::RangeInclusive,
    sync::{Arc, Mutex},
};

use http::{HeaderValue, Request, Response, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    progress::{BoundedSocket, Progress, ProgressBody},
    socket::{Socket, SocketProbe},
};
use crate::{
    domain::{Millis, Shards, TargetId, lock},
    policy::silence::{
        KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, POOL_IDLE_MAX, TCP_USER_TIMEOUT,
    },
    ports::{Body, Clock, InFlight, Outbound, ReuseCheck, SendError, Targets},
};

/// Limits of the pool of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// The maximum number of idle connections per target.
    pub max_idle: usize,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Millis,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_timeout: POOL_IDLE_MAX,
        }
    }
}

/// The statuses of final responses (RFC 9110, section 15). Those below and above are
/// read without an error, if they have three digits.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How long a target may take to close a connection after this side has. It
/// equals [`TCP_USER_TIMEOUT`], after which the kernel gives up on unacknowledged
/// data.
const CLOSE_TIMEOUT: Millis = Millis(5_000);

/// The size of the read and the write buffer of a connection, each. It bounds the
/// memory that a request body or a response takes while the other side is slow.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The send buffer of a connection in the kernel, which doubles it. Without it the kernel
/// takes several MiB for a target that does not read, and the caller is not held back. It
/// is enough for the longest round trip between regions, 70 ms, at 15 Mbit/s.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// How much of a cancelled response is read and discarded before the connection
/// is reset instead.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// If a request is cancelled without a response after at least this time, the
/// connections that were idle when it was sent are closed too. It is the shortest
/// time after which a connection counts as silent.
const MIN_SILENCE: Millis = Millis(1_000);

/// A connection and the [`InFlight`] of the request that it carries.
struct Conn {
    sender: SendRequest<Body>,
    probe: SocketProbe,
    progress: Progress,
    in_flight: Arc<Mutex<Option<InFlight>>>,
}

impl Conn {
    fn set_in_flight(&self, in_flight: &InFlight) {
        self.progress.record();
        let mut current = lock(&self.in_flight);
        *current = Some(in_flight.clone());
    }
}

fn release_in_flight(in_flight: &Mutex<Option<InFlight>>) {
    drop(lock(in_flight).take());
}

struct IdleConn {
    conn: Conn,
    since: Millis,
    /// Whether a later request to the same target was cancelled before it had a
    /// response.
    suspect: bool,
}

/// The idle connections by target. Each shard has its own lock.
#[derive(Clone)]
struct Pool {
    idle: Arc<Shards<TargetId, Vec<IdleConn>>>,
    config: PoolConfig,
}

impl Pool {
    /// Drops the connections to a target that are expired or closed.
    fn prune(&self, target: TargetId, now: Millis) {
        self.idle.get(&target, |idle| self.retain(idle, now));
    }

    fn retain(&self, idle: &mut Vec<IdleConn>, now: Millis) {
        idle.retain(|c| now - c.since <= self.config.idle_timeout && !c.conn.sender.is_closed());
    }
}

/// Opens a pool of connections to targets.
#[must_use]
pub fn open(clock: Clock, config: PoolConfig) -> Targets {
    let pool = Pool {
        idle: Arc::default(),
        config,
    };
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
        in_flight,
        connect_timeout: limit,
        fresh,
        once_only,
        may_send,
        started,
        may_reuse,
    } = out;
    declare_framing(&mut request);
    let mut guard = SilenceGuard::new(pool, clock, target);
    while !fresh && let Some(mut conn) = checkout(pool, target, (clock.now)(), once_only) {
        conn.set_in_flight(&in_flight);
        started.set();
        match conn.sender.try_send_request(request).await {
            Ok(resp) => {
                guard.disarm();
                return respond(pool, clock, target, conn, resp, &may_reuse);
            }
            Err(mut e) => match e.take_message() {
                // The connection closed while it was idle. No part of the
                // request was written, so it can be sent on another connection.
                Some(unsent) => request = unsent,
                None => return Err(unknown_outcome(target, &e.into_error())),
            },
        }
    }
    // No pooled connection has written any part of the request.
    started.clear();
    let mut conn = connect(target, limit).await?;
    if !may_send() {
        return Err(SendError::Unsent {
            step: "send to",
            peer: target,
            cause: "it was withdrawn while the connection was opened".to_owned(),
        });
    }
    conn.set_in_flight(&in_flight);
    started.set();
    match conn.sender.try_send_request(request).await {
        Ok(resp) => {
            guard.disarm();
            respond(pool, clock, target, conn, resp, &may_reuse)
        }
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::Unsent {
                step: "send to",
                peer: target,
                cause: e.into_error().to_string(),
            }),
            None => Err(unknown_outcome(target, &e.into_error())),
        },
    }
}

/// Declares that a body of unknown length is sent in chunks. Without that, hyper
/// sends a GET, HEAD or CONNECT request without its body.
fn declare_framing(request: &mut Request<Body>) {
    let unknown = !request.body().is_end_stream() && request.body().size_hint().exact().is_none();
    let headers = request.headers_mut();
    if unknown && !headers.contains_key(header::CONTENT_LENGTH) {
        let chunked = HeaderValue::from_static("chunked");
        headers.insert(header::TRANSFER_ENCODING, chunked);
    }
}

/// Closes or marks suspect idle connections if a request is cancelled.
///
/// Whatever made the connection of an unanswered request silent may also affect
/// those that were idle when it was sent. If they stayed in the pool, each would
/// cost one more request its deadline. After a short wait, as before a hedge that
/// answers first, the target may as well be slow, so that they stay for requests
/// that can be repeated.
struct SilenceGuard<'a> {
    pool: &'a Pool,
    clock: &'a Clock,
    target: TargetId,
    sent: Millis,
    disarmed: bool,
}

impl<'a> SilenceGuard<'a> {
    fn new(pool: &'a Pool, clock: &'a Clock, target: TargetId) -> Self {
        Self {
            pool,
            clock,
            target,
            sent: (clock.now)(),
            disarmed: false,
        }
    }

    fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        let sent = self.sent;
        let is_silent = (self.clock.now)() - sent >= MIN_SILENCE;
        self.pool.idle.get(&self.target, |idle| {
            if is_silent {
                idle.retain(|c| c.since >= sent);
            }
            let older = idle.iter_mut().filter(|c| c.since < sent);
            older.for_each(|c| c.suspect = true);
        });
    }
}

fn unknown_outcome(peer: TargetId, e: &hyper::Error) -> SendError {
    SendError::Unknown {
        step: "answer from",
        peer,
        cause: e.to_string(),
        broken: true,
    }
}

/// Takes an idle connection that has not expired and is still open. A request that
/// runs once only gets none that may be silent.
fn checkout(pool: &Pool, target: TargetId, now: Millis, once_only: bool) -> Option<Conn> {
    pool.idle
        .get(&target, |idle| {
            while let Some(last) = idle.iter().rposition(|c| !once_only || !c.suspect) {
                let IdleConn { conn, since, .. } = idle.remove(last);
                let fresh = now - since <= pool.config.idle_timeout;
                if fresh && conn.sender.is_ready() && !conn.probe.is_closed() {
                    return Some(conn);
                }
            }
            None
        })
        .flatten()
}

/// Returns the response, and puts its connection back into the pool if the
/// response allows that. A connection that is dropped instead closes when the
/// response ends, or at once if the status is no final one: HTTP has no such answer,
/// and what follows it on the connection cannot be trusted.
fn respond(
    pool: &Pool,
    clock: &Clock,
    target: TargetId,
    conn: Conn,
    resp: Response<hyper::body::Incoming>,
    may_reuse: &ReuseCheck,
) -> Result<Response<Body>, SendError> {
    let status = resp.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Err(SendError::Unknown {
            step: "answer from",
            peer: target,
            cause: format!("{status} is no status of a final response"),
            broken: false,
        });
    }
    let progress = conn.progress.clone();
    if may_reuse(resp.status(), resp.headers()) {
        pool_when_idle(pool, clock, target, conn);
    }
    Ok(resp.map(|body| {
        ProgressBody::new(body, progress)
            .map_err(Into::into)
            .boxed()
    }))
}

/// Puts a connection back into the pool once the response that it carries has
/// ended.
fn pool_when_idle(pool: &Pool, clock: &Clock, target: TargetId, mut conn: Conn) {
    let (pool, clock) = (pool.clone(), clock.clone());
    tokio::spawn(async move {
        if conn.sender.ready().await.is_err() {
            return;
        }
        release_in_flight(&conn.in_flight);
        conn.probe.set_idle();
        let since = (clock.now)();
        let pooled = pool.idle.with(target, Vec::new, |idle| {
            pool.retain(idle, since);
            let has_room = idle.len() < pool.config.max_idle;
            if has_room {
                idle.push(IdleConn {
                    conn,
                    since,
                    suspect: false,
                });
            }
            has_room
        });
        if pooled {
            // Expired connections are otherwise dropped only when the target is
            // used again, which may never happen.
            tokio::time::sleep((pool.config.idle_timeout + Millis(1)).duration()).await;
            pool.prune(target, (clock.now)());
        }
    });
}

async fn connect(target: TargetId, limit: Millis) -> Result<Conn, SendError> {
    let unsent = |step, cause: String| SendError::Unsent {
        step,
        peer: target,
        cause,
    };
    let stream = timeout(limit.duration(), TcpStream::connect(target.0)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(unsent("connect to", e.to_string())),
        Err(_) => return Err(unsent("connect to", format!("timed out after {limit}"))),
    };
    set_socket_options(&stream).map_err(|e| unsent("configure connection to", e.to_string()))?;
    let socket = Socket::new(stream);
    let probe = socket.probe();
    let progress = Progress::default();
    let socket = BoundedSocket::new(socket, progress.clone());
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake::<_, Body>(TokioIo::new(socket))
        .await
        .map_err(|e| unsent("handshake with", e.to_string()))?;
    let in_flight: Arc<Mutex<Option<InFlight>>> = Arc::default();
    let released = in_flight.clone();
    tokio::spawn(async move {
        match conn.without_shutdown().await {
            Ok(parts) => close(target, parts.io.into_inner().into_inner()).await,
            Err(e) => tracing::debug!("target: connection to {target} ended: {e}."),
        }
        release_in_flight(&released);
    });
    Ok(Conn {
        sender,
        probe,
        progress,
        in_flight,
    })
}

/// Shuts down the sending side and waits until the target has closed its side. A
/// target stops the work on a cancelled request when it sees the shutdown.
async fn close(target: TargetId, mut stream: Socket) {
    let closed = async {
        let mut buf = vec![0; 16 * 1024];
        let mut budget = MAX_DISCARDED_BYTES;
        stream.shutdown().await?;
        loop {
            let n = stream.read(&mut buf).await?;
            if n == 0 || n > budget {
                return Ok::<_, std::io::Error>(());
            }
            budget -= n;
        }
    };
    match timeout(CLOSE_TIMEOUT.duration(), closed).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::debug!("target: close connection to {target}: {e}."),
        Err(_) => tracing::warn!("target: {target} did not close within {CLOSE_TIMEOUT}."),
    }
}

/// Sets the socket options. Keepalive and the user timeout make the kernel fail
/// a connection within about 5 s after its peer has lost the state of it.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE.duration())
        .with_interval(KEEPALIVE_INTERVAL.duration())
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_nodelay(true)
}
