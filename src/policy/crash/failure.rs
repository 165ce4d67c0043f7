//! Which failures count.

use crate::{domain::Millis, policy::once::Fingerprint};

/// How far a failed request had come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No byte of it was written.
    Unsent,
    /// The target may have seen it.
    Written,
    /// The head of the response had arrived.
    Answered,
}

/// What ended a request before its response was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The target reset or closed the connection.
    Broken,
    /// The connection is silent. The target may be slow or unreachable.
    Silent,
    /// This entry closed the connection, for a hedge or a caller that left.
    Cancelled,
}

/// How a request failed, as far as its entry saw.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// How far it had come.
    pub stage: Stage,
    /// What ended it.
    pub ending: Ending,
    /// Whether the target was known to be leaving. It may then have ended on
    /// purpose.
    pub leaving: bool,
}

/// Returns whether a failure is a strike against its request.
///
/// Only a connection that the target broke after dispatch and before the head
/// of the response counts. Silence may be a slow target or a lost link, an error
/// status comes from a target that is alive, and a truncated body from one that had processed the request.
/// `succeeded` says whether the fingerprint was executed successfully of late.
#[must_use]
pub fn is_strike(failure: Failure, succeeded: bool) -> bool {
    let crashed = failure.stage == Stage::Written && failure.ending == Ending::Broken;
    crashed && !failure.leaving && !succeeded
}

/// The number of remembered fingerprints. The table takes 384 KB at 48 bytes each.
const SUCCESSES: usize = 8192;

/// How long a success excuses later failures.
const EXCUSE: Millis = Millis(5 * 60 * 1000);

/// Fingerprints that were executed successfully of late.
///
/// It is a table with one place per hash value, in which a newer fingerprint
/// replaces an older one. A replaced fingerprint loses its excuse, which at
/// worst blocks a request that an operator can clear. Popular requests, which
/// need the excuse most, return to the table soonest.
#[derive(Debug)]
pub struct Successes {
    places: Vec<Option<(Fingerprint, Millis)>>,
}

impl Successes {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            places: vec![None; SUCCESSES],
        }
    }

    /// Notes that a target answered the request without a server error.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Millis) {
        self.places[place(fingerprint)] = Some((fingerprint, now));
    }

    /// Returns whether the request was executed successfully of late.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let found = self.places[place(fingerprint)];
        found.is_some_and(|(f, at)| f == fingerprint && now - at < EXCUSE)
    }
}

impl Default for Successes {
    fn default() -> Self {
        Self::new()
    }
}

fn place(fingerprint: Fingerprint) -> usize {
    let places = SUCCESSES as u128;
    usize::try_from(fingerprint.0 % places).unwrap_or_default()
}
