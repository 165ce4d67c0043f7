//! An in-memory store with the semantics of the platform's store.
//!
//! Keys are kept in [`Shards`], so that operations on different keys rarely
//! contend for a lock. The revision counter, the log of changes and the watches
//! need a single order, so they share a separate lock, which is taken after the
//! shard's lock. Each key keeps its old versions as far back as the log
//! reaches, because a list must return all keys at one revision although it
//! visits the shards one after the other.
//!
//! Leases expire by the [`Clock`] that is passed in. An expired key is removed
//! by the next operation on it or by a timer, so that watches are notified even
//! if no operation follows.

use std::{
    collections::VecDeque,
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{CallCounters, MAX_VALUE_BYTES, MAX_WATCH_BACKLOG};
use crate::{
    domain::{Millis, Revision, Shards, lock},
    ports::{Clock, Record, Snapshot, Store, StoreError, Update, Write},
};

/// How many updates the log keeps. A watch that starts before the oldest of
/// them ends immediately, so that its reader lists again.
const MAX_LOG_UPDATES: usize = 4_096;

/// The peer name in errors.
const PEER_NAME: &str = "memory";

/// An in-memory store. Clones share their content.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    keys: Shards<Bytes, Vec<Version>>,
    log: Mutex<Log>,
    /// The holder id of the next [`Store`] that is created.
    next_holder: AtomicU64,
}

/// One version of a key. A version without a value is a deletion. The versions
/// of a key are in ascending order of their revisions.
#[derive(Clone)]
struct Version {
    revision: Revision,
    value: Option<Bytes>,
    lease: Option<Lease>,
}

/// The lease that a version is bound to.
#[derive(Clone, Copy)]
struct Lease {
    holder: u64,
    expires_at: Millis,
}

/// The latest changes of all keys, and the watches that follow them.
struct Log {
    /// The store's current revision.
    revision: Revision,
    /// The revision before the oldest update that is kept.
    compacted: Revision,
    updates: VecDeque<Update>,
    watches: Vec<Watch>,
}

struct Watch {
    prefix: Bytes,
    after: Revision,
    sender: mpsc::Sender<Update>,
}

/// Returns an empty store whose leases expire by `clock`.
#[must_use]
pub fn open(clock: Clock) -> Memory {
    Memory {
        shared: Arc::new(Shared {
            clock,
            keys: Shards::new(),
            log: Mutex::new(Log {
                // The platform's store starts at revision 1; revision zero
                // stands for a key that does not exist.
                revision: Revision(1),
                compacted: Revision::default(),
                updates: VecDeque::new(),
                watches: Vec::new(),
            }),
            next_holder: AtomicU64::new(0),
        }),
    }
}

impl Memory {
    /// Returns a handle for one process, which holds its own leases. Calls are
    /// counted in `counters`.
    #[must_use]
    pub fn store(&self, counters: &Arc<CallCounters>) -> Store {
        let holder = self.shared.next_holder.fetch_add(1, Relaxed);
        let (s, c) = (self.shared.clone(), counters.clone());
        let get = Arc::new(move |key: Bytes| {
            c.count_read();
            let found = s.get(&key);
            c.record_response();
            ready_future(Ok(found))
        });
        let (s, c) = (self.shared.clone(), counters.clone());
        let list = Arc::new(move |prefix: Bytes| {
            c.count_read();
            let found = s.list(&prefix);
            c.record_response();
            ready_future(Ok(found))
        });
        let (s, c) = (self.shared.clone(), counters.clone());
        let write = Arc::new(move |write: Write| {
            c.count_write();
            let result = s.write(write);
            c.record_response();
            ready_future(result)
        });
        let (s, c) = (self.shared.clone(), counters.clone());
        let lease = Arc::new(move |(record, ttl): (Record, Millis)| {
            c.count_lease();
            let result = s.lease(holder, &record, ttl);
            c.record_response();
            let expiry = (Arc::downgrade(&s), record.key, ttl);
            let held = result.is_ok();
            Box::pin(async move {
                if held {
                    tokio::spawn(expire_after(expiry));
                }
                result
            }) as crate::ports::Fut<_>
        });
        let (s, c) = (self.shared.clone(), counters.clone());
        let watch = Arc::new(move |(prefix, after): (Bytes, Revision)| {
            c.count_watch();
            let (updates, counters) = (s.watch(prefix, after), c.clone());
            c.record_response();
            Box::pin(async move { Ok(forward_counted(updates, counters)) }) as crate::ports::Fut<_>
        });
        Store {
            get,
            list,
            write,
            lease,
            watch,
        }
    }
}

fn ready_future<T: Send + 'static>(value: T) -> crate::ports::Fut<T> {
    Box::pin(std::future::ready(value))
}

/// Forwards updates and counts the watch as open until either side ends.
fn forward_counted(
    mut updates: mpsc::Receiver<Update>,
    counters: Arc<CallCounters>,
) -> mpsc::Receiver<Update> {
    let (sender, receiver) = mpsc::channel(1);
    counters.watch_opened();
    tokio::spawn(async move {
        loop {
            let update = tokio::select! {
                update = updates.recv() => update,
                () = sender.closed() => None,
            };
            let Some(update) = update else { break };
            if sender.send(update).await.is_err() {
                break;
            }
        }
        counters.watch_closed();
    });
    receiver
}

/// Waits for `ttl` and then removes the key, unless its lease has been renewed.
async fn expire_after((shared, key, ttl): (Weak<Shared>, Bytes, Millis)) {
    tokio::time::sleep(ttl.duration()).await;
    if let Some(shared) = shared.upgrade() {
        shared
            .keys
            .get(&key, |versions| shared.remove_expired(&key, versions));
    }
}

impl Shared {
    fn log(&self) -> MutexGuard<'_, Log> {
        lock(&self.log)
    }

    fn get(&self, key: &Bytes) -> Option<Record> {
        let read = |versions: &mut Vec<Version>| {
            self.remove_expired(key, versions);
            to_record(key, versions.last()?)
        };
        self.keys.get(key, read).flatten()
    }

    fn list(&self, prefix: &Bytes) -> Snapshot {
        self.keys.each(|key, versions| {
            if key.starts_with(prefix) {
                self.remove_expired(key, versions);
            }
        });
        loop {
            let revision = self.log().revision;
            let records = self.list_at(prefix, revision);
            // Versions are kept as far back as the log reaches. If the log has
            // moved past this revision meanwhile, some versions may be missing.
            if self.log().retains_after(revision) {
                return Snapshot { records, revision };
            }
        }
    }

    fn list_at(&self, prefix: &Bytes, at_revision: Revision) -> Vec<Record> {
        let mut records = Vec::new();
        self.keys.each(|key, versions| {
            if key.starts_with(prefix) {
                let mut newest_first = versions.iter().rev();
                let version = newest_first.find(|v| v.revision <= at_revision);
                records.extend(version.and_then(|v| to_record(key, v)));
            }
        });
        records.sort_by(|a, b| a.key.cmp(&b.key));
        records
    }

    fn write(&self, write: Write) -> Result<Revision, StoreError> {
        check_size("write", write.value.as_ref())?;
        let Write {
            key,
            value,
            expected,
        } = write;
        self.keys.with(key.clone(), Vec::new, |versions| {
            self.remove_expired(&key, versions);
            let found = current_revision(versions);
            if found != expected {
                return Err(StoreError::Conflict(found));
            }
            if value.is_none() && found == Revision::default() {
                // There is no key to delete, so the revision does not change.
                return Ok(self.log().revision);
            }
            Ok(self.append(&key, versions, value, None))
        })
    }

    fn lease(&self, holder: u64, record: &Record, ttl: Millis) -> Result<(), StoreError> {
        check_size("lease", Some(&record.value))?;
        let lease = Lease {
            holder,
            expires_at: (self.clock.now)() + ttl,
        };
        self.keys.with(record.key.clone(), Vec::new, |versions| {
            self.remove_expired(&record.key, versions);
            let found = current_revision(versions);
            match versions.last_mut() {
                Some(v) if v.lease.is_some_and(|l| l.holder == holder) => {
                    v.lease = Some(lease);
                    if v.value.as_ref() == Some(&record.value) {
                        return Ok(());
                    }
                }
                Some(v) if v.value.is_some() => return Err(StoreError::Conflict(found)),
                _ => {}
            }
            let value = Some(record.value.clone());
            self.append(&record.key, versions, value, Some(lease));
            Ok(())
        })
    }

    fn watch(&self, prefix: Bytes, after: Revision) -> mpsc::Receiver<Update> {
        let mut log = self.log();
        if !log.retains_after(after) {
            return mpsc::channel(1).1;
        }
        let missed = log.updates.iter().filter(|u| {
            let (key, revision) = key_and_revision(u);
            revision > after && key.starts_with(&prefix)
        });
        let missed: Vec<Update> = missed.cloned().collect();
        let (sender, receiver) = mpsc::channel(MAX_WATCH_BACKLOG + missed.len());
        for update in missed {
            // The channel's capacity includes all missed updates.
            let _ = sender.try_send(update);
        }
        log.watches.push(Watch {
            prefix,
            after,
            sender,
        });
        receiver
    }

    /// Removes the key if its lease has expired. The caller holds the shard's
    /// lock.
    fn remove_expired(&self, key: &Bytes, versions: &mut Vec<Version>) {
        let lease = versions.last().and_then(|v| v.lease);
        if lease.is_some_and(|l| l.expires_at <= (self.clock.now)()) {
            self.append(key, versions, None, None);
        }
    }

    /// Assigns a revision to a change, appends it to the log and notifies the
    /// watches. The caller holds the shard's lock, so a reader that has learned
    /// the new revision also finds the change in the shard.
    fn append(
        &self,
        key: &Bytes,
        versions: &mut Vec<Version>,
        value: Option<Bytes>,
        lease: Option<Lease>,
    ) -> Revision {
        let mut log = self.log();
        let revision = log.revision.next();
        let version = Version {
            revision,
            value,
            lease,
        };
        log.push(match to_record(key, &version) {
            Some(record) => Update::Put(record),
            None => Update::Delete(key.clone(), revision),
        });
        versions.push(version);
        // The last version at or before the start of the log is still needed to
        // list the key at that revision.
        let compacted = log.compacted;
        let compacted_versions = versions.iter().filter(|v| v.revision <= compacted).count();
        versions.drain(..compacted_versions.saturating_sub(1));
        revision
    }
}

impl Log {
    /// Returns whether every update after `revision` is kept.
    fn retains_after(&self, revision: Revision) -> bool {
        revision >= self.compacted
    }

    fn push(&mut self, update: Update) {
        let (key, revision) = key_and_revision(&update);
        self.revision = revision;
        // Ends the watches whose reader is gone or whose buffer is full.
        self.watches.retain(|w| {
            let affected = revision > w.after && key.starts_with(&w.prefix);
            !w.sender.is_closed() && (!affected || w.sender.try_send(update.clone()).is_ok())
        });
        self.updates.push_back(update);
        if self.updates.len() > MAX_LOG_UPDATES
            && let Some(oldest) = self.updates.pop_front()
        {
            self.compacted = key_and_revision(&oldest).1;
        }
    }
}

fn key_and_revision(update: &Update) -> (&Bytes, Revision) {
    match update {
        Update::Put(record) => (&record.key, record.revision),
        Update::Delete(key, revision) => (key, *revision),
    }
}

/// Returns the key's current revision, or zero if the key does not exist.
fn current_revision(versions: &[Version]) -> Revision {
    let last = versions.last().filter(|v| v.value.is_some());
    last.map_or(Revision::default(), |v| v.revision)
}

/// Returns the record of a version, or `None` for a deletion.
fn to_record(key: &Bytes, version: &Version) -> Option<Record> {
    let value = version.value.clone()?;
    Some(Record {
        key: key.clone(),
        value,
        revision: version.revision,
    })
}

fn check_size(step: &'static str, value: Option<&Bytes>) -> Result<(), StoreError> {
    match value {
        Some(v) if v.len() > MAX_VALUE_BYTES => Err(StoreError::Down {
            step,
            peer: PEER_NAME.to_owned(),
            cause: super::too_large_message(v.len()),
        }),
        _ => Ok(()),
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Memory")
    }
}
