//! Durations and instants, as decisions use them.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use super::{ParseError, sizes::split_unit};

/// A duration in milliseconds, or an instant as the duration since an origin
/// that the clock defines.
///
/// Decisions take the current time as an argument, so that a run can be
/// replayed. Subtraction saturates at zero, since a late message of a peer may
/// contain an instant in the past.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts the duration to the type of the standard library.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration multiplied by `fraction`, rounded down.
    #[must_use]
    pub fn fraction(self, fraction: f64) -> Self {
        let millis = self.duration().mul_f64(fraction).as_millis();
        Self(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl FromStr for Millis {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("duration", s, "a whole number with \"ms\" or \"s\"");
        let (digits, unit) = split_unit(s);
        let n: u64 = digits.parse().map_err(|_| err())?;
        match unit {
            "ms" => Ok(Self(n)),
            "s" => n.checked_mul(1000).map(Self).ok_or_else(err),
            _ => Err(err()),
        }
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
