//! Member records, which entries issue about themselves and others update with
//! suspicions and deaths.

use std::{fmt, net::SocketAddr, str::FromStr};

use crate::domain::{AzName, EntryId, Incarnation, ParseError, RegionName, word_enum};

word_enum!(
    /// The state of a member. At the same incarnation and version, the later
    /// variant takes precedence. `Leaving` ranks above `Suspect` so that a
    /// suspicion cannot put a leaving member back into lookups.
    State, "member state", "\"alive\", \"suspect\", \"leaving\" or \"dead\"",
    /// It answers probes.
    #[default]
    Alive = "alive",
    /// A probe of it failed. Callers are still directed to it.
    Suspect = "suspect",
    /// It has announced that it will stop, and accepts no new callers.
    Leaving = "leaving",
    /// It did not refute a suspicion in time. No caller is directed to it.
    Dead = "dead"
);
word_enum!(
    /// The load that an entry reports. There are only three levels because
    /// every change is sent to the whole fleet.
    Load, "load level", "\"normal\", \"high\" or \"severe\"",
    /// Callers may be directed to it.
    #[default]
    Normal = "normal",
    /// It is ranked lower in lookups.
    High = "high",
    /// It is ranked last in lookups.
    Severe = "severe"
);

/// Counts the records that a member has issued within one incarnation.
///
/// It is separate from [`Incarnation`] because roster seats, units and claims
/// belong to one incarnation of a process. A refutation after a pause must
/// supersede the suspicion without looking like a restart.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let n = s.parse().map(Self);
        n.map_err(|_| ParseError::new("version", s, "a whole number"))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// The record of one entry. It is the unit of dissemination between entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The entry VM.
    pub id: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The version of the record within that incarnation. Only the member
    /// itself raises it.
    pub version: Version,
    /// Its state.
    pub state: State,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other entries.
    pub peers: SocketAddr,
    /// Its reported load.
    pub load: Load,
}

/// The maximum size of the tags, lengths, numbers and flags of one encoded
/// record: eleven 1-byte tags, seven 1-byte lengths, two 10-byte numbers and
/// two 1-byte flags. `tests/member.rs` checks that no encoded record exceeds
/// [`Member::size_bound`].
const OVERHEAD_BYTES: usize = 40;

impl Member {
    /// Reports whether this record takes precedence over `other`.
    ///
    /// Records of one member are ordered by incarnation, version and state, and
    /// the greatest is kept. Records may therefore arrive in any order and any
    /// number of times with the same result.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns an upper bound on the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let names = [
            self.id.as_bytes(),
            self.region.as_bytes(),
            self.az.as_bytes(),
        ];
        let names: usize = names.iter().map(|n| n.len()).sum();
        let addresses = [self.callers, self.admin, self.peers];
        let addresses: usize = addresses.iter().map(|a| address_size(*a)).sum();
        OVERHEAD_BYTES + names + addresses
    }

    fn precedence(&self) -> (Incarnation, Version, State) {
        (self.incarnation, self.version, self.state)
    }
}

fn address_size(addr: SocketAddr) -> usize {
    if addr.is_ipv4() { 6 } else { 18 }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            incarnation,
            version,
            state,
            ..
        } = self;
        write!(f, "{id} {incarnation}.{version} {state}")
    }
}
