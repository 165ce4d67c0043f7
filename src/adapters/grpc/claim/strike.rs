//! Strikes against requests that crash their targets.

use super::{Fingerprint, Malformed, Member, all, part};
use crate::{
    domain::Millis,
    policy::{crash, once},
};

/// The strikes that one member has counted.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Count {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// All strikes.
    #[prost(uint32, tag = "2")]
    pub total: u32,
    /// Those that were cleared or have expired.
    #[prost(uint32, tag = "3")]
    pub cleared: u32,
}

/// Strikes against a fingerprint.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Strike {
    /// The fingerprint.
    #[prost(message, optional, tag = "1")]
    pub fingerprint: Option<Fingerprint>,
    /// The strikes by member.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<Count>,
    /// The milliseconds since the latest strike.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}

/// Strikes in either direction: a push, or what the receiver knows beyond it.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Strikes {
    /// The strikes.
    #[prost(message, repeated, tag = "1")]
    pub strikes: Vec<Strike>,
}

impl From<&crash::StrikeNotice> for Strike {
    fn from(s: &crash::StrikeNotice) -> Self {
        let count = |(member, count): (&once::Member, &crash::MemberCount)| Count {
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
        let count = |c: Count| {
            let numbers = crash::MemberCount {
                total: c.total,
                cleared: c.cleared,
            };
            part(c.member, "member").map(|m| (m, numbers))
        };
        let counts: Result<crash::StrikeCounter, Malformed> =
            s.counts.into_iter().map(count).collect();
        Ok(Self {
            fingerprint: part(s.fingerprint, "fingerprint")?,
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
