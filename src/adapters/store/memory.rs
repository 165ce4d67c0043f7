//! A store inside the process, with the semantics of the platform's.
//!
//! Keys are held in [`Shards`], so that readers of different keys do not meet.
//! What has to be one sequence, the revision counter, the log of changes and
//! the watches, is behind a lock of its own, which is taken after the shard's.
//! A key keeps its former versions as long as the log reaches back, because a
//! list must show all keys at one moment although it visits one shard after the
//! other.
//!
//! Leases follow the [`Clock`] that is passed in. An expired key is removed by
//! the next operation that sees it, or by a timer, so that watches hear of it
//! without any operation.

use std::{
    collections::VecDeque,
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{Calls, VALUE_MAX, WATCH_BACKLOG};
use crate::{
    domain::{Millis, Revision, Shards},
    ports::{Clock, Record, Snapshot, Store, StoreError, Update, Write},
};

/// How many changes the log keeps. A watch that starts further back ends at
/// once, so that its reader lists again.
const LOG_MAX: usize = 4_096;

/// The peer that errors name.
const PEER: &str = "memory";

/// A store in memory. Clones share the same content.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    keys: Shards<Bytes, Vec<Version>>,
    log: Mutex<Log>,
    holders: AtomicU64,
}

/// One version of a key, the latest last. A version without value is a
/// deletion.
#[derive(Clone)]
struct Version {
    revision: Revision,
    value: Option<Bytes>,
    lease: Option<Lease>,
}

#[derive(Clone, Copy)]
struct Lease {
    holder: u64,
    ends: Millis,
}

struct Log {
    revision: Revision,
    /// The revision before the first change that is kept.
    start: Revision,
    updates: VecDeque<Update>,
    watches: Vec<Watch>,
}

struct Watch {
    prefix: Bytes,
    after: Revision,
    sender: mpsc::Sender<Update>,
}

/// Returns an empty store whose leases follow `clock`.
#[must_use]
pub fn open(clock: Clock) -> Memory {
    Memory {
        shared: Arc::new(Shared {
            clock,
            keys: Shards::new(),
            log: Mutex::new(Log {
                // The platform's store counts from 1, and a key at revision zero
                // is a key that does not exist.
                revision: Revision(1),
                start: Revision::default(),
                updates: VecDeque::new(),
                watches: Vec::new(),
            }),
            holders: AtomicU64::new(0),
        }),
    }
}

impl Memory {
    /// Returns the store for one process, which holds leases of its own and
    /// counts its calls in `calls`.
    #[must_use]
    pub fn store(&self, calls: &Arc<Calls>) -> Store {
        let holder = self.shared.holders.fetch_add(1, Relaxed);
        let (s, c) = (self.shared.clone(), calls.clone());
        let get = Arc::new(move |key: Bytes| {
            c.read();
            let found = s.get(&key);
            c.answered();
            ready(Ok(found))
        });
        let (s, c) = (self.shared.clone(), calls.clone());
        let list = Arc::new(move |prefix: Bytes| {
            c.read();
            let found = s.list(&prefix);
            c.answered();
            ready(Ok(found))
        });
        let (s, c) = (self.shared.clone(), calls.clone());
        let write = Arc::new(move |write: Write| {
            c.write();
            let result = s.write(write);
            c.answered();
            ready(result)
        });
        let (s, c) = (self.shared.clone(), calls.clone());
        let lease = Arc::new(move |(record, time): (Record, Millis)| {
            c.lease();
            let result = s.lease(holder, &record, time);
            c.answered();
            let expiry = (Arc::downgrade(&s), record.key, time);
            let started = result.is_ok();
            Box::pin(async move {
                if started {
                    tokio::spawn(expire_later(expiry));
                }
                result
            }) as crate::ports::Fut<_>
        });
        let (s, c) = (self.shared.clone(), calls.clone());
        let watch = Arc::new(move |(prefix, after): (Bytes, Revision)| {
            c.watch();
            let (updates, calls) = (s.watch(prefix, after), c.clone());
            c.answered();
            Box::pin(async move { Ok(counted(updates, calls)) }) as crate::ports::Fut<_>
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

fn ready<T: Send + 'static>(value: T) -> crate::ports::Fut<T> {
    Box::pin(std::future::ready(value))
}

/// Passes updates on and counts the watch as waiting until either side ends.
fn counted(mut updates: mpsc::Receiver<Update>, calls: Arc<Calls>) -> mpsc::Receiver<Update> {
    let (sender, receiver) = mpsc::channel(1);
    calls.watch_began();
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
        calls.watch_ended();
    });
    receiver
}

/// Removes the key when its lease has ended, unless it was renewed meanwhile.
async fn expire_later((shared, key, time): (Weak<Shared>, Bytes, Millis)) {
    tokio::time::sleep(time.duration()).await;
    if let Some(shared) = shared.upgrade() {
        shared
            .keys
            .get(&key, |versions| shared.expire(&key, versions));
    }
}

impl Shared {
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, key: &Bytes) -> Option<Record> {
        let read = |versions: &mut Vec<Version>| {
            self.expire(key, versions);
            record(key, versions.last()?)
        };
        self.keys.get(key, read).flatten()
    }

    fn list(&self, prefix: &Bytes) -> Snapshot {
        self.keys.each(|key, versions| {
            if key.starts_with(prefix) {
                self.expire(key, versions);
            }
        });
        loop {
            let revision = self.log().revision;
            let records = self.list_at(prefix, revision);
            // Versions are kept as far back as the log reaches. If it has moved
            // past the moment meanwhile, some may be missing.
            if self.log().reaches(revision) {
                return Snapshot { records, revision };
            }
        }
    }

    fn list_at(&self, prefix: &Bytes, moment: Revision) -> Vec<Record> {
        let mut records = Vec::new();
        self.keys.each(|key, versions| {
            if key.starts_with(prefix) {
                let mut past = versions.iter().rev();
                let version = past.find(|v| v.revision <= moment);
                records.extend(version.and_then(|v| record(key, v)));
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
            self.expire(&key, versions);
            let found = current(versions);
            if found != expected {
                return Err(StoreError::Conflict(found));
            }
            if value.is_none() && found == Revision::default() {
                // There is nothing to delete, and no change to give a revision.
                return Ok(self.log().revision);
            }
            Ok(self.append(&key, versions, value, None))
        })
    }

    fn lease(&self, holder: u64, record: &Record, time: Millis) -> Result<(), StoreError> {
        check_size("lease", Some(&record.value))?;
        let lease = Lease {
            holder,
            ends: (self.clock.now)() + time,
        };
        self.keys.with(record.key.clone(), Vec::new, |versions| {
            self.expire(&record.key, versions);
            let found = current(versions);
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
        if !log.reaches(after) {
            return mpsc::channel(1).1;
        }
        let missed = log.updates.iter().filter(|u| {
            let (key, revision) = subject(u);
            revision > after && key.starts_with(&prefix)
        });
        let missed: Vec<Update> = missed.cloned().collect();
        let (sender, receiver) = mpsc::channel(WATCH_BACKLOG + missed.len());
        for update in missed {
            // The channel has room for all of them.
            let _ = sender.try_send(update);
        }
        log.watches.push(Watch {
            prefix,
            after,
            sender,
        });
        receiver
    }

    /// Removes the key if its lease has ended. The shard's lock is held.
    fn expire(&self, key: &Bytes, versions: &mut Vec<Version>) {
        let lease = versions.last().and_then(|v| v.lease);
        if lease.is_some_and(|l| l.ends <= (self.clock.now)()) {
            self.append(key, versions, None, None);
        }
    }

    /// Gives a change its revision, notes it and tells the watches. The shard's
    /// lock is held, so a reader of the shard sees the change as soon as its
    /// revision is out.
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
        log.push(match record(key, &version) {
            Some(record) => Update::Put(record),
            None => Update::Delete(key.clone(), revision),
        });
        versions.push(version);
        // The last version at or before the start of the log is still needed to
        // list the key at that moment.
        let start = log.start;
        let past = versions.iter().filter(|v| v.revision <= start).count();
        versions.drain(..past.saturating_sub(1));
        revision
    }
}

impl Log {
    /// Tells whether every change after `revision` is kept.
    fn reaches(&self, revision: Revision) -> bool {
        revision >= self.start
    }

    fn push(&mut self, update: Update) {
        let (key, revision) = subject(&update);
        self.revision = revision;
        // A watch whose reader is gone or too slow ends here.
        self.watches.retain(|w| {
            let concerned = revision > w.after && key.starts_with(&w.prefix);
            !w.sender.is_closed() && (!concerned || w.sender.try_send(update.clone()).is_ok())
        });
        self.updates.push_back(update);
        if self.updates.len() > LOG_MAX
            && let Some(oldest) = self.updates.pop_front()
        {
            self.start = subject(&oldest).1;
        }
    }
}

fn subject(update: &Update) -> (&Bytes, Revision) {
    match update {
        Update::Put(record) => (&record.key, record.revision),
        Update::Delete(key, revision) => (key, *revision),
    }
}

/// Returns the key's revision, zero if there is no such key.
fn current(versions: &[Version]) -> Revision {
    let last = versions.last().filter(|v| v.value.is_some());
    last.map_or(Revision::default(), |v| v.revision)
}

fn record(key: &Bytes, version: &Version) -> Option<Record> {
    let value = version.value.clone()?;
    Some(Record {
        key: key.clone(),
        value,
        revision: version.revision,
    })
}

fn check_size(step: &'static str, value: Option<&Bytes>) -> Result<(), StoreError> {
    match value {
        Some(v) if v.len() > VALUE_MAX => Err(StoreError::Down {
            step,
            peer: PEER.to_owned(),
            cause: super::oversized(v.len()),
        }),
        _ => Ok(()),
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Memory")
    }
}
