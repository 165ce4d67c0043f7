//! Calls to the platform's metadata store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use futures::future::join_all;
use http::{Method, Request, StatusCode, header, response};
use http_body::Body as _;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{
    cutoff::Cutoff,
    era::{Eras, StaleEra},
    items::{self, Item},
    shorten,
};
use crate::{
    adapters::http::{Content, Query, full_body},
    domain::{Era, Millis, Position, Presence, Revision, TargetId, lock},
    ports::{Batch, Lease, LeaseId, Outbound, Platform, PlatformError, Poll, PolledBatch, Targets},
};

/// The timeout until the response to a call begins, and by default that for
/// reading the response. A slow store answers within 250 ms. A silent store
/// must be detected soon, because a call that waits on a dead connection does
/// not notice that the store is back.
const DEFAULT_TIMEOUT: Millis = Millis(1_000);

/// The maximum size of a response. A page of items has at most about 1 MB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the store's current address. The settings that state it can change.
type Address = Arc<dyn Fn() -> SocketAddr + Send + Sync>;

type PlatformResult<T> = Result<T, PlatformError>;

/// The timeouts of a call.
#[derive(Clone, Copy)]
struct Timeouts {
    /// How long the store may wait for a change before it answers.
    wait: Millis,
    /// How long reading the response may take after its head.
    limit: Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            wait: Millis(0),
            limit: DEFAULT_TIMEOUT,
        }
    }
}

#[derive(Clone)]
struct Client {
    addr: Address,
    targets: Targets,
    eras: Arc<Eras>,
    cutoff: Arc<Mutex<Cutoff>>,
}

/// A response of the store.
struct Reply {
    status: StatusCode,
    body: Bytes,
    era: Era,
}

/// Opens a client of the store at the address. It sends its calls through
/// `targets`.
#[must_use]
pub fn open(addr: SocketAddr, targets: Targets) -> Platform {
    open_movable(move || addr, targets)
}

/// Opens a client of the store at the address that `addr` returns, which is asked before
/// each call. The store keeps its content and its era when it moves.
#[must_use]
pub fn open_movable<F>(addr: F, targets: Targets) -> Platform
where
    F: Fn() -> SocketAddr + Send + Sync + 'static,
{
    let client = Client {
        addr: Arc::new(addr),
        targets,
        eras: Arc::default(),
        cutoff: Arc::default(),
    };
    let [c1, c2, c3, c4, c5] = std::array::from_fn(|_| client.clone());
    Platform {
        read: Arc::new(move |limit| Box::pin(read(c1.clone(), limit))),
        poll: Arc::new(move |p| Box::pin(poll(c2.clone(), p))),
        announce: Arc::new(move |(p, ttl)| Box::pin(announce(c3.clone(), p, ttl))),
        renew: Arc::new(move |lease| Box::pin(renew(c4.clone(), lease))),
        withdraw: Arc::new(move |lease| Box::pin(withdraw(c5.clone(), lease))),
    }
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Item>,
    has_more: bool,
    /// The revision of the store when it read the page.
    at_rev: u64,
}

async fn read(client: Client, limit: Millis) -> PlatformResult<Batch> {
    // Reads all prefixes concurrently, because a process that has just started
    // cannot serve requests before it has read them.
    let ranges = items::KEY_PREFIXES.map(|prefix| client.read_prefix(prefix, limit));
    let mut changes = Vec::new();
    let mut first: Option<Position> = None;
    for range in join_all(ranges).await {
        let Batch {
            changes: more,
            position,
        } = range?;
        client.check_same_era(first, position.era)?;
        changes.extend(more);
        // The pages are no consistent snapshot. A poll from the earliest
        // position reports again what changed between them.
        first = Some(first.map_or(position, |p| p.min(position)));
    }
    let position = first.unwrap_or_default();
    Ok(Batch { changes, position })
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Item>,
    /// The revision up to which the events are complete.
    at_rev: u64,
}

async fn poll(client: Client, poll: Poll) -> PlatformResult<PolledBatch> {
    const STEP: &str = "watch keys";
    let Poll {
        after,
        wait,
        timeout,
    } = poll;
    let path = format!(
        "/kv-watch?prefix=&after={}&wait_ms={}",
        after.revision, wait.0
    );
    let timeouts = Timeouts {
        wait,
        limit: timeout,
    };
    let reply = client.call_bounded(STEP, Method::GET, &path, None, timeouts);
    let Some(reply) = reply.await? else {
        // The same changes would be too long again. Pages of the complete state are not.
        tracing::warn!(%after, max_bytes = MAX_RESPONSE_BYTES, "store: the changes are too long for one answer.");
        return Err(PlatformError::Compacted);
    };
    let is_gone = reply.status == StatusCode::GONE;
    if !is_gone {
        client.check_status(STEP, &reply)?;
    }
    // Another entry may have reported a later era than this client has seen.
    if reply.era < after.era {
        return Err(PlatformError::Stale {
            step: STEP,
            cause: format!("era {}", reply.era),
            latest: after.era,
        });
    }
    if reply.era > after.era {
        return Err(PlatformError::NewEra(reply.era));
    }
    if is_gone {
        return Err(PlatformError::Compacted);
    }
    let body = &reply.body;
    let Events { events, at_rev } = client.parse_json(STEP, body)?;
    let position = Position::new(reply.era, Revision(at_rev));
    let has_more = lock(&client.cutoff).may_lack(&events, body.len(), after, position);
    let changes = events.iter();
    let changes = changes.filter_map(|item| items::decode(item, position));
    Ok(PolledBatch {
        batch: Batch {
            changes: changes.collect(),
            position,
        },
        has_more,
    })
}

#[derive(Deserialize, Serialize)]
struct Ttl {
    #[serde(rename = "ttl_s_time")]
    ttl: f64,
}

#[derive(Deserialize)]
struct LeaseGrant {
    lease: u64,
}

#[derive(Serialize)]
struct Write {
    key: String,
    value: String,
    lease: u64,
}

#[derive(Serialize)]
struct Transaction {
    expect_rev: [(); 0],
    writes: [Write; 1],
    deletes: [(); 0],
}

async fn announce(client: Client, presence: Presence, ttl: Millis) -> PlatformResult<Lease> {
    const GRANT: &str = "grant lease";
    const WRITE: &str = "announce entry";
    let ttl = Ttl {
        ttl: ttl.duration().as_secs_f64(),
    };
    let reply = client.post(GRANT, "/kv-lease", &ttl).await?;
    client.check_status(GRANT, &reply)?;
    let LeaseGrant { lease } = client.parse_json(GRANT, &reply.body)?;
    let era = reply.era;
    let change = Transaction {
        expect_rev: [],
        writes: [Write {
            key: items::presence_key(&presence),
            value: items::encode_presence(&presence),
            lease,
        }],
        deletes: [],
    };
    let reply = client.post(WRITE, "/kv-txn", &change).await?;
    if reply.status == StatusCode::NOT_FOUND || reply.era != era {
        return Err(PlatformError::Expired);
    }
    client.check_status(WRITE, &reply)?;
    let id = LeaseId(lease);
    Ok(Lease { era, id })
}

async fn renew(client: Client, lease: Lease) -> PlatformResult<()> {
    const STEP: &str = "renew lease";
    client.confirm_era().await?;
    check_lease(lease, client.eras.latest())?;
    let path = format!("/kv-keep/{}", lease.id.0);
    let reply = client
        .call(STEP, Method::POST, &path, None, Timeouts::default())
        .await?;
    check_lease(lease, reply.era)?;
    if reply.status == StatusCode::NOT_FOUND {
        return Err(PlatformError::Expired);
    }
    client.check_status(STEP, &reply)
}

async fn withdraw(client: Client, lease: Lease) -> PlatformResult<()> {
    const STEP: &str = "end lease";
    client.confirm_era().await?;
    check_lease(lease, client.eras.latest())?;
    let path = format!("/kv-lease-end/{}", lease.id.0);
    let reply = client
        .call(STEP, Method::DELETE, &path, None, Timeouts::default())
        .await?;
    client.check_status(STEP, &reply)
}

/// Returns an error if a lease is of an earlier era than the store. Its number may
/// be that of another caller's lease now.
fn check_lease(lease: Lease, era: Era) -> PlatformResult<()> {
    if lease.era < era {
        return Err(PlatformError::NewEra(era));
    }
    Ok(())
}

impl Client {
    /// Reads all pages of a prefix. Returns the position of the first page.
    async fn read_prefix(&self, prefix: &str, limit: Millis) -> PlatformResult<Batch> {
        const STEP: &str = "read keys";
        let mut changes = Vec::new();
        let mut first: Option<Position> = None;
        let mut after = String::new();
        loop {
            let mut query = Query::default().with("prefix", prefix);
            if !after.is_empty() {
                // Another writer may have put any character into a key.
                query = query.with("after", &after);
            }
            let path = format!("/kv-range?{query}");
            let timeouts = Timeouts {
                limit,
                ..Timeouts::default()
            };
            let reply = self.call(STEP, Method::GET, &path, None, timeouts).await?;
            self.check_status(STEP, &reply)?;
            self.check_same_era(first, reply.era)?;
            let page: Page = self.parse_json(STEP, &reply.body)?;
            lock(&self.cutoff).record_items(&page.items);
            let at = Position::new(reply.era, Revision(page.at_rev));
            let position = *first.get_or_insert(at);
            let decoded = page.items.iter();
            changes.extend(decoded.filter_map(|item| items::decode(item, at)));
            match page.items.into_iter().next_back() {
                // Reading on from the same key would never end.
                Some(last) if page.has_more && last.key.0 == after => {
                    let cause = "the page does not go on after the one before it";
                    return Err(self.error(STEP, &cause));
                }
                Some(last) if page.has_more => after = last.key.0,
                _ => return Ok(Batch { changes, position }),
            }
        }
    }

    /// Learns the era of the store by a cheap read, if a call has got no response
    /// since it was known.
    async fn confirm_era(&self) -> PlatformResult<()> {
        const STEP: &str = "confirm the era";
        if !self.eras.is_unsure() {
            return Ok(());
        }
        // Any answer will do, also that the key does not exist.
        let path = format!("/kv-key?key={}&serializable=1", items::CONFIG_KEY);
        let reply = self.call(STEP, Method::GET, &path, None, Timeouts::default());
        reply.await.map(|_| ())
    }

    /// Sends a value as JSON with `POST`.
    async fn post(
        &self,
        step: &'static str,
        path: &str,
        value: &impl Serialize,
    ) -> PlatformResult<Reply> {
        let text = serde_json::to_vec(value).map_err(|e| self.error(step, &e))?;
        let body = Some(text.into());
        self.call(step, Method::POST, path, body, Timeouts::default())
            .await
    }

    /// Sends a request and reads the response, which may not be too long.
    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeouts: Timeouts,
    ) -> PlatformResult<Reply> {
        let reply = self
            .call_bounded(step, method, path, body, timeouts)
            .await?;
        reply.ok_or_else(|| self.error(step, &"the response is too long"))
    }

    /// Sends a request and reads the response. Returns none if it is a success of a
    /// stated length that exceeds [`MAX_RESPONSE_BYTES`]. One without a stated length
    /// may be endless, which is a failure.
    async fn call_bounded(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeouts: Timeouts,
    ) -> PlatformResult<Option<Reply>> {
        let addr = (self.addr)();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, addr.to_string());
        if body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(full_body(body.unwrap_or_default()))
            .map_err(|e| self.error(step, &e))?;
        let timed_out = |limit| self.error(step, &format!("timed out after {limit}"));
        let out = Outbound::new(TargetId(addr), request);
        let limit = timeouts.wait + DEFAULT_TIMEOUT.min(timeouts.limit);
        let response = timeout(limit.duration(), (self.targets.send)(out)).await;
        if !matches!(response, Ok(Ok(_))) {
            self.eras.record_failure();
        }
        let response = response.map_err(|_| timed_out(limit))?;
        let (head, body) = response.map_err(|e| self.error(step, &e))?.into_parts();
        let era = self.record_era(step, &head)?;
        let limit = timeouts.limit;
        let content = timeout(limit.duration(), Content::read(body, MAX_RESPONSE_BYTES)).await;
        let content = content.map_err(|_| timed_out(limit))?;
        match content.map_err(|e| self.error(step, &e))? {
            Content::Whole(body) => Ok(Some(Reply {
                status: head.status,
                body,
                era,
            })),
            Content::Stream(stream) => {
                let rest = stream.and_then(|(_, rest)| rest.size_hint().exact());
                if rest.is_some() && head.status.is_success() {
                    return Ok(None);
                }
                Err(self.error(step, &"the response is too long"))
            }
        }
    }

    /// Returns the era of a response. A refusal does nothing and says nothing of
    /// the store's content, so that it may come without one.
    fn record_era(&self, step: &'static str, head: &response::Parts) -> PlatformResult<Era> {
        let status = head.status;
        let is_refusal = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        match self.eras.record(&head.headers) {
            Ok(era) => Ok(era),
            Err(stale) if is_refusal => Ok(stale.latest),
            Err(StaleEra { cause, latest }) => Err(PlatformError::Stale {
                step,
                cause,
                latest,
            }),
        }
    }

    /// Returns an error if parts of a complete read are of different eras.
    fn check_same_era(&self, first: Option<Position>, era: Era) -> PlatformResult<()> {
        if first.is_some_and(|p| p.era != era) {
            let cause = "the store has changed its era during the read";
            return Err(self.error("read keys", &cause));
        }
        Ok(())
    }

    /// Returns an error with the start of the body if the status is no success.
    fn check_status(&self, step: &'static str, reply: &Reply) -> PlatformResult<()> {
        let Reply { status, body, .. } = reply;
        if status.is_success() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
        Err(self.error(step, &format!("status {status}: {text}")))
    }

    fn parse_json<'a, T: Deserialize<'a>>(
        &self,
        step: &'static str,
        body: &'a Bytes,
    ) -> PlatformResult<T> {
        serde_json::from_slice(body).map_err(|e| self.error(step, &e))
    }

    fn error(&self, step: &'static str, cause: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Failed {
            step,
            peer: (self.addr)(),
            cause: shorten(&cause.to_string()),
        }
    }
}
