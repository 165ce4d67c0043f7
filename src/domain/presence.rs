//! Entries as they announce themselves.

use std::net::SocketAddr;

use super::{AzName, EntryId, Mbps, RegionName};

/// An entry that serves callers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Presence {
    /// The entry.
    pub name: EntryId,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other entries reach it, if they do.
    pub peer: Option<SocketAddr>,
    /// The capacity of its link.
    pub link: Mbps,
    /// Where it runs.
    pub az: AzName,
    /// The region of that availability zone.
    pub region: RegionName,
}
