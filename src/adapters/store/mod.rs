//! The platform's key-value store behind [`ports::Store`](crate::ports::Store).
//!
//! [`memory`] holds the platform's semantics in the process, for `dev` and for
//! tests.
//!
//! The store's own failures are of two kinds, and callers depend on the
//! difference: [`StoreError::Down`](crate::ports::StoreError::Down) says that
//! nothing was written, and
//! [`StoreError::Unknown`](crate::ports::StoreError::Unknown) that the response
//! was lost. See [docs/design.md](../../../docs/design.md), sections 3.3 and 7.

mod calls;
pub mod memory;

pub use calls::{Calls, Counts};

/// The largest value that the store holds, in bytes, as the platform states it.
pub const VALUE_MAX: usize = 1 << 20;

/// How many updates a watch may be behind before it is ended. The reader then
/// lists again, which costs less than an unbounded queue.
const WATCH_BACKLOG: usize = 1_024;

fn oversized(len: usize) -> String {
    format!("the value has {len} B, the store holds at most {VALUE_MAX} B")
}
