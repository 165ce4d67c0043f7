//! Which entry VMs a caller should use.
//!
//! A caller's address leads to a site through [`BlockTable`], the site to a
//! region through [`Sites`], and [`rank`] orders the entry VMs as that region
//! sees them. Both steps work from memory, because a look-up has to succeed
//! while everything else is down.
//!
//! The view of the entries is prepared once for each change of the membership
//! and then only read: a look-up at 2,800 entries visits the entries of the
//! nearest region instead of all of them. The price is a rebuild of the view,
//! which grows with the number of entries, so callers batch changes. See
//! [docs/design.md](../../../docs/design.md), section 3.1.

mod block;
mod load;
mod rank;
mod shard;
mod view;

pub use block::{BlockTable, Change};
pub use load::{LoadGauge, LoadLevel};
pub use rank::{Answer, CHANGING_AGE, MAX_AGE, MAX_ENTRIES, rank};
pub use view::{Candidate, Delays, EntryState, Sites, View};
