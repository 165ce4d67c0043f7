//! The claim table of a home: which attempt holds each key of a bucket.

use std::{collections::BTreeMap, fmt, sync::Arc};

use super::{
    Answer, Bucket, Claim, ClaimKey, ClaimState, Finish, Holder, HomeSet, Member, Release,
    VoteRequest, transfer::Transfer,
};
use crate::domain::{Epoch, Millis, ServiceName, Size};

/// How long a claim is kept, and thus how long a repeat of an executed request is
/// recognised.
pub const CLAIM_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);

/// How long a home remembers that an attempt was released. It only has to exceed
/// the time that a message can be in flight.
pub const TOMBSTONE_RETENTION: Millis = Millis(10 * 60 * 1000);

/// The limits on the claims of one service in one bucket.
///
/// A claim cannot be evicted before its retention ends, because its key could
/// then be executed again. When a limit is reached, new keys are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// The maximum number of claims.
    pub claims: u32,
    /// The maximum total size of recorded answers. Beyond it, only the status of
    /// an answer is kept.
    pub answers: Size,
}

impl ClaimLimits {
    /// Divides the limits of a service on an entry that is a home of `buckets`
    /// buckets, and returns the limits of each bucket. They are increased by a
    /// quarter, because keys are not distributed evenly.
    #[must_use]
    pub fn per_bucket(self, buckets: u32) -> Self {
        let buckets = buckets.max(1);
        let claims = (u64::from(self.claims) * 5).div_ceil(u64::from(buckets) * 4);
        let answers = (self.answers.0.saturating_mul(5)).div_ceil(u64::from(buckets) * 4);
        Self {
            claims: u32::try_from(claims).unwrap_or(u32::MAX),
            answers: Size(answers),
        }
    }
}

/// Why a home refuses to vote or to transfer its claims.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The vote request is of an older epoch than this one, which is the newest
    /// that the home has adopted or promised.
    Stale(Epoch),
    /// The home has not adopted the epoch of the request yet. It is at this one.
    Behind(Epoch),
    /// The member is not a home of the key in this epoch.
    NotHome,
    /// The transfer of claims from the former homes is not complete yet.
    Transferring,
    /// The service has reached its limit of claims, and the home has no claim for
    /// the key.
    Full,
    /// The attempt was released before.
    Released,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale(epoch) => write!(f, "the vote is older than epoch {epoch}"),
            Self::Behind(epoch) => write!(f, "the home is still at epoch {epoch}"),
            Self::NotHome => f.write_str("it is not a home of the key"),
            Self::Transferring => {
                f.write_str("the transfer of claims from the former homes is not complete")
            }
            Self::Full => f.write_str("the service has reached its limit of claims"),
            Self::Released => f.write_str("the attempt was released"),
        }
    }
}

/// A home's reply to a vote request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoteReply {
    /// The home has voted for the attempt.
    Granted,
    /// Other attempts hold the key.
    Held(Vec<Holder>),
    /// The request was executed. Contains the answer if it was recorded.
    Finished(Option<Arc<Answer>>),
    /// The key is used by a request with a different fingerprint.
    KeyReused,
    /// The home refuses to vote.
    Refused(RefusalReason),
}

/// The number of claims of a service, and the total size of their answers.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    claims: u32,
    answers: u64,
}

/// The claims of one bucket at one member.
///
/// The epoch and the claims are in one table so that one lock protects both. With
/// two locks, a vote could be checked against an older epoch and recorded after a
/// new home has read the claims.
#[derive(Debug)]
pub struct ClaimTable {
    pub(super) local: Member,
    pub(super) bucket: Bucket,
    /// The homes in the newest adopted epoch.
    pub(super) homes: HomeSet,
    /// The newest epoch of a transfer request. This member has promised not to
    /// vote in an epoch before it.
    pub(super) promised_epoch: Epoch,
    /// The newest epoch in which this member may vote.
    pub(super) ready_epoch: Option<Epoch>,
    pub(super) transfer: Option<Transfer>,
    pub(super) claims: BTreeMap<ClaimKey, Claim>,
    usage: BTreeMap<ServiceName, Usage>,
    limits: ClaimLimits,
}

impl ClaimTable {
    /// Returns an empty table. It does not vote before [`Self::adopt`].
    #[must_use]
    pub fn new(local: Member, bucket: Bucket, limits: ClaimLimits) -> Self {
        Self {
            local,
            bucket,
            homes: HomeSet::default(),
            promised_epoch: Epoch::default(),
            ready_epoch: None,
            transfer: None,
            claims: BTreeMap::new(),
            usage: BTreeMap::new(),
            limits,
        }
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
        self.homes.contains(&self.local) && self.ready_epoch == Some(self.homes.epoch)
    }

    /// Returns the claim of a key, unless it has expired.
    #[must_use]
    pub fn get(&self, key: &ClaimKey, now: Millis) -> Option<&Claim> {
        self.claims.get(key).filter(|c| c.expiry > now)
    }

    /// Handles a vote request. A repeated request gets the same reply as long as
    /// the claim does not change.
    pub fn vote(&mut self, request: &VoteRequest, now: Millis) -> VoteReply {
        if let Err(reason) = self.check_vote(request) {
            return VoteReply::Refused(reason);
        }
        self.remove_expired(&request.key, now);
        if let Some(claim) = self.claims.get_mut(&request.key) {
            return vote_on(claim, request, now);
        }
        if self.is_full(&request.key.service) {
            return VoteReply::Refused(RefusalReason::Full);
        }
        let claim = self.claim_mut(&request.key, now + CLAIM_RETENTION);
        vote_on(claim, request, now)
    }

    /// Removes the vote for an attempt that will never be dispatched. A release is
    /// valid in any epoch.
    pub fn release(&mut self, release: &Release, now: Millis) {
        self.remove_expired(&release.key, now);
        let known = self.claims.contains_key(&release.key);
        if !known && self.is_full(&release.key.service) {
            return;
        }
        let claim = self.claim_mut(&release.key, now + TOMBSTONE_RETENTION);
        claim.release(release.attempt);
        if claim.is_free() {
            claim.expiry = now + TOMBSTONE_RETENTION;
        }
    }

    /// Records that a request was executed, with its answer, and returns whether
    /// the home has recorded it. This is valid in any epoch.
    ///
    /// It is not recorded if the table has no claim for the key and the service
    /// has reached its limit of claims. The homes that voted for the attempt have
    /// a claim for it already.
    pub fn finish(&mut self, finish: &Finish, now: Millis) -> bool {
        self.remove_expired(&finish.key, now);
        let known = self.claims.contains_key(&finish.key);
        if !known && self.is_full(&finish.key.service) {
            return false;
        }
        let state = ClaimState::Finished {
            fingerprint: finish.fingerprint,
            answer: finish.answer.clone(),
        };
        self.set_finished(&finish.key, state, now + CLAIM_RETENTION);
        true
    }

    /// Sets the final state of a key. Once set it does not change, so that all
    /// repeats get the same answer.
    pub(super) fn set_finished(&mut self, key: &ClaimKey, state: ClaimState, expiry: Millis) {
        let ClaimState::Finished {
            fingerprint,
            answer,
        } = state
        else {
            return;
        };
        let claim = self.claim_mut(key, expiry);
        if matches!(claim.state, ClaimState::Finished { .. }) {
            return;
        }
        claim.expiry = claim.expiry.max(expiry);
        claim.released = Vec::new();
        let max = self.limits.answers.0;
        let usage = self.usage.entry(key.service.clone()).or_default();
        let answer = answer.map(|a| drop_content_if_large(a, max.saturating_sub(usage.answers)));
        usage.answers += answer.as_ref().map_or(0, |a| a.size().0);
        if let Some(claim) = self.claims.get_mut(key) {
            claim.state = ClaimState::Finished {
                fingerprint,
                answer,
            };
        }
    }

    /// Returns the claim of a key. If there is none, it creates one that ends at
    /// `expiry`.
    pub(super) fn claim_mut(&mut self, key: &ClaimKey, expiry: Millis) -> &mut Claim {
        if !self.claims.contains_key(key) {
            let usage = self.usage.entry(key.service.clone()).or_default();
            usage.claims += 1;
        }
        self.claims
            .entry(key.clone())
            .or_insert_with(|| Claim::new(expiry))
    }

    /// Removes a claim and subtracts it from the usage of its service.
    pub(super) fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        let Some(usage) = self.usage.get_mut(&key.service) else {
            return;
        };
        usage.claims -= 1;
        if let ClaimState::Finished {
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

    fn remove_expired(&mut self, key: &ClaimKey, now: Millis) {
        if self.claims.get(key).is_some_and(|c| c.expiry <= now) {
            self.remove(key);
        }
    }

    fn is_full(&self, service: &ServiceName) -> bool {
        let usage = self.usage.get(service);
        usage.is_some_and(|u| u.claims >= self.limits.claims)
    }

    fn check_vote(&self, request: &VoteRequest) -> Result<(), RefusalReason> {
        let newest = self.homes.epoch.max(self.promised_epoch);
        if request.key.bucket() != self.bucket {
            return Err(RefusalReason::NotHome);
        }
        if request.epoch < newest {
            return Err(RefusalReason::Stale(newest));
        }
        if request.epoch > self.homes.epoch {
            return Err(RefusalReason::Behind(self.homes.epoch));
        }
        if !self.homes.contains(&self.local) {
            return Err(RefusalReason::NotHome);
        }
        if !self.is_ready() {
            return Err(RefusalReason::Transferring);
        }
        Ok(())
    }
}

/// Votes on a request for a key with an existing claim, and updates the claim.
fn vote_on(claim: &mut Claim, request: &VoteRequest, now: Millis) -> VoteReply {
    let holders = match &mut claim.state {
        ClaimState::Finished {
            fingerprint,
            answer,
        } if *fingerprint == request.fingerprint => return VoteReply::Finished(answer.clone()),
        ClaimState::Finished { .. } => return VoteReply::KeyReused,
        ClaimState::Held(holders) => holders,
    };
    if claim.released.contains(&request.attempt) {
        return VoteReply::Refused(RefusalReason::Released);
    }
    let others: Vec<Holder> = holders
        .iter()
        .filter(|h| h.attempt != request.attempt)
        .cloned()
        .collect();
    if others.is_empty() {
        if holders.is_empty() {
            *holders = vec![Holder::from_vote(request)];
            claim.expiry = now + CLAIM_RETENTION;
        }
        return VoteReply::Granted;
    }
    if others.iter().all(|h| h.fingerprint != request.fingerprint) {
        return VoteReply::KeyReused;
    }
    VoteReply::Held(others)
}

impl Holder {
    fn from_vote(request: &VoteRequest) -> Self {
        Self {
            attempt: request.attempt,
            fingerprint: request.fingerprint,
            claimant: request.claimant.clone(),
            epoch: request.epoch,
        }
    }
}

/// Returns the answer, reduced to its status if it is larger than `available`.
fn drop_content_if_large(answer: Arc<Answer>, available: u64) -> Arc<Answer> {
    if answer.size().0 <= available {
        return answer;
    }
    Arc::new(Answer {
        status: answer.status,
        headers: Vec::new(),
        body: None,
    })
}
