//! Drains of targets, places and entries.
//!
//! A [`Drain`] tells an operator what still blocks the removal of a target, a
//! place or an entry. It only collects reports, because entries stop sending
//! new requests as soon as they adopt the document that asks for the drain. A
//! [`StopSequence`] takes the entry itself out of service. Both count running
//! requests without a time limit, so a drain never interrupts a request; in
//! exchange a drain takes as long as the longest request. Where the platform
//! kills a stopping process after a grace period, a [`StopSchedule`] takes only
//! the requests that cannot outlast it. See [docs/design.md](../../../docs/design.md), sections 3.1 and 3.9.

mod progress;
mod schedule;
mod stop;

pub use progress::{Blocker, Drain, Remaining, Report, Subject};
pub use schedule::StopSchedule;
pub use stop::{Phase, Step, StopSequence};
