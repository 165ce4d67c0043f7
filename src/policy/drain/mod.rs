//! Drains of targets, places and entries.
//!
//! A [`Drain`] answers an operator's question: what still holds up the removal
//! of this target, place or entry? It only collects reports, because new work
//! already stops when an entry takes over the document. A [`Stop`] is the
//! sequence by which an entry takes itself out of service. Both count requests
//! and set no time limit on them, so a drain never interrupts one; the price is
//! that a drain takes as long as the longest request. See
//! [docs/design.md](../../../docs/design.md), sections 3.1 and 3.9.

mod planned;
mod stop;

pub use planned::{Drain, Holdup, Left, Report, Subject};
pub use stop::{Phase, Step, Stop};
