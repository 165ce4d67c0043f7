//! Responses of the homes of a key.

use super::{
    Answer, Fingerprint, Holder, Key, Malformed, Member, Transfer, all, required,
    values::{decode_answer, encode_answer},
};
use crate::{
    domain::{Epoch, Millis},
    policy::once::{self, HomeResponse, RefusalReason, VoteReply},
};

/// A response of a home.
#[derive(Clone, prost::Message, PartialEq)]
pub struct ClaimReply {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Member>,
    /// The newest epoch that the sender knows.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The epoch of the requested vote, or zero if no vote was requested.
    #[prost(uint64, tag = "3")]
    pub voted: u64,
    /// The outcome.
    #[prost(oneof = "Outcome", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub outcome: Option<Outcome>,
}

/// The outcome of an operation at a home.
#[derive(Clone, prost::Oneof, PartialEq)]
pub enum Outcome {
    /// The attempt has the vote.
    #[prost(message, tag = "4")]
    Granted(Empty),
    /// Other attempts hold the key.
    #[prost(message, tag = "5")]
    Held(Held),
    /// The request has been executed.
    #[prost(message, tag = "6")]
    Finished(Finished),
    /// The key was used for a different request.
    #[prost(message, tag = "7")]
    KeyReused(Empty),
    /// The home refuses to vote.
    #[prost(message, tag = "8")]
    Refused(Refusal),
    /// A release or an answer was processed. The value is false if the answer
    /// was not kept.
    #[prost(bool, tag = "9")]
    Acknowledged(bool),
    /// A page of transferred claims.
    #[prost(message, tag = "10")]
    Page(Page),
    /// The home refuses to transfer its claims.
    #[prost(message, tag = "11")]
    TransferRefused(Refusal),
}

/// A message without fields.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Empty {}

/// Attempts that hold a key.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Held {
    /// The attempts.
    #[prost(message, repeated, tag = "1")]
    pub holders: Vec<Holder>,
}

/// An executed request.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Finished {
    /// The fingerprint of the request. Replies to a vote omit it.
    #[prost(message, optional, tag = "1")]
    pub fingerprint: Option<Fingerprint>,
    /// The answer, if it was kept.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
}

/// The reason why a home refuses a request.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Refusal {
    /// The reason: 1 stale, 2 behind, 3 not home, 4 transferring, 5 full,
    /// 6 released.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// The epoch of the reasons 1 and 2, otherwise zero.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// A page of the claims of a bucket.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Page {
    /// The request that it answers.
    #[prost(message, optional, tag = "1")]
    pub read: Option<Transfer>,
    /// The claims.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<CopiedClaim>,
    /// Whether this is the last page.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// A claim that is transferred to another home. Either `held` or `finished` is
/// present.
#[derive(Clone, prost::Message, PartialEq)]
pub struct CopiedClaim {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// The attempts that hold it.
    #[prost(message, optional, tag = "2")]
    pub held: Option<Held>,
    /// The executed request.
    #[prost(message, optional, tag = "3")]
    pub finished: Option<Finished>,
    /// The remaining retention time, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub left: u64,
}

impl ClaimReply {
    /// Returns the message for a response.
    #[must_use]
    pub fn new(sender: &once::Member, epoch: Epoch, response: &HomeResponse) -> Self {
        let (voted, outcome) = match response {
            HomeResponse::Vote(epoch, reply) => (epoch.0, encode_reply(reply)),
            HomeResponse::Acknowledged(kept) => (0, Outcome::Acknowledged(*kept)),
            HomeResponse::Page(Ok(page)) => (0, Outcome::Page(page.into())),
            HomeResponse::Page(Err(reason)) => (0, Outcome::TransferRefused((*reason).into())),
        };
        Self {
            sender: Some(sender.into()),
            epoch: epoch.0,
            voted,
            outcome: Some(outcome),
        }
    }

    /// Returns the sender, its epoch and the response.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or invalid.
    pub fn into_parts(self) -> Result<(once::Member, Epoch, HomeResponse), Malformed> {
        let voted = Epoch(self.voted);
        let response = match self.outcome.ok_or(Malformed::Missing("result"))? {
            Outcome::Granted(_) => HomeResponse::Vote(voted, VoteReply::Granted),
            Outcome::Held(held) => HomeResponse::Vote(voted, VoteReply::Held(all(held.holders)?)),
            Outcome::Finished(finished) => {
                HomeResponse::Vote(voted, VoteReply::Finished(decode_answer(finished.answer)?))
            }
            Outcome::KeyReused(_) => HomeResponse::Vote(voted, VoteReply::KeyReused),
            Outcome::Refused(refused) => {
                HomeResponse::Vote(voted, VoteReply::Refused(refused.try_into()?))
            }
            Outcome::Acknowledged(kept) => HomeResponse::Acknowledged(kept),
            Outcome::Page(page) => HomeResponse::Page(Ok(page.try_into()?)),
            Outcome::TransferRefused(refused) => HomeResponse::Page(Err(refused.try_into()?)),
        };
        Ok((
            required(self.sender, "sender")?,
            Epoch(self.epoch),
            response,
        ))
    }
}

fn encode_reply(reply: &VoteReply) -> Outcome {
    match reply {
        VoteReply::Granted => Outcome::Granted(Empty {}),
        VoteReply::Held(holders) => Outcome::Held(holders.as_slice().into()),
        VoteReply::Finished(answer) => Outcome::Finished(Finished {
            fingerprint: None,
            answer: encode_answer(answer.as_ref()),
        }),
        VoteReply::KeyReused => Outcome::KeyReused(Empty {}),
        VoteReply::Refused(reason) => Outcome::Refused((*reason).into()),
    }
}

impl From<&[once::Holder]> for Held {
    fn from(holders: &[once::Holder]) -> Self {
        Self {
            holders: holders.iter().map(Holder::from).collect(),
        }
    }
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        let (reason, epoch) = match reason {
            RefusalReason::Stale(epoch) => (1, epoch.0),
            RefusalReason::Behind(epoch) => (2, epoch.0),
            RefusalReason::NotHome => (3, 0),
            RefusalReason::Transferring => (4, 0),
            RefusalReason::Full => (5, 0),
            RefusalReason::Released => (6, 0),
        };
        Self { reason, epoch }
    }
}

impl TryFrom<Refusal> for RefusalReason {
    type Error = Malformed;

    fn try_from(r: Refusal) -> Result<Self, Malformed> {
        let epoch = Epoch(r.epoch);
        match r.reason {
            1 => Ok(Self::Stale(epoch)),
            2 => Ok(Self::Behind(epoch)),
            3 => Ok(Self::NotHome),
            4 => Ok(Self::Transferring),
            5 => Ok(Self::Full),
            6 => Ok(Self::Released),
            _ => Err(Malformed::Range("reason")),
        }
    }
}

impl From<&once::TransferPage> for Page {
    fn from(p: &once::TransferPage) -> Self {
        Self {
            read: Some((&p.request).into()),
            claims: p.claims.iter().map(CopiedClaim::from).collect(),
            last: p.last,
        }
    }
}

impl TryFrom<Page> for once::TransferPage {
    type Error = Malformed;

    fn try_from(p: Page) -> Result<Self, Malformed> {
        Ok(Self {
            request: required(p.read, "read")?,
            claims: all(p.claims)?,
            last: p.last,
        })
    }
}

impl From<&once::CopiedClaim> for CopiedClaim {
    fn from(c: &once::CopiedClaim) -> Self {
        let (held, finished) = match &c.state {
            once::ClaimState::Held(holders) => (Some(holders.as_slice().into()), None),
            once::ClaimState::Finished {
                fingerprint,
                answer,
            } => {
                let finished = Finished {
                    fingerprint: Some((*fingerprint).into()),
                    answer: encode_answer(answer.as_ref()),
                };
                (None, Some(finished))
            }
        };
        Self {
            key: Some((&c.key).into()),
            held,
            finished,
            left: c.remaining.0,
        }
    }
}

impl TryFrom<CopiedClaim> for once::CopiedClaim {
    type Error = Malformed;

    fn try_from(c: CopiedClaim) -> Result<Self, Malformed> {
        let state = match (c.finished, c.held) {
            (Some(finished), _) => once::ClaimState::Finished {
                fingerprint: required(finished.fingerprint, "fingerprint")?,
                answer: decode_answer(finished.answer)?,
            },
            (None, Some(held)) => once::ClaimState::Held(all(held.holders)?),
            (None, None) => return Err(Malformed::Missing("state")),
        };
        Ok(Self {
            key: required(c.key, "key")?,
            state,
            remaining: Millis(c.left),
        })
    }
}
