//! Membership and failure detection of entries.
//!
//! The protocol follows SWIM: each entry probes one peer per second, asks three
//! others to relay the probe if no answer arrives, and piggybacks the records
//! of changed members on these messages. The load on each entry is independent
//! of the fleet size. All-to-all heartbeats would detect a failure sooner, but
//! their cost is quadratic in the fleet size.
//!
//! It differs from SWIM as follows:
//!
//! * A record carries a [`Version`] within its incarnation. A refutation or a
//!   change of load raises the version; only a restart raises the incarnation,
//!   because roster seats, units and claims belong to one incarnation.
//! * A report that a member is dead starts a local suspicion instead of taking
//!   effect at once, so that the member can refute it. Otherwise, when a
//!   partition ends, the whole fleet would be out of use for a moment.
//! * The entry that suspects a member probes it again every second, directly
//!   and through peers. The probe includes the suspicion, so that the member
//!   can refute it in the reply.
//! * Leaving records and refutations are pushed to three peers on receipt
//!   instead of waiting for the next probe. A refutation thus arrives before
//!   the suspicion expires, although the suspicion timeout of 3 s does not grow
//!   with the fleet size.
//! * Each entry compares its view with one peer every 30 s, on joining, and on
//!   contact with a member that it considered dead. It probes a dead member
//!   once a minute.
//!
//! Membership only determines where callers are directed. Units and claims
//! depend on the [`Roster`], which changes only by compare-and-swap in the
//! store. See [docs/design.md](../../../docs/design.md), section 3.10.

mod event;
mod members;
mod merge;
mod probes;
mod queue;
mod record;
mod roster;
mod sync;

pub use event::{Event, EventKind};
pub use members::{Action, Members, Nonce, Tuning};
pub use queue::UPDATE_BYTES_MAX;
pub use record::{Load, Member, State, Version};
pub use roster::{Proposer, Roster, Seat, Vm, next_roster, proposers};
pub use sync::ViewDigest;
