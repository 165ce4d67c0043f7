//! The entry that wants to execute a keyed request.

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng;

use super::{Answer, AttemptId, Finish, HomeSet, Member, RETENTION, Reason, Release, Reply, Vote};
use crate::{
    domain::{Epoch, Millis},
    policy::refusal::{Code, Refusal},
};

/// The shortest time after which a refused caller may try again: about one
/// round trip between regions, in which the competing attempts are released.
const RETRY_MIN: Millis = Millis(100);

/// The width of the random part of that time. Two callers that competed for the
/// votes must not return at the same moment.
const RETRY_SPREAD: Millis = Millis(400);

/// How long after its start an attempt may still be dispatched. It is half of
/// the retention, so a claim cannot expire at a home before the dispatch.
const DISPATCH_MAX: Millis = Millis(RETENTION.0 / 2);

/// What became of an attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The attempt may be dispatched.
    Won,
    /// The request was executed before, with this answer if it was kept.
    Finished(Option<Arc<Answer>>),
    /// Another attempt may have won. This one is not dispatched.
    InProgress,
    /// The key belongs to another request. This one is not dispatched.
    Reused,
    /// There is no quorum. This attempt is not dispatched, and none that this
    /// entry knows of can have won.
    Unavailable(String),
}

impl Decision {
    /// Returns what the caller is told, unless it gets an answer.
    ///
    /// The outcome of [`Decision::InProgress`] is unknown although this very
    /// attempt is not run, because the caller asks about its request and not
    /// about our attempts.
    #[must_use]
    pub fn refusal(&self, rng: &mut impl Rng) -> Option<Refusal> {
        let retry = RETRY_MIN + Millis(rng.random_range(0..=RETRY_SPREAD.0));
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
            Self::Reused => {
                let detail = "the key was used for a request with another content";
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
    /// Votes are being counted.
    Asking,
    /// The attempt may be dispatched.
    Won,
    /// The request may have reached a target.
    Sent,
    /// The attempt was given up before it was dispatched.
    Lost,
    /// The execution has ended.
    Done,
}

/// One attempt to execute a keyed request.
///
/// The entry sends the vote to all homes ([`Self::votes`]), feeds their replies
/// to [`Self::on_reply`] and calls [`Self::on_timeout`] at its deadline. It must
/// ask [`Self::dispatch`] immediately before it writes the request to a target.
///
/// Messages of [`Self::release`] and [`Self::finish`] go through an
/// [`Outbox`](super::Outbox), since nobody else can send them. Losing one is
/// safe, but keeps the key in progress until the end of its retention.
#[derive(Debug)]
pub struct Claimant {
    vote: Vote,
    homes: HomeSet,
    replies: BTreeMap<Member, Reply>,
    /// All members that may hold a vote of this attempt.
    asked: Vec<Member>,
    phase: Phase,
    started: Millis,
}

impl Claimant {
    /// Starts an attempt. The epoch of `vote` is replaced by that of `homes`.
    #[must_use]
    pub fn new(mut vote: Vote, homes: HomeSet, now: Millis) -> Self {
        vote.epoch = homes.epoch;
        Self {
            vote,
            asked: homes.members.clone(),
            homes,
            replies: BTreeMap::new(),
            phase: Phase::Asking,
            started: now,
        }
    }

    /// Returns the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.vote.attempt
    }

    /// Returns the votes that are to be sent. They may be sent again to homes
    /// that did not answer or refused for a reason that can pass.
    #[must_use]
    pub fn votes(&self) -> Vec<(Member, Vote)> {
        if self.phase != Phase::Asking {
            return Vec::new();
        }
        let open = |m: &&Member| matches!(self.replies.get(m), None | Some(Reply::Refused(_)));
        let members = self.homes.members.iter().filter(open);
        members.map(|m| (m.clone(), self.vote.clone())).collect()
    }

    /// Returns the newest epoch that a home refused for, if it is newer than
    /// ours. The entry should fetch that roster and then call
    /// [`Self::move_to`].
    #[must_use]
    pub fn newer(&self) -> Option<Epoch> {
        let stale = self.replies.values().filter_map(|r| match r {
            Reply::Refused(Reason::Stale(epoch)) => Some(*epoch),
            _ => None,
        });
        stale.max().filter(|e| *e > self.homes.epoch)
    }

    /// Starts the count again in a newer epoch. Votes of different epochs are
    /// never added up.
    pub fn move_to(&mut self, homes: HomeSet) {
        if self.phase != Phase::Asking || homes.epoch <= self.homes.epoch {
            return;
        }
        for member in &homes.members {
            if !self.asked.contains(member) {
                self.asked.push(member.clone());
            }
        }
        self.vote.epoch = homes.epoch;
        self.homes = homes;
        self.replies.clear();
    }

    /// Counts the reply of a home to the vote in `epoch`. Returns the decision
    /// if this reply makes it.
    pub fn on_reply(&mut self, home: &Member, epoch: Epoch, reply: Reply) -> Option<Decision> {
        let counts = epoch == self.homes.epoch && self.homes.contains(home);
        if self.phase != Phase::Asking || !counts {
            return None;
        }
        // A grant lasts until this attempt is released, so another reply that
        // arrives after it was sent before it.
        if self.replies.get(home) != Some(&Reply::Granted) {
            self.replies.insert(home.clone(), reply);
        }
        if self.granted() >= self.homes.quorum() {
            self.phase = Phase::Won;
            return Some(Decision::Won);
        }
        let finished = |r: &Reply| matches!(r, Reply::Finished(_));
        let settled = self.granted() + self.open() < self.homes.quorum();
        if settled || self.replies.values().any(finished) {
            return Some(self.lose());
        }
        None
    }

    /// Gives up at the deadline, or at once if there are no homes. Returns none
    /// if the decision was made before.
    pub fn on_timeout(&mut self) -> Option<Decision> {
        (self.phase == Phase::Asking).then(|| self.lose())
    }

    /// Returns whether the request may be written to a target now. From then on
    /// it counts as possibly executed.
    #[must_use]
    pub fn dispatch(&mut self, now: Millis) -> bool {
        let may = self.phase == Phase::Won && now - self.started < DISPATCH_MAX;
        if may {
            self.phase = Phase::Sent;
        }
        may
    }

    /// Notes that no byte of the dispatched request was written. The attempt
    /// may be dispatched again or released.
    pub fn unsent(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Won;
        }
    }

    /// Gives up an attempt that is not dispatched, and returns the messages that
    /// free the key. A dispatched attempt is never released: the result is then
    /// empty.
    ///
    /// They go to each member that was asked, even if it refused or did not
    /// answer, because the vote may still arrive there. `newest` are the homes
    /// in the newest known epoch, which may have copied the vote.
    #[must_use]
    pub fn release(&mut self, newest: &HomeSet) -> Vec<(Member, Release)> {
        if matches!(self.phase, Phase::Sent | Phase::Done) {
            return Vec::new();
        }
        self.phase = Phase::Lost;
        let release = Release {
            key: self.vote.key.clone(),
            attempt: self.vote.attempt,
        };
        self.address(newest, &release)
    }

    /// Ends the execution and returns the messages that record its answer. None
    /// means that the answer did not arrive completely. Without an execution the
    /// result is empty.
    #[must_use]
    pub fn finish(
        &mut self,
        answer: Option<Arc<Answer>>,
        newest: &HomeSet,
    ) -> Vec<(Member, Finish)> {
        if self.phase != Phase::Sent {
            return Vec::new();
        }
        self.phase = Phase::Done;
        let finish = Finish {
            key: self.vote.key.clone(),
            fingerprint: self.vote.fingerprint,
            attempt: self.vote.attempt,
            answer,
        };
        self.address(newest, &finish)
    }

    fn address<T: Clone>(&self, newest: &HomeSet, message: &T) -> Vec<(Member, T)> {
        let added = newest.members.iter().filter(|m| !self.asked.contains(m));
        let all = self.asked.iter().chain(added);
        all.map(|m| (m.clone(), message.clone())).collect()
    }

    fn granted(&self) -> usize {
        let granted = |r: &&Reply| **r == Reply::Granted;
        self.replies.values().filter(granted).count()
    }

    /// Counts the homes that may still grant the vote.
    fn open(&self) -> usize {
        let passing = |m: &&Member| match self.replies.get(m) {
            None => true,
            Some(Reply::Refused(reason)) => *reason != Reason::Full,
            Some(_) => false,
        };
        self.homes.members.iter().filter(passing).count()
    }

    fn lose(&mut self) -> Decision {
        self.phase = Phase::Lost;
        let replies = || self.replies.values();
        let finished = replies().find_map(|r| match r {
            Reply::Finished(answer) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = finished {
            return Decision::Finished(answer);
        }
        if replies().any(|r| *r == Reply::Reused) {
            return Decision::Reused;
        }
        if self.another_may_win() {
            return Decision::InProgress;
        }
        Decision::Unavailable(self.cause())
    }

    /// Returns whether a holder that some home named may have a quorum.
    ///
    /// A home that did not say whom it voted for may have voted for that holder.
    /// A vote of an older epoch may have been part of a quorum of that epoch.
    fn another_may_win(&self) -> bool {
        let held: Vec<_> = self
            .replies
            .values()
            .filter_map(|r| match r {
                Reply::Held(holders) => Some(holders),
                _ => None,
            })
            .collect();
        held.iter().copied().flatten().any(|holder| {
            let names = |h: &&&Vec<super::Holder>| h.iter().any(|o| o.attempt == holder.attempt);
            let votes = held.iter().filter(names).count();
            holder.epoch < self.homes.epoch || votes + self.open() >= self.homes.quorum()
        })
    }

    fn cause(&self) -> String {
        if self.homes.members.is_empty() {
            return "no roster is known".to_owned();
        }
        let mut causes = Vec::new();
        for home in &self.homes.members {
            causes.push(match self.replies.get(home) {
                None => format!("{home} did not answer"),
                Some(Reply::Refused(reason)) => format!("{home}: {reason}"),
                Some(Reply::Held(_)) => format!("{home} voted for another attempt"),
                Some(_) => continue,
            });
        }
        let (got, needed) = (self.granted(), self.homes.quorum());
        format!("{got} of {needed} votes: {}", causes.join("; "))
    }
}
