//! The decisions of savorybeam.
//!
//! Everything in here is pure: a decision sees state, the present instant and,
//! where needed, a source of random numbers, all passed in. So each one can be
//! replayed from a seed and compared with a plain model. The cost is that the
//! callers in [`app`](crate::app) must carry state and messages to and fro.
//! `tests/shape.rs` holds that nothing in here imports an adapter or a runtime.

pub mod admin;
pub mod balance;
pub mod budget;
pub mod crash;
pub mod document;
pub mod drain;
pub mod limit;
pub mod lookup;
pub mod member;
pub mod once;
pub mod overflow;
pub mod presence;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod shift;
pub mod silence;
pub mod spread;
pub mod target;
pub mod timeline;
pub mod upstream;
