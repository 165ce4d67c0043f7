//! What an entry says of itself and what others say of it.

use std::{fmt, net::SocketAddr, str::FromStr};

use crate::domain::{AzName, EntryId, Incarnation, ParseError, RegionName, words};

words!(
    /// The state of a member. At the same incarnation and version the later
    /// variant takes precedence. `Leaving` ranks above `Suspect` so that a
    /// suspicion cannot return a leaving member to lookups.
    State, "member state", "\"alive\", \"suspect\", \"leaving\" or \"dead\"",
    /// It answers probes.
    #[default]
    Alive = "alive",
    /// A probe failed. It still counts as live.
    Suspect = "suspect",
    /// It has announced that it will stop, and takes no new callers.
    Leaving = "leaving",
    /// It is not used for steering.
    Dead = "dead"
);
words!(
    /// The load that an entry reports. There are only three levels because
    /// every change is sent to the whole fleet.
    Load, "load level", "\"normal\", \"high\" or \"severe\"",
    /// Callers may be sent to it.
    #[default]
    Normal = "normal",
    /// It is ranked lower in lookups.
    High = "high",
    /// It is ranked last in lookups.
    Severe = "severe"
);

/// Counts the records that a member has issued within one incarnation.
///
/// It is separate from [`Incarnation`], because roster seats, units and claims
/// belong to one life of a process. A refutation after a pause must supersede
/// the suspicion without looking like a restart.
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

/// One entry, as known to a peer. It is also the unit of dissemination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The entry VM.
    pub id: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The record within that life. Only the member itself raises it.
    pub version: Version,
    /// Its state.
    pub state: State,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub az: AzName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where other entries reach it.
    pub peers: SocketAddr,
    /// Its reported load.
    pub load: Load,
}

/// The most bytes that tags, lengths, numbers and flags of one record take in
/// the encoding between entries: eleven tags of one byte, seven lengths of
/// one byte, two 10-byte numbers and two 1-byte flags. `tests/member.rs` checks
/// that no encoded record exceeds [`Member::size`].
const OVERHEAD: usize = 40;

impl Member {
    /// Reports whether this record takes precedence over `other`.
    ///
    /// Records of one member are ordered by incarnation, version and state, and
    /// the greatest is kept. Updates may therefore arrive in any order, any
    /// number of times, with the same result.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let names = [
            self.id.as_bytes(),
            self.region.as_bytes(),
            self.az.as_bytes(),
        ];
        let names: usize = names.iter().map(|n| n.len()).sum();
        let addresses = [self.callers, self.admin, self.peers];
        let addresses: usize = addresses.iter().map(|a| address_size(*a)).sum();
        OVERHEAD + names + addresses
    }

    fn order(&self) -> (Incarnation, Version, State) {
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
