//! Chooses the entry VMs that a caller should use.
//!
//! [`BlockTable`] maps a caller's address to a site, [`SiteRegions`] maps the
//! site to a region, and [`rank()`] orders the entry VMs for callers of that
//! region. Everything is held in memory, because a lookup has to succeed while
//! all other systems are down.
//!
//! The [`EntryView`] is built once for each change of the membership and then
//! only read: a lookup with 2,800 entries visits the entries of the nearest
//! region instead of all of them. In exchange each change rebuilds the view, at
//! a cost that grows with the number of entries, so the users of this module
//! batch changes. See [docs/design.md](../../../docs/design.md), section 3.1.

mod block;
mod load;
mod rank;
mod shard;
mod view;

pub use block::{BlockChange, BlockTable};
pub use load::{LoadGauge, LoadLevel};
pub use rank::{Answer, CHANGING_MAX_AGE, MAX_AGE, MAX_ENTRIES, rank};
pub use view::{Candidate, EntryState, EntryView, RegionDelays, SiteRegions};
