//! Edits: the record that a writer puts into the store, and how the writer
//! finds out whether a write took effect when the response was lost.
//!
//! The store's response to a write may be lost after the write took effect. A
//! writer that merely repeated the write would conflict with its own edit and
//! report a conflict that did not happen. Each edit therefore has a random id,
//! which the record keeps along with the former revisions, and
//! [`History::write_outcome`] compares it with a later read. A read cannot
//! decide the case in which the record is still at the expected revision, since
//! the lost write may still be in flight. The writer then repeats the same
//! compare-and-swap, of which at most one can succeed.

use std::{fmt, str::FromStr};

use rand::Rng;

use crate::domain::{Millis, Revision, TeamName};

/// The maximum number of former revisions that a record keeps.
pub const MAX_FORMER_REVISIONS: usize = 20;

/// Identifies an edit across retries of its write.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EditId(pub u128);

impl EditId {
    /// Returns a random id. It has 128 bits, so collisions within the lifetime
    /// of a deployment are negligible.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for EditId {
    type Err = EditError;

    fn from_str(s: &str) -> Result<Self, EditError> {
        let digits = s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u128::from_str_radix(s, 16) {
            Ok(id) if s.len() == 32 && digits => Ok(Self(id)),
            _ => Err(EditError::InvalidId(s.to_owned())),
        }
    }
}

/// One edit of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Edit {
    /// The id, the same for every retry.
    pub id: EditId,
    /// The team that made the edit.
    pub team: TeamName,
    /// When the edit was made, in milliseconds since the Unix epoch. It is only
    /// displayed; no decision depends on it.
    pub wall_time: Millis,
    /// The text as the team wrote it, or `None` for a deletion.
    pub text: Option<String>,
}

/// A former revision of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormerRevision {
    /// The revision that the store assigned.
    pub revision: Revision,
    /// The edit that made the revision.
    pub edit: Edit,
}

/// The record that the store holds for a service: the current edit and the
/// former ones.
///
/// The store assigns a revision when the record is written, so the record of the
/// current edit holds only a lower bound on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct History {
    /// The current edit.
    pub current: Edit,
    /// The former revisions, the latest first.
    pub former: Vec<FormerRevision>,
    /// The least revision of the current edit, zero if the one that the store
    /// assigns is enough. A store that comes back from an older copy assigns
    /// revisions again, and entries take only a greater one than theirs.
    pub floor: Revision,
    /// Whether older revisions were dropped, either because there were more
    /// than [`MAX_FORMER_REVISIONS`] or because the record would have been too
    /// large.
    pub dropped: bool,
}

/// A history as read from the store, with the revision of its current edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHistory {
    /// The revision that the store assigned to the record. Writes are
    /// conditional on it.
    pub assigned: Revision,
    /// The revision of the current edit, which is later than `assigned` if the
    /// record has a later floor.
    pub revision: Revision,
    /// The record.
    pub history: History,
}

impl StoredHistory {
    /// Returns a history to which the store has assigned a revision.
    #[must_use]
    pub fn new(assigned: Revision, history: History) -> Self {
        Self {
            assigned,
            revision: history.revision(assigned),
            history,
        }
    }

    /// Returns the edit that made the current or a former revision, or `None`
    /// if the record does not contain it.
    #[must_use]
    pub fn edit_at(&self, revision: Revision) -> Option<&Edit> {
        if self.revision == revision {
            return Some(&self.history.current);
        }
        let mut former = self.history.former.iter();
        former.find(|f| f.revision == revision).map(|f| &f.edit)
    }
}

impl History {
    /// Returns the record to write for `edit`, given the record in the store.
    ///
    /// The write must be conditional on the revision that the store assigned to
    /// `stored`, or on zero if there is none.
    ///
    /// # Errors
    ///
    /// Returns a conflict if `base`, the revision that the editor started from,
    /// is not the store's current revision. Without a `base`, this is not
    /// checked.
    pub fn extend(
        stored: Option<StoredHistory>,
        base: Option<Revision>,
        edit: Edit,
    ) -> Result<Self, EditError> {
        let found = stored.as_ref().map_or(Revision::default(), |s| s.revision);
        if base.is_some_and(|b| b != found) {
            return Err(EditError::Conflict {
                base: base.unwrap_or_default(),
                found,
            });
        }
        let Some(StoredHistory {
            assigned,
            revision,
            history,
        }) = stored
        else {
            return Ok(Self {
                current: edit,
                former: Vec::new(),
                floor: Revision::default(),
                dropped: false,
            });
        };
        let floor = if revision > assigned {
            revision.next()
        } else {
            Revision::default()
        };
        let latest = FormerRevision {
            revision,
            edit: history.current,
        };
        let mut former = vec![latest];
        former.extend(history.former);
        let dropped = history.dropped || former.len() > MAX_FORMER_REVISIONS;
        former.truncate(MAX_FORMER_REVISIONS);
        Ok(Self {
            current: edit,
            former,
            floor,
            dropped,
        })
    }

    /// Returns the record with a revision later than `known`, the latest one that
    /// entries have in effect.
    ///
    /// It differs only if the store no longer has a revision that was in effect,
    /// so that the records of other times are the same for every version.
    #[must_use]
    pub fn later_than(mut self, known: Revision) -> Self {
        let replaced = self.former.first().map(|f| f.revision);
        if known > replaced.unwrap_or_default() {
            self.floor = self.floor.max(known.next());
        }
        self
    }

    /// Returns the revision of the current edit, given the one that the store
    /// assigned to the record.
    #[must_use]
    pub fn revision(&self, assigned: Revision) -> Revision {
        assigned.max(self.floor)
    }

    /// Determines the outcome of a write of edit `id` that was conditional on
    /// `expected` and whose response was lost.
    ///
    /// `found` is a later read of the record. Every write is conditional on the
    /// revision that it replaces, so of all writes that expected the same
    /// revision, only the edit directly after it succeeded.
    #[must_use]
    pub fn write_outcome(
        id: EditId,
        expected: Revision,
        found: Option<&StoredHistory>,
    ) -> WriteOutcome {
        let Some(stored) = found else {
            // Deleting a document leaves a record, so a missing record does not
            // tell the outcome unless there was none before the write.
            return if expected == Revision::default() {
                WriteOutcome::Pending
            } else {
                WriteOutcome::Unknown
            };
        };
        if stored.history.current.id == id {
            return WriteOutcome::InEffect(stored.revision);
        }
        let mut former = stored.history.former.iter();
        if let Some(own) = former.find(|f| f.edit.id == id) {
            return WriteOutcome::Superseded {
                own: own.revision,
                current: stored.revision,
            };
        }
        if stored.revision == expected {
            return WriteOutcome::Pending;
        }
        if stored.history.is_complete_since(expected) {
            return WriteOutcome::Conflict(stored.revision);
        }
        WriteOutcome::Unknown
    }

    /// Returns whether the record contains every edit that followed `expected`.
    fn is_complete_since(&self, expected: Revision) -> bool {
        let mut former = self.former.iter();
        former.any(|f| f.revision == expected) || (expected == Revision::default() && !self.dropped)
    }
}

/// The outcome of a write whose response was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and made the current revision.
    InEffect(Revision),
    /// The write took effect, and a later edit replaced it.
    Superseded {
        /// The revision that the write made.
        own: Revision,
        /// The current revision.
        current: Revision,
    },
    /// Another edit replaced the expected revision, so the write can no longer
    /// take effect. Contains the current revision.
    Conflict(Revision),
    /// The store is still at the expected revision. The write may still arrive,
    /// so the writer repeats it with the same id.
    Pending,
    /// The record no longer contains all edits since the expected revision, or
    /// it is missing, so the outcome cannot be determined.
    Unknown,
}

/// The reason why an edit is refused before it is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The editor started from a revision that is not the current one.
    Conflict {
        /// The revision that the editor started from.
        base: Revision,
        /// The store's current revision.
        found: Revision,
    },
    /// The text is not an edit id.
    InvalidId(String),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { base, found } => write!(
                f,
                "revision conflict: the edit started from {base}, the store is at {found}"
            ),
            Self::InvalidId(text) => {
                write!(f, "{text:?} is not an edit id: 32 hexadecimal digits")
            }
        }
    }
}

impl std::error::Error for EditError {}
