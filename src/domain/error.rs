//! The error type of the parsers in [`domain`](crate::domain).

use std::fmt;

/// The error for a text that is not a valid value, with a description of the
/// accepted form.
///
/// It names the kind of value, since one settings file contains many kinds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseError {
    /// The kind of value, for example `rate`.
    pub kind: &'static str,
    /// The text that was parsed.
    pub found: String,
    /// What the parser accepts, for example `a whole number and "rps"`.
    pub expected: &'static str,
}

impl ParseError {
    pub(crate) fn new(kind: &'static str, found: &str, expected: &'static str) -> Self {
        Self {
            kind,
            found: found.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            found,
            expected,
        } = self;
        write!(f, "{found:?} is not a valid {kind}: expected {expected}")
    }
}

impl std::error::Error for ParseError {}
