//! Authorization and preconditions of edits, and the errors of the
//! administration API.
//!
//! An edit is allowed if the team owns the document and if the editor has seen
//! the revision that it replaces. The second rule prevents two operators from
//! overwriting each other's edits unnoticed. The document may still change
//! between this check and the write, which the store's compare-and-swap
//! detects. Error codes and outcomes are decided here and not in the HTTP
//! adapter, so that another front end reports the same ones. See
//! [docs/design.md](../../../docs/design.md), section 6.

mod error;

use std::{fmt, str::FromStr};

pub use self::error::{AdminError, Code};
use crate::domain::{Document, ParseError, Revision, TeamName};

/// The revision that an edit replaces, as the editor states it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Precondition {
    /// The editor states no precondition.
    #[default]
    Unstated,
    /// The edit replaces whichever revision is current.
    Any,
    /// The edit creates the document, which must not exist.
    Absent,
    /// The edit replaces this revision.
    At(Revision),
}

/// Parses the value of the `If-Match` header: `"5"` or `*`.
impl FromStr for Precondition {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        if s == "*" {
            return Ok(Self::Any);
        }
        let quoted = s.strip_prefix('"').and_then(|s| s.strip_suffix('"'));
        let revision = quoted.and_then(|s| s.parse().ok());
        revision.map(Self::At).ok_or_else(|| {
            ParseError::new("revision tag", s, "a revision in quotes, as in \"5\", or *")
        })
    }
}

impl fmt::Display for Precondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unstated => f.write_str("unstated"),
            Self::Any => f.write_str("*"),
            Self::Absent => f.write_str("absent"),
            Self::At(revision) => write!(f, "\"{revision}\""),
        }
    }
}

/// The revision and the owner of the record that the store holds for a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CurrentRecord {
    /// The revision of the record, or zero if there is none.
    pub revision: Revision,
    /// The team that owns the document, or `None` if the document does not
    /// exist or was deleted.
    pub owner: Option<TeamName>,
}

/// Checks that a team is allowed to make an edit of the current record.
///
/// `new` is the document that the edit writes, or `None` if it deletes the
/// document. An owner can transfer its document to another team by naming that
/// team in the new text. A document that does not exist can only be created by
/// the team that it names.
///
/// # Errors
///
/// Returns the error to report to the editor.
pub fn check_edit(
    team: &TeamName,
    base: Precondition,
    found: &CurrentRecord,
    new: Option<&Document>,
) -> Result<(), AdminError> {
    let owner = found.owner.as_ref().or(new.map(|d| &d.team));
    if let Some(owner) = owner.filter(|o| *o != team) {
        let detail = format!("team {owner} owns the document, the token belongs to team {team}");
        return Err(AdminError::new(Code::OtherTeam, detail));
    }
    if found.owner.is_none() && new.is_none() {
        let detail = "there is no document to delete";
        return Err(AdminError::new(Code::UnknownDocument, detail).found(found.revision));
    }
    match (&found.owner, base) {
        (None, Precondition::Unstated | Precondition::Absent) | (Some(_), Precondition::Any) => {
            Ok(())
        }
        (_, Precondition::At(r)) if r == found.revision => Ok(()),
        (Some(_), Precondition::Unstated) => {
            let detail = format!(
                "the document exists at revision {0}: send If-Match: \"{0}\" to replace it",
                found.revision
            );
            Err(AdminError::new(Code::BaseMissing, detail).found(found.revision))
        }
        _ => Err(revision_conflict(base, found.revision)),
    }
}

/// Returns the error for an edit whose precondition `base` does not hold at the
/// store's current revision `found`.
#[must_use]
pub fn revision_conflict(base: Precondition, found: Revision) -> AdminError {
    let detail = match base {
        Precondition::At(base) => {
            format!("the edit started from revision {base}, the store is at {found}")
        }
        Precondition::Any => format!("the edit replaces any revision, the store is at {found}"),
        Precondition::Absent | Precondition::Unstated => {
            format!("the edit creates the document, the store is at {found}")
        }
    };
    let error = AdminError::new(Code::RevisionConflict, detail).found(found);
    match base {
        Precondition::At(base) => error.base(base),
        _ => error.base(Revision::default()),
    }
}
