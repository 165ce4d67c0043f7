//! A client of the platform's store, over the published etcd v3 protocol.
//!
//! A conditional write is a transaction that compares the key's modification
//! revision, so the store resolves races between writers. The failure branch
//! reads the key's current revision, which saves the losing writer a call. A
//! list is read in pages at one revision, because a single response could
//! exceed the memory of an entry. Transactions are the only calls that are not
//! retried after an unknown outcome: a lost response is reported to the writer,
//! which uses the edit's id to find out whether the write took effect.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio::sync::mpsc;
use tonic::{Status, Streaming};

use super::{
    CallCounters, MAX_WATCH_BACKLOG, PAGE_KEYS,
    client::{Client, Method},
    lease::{self, HeldLease},
    messages::{
        self, CompareValue, DeleteRangeRequest, Event, EventKind, KeyValue, Operation,
        RangeRequest, RangeResponse, WatchCreateRequest, WatchRequest, WatchRequestKind,
        WatchResponse,
    },
    write::{header_revision, put_operation, to_revision, write_if},
};
use crate::{
    domain::{Millis, Revision, Shards},
    ports::{Fut, Record, Snapshot, Store, StoreError, Update, Write},
};

const GET: Method = Method {
    name: "get",
    path: messages::RANGE,
    count: CallCounters::count_read,
    retry_safe: true,
};

const LIST: Method = Method {
    name: "list",
    ..GET
};

const WATCH: Method = Method {
    name: "watch",
    path: messages::WATCH,
    count: CallCounters::count_watch,
    retry_safe: true,
};

/// Returns a client of the store at `endpoints`, which are tried in turn.
///
/// Each attempt at an endpoint takes at most `timeout`. Connections are opened
/// on the first call. Calls are counted in `counters`.
#[must_use]
pub fn open(endpoints: &[SocketAddr], timeout: Millis, counters: Arc<CallCounters>) -> Store {
    let client = Arc::new(Client::new(endpoints, timeout, counters));
    let leases = Arc::new(Shards::<Bytes, HeldLease>::new());
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
    let lease = Arc::new(move |(record, ttl)| {
        let (client, leases) = (c.clone(), leases.clone());
        Box::pin(async move { lease::acquire_or_renew(&client, &leases, record, ttl).await })
            as Fut<_>
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
    Ok(response.kvs.into_iter().next().map(to_record))
}

async fn list(client: &Client, prefix: Bytes) -> Result<Snapshot, StoreError> {
    let mut request = RangeRequest {
        range_end: range_end(&prefix),
        key: range_start(&prefix),
        limit: i64::try_from(PAGE_KEYS).unwrap_or(i64::MAX),
        ..RangeRequest::default()
    };
    let mut records = Vec::new();
    loop {
        let page: RangeResponse = client.unary(LIST, request.clone()).await?;
        if request.revision == 0 {
            // The remaining pages are read at the revision of the first one.
            request.revision = header_revision(page.header);
        }
        if let Some(last) = page.kvs.last() {
            request.key = next_key(&last.key);
        }
        let more = page.more && !page.kvs.is_empty();
        records.extend(page.kvs.into_iter().map(to_record));
        if !more {
            return Ok(Snapshot {
                records,
                revision: to_revision(request.revision),
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
        Some(value) => put_operation(key.clone(), value, 0)?,
        None => Operation::DeleteRange(DeleteRangeRequest { key: key.clone() }),
    };
    let expected = i64::try_from(expected.0).unwrap_or(i64::MAX);
    let condition = CompareValue::ModRevision(expected);
    write_if(client, key, condition, Some(operation)).await
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
            key: range_start(&prefix),
            start_revision: start,
            fragment: true,
        })),
    };
    let receive_first = |mut stream: Streaming<WatchResponse>| async move {
        match stream.message().await? {
            Some(response) => Ok((response, stream)),
            None => Err(Status::unavailable(
                "the watch stream ended before its first response",
            )),
        }
    };
    let ((response, stream), guard) = client.stream(WATCH, request, receive_first).await?;
    let (sender, receiver) = mpsc::channel(MAX_WATCH_BACKLOG);
    let counters = client.counters.clone();
    counters.watch_opened();
    tokio::spawn(async move {
        tokio::select! {
            () = forward_updates(response, stream, &sender) => {}
            () = sender.closed() => {}
        }
        drop(guard);
        counters.watch_closed();
    });
    Ok(receiver)
}

/// Forwards updates until the watch ends. A slow reader applies backpressure to
/// the store's stream.
async fn forward_updates(
    mut response: WatchResponse,
    mut stream: Streaming<WatchResponse>,
    sender: &mpsc::Sender<Update>,
) {
    while !response.canceled {
        for update in response.events.into_iter().filter_map(to_update) {
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

/// Converts an event. Returns `None` for an event without a key.
fn to_update(event: Event) -> Option<Update> {
    let kv = event.kv?;
    if event.kind == i32::from(EventKind::Delete) {
        let deleted_at = to_revision(kv.mod_revision);
        return Some(Update::Delete(kv.key, deleted_at));
    }
    Some(Update::Put(to_record(kv)))
}

fn to_record(kv: KeyValue) -> Record {
    Record {
        key: kv.key,
        value: kv.value,
        revision: to_revision(kv.mod_revision),
    }
}

/// Returns the start of the range of all keys with `prefix`. In the protocol, a
/// zero byte stands for the smallest key.
fn range_start(prefix: &Bytes) -> Bytes {
    if prefix.is_empty() {
        return Bytes::from_static(b"\0");
    }
    prefix.clone()
}

/// Returns the smallest key that is greater than `key`.
fn next_key(key: &Bytes) -> Bytes {
    let mut next = key.to_vec();
    next.push(0);
    next.into()
}

/// Returns the exclusive end of the range of all keys with `prefix`. In the
/// protocol, a zero byte stands for a range without an end.
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
