//! Sizes and counts.

use std::{fmt, str::FromStr};

use super::ParseError;

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Size(pub u64);

impl Size {
    /// Returns a size of `n` KiB.
    #[must_use]
    pub const fn kib(n: u64) -> Self {
        Self(n.saturating_mul(1024))
    }
}

impl FromStr for Size {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("size", s, "a whole number with \"B\", \"KiB\" or \"MiB\"");
        let (digits, unit) = split_unit(s);
        let n: u64 = digits.parse().map_err(|_| err())?;
        let scale = match unit {
            "B" => 1,
            "KiB" => 1024,
            "MiB" => 1024 * 1024,
            _ => return Err(err()),
        };
        n.checked_mul(scale).map(Self).ok_or_else(err)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

/// The number of requests that a target runs concurrently.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Slots(pub u32);

impl FromStr for Slots {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        match s.parse() {
            Ok(n) if n > 0 => Ok(Self(n)),
            _ => Err(ParseError::new("slot count", s, "a whole number from 1")),
        }
    }
}

impl fmt::Display for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Splits `"40 rps"` into `("40", "rps")`. The space is optional.
pub(super) fn split_unit(s: &str) -> (&str, &str) {
    let end = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
    let (digits, unit) = s.split_at(end);
    (digits, unit.trim_start())
}
