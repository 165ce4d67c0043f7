//! `Probe`, `Relay` and `Sync`: the methods of the membership protocol.

use std::{
    future::Future,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

use bytes::Bytes;
use prost::Message;
use tonic::Status;

use super::{
    peers::{CallError, Peers},
    sender::{Sender, SenderMessage},
    server::Routes,
};
use crate::{
    domain::{EntryId, Incarnation, ParseError},
    policy::{
        member::{Load, Member, Nonce, State, Version, ViewDigest},
        spread::RootHash,
    },
};

const PROBE: &str = "Probe";
const RELAY: &str = "Relay";
const SYNC: &str = "Sync";

/// The encoded record of a member. Addresses are encoded in 6 or 18 bytes
/// rather than as text, because these records are most of the control traffic.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct MemberRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint32, tag = "4")]
    state: u32,
    #[prost(string, tag = "5")]
    region: String,
    #[prost(string, tag = "6")]
    az: String,
    #[prost(bytes = "bytes", tag = "7")]
    callers: Bytes,
    #[prost(bytes = "bytes", tag = "8")]
    admin: Bytes,
    #[prost(bytes = "bytes", tag = "9")]
    peers: Bytes,
    #[prost(uint32, tag = "10")]
    load: u32,
}

impl MemberRecord {
    /// Returns the encoded form of a record.
    #[must_use]
    pub fn new(member: &Member) -> Self {
        Self {
            id: member.id.to_string(),
            incarnation: member.incarnation.0,
            version: member.version.0,
            state: match member.state {
                State::Alive => 0,
                State::Suspect => 1,
                State::Leaving => 2,
                State::Dead => 3,
            },
            region: member.region.to_string(),
            az: member.az.to_string(),
            callers: encode_address(member.callers),
            admin: encode_address(member.admin),
            peers: encode_address(member.peers),
            load: match member.load {
                Load::Normal => 0,
                Load::High => 1,
                Load::Severe => 2,
            },
        }
    }

    /// Decodes the record.
    ///
    /// # Errors
    ///
    /// Returns an error if the value of a field is not valid.
    pub fn to_member(&self) -> Result<Member, ParseError> {
        Ok(Member {
            id: self.id.parse()?,
            incarnation: Incarnation(self.incarnation),
            version: Version(self.version),
            state: match self.state {
                0 => State::Alive,
                1 => State::Suspect,
                2 => State::Leaving,
                3 => State::Dead,
                n => return Err(ParseError::new("member state", &n.to_string(), "0 to 3")),
            },
            region: self.region.parse()?,
            az: self.az.parse()?,
            callers: decode_address(&self.callers)?,
            admin: decode_address(&self.admin)?,
            peers: decode_address(&self.peers)?,
            load: match self.load {
                0 => Load::Normal,
                1 => Load::High,
                2 => Load::Severe,
                n => return Err(ParseError::new("load level", &n.to_string(), "0 to 2")),
            },
        })
    }
}

/// Encodes the IP address followed by the port in network byte order.
fn encode_address(addr: SocketAddr) -> Bytes {
    let mut bytes = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(addr.port().to_be_bytes());
    bytes.into()
}

fn decode_address(bytes: &[u8]) -> Result<SocketAddr, ParseError> {
    let invalid = || ParseError::new("address", &format!("{bytes:?}"), "6 or 18 bytes");
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(invalid)?;
    let port = u16::from_be_bytes(*port);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((Ipv4Addr::from(ip), port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).map_err(|_| invalid())?;
    Ok((Ipv6Addr::from(ip), port).into())
}

fn encode_members(members: &[Member]) -> Vec<MemberRecord> {
    members.iter().map(MemberRecord::new).collect()
}

/// Decodes the records of a message. Invalid records are skipped, so that a
/// record with a value from a newer version does not prevent the exchange of
/// the others.
fn decode_members(records: &[MemberRecord]) -> Vec<Member> {
    let decode = |r: &MemberRecord| {
        r.to_member()
            .inspect_err(|e| tracing::warn!("gossip: skipped record of {:?}: {e}", r.id))
            .ok()
    };
    records.iter().filter_map(decode).collect()
}

/// An encoded [`Probe`] or [`Ack`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct ProbeMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(uint64, tag = "2")]
    nonce: u64,
    #[prost(message, repeated, tag = "3")]
    updates: Vec<MemberRecord>,
    #[prost(fixed64, tag = "4")]
    root: u64,
}

/// A probe, which checks whether an entry is alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The sender.
    pub sender: Sender,
    /// Identifies the probe in its acknowledgement.
    pub nonce: Nonce,
    /// Updated records of members.
    pub updates: Vec<Member>,
    /// The hash of all documents that the sender has adopted.
    pub root: RootHash,
}

/// The acknowledgement of a probe. It has the same fields as the probe.
pub type Ack = Probe;

impl Probe {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> ProbeMessage {
        ProbeMessage {
            head: self.sender.encode(),
            nonce: self.nonce.0,
            updates: encode_members(&self.updates),
            root: self.root.0,
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is not valid.
    pub fn decode(message: ProbeMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::decode(message.head)?,
            nonce: Nonce(message.nonce),
            updates: decode_members(&message.updates),
            root: RootHash(message.root),
        })
    }
}

/// An encoded [`Relay`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RelayMessage {
    #[prost(message, optional, tag = "1")]
    probe: Option<ProbeMessage>,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(bytes = "bytes", tag = "3")]
    to: Bytes,
}

/// A request to probe another entry on behalf of the sender. The reply is that
/// entry's acknowledgement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// The probe, as sent by the requesting entry to the relaying entry.
    pub probe: Probe,
    /// The entry to probe.
    pub target: EntryId,
    /// The address of that entry for peers.
    pub to: SocketAddr,
}

impl Relay {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> RelayMessage {
        RelayMessage {
            probe: Some(self.probe.encode()),
            target: self.target.to_string(),
            to: encode_address(self.to),
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender or the target is not valid.
    pub fn decode(message: RelayMessage) -> Result<Self, ParseError> {
        Ok(Self {
            probe: Probe::decode(message.probe.unwrap_or_default())?,
            target: message.target.parse()?,
            to: decode_address(&message.to)?,
        })
    }
}

/// An encoded [`Sync`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct SyncMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(fixed32, repeated, tag = "2")]
    hashes: Vec<u32>,
}

/// An encoded [`SyncReply`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct SyncReplyMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(message, repeated, tag = "2")]
    records: Vec<MemberRecord>,
    #[prost(bool, tag = "3")]
    more: bool,
}

/// A request to compare the views of the members (anti-entropy).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sync {
    /// The sender.
    pub sender: Sender,
    /// The digest of the sender's view.
    pub digest: ViewDigest,
}

/// The reply to a [`Sync`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyncReply {
    /// The sender.
    pub sender: Sender,
    /// Records that differ between the views.
    pub records: Vec<Member>,
    /// Whether there are further records that did not fit.
    pub more: bool,
}

impl Sync {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> SyncMessage {
        SyncMessage {
            head: self.sender.encode(),
            hashes: self.digest.hashes().to_vec(),
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender or the number of hashes is not valid.
    pub fn decode(message: SyncMessage) -> Result<Self, ParseError> {
        let count = message.hashes.len();
        let digest = ViewDigest::from_hashes(message.hashes);
        let invalid = || ParseError::new("view digest", &count.to_string(), "1 to 256 hashes");
        Ok(Self {
            sender: Sender::decode(message.head)?,
            digest: digest.ok_or_else(invalid)?,
        })
    }
}

impl SyncReply {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> SyncReplyMessage {
        SyncReplyMessage {
            head: self.sender.encode(),
            records: encode_members(&self.records),
            more: self.more,
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is not valid.
    pub fn decode(message: SyncReplyMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::decode(message.head)?,
            records: decode_members(&message.records),
            more: message.more,
        })
    }
}

/// Registers the closure that acknowledges probes.
#[must_use]
pub fn serve_probe<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Probe) -> Fut + Send + std::marker::Sync + 'static,
    Fut: Future<Output = Result<Ack, Status>> + Send,
{
    routes.route_decoded(PROBE, Probe::decode, f, Ack::encode)
}

/// Registers the closure that probes on behalf of a peer.
#[must_use]
pub fn serve_relay<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Relay) -> Fut + Send + std::marker::Sync + 'static,
    Fut: Future<Output = Result<Ack, Status>> + Send,
{
    routes.route_decoded(RELAY, Relay::decode, f, Ack::encode)
}

/// Registers the closure that compares this entry's view with the sender's.
#[must_use]
pub fn serve_sync<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Sync) -> Fut + Send + std::marker::Sync + 'static,
    Fut: Future<Output = Result<SyncReply, Status>> + Send,
{
    routes.route_decoded(SYNC, Sync::decode, f, SyncReply::encode)
}

/// Probes the entry at `peer`.
///
/// # Errors
///
/// See [`Peers::call`]. A reply that cannot be decoded is a
/// [`Step::Reply`](super::Step::Reply) error.
pub async fn probe(peers: &Peers, peer: SocketAddr, probe: &Probe) -> Result<Ack, CallError> {
    let reply = peers.call(peer, PROBE, probe.encode()).await?;
    Ack::decode(reply).map_err(|e| CallError::invalid_reply(PROBE, peer, &e))
}

/// Asks the entry at `peer` to probe another entry.
///
/// # Errors
///
/// See [`probe`].
pub async fn relay(peers: &Peers, peer: SocketAddr, relay: &Relay) -> Result<Ack, CallError> {
    let reply = peers.call(peer, RELAY, relay.encode()).await?;
    Ack::decode(reply).map_err(|e| CallError::invalid_reply(RELAY, peer, &e))
}

/// Compares this entry's view with that of the entry at `peer`.
///
/// # Errors
///
/// See [`probe`].
pub async fn sync(peers: &Peers, peer: SocketAddr, sync: &Sync) -> Result<SyncReply, CallError> {
    let reply = peers.call(peer, SYNC, sync.encode()).await?;
    SyncReply::decode(reply).map_err(|e| CallError::invalid_reply(SYNC, peer, &e))
}
