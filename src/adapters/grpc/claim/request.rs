//! Requests to the homes of a key.

use super::{
    Answer, Fingerprint, Key, Malformed, Member, required,
    values::{decode_answer, encode_answer},
};
use crate::{
    domain::Epoch,
    policy::once::{self, AttemptId, Bucket},
};

/// A request to a home.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimRequest {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Member>,
    /// The newest epoch that the sender knows.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The operation.
    #[prost(oneof = "Op", tags = "3, 4, 5, 6")]
    pub op: Option<Op>,
}

/// The operation that a home is asked to perform.
#[derive(Clone, prost::Oneof, PartialEq)]
pub enum Op {
    /// Vote for an attempt.
    #[prost(message, tag = "3")]
    Vote(Vote),
    /// Release the vote for an attempt.
    #[prost(message, tag = "4")]
    Release(Release),
    /// Record the answer of an attempt.
    #[prost(message, tag = "5")]
    Finish(Finish),
    /// Transfer claims to a new home.
    #[prost(message, tag = "6")]
    Transfer(Transfer),
}

impl ClaimRequest {
    /// Returns the message for a request.
    #[must_use]
    pub fn new(sender: &once::Member, epoch: Epoch, request: &once::HomeRequest) -> Self {
        let op = match request {
            once::HomeRequest::Vote(vote) => Op::Vote(vote.into()),
            once::HomeRequest::Release(release) => Op::Release(release.into()),
            once::HomeRequest::Finish(finish) => Op::Finish(finish.into()),
            once::HomeRequest::Transfer(transfer) => Op::Transfer(transfer.into()),
        };
        Self {
            sender: Some(sender.into()),
            epoch: epoch.0,
            op: Some(op),
        }
    }

    /// Returns the sender, its epoch and the request.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or invalid.
    pub fn into_parts(self) -> Result<(once::Member, Epoch, once::HomeRequest), Malformed> {
        let request = match self.op.ok_or(Malformed::Missing("request"))? {
            Op::Vote(vote) => once::HomeRequest::Vote(vote.try_into()?),
            Op::Release(release) => once::HomeRequest::Release(release.try_into()?),
            Op::Finish(finish) => once::HomeRequest::Finish(finish.try_into()?),
            Op::Transfer(transfer) => once::HomeRequest::Transfer(transfer.try_into()?),
        };
        Ok((required(self.sender, "sender")?, Epoch(self.epoch), request))
    }
}

/// A request for a vote.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Vote {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// The fingerprint of the request.
    #[prost(message, optional, tag = "2")]
    pub fingerprint: Option<Fingerprint>,
    /// The attempt.
    #[prost(fixed64, tag = "3")]
    pub attempt: u64,
    /// The entry that runs the attempt.
    #[prost(message, optional, tag = "4")]
    pub claimant: Option<Member>,
    /// The epoch in which the vote is to count.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

impl From<&once::VoteRequest> for Vote {
    fn from(v: &once::VoteRequest) -> Self {
        Self {
            key: Some((&v.key).into()),
            fingerprint: Some(v.fingerprint.into()),
            attempt: v.attempt.0,
            claimant: Some((&v.claimant).into()),
            epoch: v.epoch.0,
        }
    }
}

impl TryFrom<Vote> for once::VoteRequest {
    type Error = Malformed;

    fn try_from(v: Vote) -> Result<Self, Malformed> {
        Ok(Self {
            key: required(v.key, "key")?,
            fingerprint: required(v.fingerprint, "fingerprint")?,
            attempt: AttemptId(v.attempt),
            claimant: required(v.claimant, "claimant")?,
            epoch: Epoch(v.epoch),
        })
    }
}

/// Reports that an attempt will never be dispatched.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Release {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// The attempt.
    #[prost(fixed64, tag = "2")]
    pub attempt: u64,
}

impl From<&once::Release> for Release {
    fn from(r: &once::Release) -> Self {
        Self {
            key: Some((&r.key).into()),
            attempt: r.attempt.0,
        }
    }
}

impl TryFrom<Release> for once::Release {
    type Error = Malformed;

    fn try_from(r: Release) -> Result<Self, Malformed> {
        Ok(Self {
            key: required(r.key, "key")?,
            attempt: AttemptId(r.attempt),
        })
    }
}

/// Reports that an attempt was executed.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Finish {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// The fingerprint of its request.
    #[prost(message, optional, tag = "2")]
    pub fingerprint: Option<Fingerprint>,
    /// The attempt.
    #[prost(fixed64, tag = "3")]
    pub attempt: u64,
    /// The answer, if all of it arrived.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<Answer>,
}

impl From<&once::Finish> for Finish {
    fn from(f: &once::Finish) -> Self {
        Self {
            key: Some((&f.key).into()),
            fingerprint: Some(f.fingerprint.into()),
            attempt: f.attempt.0,
            answer: encode_answer(f.answer.as_ref()),
        }
    }
}

impl TryFrom<Finish> for once::Finish {
    type Error = Malformed;

    fn try_from(f: Finish) -> Result<Self, Malformed> {
        Ok(Self {
            key: required(f.key, "key")?,
            fingerprint: required(f.fingerprint, "fingerprint")?,
            attempt: AttemptId(f.attempt),
            answer: decode_answer(f.answer)?,
        })
    }
}

/// A request to a former home for the claims of a bucket.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Transfer {
    /// The bucket.
    #[prost(uint32, tag = "1")]
    pub bucket: u32,
    /// The epoch in which the recipient was a home.
    #[prost(uint64, tag = "2")]
    pub former: u64,
    /// The epoch in which the sender is a new home.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The last key of the previous page, or none for the first page.
    #[prost(message, optional, tag = "4")]
    pub after: Option<Key>,
}

impl From<&once::TransferRequest> for Transfer {
    fn from(r: &once::TransferRequest) -> Self {
        Self {
            bucket: r.bucket.0.into(),
            former: r.former.0,
            epoch: r.epoch.0,
            after: r.after.as_ref().map(Key::from),
        }
    }
}

impl TryFrom<Transfer> for once::TransferRequest {
    type Error = Malformed;

    fn try_from(r: Transfer) -> Result<Self, Malformed> {
        let bucket = u16::try_from(r.bucket).ok().filter(|b| *b < Bucket::COUNT);
        Ok(Self {
            bucket: Bucket(bucket.ok_or(Malformed::Range("bucket"))?),
            former: Epoch(r.former),
            epoch: Epoch(r.epoch),
            after: r.after.map(once::ClaimKey::try_from).transpose()?,
        })
    }
}
