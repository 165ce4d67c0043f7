//! The table of strikes against all fingerprints, and the admission of requests.

use std::collections::{BTreeSet, HashMap};

use super::StrikeCounter;
use crate::{
    domain::Millis,
    policy::{
        once::{Fingerprint, Member},
        refusal::{Code, Refusal},
    },
};

/// How long a fingerprint is blocked after its latest strike. All of its strikes
/// then expire.
pub const BLOCK_DURATION: Millis = Millis(10 * 60 * 1000);

/// The number of strikes that blocks a fingerprint. A single broken connection may
/// have a cause other than the request.
const BLOCK_THRESHOLD: u32 = 2;

/// The retry delay for a request that is refused because the trial of its
/// fingerprint is running.
const TRIAL_RETRY_DELAY: Millis = Millis(500);

/// The decision whether a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run, and may be hedged if its route allows that.
    Unrestricted,
    /// The request may run, but without a hedge and without other requests of its
    /// fingerprint at the same time. The entry must call [`StrikeTable::end_trial`]
    /// when it has ended.
    Trial,
    /// The request is refused.
    Refused(Refusal),
}

/// A message to other entries with the strikes against a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StrikeNotice {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// All strikes that the sender knows.
    pub counter: StrikeCounter,
    /// The time since the latest strike.
    pub age: Millis,
}

/// The result of merging the notices of a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Merged {
    /// The notices with strikes that were not known here.
    pub fresh: Vec<StrikeNotice>,
    /// What the peer lacks.
    pub lacking: Vec<StrikeNotice>,
}

#[derive(Debug, Default)]
struct StrikeRecord {
    counter: StrikeCounter,
    latest: Millis,
    trial: bool,
}

impl StrikeRecord {
    /// Clears the strikes if they have expired. All of them expire together, so a
    /// block lasts for its full duration after the latest one.
    fn refresh(&mut self, now: Millis) {
        if self.latest + BLOCK_DURATION <= now {
            self.counter.clear();
        }
    }
}

/// The strikes against all fingerprints that are known to one entry.
///
/// The number of fingerprints is bounded. When the table is full, the fingerprint
/// with the fewest strikes is evicted, and among equals the one whose latest
/// strike is oldest. A caller that causes failures with many different requests
/// therefore cannot unblock a request that crashes targets, unless each of the
/// others crashes two targets.
#[derive(Debug)]
pub struct StrikeTable {
    local: Member,
    capacity: usize,
    /// The greatest total of this member in a record that was removed. New counts
    /// of this member start at it.
    floor: u32,
    records: HashMap<Fingerprint, StrikeRecord>,
}

impl StrikeTable {
    /// Returns an empty table for up to `capacity` fingerprints.
    #[must_use]
    pub fn new(local: Member, capacity: usize) -> Self {
        Self {
            local,
            capacity: capacity.max(1),
            floor: 0,
            records: HashMap::new(),
        }
    }

    /// Returns the number of fingerprints in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no fingerprints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of active strikes against a fingerprint.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint, now: Millis) -> u32 {
        let record = self.records.get(&fingerprint);
        let live = record.filter(|s| s.latest + BLOCK_DURATION > now);
        live.map_or(0, |s| s.counter.active())
    }

    /// Decides whether a request may run. It must be called again before each retry.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Millis) -> Admission {
        let count = self.count(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Unrestricted;
        };
        if count == 0 {
            return Admission::Unrestricted;
        }
        if count >= BLOCK_THRESHOLD {
            let detail = format!("the request broke {count} connections to targets");
            let left = record.latest + BLOCK_DURATION - now;
            return Admission::Refused(
                Refusal::not_run(Code::RequestBlocked, detail).retry_after(left),
            );
        }
        if record.trial {
            let detail = "the request broke the connection to a target and is being tried again";
            let refusal =
                Refusal::not_run(Code::RequestBlocked, detail).retry_after(TRIAL_RETRY_DELAY);
            return Admission::Refused(refusal);
        }
        record.trial = true;
        Admission::Trial
    }

    /// Returns whether a second copy of a running request may be sent.
    #[must_use]
    pub fn may_hedge(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.count(fingerprint, now) == 0
    }

    /// Ends a trial. If the request failed with a strike, the strike must be recorded
    /// before.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial = false;
        }
    }

    /// Records a strike of this entry. The returned notice must be sent to the peers
    /// before the caller gets its response.
    pub fn record_strike(&mut self, fingerprint: Fingerprint, now: Millis) -> StrikeNotice {
        self.evict_if_full(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        record.refresh(now);
        record.counter.record_strike(&self.local, self.floor);
        record.latest = now;
        new_notice(fingerprint, record, now)
    }

    /// Merges the strikes of a peer. Returns the result as the reply to the peer, if
    /// it differs from what the peer sent.
    pub fn merge(&mut self, notice: &StrikeNotice, now: Millis) -> Option<StrikeNotice> {
        let known = self.records.contains_key(&notice.fingerprint);
        if notice.age >= BLOCK_DURATION || (!known && notice.counter.counts().next().is_none()) {
            return None;
        }
        self.evict_if_full(notice.fingerprint);
        let record = self.records.entry(notice.fingerprint).or_default();
        record.refresh(now);
        if record.counter.merge(&notice.counter) {
            record.latest = record.latest.max(now - notice.age);
        }
        (record.counter != notice.counter).then(|| new_notice(notice.fingerprint, record, now))
    }

    /// Merges the strikes of a peer against any number of fingerprints.
    pub fn merge_all(&mut self, notices: &[StrikeNotice], now: Millis) -> Merged {
        let mut merged = Merged::default();
        for notice in notices {
            let before = self.count(notice.fingerprint, now);
            merged.lacking.extend(self.merge(notice, now));
            if self.count(notice.fingerprint, now) > before {
                merged.fresh.push(notice.clone());
            }
        }
        merged
    }

    /// Returns whether the strikes against a fingerprint block it.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.count(fingerprint, now) >= BLOCK_THRESHOLD
    }

    /// Returns the number of fingerprints that are blocked.
    #[must_use]
    pub fn blocked_count(&self, now: Millis) -> usize {
        let blocked = self.records.keys().filter(|f| self.is_blocked(**f, now));
        blocked.count()
    }

    /// Clears the strikes against a fingerprint, at an operator's request or because
    /// a trial succeeded. The returned notice must be sent to the peers.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> Option<StrikeNotice> {
        let record = self.records.get_mut(&fingerprint)?;
        record.counter.clear();
        Some(new_notice(fingerprint, record, now))
    }

    /// Returns up to `max` notices for the periodic exchange between peers, sorted by
    /// fingerprint and starting after the fingerprint `after`.
    #[must_use]
    pub fn page(&self, after: Option<Fingerprint>, max: usize, now: Millis) -> Vec<StrikeNotice> {
        let mut next: BTreeSet<Fingerprint> = BTreeSet::new();
        for (fingerprint, record) in &self.records {
            let live = record.latest + BLOCK_DURATION > now;
            if live && after.is_none_or(|a| a < *fingerprint) {
                next.insert(*fingerprint);
            }
            if next.len() > max {
                next.pop_last();
            }
        }
        let known = next.into_iter();
        known
            .filter_map(|f| self.records.get(&f).map(|s| new_notice(f, s, now)))
            .collect()
    }

    /// Removes fingerprints whose strikes have expired.
    pub fn tick(&mut self, now: Millis) {
        let expired = |s: &StrikeRecord| !s.trial && s.latest + BLOCK_DURATION <= now;
        let old = self.records.iter().filter(|(_, s)| expired(s));
        let old: Vec<Fingerprint> = old.map(|(f, _)| *f).collect();
        for fingerprint in old {
            self.forget(fingerprint);
        }
    }

    fn forget(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.floor = self.floor.max(record.counter.total(&self.local));
        }
    }

    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < self.capacity || self.records.contains_key(&fingerprint) {
            return;
        }
        let evicted = self
            .records
            .iter()
            .min_by_key(|(f, s)| (s.counter.active().min(BLOCK_THRESHOLD), s.latest, **f));
        if let Some(fingerprint) = evicted.map(|(f, _)| *f) {
            self.forget(fingerprint);
        }
    }
}

fn new_notice(fingerprint: Fingerprint, record: &StrikeRecord, now: Millis) -> StrikeNotice {
    StrikeNotice {
        fingerprint,
        counter: record.counter.clone(),
        age: now - record.latest,
    }
}
