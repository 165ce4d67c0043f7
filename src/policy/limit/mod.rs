//! Limits that entries share without consensus, by escrow with loans.
//!
//! A limit is divided into numbered units. At any time at most one entry may use a
//! unit, so the total use never exceeds the limit:
//!
//! * The *home* of a unit is chosen by rendezvous hashing over the [`Roster`]. It
//!   owns the unit without expiry and may lend it.
//! * A *loan* of a rate limit expires: for the borrower [`LOAN_TTL`] after it sent
//!   its request, for the lender [`RECLAIM_DELAY`] after its answer. A loan of
//!   target slots ends only when it is returned or when the platform has reported
//!   the borrower gone, because a request of the borrower may still run.
//! * After a change of the roster, the new home of a unit *surveys* all members.
//!   The former owner hands the unit over when it is free. If every member answers
//!   that it neither owns nor has borrowed the unit, then the unit was lost with a
//!   message or an entry, and the home becomes its owner. A member that has
//!   answered no longer accepts an older grant of that unit.
//!
//! Units move to where the demand is. An entry requests the units that its moving
//! average of the demand calls for from the homes with the most idle units. A
//! lender queues requests for slots while it has none free, and recalls units from
//! the borrower with the most units when another one with fewer requests some.
//! Borrowed units that are not needed are returned after [`IDLE_TIMEOUT`].
//!
//! Messages may be lost, duplicated, delayed or reordered without breaking the
//! limit. After a loss, the affected units are unavailable until an audit, an expiry
//! or a survey recovers them.
//!
//! A rate limit always has [`RATE_UNITS`] units of equal size, so a change of the
//! rate moves no unit. A limit of slots has one unit for each slot. After a limit
//! shrinks, an entry neither uses nor lends the units beyond the new size, but
//! remains their owner in case the limit grows again.
//!
//! A survey needs the answer of every member. The cost is that a lost unit, and
//! every unit of a new limit, is unavailable while a member does not answer, until
//! the platform has reported that member gone. See [docs/design.md](../../../docs/design.md), section 3.2.

mod borrow;
mod bucket;
mod demand;
mod ledger;
mod lend;
mod message;
mod roster;
mod shortage;
mod survey;
mod unit;

pub use ledger::{Ledger, Permit, Status};
pub use message::{Envelope, HeldUnits, Member, Message, Outgoing};
pub use roster::{Roster, RosterMember};
pub use shortage::Shortage;

use crate::domain::{LimitName, Mbps, Millis, Quota, Rps, Slots};

/// The number of units of every rate limit.
pub const RATE_UNITS: u32 = 256;

/// How long a borrower may use a loan of a rate limit, from when it sent the
/// request.
pub const LOAN_TTL: Millis = Millis(2_000);

/// How long a lender waits before it reclaims a loan of a rate limit, from when it
/// sent the grant: [`LOAN_TTL`], plus 25% for clocks that drift apart, plus 200 ms
/// for a thread of the borrower that stalls between its check and its use.
pub const RECLAIM_DELAY: Millis = Millis(LOAN_TTL.0 + LOAN_TTL.0 / 4 + 200);

/// How long a borrowed unit that is not needed may be idle before it is returned.
pub const IDLE_TIMEOUT: Millis = Millis(500);

/// How often [`Ledger::tick`] should be called.
pub const TICK_INTERVAL: Millis = Millis(100);

/// The largest chunk that is admitted to a link at once: 64 KiB, in bits.
pub const LINK_CHUNK_BITS: u64 = 64 * 1024 * 8;

/// The kind and size of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// The most requests that run at the same time.
    Slots(Slots),
    /// The most that is admitted in a second.
    Rate {
        /// The rate, in requests or bits a second.
        rate: u64,
        /// The largest amount that is admitted at once.
        max_amount: u64,
        /// What may be admitted at once beyond the rate, over all entries together.
        burst: u64,
    },
}

/// One request in the limit of a workspace, which counts in thousandths of a request
/// because its rate may be a fraction.
pub const WORKSPACE_REQUEST: u64 = 1_000;

impl Limit {
    /// Returns a limit of requests a second.
    #[must_use]
    pub fn requests(rate: Rps) -> Self {
        Self::Rate {
            rate: u64::from(rate.0),
            max_amount: 1,
            burst: 0,
        }
    }

    /// Returns the limit of a link, in bits a second.
    #[must_use]
    pub fn link(rate: Mbps) -> Self {
        Self::Rate {
            rate: u64::from(rate.0) * 1_000_000,
            max_amount: LINK_CHUNK_BITS,
            burst: 0,
        }
    }

    /// Returns the limit of a workspace, in thousandths of a request a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    #[must_use]
    pub fn workspace(quota: &Quota) -> Self {
        // The conversion saturates.
        let amount = |requests: f64| (requests * WORKSPACE_REQUEST as f64).round() as u64;
        Self::Rate {
            // A rate of zero would have no units.
            rate: amount(quota.rate.0).max(1),
            max_amount: WORKSPACE_REQUEST,
            burst: amount(quota.burst),
        }
    }

    /// Returns a limit of zero for a name whose size is not known yet. A ledger is
    /// needed even then, because surveys wait for the answer of every member.
    #[must_use]
    pub fn unknown(name: &LimitName) -> Self {
        if name.as_str().starts_with("slots/") {
            Self::Slots(Slots(0))
        } else {
            Self::Rate {
                rate: 0,
                max_amount: 1,
                burst: 0,
            }
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

/// The most units of a limit. This bounds the length of a message.
pub const MAX_UNITS: u32 = 4_096;
