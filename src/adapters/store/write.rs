//! Conditional writes as etcd transactions.

use bytes::Bytes;

use super::{
    CallCounters, MAX_VALUE_BYTES,
    client::{Client, Method},
    messages::{
        self, Compare, CompareResult, CompareTarget, CompareValue, Operation, OperationResponse,
        PutRequest, RangeRequest, RequestOp, ResponseHeader, TxnRequest, TxnResponse,
    },
};
use crate::{domain::Revision, ports::StoreError};

const WRITE: Method = Method {
    name: "write",
    path: messages::TXN,
    count: CallCounters::count_write,
    retry_safe: false,
};

/// Executes an operation on a key if the condition holds, and returns the
/// store's revision after it. If the condition does not hold, the same
/// transaction reads the key's revision for [`StoreError::Conflict`].
pub(super) async fn write_if(
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
    let read_revision = Operation::Range(RangeRequest {
        key,
        keys_only: true,
        ..RangeRequest::default()
    });
    let request = TxnRequest {
        compare: vec![compare],
        success: operation.into_iter().map(request_op).collect(),
        failure: vec![request_op(read_revision)],
    };
    let response: TxnResponse = client.unary(WRITE, request).await?;
    if response.succeeded {
        return Ok(to_revision(header_revision(response.header)));
    }
    Err(StoreError::Conflict(conflicting_revision(response)))
}

fn request_op(operation: Operation) -> RequestOp {
    RequestOp {
        request: Some(operation),
    }
}

/// Returns the revision that the failure branch has read, zero for no such key.
fn conflicting_revision(response: TxnResponse) -> Revision {
    let first = response.responses.into_iter().next();
    match first.and_then(|r| r.response) {
        Some(OperationResponse::Range(range)) => {
            let found = range.kvs.first().map_or(0, |kv| kv.mod_revision);
            to_revision(found)
        }
        _ => Revision::default(),
    }
}

/// Returns the operation that writes a key, or an error if the value is larger
/// than the store accepts.
pub(super) fn put_operation(key: Bytes, value: Bytes, lease: i64) -> Result<Operation, StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(StoreError::Down {
            step: "write",
            peer: "(none)".to_owned(),
            cause: super::too_large_message(value.len()),
        });
    }
    Ok(Operation::Put(PutRequest { key, value, lease }))
}

/// Returns the store's revision from a response header, zero without a header.
pub(super) fn header_revision(header: Option<ResponseHeader>) -> i64 {
    header.map_or(0, |h| h.revision)
}

/// Converts a revision of the protocol. Negative values become zero.
pub(super) fn to_revision(n: i64) -> Revision {
    Revision(u64::try_from(n).unwrap_or_default())
}
