//! Dissemination of document revisions between entries.
//!
//! An entry that adopts a revision announces (service, revision) to three random
//! peers. A peer that lacks it pulls the body from the announcer, adopts it and
//! announces it in turn. Announcements alone miss about one entry in twenty, so
//! every probe carries a hash of all adopted revisions. Where two differ, hashes
//! per bucket are exchanged and then the revisions of the differing buckets.
//! That keeps the digest at 8 bytes for any number of services while nothing
//! changes.
//!
//! Bodies are pulled and not pushed, since with three announcements per entry
//! two of three pushed bodies would be duplicates. The cost is one more round
//! trip per hop. See [docs/design.md](../../../docs/design.md), section 3.3.

mod digest;
mod holders;
mod known;

pub use digest::{Announcement, RootHash, Summary};
pub use holders::watch_holders;
pub use known::{Action, Spread, Tuning};
