//! Messages for claims and strikes.
//!
//! The types derive their encoding, so a `.proto` file would only repeat them.
//! Each message converts to and from the type that the policies use. A message
//! from a peer that cannot be converted is rejected as [`Malformed`].

mod request;
mod response;
mod strike;
mod values;

use std::fmt;

pub use request::{ClaimRequest, Finish, Op, Release, Transfer, Vote};
pub use response::{ClaimReply, CopiedClaim, Empty, Finished, Held, Outcome, Page, Refusal};
pub use strike::{MemberCount, Strike, Strikes};
pub use values::{Answer, Fingerprint, Header, Holder, Key, Member};

use crate::domain::ParseError;

/// The error for a message from a peer that cannot be converted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// A required field is missing.
    Missing(&'static str),
    /// A value is not valid.
    Invalid(ParseError),
    /// A number is out of range.
    Range(&'static str),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(part) => write!(f, "the message has no {part}"),
            Self::Invalid(error) => fmt::Display::fmt(error, f),
            Self::Range(part) => write!(f, "the {part} is out of range"),
        }
    }
}

impl std::error::Error for Malformed {}

impl From<ParseError> for Malformed {
    fn from(error: ParseError) -> Self {
        Self::Invalid(error)
    }
}

/// Converts the value of a required field.
fn required<T, U>(value: Option<T>, name: &'static str) -> Result<U, Malformed>
where
    U: TryFrom<T, Error = Malformed>,
{
    U::try_from(value.ok_or(Malformed::Missing(name))?)
}

fn all<T, U>(values: Vec<T>) -> Result<Vec<U>, Malformed>
where
    U: TryFrom<T, Error = Malformed>,
{
    values.into_iter().map(U::try_from).collect()
}
