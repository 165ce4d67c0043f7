//! `Fetch`: the messages of dissemination.
//!
//! One method carries announcements, the comparison of hashes and the pull of
//! bodies, each in fields that are left out when empty. A reply never exceeds
//! the message limit: bodies that do not fit are left out, and the caller asks
//! again.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use prost::Message;
use tonic::Status;

use super::{
    MESSAGE_MAX,
    head::{Head, Sender, malformed},
    peers::{CallError, Peers},
    server::Routes,
};
use crate::{
    domain::{ParseError, Revision, ServiceName},
    policy::spread::{Announcement, RootHash, Summary},
};

const FETCH: &str = "Fetch";

/// The most bytes of bodies in one reply. The rest of the message limit is left
/// to names, revisions and the sender.
const BODIES_MAX: usize = MESSAGE_MAX * 3 / 4;

/// The encoded service and revision.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct AnnouncementMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// The encoded body of a revision.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct BodyMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(bytes = "bytes", optional, tag = "3")]
    text: Option<Bytes>,
}

/// The encoded request.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct FetchMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(message, repeated, tag = "2")]
    announced: Vec<AnnouncementMessage>,
    #[prost(fixed32, repeated, tag = "3")]
    hashes: Vec<u32>,
    #[prost(string, repeated, tag = "4")]
    services: Vec<String>,
}

/// The encoded reply.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct FetchReplyMessage {
    #[prost(message, optional, tag = "1")]
    head: Option<Head>,
    #[prost(message, repeated, tag = "2")]
    revisions: Vec<AnnouncementMessage>,
    #[prost(message, repeated, tag = "3")]
    bodies: Vec<BodyMessage>,
    #[prost(fixed64, tag = "4")]
    root: u64,
}

/// A document as it is in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentBody {
    /// The service.
    pub service: ServiceName,
    /// The revision.
    pub revision: Revision,
    /// The text, or none if the document was deleted at this revision.
    pub text: Option<Bytes>,
}

/// A request of dissemination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fetch {
    /// Who sent it.
    pub sender: Sender,
    /// Revisions that the sender has adopted.
    pub announced: Vec<Announcement>,
    /// The sender's hashes, if it wants the revisions in differing buckets.
    pub summary: Option<Summary>,
    /// The services whose bodies it wants.
    pub services: Vec<ServiceName>,
}

/// The reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FetchReply {
    /// Who sent it.
    pub sender: Sender,
    /// The revisions in differing buckets.
    pub revisions: Vec<Announcement>,
    /// The bodies, as many as fit.
    pub bodies: Vec<DocumentBody>,
    /// The hash of all documents that the sender has adopted.
    pub root: RootHash,
}

fn put_list(list: &[Announcement]) -> Vec<AnnouncementMessage> {
    let put = |a: &Announcement| AnnouncementMessage {
        service: a.service.to_string(),
        revision: a.revision.0,
    };
    list.iter().map(put).collect()
}

fn get_list(list: &[AnnouncementMessage]) -> Result<Vec<Announcement>, ParseError> {
    let get = |a: &AnnouncementMessage| {
        Ok(Announcement {
            service: a.service.parse()?,
            revision: Revision(a.revision),
        })
    };
    list.iter().map(get).collect()
}

/// Encodes the bodies that fit. At least one is returned, unless it exceeds the
/// limit alone; such a document cannot be disseminated, and the limit on
/// documents has to prevent it.
fn put_bodies(bodies: &[DocumentBody]) -> Vec<BodyMessage> {
    let mut out = Vec::new();
    let mut used = 0;
    for body in bodies {
        let message = BodyMessage {
            service: body.service.to_string(),
            revision: body.revision.0,
            text: body.text.clone(),
        };
        used += message.encoded_len();
        if used > BODIES_MAX {
            break;
        }
        out.push(message);
    }
    out
}

fn get_bodies(bodies: Vec<BodyMessage>) -> Result<Vec<DocumentBody>, ParseError> {
    let get = |b: BodyMessage| {
        Ok(DocumentBody {
            service: b.service.parse()?,
            revision: Revision(b.revision),
            text: b.text,
        })
    };
    bodies.into_iter().map(get).collect()
}

impl Fetch {
    /// Returns a request without content.
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
            head: self.sender.head(),
            announced: put_list(&self.announced),
            hashes: summary.map_or_else(Vec::new, |s| s.hashes().to_vec()),
            services: self.services.iter().map(ToString::to_string).collect(),
        }
    }

    /// Reads the encoded form.
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
            sender: Sender::read(message.head)?,
            announced: get_list(&message.announced)?,
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
            head: self.sender.head(),
            revisions: put_list(&self.revisions),
            bodies: put_bodies(&self.bodies),
            root: self.root.0,
        }
    }

    /// Reads the encoded form.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid.
    pub fn decode(message: FetchReplyMessage) -> Result<Self, ParseError> {
        Ok(Self {
            sender: Sender::read(message.head)?,
            revisions: get_list(&message.revisions)?,
            bodies: get_bodies(message.bodies)?,
            root: RootHash(message.root),
        })
    }
}

/// Registers the closure that answers requests of dissemination.
#[must_use]
pub fn serve_fetch<F, Fut>(routes: Routes, f: F) -> Routes
where
    F: Clone + Fn(Fetch) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<FetchReply, Status>> + Send,
{
    routes.route(FETCH, move |message: FetchMessage| {
        let f = f.clone();
        async move {
            let request = Fetch::decode(message).map_err(malformed)?;
            f(request).await.map(|reply| reply.encode())
        }
    })
}

/// Sends a request of dissemination to the entry at `peer`.
///
/// # Errors
///
/// As [`Peers::call`]; a reply that cannot be read is a
/// [`Step::Reply`](super::Step::Reply) error.
pub async fn fetch(
    peers: &Peers,
    peer: SocketAddr,
    request: &Fetch,
) -> Result<FetchReply, CallError> {
    let reply = peers.call(peer, FETCH, request.encode()).await?;
    FetchReply::decode(reply).map_err(|e| CallError::unreadable(FETCH, peer, &e))
}
