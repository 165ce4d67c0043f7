//! Which target runs a request.
//!
//! A target works much faster on an object that it handled lately, so placement
//! by object decides how much the targets can do in all. The pattern is
//! consistent hashing with bounded loads: rendezvous hashing gives each object
//! one first target in a region, and every entry computes the same one without
//! any exchange. The bound is not a fixed load. Each target is scored by the
//! time in which it is expected to answer, from what is known of the work (warm
//! or cold), its queue, its reported slowness and its distance, and the cheapest
//! one takes the request. A hot object thereby gains further targets when its
//! first one queues, and loses them when it no longer does.
//!
//! # Trade-offs
//!
//! * The load of a target is this entry's own count plus what the target last
//!   reported beyond it. Reports are as old as the last answer; they fade towards
//!   the usual level, so an old one neither attracts nor repels for long.
//! * Cold work occupies a slot for longer and so delays others. The score adds
//!   that time in proportion to how busy the region is.
//! * Scoring looks at every target of the service: some 20 ns each, which is
//!   less than one system call at the 420 targets of the largest service known.
//!
//! See [docs/platform.md](../../../docs/platform.md).

mod choose;
mod cold;
mod health;
mod load;
mod pool;
mod registry;
mod target;
mod work;

pub use choose::{Ask, Choice, Miss, Scene, Ticket};
pub use cold::Quota;
pub use load::Report;
pub use pool::{Ending, Pool};
pub use registry::{Registry, Step};
pub use work::object_hash;
