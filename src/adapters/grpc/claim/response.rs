//! Responses of the homes of a key.

use super::{
    Answer, Fingerprint, Holder, Key, Malformed, Member, Read, all, part,
    values::{answer, answer_out},
};
use crate::{
    domain::{Epoch, Millis},
    policy::once::{self, Reason, Reply, Response},
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
    /// The reason: 1 stale, 2 behind, 3 away, 4 reading, 5 full, 6 released.
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
    pub fn new(sender: &once::Member, epoch: Epoch, response: &Response) -> Self {
        let (voted, outcome) = match response {
            Response::Vote(epoch, reply) => (epoch.0, reply_out(reply)),
            Response::Noted(kept) => (0, Outcome::Noted(*kept)),
            Response::Page(Ok(page)) => (0, Outcome::Page(page.into())),
            Response::Page(Err(reason)) => (0, Outcome::Unread((*reason).into())),
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
    pub fn into_parts(self) -> Result<(once::Member, Epoch, Response), Malformed> {
        let voted = Epoch(self.voted);
        let response = match self.outcome.ok_or(Malformed::Missing("result"))? {
            Outcome::Granted(_) => Response::Vote(voted, Reply::Granted),
            Outcome::Held(held) => Response::Vote(voted, Reply::Held(all(held.holders)?)),
            Outcome::Finished(done) => Response::Vote(voted, Reply::Finished(answer(done.answer)?)),
            Outcome::Reused(_) => Response::Vote(voted, Reply::Reused),
            Outcome::Refused(refused) => Response::Vote(voted, Reply::Refused(refused.try_into()?)),
            Outcome::Noted(kept) => Response::Noted(kept),
            Outcome::Page(page) => Response::Page(Ok(page.try_into()?)),
            Outcome::Unread(refused) => Response::Page(Err(refused.try_into()?)),
        };
        Ok((part(self.sender, "sender")?, Epoch(self.epoch), response))
    }
}

fn reply_out(reply: &Reply) -> Outcome {
    match reply {
        Reply::Granted => Outcome::Granted(Empty {}),
        Reply::Held(holders) => Outcome::Held(holders.as_slice().into()),
        Reply::Finished(answer) => Outcome::Finished(Finished {
            fingerprint: None,
            answer: answer_out(answer.as_ref()),
        }),
        Reply::Reused => Outcome::Reused(Empty {}),
        Reply::Refused(reason) => Outcome::Refused((*reason).into()),
    }
}

impl From<&[once::Holder]> for Held {
    fn from(holders: &[once::Holder]) -> Self {
        Self {
            holders: holders.iter().map(Holder::from).collect(),
        }
    }
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        let (reason, epoch) = match reason {
            Reason::Stale(epoch) => (1, epoch.0),
            Reason::Behind(epoch) => (2, epoch.0),
            Reason::Away => (3, 0),
            Reason::Reading => (4, 0),
            Reason::Full => (5, 0),
            Reason::Released => (6, 0),
        };
        Self { reason, epoch }
    }
}

impl TryFrom<Refused> for Reason {
    type Error = Malformed;

    fn try_from(r: Refused) -> Result<Self, Malformed> {
        let epoch = Epoch(r.epoch);
        match r.reason {
            1 => Ok(Self::Stale(epoch)),
            2 => Ok(Self::Behind(epoch)),
            3 => Ok(Self::Away),
            4 => Ok(Self::Reading),
            5 => Ok(Self::Full),
            6 => Ok(Self::Released),
            _ => Err(Malformed::Range("reason")),
        }
    }
}

impl From<&once::Page> for Page {
    fn from(p: &once::Page) -> Self {
        Self {
            read: Some((&p.read).into()),
            claims: p.claims.iter().map(Copied::from).collect(),
            last: p.last,
        }
    }
}

impl TryFrom<Page> for once::Page {
    type Error = Malformed;

    fn try_from(p: Page) -> Result<Self, Malformed> {
        Ok(Self {
            read: part(p.read, "read")?,
            claims: all(p.claims)?,
            last: p.last,
        })
    }
}

impl From<&once::Copied> for Copied {
    fn from(c: &once::Copied) -> Self {
        let (held, finished) = match &c.state {
            once::State::Held(holders) => (Some(holders.as_slice().into()), None),
            once::State::Finished {
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
            left: c.left.0,
        }
    }
}

impl TryFrom<Copied> for once::Copied {
    type Error = Malformed;

    fn try_from(c: Copied) -> Result<Self, Malformed> {
        let state = match (c.finished, c.held) {
            (Some(done), _) => once::State::Finished {
                fingerprint: part(done.fingerprint, "fingerprint")?,
                answer: answer(done.answer)?,
            },
            (None, Some(held)) => once::State::Held(all(held.holders)?),
            (None, None) => return Err(Malformed::Missing("state")),
        };
        Ok(Self {
            key: part(c.key, "key")?,
            state,
            left: Millis(c.left),
        })
    }
}
