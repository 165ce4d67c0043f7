//! `Probe`, `Relay` and `Sync`: the messages of membership.

use std::{
    future::Future,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

use bytes::Bytes;
use prost::Message;
use tonic::Status;

use super::{
    head::{Head, Sender, malformed},
    peers::{CallError, Peers},
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

/// The encoded record of a member. Addresses take 6 or 18 bytes instead of
/// their text, because this message makes up most of the control traffic.
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
            callers: put_address(member.callers),
            admin: put_address(member.admin),
            peers: put_address(member.peers),
            load: match member.load {
                Load::Normal => 0,
                Load::High => 1,
                Load::Severe => 2,
            },
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if a field has a value that is not allowed.
    pub fn read(&self) -> Result<Member, ParseError> {
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
            callers: get_address(&self.callers)?,
            admin: get_address(&self.admin)?,
            peers: get_address(&self.peers)?,
            load: match self.load {
                0 => Load::Normal,
                1 => Load::High,
                2 => Load::Severe,
                n => return Err(ParseError::new("load level", &n.to_string(), "0 to 2")),
            },
        })
    }
}

fn put_address(addr: SocketAddr) -> Bytes {
    let mut bytes = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(addr.port().to_be_bytes());
    bytes.into()
}

fn get_address(bytes: &[u8]) -> Result<SocketAddr, ParseError> {
    let wrong = || ParseError::new("address", &format!("{bytes:?}"), "6 or 18 bytes");
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(wrong)?;
    let port = u16::from_be_bytes(*port);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((Ipv4Addr::from(ip), port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).map_err(|_| wrong())?;
    Ok((Ipv6Addr::from(ip), port).into())
}

/// Encodes the records of a message.
fn put_members(members: &[Member]) -> Vec<MemberRecord> {
    members.iter().map(MemberRecord::new).collect()
}

/// Reads the records of a message. Those that cannot be read are skipped, so
/// that a peer of a newer version does not stop the exchange of all the others.
fn get_members(records: &[MemberRecord]) -> Vec<Member> {
    let read = |r: &MemberRecord| {
        r.read()
            .inspect_err(|e| tracing::warn!("gossip: record of {:?} skipped: {e}", r.id))
            .ok()
    };
    records.iter().filter_map(read).collect()
}

/// The encoded probe or acknowledgement.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct ProbeMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(uint64, tag = "2")]
    nonce: u64,
    #[prost(message, repeated, tag = "3")]
    updates: Vec<MemberRecord>,
    #[prost(fixed64, tag = "4")]
    root: u64,
}

/// A probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Who sent it.
    pub sender: Sender,
    /// The probe.
    pub nonce: Nonce,
    /// Records of members.
    pub updates: Vec<Member>,
    /// The hash of all documents that the sender has adopted.
    pub root: RootHash,
}

/// An acknowledgement has the same content as a probe.
pub type Ack = Probe;

impl Probe {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> ProbeMessage {
        ProbeMessage {
            head: self.sender.head(),
            nonce: self.nonce.0,
            updates: put_members(&self.updates),
            root: self.root.0,
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is not valid.
    pub fn decode(message: ProbeMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::read(message.head)?,
            nonce: Nonce(message.nonce),
            updates: get_members(&message.updates),
            root: RootHash(message.root),
        })
    }
}

/// The encoded request to probe another entry.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RelayMessage {
    #[prost(message, optional, tag = "1")]
    probe: Option<ProbeMessage>,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(bytes = "bytes", tag = "3")]
    to: Bytes,
}

/// A request to probe another entry. The reply is that entry's acknowledgement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// What the asking entry sends to the relaying one.
    pub probe: Probe,
    /// The entry to probe.
    pub target: EntryId,
    /// Its address for peers.
    pub to: SocketAddr,
}

impl Relay {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> RelayMessage {
        RelayMessage {
            probe: Some(self.probe.encode()),
            target: self.target.to_string(),
            to: put_address(self.to),
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender or the target is not valid.
    pub fn decode(message: RelayMessage) -> Result<Self, ParseError> {
        Ok(Self {
            probe: Probe::decode(message.probe.unwrap_or_default())?,
            target: message.target.parse()?,
            to: get_address(&message.to)?,
        })
    }
}

/// The encoded comparison of views.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct SyncMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(fixed32, repeated, tag = "2")]
    hashes: Vec<u32>,
}

/// The encoded reply to a comparison of views.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct SyncReplyMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(message, repeated, tag = "2")]
    records: Vec<MemberRecord>,
    #[prost(bool, tag = "3")]
    more: bool,
}

/// A request to compare views.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sync {
    /// Who sent it.
    pub sender: Sender,
    /// The sender's view.
    pub digest: ViewDigest,
}

/// The reply to a comparison of views.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyncReply {
    /// Who sent it.
    pub sender: Sender,
    /// The records that differ.
    pub records: Vec<Member>,
    /// Whether further records differ.
    pub more: bool,
}

impl Sync {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> SyncMessage {
        SyncMessage {
            head: self.sender.head(),
            hashes: self.digest.hashes().to_vec(),
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender or the number of hashes is not valid.
    pub fn decode(message: SyncMessage) -> Result<Self, ParseError> {
        let count = message.hashes.len();
        let digest = ViewDigest::from_hashes(message.hashes);
        let wrong = || ParseError::new("view digest", &count.to_string(), "1 to 256 hashes");
        Ok(Self {
            sender: Sender::read(message.head)?,
            digest: digest.ok_or_else(wrong)?,
        })
    }
}

impl SyncReply {
    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> SyncReplyMessage {
        SyncReplyMessage {
            head: self.sender.head(),
            records: put_members(&self.records),
            more: self.more,
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is not valid.
    pub fn decode(message: SyncReplyMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::read(message.head)?,
            records: get_members(&message.records),
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
    routes.route(PROBE, move |message: ProbeMessage| {
        let f = f.clone();
        async move {
            let probe = Probe::decode(message).map_err(malformed)?;
            f(probe).await.map(|ack| ack.encode())
        }
    })
}

/// Registers the closure that probes on behalf of a peer.
#[must_use]
pub fn serve_relay<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Relay) -> Fut + Send + std::marker::Sync + 'static,
    Fut: Future<Output = Result<Ack, Status>> + Send,
{
    routes.route(RELAY, move |message: RelayMessage| {
        let f = f.clone();
        async move {
            let relay = Relay::decode(message).map_err(malformed)?;
            f(relay).await.map(|ack| ack.encode())
        }
    })
}

/// Registers the closure that compares views.
#[must_use]
pub fn serve_sync<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Sync) -> Fut + Send + std::marker::Sync + 'static,
    Fut: Future<Output = Result<SyncReply, Status>> + Send,
{
    routes.route(SYNC, move |message: SyncMessage| {
        let f = f.clone();
        async move {
            let sync = Sync::decode(message).map_err(malformed)?;
            f(sync).await.map(|reply| reply.encode())
        }
    })
}

/// Probes the entry at `peer`.
///
/// # Errors
///
/// As [`Peers::call`]; a reply that cannot be read is a [`Step::Reply`](super::Step::Reply) error.
pub async fn probe(peers: &Peers, peer: SocketAddr, probe: &Probe) -> Result<Ack, CallError> {
    let reply = peers.call(peer, PROBE, probe.encode()).await?;
    Ack::decode(reply).map_err(|e| CallError::unreadable(PROBE, peer, &e))
}

/// Asks the entry at `peer` to probe another one.
///
/// # Errors
///
/// As [`probe`].
pub async fn relay(peers: &Peers, peer: SocketAddr, relay: &Relay) -> Result<Ack, CallError> {
    let reply = peers.call(peer, RELAY, relay.encode()).await?;
    Ack::decode(reply).map_err(|e| CallError::unreadable(RELAY, peer, &e))
}

/// Compares views with the entry at `peer`.
///
/// # Errors
///
/// As [`probe`].
pub async fn sync(peers: &Peers, peer: SocketAddr, sync: &Sync) -> Result<SyncReply, CallError> {
    let reply = peers.call(peer, SYNC, sync.encode()).await?;
    SyncReply::decode(reply).map_err(|e| CallError::unreadable(SYNC, peer, &e))
}
