//! Calls to the platform's metadata store.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::future::join_all;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::items::{self, Item};
use crate::{
    adapters::http::{Content, full_body},
    domain::{Millis, Presence, Revision, TargetId},
    ports::{Batch, LeaseId, Outbound, Platform, PlatformError, Poll, Targets},
};

/// How long a call that carries little may take, and any call until its answer
/// begins. A slow store answers within a quarter of a second. A store that is
/// silent must be noticed soon, since a call that waits for it learns nothing of
/// its return.
const TIMEOUT: Millis = Millis(1_000);

/// The largest answer that is read. A page has about 1 MB at the most.
const ANSWER_MAX_BYTES: usize = 4 << 20;

type Answer<T> = Result<T, PlatformError>;

/// How long a call may take.
#[derive(Clone, Copy)]
struct Time {
    /// How long the store may wait before it answers.
    wait: Millis,
    /// How long the answer may take from there.
    limit: Millis,
}

impl Default for Time {
    fn default() -> Self {
        Self {
            wait: Millis(0),
            limit: TIMEOUT,
        }
    }
}

#[derive(Clone)]
struct Client {
    addr: SocketAddr,
    targets: Targets,
}

/// Opens a client of the store at the address, over the given connections.
#[must_use]
pub fn open(addr: SocketAddr, targets: Targets) -> Platform {
    let client = Client { addr, targets };
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

async fn read(client: Client, limit: Millis) -> Answer<Batch> {
    // All at once, because a process that has just started serves nobody yet.
    let ranges = items::PREFIXES.map(|prefix| client.range(prefix, limit));
    let mut all = Batch {
        changes: Vec::new(),
        revision: Revision(u64::MAX),
    };
    for range in join_all(ranges).await {
        let range = range?;
        all.changes.extend(range.changes);
        // Pages are no snapshot. What changes between them is reported again by
        // a poll from the earliest revision.
        all.revision = all.revision.min(range.revision);
    }
    Ok(all)
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Item>,
    /// The revision up to which the events are complete.
    at_rev: u64,
}

async fn poll(client: Client, poll: Poll) -> Answer<Batch> {
    const STEP: &str = "watch keys";
    let Poll { after, wait, limit } = poll;
    let path = format!("/kv-watch?prefix=&after={after}&wait_ms={}", wait.0);
    let time = Time { wait, limit };
    let (status, body) = client.call(STEP, Method::GET, &path, None, time).await?;
    if status == StatusCode::GONE {
        return Err(PlatformError::Compacted);
    }
    client.expect(STEP, status, &body)?;
    let events: Events = client.json(STEP, &body)?;
    Ok(Batch {
        changes: events.events.iter().filter_map(items::decode).collect(),
        revision: Revision(events.at_rev),
    })
}

#[derive(Deserialize, Serialize)]
struct Ttl {
    #[serde(rename = "ttl_s_time")]
    ttl: f64,
}

#[derive(Deserialize)]
struct Granted {
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

async fn announce(client: Client, presence: Presence, ttl: Millis) -> Answer<LeaseId> {
    const GRANT: &str = "grant lease";
    const WRITE: &str = "announce entry";
    let ttl = Ttl {
        ttl: ttl.duration().as_secs_f64(),
    };
    let (status, body) = client.post(GRANT, "/kv-lease", &ttl).await?;
    client.expect(GRANT, status, &body)?;
    let Granted { lease } = client.json(GRANT, &body)?;
    let change = Transaction {
        expect_rev: [],
        writes: [Write {
            key: items::presence_key(&presence),
            value: items::encode_presence(&presence),
            lease,
        }],
        deletes: [],
    };
    let (status, body) = client.post(WRITE, "/kv-txn", &change).await?;
    if status == StatusCode::NOT_FOUND {
        return Err(PlatformError::Expired);
    }
    client.expect(WRITE, status, &body)?;
    Ok(LeaseId(lease))
}

async fn renew(client: Client, lease: LeaseId) -> Answer<()> {
    const STEP: &str = "renew lease";
    let path = format!("/kv-keep/{}", lease.0);
    let (status, body) = client
        .call(STEP, Method::POST, &path, None, Time::default())
        .await?;
    if status == StatusCode::NOT_FOUND {
        return Err(PlatformError::Expired);
    }
    client.expect(STEP, status, &body)
}

async fn withdraw(client: Client, lease: LeaseId) -> Answer<()> {
    const STEP: &str = "end lease";
    let path = format!("/kv-lease-end/{}", lease.0);
    let (status, body) = client
        .call(STEP, Method::DELETE, &path, None, Time::default())
        .await?;
    client.expect(STEP, status, &body)
}

impl Client {
    /// Reads all pages of a prefix, with the revision of the first one.
    async fn range(&self, prefix: &str, limit: Millis) -> Answer<Batch> {
        const STEP: &str = "read keys";
        let mut changes = Vec::new();
        let mut first = None;
        let mut after = String::new();
        loop {
            let path = format!("/kv-range?prefix={prefix}{after}");
            let time = Time {
                limit,
                ..Time::default()
            };
            let (status, body) = self.call(STEP, Method::GET, &path, None, time).await?;
            self.expect(STEP, status, &body)?;
            let page: Page = self.json(STEP, &body)?;
            let revision = *first.get_or_insert(Revision(page.at_rev));
            changes.extend(page.items.iter().filter_map(items::decode));
            match page.items.last() {
                Some(last) if page.has_more => after = format!("&after={}", last.key),
                _ => return Ok(Batch { changes, revision }),
            }
        }
    }

    async fn post(
        &self,
        step: &'static str,
        path: &str,
        value: &impl Serialize,
    ) -> Answer<(StatusCode, Bytes)> {
        let text = serde_json::to_vec(value).map_err(|e| self.failed(step, &e))?;
        let body = Some(text.into());
        self.call(step, Method::POST, path, body, Time::default())
            .await
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        time: Time,
    ) -> Answer<(StatusCode, Bytes)> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string());
        if body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(full_body(body.unwrap_or_default()))
            .map_err(|e| self.failed(step, &e))?;
        let late = |limit| self.failed(step, &format!("timed out after {limit}"));
        let out = Outbound::new(TargetId(self.addr), request);
        let limit = time.wait + TIMEOUT.min(time.limit);
        let answer = timeout(limit.duration(), (self.targets.send)(out)).await;
        let answer = answer.map_err(|_| late(limit))?;
        let (head, body) = answer.map_err(|e| self.failed(step, &e))?.into_parts();
        let limit = time.limit;
        let content = timeout(limit.duration(), Content::read(body, ANSWER_MAX_BYTES)).await;
        let content = content.map_err(|_| late(limit))?;
        match content.map_err(|e| self.failed(step, &e))? {
            Content::Whole(bytes) => Ok((head.status, bytes)),
            Content::Stream(_) => Err(self.failed(step, &"the answer is too long")),
        }
    }

    fn expect(&self, step: &'static str, status: StatusCode, body: &Bytes) -> Answer<()> {
        if status.is_success() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
        Err(self.failed(step, &format!("status {status}: {text}")))
    }

    fn json<'a, T: Deserialize<'a>>(&self, step: &'static str, body: &'a Bytes) -> Answer<T> {
        serde_json::from_slice(body).map_err(|e| self.failed(step, &e))
    }

    fn failed(&self, step: &'static str, cause: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Failed {
            step,
            peer: self.addr,
            cause: cause.to_string(),
        }
    }
}
