//! The load level that an entry reports to its peers.

use std::{fmt, str::FromStr};

use crate::domain::ParseError;

/// The load of an entry, as lookups consider it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LoadLevel {
    /// It has free capacity.
    #[default]
    Normal,
    /// It should be used by fewer services.
    Busy,
    /// It should be used only if no other entry is near.
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

/// The utilization in percent at which an entry becomes busy, and below which
/// it is normal again.
const BUSY_PERCENT: (u64, u64) = (70, 55);

/// The utilization in percent at which an entry becomes overloaded, and below
/// which it is only busy again.
const OVERLOADED_PERCENT: (u64, u64) = (90, 75);

/// Converts utilization to a load level with hysteresis.
///
/// Without hysteresis an entry near a threshold would change its level with
/// each report, and services would move back and forth between entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadGauge {
    level: LoadLevel,
}

impl LoadGauge {
    /// Records that `used` of `total` capacity is in use, and returns the new
    /// level.
    pub fn observe(&mut self, used: u64, total: u64) -> LoadLevel {
        let percent = used.saturating_mul(100) / total.max(1);
        let reached = |(enter, leave): (u64, u64), level: LoadLevel| {
            percent >= enter || (self.level >= level && percent >= leave)
        };
        self.level = if reached(OVERLOADED_PERCENT, LoadLevel::Overloaded) {
            LoadLevel::Overloaded
        } else if reached(BUSY_PERCENT, LoadLevel::Busy) {
            LoadLevel::Busy
        } else {
            LoadLevel::Normal
        };
        self.level
    }
}
