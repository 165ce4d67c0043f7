//! Writes under a condition, and what the store says if it does not hold.

use bytes::Bytes;

use super::{
    Calls, VALUE_MAX,
    client::{Client, Step},
    messages::{
        self, Compare, CompareResult, CompareTarget, CompareValue, Operation, OperationResponse,
        PutRequest, RangeRequest, RequestOp, ResponseHeader, TxnRequest, TxnResponse,
    },
};
use crate::{domain::Revision, ports::StoreError};

const WRITE: Step = Step {
    name: "write",
    path: messages::TXN,
    count: Calls::write,
    repeatable: false,
};

/// Carries out an operation on a key under a condition, and returns the store's
/// revision after it.
pub(super) async fn transact(
    client: &Client,
    key: Bytes,
    condition: CompareValue,
    operation: Option<Operation>,
) -> Result<Revision, StoreError> {
    let target = match condition {
        CompareValue::Version(_) => CompareTarget::Version,
        CompareValue::CreateRevision(_) => CompareTarget::Create,
        CompareValue::ModRevision(_) => CompareTarget::Mod,
        CompareValue::Value(_) => CompareTarget::Value,
        CompareValue::Lease(_) => CompareTarget::Lease,
    };
    let compare = Compare {
        result: CompareResult::Equal.into(),
        target: target.into(),
        key: key.clone(),
        value: Some(condition),
    };
    let found = Operation::Range(RangeRequest {
        key,
        keys_only: true,
        ..RangeRequest::default()
    });
    let request = TxnRequest {
        compare: vec![compare],
        success: operation.into_iter().map(step).collect(),
        failure: vec![step(found)],
    };
    let response: TxnResponse = client.unary(WRITE, request).await?;
    if response.succeeded {
        return Ok(revision(header(response.header)));
    }
    Err(StoreError::Conflict(found_revision(response)))
}

fn step(operation: Operation) -> RequestOp {
    RequestOp {
        request: Some(operation),
    }
}

fn found_revision(response: TxnResponse) -> Revision {
    let first = response.responses.into_iter().next();
    match first.and_then(|r| r.response) {
        Some(OperationResponse::Range(range)) => {
            let found = range.kvs.first().map_or(0, |kv| kv.mod_revision);
            revision(found)
        }
        _ => Revision::default(),
    }
}

/// Returns a put, unless the value is too large.
pub(super) fn put(key: Bytes, value: Bytes, lease: i64) -> Result<Operation, StoreError> {
    if value.len() > VALUE_MAX {
        return Err(StoreError::Down {
            step: "write",
            peer: "(none)".to_owned(),
            cause: super::oversized(value.len()),
        });
    }
    Ok(Operation::Put(PutRequest { key, value, lease }))
}

pub(super) fn header(header: Option<ResponseHeader>) -> i64 {
    header.map_or(0, |h| h.revision)
}

pub(super) fn revision(n: i64) -> Revision {
    Revision(u64::try_from(n).unwrap_or_default())
}
