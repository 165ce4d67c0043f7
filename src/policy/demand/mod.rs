//! The demand of a region: what the callers of all its entries ask for.
//!
//! Which part of a region's requests has to run in other regions follows from what
//! its callers ask for and from its slots. An entry knows only its own requests. So
//! each entry measures its part with a [`DemandMeter`] and sends it as a
//! [`DemandReport`] with each poll to the source of its region, which adds up the
//! reports and answers with the sum, a [`RegionDemand`]. All entries of a region
//! thereby decide by the same figures, which are as old as a poll or two. A
//! [`DemandAccount`] holds what an entry knows of this.
//!
//! The demand is measured in requests and in the slots that they would occupy at
//! targets that have their objects warm, not by the load of targets: cold caches
//! raise the load several times while the demand stays the same.

mod account;
mod meter;
mod ranks;
mod workspaces;

use std::{collections::BTreeMap, fmt, ops::AddAssign};

pub use self::{
    account::{DemandAccount, REPORT_VALIDITY, REPORTS_MAX},
    meter::{Asked, DEMAND_WINDOW, DemandMeter},
    ranks::{RANKS, RankSlots},
    workspaces::{WORKSPACES_MAX, WorkspaceKey, WorkspaceNeed, WorkspaceSlots},
};
use crate::domain::{EntryId, ServiceName};

/// The largest number of services in a report or a sum. Further ones are dropped, so
/// that a faulty entry cannot make a message or the account grow without bound.
pub const SERVICES_MAX: usize = 256;

/// The largest factor by which a sum over some entries of a region is extrapolated.
const COVERAGE_FACTOR_MAX: f64 = 2.0;

/// The smallest part of the requests for which the share has to be known, to count as
/// that of the region. A few entries may have another one.
const STATED_MIN: f64 = 0.25;

/// The largest number of requests per second and of slots that can be true.
const DEMAND_MAX: f64 = 1e9;

/// What callers ask of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub requests: f64,
    /// The slots of targets that these requests occupy on average: requests per second
    /// times the seconds that each takes at a target (Little's law).
    pub slots: f64,
    /// The sum of the loads of the other regions, in requests per slot, over the entries
    /// that have recent reports from there.
    pub far_load: f64,
    /// The number of entries with such reports.
    pub far_reports: f64,
    /// The requests per second at the entries that follow the share of the region.
    /// Others have just started.
    pub stated: f64,
    /// The requests per second that these entries send to other regions.
    pub stated_far: f64,
    /// The slots that the requests of each rank need. There are none from entries of
    /// earlier versions.
    pub by_rank: RankSlots,
    /// The slots that the requests of the largest workspaces need. There are none from
    /// entries of earlier versions.
    pub by_workspace: WorkspaceSlots,
}

impl Demand {
    /// Returns the average load of the other regions, in requests per slot, or zero if
    /// no entry has recent reports from there.
    #[must_use]
    pub fn others_load(&self) -> f64 {
        self.far_load / self.far_reports.max(1.0)
    }

    /// Returns the fraction of the region's requests that its entries send to other
    /// regions, or none if it is known for too few of them.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        let is_known = self.stated > 0.0 && self.stated >= self.requests * STATED_MIN;
        is_known.then(|| (self.stated_far / self.stated).min(1.0))
    }

    /// Returns whether the numbers can be those of an entry or a region.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        // NaN is in no range.
        let range = 0.0..=DEMAND_MAX;
        let values = [
            self.requests,
            self.slots,
            self.far_load,
            self.far_reports,
            self.stated,
            self.stated_far,
        ];
        let values = values.iter().chain(&self.by_rank.0).copied();
        let needs = self.by_workspace.needs().iter();
        let needs = needs.flat_map(|need| [need.slots.into(), need.weight.into()]);
        values.chain(needs).all(|value| range.contains(&value))
    }

    /// Returns the demand of all entries of a region if that of most is known. Entries
    /// get very different numbers of requests, so that a few say nothing about the rest.
    fn extrapolate(self, known_entries: usize, region_entries: usize) -> Option<Self> {
        let factor = coverage_factor(known_entries, region_entries);
        (factor <= COVERAGE_FACTOR_MAX).then_some(Self {
            requests: self.requests * factor,
            slots: self.slots * factor,
            stated: self.stated * factor,
            stated_far: self.stated_far * factor,
            by_rank: self.by_rank.scaled(factor),
            by_workspace: self.by_workspace.scaled(factor),
            ..self
        })
    }
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.slots += other.slots;
        self.far_load += other.far_load;
        self.far_reports += other.far_reports;
        self.stated += other.stated;
        self.stated_far += other.stated_far;
        self.by_rank += other.by_rank;
        self.by_workspace += other.by_workspace;
    }
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests, slots, ..
        } = self;
        write!(f, "{requests:.2} requests/s, {slots:.2} slots")
    }
}

/// The demand of one entry, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// The services of which the entry has got requests.
    pub services: BTreeMap<ServiceName, Demand>,
}

/// The demand of one entry as it sends it to its source.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryReport {
    /// The name of the entry.
    pub entry: EntryId,
    /// Its demand.
    pub demand: DemandReport,
}

/// The sum of the demand of several entries of a region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionDemand {
    /// The number of entries that the sum covers.
    pub entries: usize,
    /// The sum by service.
    pub services: BTreeMap<ServiceName, Demand>,
}

impl RegionDemand {
    /// Returns the demand of a service at all entries of the region, if the sum covers
    /// most of them and any of these has had requests for it.
    #[must_use]
    pub fn of(&self, service: &ServiceName, region_entries: usize) -> Option<Demand> {
        let demand = self.services.get(service)?;
        demand.extrapolate(self.entries, region_entries)
    }

    /// Adds the demand of one more entry.
    fn add(&mut self, report: &DemandReport) {
        self.entries += 1;
        for (service, demand) in &report.services {
            if let Some(sum) = self.services.get_mut(service) {
                *sum += *demand;
            } else if self.services.len() < SERVICES_MAX {
                self.services.insert(service.clone(), *demand);
            }
        }
    }
}

/// Returns by how much a sum over some entries of a region falls short of all of them.
/// Entries without a report count as average ones.
#[expect(clippy::cast_precision_loss)]
fn coverage_factor(known_entries: usize, region_entries: usize) -> f64 {
    (region_entries as f64 / known_entries.max(1) as f64).max(1.0)
}

/// Drops what cannot be true and what is too much.
fn sanitize(services: &mut BTreeMap<ServiceName, Demand>) {
    services.retain(|_, demand| demand.is_plausible());
    while services.len() > SERVICES_MAX {
        services.pop_last();
    }
}
