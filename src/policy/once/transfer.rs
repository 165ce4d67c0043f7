//! How claims reach the homes of a new epoch.

use std::collections::BTreeMap;

use super::{Bucket, Claim, ClaimKey, HomeSet, Member, RETENTION, Reason, Register, State};
use crate::domain::{Epoch, Millis, Size};

/// A request of a new home for the claims of a former one. The former home
/// thereby promises not to vote in an epoch before `epoch`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// The bucket.
    pub bucket: Bucket,
    /// The epoch in which the source was a home.
    pub former: Epoch,
    /// The epoch in which the reader is a new home.
    pub epoch: Epoch,
    /// The last key of the previous page.
    pub after: Option<ClaimKey>,
}

/// A claim on its way to another home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copied {
    /// The key.
    pub key: ClaimKey,
    /// The state.
    pub state: State,
    /// The rest of the retention, since clocks of two members cannot be
    /// compared.
    pub left: Millis,
}

/// Some of the claims of a bucket, in the order of their keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The request that it answers.
    pub read: Read,
    /// The claims.
    pub claims: Vec<Copied>,
    /// Whether no claims follow.
    pub last: bool,
}

/// The bytes that a copied claim takes in a message beside its key and its
/// answer: at most three holders of about 110 bytes each, and a margin.
const OVERHEAD: u64 = 512;

/// The reading of a new home from the former ones.
#[derive(Debug)]
pub(super) struct Transfer {
    former: HomeSet,
    epoch: Epoch,
    sources: BTreeMap<Member, Progress>,
    /// Former homes that have ended, as the platform reports.
    gone: Vec<Member>,
    /// Since when no quorum of the former homes can vote any more.
    since: Option<Millis>,
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
            gone: Vec::new(),
            since: None,
        }
    }

    fn is_complete(&self) -> bool {
        let done = self.sources.values().filter(|p| p.done).count();
        done >= self.former.quorum()
    }

    /// Returns whether too few former homes are left for a quorum: all others
    /// have promised not to vote, or have ended.
    fn is_closed(&self) -> bool {
        let ended = |(m, p): &(&Member, &Progress)| p.done || self.gone.contains(m);
        let ended = self.sources.iter().filter(ended).count();
        self.sources.is_empty() || ended >= self.former.quorum()
    }
}

impl Register {
    /// Adopts the homes of a newer epoch, given those of the epoch before it.
    ///
    /// Epochs must be adopted in order where possible. A member that missed one
    /// reads as if it were new, because it cannot know whether it was a home
    /// all the time. Only the first roster of all has no former epoch; its homes
    /// vote at once. An empty roster must not be published, since the homes
    /// after it would have nobody to read from and would have to wait for the
    /// retention period.
    pub fn adopt(&mut self, former: &HomeSet, homes: &HomeSet) {
        if homes.epoch <= self.homes.epoch {
            return;
        }
        let in_order = self.homes.epoch == former.epoch;
        self.homes = homes.clone();
        if !homes.contains(&self.me) {
            self.transfer = None;
            return;
        }
        if former.epoch == Epoch::default() {
            self.transfer = None;
            self.ready = Some(homes.epoch);
            return;
        }
        // A quorum of surviving homes always includes a holder of each won
        // claim, unless quorums became smaller.
        let stays = former.contains(&self.me) && homes.quorum() >= former.quorum();
        let was_ready = self.ready == Some(former.epoch);
        if stays && was_ready {
            self.ready = Some(homes.epoch);
            return;
        }
        if stays && in_order && self.transfer.is_some() {
            return;
        }
        let mut transfer = Transfer::new(former, homes.epoch);
        if was_ready && let Some(own) = transfer.sources.get_mut(&self.me) {
            own.done = true;
        }
        self.transfer = Some(transfer);
        self.complete();
    }

    /// Returns the requests that are to be sent, and repeated until this member
    /// is ready. The former homes are asked at the same time.
    #[must_use]
    pub fn reads(&self) -> Vec<(Member, Read)> {
        let Some(transfer) = &self.transfer else {
            return Vec::new();
        };
        let open = |(m, p): &(&Member, &Progress)| !p.done && **m != self.me;
        let read = |p: &Progress| Read {
            bucket: self.bucket,
            former: transfer.former.epoch,
            epoch: transfer.epoch,
            after: p.after.clone(),
        };
        let sources = transfer.sources.iter().filter(open);
        sources.map(|(m, p)| (m.clone(), read(p))).collect()
    }

    /// Promises not to vote in an epoch before `read.epoch`, and returns the
    /// claims that follow `read.after`, up to about `max`.
    ///
    /// # Errors
    ///
    /// Fails if this member was not ready in the former epoch, because it then
    /// may not know all claims.
    pub fn read(&mut self, read: &Read, now: Millis, max: Size) -> Result<Page, Reason> {
        self.promised = self.promised.max(read.epoch);
        if read.bucket != self.bucket {
            return Err(Reason::Away);
        }
        if self.ready < Some(read.former) {
            let behind = self.homes.epoch < read.former;
            let reason = Reason::Behind(self.homes.epoch);
            return Err(if behind { reason } else { Reason::Reading });
        }
        let mut page = Page {
            read: read.clone(),
            claims: Vec::new(),
            last: true,
        };
        let mut size = 0;
        for (key, claim) in self.after(read.after.as_ref()) {
            if claim.is_free() || claim.expiry <= now {
                continue;
            }
            size += length(key, claim);
            if size > max.0 && !page.claims.is_empty() {
                page.last = false;
                break;
            }
            page.claims.push(Copied {
                key: key.clone(),
                state: claim.state.clone(),
                left: claim.expiry - now,
            });
        }
        Ok(page)
    }

    /// Takes over the claims of a former home.
    ///
    /// A page that does not continue the previous one from the same home is a
    /// duplicate or is late, and is ignored. Claims are taken over even beyond
    /// the limits, since leaving one out would allow a second execution; there
    /// are at most as many as the former homes admitted.
    pub fn on_page(&mut self, from: &Member, page: Page, now: Millis) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let Some(progress) = transfer.sources.get_mut(from) else {
            return;
        };
        let read = &page.read;
        let expected = read.epoch == transfer.epoch
            && read.former == transfer.former.epoch
            && read.bucket == self.bucket
            && read.after == progress.after;
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
        self.complete();
    }

    /// Notes that the platform reports the VM of a former home as gone.
    pub fn on_gone(&mut self, member: &Member, now: Millis) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        if transfer.sources.contains_key(member) && !transfer.gone.contains(member) {
            transfer.gone.push(member.clone());
        }
        if transfer.since.is_none() && transfer.is_closed() {
            transfer.since = Some(now);
        }
    }

    /// Removes expired claims.
    ///
    /// If the claims of a quorum of former homes are lost, this member waits for
    /// the retention period from the moment when those homes could no longer
    /// vote. All claims that it might have missed have then expired.
    pub fn tick(&mut self, now: Millis) {
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
        if transfer.since.is_none() && transfer.is_closed() {
            transfer.since = Some(now);
        }
        if transfer.since.is_some_and(|s| s + RETENTION <= now) {
            self.end_transfer();
        }
    }

    fn complete(&mut self) {
        if self.transfer.as_ref().is_some_and(Transfer::is_complete) {
            self.end_transfer();
        }
    }

    fn end_transfer(&mut self) {
        self.transfer = None;
        self.ready = Some(self.homes.epoch);
    }

    fn import(&mut self, copied: Copied, now: Millis) {
        let expiry = now + copied.left.min(RETENTION);
        let State::Held(holders) = copied.state else {
            self.set_finished(&copied.key, copied.state, expiry);
            return;
        };
        let claim = self.claim_mut(&copied.key, expiry);
        for holder in holders {
            claim.hold(holder);
        }
        if !claim.is_free() {
            claim.expiry = claim.expiry.max(expiry);
        }
    }

    fn after(&self, key: Option<&ClaimKey>) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = key.map_or(Unbounded, Excluded);
        self.claims.range::<ClaimKey, _>((from, Unbounded))
    }
}

fn length(key: &ClaimKey, claim: &Claim) -> u64 {
    let key = key.service.as_bytes().len() + key.key.as_str().len();
    let answer = match &claim.state {
        State::Finished {
            answer: Some(answer),
            ..
        } => answer.size().0,
        State::Finished { .. } | State::Held(_) => 0,
    };
    key as u64 + answer + OVERHEAD
}
