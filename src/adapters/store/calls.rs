//! Counters of the calls to the store.

use std::{
    fmt,
    sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
};

/// Counters of the calls that one process makes to the store, for the metrics.
///
/// The store limits the combined rate of its clients, so every attempt is
/// counted, including retries at another endpoint and attempts that fail to
/// connect. A watch counts as one call, however long it stays open.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    open_watches: AtomicU64,
    failures: AtomicU64,
    down: AtomicBool,
}

/// Values of the [`CallCounters`] at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of a single key or of a page of keys.
    pub reads: u64,
    /// Write transactions.
    pub writes: u64,
    /// Lease grants and renewals.
    pub leases: u64,
    /// Requests to open a watch.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// Calls that got no response from any endpoint.
    pub failures: u64,
}

impl CallCounters {
    /// Returns the current counts. The counters are read one at a time, so the
    /// counts may differ by calls that are made meanwhile.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Relaxed),
            writes: self.writes.load(Relaxed),
            leases: self.leases.load(Relaxed),
            watches: self.watches.load(Relaxed),
            open_watches: self.open_watches.load(Relaxed),
            failures: self.failures.load(Relaxed),
        }
    }

    /// Returns whether the latest call got a response.
    #[must_use]
    pub fn is_up(&self) -> bool {
        !self.down.load(Relaxed)
    }

    pub(super) fn count_read(&self) {
        self.reads.fetch_add(1, Relaxed);
    }

    pub(super) fn count_write(&self) {
        self.writes.fetch_add(1, Relaxed);
    }

    pub(super) fn count_lease(&self) {
        self.leases.fetch_add(1, Relaxed);
    }

    pub(super) fn count_watch(&self) {
        self.watches.fetch_add(1, Relaxed);
    }

    pub(super) fn watch_opened(&self) {
        self.open_watches.fetch_add(1, Relaxed);
    }

    pub(super) fn watch_closed(&self) {
        self.open_watches.fetch_sub(1, Relaxed);
    }

    pub(super) fn record_response(&self) {
        self.down.store(false, Relaxed);
    }

    pub(super) fn record_failure(&self) {
        self.failures.fetch_add(1, Relaxed);
        self.down.store(true, Relaxed);
    }
}

impl fmt::Display for CallCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} reads, {} writes, {} leases, {} watches ({} waiting), {} failures",
            self.reads, self.writes, self.leases, self.watches, self.open_watches, self.failures
        )
    }
}
