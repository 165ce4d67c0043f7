//! The encoding of changes, except for configurations.

use super::{
    config::{ConfigMessage, decode_config, encode_config},
    demand::{DemandMessage, encode_demand},
};
use crate::{
    domain::{Era, Instance, Mbps, Millis, ParseError, Position, Presence, Revision, Slots},
    ports::{AgedBatch, Change},
};

/// A request for the changes after a revision.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ChangesRequest {
    /// The revision up to which the sender knows all changes, if any.
    #[prost(uint64, optional, tag = "1")]
    pub after: Option<u64>,
    /// How long to wait for further changes, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// The name of the sender, empty if it reports no demand. Entries of earlier
    /// versions never do.
    #[prost(string, tag = "10")]
    pub entry: String,
    /// The demand of the sender.
    #[prost(message, repeated, tag = "11")]
    pub demand: Vec<DemandMessage>,
    /// The era of the store in which that revision is. Absent from entries of
    /// earlier versions, which know none.
    #[prost(uint64, optional, tag = "6")]
    pub era: Option<u64>,
}

/// The reply with the changes after a revision.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ChangesReply {
    /// The revision up to which the changes are complete. It is absent if the
    /// entry knows no state yet.
    #[prost(uint64, optional, tag = "1")]
    pub revision: Option<u64>,
    /// How long ago the store confirmed this state, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether the entry no longer has all changes after the requested
    /// revision.
    #[prost(bool, tag = "3")]
    pub compacted: bool,
    /// The changes.
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<ChangeMessage>,
    /// Whether changes that were undone are missing.
    #[prost(bool, tag = "5")]
    pub has_gap: bool,
    /// The demand of the region.
    #[prost(message, repeated, tag = "10")]
    pub demand: Vec<DemandMessage>,
    /// The number of entries whose demand that is, 0 if the entry does not say it.
    /// Entries of earlier versions never do.
    #[prost(uint32, tag = "11")]
    pub entries: u32,
    /// The era of the store in which that revision is. Absent from entries of
    /// earlier versions, which know none.
    #[prost(uint64, optional, tag = "6")]
    pub era: Option<u64>,
}

/// An encoded [`Change`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct ChangeMessage {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    kind: Option<Kind>,
}

#[derive(Clone, prost::Oneof, PartialEq)]
enum Kind {
    #[prost(message, tag = "1")]
    Configured(ConfigMessage),
    #[prost(string, tag = "2")]
    Evacuated(String),
    #[prost(string, tag = "3")]
    Restored(String),
    #[prost(message, tag = "4")]
    Registered(InstanceMessage),
    #[prost(string, tag = "5")]
    Unregistered(String),
    #[prost(message, tag = "6")]
    Joined(PresenceMessage),
    #[prost(string, tag = "7")]
    Left(String),
}

/// An encoded [`Instance`], the registration of a target.
#[derive(Clone, prost::Message, PartialEq)]
pub struct InstanceMessage {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    addr: String,
    #[prost(string, tag = "4")]
    az: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(string, tag = "6")]
    state: String,
    #[prost(uint64, tag = "7")]
    cold_ms: u64,
    #[prost(uint64, tag = "8")]
    seq: u64,
    #[prost(uint64, optional, tag = "9")]
    born: Option<u64>,
    /// Absent, that is 0, from entries of earlier versions.
    #[prost(uint64, tag = "10")]
    revision: u64,
    /// The era of the store in which that revision is, 0 from entries of earlier
    /// versions.
    #[prost(uint64, tag = "11")]
    era: u64,
}

/// An encoded [`Presence`] of an entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct PresenceMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    front: String,
    #[prost(string, optional, tag = "3")]
    peer: Option<String>,
    #[prost(uint32, tag = "4")]
    link_mbps: u32,
    #[prost(string, tag = "5")]
    az: String,
    #[prost(string, tag = "6")]
    region: String,
}

/// Encodes changes. Of an unreadable item the other entry needs only that its
/// target, if any, is gone: the entry that read it from the store has logged it.
pub(super) fn encode(aged_batch: &AgedBatch) -> ChangesReply {
    let changes = aged_batch.batch.changes.iter().filter_map(encode_change);
    let (demand, entries) = aged_batch.demand.as_ref().map_or_else(
        || (Vec::new(), 0),
        |d| (encode_demand(&d.services), d.entries),
    );
    ChangesReply {
        revision: Some(aged_batch.batch.position.revision.0),
        age_ms: aged_batch.age.0,
        compacted: false,
        changes: changes.collect(),
        has_gap: aged_batch.has_gap,
        demand,
        entries: u32::try_from(entries).unwrap_or(u32::MAX),
        era: Some(aged_batch.batch.position.era.0),
    }
}

/// Decodes the changes of a reply.
pub(super) fn decode(message: &ChangesReply) -> Result<Vec<Change>, ParseError> {
    let kinds = message.changes.iter().filter_map(|c| c.kind.as_ref());
    kinds.map(decode_change).collect()
}

fn encode_change(change: &Change) -> Option<ChangeMessage> {
    let kind = match change {
        Change::Configured(config) => Kind::Configured(encode_config(config)),
        Change::Evacuated(az) => Kind::Evacuated(az.to_string()),
        Change::Restored(az) => Kind::Restored(az.to_string()),
        Change::Registered(instance) => Kind::Registered(encode_instance(instance)),
        Change::Unregistered(id) => Kind::Unregistered(id.to_string()),
        Change::Joined(presence) => Kind::Joined(encode_presence(presence)),
        Change::Left(name) => Kind::Left(name.to_string()),
        Change::Unreadable { target, .. } => Kind::Unregistered(target.as_ref()?.to_string()),
    };
    Some(ChangeMessage { kind: Some(kind) })
}

fn decode_change(kind: &Kind) -> Result<Change, ParseError> {
    Ok(match kind {
        Kind::Configured(config) => Change::Configured(Box::new(decode_config(config)?)),
        Kind::Evacuated(az) => Change::Evacuated(az.parse()?),
        Kind::Restored(az) => Change::Restored(az.parse()?),
        Kind::Registered(instance) => Change::Registered(decode_instance(instance)?),
        Kind::Unregistered(id) => Change::Unregistered(id.parse()?),
        Kind::Joined(presence) => Change::Joined(decode_presence(presence)?),
        Kind::Left(name) => Change::Left(name.parse()?),
    })
}

fn encode_instance(i: &Instance) -> InstanceMessage {
    InstanceMessage {
        id: i.id.to_string(),
        service: i.service.to_string(),
        addr: i.addr.to_string(),
        az: i.az.to_string(),
        slots: i.slots.0,
        state: i.state.to_string(),
        cold_ms: i.cold.0,
        seq: i.seq,
        born: i.started_at.map(|b| b.0),
        revision: i.position.revision.0,
        era: i.position.era.0,
    }
}

fn decode_instance(i: &InstanceMessage) -> Result<Instance, ParseError> {
    Ok(Instance {
        id: i.id.parse()?,
        service: i.service.parse()?,
        addr: i.addr.parse()?,
        az: i.az.parse()?,
        slots: Slots(i.slots),
        state: i.state.parse()?,
        cold: Millis(i.cold_ms),
        seq: i.seq,
        started_at: i.born.map(Millis),
        position: Position::new(Era(i.era), Revision(i.revision)),
    })
}

fn encode_presence(p: &Presence) -> PresenceMessage {
    PresenceMessage {
        name: p.name.to_string(),
        front: p.front.to_string(),
        peer: p.peer.map(|a| a.to_string()),
        link_mbps: p.link.0,
        az: p.az.to_string(),
        region: p.region.to_string(),
    }
}

fn decode_presence(p: &PresenceMessage) -> Result<Presence, ParseError> {
    let addr = |s: &str| {
        let addr = s.parse();
        addr.map_err(|_| ParseError::new("address", s, "an IP address and a port"))
    };
    Ok(Presence {
        name: p.name.parse()?,
        front: addr(&p.front)?,
        peer: p.peer.as_deref().map(addr).transpose()?,
        link: Mbps(p.link_mbps),
        az: p.az.parse()?,
        region: p.region.parse()?,
    })
}
