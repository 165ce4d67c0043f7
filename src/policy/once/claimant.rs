//! One attempt of an entry to execute a keyed request: counts the votes of the
//! homes and decides whether the request may be dispatched.

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng;

use super::{
    Answer, AttemptId, CLAIM_RETENTION, Finish, HomeSet, Member, RefusalReason, Release, VoteReply,
    VoteRequest,
};
use crate::{
    domain::{Epoch, Millis},
    policy::refusal::{Code, Refusal},
};

/// The minimum retry delay for a refused caller: about one round trip between
/// regions, which is how long the release of competing attempts takes.
const RETRY_MIN: Millis = Millis(100);

/// The random part of the retry delay, so that two callers that competed for the
/// votes do not retry at the same time.
const RETRY_JITTER: Millis = Millis(400);

/// How long after its start an attempt may be dispatched. It is half of the
/// retention, so a claim cannot expire at a home before the dispatch.
const DISPATCH_WINDOW: Millis = Millis(CLAIM_RETENTION.0 / 2);

/// The outcome of an attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The attempt may be dispatched.
    Won,
    /// The request was executed before. Contains the answer if it was recorded.
    Finished(Option<Arc<Answer>>),
    /// Another attempt may have won. This one must not be dispatched.
    InProgress,
    /// The key was used for a different request. This one must not be dispatched.
    KeyReused,
    /// There is no quorum. This attempt must not be dispatched, and no other
    /// attempt that this entry knows of can have won.
    Unavailable(String),
}

impl Decision {
    /// Returns the refusal for the caller, or none if the caller gets an answer.
    ///
    /// The refusal of [`Decision::InProgress`] has the outcome `unknown` although
    /// this attempt does not run, because the outcome describes the caller's
    /// request, which another attempt may be executing.
    #[must_use]
    pub fn refusal(&self, rng: &mut impl Rng) -> Option<Refusal> {
        let retry = RETRY_MIN + Millis(rng.random_range(0..=RETRY_JITTER.0));
        match self {
            Self::Won => None,
            Self::Finished(Some(answer)) if answer.body.is_some() => None,
            Self::Finished(answer) => {
                let status = answer.as_ref().map(|a| a.status);
                let detail = status.map_or_else(
                    || "the request was executed and its answer was lost".to_owned(),
                    |s| format!("the request was answered with {s}; the body was not kept"),
                );
                Some(Refusal::unknown(Code::AnswerNotKept, detail))
            }
            Self::InProgress => {
                let detail = "a request with this key is running or has ended without an answer";
                Some(Refusal::unknown(Code::InProgress, detail).retry_after(retry))
            }
            Self::KeyReused => {
                let detail = "the key was already used for a different request";
                Some(Refusal::not_run(Code::KeyReused, detail))
            }
            Self::Unavailable(cause) => {
                Some(Refusal::not_run(Code::ClaimUnavailable, cause).retry_after(retry))
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Replies of the homes are being counted.
    Voting,
    /// The attempt may be dispatched.
    Won,
    /// The request may have been written to a target.
    Dispatched,
    /// The attempt ended without a dispatch.
    Abandoned,
    /// The dispatched attempt has ended.
    Ended,
}

/// One attempt to execute a keyed request.
///
/// The entry sends [`Self::vote_requests`] to the homes, passes their replies to
/// [`Self::on_reply`] and calls [`Self::on_timeout`] at the deadline. It must
/// call [`Self::dispatch`] immediately before it writes the request to a target.
///
/// The messages of [`Self::release`] and [`Self::finish`] go through an
/// [`Outbox`](super::Outbox), which repeats them, since no other entry can send
/// them. Losing one is safe, but the key then stays in progress until the end of
/// its retention.
#[derive(Debug)]
pub struct Claimant {
    request: VoteRequest,
    homes: HomeSet,
    replies: BTreeMap<Member, VoteReply>,
    /// All members that may have voted for this attempt.
    contacted: Vec<Member>,
    phase: Phase,
    started: Millis,
}

impl Claimant {
    /// Starts an attempt. The epoch of `request` is replaced by that of `homes`.
    #[must_use]
    pub fn new(mut request: VoteRequest, homes: HomeSet, now: Millis) -> Self {
        request.epoch = homes.epoch;
        Self {
            request,
            contacted: homes.members.clone(),
            homes,
            replies: BTreeMap::new(),
            phase: Phase::Voting,
            started: now,
        }
    }

    /// Returns the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.request.attempt
    }

    /// Returns the vote requests to send. It may be called again to repeat them:
    /// they go to the homes that have not replied or that refused.
    #[must_use]
    pub fn vote_requests(&self) -> Vec<(Member, VoteRequest)> {
        if self.phase != Phase::Voting {
            return Vec::new();
        }
        let unanswered =
            |m: &&Member| matches!(self.replies.get(m), None | Some(VoteReply::Refused(_)));
        let members = self.homes.members.iter().filter(unanswered);
        members.map(|m| (m.clone(), self.request.clone())).collect()
    }

    /// Returns the newest epoch that a home reported in a [`RefusalReason::Stale`],
    /// if it is newer than the epoch of this attempt. The entry should fetch that
    /// roster and then call [`Self::restart`].
    #[must_use]
    pub fn newer_epoch(&self) -> Option<Epoch> {
        let epochs = self.replies.values().filter_map(|r| match r {
            VoteReply::Refused(RefusalReason::Stale(epoch)) => Some(*epoch),
            _ => None,
        });
        epochs.max().filter(|e| *e > self.homes.epoch)
    }

    /// Restarts the vote in a newer epoch. Votes of different epochs are never
    /// added up.
    pub fn restart(&mut self, homes: HomeSet) {
        if self.phase != Phase::Voting || homes.epoch <= self.homes.epoch {
            return;
        }
        for member in &homes.members {
            if !self.contacted.contains(member) {
                self.contacted.push(member.clone());
            }
        }
        self.request.epoch = homes.epoch;
        self.homes = homes;
        self.replies.clear();
    }

    /// Counts the reply of a home to a vote request of `epoch`. Returns the
    /// decision if this reply settles it.
    pub fn on_reply(&mut self, home: &Member, epoch: Epoch, reply: VoteReply) -> Option<Decision> {
        let is_current = epoch == self.homes.epoch && self.homes.contains(home);
        if self.phase != Phase::Voting || !is_current {
            return None;
        }
        // A home keeps its vote until this attempt is released, so a different
        // reply that arrives after a grant was sent before it.
        if self.replies.get(home) != Some(&VoteReply::Granted) {
            self.replies.insert(home.clone(), reply);
        }
        if self.granted() >= self.homes.quorum() {
            self.phase = Phase::Won;
            return Some(Decision::Won);
        }
        let finished = |r: &VoteReply| matches!(r, VoteReply::Finished(_));
        let is_lost = self.granted() + self.undecided() < self.homes.quorum();
        if is_lost || self.replies.values().any(finished) {
            return Some(self.abandon());
        }
        None
    }

    /// Ends the vote at the deadline, or immediately if there are no homes.
    /// Returns none if a decision was already made.
    pub fn on_timeout(&mut self) -> Option<Decision> {
        (self.phase == Phase::Voting).then(|| self.abandon())
    }

    /// Returns whether the request may be written to a target now. If so, the
    /// request is regarded as possibly executed from then on.
    #[must_use]
    pub fn dispatch(&mut self, now: Millis) -> bool {
        let allowed = self.phase == Phase::Won && now - self.started < DISPATCH_WINDOW;
        if allowed {
            self.phase = Phase::Dispatched;
        }
        allowed
    }

    /// Records that no byte of the dispatched request was written. The attempt
    /// may then be dispatched again or released.
    pub fn mark_unsent(&mut self) {
        if self.phase == Phase::Dispatched {
            self.phase = Phase::Won;
        }
    }

    /// Abandons an attempt that was not dispatched, and returns the messages that
    /// free the key. A dispatched attempt is never released: the result is then
    /// empty.
    ///
    /// The messages go to each member that was contacted, even if it refused or
    /// did not reply, because the vote request may still arrive there. They also
    /// go to `newest`, the homes in the newest known epoch, because the vote may
    /// have been transferred to them.
    #[must_use]
    pub fn release(&mut self, newest: &HomeSet) -> Vec<(Member, Release)> {
        if matches!(self.phase, Phase::Dispatched | Phase::Ended) {
            return Vec::new();
        }
        self.phase = Phase::Abandoned;
        let release = Release {
            key: self.request.key.clone(),
            attempt: self.request.attempt,
        };
        self.address_all(newest, &release)
    }

    /// Ends a dispatched attempt and returns the messages that record its answer,
    /// which is none if the response was incomplete. If the attempt was not
    /// dispatched, the result is empty.
    #[must_use]
    pub fn finish(
        &mut self,
        answer: Option<Arc<Answer>>,
        newest: &HomeSet,
    ) -> Vec<(Member, Finish)> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Ended;
        let finish = Finish {
            key: self.request.key.clone(),
            fingerprint: self.request.fingerprint,
            attempt: self.request.attempt,
            answer,
        };
        self.address_all(newest, &finish)
    }

    fn address_all<T: Clone>(&self, newest: &HomeSet, message: &T) -> Vec<(Member, T)> {
        let added = newest
            .members
            .iter()
            .filter(|m| !self.contacted.contains(m));
        let all = self.contacted.iter().chain(added);
        all.map(|m| (m.clone(), message.clone())).collect()
    }

    fn granted(&self) -> usize {
        let granted = |r: &&VoteReply| **r == VoteReply::Granted;
        self.replies.values().filter(granted).count()
    }

    /// Counts the homes that may still vote for this attempt.
    fn undecided(&self) -> usize {
        let may_grant = |m: &&Member| match self.replies.get(m) {
            None => true,
            Some(VoteReply::Refused(reason)) => *reason != RefusalReason::Full,
            Some(_) => false,
        };
        self.homes.members.iter().filter(may_grant).count()
    }

    fn abandon(&mut self) -> Decision {
        self.phase = Phase::Abandoned;
        let replies = || self.replies.values();
        let finished = replies().find_map(|r| match r {
            VoteReply::Finished(answer) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = finished {
            return Decision::Finished(answer);
        }
        if replies().any(|r| *r == VoteReply::KeyReused) {
            return Decision::KeyReused;
        }
        if self.another_may_win() {
            return Decision::InProgress;
        }
        Decision::Unavailable(self.missing_votes())
    }

    /// Returns whether a holder that some home reported may have a quorum.
    ///
    /// A home that did not report its vote may have voted for that holder. A vote
    /// of an older epoch may have been part of a quorum of that epoch.
    fn another_may_win(&self) -> bool {
        let held: Vec<_> = self
            .replies
            .values()
            .filter_map(|r| match r {
                VoteReply::Held(holders) => Some(holders),
                _ => None,
            })
            .collect();
        held.iter().copied().flatten().any(|holder| {
            let includes = |h: &&&Vec<super::Holder>| h.iter().any(|o| o.attempt == holder.attempt);
            let votes = held.iter().filter(includes).count();
            holder.epoch < self.homes.epoch || votes + self.undecided() >= self.homes.quorum()
        })
    }

    fn missing_votes(&self) -> String {
        if self.homes.members.is_empty() {
            return "no roster is known".to_owned();
        }
        let mut causes = Vec::new();
        for home in &self.homes.members {
            causes.push(match self.replies.get(home) {
                None => format!("{home} did not answer"),
                Some(VoteReply::Refused(reason)) => format!("{home}: {reason}"),
                Some(VoteReply::Held(_)) => format!("{home} voted for another attempt"),
                Some(_) => continue,
            });
        }
        let (got, needed) = (self.granted(), self.homes.quorum());
        format!("{got} of {needed} votes: {}", causes.join("; "))
    }
}
