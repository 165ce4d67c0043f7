//! Selects the upstream from which an entry polls changes: the store or another
//! entry.
//!
//! Every call to the store is billed and counts towards its rate limits, so the
//! number of calls must not grow with the number of entries. In each region one
//! entry, the source, polls the store; the others poll the source, which keeps
//! a [`ChangeLog`] of recent changes. This is a leader with followers, but
//! without an election: [`UpstreamSelector`] ranks the entries that the store
//! lists, and each entry follows the first in the ranking.
//!
//! Correctness does not depend on a common view of all entries. An entry whose
//! source is unresponsive or behind polls the next entry in the ranking. The first
//! two of these poll the store as soon as they notice the loss themselves, and with
//! each further failure twice as many entries may do so, but never all at once. An
//! entry that the store rejects polls another entry. [`ChainTimes`] has the times
//! that bound the age of the state over all these steps.
//!
//! An entry that knows none of its region, as at a start of all entries, follows a seed
//! ([`SeedSelector`]). See
//! [docs/platform.md](../../../docs/platform.md).

mod change_log;
mod choose;
mod deferred;
mod seed;
mod timing;

pub use change_log::ChangeLog;
pub use choose::{Trust, Upstream, UpstreamFailure, UpstreamSelector, rank};
pub use deferred::Deferred;
pub use seed::SeedSelector;
pub use timing::{ChainTimes, REPLY_MARGIN};
