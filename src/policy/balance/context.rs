//! What a choice depends on besides the targets: the instant, the entry and the
//! request.

use std::collections::BTreeSet;

use super::slow_start::ColdQuota;
use crate::{
    domain::{AzName, Homes, InstanceId, Millis, Rank, RegionName, RouteRule, Size},
    policy::{
        demand::{Demand, WorkspaceKey},
        overflow::Sides,
    },
};

/// The state that all requests of a service share at one instant.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The present instant.
    pub now: Millis,
    /// The availability zone of this entry.
    pub az: &'a AzName,
    /// The region of this entry.
    pub region: &'a RegionName,
    /// Availability zones that are evacuated and get no requests.
    pub evacuated: &'a BTreeSet<AzName>,
    /// The number of entries in the region of this one, itself included.
    pub region_entries: usize,
    /// The rate limit for cold targets.
    pub cold_quota: ColdQuota<'a>,
    /// The largest fraction of requests that may change region in a window.
    pub shift_cap: f64,
    /// The estimated number of requests of the region's callers in that window.
    pub region_requests: f64,
    /// What the callers of all entries of the region ask of the service, if any request
    /// is known.
    pub region_demand: Option<Demand>,
    /// Where this entry has placed its recent requests, and which it refused.
    pub sides: Sides,
}

/// The properties of a request that decide on its target.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its rule.
    pub rule: &'a RouteRule,
    /// The regions in which it may run.
    pub homes: Homes<'a>,
    /// Its rank: that of its workspace, else that of its rule.
    pub rank: Rank,
    /// Its workspace with the weight of that, if there is one.
    pub workspace: Option<(WorkspaceKey, f32)>,
    /// The hash of the object that it concerns, if any.
    pub object: Option<u64>,
    /// The targets to which it was already sent.
    pub tried: &'a [InstanceId],
    /// The time that is left until its deadline.
    pub time_left: Millis,
    /// The size of its body, as far as it is known.
    pub size: Size,
}
