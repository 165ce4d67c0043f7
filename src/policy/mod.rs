//! The decision logic of savorybeam.
//!
//! Everything in this module is free of I/O: a decision receives its state, the
//! current time and, where needed, a random number generator as arguments. Each
//! one can therefore be replayed from a seed and compared with a reference
//! model. The cost is that the calling code in [`app`](crate::app) must pass
//! state and messages in and out. `tests/shape.rs` checks that nothing here
//! imports an adapter or a runtime.

pub mod admin;
pub mod balance;
pub mod budget;
pub mod crash;
pub mod demand;
pub mod document;
pub mod drain;
pub mod limit;
pub mod lookup;
pub mod member;
pub mod once;
pub mod overflow;
pub mod presence;
pub mod queue;
pub mod quota;
pub mod refusal;
pub mod replay;
pub mod retry;
pub mod room;
pub mod route;
pub mod shift;
pub mod silence;
pub mod spread;
pub mod stream;
pub mod target;
pub mod timeline;
pub mod upstream;
