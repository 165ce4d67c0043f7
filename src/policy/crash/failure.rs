//! Which failures are strikes against a request.

use crate::{domain::Millis, policy::once::Fingerprint};

/// How far the exchange of a failed request had progressed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No byte of the request was written.
    Unsent,
    /// Part of the request was written, so the target may have received it.
    Written,
    /// The head of the response had arrived.
    Answered,
}

/// Why a request ended before its response was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The target reset or closed the connection.
    Broken,
    /// Nothing arrives on the connection. The target may be slow or unreachable.
    Silent,
    /// This entry closed the connection, because of a hedge or because the caller
    /// disconnected.
    Cancelled,
}

/// How a request failed, as observed by its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// How far the exchange had progressed.
    pub stage: Stage,
    /// Why it ended.
    pub cause: FailureCause,
    /// Whether the target was known to be leaving. It may then have been stopped
    /// on purpose.
    pub leaving: bool,
}

/// Returns whether a failure is a strike against its request.
///
/// It is one only if the target broke the connection after the dispatch and before
/// the head of the response. A silent connection may be caused by a slow target
/// or a lost link, an error status comes from a target that is alive, and a
/// truncated body from a target that had processed the request. `succeeded` says
/// whether the fingerprint was recently executed successfully.
#[must_use]
pub fn is_strike(failure: Failure, succeeded: bool) -> bool {
    let crashed = failure.stage == Stage::Written && failure.cause == FailureCause::Broken;
    crashed && !failure.leaving && !succeeded
}

/// The number of slots for fingerprints. The table takes 384 KiB at 48 bytes each.
const SUCCESS_SLOTS: usize = 8192;

/// How long a success prevents failures from being counted as strikes.
const SUCCESS_LIFETIME: Millis = Millis(5 * 60 * 1000);

/// Fingerprints that were recently executed successfully.
///
/// It is a hash table with one slot per hash value, in which a newer fingerprint
/// replaces an older one. The failures of a replaced fingerprint are counted
/// again, so at worst a request is blocked until an operator clears it. Popular
/// requests, which most need their success remembered, return to the table
/// soonest.
#[derive(Debug)]
pub struct RecentSuccesses {
    slots: Vec<Option<(Fingerprint, Millis)>>,
}

impl RecentSuccesses {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::with_slots(SUCCESS_SLOTS)
    }

    /// Returns an empty table with the given number of slots, at least one. A slot takes
    /// 48 bytes.
    #[must_use]
    pub fn with_slots(count: usize) -> Self {
        Self {
            slots: vec![None; count.max(1)],
        }
    }

    /// Records that a target answered the request without a server error.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Millis) {
        let index = self.index(fingerprint);
        self.slots[index] = Some((fingerprint, now));
    }

    /// Returns whether the request was recently executed successfully.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let found = self.slots[self.index(fingerprint)];
        found.is_some_and(|(f, at)| f == fingerprint && now - at < SUCCESS_LIFETIME)
    }

    fn index(&self, fingerprint: Fingerprint) -> usize {
        let count = self.slots.len() as u128;
        usize::try_from(fingerprint.0 % count).unwrap_or_default()
    }
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self::new()
    }
}
