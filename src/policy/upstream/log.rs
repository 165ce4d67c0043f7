//! The latest changes, for those who ask.

use std::collections::VecDeque;

use crate::domain::{Millis, Revision};

/// The most changes that are kept. Whoever is further behind reads everything.
const KEPT_MAX: usize = 2_000;

/// How long changes are kept. An entry that was silent for longer reads
/// everything.
const KEPT: Millis = Millis(30_000);

struct Batch<T> {
    at: Millis,
    revision: Revision,
    changes: Vec<T>,
}

/// The latest changes with the revisions up to which they are complete.
///
/// A batch may be handed out to one who knows a part of it already. Changes are
/// states, not steps, so that repeating them in their order ends in the same
/// state.
pub struct Log<T> {
    /// The revision after which all changes are here.
    from: Revision,
    revision: Revision,
    at: Millis,
    batches: VecDeque<Batch<T>>,
    count: usize,
}

impl<T> Default for Log<T> {
    fn default() -> Self {
        Self {
            from: Revision(u64::MAX),
            revision: Revision(0),
            at: Millis(0),
            batches: VecDeque::new(),
            count: 0,
        }
    }
}

impl<T> std::fmt::Debug for Log<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { from, revision, .. } = self;
        write!(f, "Log({from}..{revision}, {} changes)", self.count)
    }
}

impl<T: Clone> Log<T> {
    /// Starts again at a revision up to which everything was read at `at`.
    pub fn restart(&mut self, at: Millis, revision: Revision) {
        *self = Self {
            from: revision,
            revision,
            at,
            ..Self::default()
        };
    }

    /// Adds the changes up to a revision, as the store knew them at `at`.
    pub fn push(&mut self, at: Millis, revision: Revision, changes: Vec<T>) {
        self.at = self.at.max(at);
        self.revision = self.revision.max(revision);
        if !changes.is_empty() {
            self.count += changes.len();
            self.batches.push_back(Batch {
                at,
                revision,
                changes,
            });
        }
        while let Some(first) = self.batches.front()
            && (self.count > KEPT_MAX || first.at + KEPT < at)
        {
            self.from = self.from.max(first.revision);
            self.count -= first.changes.len();
            self.batches.pop_front();
        }
    }

    /// Returns the changes after a revision, or none if some of them are gone.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<Vec<T>> {
        if revision < self.from {
            return None;
        }
        let missing = self.batches.iter().filter(|b| b.revision > revision);
        Some(missing.flat_map(|b| b.changes.iter().cloned()).collect())
    }

    /// Returns the revision up to which everything is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the instant as of which this is what the store knew.
    #[must_use]
    pub fn at(&self) -> Millis {
        self.at
    }
}
