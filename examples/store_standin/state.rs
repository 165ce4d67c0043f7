//! Keys with their versions, leases and the event log.
//!
//! A transaction compares and writes any set of keys atomically, so one lock
//! protects the whole state. The real store also applies its writes one after
//! the other.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use savorybeam::adapters::store::{
    MAX_VALUE_BYTES,
    messages::{
        Compare, CompareResult, CompareTarget, CompareValue, DeleteRangeResponse, Event, EventKind,
        KeyValue, Operation, OperationResponse, PutResponse, RangeRequest, RangeResponse,
        RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
    },
};
use tokio::sync::watch;
use tonic::Status;

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// An in-memory store with a subset of the semantics of etcd.
pub struct Store {
    state: Mutex<State>,
    /// The copy of the content to come back from.
    copy: Mutex<Option<State>>,
    /// The current revision, which wakes the watches when it increases.
    revisions: watch::Sender<i64>,
}

#[derive(Clone)]
struct State {
    revision: i64,
    /// The revision up to which events and superseded versions are discarded.
    compacted: i64,
    /// The versions of each key, oldest first.
    keys: BTreeMap<Bytes, Vec<KeyValue>>,
    /// The events of each revision.
    log: BTreeMap<i64, Vec<Event>>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Bytes>,
}

/// Removes the keys of expired leases until the process exits.
pub async fn expire_leases(store: Arc<Store>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        store.update(State::expire);
    }
}

impl Store {
    /// Returns an empty store at revision 1, the initial revision in etcd.
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                revision: 1,
                compacted: 0,
                keys: BTreeMap::new(),
                log: BTreeMap::new(),
                leases: HashMap::new(),
                next_lease: 1,
            }),
            copy: Mutex::default(),
            revisions: watch::Sender::new(1),
        }
    }

    fn lock_copy(&self) -> MutexGuard<'_, Option<State>> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a copy of the content, in place of an earlier one.
    pub fn keep_copy(&self) {
        let copy = self.lock().clone();
        *self.lock_copy() = Some(copy);
    }

    /// Replaces the content by the copy, if there is one, and discards its leases
    /// with their keys. The watches of before must be closed.
    pub fn restore(&self) {
        let Some(mut copy) = self.lock_copy().clone() else {
            return;
        };
        copy.end_leases(|_| true);
        let revision = copy.revision;
        *self.lock() = copy;
        self.revisions.send_replace(revision);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on the state and wakes the watches if the revision has increased.
    fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let (result, revision) = {
            let mut state = self.lock();
            let result = f(&mut state);
            (result, state.revision)
        };
        self.revisions.send_if_modified(|latest| {
            let increased = revision > *latest;
            *latest = revision.max(*latest);
            increased
        });
        result
    }

    /// Returns a receiver that is notified when the revision increases.
    pub fn watch_revision(&self) -> watch::Receiver<i64> {
        self.revisions.subscribe()
    }

    /// Reads a range of keys.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        self.lock().range(request)
    }

    /// Executes a transaction, and returns whether it wrote anything.
    pub fn txn(&self, request: TxnRequest) -> Result<(TxnResponse, bool), Status> {
        self.update(|state| state.txn(request))
    }

    /// Creates a lease and returns its id. Id 0 picks a free one.
    pub fn grant(&self, seconds: i64, id: i64) -> Result<i64, Status> {
        self.update(|state| state.grant(seconds, id))
    }

    /// Renews a lease and returns its TTL in seconds, or zero if it has expired.
    pub fn renew(&self, id: i64) -> i64 {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires = Instant::now() + lease.ttl;
        i64::try_from(lease.ttl.as_secs()).unwrap_or(i64::MAX)
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.lock().revision
    }

    /// Returns the events of a key range from revision `start` on, and the current
    /// revision. If `start` has been compacted, the error is the oldest revision
    /// that is available.
    pub fn events(&self, start: i64, key: &[u8], end: &[u8]) -> Result<(Vec<Event>, i64), i64> {
        let state = self.lock();
        if start <= state.compacted {
            return Err(state.compacted + 1);
        }
        let all = state.log.range(start..).flat_map(|(_, events)| events);
        let in_range = |e: &&Event| e.kv.as_ref().is_some_and(|kv| contains(key, end, &kv.key));
        Ok((all.filter(in_range).cloned().collect(), state.revision))
    }

    /// Discards the event log and all versions but the latest of each key.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.log.clear();
        for versions in state.keys.values_mut() {
            let superseded = versions.len().saturating_sub(1);
            versions.drain(..superseded);
        }
    }
}

impl State {
    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision,
        }
    }

    /// Returns a key's value at a revision, or none if the key does not exist at
    /// that revision.
    fn value_at(&self, key: &Bytes, revision: i64) -> Option<&KeyValue> {
        let versions = self.keys.get(key)?;
        let last = versions.iter().rev().find(|v| v.mod_revision <= revision);
        last.filter(|v| v.version > 0)
    }

    fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        let revision = match request.revision {
            0 => self.revision,
            n if n < self.compacted => {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision has been compacted",
                ));
            }
            n if n > self.revision => {
                return Err(Status::out_of_range(
                    "etcdserver: mvcc: required revision is a future revision",
                ));
            }
            n => n,
        };
        let first = request.key.clone();
        let keys = self.keys.range(first..).map(|(key, _)| key);
        let selected = keys.take_while(|k| contains(&request.key, &request.range_end, k));
        let mut kvs: Vec<KeyValue> = selected
            .filter_map(|key| self.value_at(key, revision).cloned())
            .collect();
        let count = kvs.len();
        let limit = usize::try_from(request.limit).unwrap_or_default();
        if limit > 0 {
            kvs.truncate(limit);
        }
        if request.keys_only {
            for kv in &mut kvs {
                kv.value = Bytes::new();
            }
        }
        Ok(RangeResponse {
            header: Some(self.header()),
            more: kvs.len() < count,
            kvs,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        })
    }

    fn txn(&mut self, request: TxnRequest) -> Result<(TxnResponse, bool), Status> {
        let succeeded = request.compare.iter().all(|c| self.evaluate(c));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.validate(&operations)?;
        let next = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.apply(operation, next)?);
        }
        let wrote = self.log.contains_key(&next);
        if wrote {
            self.revision = next;
        }
        let response = TxnResponse {
            header: Some(self.header()),
            succeeded,
            responses,
        };
        Ok((response, wrote))
    }

    /// Returns an error if an operation is invalid, so that a transaction fails
    /// before any of its operations is applied.
    fn validate(&self, operations: &[RequestOp]) -> Result<(), Status> {
        for operation in operations {
            let Some(Operation::Put(put)) = &operation.request else {
                continue;
            };
            if put.value.len() > MAX_VALUE_BYTES {
                return Err(Status::invalid_argument("etcdserver: request is too large"));
            }
            if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                return Err(Status::not_found("etcdserver: requested lease not found"));
            }
        }
        Ok(())
    }

    fn apply(&mut self, operation: RequestOp, next: i64) -> Result<ResponseOp, Status> {
        let header = Some(ResponseHeader { revision: next });
        let response = match operation.request {
            Some(Operation::Range(range)) => OperationResponse::Range(self.range(&range)?),
            Some(Operation::Put(put)) => {
                self.put(put.key, Some(put.value), put.lease, next);
                OperationResponse::Put(PutResponse { header })
            }
            Some(Operation::DeleteRange(delete)) => {
                let found = self.value_at(&delete.key, next).is_some();
                if found {
                    self.put(delete.key, None, 0, next);
                }
                OperationResponse::DeleteRange(DeleteRangeResponse {
                    header,
                    deleted: i64::from(found),
                })
            }
            None => return Err(Status::unimplemented("unsupported operation")),
        };
        Ok(ResponseOp {
            response: Some(response),
        })
    }

    /// Returns whether a comparison is true. For a key that does not exist, all
    /// numeric properties are zero and a comparison of the value is false.
    fn evaluate(&self, compare: &Compare) -> bool {
        let stored = self.value_at(&compare.key, self.revision);
        let property = |f: fn(&KeyValue) -> i64| stored.map_or(0, f);
        let order = match &compare.value {
            Some(CompareValue::Version(n)) => property(|kv| kv.version).cmp(n),
            Some(CompareValue::CreateRevision(n)) => property(|kv| kv.create_revision).cmp(n),
            Some(CompareValue::ModRevision(n)) => property(|kv| kv.mod_revision).cmp(n),
            Some(CompareValue::Lease(n)) => property(|kv| kv.lease).cmp(n),
            Some(CompareValue::Value(value)) => match stored {
                Some(kv) => kv.value.cmp(value),
                None => return false,
            },
            // The codec omits a zero, so a missing value means a comparison with
            // zero.
            None => match compare.target() {
                CompareTarget::Version => property(|kv| kv.version).cmp(&0),
                CompareTarget::Create => property(|kv| kv.create_revision).cmp(&0),
                CompareTarget::Mod => property(|kv| kv.mod_revision).cmp(&0),
                CompareTarget::Lease => property(|kv| kv.lease).cmp(&0),
                CompareTarget::Value => return false,
            },
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Appends a version of a key, or a deletion if `value` is none.
    fn put(&mut self, key: Bytes, value: Option<Bytes>, lease: i64, revision: i64) {
        let previous = self.value_at(&key, revision).cloned().unwrap_or_default();
        if let Some(old_lease) = self.leases.get_mut(&previous.lease) {
            old_lease.keys.remove(&key);
        }
        if let Some(new_lease) = self.leases.get_mut(&lease) {
            new_lease.keys.insert(key.clone());
        }
        let deleted = value.is_none();
        let kv = KeyValue {
            key: key.clone(),
            create_revision: match (deleted, previous.version) {
                (true, _) => 0,
                (false, 0) => revision,
                (false, _) => previous.create_revision,
            },
            mod_revision: revision,
            version: if deleted { 0 } else { previous.version + 1 },
            value: value.unwrap_or_default(),
            lease,
        };
        let kind = if deleted {
            EventKind::Delete
        } else {
            EventKind::Put
        };
        let event = Event {
            kind: kind.into(),
            kv: Some(kv.clone()),
        };
        self.log.entry(revision).or_default().push(event);
        self.keys.entry(key).or_default().push(kv);
    }

    fn grant(&mut self, seconds: i64, id: i64) -> Result<i64, Status> {
        let seconds = u64::try_from(seconds).unwrap_or_default().max(1);
        let id = if id == 0 { self.next_lease } else { id };
        if self.leases.contains_key(&id) {
            return Err(Status::failed_precondition(
                "etcdserver: lease already exists",
            ));
        }
        self.next_lease = self.next_lease.max(id) + 1;
        let ttl = Duration::from_secs(seconds);
        let lease = Lease {
            ttl,
            expires: Instant::now() + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.end_leases(|lease| lease.expires <= now);
    }

    /// Ends leases and removes their keys.
    fn end_leases(&mut self, is_over: impl Fn(&Lease) -> bool) {
        let ended = self.leases.iter().filter(|(_, lease)| is_over(lease));
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            let keys = self.leases.remove(&id).map(|l| l.keys).unwrap_or_default();
            let next = self.revision + 1;
            for key in keys {
                self.put(key, None, 0, next);
                self.revision = next;
            }
        }
    }
}

/// Returns whether a range contains a key. As in etcd, an empty `end` selects
/// only the key `first`, and a single zero byte means that the range has no end.
fn contains(first: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == first,
        [0] => key >= first,
        end => key >= first && key < end,
    }
}
