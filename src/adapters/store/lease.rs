//! Keys that are bound to a lease and deleted when it expires.
//!
//! While a holder is paused, its lease may expire and another process may take
//! the key. Every renewal therefore also checks, in a transaction, that the key
//! is still bound to the holder's own lease, and returns a conflict if it is
//! not. This costs a second call per renewal.

use bytes::Bytes;
use tonic::{Status, Streaming};

use super::{
    CallCounters,
    client::{Client, Method},
    messages::{
        self, CompareValue, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
        LeaseKeepAliveResponse,
    },
    write::{put_operation, write_if},
};
use crate::{
    domain::{Millis, Revision, Shards},
    ports::{Record, StoreError},
};

/// A grant is safe to retry, because a lost response only leaves a lease
/// without keys, which expires.
const GRANT: Method = Method {
    name: "grant lease",
    path: messages::LEASE_GRANT,
    count: CallCounters::count_lease,
    retry_safe: true,
};

const RENEW: Method = Method {
    name: "renew lease",
    path: messages::LEASE_KEEP_ALIVE,
    count: CallCounters::count_lease,
    retry_safe: true,
};

/// A lease that this process holds.
#[derive(Clone)]
pub(super) struct HeldLease {
    lease: i64,
    /// The value of the key, or `None` if it is not known.
    value: Option<Bytes>,
}

/// Writes a key that is deleted unless this function is called again within
/// `ttl`.
///
/// Fails with [`StoreError::Conflict`] if another process has written the key.
pub(super) async fn acquire_or_renew(
    client: &Client,
    leases: &Shards<Bytes, HeldLease>,
    record: Record,
    ttl: Millis,
) -> Result<(), StoreError> {
    let Record { key, value, .. } = record;
    let held = leases.get(&key, |h| h.clone());
    let held = match held {
        Some(held) if renew(client, held.lease).await? => Some(held),
        _ => None,
    };
    if let Some(held) = held {
        match write_if_held(client, &held, &key, &value).await {
            // The key does not exist: either the first write did not take
            // effect, or the key was deleted. It is created again below.
            Err(StoreError::Conflict(found)) if found == Revision::default() => {}
            result => return update_held(leases, key, value, held.lease, result),
        }
        let result = create_key(client, held.lease, &key, &value).await;
        return update_held(leases, key, value, held.lease, result);
    }
    leases.remove(&key);
    let lease = grant(client, ttl).await?;
    let result = create_key(client, lease, &key, &value).await;
    update_held(leases, key, value, lease, result)
}

/// Records the lease for the next call, or drops it if another process has
/// written the key.
fn update_held(
    leases: &Shards<Bytes, HeldLease>,
    key: Bytes,
    value: Bytes,
    lease: i64,
    result: Result<Revision, StoreError>,
) -> Result<(), StoreError> {
    let value = result.is_ok().then_some(value);
    if matches!(result, Err(StoreError::Conflict(_))) {
        leases.remove(&key);
    } else {
        leases.insert(key, HeldLease { lease, value });
    }
    result.map(|_| ())
}

/// Checks that the key is still bound to the lease, and writes the value if it
/// may have changed.
async fn write_if_held(
    client: &Client,
    held: &HeldLease,
    key: &Bytes,
    value: &Bytes,
) -> Result<Revision, StoreError> {
    let condition = CompareValue::Lease(held.lease);
    let operation = if held.value.as_ref() == Some(value) {
        None
    } else {
        Some(put_operation(key.clone(), value.clone(), held.lease)?)
    };
    write_if(client, key.clone(), condition, operation).await
}

/// Writes the key if it does not exist.
async fn create_key(
    client: &Client,
    lease: i64,
    key: &Bytes,
    value: &Bytes,
) -> Result<Revision, StoreError> {
    let operation = put_operation(key.clone(), value.clone(), lease)?;
    let absent = CompareValue::CreateRevision(0);
    write_if(client, key.clone(), absent, Some(operation)).await
}

async fn grant(client: &Client, ttl: Millis) -> Result<i64, StoreError> {
    // The protocol has whole seconds. The time is rounded up, because a longer
    // lease is safe and a shorter one could expire between two renewals.
    let seconds = ttl.0.div_ceil(1_000).max(1);
    let request = LeaseGrantRequest {
        ttl: i64::try_from(seconds).unwrap_or(i64::MAX),
        id: 0,
    };
    let response: LeaseGrantResponse = client.unary(GRANT, request).await?;
    Ok(response.id)
}

/// Renews a lease and returns whether it is still alive.
async fn renew(client: &Client, lease: i64) -> Result<bool, StoreError> {
    let request = LeaseKeepAliveRequest { id: lease };
    let read_first = |mut stream: Streaming<LeaseKeepAliveResponse>| async move {
        let response = stream.message().await?;
        response.ok_or_else(|| Status::unavailable("the stream ended without a response"))
    };
    let (response, _guard) = client.stream(RENEW, request, read_first).await?;
    Ok(response.ttl > 0)
}
