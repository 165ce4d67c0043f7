//! Responses of the homes of a key.

use super::{
    Answer, Fingerprint, Holder, Key, Malformed, Member, Read, all, part,
    values::{answer, answer_out},
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
    /// The epoch of the vote that is answered, otherwise zero.
    #[prost(uint64, tag = "3")]
    pub voted: u64,
    /// The result.
    #[prost(oneof = "Outcome", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub outcome: Option<Outcome>,
}

/// What a home responds.
#[derive(Clone, prost::Oneof, PartialEq)]
pub enum Outcome {
    /// The attempt has the vote.
    #[prost(message, tag = "4")]
    Granted(Empty),
    /// Other attempts hold the key.
    #[prost(message, tag = "5")]
    Held(Held),
    /// The request was executed.
    #[prost(message, tag = "6")]
    Finished(Finished),
    /// The key belongs to another request.
    #[prost(message, tag = "7")]
    Reused(Empty),
    /// The home does not vote.
    #[prost(message, tag = "8")]
    Refused(Refused),
    /// A release or an answer was noted. False: the answer is not kept.
    #[prost(bool, tag = "9")]
    Noted(bool),
    /// Claims.
    #[prost(message, tag = "10")]
    Page(Page),
    /// The home does not give its claims.
    #[prost(message, tag = "11")]
    Unread(Refused),
}

/// A message without content.
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
    /// What it asked for. It is left out of a reply to a vote.
    #[prost(message, optional, tag = "1")]
    pub fingerprint: Option<Fingerprint>,
    /// The answer, if it was kept.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
}

/// Why a home refuses.
#[derive(Clone, Copy, prost::Message, PartialEq)]
pub struct Refused {
    /// The reason: 1 stale, 2 behind, 3 not home, 4 transferring, 5 full, 6 released.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// The epoch that belongs to the first two reasons.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Some of the claims of a bucket.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Page {
    /// The request that it answers.
    #[prost(message, optional, tag = "1")]
    pub read: Option<Read>,
    /// The claims.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<Copied>,
    /// Whether no claims follow.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// A claim on its way to another home. Either `held` or `finished` is present.
#[derive(Clone, prost::Message, PartialEq)]
pub struct Copied {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// The attempts that hold it.
    #[prost(message, optional, tag = "2")]
    pub held: Option<Held>,
    /// Its execution.
    #[prost(message, optional, tag = "3")]
    pub finished: Option<Finished>,
    /// The rest of the retention in milliseconds.
    #[prost(uint64, tag = "4")]
    pub left: u64,
}

impl ClaimReply {
    /// Returns the message for a response.
    #[must_use]
    pub fn new(sender: &once::Member, epoch: Epoch, response: &HomeResponse) -> Self {
        let (voted, outcome) = match response {
            HomeResponse::Vote(epoch, reply) => (epoch.0, reply_out(reply)),
            HomeResponse::Acknowledged(kept) => (0, Outcome::Noted(*kept)),
            HomeResponse::Page(Ok(page)) => (0, Outcome::Page(page.into())),
            HomeResponse::Page(Err(reason)) => (0, Outcome::Unread((*reason).into())),
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
    /// Fails if a part is missing or invalid.
    pub fn into_parts(self) -> Result<(once::Member, Epoch, HomeResponse), Malformed> {
        let voted = Epoch(self.voted);
        let response = match self.outcome.ok_or(Malformed::Missing("result"))? {
            Outcome::Granted(_) => HomeResponse::Vote(voted, VoteReply::Granted),
            Outcome::Held(held) => HomeResponse::Vote(voted, VoteReply::Held(all(held.holders)?)),
            Outcome::Finished(done) => {
                HomeResponse::Vote(voted, VoteReply::Finished(answer(done.answer)?))
            }
            Outcome::Reused(_) => HomeResponse::Vote(voted, VoteReply::KeyReused),
            Outcome::Refused(refused) => {
                HomeResponse::Vote(voted, VoteReply::Refused(refused.try_into()?))
            }
            Outcome::Noted(kept) => HomeResponse::Acknowledged(kept),
            Outcome::Page(page) => HomeResponse::Page(Ok(page.try_into()?)),
            Outcome::Unread(refused) => HomeResponse::Page(Err(refused.try_into()?)),
        };
        Ok((part(self.sender, "sender")?, Epoch(self.epoch), response))
    }
}

fn reply_out(reply: &VoteReply) -> Outcome {
    match reply {
        VoteReply::Granted => Outcome::Granted(Empty {}),
        VoteReply::Held(holders) => Outcome::Held(holders.as_slice().into()),
        VoteReply::Finished(answer) => Outcome::Finished(Finished {
            fingerprint: None,
            answer: answer_out(answer.as_ref()),
        }),
        VoteReply::KeyReused => Outcome::Reused(Empty {}),
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

impl From<RefusalReason> for Refused {
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

impl TryFrom<Refused> for RefusalReason {
    type Error = Malformed;

    fn try_from(r: Refused) -> Result<Self, Malformed> {
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
            claims: p.claims.iter().map(Copied::from).collect(),
            last: p.last,
        }
    }
}

impl TryFrom<Page> for once::TransferPage {
    type Error = Malformed;

    fn try_from(p: Page) -> Result<Self, Malformed> {
        Ok(Self {
            request: part(p.read, "read")?,
            claims: all(p.claims)?,
            last: p.last,
        })
    }
}

impl From<&once::CopiedClaim> for Copied {
    fn from(c: &once::CopiedClaim) -> Self {
        let (held, finished) = match &c.state {
            once::ClaimState::Held(holders) => (Some(holders.as_slice().into()), None),
            once::ClaimState::Finished {
                fingerprint,
                answer,
            } => {
                let finished = Finished {
                    fingerprint: Some((*fingerprint).into()),
                    answer: answer_out(answer.as_ref()),
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

impl TryFrom<Copied> for once::CopiedClaim {
    type Error = Malformed;

    fn try_from(c: Copied) -> Result<Self, Malformed> {
        let state = match (c.finished, c.held) {
            (Some(done), _) => once::ClaimState::Finished {
                fingerprint: part(done.fingerprint, "fingerprint")?,
                answer: answer(done.answer)?,
            },
            (None, Some(held)) => once::ClaimState::Held(all(held.holders)?),
            (None, None) => return Err(Malformed::Missing("state")),
        };
        Ok(Self {
            key: part(c.key, "key")?,
            state,
            remaining: Millis(c.left),
        })
    }
}
