//! Rates and weights.

use std::{fmt, str::FromStr};

use super::{ParseError, sizes::split_unit};

macro_rules! rate {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $unit:literal, $rule:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                let err = || ParseError::new($kind, s, $rule);
                match split_unit(s) {
                    (digits, $unit) => digits.parse().map(Self).map_err(|_| err()),
                    _ => Err(err()),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} {}", self.0, $unit)
            }
        }
    };
}

rate!(
    /// A rate of requests, in requests per second.
    Rps, "rate", "rps", "a whole number and \"rps\""
);
rate!(
    /// The capacity of a network link, in megabits per second.
    Mbps, "link rate", "mbps", "a whole number and \"mbps\""
);

/// The share of a service's traffic that a place gets, relative to the sum of
/// all weights of the service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Weight(pub u32);

impl FromStr for Weight {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        match s.parse() {
            Ok(n) if n <= 1000 => Ok(Self(n)),
            _ => Err(ParseError::new(
                "weight",
                s,
                "a whole number from 0 to 1000",
            )),
        }
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
