//! `Fetch`: the method that disseminates documents between entries.
//!
//! One method announces revisions, compares hashes and fetches bodies. Each has
//! its own fields, which take no space when they are empty. A reply never
//! exceeds the message limit: bodies that do not fit are omitted, and the
//! calling entry requests them again.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use prost::Message;
use tonic::Status;

use super::{
    MAX_MESSAGE_BYTES,
    peers::{CallError, Peers},
    sender::{Sender, SenderMessage},
    server::Routes,
};
use crate::{
    domain::{ParseError, Revision, ServiceName},
    policy::spread::{Announcement, RootHash, Summary},
};

const FETCH: &str = "Fetch";

/// The maximum total size of the bodies in one reply. The rest of the message
/// limit is reserved for the other fields: names, revisions and the sender.
const MAX_BODIES_BYTES: usize = MAX_MESSAGE_BYTES * 3 / 4;

/// An encoded [`Announcement`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct AnnouncementMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// An encoded [`DocumentBody`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct BodyMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(bytes = "bytes", optional, tag = "3")]
    text: Option<Bytes>,
}

/// An encoded [`Fetch`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct FetchMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(message, repeated, tag = "2")]
    announced: Vec<AnnouncementMessage>,
    #[prost(fixed32, repeated, tag = "3")]
    hashes: Vec<u32>,
    #[prost(string, repeated, tag = "4")]
    services: Vec<String>,
}

/// An encoded [`FetchReply`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct FetchReplyMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<SenderMessage>,
    #[prost(message, repeated, tag = "2")]
    revisions: Vec<AnnouncementMessage>,
    #[prost(message, repeated, tag = "3")]
    bodies: Vec<BodyMessage>,
    #[prost(fixed64, tag = "4")]
    root: u64,
}

/// A revision of a document, as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentBody {
    /// The service.
    pub service: ServiceName,
    /// The revision.
    pub revision: Revision,
    /// The text, or none if this revision deleted the document.
    pub text: Option<Bytes>,
}

/// A request that announces revisions and asks for others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fetch {
    /// The sender.
    pub sender: Sender,
    /// Revisions that the sender has adopted.
    pub announced: Vec<Announcement>,
    /// The sender's bucket hashes, if it requests the revisions in the buckets
    /// that differ.
    pub summary: Option<Summary>,
    /// The services whose bodies are requested.
    pub services: Vec<ServiceName>,
}

/// The reply to a [`Fetch`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FetchReply {
    /// The sender.
    pub sender: Sender,
    /// The revisions in the buckets that differ.
    pub revisions: Vec<Announcement>,
    /// The requested bodies. The encoded form may contain only the first ones.
    pub bodies: Vec<DocumentBody>,
    /// The hash of all documents that the sender has adopted.
    pub root: RootHash,
}

fn encode_announcements(list: &[Announcement]) -> Vec<AnnouncementMessage> {
    let encode = |a: &Announcement| AnnouncementMessage {
        service: a.service.to_string(),
        revision: a.revision.0,
    };
    list.iter().map(encode).collect()
}

fn decode_announcements(list: &[AnnouncementMessage]) -> Result<Vec<Announcement>, ParseError> {
    let decode = |a: &AnnouncementMessage| {
        Ok(Announcement {
            service: a.service.parse()?,
            revision: Revision(a.revision),
        })
    };
    list.iter().map(decode).collect()
}

/// Encodes as many bodies as fit. At least the first one does, unless it alone
/// exceeds the limit: such a document cannot be disseminated, so the limit on
/// the size of documents has to be lower.
fn encode_bodies(bodies: &[DocumentBody]) -> Vec<BodyMessage> {
    let mut out = Vec::new();
    let mut used = 0;
    for body in bodies {
        let message = BodyMessage {
            service: body.service.to_string(),
            revision: body.revision.0,
            text: body.text.clone(),
        };
        used += message.encoded_len();
        if used > MAX_BODIES_BYTES {
            break;
        }
        out.push(message);
    }
    out
}

fn decode_bodies(bodies: Vec<BodyMessage>) -> Result<Vec<DocumentBody>, ParseError> {
    let decode = |b: BodyMessage| {
        Ok(DocumentBody {
            service: b.service.parse()?,
            revision: Revision(b.revision),
            text: b.text,
        })
    };
    bodies.into_iter().map(decode).collect()
}

impl Fetch {
    /// Returns a request that announces and asks for nothing.
    #[must_use]
    pub fn new(sender: Sender) -> Self {
        Self {
            sender,
            announced: Vec::new(),
            summary: None,
            services: Vec::new(),
        }
    }

    /// Returns the encoded form.
    #[must_use]
    pub fn encode(&self) -> FetchMessage {
        let summary = self.summary.as_ref();
        FetchMessage {
            head: self.sender.encode(),
            announced: encode_announcements(&self.announced),
            hashes: summary.map_or_else(Vec::new, |s| s.hashes().to_vec()),
            services: self.services.iter().map(ToString::to_string).collect(),
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or the number of hashes is not valid.
    pub fn decode(message: FetchMessage) -> Result<Self, ParseError> {
        let count = message.hashes.len();
        let summary = Summary::from_hashes(message.hashes);
        if summary.is_none() && count > 0 {
            let found = count.to_string();
            return Err(ParseError::new("summary", &found, "no hashes or 64"));
        }
        let services = message.services.iter().map(|s| s.parse());
        Ok(Self {
            sender: Sender::decode(message.head)?,
            announced: decode_announcements(&message.announced)?,
            summary,
            services: services.collect::<Result<_, _>>()?,
        })
    }
}

impl FetchReply {
    /// Returns the encoded form, with as many bodies as fit.
    #[must_use]
    pub fn encode(&self) -> FetchReplyMessage {
        FetchReplyMessage {
            head: self.sender.encode(),
            revisions: encode_announcements(&self.revisions),
            bodies: encode_bodies(&self.bodies),
            root: self.root.0,
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid.
    pub fn decode(message: FetchReplyMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::decode(message.head)?,
            revisions: decode_announcements(&message.revisions)?,
            bodies: decode_bodies(message.bodies)?,
            root: RootHash(message.root),
        })
    }
}

/// Registers the closure that handles `Fetch` requests.
#[must_use]
pub fn serve_fetch<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Fetch) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<FetchReply, Status>> + Send,
{
    routes.route_decoded(FETCH, Fetch::decode, f, FetchReply::encode)
}

/// Sends a `Fetch` request to the entry at `peer`.
///
/// # Errors
///
/// See [`Peers::call`]. A reply that cannot be decoded is a
/// [`Step::Reply`](super::Step::Reply) error.
pub async fn fetch(
    peers: &Peers,
    peer: SocketAddr,
    request: &Fetch,
) -> Result<FetchReply, CallError> {
    let reply = peers.call(peer, FETCH, request.encode()).await?;
    FetchReply::decode(reply).map_err(|e| CallError::invalid_reply(FETCH, peer, &e))
}
