//! Where an entry learns of changes: from the store, or from another entry.
//!
//! Every call to the store has a price and uses a part of its rates, so the
//! calls must not grow with the number of entries. In each region one entry, the
//! source, asks the store; the others ask the source, which keeps a [`Log`] of
//! the latest changes. This is the pattern of a leader with followers, but
//! without an election: [`Upstreams`] ranks the entries that the store lists, and
//! each entry follows the first one of its rank.
//!
//! Nothing depends on all entries having the same view. An entry whose source is
//! silent or behind asks the store itself, and one that the store turns away asks
//! another entry. See [docs/platform.md](../../../docs/platform.md).

mod choose;
mod log;

pub use choose::{Upstream, Upstreams};
pub use log::Log;
