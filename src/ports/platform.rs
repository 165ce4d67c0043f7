//! The port to the users' platform: settings, configurations, registrations of
//! targets and announcements of entries.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use super::Call;
use crate::domain::{
    AzName, Bounds, Configuration, EntryId, Era, Instance, InstanceId, Mbps, Millis, Position,
    Presence, RegionName, Size,
};

/// The settings of one process, as the platform writes them.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// The name of this entry VM.
    pub name: EntryId,
    /// The availability zone in which it runs.
    pub az: AzName,
    /// The region of that availability zone.
    pub region: RegionName,
    /// The address for callers' requests.
    pub front: SocketAddr,
    /// The address for readiness checks of the platform.
    pub readiness: SocketAddr,
    /// The address for lookups of entries by callers.
    pub directory: Option<SocketAddr>,
    /// The address for other entries.
    pub control: Option<SocketAddr>,
    /// The address of the metrics.
    pub metrics: SocketAddr,
    /// The addresses of entries that serve the complete state to a starting
    /// process.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The regions of all availability zones.
    pub zones: BTreeMap<AzName, RegionName>,
    /// The number of processor cores available to the process.
    pub cores: usize,
    /// The memory available to the process.
    pub memory: Size,
    /// The maximum number of open file descriptors of the process.
    pub descriptors: usize,
    /// The capacity of the VM's network link.
    pub link: Mbps,
    /// The bounds on times and rates that the users set.
    pub bounds: Bounds,
}

/// One change that the platform reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new configuration.
    Configured(Box<Configuration>),
    /// An availability zone is evacuated. No request may be sent to its
    /// targets.
    Evacuated(AzName),
    /// The evacuation of an availability zone has ended.
    Restored(AzName),
    /// A target has registered or its registration has changed.
    Registered(Instance),
    /// The registration of a target was deleted.
    Unregistered(InstanceId),
    /// An entry has announced itself.
    Joined(Presence),
    /// The announcement of an entry was deleted.
    Left(EntryId),
    /// An item cannot be read. It replaces no earlier item, except that the
    /// registration of a target no longer holds.
    Unreadable {
        /// The store's key.
        key: String,
        /// Why it cannot be read.
        cause: String,
        /// The target whose registration it should be.
        target: Option<InstanceId>,
    },
}

/// Changes up to a position.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
    /// The position up to which they are complete.
    pub position: Position,
}

/// The store's answer to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct PolledBatch {
    /// The changes.
    pub batch: Batch,
    /// Whether the store may have had further changes when it was asked, which
    /// did not fit into the answer.
    pub has_more: bool,
}

impl From<Batch> for PolledBatch {
    /// Converts all changes that the store had when it was asked.
    fn from(batch: Batch) -> Self {
        Self {
            batch,
            has_more: false,
        }
    }
}

/// A request for the changes after a position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The position up to which the sender has all changes.
    pub after: Position,
    /// How long the store waits for a first change before it answers.
    pub wait: Millis,
    /// How long the call may take beyond that.
    pub timeout: Millis,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The store no longer has all changes after the revision. The complete
    /// state must be read again.
    Compacted,
    /// The lease has expired, and all items written under it are deleted. A lease
    /// of an earlier era counts as expired: its number may be another's by now.
    Expired,
    /// The store has come back from an older copy. The complete state must be read
    /// again.
    NewEra(Era),
    /// The response is of another time: it has no readable era, or one before the
    /// latest that was seen. Nothing in it counts.
    Stale {
        /// The step that failed.
        step: &'static str,
        /// The era of the response, or why there is none.
        cause: String,
        /// The latest era that was seen.
        latest: Era,
    },
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
            Self::Compacted => {
                f.write_str("the store no longer has the changes after the revision")
            }
            Self::Expired => f.write_str("the lease has expired"),
            Self::NewEra(era) => write!(f, "the store is in the new era {era}"),
            Self::Stale {
                step,
                cause,
                latest,
            } => {
                write!(
                    f,
                    "{step}: a response of another time: {cause}, the latest era is {latest}"
                )
            }
            Self::Failed { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

type PlatformResult<T> = Result<T, PlatformError>;

/// Identifies a lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// A lease. Another era may have given its number to another holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The era of the store in which it was granted.
    pub era: Era,
    /// Its number in that era.
    pub id: LeaseId,
}

/// The operations of the platform's store.
#[derive(Clone)]
pub struct Platform {
    /// Reads the complete state. The given time is the timeout of each page.
    pub read: Call<Millis, PlatformResult<Batch>>,
    /// Waits for changes. One call covers configurations, targets and entries,
    /// because each call is charged.
    pub poll: Call<Poll, PlatformResult<PolledBatch>>,
    /// Announces this entry under a new lease of the given duration.
    pub announce: Call<(Presence, Millis), PlatformResult<Lease>>,
    /// Renews the lease.
    pub renew: Call<Lease, PlatformResult<()>>,
    /// Ends the lease, which withdraws the announcement.
    pub withdraw: Call<Lease, PlatformResult<()>>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Platform")
    }
}
