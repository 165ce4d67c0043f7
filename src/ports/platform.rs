//! The platform's registry and orders, in the project's words.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use super::Call;
use crate::domain::{
    AzName, Bounds, Configuration, EntryId, Instance, InstanceId, Mbps, Millis, Presence,
    RegionName, Revision,
};

/// What the platform tells one process about itself and about its bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// The name of this entry VM.
    pub name: EntryId,
    /// Where it runs.
    pub az: AzName,
    /// The region of that availability zone.
    pub region: RegionName,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the platform asks whether the process is ready.
    pub readiness: SocketAddr,
    /// Where callers look up entries.
    pub directory: Option<SocketAddr>,
    /// Where other entries reach this one.
    pub control: Option<SocketAddr>,
    /// The metrics' address.
    pub metrics: SocketAddr,
    /// The entries that a starting process can ask.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The regions of all availability zones.
    pub zones: BTreeMap<AzName, RegionName>,
    /// The processor cores that the process sees.
    pub cores: usize,
    /// The most descriptors of the process.
    pub descriptors: usize,
    /// The capacity of the VM's link.
    pub link: Mbps,
    /// The bounds that the users set.
    pub bounds: Bounds,
}

/// One change that the platform reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration.
    Configured(Box<Configuration>),
    /// Nothing more may be sent to an availability zone.
    Evacuated(AzName),
    /// An availability zone may be used again.
    Restored(AzName),
    /// A target registered or changed.
    Registered(Instance),
    /// A target's entry is gone.
    Unregistered(InstanceId),
    /// An entry serves.
    Joined(Presence),
    /// An entry no longer serves.
    Left(EntryId),
    /// An item that cannot be read. It names nothing and replaces nothing.
    Unreadable {
        /// The store's key.
        key: String,
        /// Why it cannot be read.
        cause: String,
    },
}

/// Changes up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The changes, in their order.
    pub changes: Vec<Change>,
    /// The revision up to which they are complete.
    pub revision: Revision,
}

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The revision up to which everything is known.
    pub after: Revision,
    /// How long the store waits for a first change.
    pub wait: Millis,
    /// How long the call may take beyond that.
    pub limit: Millis,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The history after the revision is gone; everything must be read again.
    Compacted,
    /// The lease has ended, with all that was written under it.
    Expired,
    /// The call failed. A write may have taken effect.
    Failed {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the history is gone"),
            Self::Expired => f.write_str("the lease has ended"),
            Self::Failed { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

type Answer<T> = Result<T, PlatformError>;

/// The number of a lease at the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// What a gateway needs of the platform's store.
#[derive(Clone)]
pub struct Platform {
    /// Reads everything there is. Each of its calls may take the given time.
    pub read: Call<Millis, Answer<Batch>>,
    /// Waits for changes. One call covers orders, targets and entries, because
    /// each call has a price.
    pub poll: Call<Poll, Answer<Batch>>,
    /// Writes the presence of this entry under a new lease of the given length.
    pub announce: Call<(Presence, Millis), Answer<LeaseId>>,
    /// Renews the lease.
    pub renew: Call<LeaseId, Answer<()>>,
    /// Ends the lease, and with it the presence.
    pub withdraw: Call<LeaseId, Answer<()>>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Platform")
    }
}
