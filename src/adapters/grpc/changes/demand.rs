//! The encoding of demand.

use std::collections::BTreeMap;

use crate::{
    domain::ServiceName,
    policy::demand::{
        Demand, DemandReport, EntryReport, RankSlots, RegionDemand, SERVICES_MAX, WORKSPACES_MAX,
        WorkspaceKey, WorkspaceNeed, WorkspaceSlots,
    },
};

/// The encoded [`Demand`] for a service. It has single precision, because every entry
/// sends it with every poll.
#[derive(Clone, prost::Message, PartialEq)]
pub struct DemandMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(float, tag = "2")]
    requests: f32,
    #[prost(float, tag = "3")]
    slots: f32,
    #[prost(float, tag = "4")]
    far_load: f32,
    #[prost(float, tag = "5")]
    far_reports: f32,
    /// Absent, like the next one, from entries of earlier versions.
    #[prost(float, tag = "6")]
    stated: f32,
    #[prost(float, tag = "7")]
    stated_far: f32,
    /// The slots by rank. Absent from entries of earlier versions.
    #[prost(float, repeated, tag = "8")]
    by_rank: Vec<f32>,
    /// The keys of the largest workspaces, with their weights and slots in the same order.
    /// Absent from entries of earlier versions.
    #[prost(fixed32, repeated, tag = "11")]
    workspaces: Vec<u32>,
    #[prost(float, repeated, tag = "12")]
    workspace_weights: Vec<f32>,
    #[prost(float, repeated, tag = "13")]
    workspace_slots: Vec<f32>,
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "rounds to the precision of a message"
)]
pub(super) fn encode_demand(services: &BTreeMap<ServiceName, Demand>) -> Vec<DemandMessage> {
    let services = services.iter().take(SERVICES_MAX);
    let encode = |(service, demand): (&ServiceName, &Demand)| {
        let needs = demand.by_workspace.needs();
        DemandMessage {
            service: service.to_string(),
            requests: demand.requests as f32,
            slots: demand.slots as f32,
            far_load: demand.far_load as f32,
            far_reports: demand.far_reports as f32,
            stated: demand.stated as f32,
            stated_far: demand.stated_far as f32,
            by_rank: encode_ranks(&demand.by_rank),
            workspaces: needs.iter().map(|need| need.key.0).collect(),
            workspace_weights: needs.iter().map(|need| need.weight).collect(),
            workspace_slots: needs.iter().map(|need| need.slots).collect(),
        }
    };
    services.map(encode).collect()
}

/// Decodes the demand for the first [`SERVICES_MAX`] services. Services without a
/// valid name are omitted, since an error would cost the changes of the message.
fn decode_demand(messages: &[DemandMessage]) -> BTreeMap<ServiceName, Demand> {
    let messages = messages.iter().take(SERVICES_MAX);
    let decode = |m: &DemandMessage| {
        let demand = Demand {
            requests: m.requests.into(),
            slots: m.slots.into(),
            far_load: m.far_load.into(),
            far_reports: m.far_reports.into(),
            stated: m.stated.into(),
            stated_far: m.stated_far.into(),
            by_rank: decode_ranks(&m.by_rank),
            by_workspace: decode_workspaces(m),
        };
        Some((m.service.parse().ok()?, demand))
    };
    messages.filter_map(decode).collect()
}

/// Encodes the slots by rank, without the least urgent ranks that need none.
#[expect(
    clippy::cast_possible_truncation,
    reason = "rounds to the precision of a message"
)]
fn encode_ranks(ranks: &RankSlots) -> Vec<f32> {
    let used = ranks.0.iter().rposition(|slots| *slots > 0.0);
    let used = used.map_or(0, |last| last + 1);
    ranks.0[..used].iter().map(|slots| *slots as f32).collect()
}

/// Decodes the slots by rank. Ranks that the message lacks need none.
fn decode_ranks(slots: &[f32]) -> RankSlots {
    let mut ranks = RankSlots::default();
    for (rank, slots) in ranks.0.iter_mut().zip(slots) {
        *rank = (*slots).into();
    }
    ranks
}

/// Decodes the needs of the first [`WORKSPACES_MAX`] workspaces.
fn decode_workspaces(message: &DemandMessage) -> WorkspaceSlots {
    let keys = message.workspaces.iter().take(WORKSPACES_MAX);
    let weights = &message.workspace_weights;
    let mut workspaces = WorkspaceSlots::default();
    for ((key, weight), slots) in keys.zip(weights).zip(&message.workspace_slots) {
        workspaces.add(WorkspaceNeed {
            key: WorkspaceKey(*key),
            weight: *weight,
            slots: *slots,
        });
    }
    workspaces
}

/// Decodes the report of an entry, if it has a valid name.
pub(super) fn decode_report(entry: &str, demand: &[DemandMessage]) -> Option<EntryReport> {
    Some(EntryReport {
        entry: entry.parse().ok()?,
        demand: DemandReport {
            services: decode_demand(demand),
        },
    })
}

/// Decodes the demand of a number of entries, if there are any.
pub(super) fn decode_total(entries: u32, demand: &[DemandMessage]) -> Option<RegionDemand> {
    let entries = usize::try_from(entries).ok()?;
    (entries > 0).then(|| RegionDemand {
        entries,
        services: decode_demand(demand),
    })
}
