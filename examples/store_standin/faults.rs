//! What the control port has asked for, and the counts that it reports.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::sync::watch;

/// Faults and counts, shared by all connections.
pub struct Faults {
    slow: AtomicU64,
    lose: AtomicU64,
    fail: AtomicU64,
    /// Whether the store is down.
    pub down: watch::Sender<bool>,
    /// Raised to break all connections at once.
    pub breaks: watch::Sender<u64>,
    /// Raised to leave all open connections silent.
    pub freezes: watch::Sender<u64>,
    /// Calls that are being carried out, those included whose client gave up.
    pub pending: AtomicU64,
    /// Range requests.
    pub range: AtomicU64,
    /// Transactions.
    pub txn: AtomicU64,
    /// Watches that were started.
    pub watch: AtomicU64,
    /// Watches that are waiting.
    pub waiting: AtomicU64,
    /// Grants of leases.
    pub grant: AtomicU64,
    /// Renewals of leases.
    pub renew: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: AtomicU64::new(0),
            lose: AtomicU64::new(0),
            fail: AtomicU64::new(0),
            down: watch::Sender::new(false),
            breaks: watch::Sender::new(0),
            freezes: watch::Sender::new(0),
            pending: AtomicU64::new(0),
            range: AtomicU64::new(0),
            txn: AtomicU64::new(0),
            watch: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            grant: AtomicU64::new(0),
            renew: AtomicU64::new(0),
        }
    }
}

impl Faults {
    /// Sets the delay of every call.
    pub fn set_slow(&self, ms: u64) {
        self.slow.store(ms, Relaxed);
    }

    /// Sets how many responses to writes are lost.
    pub fn set_lose(&self, count: u64) {
        self.lose.store(count, Relaxed);
    }

    /// Sets how many writes are answered with an error although they took
    /// effect.
    pub fn set_fail(&self, count: u64) {
        self.fail.store(count, Relaxed);
    }

    /// Waits as long as the store is slow.
    pub async fn delay(&self) {
        let ms = self.slow.load(Relaxed);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    /// Tells whether the response to a write is to be lost, and counts it.
    pub fn loses(&self) -> bool {
        take(&self.lose)
    }

    /// Tells whether a write is to be answered with an error, and counts it.
    pub fn fails(&self) -> bool {
        take(&self.fail)
    }

    /// Returns the counts.
    pub fn counts(&self) -> serde_json::Value {
        serde_json::json!({
            "pending": self.pending.load(Relaxed),
            "range": self.range.load(Relaxed),
            "txn": self.txn.load(Relaxed),
            "watch": self.watch.load(Relaxed),
            "waiting": self.waiting.load(Relaxed),
            "grant": self.grant.load(Relaxed),
            "renew": self.renew.load(Relaxed),
        })
    }
}

fn take(count: &AtomicU64) -> bool {
    let less = |n: u64| n.checked_sub(1);
    count.fetch_update(Relaxed, Relaxed, less).is_ok()
}
