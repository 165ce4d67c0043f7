//! The platform's key-value store behind [`ports::Store`](crate::ports::Store).
//!
//! [`etcd`] speaks the published etcd v3 protocol to the platform's store, with
//! [`messages`]. [`memory`] holds the same semantics in the process, for `dev`
//! and for tests. The tests in `tests/store.rs` run against both, so that what
//! is tried in memory holds for the other. [`record`] encodes what is stored for
//! a document, and [`documents`] reads and edits documents through any store.
//!
//! The store's own failures are of two kinds, and callers depend on the
//! difference: [`StoreError::Down`](crate::ports::StoreError::Down) says that
//! nothing was written, and
//! [`StoreError::Unknown`](crate::ports::StoreError::Unknown) that the response
//! was lost. See [docs/design.md](../../../docs/design.md), sections 3.3 and 7.

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

pub use calls::{Calls, Counts};

/// The largest value that the store holds, in bytes, as the platform states it.
pub const VALUE_MAX: usize = 1 << 20;

/// The keys in a page of a list. A page of the largest values is 64 MB, half of
/// the memory that an entry may use for control; a page of usual documents is
/// under 3 MB.
const PAGE: usize = 64;

/// How many updates a watch may be behind before it is ended. The reader then
/// lists again, which costs less than an unbounded queue.
const WATCH_BACKLOG: usize = 1_024;

fn oversized(len: usize) -> String {
    format!("the value has {len} B, the store holds at most {VALUE_MAX} B")
}
