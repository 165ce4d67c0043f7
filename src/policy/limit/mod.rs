//! Limits that entries share without consensus, by escrow with loans.
//!
//! A limit is a fixed number of numbered units. At every instant each unit has
//! at most one entry that may use it, so the sum never exceeds the limit:
//!
//! * The *home* of a unit, by rendezvous hash over the [`Roster`], owns it
//!   without expiry. An owner may lend it.
//! * A *loan* of a rate limit expires: the borrower counts [`TTL`] from when it
//!   sent its ask, the lender counts [`RECLAIM`] from its answer. A loan of
//!   target slots ends only when it is returned, or when the platform has
//!   reported the borrower gone, because its request may still run.
//! * After a change of the roster the new home *surveys* all members. The
//!   former owner hands the unit over when it is free. If every member answers
//!   that it neither owns nor holds the unit, then the unit was lost with a
//!   message or an entry, and the home owns it. A member that has answered
//!   accepts no older grant of that unit.
//!
//! Units follow the demand: an entry asks the homes with the most idle units for
//! what its moving average needs, a lender queues asks for slots while it has
//! none free, recalls units from the borrower that has the most when another
//! has fewer, and idle units are returned after [`IDLE`].
//!
//! Each message is harmless when lost, duplicated, delayed or reordered. A loss
//! costs capacity until an audit, an expiry or a survey finds it.
//!
//! A rate limit always has [`RATE_UNITS`] units, each worth that part of the
//! rate, so a change of the rate moves no unit. A limit of slots has one unit
//! for each slot. An entry neither uses nor lends units beyond the size it
//! knows, and keeps owning them in case the size grows again.
//!
//! The price of unanimous surveys: a lost unit, and every unit of a limit that
//! is new, waits for members that do not answer until the platform has reported
//! them gone. See [docs/design.md](../../../docs/design.md), section 3.2.

mod borrow;
mod bucket;
mod demand;
mod ledger;
mod lend;
mod message;
mod roster;
mod survey;
mod unit;

pub use ledger::{Ledger, Permit, Status};
pub use message::{Held, Item, Member, Message, Outgoing};
pub use roster::{Roster, Seat};

use crate::domain::{LimitName, Mbps, Millis, Rps, Slots};

/// The number of units of every rate limit.
pub const RATE_UNITS: u32 = 256;

/// How long a loan of a rate limit lasts for its borrower, from its ask.
pub const TTL: Millis = Millis(2_000);

/// How long a loan of a rate limit lasts for its lender, from its answer: the
/// borrower's time and 25% for clocks that drift apart, and 200 ms for a thread
/// that stalls between its check and its use.
pub const RECLAIM: Millis = Millis(TTL.0 + TTL.0 / 4 + 200);

/// How long a borrowed unit may be idle before it is returned.
pub const IDLE: Millis = Millis(500);

/// How often [`Ledger::tick`] is expected to run.
pub const TICK: Millis = Millis(100);

/// The bits of the largest chunk that is admitted to a link at once, 64 KiB.
pub const LINK_GRAIN: u64 = 64 * 1024 * 8;

/// What a limit allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// How many requests run at the same time.
    Slots(Slots),
    /// How much is admitted in a second.
    Rate {
        /// The amount, in requests or bits a second.
        rate: u64,
        /// The largest amount that is admitted at once.
        grain: u64,
    },
}

impl Limit {
    /// Returns a limit of requests a second.
    #[must_use]
    pub fn requests(rate: Rps) -> Self {
        Self::Rate {
            rate: u64::from(rate.0),
            grain: 1,
        }
    }

    /// Returns the limit of a link, in bits a second.
    #[must_use]
    pub fn link(rate: Mbps) -> Self {
        Self::Rate {
            rate: u64::from(rate.0) * 1_000_000,
            grain: LINK_GRAIN,
        }
    }

    /// Returns the limit of a name before its size is known. A ledger is needed
    /// even then, because surveys wait for the answer of every member.
    #[must_use]
    pub fn unknown(name: &LimitName) -> Self {
        if name.as_str().starts_with("slots/") {
            Self::Slots(Slots(0))
        } else {
            Self::Rate { rate: 0, grain: 1 }
        }
    }

    /// Returns the number of units, which is zero for a limit of zero.
    #[must_use]
    pub fn units(&self) -> u32 {
        match *self {
            Self::Slots(slots) => slots.0.min(MAX_UNITS),
            Self::Rate { rate: 0, .. } => 0,
            Self::Rate { .. } => RATE_UNITS,
        }
    }
}

/// The most units of a limit. It bounds the length of a message.
pub const MAX_UNITS: u32 = 4_096;
