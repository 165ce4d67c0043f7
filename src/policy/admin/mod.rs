//! Which edits of a document are allowed, and what an operator is told of one
//! that is not.
//!
//! An edit is allowed if the team owns the document, and if the editor has seen
//! the revision that it replaces. The second rule is what keeps two operators
//! from overwriting each other without noticing; the store's compare-and-swap
//! then closes the gap between this check and the write. Codes and outcomes are
//! decided here and not in the HTTP adapter, so that another front end reports
//! the same ones. See [docs/design.md](../../../docs/design.md), section 6.

mod failure;

use std::{fmt, str::FromStr};

pub use self::failure::{Code, Failure};
use crate::domain::{Document, ParseError, Revision, TeamName};

/// Which revision an editor has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Base {
    /// The editor does not say.
    #[default]
    Unstated,
    /// Whichever revision there is.
    Any,
    /// No document, as an editor states who wants to create one.
    Absent,
    /// A certain revision.
    At(Revision),
}

/// Parses the value of If-Match: `"5"` or `*`.
impl FromStr for Base {
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

impl fmt::Display for Base {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unstated => f.write_str("unstated"),
            Self::Any => f.write_str("*"),
            Self::Absent => f.write_str("absent"),
            Self::At(revision) => write!(f, "\"{revision}\""),
        }
    }
}

/// What the store holds for a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Found {
    /// The revision of the record, zero if there is none.
    pub revision: Revision,
    /// The team that owns the document, none if there is none or it was
    /// deleted.
    pub owner: Option<TeamName>,
}

/// Checks that a team may make an edit now.
///
/// `new` is the document that the edit puts, none if it deletes. An owner may
/// hand its document to another team by naming it in the new text; a document
/// that does not exist yet can only be created by the team that it names.
///
/// # Errors
///
/// Returns what the editor is to be told.
pub fn check(
    team: &TeamName,
    base: Base,
    found: &Found,
    new: Option<&Document>,
) -> Result<(), Failure> {
    let owner = found.owner.as_ref().or(new.map(|d| &d.team));
    if let Some(owner) = owner.filter(|o| *o != team) {
        let detail = format!("team {owner} owns the document, the token is of team {team}");
        return Err(Failure::new(Code::OtherTeam, detail));
    }
    if found.owner.is_none() && new.is_none() {
        let detail = "there is no document to delete";
        return Err(Failure::new(Code::UnknownDocument, detail).found(found.revision));
    }
    match (&found.owner, base) {
        (None, Base::Unstated | Base::Absent) | (Some(_), Base::Any) => Ok(()),
        (_, Base::At(r)) if r == found.revision => Ok(()),
        (Some(_), Base::Unstated) => {
            let detail = format!(
                "the document exists at revision {0}: send If-Match: \"{0}\" to replace it",
                found.revision
            );
            Err(Failure::new(Code::BaseMissing, detail).found(found.revision))
        }
        _ => Err(conflict(base, found.revision)),
    }
}

/// Returns the failure of an editor who started from another revision than the
/// store is at.
#[must_use]
pub fn conflict(base: Base, found: Revision) -> Failure {
    let detail = match base {
        Base::At(base) => format!("the edit started from revision {base}, the store is at {found}"),
        Base::Any => format!("the edit replaces any revision, the store is at {found}"),
        Base::Absent | Base::Unstated => {
            format!("the edit creates the document, the store is at {found}")
        }
    };
    let failure = Failure::new(Code::RevisionConflict, detail).found(found);
    match base {
        Base::At(base) => failure.base(base),
        _ => failure.base(Revision::default()),
    }
}
