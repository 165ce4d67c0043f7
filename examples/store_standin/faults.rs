//! The faults that the control port injects, and the call counts that it returns.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::sync::watch;

/// Injected faults and call counts, shared by all connections.
pub struct Faults {
    delay_ms: AtomicU64,
    losses_left: AtomicU64,
    errors_left: AtomicU64,
    /// Whether the store is down.
    pub down: watch::Sender<bool>,
    /// Incremented to close all open connections.
    pub breaks: watch::Sender<u64>,
    /// Incremented to freeze all open connections: they stay open, but nothing is
    /// read or written.
    pub freezes: watch::Sender<u64>,
    /// Unary calls and lease renewals in progress, including those that the client
    /// has abandoned.
    pub pending: AtomicU64,
    /// Number of range requests.
    pub range: AtomicU64,
    /// Number of transactions.
    pub txn: AtomicU64,
    /// Number of watch streams started.
    pub watch: AtomicU64,
    /// Watches that are currently open.
    pub open_watches: AtomicU64,
    /// Number of lease grants.
    pub grant: AtomicU64,
    /// Number of lease renewals.
    pub renew: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay_ms: AtomicU64::new(0),
            losses_left: AtomicU64::new(0),
            errors_left: AtomicU64::new(0),
            down: watch::Sender::new(false),
            breaks: watch::Sender::new(0),
            freezes: watch::Sender::new(0),
            pending: AtomicU64::new(0),
            range: AtomicU64::new(0),
            txn: AtomicU64::new(0),
            watch: AtomicU64::new(0),
            open_watches: AtomicU64::new(0),
            grant: AtomicU64::new(0),
            renew: AtomicU64::new(0),
        }
    }
}

impl Faults {
    /// Sets the delay of every call, in milliseconds; zero removes it.
    pub fn set_delay(&self, ms: u64) {
        self.delay_ms.store(ms, Relaxed);
    }

    /// Sets how many of the next responses to writes are dropped.
    pub fn set_losses(&self, count: u64) {
        self.losses_left.store(count, Relaxed);
    }

    /// Sets how many of the next writes return an error although they took
    /// effect.
    pub fn set_errors(&self, count: u64) {
        self.errors_left.store(count, Relaxed);
    }

    /// Waits for the configured delay.
    pub async fn delay(&self) {
        let ms = self.delay_ms.load(Relaxed);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    /// Returns whether to drop the response to a write, and decrements the number
    /// of responses left to drop.
    pub fn take_loss(&self) -> bool {
        take(&self.losses_left)
    }

    /// Returns whether to return an error for a write, and decrements the number
    /// of errors left.
    pub fn take_error(&self) -> bool {
        take(&self.errors_left)
    }

    /// Returns the call counts as JSON.
    pub fn counts(&self) -> serde_json::Value {
        serde_json::json!({
            "pending": self.pending.load(Relaxed),
            "range": self.range.load(Relaxed),
            "txn": self.txn.load(Relaxed),
            "watch": self.watch.load(Relaxed),
            "waiting": self.open_watches.load(Relaxed),
            "grant": self.grant.load(Relaxed),
            "renew": self.renew.load(Relaxed),
        })
    }
}

/// Decrements a counter. Returns false if it was already zero.
fn take(count: &AtomicU64) -> bool {
    let decrement = |n: u64| n.checked_sub(1);
    count.fetch_update(Relaxed, Relaxed, decrement).is_ok()
}
