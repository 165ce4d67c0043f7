//! Positions in the history of the platform's store.

use std::{fmt, str::FromStr};

use super::{Era, ParseError, Revision};

/// A state of the platform's store.
///
/// A store that comes back from an older copy gives out revisions again, so that
/// a revision says something only together with its era. A position in a later
/// era is greater, whatever its revision. See
/// [docs/platform.md](../../docs/platform.md).
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision in that era.
    pub revision: Revision,
}

impl Position {
    /// A position after all others.
    pub const MAX: Self = Self {
        era: Era(u64::MAX),
        revision: Revision(u64::MAX),
    };

    /// Returns the position of a revision in an era.
    #[must_use]
    pub fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }
}

impl FromStr for Position {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (era, revision) = s.split_once(':')?;
            Some(Self::new(era.parse().ok()?, revision.parse().ok()?))
        };
        let error = || ParseError::new("position", s, "an era and a revision, as in 2:118");
        parse().ok_or_else(error)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
