//! The register of a home: who holds each key of a bucket.

use std::{collections::BTreeMap, fmt, sync::Arc};

use super::{
    Answer, Bucket, Claim, ClaimKey, Finish, Holder, HomeSet, Member, Release, State, Vote,
    transfer::Transfer,
};
use crate::domain::{Epoch, Millis, ServiceName, Size};

/// How long a key is bound to its first execution.
pub const RETENTION: Millis = Millis(24 * 60 * 60 * 1000);

/// How long a home remembers that an attempt was released. It only has to
/// exceed the time that a message can be under way.
pub const TOMBSTONE: Millis = Millis(10 * 60 * 1000);

/// The memory that the claims of one service may take in one bucket.
///
/// A claim cannot be evicted before its retention ends, because its key could
/// then be executed again. When a limit is reached, new keys are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The number of claims.
    pub claims: u32,
    /// The size of all recorded answers. Beyond it, bodies are not kept.
    pub answers: Size,
}

impl Limits {
    /// Returns each bucket's part of what a service may take on an entry that
    /// is home to `buckets` buckets. A quarter is added because keys spread
    /// unevenly.
    #[must_use]
    pub fn share(self, buckets: u32) -> Self {
        let buckets = buckets.max(1);
        let claims = (u64::from(self.claims) * 5).div_ceil(u64::from(buckets) * 4);
        let answers = (self.answers.0.saturating_mul(5)).div_ceil(u64::from(buckets) * 4);
        Self {
            claims: u32::try_from(claims).unwrap_or(u32::MAX),
            answers: Size(answers),
        }
    }
}

/// Why a home neither grants a key nor says who holds it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The vote is of an older epoch than this one, in which the home votes or
    /// which it has promised to wait for.
    Stale(Epoch),
    /// The home has not adopted the epoch of the request yet; it is at this one.
    Behind(Epoch),
    /// The member is no home of the key in this epoch.
    Away,
    /// The home has not read the claims of the former homes yet.
    Reading,
    /// The service has no room for a further claim. The home holds no claim for
    /// the key.
    Full,
    /// The attempt was released before.
    Released,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale(epoch) => write!(f, "the vote is older than epoch {epoch}"),
            Self::Behind(epoch) => write!(f, "the home is still at epoch {epoch}"),
            Self::Away => f.write_str("it is not a home of the key"),
            Self::Reading => f.write_str("it has not read the claims of the former homes"),
            Self::Full => f.write_str("it has no room for a further claim of the service"),
            Self::Released => f.write_str("the attempt was released"),
        }
    }
}

/// A home's answer to a vote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The attempt has the vote.
    Granted,
    /// Other attempts hold the key.
    Held(Vec<Holder>),
    /// The request was executed.
    Finished(Option<Arc<Answer>>),
    /// The key belongs to a request with another fingerprint.
    Reused,
    /// The home does not vote.
    Refused(Reason),
}

/// What the claims of a service take.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    claims: u32,
    answers: u64,
}

/// The claims of one bucket at one member.
///
/// One register, under one lock, holds the epoch as well as the claims. If they
/// were under two locks, a vote could be checked in an older epoch and recorded
/// after a new home has read the claims.
#[derive(Debug)]
pub struct Register {
    pub(super) me: Member,
    pub(super) bucket: Bucket,
    /// The homes in the newest adopted epoch.
    pub(super) homes: HomeSet,
    /// The newest epoch that a new home has read for.
    pub(super) promised: Epoch,
    /// The last epoch in which this member voted.
    pub(super) ready: Option<Epoch>,
    pub(super) transfer: Option<Transfer>,
    pub(super) claims: BTreeMap<ClaimKey, Claim>,
    usage: BTreeMap<ServiceName, Usage>,
    limits: Limits,
}

impl Register {
    /// Returns an empty register, which votes once it has adopted a roster.
    #[must_use]
    pub fn new(me: Member, bucket: Bucket, limits: Limits) -> Self {
        Self {
            me,
            bucket,
            homes: HomeSet::default(),
            promised: Epoch::default(),
            ready: None,
            transfer: None,
            claims: BTreeMap::new(),
            usage: BTreeMap::new(),
            limits,
        }
    }

    /// Changes the limits, which depend on how many buckets an entry has.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns whether this member votes in the adopted epoch.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.homes.contains(&self.me) && self.ready == Some(self.homes.epoch)
    }

    /// Returns the claim of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey, now: Millis) -> Option<&Claim> {
        self.claims.get(key).filter(|c| c.expiry > now)
    }

    /// Votes for an attempt. A repeated vote gets the same answer as long as
    /// the claim does not change.
    pub fn vote(&mut self, vote: &Vote, now: Millis) -> Reply {
        if let Err(reason) = self.check(vote) {
            return Reply::Refused(reason);
        }
        self.expire(&vote.key, now);
        if let Some(claim) = self.claims.get_mut(&vote.key) {
            return decide(claim, vote, now);
        }
        if self.is_full(&vote.key.service) {
            return Reply::Refused(Reason::Full);
        }
        let claim = self.claim_mut(&vote.key, now + RETENTION);
        decide(claim, vote, now)
    }

    /// Removes the vote of an attempt that will never be dispatched. It is
    /// valid in any epoch.
    pub fn release(&mut self, release: &Release, now: Millis) {
        self.expire(&release.key, now);
        let known = self.claims.contains_key(&release.key);
        if !known && self.is_full(&release.key.service) {
            return;
        }
        let claim = self.claim_mut(&release.key, now + TOMBSTONE);
        claim.release(release.attempt);
        if claim.is_free() {
            claim.expiry = now + TOMBSTONE;
        }
    }

    /// Records the answer of an executed request and returns whether the home
    /// keeps the claim. It is valid in any epoch.
    ///
    /// A home without room that never voted for the attempt does not keep it;
    /// the homes that did vote have room already.
    pub fn finish(&mut self, finish: &Finish, now: Millis) -> bool {
        self.expire(&finish.key, now);
        let known = self.claims.contains_key(&finish.key);
        if !known && self.is_full(&finish.key.service) {
            return false;
        }
        let state = State::Finished {
            fingerprint: finish.fingerprint,
            answer: finish.answer.clone(),
        };
        self.set_finished(&finish.key, state, now + RETENTION);
        true
    }

    /// Sets the first final state of a key. A later one is ignored, so that all
    /// repeats get the same answer.
    pub(super) fn set_finished(&mut self, key: &ClaimKey, state: State, expiry: Millis) {
        let State::Finished {
            fingerprint,
            answer,
        } = state
        else {
            return;
        };
        let claim = self.claim_mut(key, expiry);
        if matches!(claim.state, State::Finished { .. }) {
            return;
        }
        claim.expiry = claim.expiry.max(expiry);
        claim.released = Vec::new();
        let max = self.limits.answers.0;
        let usage = self.usage.entry(key.service.clone()).or_default();
        let answer = answer.map(|a| within(a, max.saturating_sub(usage.answers)));
        usage.answers += answer.as_ref().map_or(0, |a| a.size().0);
        if let Some(claim) = self.claims.get_mut(key) {
            claim.state = State::Finished {
                fingerprint,
                answer,
            };
        }
    }

    /// Returns the claim of a key, which is created if there is none.
    pub(super) fn claim_mut(&mut self, key: &ClaimKey, expiry: Millis) -> &mut Claim {
        if !self.claims.contains_key(key) {
            let usage = self.usage.entry(key.service.clone()).or_default();
            usage.claims += 1;
        }
        self.claims
            .entry(key.clone())
            .or_insert_with(|| Claim::new(expiry))
    }

    /// Removes a claim.
    pub(super) fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        let Some(usage) = self.usage.get_mut(&key.service) else {
            return;
        };
        usage.claims -= 1;
        if let State::Finished {
            answer: Some(answer),
            ..
        } = claim.state
        {
            usage.answers -= answer.size().0;
        }
        if usage.claims == 0 {
            self.usage.remove(&key.service);
        }
    }

    fn expire(&mut self, key: &ClaimKey, now: Millis) {
        if self.claims.get(key).is_some_and(|c| c.expiry <= now) {
            self.remove(key);
        }
    }

    fn is_full(&self, service: &ServiceName) -> bool {
        let usage = self.usage.get(service);
        usage.is_some_and(|u| u.claims >= self.limits.claims)
    }

    fn check(&self, vote: &Vote) -> Result<(), Reason> {
        let newest = self.homes.epoch.max(self.promised);
        if vote.key.bucket() != self.bucket {
            return Err(Reason::Away);
        }
        if vote.epoch < newest {
            return Err(Reason::Stale(newest));
        }
        if vote.epoch > self.homes.epoch {
            return Err(Reason::Behind(self.homes.epoch));
        }
        if !self.homes.contains(&self.me) {
            return Err(Reason::Away);
        }
        if !self.is_ready() {
            return Err(Reason::Reading);
        }
        Ok(())
    }
}

/// Votes on the state of one key.
fn decide(claim: &mut Claim, vote: &Vote, now: Millis) -> Reply {
    let holders = match &mut claim.state {
        State::Finished {
            fingerprint,
            answer,
        } if *fingerprint == vote.fingerprint => return Reply::Finished(answer.clone()),
        State::Finished { .. } => return Reply::Reused,
        State::Held(holders) => holders,
    };
    if claim.released.contains(&vote.attempt) {
        return Reply::Refused(Reason::Released);
    }
    let others: Vec<Holder> = holders
        .iter()
        .filter(|h| h.attempt != vote.attempt)
        .cloned()
        .collect();
    if others.is_empty() {
        if holders.is_empty() {
            *holders = vec![Holder::of(vote)];
            claim.expiry = now + RETENTION;
        }
        return Reply::Granted;
    }
    if others.iter().all(|h| h.fingerprint != vote.fingerprint) {
        return Reply::Reused;
    }
    Reply::Held(others)
}

impl Holder {
    fn of(vote: &Vote) -> Self {
        Self {
            attempt: vote.attempt,
            fingerprint: vote.fingerprint,
            claimant: vote.claimant.clone(),
            epoch: vote.epoch,
        }
    }
}

/// Returns the answer, without its body if it is larger than `room`.
fn within(answer: Arc<Answer>, room: u64) -> Arc<Answer> {
    if answer.size().0 <= room {
        return answer;
    }
    Arc::new(Answer {
        status: answer.status,
        headers: Vec::new(),
        body: None,
    })
}
