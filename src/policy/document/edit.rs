//! Edits: what a writer puts into the store, and how it learns whether a write
//! took effect when the response was lost.
//!
//! The store's answer to a write may be lost after the write took effect. A
//! writer that simply repeats it would then lose against itself and report a
//! conflict that never was. So each edit has a random id, which the record keeps
//! along with the former revisions, and [`History::fate`] decides from a later
//! read. The one case that a read cannot settle is a record that is still at the
//! expected revision, since the lost write may be on its way: the writer repeats
//! the same compare-and-swap, which settles it, because at most one of the two
//! can succeed.

use std::{fmt, str::FromStr};

use rand::Rng;

use crate::domain::{Millis, Revision, TeamName};

/// The most former revisions that a record keeps.
pub const FORMER_MAX: usize = 20;

/// Identifies an edit across repeated writes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EditId(pub u128);

impl EditId {
    /// Returns a random id. With 128 bits, no two edits of a deployment's life
    /// share one in practice.
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
    /// The id.
    pub id: EditId,
    /// The team that made it.
    pub team: TeamName,
    /// When it was made, in milliseconds since the Unix epoch, for people only.
    pub wall: Millis,
    /// The text as the team wrote it, none for a deletion.
    pub text: Option<String>,
}

/// A former revision of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Former {
    /// The store's revision.
    pub revision: Revision,
    /// The edit that made it.
    pub edit: Edit,
}

/// What the store holds for a service: the current edit and the former ones.
///
/// The current edit carries no revision, since the store assigns it when the
/// record is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct History {
    /// The current edit.
    pub current: Edit,
    /// The former revisions, the latest first.
    pub former: Vec<Former>,
    /// Whether older revisions were dropped, because of their number or because
    /// the record would have become too large.
    pub dropped: bool,
}

/// A history together with the store's revision of its current edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The store's revision.
    pub revision: Revision,
    /// The history.
    pub history: History,
}

impl Stored {
    /// Returns the edit that made a revision, the current or a former one, none
    /// if the record does not keep it.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<&Edit> {
        if self.revision == revision {
            return Some(&self.history.current);
        }
        let mut former = self.history.former.iter();
        former.find(|f| f.revision == revision).map(|f| &f.edit)
    }
}

impl History {
    /// Returns the record to write for `edit`, given what the store holds.
    ///
    /// The write must be conditional on the revision of `stored`, zero if there
    /// is none.
    ///
    /// # Errors
    ///
    /// Returns a conflict if the editor started from another revision than the
    /// store is at. `base` is none if the editor does not say.
    pub fn extend(
        stored: Option<Stored>,
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
        let Some(Stored { revision, history }) = stored else {
            return Ok(Self {
                current: edit,
                former: Vec::new(),
                dropped: false,
            });
        };
        let latest = Former {
            revision,
            edit: history.current,
        };
        let mut former = vec![latest];
        former.extend(history.former);
        let dropped = history.dropped || former.len() > FORMER_MAX;
        former.truncate(FORMER_MAX);
        Ok(Self {
            current: edit,
            former,
            dropped,
        })
    }

    /// Decides what became of a write of `id` that was conditional on
    /// `expected` and whose response was lost.
    ///
    /// `found` is a later read. Every write names the revision that it follows,
    /// so the edit directly after `expected` is the one that won.
    #[must_use]
    pub fn fate(id: EditId, expected: Revision, found: Option<&Stored>) -> Fate {
        let Some(stored) = found else {
            // The record is gone although deletions leave a record behind, so
            // nothing can be concluded unless there was no record before.
            return if expected == Revision::default() {
                Fate::Open
            } else {
                Fate::Unknown
            };
        };
        if stored.history.current.id == id {
            return Fate::InEffect(stored.revision);
        }
        let mut former = stored.history.former.iter();
        if let Some(own) = former.find(|f| f.edit.id == id) {
            return Fate::Superseded {
                own: own.revision,
                current: stored.revision,
            };
        }
        if stored.revision == expected {
            return Fate::Open;
        }
        if stored.history.reaches(expected) {
            return Fate::Lost(stored.revision);
        }
        Fate::Unknown
    }

    /// Tells whether the record keeps everything that followed `expected`.
    fn reaches(&self, expected: Revision) -> bool {
        let mut former = self.former.iter();
        former.any(|f| f.revision == expected) || (expected == Revision::default() && !self.dropped)
    }
}

/// What became of a write whose response was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It took effect and is the current revision.
    InEffect(Revision),
    /// It took effect, and a later edit replaced it.
    Superseded {
        /// The revision that the write got.
        own: Revision,
        /// The current revision.
        current: Revision,
    },
    /// Another edit won, so the write cannot take effect any more. It holds the
    /// current revision.
    Lost(Revision),
    /// Nothing has followed the expected revision. The write may still arrive,
    /// so the writer repeats it with the same id.
    Open,
    /// So many edits followed that the record no longer tells.
    Unknown,
}

/// Why an edit is refused before it is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The editor started from another revision.
    Conflict {
        /// The revision that the editor started from.
        base: Revision,
        /// The revision that the store is at.
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
