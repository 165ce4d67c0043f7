//! Connections to targets.
//!
//! Idle connections are kept for each target in a shard of their own lock. A
//! connection that sat idle for long is not used again, because something
//! between the two ends may have lost track of it. The kernel's keepalive finds
//! silent connections while a request runs; it needs no cooperation of the
//! target, so a slow target is not mistaken for a silent connection.

use std::sync::{Arc, Mutex, PoisonError};

use http::Response;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::socket::{Socket, Watch};
use crate::{
    domain::{Millis, Shards, TargetId},
    policy::silence::{
        KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, POOL_IDLE_MAX, TCP_USER_TIMEOUT,
    },
    ports::{Body, Clock, InFlight, Outbound, SendError, Targets},
};

/// Which idle connections are kept.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    /// How many for each target.
    pub count: usize,
    /// For how long.
    pub idle: Millis,
}

impl Default for Keep {
    fn default() -> Self {
        Self {
            count: 64,
            idle: POOL_IDLE_MAX,
        }
    }
}

/// How long a target may take to close a connection after this side has. It
/// equals the time after which the kernel gives up on written data.
const CLOSE: Millis = Millis(5_000);

/// How much of a cancelled answer is read until the connection is reset instead.
const LEFTOVER: usize = 256 * 1024;

/// An unanswered request that was cancelled after this time casts doubt on the
/// connections that were idle when it was sent. It is the shortest time after
/// which a connection counts as silent.
const SILENT: Millis = Millis(1_000);

/// A connection with what is held for the request that it carries.
struct Conn {
    sender: SendRequest<Body>,
    watch: Watch,
    held: Arc<Mutex<Option<InFlight>>>,
}

impl Conn {
    fn hold(&self, hold: &InFlight) {
        let mut current = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(hold.clone());
    }
}

fn end_hold(held: &Mutex<Option<InFlight>>) {
    drop(held.lock().unwrap_or_else(PoisonError::into_inner).take());
}

struct Idle {
    conn: Conn,
    since: Millis,
}

/// The idle connections. A shard's lock guards those of its targets.
#[derive(Clone)]
struct Pool {
    idle: Arc<Shards<TargetId, Vec<Idle>>>,
    keep: Keep,
}

impl Pool {
    /// Drops the connections to a target that are of no more use.
    fn prune(&self, target: TargetId, now: Millis) {
        self.idle.get(&target, |idle| self.retain(idle, now));
    }

    fn retain(&self, idle: &mut Vec<Idle>, now: Millis) {
        idle.retain(|c| now - c.since <= self.keep.idle && !c.conn.sender.is_closed());
    }
}

/// Opens a pool of connections to targets.
#[must_use]
pub fn open(clock: Clock, keep: Keep) -> Targets {
    let pool = Pool {
        idle: Arc::default(),
        keep,
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
        in_flight: hold,
        connect_timeout: limit,
        started,
    } = out;
    let mut doubt = Doubt::new(pool, clock, target);
    while let Some(mut conn) = checkout(pool, target, (clock.now)()) {
        conn.hold(&hold);
        started.set();
        match conn.sender.try_send_request(request).await {
            Ok(resp) => {
                doubt.end();
                return Ok(keep(pool, clock, target, conn, resp));
            }
            Err(mut e) => match e.take_message() {
                // The connection closed while it was idle. Nothing of the
                // request was written, so another connection may take it.
                Some(unsent) => request = unsent,
                None => return Err(unknown(target, &e.into_error())),
            },
        }
    }
    // A request that came back from a closed connection was not written.
    started.clear();
    let mut conn = connect(target, limit).await?;
    conn.hold(&hold);
    started.set();
    match conn.sender.try_send_request(request).await {
        Ok(resp) => {
            doubt.end();
            Ok(keep(pool, clock, target, conn, resp))
        }
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

/// A request without an answer. If it is cancelled late, whatever made its
/// connection silent may concern the idle ones of the same age, so they are
/// closed. Otherwise each of them would cost one more request its deadline.
struct Doubt<'a> {
    pool: &'a Pool,
    clock: &'a Clock,
    target: TargetId,
    sent: Millis,
    ended: bool,
}

impl<'a> Doubt<'a> {
    fn new(pool: &'a Pool, clock: &'a Clock, target: TargetId) -> Self {
        Self {
            pool,
            clock,
            target,
            sent: (clock.now)(),
            ended: false,
        }
    }

    fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        if !self.ended && (self.clock.now)() - self.sent >= SILENT {
            let sent = self.sent;
            let old = |idle: &mut Vec<Idle>| idle.retain(|c| c.since >= sent);
            self.pool.idle.get(&self.target, old);
        }
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
fn checkout(pool: &Pool, target: TargetId, now: Millis) -> Option<Conn> {
    pool.idle
        .get(&target, |idle| {
            while let Some(Idle { conn, since }) = idle.pop() {
                let young = now - since <= pool.keep.idle;
                if young && conn.sender.is_ready() && !conn.watch.is_closed() {
                    return Some(conn);
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
    mut conn: Conn,
    resp: Response<hyper::body::Incoming>,
) -> Response<Body> {
    let (pool, clock) = (pool.clone(), clock.clone());
    tokio::spawn(async move {
        if conn.sender.ready().await.is_err() {
            return;
        }
        end_hold(&conn.held);
        let since = (clock.now)();
        let kept = pool.idle.with(target, Vec::new, |idle| {
            pool.retain(idle, since);
            let room = idle.len() < pool.keep.count;
            if room {
                idle.push(Idle { conn, since });
            }
            room
        });
        if kept {
            // Nobody may ask for this target again.
            tokio::time::sleep((pool.keep.idle + Millis(1)).duration()).await;
            pool.prune(target, (clock.now)());
        }
    });
    resp.map(|body| body.map_err(Into::into).boxed())
}

async fn connect(target: TargetId, limit: Millis) -> Result<Conn, SendError> {
    let failed = |step, cause: String| SendError::Unsent {
        step,
        peer: target,
        cause,
    };
    let stream = timeout(limit.duration(), TcpStream::connect(target.0)).await;
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(failed("connect to", e.to_string())),
        Err(_) => return Err(failed("connect to", format!("timed out after {limit}"))),
    };
    tune(&stream).map_err(|e| failed("configure connection to", e.to_string()))?;
    let socket = Socket::new(stream);
    let watch = socket.watch();
    let (sender, conn) = http1::handshake::<_, Body>(TokioIo::new(socket))
        .await
        .map_err(|e| failed("handshake with", e.to_string()))?;
    let held: Arc<Mutex<Option<InFlight>>> = Arc::default();
    let ended = held.clone();
    tokio::spawn(async move {
        match conn.without_shutdown().await {
            Ok(parts) => close(target, parts.io.into_inner()).await,
            Err(e) => tracing::debug!("target: connection to {target} ended: {e}."),
        }
        end_hold(&ended);
    });
    Ok(Conn {
        sender,
        watch,
        held,
    })
}

/// Closes this side and waits until the target has closed the other, because a
/// target stops a cancelled request when it sees that.
async fn close(target: TargetId, mut stream: Socket) {
    let closed = async {
        let mut buf = vec![0; 16 * 1024];
        let mut left = LEFTOVER;
        stream.shutdown().await?;
        loop {
            let n = stream.read(&mut buf).await?;
            if n == 0 || n > left {
                return Ok::<_, std::io::Error>(());
            }
            left -= n;
        }
    };
    match timeout(CLOSE.duration(), closed).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::debug!("target: close connection to {target}: {e}."),
        Err(_) => tracing::warn!("target: {target} did not close within {CLOSE}."),
    }
}

/// Makes the kernel notice within about 5 s that the other end has lost track
/// of the connection.
fn tune(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE.duration())
        .with_interval(KEEPALIVE_INTERVAL.duration())
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))?;
    socket.set_tcp_nodelay(true)
}
