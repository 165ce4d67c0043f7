//! Implementations of [`ports::Store`](crate::ports::Store), the platform's
//! key-value store.
//!
//! [`etcd`] is a client of the platform's store, which speaks the published
//! etcd v3 protocol; [`messages`] declares the protocol's messages. [`memory`]
//! has the same semantics within the process, for `dev` and for tests. The
//! tests in `tests/store` run against both, so that results in memory hold for
//! the platform's store as well. [`record`], [`roster`] and [`vms`] encode or
//! decode the stored values, and [`documents`] reads and edits documents
//! through either implementation.
//!
//! Failures of the store are of two kinds, and callers depend on the
//! difference: after [`StoreError::Down`](crate::ports::StoreError::Down)
//! nothing was written, and after
//! [`StoreError::Unknown`](crate::ports::StoreError::Unknown) the write may
//! have taken effect. See [docs/design.md](../../../docs/design.md), sections
//! 3.3 and 7.

mod calls;
mod client;
pub mod documents;
pub mod etcd;
mod lease;
pub mod memory;
pub mod messages;
pub mod record;
pub mod roster;
pub mod vms;
mod write;

pub use calls::{CallCounters, CallCounts};

/// The maximum size of a value in bytes, as the platform specifies it.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The number of keys in a page of a list. A page of values of the maximum size
/// has 64 MB, half of the memory that an entry may use for the control plane; a
/// page of typical documents has less than 3 MB.
const PAGE_KEYS: usize = 64;

/// How many updates a watch buffers for a slow reader. In memory, a watch whose
/// buffer is full ends and its reader lists again, which costs less than an
/// unbounded queue; over etcd, a full buffer applies backpressure to the
/// stream.
const MAX_WATCH_BACKLOG: usize = 1_024;

fn too_large_message(len: usize) -> String {
    format!("the value has {len} B, the store accepts at most {MAX_VALUE_BYTES} B")
}
