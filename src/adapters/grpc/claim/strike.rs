//! Strikes against requests that crash their targets.

use super::{Fingerprint, Malformed, Member, all, required};
use crate::{
    domain::Millis,
    policy::{crash, once},
};

/// An encoded [`MemberCount`](crash::MemberCount): the strikes that one member
/// has counted.
#[derive(Clone, prost::Message, PartialEq)]
pub struct MemberCount {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// The number of all strikes, including the cleared ones.
    #[prost(uint32, tag = "2")]
    pub total: u32,
    /// The number of strikes that were cleared or have expired.
    #[prost(uint32, tag = "3")]
    pub cleared: u32,
}

/// An encoded [`StrikeNotice`](crash::StrikeNotice): the strikes against the
/// requests with one fingerprint.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Strike {
    /// The fingerprint.
    #[prost(message, optional, tag = "1")]
    pub fingerprint: Option<Fingerprint>,
    /// The strikes by member.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<MemberCount>,
    /// The time since the latest strike, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}

/// The strikes in a request, or those in the reply that its sender lacks.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Strikes {
    /// The strikes.
    #[prost(message, repeated, tag = "1")]
    pub strikes: Vec<Strike>,
}

impl From<&crash::StrikeNotice> for Strike {
    fn from(s: &crash::StrikeNotice) -> Self {
        let count = |(member, count): (&once::Member, &crash::MemberCount)| MemberCount {
            member: Some(member.into()),
            total: count.total,
            cleared: count.cleared,
        };
        Self {
            fingerprint: Some(s.fingerprint.into()),
            counts: s.counter.counts().map(count).collect(),
            age: s.age.0,
        }
    }
}

impl TryFrom<Strike> for crash::StrikeNotice {
    type Error = Malformed;

    fn try_from(s: Strike) -> Result<Self, Malformed> {
        let count = |c: MemberCount| {
            let numbers = crash::MemberCount {
                total: c.total,
                cleared: c.cleared,
            };
            required(c.member, "member").map(|m| (m, numbers))
        };
        let counts: Result<crash::StrikeCounter, Malformed> =
            s.counts.into_iter().map(count).collect();
        Ok(Self {
            fingerprint: required(s.fingerprint, "fingerprint")?,
            counter: counts?,
            age: Millis(s.age),
        })
    }
}

impl From<&[crash::StrikeNotice]> for Strikes {
    fn from(strikes: &[crash::StrikeNotice]) -> Self {
        Self {
            strikes: strikes.iter().map(Strike::from).collect(),
        }
    }
}

impl TryFrom<Strikes> for Vec<crash::StrikeNotice> {
    type Error = Malformed;

    fn try_from(s: Strikes) -> Result<Self, Malformed> {
        all(s.strikes)
    }
}
