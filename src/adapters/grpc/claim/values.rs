//! The types that requests and replies share.

use std::sync::Arc;

use bytes::Bytes;

use super::{Malformed, required};
use crate::{
    domain::{Epoch, Incarnation},
    policy::once,
};

/// One incarnation of an entry.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Member {
    /// The name of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl From<&once::Member> for Member {
    fn from(m: &once::Member) -> Self {
        Self {
            entry: m.entry.to_string(),
            incarnation: m.incarnation.0,
        }
    }
}

impl TryFrom<Member> for once::Member {
    type Error = Malformed;

    fn try_from(m: Member) -> Result<Self, Malformed> {
        Ok(Self {
            entry: m.entry.parse()?,
            incarnation: Incarnation(m.incarnation),
        })
    }
}

/// An idempotency key with its service.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Key {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The key that the caller sent.
    #[prost(string, tag = "2")]
    pub key: String,
}

impl From<&once::ClaimKey> for Key {
    fn from(k: &once::ClaimKey) -> Self {
        Self {
            service: k.service.to_string(),
            key: k.key.to_string(),
        }
    }
}

impl TryFrom<Key> for once::ClaimKey {
    type Error = Malformed;

    fn try_from(k: Key) -> Result<Self, Malformed> {
        Ok(Self {
            service: k.service.parse()?,
            key: k.key.parse()?,
        })
    }
}

/// A 128-bit digest of a request, in two halves.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Fingerprint {
    /// The upper half.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// The lower half.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

impl From<once::Fingerprint> for Fingerprint {
    fn from(f: once::Fingerprint) -> Self {
        let [high, low] = [f.0 >> 64, f.0 & u128::from(u64::MAX)];
        Self {
            high: u64::try_from(high).unwrap_or_default(),
            low: u64::try_from(low).unwrap_or_default(),
        }
    }
}

impl TryFrom<Fingerprint> for once::Fingerprint {
    type Error = Malformed;

    fn try_from(f: Fingerprint) -> Result<Self, Malformed> {
        Ok(Self(u128::from(f.high) << 64 | u128::from(f.low)))
    }
}

/// An attempt that has the vote of a home.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Holder {
    /// The attempt.
    #[prost(fixed64, tag = "1")]
    pub attempt: u64,
    /// The fingerprint of its request.
    #[prost(message, optional, tag = "2")]
    pub fingerprint: Option<Fingerprint>,
    /// The entry that runs it.
    #[prost(message, optional, tag = "3")]
    pub claimant: Option<Member>,
    /// The epoch in which the vote counts.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

impl From<&once::Holder> for Holder {
    fn from(h: &once::Holder) -> Self {
        Self {
            attempt: h.attempt.0,
            fingerprint: Some(h.fingerprint.into()),
            claimant: Some((&h.claimant).into()),
            epoch: h.epoch.0,
        }
    }
}

impl TryFrom<Holder> for once::Holder {
    type Error = Malformed;

    fn try_from(h: Holder) -> Result<Self, Malformed> {
        Ok(Self {
            attempt: once::AttemptId(h.attempt),
            fingerprint: required(h.fingerprint, "fingerprint")?,
            claimant: required(h.claimant, "claimant")?,
            epoch: Epoch(h.epoch),
        })
    }
}

/// A header field of a recorded answer.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Header {
    /// The name, in lower case.
    #[prost(bytes = "vec", tag = "1")]
    pub name: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A recorded answer.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The recorded headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The body, if it was kept. It is copied into a buffer of its own, because
    /// a slice of the received buffer would keep the whole message in memory
    /// for a day.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}

impl From<&once::Answer> for Answer {
    fn from(a: &once::Answer) -> Self {
        let header = |(name, value): &(Bytes, Bytes)| Header {
            name: name.to_vec(),
            value: value.to_vec(),
        };
        Self {
            status: a.status.into(),
            headers: a.headers.iter().map(header).collect(),
            body: a.body.as_ref().map(|b| b.to_vec()),
        }
    }
}

impl TryFrom<Answer> for once::Answer {
    type Error = Malformed;

    fn try_from(a: Answer) -> Result<Self, Malformed> {
        let header = |h: Header| (h.name.into(), h.value.into());
        Ok(Self {
            status: u16::try_from(a.status).map_err(|_| Malformed::Range("status"))?,
            headers: a.headers.into_iter().map(header).collect(),
            body: a.body.map(Bytes::from),
        })
    }
}

pub(super) fn decode_answer(a: Option<Answer>) -> Result<Option<Arc<once::Answer>>, Malformed> {
    a.map(|a| once::Answer::try_from(a).map(Arc::new))
        .transpose()
}

pub(super) fn encode_answer(a: Option<&Arc<once::Answer>>) -> Option<Answer> {
    a.map(|a| a.as_ref().into())
}
