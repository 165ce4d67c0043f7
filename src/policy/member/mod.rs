//! Membership of entries.
//!
//! This follows SWIM: each entry probes one peer a second, asks three others to
//! probe it when no answer comes, and piggybacks records of changed members on
//! these messages. The load on each entry does not depend on the size of the
//! fleet. A heartbeat to everyone would detect a failure sooner, at a cost that
//! is quadratic in the fleet.
//!
//! It differs from SWIM in these points.
//!
//! * A record carries a [`Version`] within its incarnation. Refutation and load
//!   raise the version, only a restart raises the incarnation, because roster
//!   seats, units and claims belong to one incarnation.
//! * A report that a member is dead starts a local suspicion instead of taking
//!   effect at once, so that the member can refute it. Otherwise the end of a
//!   partition would remove the whole fleet from steering for a moment.
//! * The entry that suspects a member probes it again every second, directly and
//!   through peers, and includes the suspicion, so that the member can refute in
//!   the reply.
//! * Leaving records and refutations are pushed to three peers on receipt instead
//!   of waiting for the next probe. A refutation thus overtakes the suspicion,
//!   whose 3 s do not grow with the fleet.
//! * Views are compared with one peer every 30 s, on joining, and on contact
//!   with a member that was held dead. Dead members are probed once a minute.
//!
//! Membership only steers. Units and claims depend on the [`Roster`], which
//! changes only by compare-and-swap in the store. See
//! [docs/design.md](../../../docs/design.md), section 3.10.

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
pub use queue::UPDATE_BYTES;
pub use record::{Load, Member, State, Version};
pub use roster::{Proposer, Roster, Seat, Vm, next_roster, proposers};
pub use sync::ViewDigest;
