//! Paced moves of traffic between the places of a service.
//!
//! A document says where traffic should be; a [`Shift`] says where it is. Each
//! place has a *base* share that is proven, an *effective* share that lies at
//! most one step beyond it, and a *target* share from the document. A request is
//! first given to a place by base shares. If that place shrinks, the request is
//! moved to a growing place with the probability that makes up the difference.
//! So exactly the moved requests are the extra ones, each takes a unit of the
//! shift's cap, and without a unit it stays at its former place.
//!
//! A step ends when the growing places answer as well as before. The part of the
//! step that units let through then becomes base, and the next step begins. So
//! the rate at growing places rises by at most the cap with each step, and a
//! move that is larger than the cap ends nevertheless. The alternative, a cap on
//! the distance from the first base, would hold such a move for ever.
//!
//! A place that leaves or loses its region gets nothing at once: its share is
//! spread over the others without steps, since the choice is then between a
//! cold place and none. Region headroom applies to every request. See
//! [docs/design.md](../../../docs/design.md), section 3.9.

mod choose;
mod health;
mod progress;
mod share;
mod state;

pub use health::Health;
pub use progress::{Level, Progress};
pub use share::Share;
pub use state::{Pace, PlaceShare, Shift};
