//! Rate-limited traffic shifts between the places of a service.
//!
//! A document says how traffic should be distributed; a [`Shift`] tracks how it
//! is distributed now. Each place has a *base* share, which it is known to
//! handle, an *effective* share, which is at most one step away from the base,
//! and a *target* share, which comes from the document. A request is first
//! assigned to a place by base shares. If the share of that place is shrinking,
//! the request is moved to a growing place with the probability that makes up
//! the difference. So the moved requests are exactly the extra load of the
//! growing places. Each of them takes a unit of the shift's cap, and without a
//! unit it stays at the place it was assigned to.
//!
//! A step ends when the growing places respond as well as before. The part of
//! the step for which units were granted then becomes part of the base, and the
//! next step begins. So the request rate at growing places rises by at most the
//! cap with each step, and a move that is larger than the cap still completes.
//! The alternative, a cap on the distance from the initial base, would stall
//! such a move forever.
//!
//! A place that is leaving or whose region is lost gets no requests at all from
//! then on. Its share is distributed over the other places without steps, since
//! the alternative to a place with a cold cache is then no place at all. Region
//! headroom applies to every request. See
//! [docs/design.md](../../../docs/design.md), section 3.9.

mod choose;
mod health;
mod progress;
mod share;
mod state;

pub use health::Health;
pub use progress::{PlaceProgress, Progress};
pub use share::Share;
pub use state::{PlaceShare, Shift, TickOutcome};
