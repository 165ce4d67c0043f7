//! Announcements of entries.

use std::net::SocketAddr;

use super::{AzName, EntryId, Mbps, RegionName};

/// An entry that serves callers, as it announces itself.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Presence {
    /// The name of the entry.
    pub name: EntryId,
    /// The address to which callers connect.
    pub front: SocketAddr,
    /// The address to which other entries connect, if there is one.
    pub peer: Option<SocketAddr>,
    /// The capacity of the entry's network link.
    pub link: Mbps,
    /// The availability zone in which the entry runs.
    pub az: AzName,
    /// The region of that availability zone.
    pub region: RegionName,
}
