//! The transfer of claims from the former homes to the homes of a new epoch.

use std::collections::BTreeMap;

use super::{
    Bucket, CLAIM_RETENTION, Claim, ClaimKey, ClaimState, ClaimTable, HomeSet, Member,
    RefusalReason,
};
use crate::domain::{Epoch, Millis, Size};

/// A request of a new home for the claims of a former home. By handling it, the
/// former home promises not to vote in an epoch before `epoch`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransferRequest {
    /// The bucket.
    pub bucket: Bucket,
    /// The epoch in which the recipient was a home.
    pub former: Epoch,
    /// The epoch in which the sender is a new home.
    pub epoch: Epoch,
    /// The last key of the previous page, or none for the first page.
    pub after: Option<ClaimKey>,
}

/// A claim that is transferred to another home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopiedClaim {
    /// The key.
    pub key: ClaimKey,
    /// The state.
    pub state: ClaimState,
    /// The time until the claim expires. It is relative, since the clocks of two
    /// members cannot be compared.
    pub remaining: Millis,
}

/// Some of the claims of a bucket, sorted by key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransferPage {
    /// The request that this page answers.
    pub request: TransferRequest,
    /// The claims.
    pub claims: Vec<CopiedClaim>,
    /// Whether this is the last page.
    pub last: bool,
}

/// The estimated size of an encoded claim without its key and its answer, in
/// bytes: at most three holders of about 110 bytes each, and a margin.
const CLAIM_OVERHEAD: u64 = 512;

/// The state of a new home that is reading the claims of the former homes.
#[derive(Debug)]
pub(super) struct Transfer {
    former: HomeSet,
    epoch: Epoch,
    sources: BTreeMap<Member, Progress>,
    /// The time since which the former homes can no longer form a quorum.
    quorum_lost: Option<Millis>,
}

#[derive(Debug, Default)]
struct Progress {
    after: Option<ClaimKey>,
    done: bool,
}

impl Transfer {
    fn new(former: &HomeSet, epoch: Epoch) -> Self {
        let sources = former.members.iter();
        Self {
            former: former.clone(),
            epoch,
            sources: sources.map(|m| (m.clone(), Progress::default())).collect(),
            quorum_lost: None,
        }
    }

    fn is_complete(&self) -> bool {
        let done = self.sources.values().filter(|p| p.done).count();
        done >= self.former.read_quorum()
    }

    /// Returns whether the former homes can no longer form a quorum, because too
    /// many of them have ended or have promised not to vote.
    fn lacks_quorum(&self, has_seat: impl Fn(&Member) -> bool) -> bool {
        let inactive = |(m, p): &(&Member, &Progress)| p.done || !has_seat(m);
        let count = self.sources.iter().filter(inactive).count();
        self.sources.is_empty() || count >= self.former.read_quorum()
    }
}

impl ClaimTable {
    /// Adopts the homes of a newer epoch, given those of the epoch before it.
    ///
    /// Epochs should be adopted in order where possible. A member that missed an
    /// epoch reads from the former homes as if it were new, because it cannot know
    /// whether it was a home in that epoch. Only the first roster has no former
    /// epoch; its homes vote immediately. An empty roster must not be published,
    /// since the homes of the roster after it would have no home to read from and
    /// would have to wait for the retention period.
    pub fn adopt(&mut self, former: &HomeSet, homes: &HomeSet) {
        if homes.epoch <= self.homes.epoch {
            return;
        }
        let in_order = self.homes.epoch == former.epoch;
        self.homes = homes.clone();
        if !homes.contains(&self.local) {
            self.transfer = None;
            return;
        }
        if former.epoch == Epoch::default() {
            self.transfer = None;
            self.ready_epoch = Some(homes.epoch);
            return;
        }
        // Fewer former homes than a new home reads from may lack the vote for the
        // winner of a key. If the new homes are read from fewer members, those that
        // remain have to read as well.
        let stays = former.contains(&self.local);
        let is_retained = stays && homes.read_quorum() >= former.read_quorum();
        let was_ready = self.ready_epoch == Some(former.epoch);
        if is_retained && was_ready {
            self.ready_epoch = Some(homes.epoch);
            return;
        }
        if is_retained && in_order && self.transfer.is_some() {
            return;
        }
        let mut transfer = Transfer::new(former, homes.epoch);
        if was_ready && let Some(own) = transfer.sources.get_mut(&self.local) {
            own.done = true;
        }
        self.transfer = Some(transfer);
        self.end_if_complete();
    }

    /// Returns the requests to send, one to each former home that has not
    /// transferred all of its claims. They are to be repeated until this member is
    /// ready.
    #[must_use]
    pub fn transfer_requests(&self) -> Vec<(Member, TransferRequest)> {
        let Some(transfer) = &self.transfer else {
            return Vec::new();
        };
        let incomplete = |(m, p): &(&Member, &Progress)| !p.done && **m != self.local;
        let request = |p: &Progress| TransferRequest {
            bucket: self.bucket,
            former: transfer.former.epoch,
            epoch: transfer.epoch,
            after: p.after.clone(),
        };
        let sources = transfer.sources.iter().filter(incomplete);
        sources.map(|(m, p)| (m.clone(), request(p))).collect()
    }

    /// Promises not to vote in an epoch before `request.epoch`, and returns the
    /// claims that follow `request.after`, up to about `max`.
    ///
    /// # Errors
    ///
    /// Fails if this member was not ready in the former epoch, because it then may
    /// not have all claims.
    pub fn transfer_page(
        &mut self,
        request: &TransferRequest,
        now: Millis,
        max: Size,
    ) -> Result<TransferPage, RefusalReason> {
        self.promised_epoch = self.promised_epoch.max(request.epoch);
        if request.bucket != self.bucket {
            return Err(RefusalReason::NotHome);
        }
        if self.ready_epoch < Some(request.former) {
            let behind = self.homes.epoch < request.former;
            let reason = RefusalReason::Behind(self.homes.epoch);
            return Err(if behind {
                reason
            } else {
                RefusalReason::Transferring
            });
        }
        let mut page = TransferPage {
            request: request.clone(),
            claims: Vec::new(),
            last: true,
        };
        let mut size = 0;
        for (key, claim) in self.claims_after(request.after.as_ref()) {
            if claim.is_free() || claim.expiry <= now {
                continue;
            }
            size += encoded_size(key, claim);
            if size > max.0 && !page.claims.is_empty() {
                page.last = false;
                break;
            }
            page.claims.push(CopiedClaim {
                key: key.clone(),
                state: claim.state.clone(),
                remaining: claim.expiry - now,
            });
        }
        Ok(page)
    }

    /// Imports a page of claims of a former home.
    ///
    /// A page that does not continue the previous one from the same home is
    /// duplicated or delayed, and is ignored. Claims are imported even beyond the
    /// limits, since leaving one out would allow a second execution. Their number
    /// is bounded by the limits of the former homes.
    pub fn on_page(&mut self, from: &Member, page: TransferPage, now: Millis) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let Some(progress) = transfer.sources.get_mut(from) else {
            return;
        };
        let request = &page.request;
        let expected = request.epoch == transfer.epoch
            && request.former == transfer.former.epoch
            && request.bucket == self.bucket
            && request.after == progress.after;
        if !expected || progress.done {
            return;
        }
        if let Some(last) = page.claims.last() {
            progress.after = Some(last.key.clone());
        }
        progress.done = page.last;
        for copied in page.claims {
            self.import(copied, now);
        }
        self.end_if_complete();
    }

    /// Removes expired claims.
    ///
    /// If the claims of a quorum of the former homes are lost, this member becomes
    /// ready after a retention period, which begins when the former homes can no
    /// longer form a quorum. All claims that it might have missed have expired by
    /// then. A member without a seat in the roster does not vote any more: its VM has
    /// ended, or it has left and knows the roster without it.
    pub fn tick(&mut self, now: Millis, has_seat: impl Fn(&Member) -> bool) {
        let expired: Vec<ClaimKey> = self
            .claims
            .iter()
            .filter(|(_, c)| c.expiry <= now)
            .map(|(k, _)| k.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        if transfer.quorum_lost.is_none() && transfer.lacks_quorum(has_seat) {
            transfer.quorum_lost = Some(now);
        }
        if transfer
            .quorum_lost
            .is_some_and(|s| s + CLAIM_RETENTION <= now)
        {
            self.end_transfer();
        }
    }

    fn end_if_complete(&mut self) {
        if self.transfer.as_ref().is_some_and(Transfer::is_complete) {
            self.end_transfer();
        }
    }

    fn end_transfer(&mut self) {
        self.transfer = None;
        self.ready_epoch = Some(self.homes.epoch);
    }

    fn import(&mut self, copied: CopiedClaim, now: Millis) {
        let expiry = now + copied.remaining.min(CLAIM_RETENTION);
        let ClaimState::Held(holders) = copied.state else {
            self.set_finished(&copied.key, copied.state, expiry);
            return;
        };
        let claim = self.claim_mut(&copied.key, expiry);
        for holder in holders {
            claim.add_holder(holder);
        }
        if !claim.is_free() {
            claim.expiry = claim.expiry.max(expiry);
        }
    }

    fn claims_after(&self, key: Option<&ClaimKey>) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = key.map_or(Unbounded, Excluded);
        self.claims.range::<ClaimKey, _>((from, Unbounded))
    }
}

fn encoded_size(key: &ClaimKey, claim: &Claim) -> u64 {
    let key = key.service.as_bytes().len() + key.key.as_str().len();
    let answer = match &claim.state {
        ClaimState::Finished {
            answer: Some(answer),
            ..
        } => answer.size().0,
        ClaimState::Finished { .. } | ClaimState::Held(_) => 0,
    };
    key as u64 + answer + CLAIM_OVERHEAD
}
