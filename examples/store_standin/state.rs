//! Keys with their versions, leases and the log of changes.
//!
//! A transaction compares and writes any keys in one step, so everything is
//! behind one lock. That is also how the store that this stands in for behaves:
//! it carries out its writes one after the other.

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

/// How often ended leases are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<i64>,
}

struct State {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Bytes, Vec<KeyValue>>,
    log: BTreeMap<i64, Vec<Event>>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
}

struct Lease {
    time: Duration,
    ends: Instant,
    keys: BTreeSet<Bytes>,
}

/// Removes the keys of ended leases as long as the process runs.
pub async fn expire_leases(store: Arc<Store>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        store.change(State::expire);
    }
}

impl Store {
    /// Returns an empty store, whose revision is 1 as the protocol has it.
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
            changed: watch::Sender::new(1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out `f` and wakes the watches if the revision has grown.
    fn change<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let (result, revision) = {
            let mut state = self.lock();
            let result = f(&mut state);
            (result, state.revision)
        };
        self.changed.send_if_modified(|seen| {
            let grown = revision > *seen;
            *seen = revision.max(*seen);
            grown
        });
        result
    }

    /// Returns a receiver that wakes when the revision grows.
    pub fn changes(&self) -> watch::Receiver<i64> {
        self.changed.subscribe()
    }

    /// Reads keys.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        self.lock().range(request)
    }

    /// Carries out a transaction, and tells whether it has written.
    pub fn txn(&self, request: TxnRequest) -> Result<(TxnResponse, bool), Status> {
        self.change(|state| state.txn(request))
    }

    /// Creates a lease.
    pub fn grant(&self, seconds: i64, id: i64) -> Result<i64, Status> {
        self.change(|state| state.grant(seconds, id))
    }

    /// Renews a lease and returns its time in seconds, zero if it has ended.
    pub fn renew(&self, id: i64) -> i64 {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends = Instant::now() + lease.time;
        i64::try_from(lease.time.as_secs()).unwrap_or(i64::MAX)
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.lock().revision
    }

    /// Returns the changes from `start` on, or the oldest revision that is kept
    /// if that is later.
    pub fn events(&self, start: i64, key: &[u8], end: &[u8]) -> Result<(Vec<Event>, i64), i64> {
        let state = self.lock();
        if start <= state.compacted {
            return Err(state.compacted + 1);
        }
        let all = state.log.range(start..).flat_map(|(_, events)| events);
        let fits = |e: &&Event| e.kv.as_ref().is_some_and(|kv| contains(key, end, &kv.key));
        Ok((all.filter(fits).cloned().collect(), state.revision))
    }

    /// Forgets all former versions and changes.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.log.clear();
        for versions in state.keys.values_mut() {
            let old = versions.len().saturating_sub(1);
            versions.drain(..old);
        }
    }
}

impl State {
    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision,
        }
    }

    /// Returns the key at a revision, none if it does not exist then.
    fn at(&self, key: &Bytes, revision: i64) -> Option<&KeyValue> {
        let versions = self.keys.get(key)?;
        let last = versions.iter().rev().find(|v| v.mod_revision <= revision);
        last.filter(|v| v.version > 0)
    }

    fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        let moment = match request.revision {
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
        let inside = keys.take_while(|k| contains(&request.key, &request.range_end, k));
        let mut kvs: Vec<KeyValue> = inside
            .filter_map(|key| self.at(key, moment).cloned())
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
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.check(&operations)?;
        let next = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.carry_out(operation, next)?);
        }
        let written = self.log.contains_key(&next);
        if written {
            self.revision = next;
        }
        let response = TxnResponse {
            header: Some(self.header()),
            succeeded,
            responses,
        };
        Ok((response, written))
    }

    /// Refuses operations that cannot be carried out, before any of them is.
    fn check(&self, operations: &[RequestOp]) -> Result<(), Status> {
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

    fn carry_out(&mut self, operation: RequestOp, next: i64) -> Result<ResponseOp, Status> {
        let header = Some(ResponseHeader { revision: next });
        let response = match operation.request {
            Some(Operation::Range(range)) => OperationResponse::Range(self.range(&range)?),
            Some(Operation::Put(put)) => {
                self.put(put.key, Some(put.value), put.lease, next);
                OperationResponse::Put(PutResponse { header })
            }
            Some(Operation::DeleteRange(delete)) => {
                let found = self.at(&delete.key, next).is_some();
                if found {
                    self.put(delete.key, None, 0, next);
                }
                OperationResponse::DeleteRange(DeleteRangeResponse {
                    header,
                    deleted: i64::from(found),
                })
            }
            None => return Err(Status::unimplemented("the operation is not supported")),
        };
        Ok(ResponseOp {
            response: Some(response),
        })
    }

    /// Tells whether a comparison holds. A key that does not exist has zero for
    /// every property.
    fn holds(&self, compare: &Compare) -> bool {
        let stored = self.at(&compare.key, self.revision);
        let number = |f: fn(&KeyValue) -> i64| stored.map_or(0, f);
        let order = match &compare.value {
            Some(CompareValue::Version(n)) => number(|kv| kv.version).cmp(n),
            Some(CompareValue::CreateRevision(n)) => number(|kv| kv.create_revision).cmp(n),
            Some(CompareValue::ModRevision(n)) => number(|kv| kv.mod_revision).cmp(n),
            Some(CompareValue::Lease(n)) => number(|kv| kv.lease).cmp(n),
            Some(CompareValue::Value(value)) => match stored {
                Some(kv) => kv.value.cmp(value),
                None => return false,
            },
            // The codec leaves a zero out, which is then the value compared
            // with.
            None => match compare.target() {
                CompareTarget::Version => number(|kv| kv.version).cmp(&0),
                CompareTarget::Create => number(|kv| kv.create_revision).cmp(&0),
                CompareTarget::Mod => number(|kv| kv.mod_revision).cmp(&0),
                CompareTarget::Lease => number(|kv| kv.lease).cmp(&0),
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

    /// Writes a version, or a deletion if there is no value.
    fn put(&mut self, key: Bytes, value: Option<Bytes>, lease: i64, revision: i64) {
        let former = self.at(&key, revision).cloned().unwrap_or_default();
        if let Some(bound) = self.leases.get_mut(&former.lease) {
            bound.keys.remove(&key);
        }
        if let Some(bound) = self.leases.get_mut(&lease) {
            bound.keys.insert(key.clone());
        }
        let deleted = value.is_none();
        let kv = KeyValue {
            key: key.clone(),
            create_revision: match (deleted, former.version) {
                (true, _) => 0,
                (false, 0) => revision,
                (false, _) => former.create_revision,
            },
            mod_revision: revision,
            version: if deleted { 0 } else { former.version + 1 },
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
        let time = Duration::from_secs(seconds);
        let lease = Lease {
            time,
            ends: Instant::now() + time,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, l)| l.ends <= now);
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

/// Tells whether a range contains a key. An empty end stands for the first key
/// alone, a zero byte for a range without end.
fn contains(first: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == first,
        [0] => key >= first,
        end => key >= first && key < end,
    }
}
