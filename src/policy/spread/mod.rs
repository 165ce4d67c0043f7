//! Dissemination of document revisions between entries.
//!
//! An entry that adopts a revision announces (service, revision) to three
//! random peers. A peer that lacks the revision pulls the body from the
//! announcer, adopts it and announces it in turn. Announcements alone miss
//! about one entry in twenty, so every probe carries a hash of all adopted
//! revisions. If the hashes of two entries differ, one sends its hashes per
//! bucket and the other replies with the revisions in the buckets that differ.
//! While nothing changes, the digest is 8 bytes for any number of services.
//!
//! Bodies are pulled instead of pushed: with three announcements per entry, two
//! of three pushed bodies would be duplicates. The cost is one more round trip
//! per hop. See [docs/design.md](../../../docs/design.md), section 3.3.

mod digest;
mod dissemination;
mod holders;

pub use digest::{Announcement, RootHash, Summary};
pub use dissemination::{Action, Dissemination, Tuning};
pub use holders::watch_holders;
