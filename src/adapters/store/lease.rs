//! Keys that vanish unless their holder renews them.
//!
//! A holder that was paused may find that its lease has ended and that another
//! holds the key. So every renewal also checks, in a transaction, that the key
//! is still bound to the holder's own lease; otherwise the holder gets a
//! conflict instead of a key that it does not have. The cost is a second call
//! for each renewal.

use bytes::Bytes;
use tonic::{Status, Streaming};

use super::{
    Calls,
    client::{Client, Step},
    messages::{
        self, CompareValue, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
        LeaseKeepAliveResponse,
    },
    write::{put, transact},
};
use crate::{
    domain::{Millis, Revision, Shards},
    ports::{Record, StoreError},
};

/// A grant whose response is lost leaves a lease without keys, which ends by
/// itself, so it may be repeated.
const GRANT: Step = Step {
    name: "grant lease",
    path: messages::LEASE_GRANT,
    count: Calls::lease,
    repeatable: true,
};

const RENEW: Step = Step {
    name: "renew lease",
    path: messages::LEASE_KEEP_ALIVE,
    count: Calls::lease,
    repeatable: true,
};

/// What this process knows of a lease that it holds.
#[derive(Clone)]
pub(super) struct Held {
    lease: i64,
    /// The value that the key surely has.
    value: Option<Bytes>,
}

/// Writes a key that vanishes unless this is called again within `time`.
pub(super) async fn hold(
    client: &Client,
    leases: &Shards<Bytes, Held>,
    record: Record,
    time: Millis,
) -> Result<(), StoreError> {
    let Record { key, value, .. } = record;
    let held = leases.get(&key, |h| h.clone());
    let held = match held {
        Some(held) if renew(client, held.lease).await? => Some(held),
        _ => None,
    };
    if let Some(held) = held {
        match confirm(client, &held, &key, &value).await {
            // The key is not there: the first write never arrived, or somebody
            // deleted the key.
            Err(StoreError::Conflict(found)) if found == Revision::default() => {}
            result => return settle(leases, key, value, held.lease, result),
        }
        let result = create(client, held.lease, &key, &value).await;
        return settle(leases, key, value, held.lease, result);
    }
    leases.remove(&key);
    let lease = grant(client, time).await?;
    let result = create(client, lease, &key, &value).await;
    settle(leases, key, value, lease, result)
}

/// Keeps the lease for the next call, unless the key is another holder's.
fn settle(
    leases: &Shards<Bytes, Held>,
    key: Bytes,
    value: Bytes,
    lease: i64,
    result: Result<Revision, StoreError>,
) -> Result<(), StoreError> {
    let value = result.is_ok().then_some(value);
    if matches!(result, Err(StoreError::Conflict(_))) {
        leases.remove(&key);
    } else {
        leases.insert(key, Held { lease, value });
    }
    result.map(|_| ())
}

/// Writes the value, unless it is there already, if the key is still bound to
/// the lease.
async fn confirm(
    client: &Client,
    held: &Held,
    key: &Bytes,
    value: &Bytes,
) -> Result<Revision, StoreError> {
    let condition = CompareValue::Lease(held.lease);
    let operation = if held.value.as_ref() == Some(value) {
        None
    } else {
        Some(put(key.clone(), value.clone(), held.lease)?)
    };
    transact(client, key.clone(), condition, operation).await
}

async fn create(
    client: &Client,
    lease: i64,
    key: &Bytes,
    value: &Bytes,
) -> Result<Revision, StoreError> {
    let operation = put(key.clone(), value.clone(), lease)?;
    let absent = CompareValue::CreateRevision(0);
    transact(client, key.clone(), absent, Some(operation)).await
}

async fn grant(client: &Client, time: Millis) -> Result<i64, StoreError> {
    // The protocol counts whole seconds. A longer lease is safe, a shorter one
    // might end between two renewals.
    let seconds = time.0.div_ceil(1_000).max(1);
    let request = LeaseGrantRequest {
        ttl: i64::try_from(seconds).unwrap_or(i64::MAX),
        id: 0,
    };
    let response: LeaseGrantResponse = client.unary(GRANT, request).await?;
    Ok(response.id)
}

/// Renews a lease and tells whether it still runs.
async fn renew(client: &Client, lease: i64) -> Result<bool, StoreError> {
    let request = LeaseKeepAliveRequest { id: lease };
    let first = |mut stream: Streaming<LeaseKeepAliveResponse>| async move {
        let response = stream.message().await?;
        response.ok_or_else(|| Status::unavailable("the stream ended without a response"))
    };
    let (response, _open) = client.stream(RENEW, request, first).await?;
    Ok(response.ttl > 0)
}
