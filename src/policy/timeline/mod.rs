//! The timeline: events of all entries in one causal order.
//!
//! To find out why traffic moved, an operator needs the events of every entry
//! in one order. Wall clocks alone do not provide it, because they differ by
//! more than the time between a cause and its effect at another entry. Each
//! event therefore has a [`Stamp`] of a hybrid logical clock, which is close to
//! the wall clock and orders an event that a message caused after the events
//! that the message's sender had seen. Vector clocks would also show which
//! events are concurrent, but their size grows with the number of entries.
//!
//! Each entry keeps its latest events in an [`EventRing`]. When a timeline is
//! requested, [`merge`] combines the events of several entries. See
//! [docs/design.md](../../../docs/design.md), section 4.

mod event;
mod ring;
mod snapshot;
mod stamp;

pub use event::{Component, Event, Kind};
pub use ring::{EventRing, MAX_EVENTS, merge};
pub use snapshot::{StateSnapshot, events_between};
pub use stamp::{HybridClock, MAX_CLOCK_SKEW, Stamp, Utc};
