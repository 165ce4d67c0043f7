//! The platform's store over the published etcd v3 protocol.
//!
//! A conditional write is a transaction that compares the key's modification
//! revision, so the store decides races. Its failure branch reads the revision
//! that was found, which saves the loser a call. A list is read in pages at one
//! revision, because a single response could exceed the memory that an entry
//! has. Only the transaction is never sent twice by itself: a lost response is
//! reported as unknown, and the writer settles it by the edit's id.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio::sync::mpsc;
use tonic::{Status, Streaming};

use super::{
    Calls, PAGE, WATCH_BACKLOG,
    client::{Client, Step},
    lease::{self, Held},
    messages::{
        self, CompareValue, DeleteRangeRequest, Event, EventKind, KeyValue, Operation,
        RangeRequest, RangeResponse, WatchCreateRequest, WatchRequest, WatchRequestKind,
        WatchResponse,
    },
    write::{header, put, revision, transact},
};
use crate::{
    domain::{Millis, Revision, Shards},
    ports::{Fut, Record, Snapshot, Store, StoreError, Update, Write},
};

const GET: Step = Step {
    name: "get",
    path: messages::RANGE,
    count: Calls::read,
    repeatable: true,
};

const LIST: Step = Step {
    name: "list",
    ..GET
};

const WATCH: Step = Step {
    name: "watch",
    path: messages::WATCH,
    count: Calls::watch,
    repeatable: true,
};

/// Returns the store behind `endpoints`, which are tried in turn.
///
/// Each attempt at an endpoint takes `timeout` at the most. Nothing is connected
/// before the first call. The calls are counted in `calls`.
#[must_use]
pub fn open(endpoints: &[SocketAddr], timeout: Millis, calls: Arc<Calls>) -> Store {
    let client = Arc::new(Client::new(endpoints, timeout, calls));
    let leases = Arc::new(Shards::<Bytes, Held>::new());
    let c = client.clone();
    let get = Arc::new(move |key| {
        let client = c.clone();
        Box::pin(async move { get(&client, key).await }) as Fut<_>
    });
    let c = client.clone();
    let list = Arc::new(move |prefix| {
        let client = c.clone();
        Box::pin(async move { list(&client, prefix).await }) as Fut<_>
    });
    let c = client.clone();
    let write = Arc::new(move |change| {
        let client = c.clone();
        Box::pin(async move { write(&client, change).await }) as Fut<_>
    });
    let c = client.clone();
    let lease = Arc::new(move |(record, time)| {
        let (client, leases) = (c.clone(), leases.clone());
        Box::pin(async move { lease::hold(&client, &leases, record, time).await }) as Fut<_>
    });
    let watch = Arc::new(move |(prefix, after)| {
        let client = client.clone();
        Box::pin(async move { watch(&client, prefix, after).await }) as Fut<_>
    });
    Store {
        get,
        list,
        write,
        lease,
        watch,
    }
}

async fn get(client: &Client, key: Bytes) -> Result<Option<Record>, StoreError> {
    let request = RangeRequest {
        key,
        ..RangeRequest::default()
    };
    let response: RangeResponse = client.unary(GET, request).await?;
    Ok(response.kvs.into_iter().next().map(record))
}

async fn list(client: &Client, prefix: Bytes) -> Result<Snapshot, StoreError> {
    let mut request = RangeRequest {
        range_end: range_end(&prefix),
        key: first_key(&prefix),
        limit: i64::try_from(PAGE).unwrap_or(i64::MAX),
        ..RangeRequest::default()
    };
    let mut records = Vec::new();
    loop {
        let page: RangeResponse = client.unary(LIST, request.clone()).await?;
        if request.revision == 0 {
            // The later pages are read at the moment of the first one.
            request.revision = header(page.header);
        }
        if let Some(last) = page.kvs.last() {
            request.key = after_key(&last.key);
        }
        let more = page.more && !page.kvs.is_empty();
        records.extend(page.kvs.into_iter().map(record));
        if !more {
            return Ok(Snapshot {
                records,
                revision: revision(request.revision),
            });
        }
    }
}

async fn write(client: &Client, write: Write) -> Result<Revision, StoreError> {
    let Write {
        key,
        value,
        expected,
    } = write;
    let operation = match value {
        Some(value) => put(key.clone(), value, 0)?,
        None => Operation::DeleteRange(DeleteRangeRequest { key: key.clone() }),
    };
    let expected = i64::try_from(expected.0).unwrap_or(i64::MAX);
    let condition = CompareValue::ModRevision(expected);
    transact(client, key, condition, Some(operation)).await
}

async fn watch(
    client: &Client,
    prefix: Bytes,
    after: Revision,
) -> Result<mpsc::Receiver<Update>, StoreError> {
    let start = i64::try_from(after.next().0).unwrap_or(i64::MAX);
    let request = WatchRequest {
        request: Some(WatchRequestKind::Create(WatchCreateRequest {
            range_end: range_end(&prefix),
            key: first_key(&prefix),
            start_revision: start,
            fragment: true,
        })),
    };
    let created = |mut stream: Streaming<WatchResponse>| async move {
        match stream.message().await? {
            Some(response) => Ok((response, stream)),
            None => Err(Status::unavailable("the watch ended before it began")),
        }
    };
    let ((response, stream), open) = client.stream(WATCH, request, created).await?;
    let (sender, receiver) = mpsc::channel(WATCH_BACKLOG);
    let calls = client.calls.clone();
    calls.watch_began();
    tokio::spawn(async move {
        tokio::select! {
            () = forward(response, stream, &sender) => {}
            () = sender.closed() => {}
        }
        drop(open);
        calls.watch_ended();
    });
    Ok(receiver)
}

/// Passes updates on until the watch ends. A slow reader holds the store's
/// stream back.
async fn forward(
    mut response: WatchResponse,
    mut stream: Streaming<WatchResponse>,
    sender: &mpsc::Sender<Update>,
) {
    while !response.canceled {
        for update in response.events.into_iter().filter_map(update) {
            if sender.send(update).await.is_err() {
                return;
            }
        }
        response = match stream.message().await {
            Ok(Some(next)) => next,
            Ok(None) | Err(_) => return,
        };
    }
}

fn update(event: Event) -> Option<Update> {
    let kv = event.kv?;
    if event.kind == i32::from(EventKind::Delete) {
        let at = revision(kv.mod_revision);
        return Some(Update::Delete(kv.key, at));
    }
    Some(Update::Put(record(kv)))
}

fn record(kv: KeyValue) -> Record {
    Record {
        key: kv.key,
        value: kv.value,
        revision: revision(kv.mod_revision),
    }
}

/// Returns the first key of a range. The protocol has a zero byte for the first
/// key of all.
fn first_key(prefix: &Bytes) -> Bytes {
    if prefix.is_empty() {
        return Bytes::from_static(b"\0");
    }
    prefix.clone()
}

/// Returns the key that directly follows `key`.
fn after_key(key: &Bytes) -> Bytes {
    let mut next = key.to_vec();
    next.push(0);
    next.into()
}

/// Returns the end of the range of all keys with `prefix`. The protocol has a
/// zero byte for a range without end.
fn range_end(prefix: &Bytes) -> Bytes {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end.into();
        }
    }
    Bytes::from_static(b"\0")
}
