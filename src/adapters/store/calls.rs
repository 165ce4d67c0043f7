//! Counts of the calls to the store.

use std::{
    fmt,
    sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
};

/// The calls that one process has made to the store, for the metrics.
///
/// The store's rate is shared and limited, so every attempt counts, a repetition
/// at another endpoint and an attempt that cannot connect included. A watch
/// counts once, however long it waits.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
    failures: AtomicU64,
    down: AtomicBool,
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads of a key or of a page of keys.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Watches that were started.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Calls without a response.
    pub failures: u64,
}

impl Calls {
    /// Returns the counts. They are read one after the other.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            reads: self.reads.load(Relaxed),
            writes: self.writes.load(Relaxed),
            leases: self.leases.load(Relaxed),
            watches: self.watches.load(Relaxed),
            waiting: self.waiting.load(Relaxed),
            failures: self.failures.load(Relaxed),
        }
    }

    /// Tells whether the latest call got a response.
    #[must_use]
    pub fn up(&self) -> bool {
        !self.down.load(Relaxed)
    }

    pub(super) fn read(&self) {
        self.reads.fetch_add(1, Relaxed);
    }

    pub(super) fn write(&self) {
        self.writes.fetch_add(1, Relaxed);
    }

    pub(super) fn lease(&self) {
        self.leases.fetch_add(1, Relaxed);
    }

    pub(super) fn watch(&self) {
        self.watches.fetch_add(1, Relaxed);
    }

    pub(super) fn watch_began(&self) {
        self.waiting.fetch_add(1, Relaxed);
    }

    pub(super) fn watch_ended(&self) {
        self.waiting.fetch_sub(1, Relaxed);
    }

    pub(super) fn answered(&self) {
        self.down.store(false, Relaxed);
    }

    pub(super) fn failed(&self) {
        self.failures.fetch_add(1, Relaxed);
        self.down.store(true, Relaxed);
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} reads, {} writes, {} leases, {} watches ({} waiting), {} failures",
            self.reads, self.writes, self.leases, self.watches, self.waiting, self.failures
        )
    }
}
