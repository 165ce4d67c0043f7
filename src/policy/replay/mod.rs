//! Replay: which bodies are kept so that a request can be sent again.
//!
//! A target may reject a request after a part of its body was sent to it, and a
//! connection may fail before any of it was. Another target can then run the
//! request only if the whole body is still there. A body is therefore kept
//! while it passes through, up to [`MAX_KEPT`], as long as all bodies together
//! fit into the [`Budget`] of the process. A body that is not kept is passed on
//! all the same, and its request is sent to one target only.
//!
//! The start of a response is kept as well, before any of it is passed on, so
//! that another target can answer if the response breaks off. Faulty targets may
//! send many responses without an end at the same time, so that a bound on each
//! of them is not enough: they have a [`Budget`] of their own, and a response for
//! which it has no room is passed on from its first byte.
//!
//! See [docs/platform.md](../../../docs/platform.md).

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use crate::domain::Size;

/// The longest body that is kept.
pub const MAX_KEPT: Size = Size::kib(512);

/// The fraction of the process's memory that kept bodies may take is one in
/// this number. The rest is needed for connections.
const MEMORY_DIVISOR: u64 = 16;

/// The memory that all kept bodies of one direction may take.
#[derive(Debug)]
pub struct Budget {
    total: u64,
    used: AtomicU64,
}

impl Budget {
    /// Returns the budget of a process with the given memory.
    #[must_use]
    pub fn new(memory: Size) -> Arc<Self> {
        Arc::new(Self {
            total: memory.0 / MEMORY_DIVISOR,
            used: AtomicU64::new(0),
        })
    }

    /// Returns the bytes that are kept now.
    #[must_use]
    pub fn used(&self) -> Size {
        Size(self.used.load(Relaxed))
    }

    /// Returns the share of a body of which nothing is kept yet.
    #[must_use]
    pub fn share(self: &Arc<Self>) -> Share {
        Share {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The part of a [`Budget`] that one body takes. It is given back on drop.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    bytes: u64,
}

impl Share {
    /// Takes `bytes` more. Returns false, and takes nothing, if the body is too
    /// long to be kept or if the budget is exhausted.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.bytes + bytes > MAX_KEPT.0 {
            return false;
        }
        let total = self.budget.total;
        let take = |used: u64| used.checked_add(bytes).filter(|sum| *sum <= total);
        let taken = self.budget.used.fetch_update(Relaxed, Relaxed, take);
        self.bytes += if taken.is_ok() { bytes } else { 0 };
        taken.is_ok()
    }

    /// Gives back all that was taken.
    pub fn release(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Relaxed);
        self.bytes = 0;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release();
    }
}
