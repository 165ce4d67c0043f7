//! The encoding of a [`Workspace`]. It contains digests of keys, never a key.

use crate::domain::{KeyDigest, Quota, Rank, Rate, RegionName, Workspace};

/// An encoded [`Workspace`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct WorkspaceMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", repeated, tag = "2")]
    digests: Vec<Vec<u8>>,
    #[prost(uint32, optional, tag = "3")]
    rank: Option<u32>,
    #[prost(message, optional, tag = "4")]
    quota: Option<QuotaMessage>,
    #[prost(string, repeated, tag = "5")]
    homes: Vec<String>,
}

/// An encoded [`Quota`].
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct QuotaMessage {
    #[prost(double, tag = "1")]
    rate: f64,
    #[prost(double, tag = "2")]
    burst: f64,
}

pub(super) fn encode_workspace(workspace: &Workspace) -> WorkspaceMessage {
    let homes = workspace.home_regions.iter();
    WorkspaceMessage {
        name: workspace.name.to_string(),
        digests: workspace.keys.iter().map(|d| d.0.to_vec()).collect(),
        rank: workspace.rank.map(|r| r.0),
        quota: workspace.quota.map(|q| QuotaMessage {
            rate: q.rate.0,
            burst: q.burst,
        }),
        homes: homes.map(ToString::to_string).collect(),
    }
}

/// Decodes a workspace. A value that cannot be read is left out, because an error would
/// void the whole configuration. Returns none without a name, or if homes are given
/// but none can be read, since its requests could then run anywhere.
pub(super) fn decode_workspace(message: &WorkspaceMessage) -> Option<Workspace> {
    let homes = message.homes.iter().filter_map(|r| r.parse().ok());
    let home_regions: Vec<RegionName> = homes.collect();
    if home_regions.is_empty() && !message.homes.is_empty() {
        return None;
    }
    let digests = message.digests.iter();
    let digests = digests.filter_map(|d| <[u8; 32]>::try_from(d.as_slice()).ok());
    Some(Workspace {
        name: message.name.parse().ok()?,
        keys: digests.map(KeyDigest).collect(),
        rank: message.rank.map(Rank),
        quota: message.quota.and_then(decode_quota),
        home_regions,
    })
}

fn decode_quota(message: QuotaMessage) -> Option<Quota> {
    let is_valid = |number: f64| number.is_finite() && number >= 0.0;
    let valid = is_valid(message.rate) && is_valid(message.burst);
    valid.then_some(Quota {
        rate: Rate(message.rate),
        burst: message.burst,
    })
}
