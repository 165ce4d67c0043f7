//! The result of a choice, which counts as a request at its target until it ends.

use crate::{
    domain::{AzName, InstanceId, Millis, TargetId},
    policy::overflow::{Placement, Split},
};

/// The target selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its address.
    pub addr: TargetId,
    /// Must be passed to [`Pool::finish`](super::Pool::finish) when the request has ended.
    pub ticket: Ticket,
}

/// A request that is counted at a target until [`Pool::finish`](super::Pool::finish)
/// releases it, with the estimates that led to the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The target.
    pub id: InstanceId,
    /// The expected time from the choice to the answer.
    pub expected_duration: Millis,
    /// The estimated number of requests at the target before this one.
    pub load: f64,
    /// The age of the load report behind that estimate, if there was one.
    pub report_age: Option<Millis>,
    /// Whether the target was assumed to have the object warm.
    pub warm: bool,
    /// Whether the target was chosen to find out whether it works, whatever the
    /// object of the request.
    pub probe: bool,
    /// The availability zone of the target.
    pub az: AzName,
    /// What the choice was based on.
    pub basis: Basis,
    /// When the instance started, which distinguishes it from a later one with
    /// the same id.
    pub(super) started_at: Option<Millis>,
    pub(super) sent_at: Millis,
    pub(super) route: u64,
    pub(super) object: Option<u64>,
    pub(super) rtt_ms: f64,
    pub(super) slowdown: f64,
    /// The part of the slowdown that the target has reported.
    pub(super) reported_slowdown: f64,
}

/// What a choice was based on, for logs and for the account of both sides
/// ([`Sides`](crate::policy::overflow::Sides)).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Whether the request was to run in another region.
    pub remote: bool,
    /// The utilization of the local region, in requests per slot.
    pub utilization: f64,
    /// The split between the regions that placed the request, if both sides had a
    /// target.
    pub split: Option<Split>,
}

impl Basis {
    /// Returns whether the request was placed in another region, where it runs unless
    /// that would change the region of too many requests.
    #[must_use]
    pub fn placed_remote(&self) -> bool {
        let placement = self.split.map(|s| s.placement);
        placement.map_or(self.remote, |p| p == Placement::Remote)
    }
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The target answered.
    Answered,
    /// The target answered with an error.
    ErrorResponse,
    /// The target rejected the request without running it.
    Rejected,
    /// Another target has taken over the address.
    Misdirected,
    /// The target could not be reached.
    Unreachable,
    /// The connection broke or carried something other than the answer.
    Broken,
    /// Nobody waits for the answer any longer.
    Cancelled,
}
