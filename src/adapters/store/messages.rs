//! Messages of the published etcd v3 gRPC protocol.
//!
//! Only the messages and fields that savorybeam or the stand-in for the store
//! (`examples/store_standin`) use are declared; the codec skips the others. The
//! field numbers are those of `etcdserverpb` and `mvccpb`.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// The method that reads keys.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// The method that compares and writes in one transaction.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// The method that reports changes.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
/// The method that creates a lease.
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
/// The method that renews a lease.
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";

/// The header of every response.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ResponseHeader {
    /// The store's revision when the request was executed.
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, Message, PartialEq)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The revision at which the key was created.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision at which the key was last changed.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// The number of writes since the key was created.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "bytes", tag = "5")]
    pub value: Bytes,
    /// The lease that the key is bound to, zero for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// Reads a key, or the keys from `key` up to but not including `range_end`.
#[derive(Clone, Message, PartialEq)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The key after the last one, empty for a single key.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    /// The maximum number of keys to return, zero for no limit.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at, zero for the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// Whether to omit the values.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
}

/// The keys that were read.
#[derive(Clone, Message, PartialEq)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys in ascending order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// The number of keys in the range.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, Message, PartialEq)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// The lease to bind the key to, zero for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// The response to a put.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct PutResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Deletes a key.
#[derive(Clone, Message, PartialEq)]
pub struct DeleteRangeRequest {
    /// The key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
}

/// The response to a deletion.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct DeleteRangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The number of deleted keys.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// One operation of a transaction.
#[derive(Clone, Message, PartialEq)]
pub struct RequestOp {
    /// The operation.
    #[prost(oneof = "Operation", tags = "1, 2, 3")]
    pub request: Option<Operation>,
}

/// The kinds of operations.
#[derive(Clone, Oneof, PartialEq)]
pub enum Operation {
    /// Reads keys.
    #[prost(message, tag = "1")]
    Range(RangeRequest),
    /// Writes a key.
    #[prost(message, tag = "2")]
    Put(PutRequest),
    /// Deletes a key.
    #[prost(message, tag = "3")]
    DeleteRange(DeleteRangeRequest),
}

/// The response to one operation of a transaction.
#[derive(Clone, Message, PartialEq)]
pub struct ResponseOp {
    /// The response.
    #[prost(oneof = "OperationResponse", tags = "1, 2, 3")]
    pub response: Option<OperationResponse>,
}

/// The kinds of responses to operations.
#[derive(Clone, Oneof, PartialEq)]
pub enum OperationResponse {
    /// The keys that were read.
    #[prost(message, tag = "1")]
    Range(RangeResponse),
    /// A key was written.
    #[prost(message, tag = "2")]
    Put(PutResponse),
    /// A key was deleted.
    #[prost(message, tag = "3")]
    DeleteRange(DeleteRangeResponse),
}

/// The relation that a comparison requires between the stored and the given
/// value.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum CompareResult {
    /// The values are equal.
    Equal = 0,
    /// The stored value is greater.
    Greater = 1,
    /// The stored value is less.
    Less = 2,
    /// The values are not equal.
    NotEqual = 3,
}

/// The property of a key that a comparison reads.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum CompareTarget {
    /// The number of writes since the key was created.
    Version = 0,
    /// The revision at which the key was created.
    Create = 1,
    /// The revision at which the key was last changed.
    Mod = 2,
    /// The value.
    Value = 3,
    /// The lease that the key is bound to.
    Lease = 4,
}

/// A condition of a transaction.
#[derive(Clone, Message, PartialEq)]
pub struct Compare {
    /// The required relation, one of [`CompareResult`].
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    /// The compared property, one of [`CompareTarget`].
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    /// The key.
    #[prost(bytes = "bytes", tag = "3")]
    pub key: Bytes,
    /// The given value.
    #[prost(oneof = "CompareValue", tags = "4, 5, 6, 7, 8")]
    pub value: Option<CompareValue>,
}

/// The given value of a comparison; the variant matches the compared property.
#[derive(Clone, Oneof, PartialEq)]
pub enum CompareValue {
    /// The number of writes since the key was created.
    #[prost(int64, tag = "4")]
    Version(i64),
    /// The revision at which the key was created.
    #[prost(int64, tag = "5")]
    CreateRevision(i64),
    /// The revision at which the key was last changed.
    #[prost(int64, tag = "6")]
    ModRevision(i64),
    /// The value.
    #[prost(bytes = "bytes", tag = "7")]
    Value(Bytes),
    /// The lease that the key is bound to.
    #[prost(int64, tag = "8")]
    Lease(i64),
}

/// Executes `success` if all comparisons hold, and `failure` otherwise.
#[derive(Clone, Message, PartialEq)]
pub struct TxnRequest {
    /// The comparisons.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// The operations to execute if all comparisons hold.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// The operations to execute otherwise.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// The response to a transaction.
#[derive(Clone, Message, PartialEq)]
pub struct TxnResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether all comparisons held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    /// One response for each executed operation.
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// A message from the client on a watch stream.
#[derive(Clone, Message, PartialEq)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "WatchRequestKind", tags = "1, 2")]
    pub request: Option<WatchRequestKind>,
}

/// The kinds of client messages on a watch stream.
#[derive(Clone, Oneof, PartialEq)]
pub enum WatchRequestKind {
    /// Starts a watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    /// Ends a watch.
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
}

/// Starts a watch of the keys from `key` up to but not including `range_end`.
#[derive(Clone, Message, PartialEq)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The key after the last one, empty for a single key.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    /// The first revision to report, zero for changes after the current one.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether a large response may be split.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Ends a watch.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct WatchCancelRequest {
    /// The id of the watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// A message from the store on a watch stream.
#[derive(Clone, Message, PartialEq)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id of the watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether this confirms the start of the watch.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch has ended.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The oldest revision that is kept, if the watch was to start before it.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// The changes in the order of their revisions.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// A change of a key.
#[derive(Clone, Message, PartialEq)]
pub struct Event {
    /// The kind, one of [`EventKind`].
    #[prost(enumeration = "EventKind", tag = "1")]
    pub kind: i32,
    /// The key after the change. For a deletion, only the key and the revision
    /// are set.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// The kinds of changes.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum EventKind {
    /// The key was written.
    Put = 0,
    /// The key was deleted, or its lease expired.
    Delete = 1,
}

/// Creates a lease.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LeaseGrantRequest {
    /// The time to live in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// The requested id, zero to let the store choose one.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// The response to the creation of a lease.
#[derive(Clone, Message, PartialEq)]
pub struct LeaseGrantResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// The time to live in seconds that the store chose.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    /// Why the lease was not created, empty on success.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// Renews a lease.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LeaseKeepAliveRequest {
    /// The id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// The response to a renewal.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LeaseKeepAliveResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// The remaining time to live in seconds, zero if the lease has expired.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}
