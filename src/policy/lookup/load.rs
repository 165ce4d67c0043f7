//! The load level that an entry tells its peers.

use std::{fmt, str::FromStr};

use crate::domain::ParseError;

/// How loaded an entry is, as far as look-ups care.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LoadLevel {
    /// It has room.
    #[default]
    Normal,
    /// It should receive fewer services.
    Busy,
    /// It should be used only when nothing else is near.
    Overloaded,
}

impl FromStr for LoadLevel {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        match s {
            "normal" => Ok(Self::Normal),
            "busy" => Ok(Self::Busy),
            "overloaded" => Ok(Self::Overloaded),
            _ => Err(ParseError::new(
                "load level",
                s,
                "\"normal\", \"busy\" or \"overloaded\"",
            )),
        }
    }
}

impl fmt::Display for LoadLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Normal => "normal",
            Self::Busy => "busy",
            Self::Overloaded => "overloaded",
        })
    }
}

/// Percent of use at which an entry becomes busy, and below which it is normal
/// again.
const BUSY: (u64, u64) = (70, 55);

/// Percent of use at which an entry becomes overloaded, and below which it is
/// only busy again.
const OVERLOADED: (u64, u64) = (90, 75);

/// Turns use into a level with hysteresis.
///
/// Without it an entry near a threshold would change its level with each report,
/// and services would move to and fro between entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadGauge {
    level: LoadLevel,
}

impl LoadGauge {
    /// Returns the present level.
    #[must_use]
    pub fn level(&self) -> LoadLevel {
        self.level
    }

    /// Notes that `used` of `total` is in use, and returns the level.
    pub fn observe(&mut self, used: u64, total: u64) -> LoadLevel {
        let percent = used.saturating_mul(100) / total.max(1);
        let holds = |(up, down): (u64, u64), at: LoadLevel| {
            percent >= up || (self.level >= at && percent >= down)
        };
        self.level = if holds(OVERLOADED, LoadLevel::Overloaded) {
            LoadLevel::Overloaded
        } else if holds(BUSY, LoadLevel::Busy) {
            LoadLevel::Busy
        } else {
            LoadLevel::Normal
        };
        self.level
    }
}
