//! The events of all processes as one timeline.
//!
//! An operator who asks why traffic moved needs the events of every entry in
//! one order. Wall clocks alone do not give it, because they differ by more than
//! the time between a cause and its effect at another entry. Each event
//! therefore has a [`Stamp`] of a hybrid logical clock: it is close to the wall
//! clock, and an event that was caused by a message sorts after the events that
//! its sender had seen. Vector clocks would also tell which events are
//! concurrent, but their size grows with the number of entries.
//!
//! Each entry keeps its latest events in a [`Ring`]; [`merge`] joins the events
//! of several entries when they are asked for. See
//! [docs/design.md](../../../docs/design.md), section 4.

mod event;
mod ring;
mod stamp;
mod watch;

pub use event::{Event, Kind, Part};
pub use ring::{EVENTS_MAX, Ring, merge};
pub use stamp::{AHEAD_MAX, HybridClock, Stamp, Utc};
pub use watch::{Look, events_between};
