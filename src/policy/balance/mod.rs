//! Load balancing: selects the target that runs a request.
//!
//! A target is much faster on an object that it has handled recently, so the
//! placement of objects determines the total throughput. The policy is a form
//! of consistent hashing with bounded loads: rendezvous hashing assigns each
//! object a preferred target in a region, and every entry computes the same one
//! without communication. The bound is not a fixed load. Each target is scored
//! by its expected response time, estimated from the request duration (warm or
//! cold), the queue, the reported slowdown and the network distance, and the
//! request goes to the target with the lowest score. A hot object thus spreads
//! to further targets while its preferred target has a queue, and returns
//! afterwards.
//!
//! Bytes that cross availability zones or regions are part of the cost, so that
//! large bodies stay near their entry.
//!
//! # Trade-offs
//!
//! * The load of a target is this entry's own count plus the requests of other
//!   entries in its last report. A report is as old as the last answer; it
//!   decays to the average load, so that an outdated report does not attract or
//!   repel requests for long.
//! * A cold request occupies a slot for longer and so delays others. The score
//!   adds that extra time in proportion to the utilization of the region.
//! * Scoring visits every target of the service. It takes some 20 ns per
//!   target, which is less than one system call for the 420 targets of the
//!   largest known service.
//!
//! See [docs/platform.md](../../../docs/platform.md).

mod admit;
mod capacity;
mod choose;
mod context;
mod distance;
mod duration;
mod explain;
mod health;
mod load;
mod notice;
mod pool;
mod registry;
mod score;
mod slow_start;
mod target;
mod ticket;
mod withheld;

pub use admit::{Applicant, NoRoom};
pub use choose::ChooseError;
pub use context::{Context, Request};
pub use duration::object_hash;
pub use explain::{ConsideredTarget, DrawnLine, Exclusion, Explanation, LISTED_TARGETS_MAX};
pub use load::LoadReport;
pub use notice::{NoticeEffect, PauseEffect, PauseRequest, TargetNotice, Withheld, WithheldCounts};
pub use pool::Pool;
pub use registry::{Registry, RegistryChange};
pub use slow_start::ColdQuota;
pub use ticket::{Basis, Choice, Ending, Ticket};
