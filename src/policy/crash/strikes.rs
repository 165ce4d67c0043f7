//! The strikes against all fingerprints.

use std::collections::{BTreeSet, HashMap};

use super::Tally;
use crate::{
    domain::Millis,
    policy::{
        once::{Fingerprint, Member},
        refusal::{Code, Refusal},
    },
};

/// How long strikes count after the latest one.
pub const BLOCK: Millis = Millis(10 * 60 * 1000);

/// The number of strikes that blocks a fingerprint. The first one may have
/// another cause than the request.
const STRIKES: u32 = 2;

/// When to try again while another request with one strike is running.
const TRIAL_RETRY: Millis = Millis(500);

/// Whether a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run, and may be hedged if its route allows that.
    Free,
    /// It may run alone and without a hedge. The entry must call
    /// [`Strikes::end_trial`] when it has ended.
    Trial,
    /// It is refused.
    Refused(Refusal),
}

/// Notice of strikes against a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Strike {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// All strikes that the sender knows.
    pub tally: Tally,
    /// The time since the latest strike.
    pub age: Millis,
}

#[derive(Debug, Default)]
struct Suspect {
    tally: Tally,
    latest: Millis,
    trial: bool,
}

impl Suspect {
    /// Clears the strikes at the end of the block. All of them expire together,
    /// so the block lasts its full time from the latest one.
    fn refresh(&mut self, now: Millis) {
        if self.latest + BLOCK <= now {
            self.tally.clear();
        }
    }
}

/// The strikes against all fingerprints, as one entry knows them.
///
/// The number of fingerprints is bounded. When the table is full, the
/// fingerprint with the fewest strikes is evicted, and of several the one whose
/// latest strike is oldest. A caller that produces many different failures thus
/// cannot unblock one that is known to crash targets, as long as it does not
/// crash two targets for each of them.
#[derive(Debug)]
pub struct Strikes {
    me: Member,
    capacity: usize,
    /// The greatest total of this member that it has forgotten.
    floor: u32,
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Strikes {
    /// Returns an empty table for up to `capacity` fingerprints.
    #[must_use]
    pub fn new(me: Member, capacity: usize) -> Self {
        Self {
            me,
            capacity: capacity.max(1),
            floor: 0,
            suspects: HashMap::new(),
        }
    }

    /// Returns the number of fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there is no fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the strikes against a fingerprint.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint, now: Millis) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        let live = suspect.filter(|s| s.latest + BLOCK > now);
        live.map_or(0, |s| s.tally.open())
    }

    /// Decides whether a request may run. It must be asked again before each
    /// retry.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Millis) -> Admission {
        let count = self.count(fingerprint, now);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Admission::Free;
        };
        if count == 0 {
            return Admission::Free;
        }
        if count >= STRIKES {
            let detail = format!("the request broke {count} connections to targets");
            let left = suspect.latest + BLOCK - now;
            return Admission::Refused(
                Refusal::not_run(Code::RequestBlocked, detail).retry_after(left),
            );
        }
        if suspect.trial {
            let detail = "the request broke the connection of a target and is being tried again";
            let refusal = Refusal::not_run(Code::RequestBlocked, detail).retry_after(TRIAL_RETRY);
            return Admission::Refused(refusal);
        }
        suspect.trial = true;
        Admission::Trial
    }

    /// Returns whether a second copy of a running request may be sent.
    #[must_use]
    pub fn may_hedge(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.count(fingerprint, now) == 0
    }

    /// Ends a trial, however it went. A failure must be counted before.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trial = false;
        }
    }

    /// Counts a strike of this entry. The result is pushed to all peers before
    /// the caller gets its response.
    pub fn strike(&mut self, fingerprint: Fingerprint, now: Millis) -> Strike {
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.refresh(now);
        suspect.tally.strike(&self.me, self.floor);
        suspect.latest = now;
        notice(fingerprint, suspect, now)
    }

    /// Merges the strikes that a peer knows. Returns what this entry knows
    /// beyond them, which is the reply to the peer.
    pub fn merge(&mut self, strike: &Strike, now: Millis) -> Option<Strike> {
        let known = self.suspects.contains_key(&strike.fingerprint);
        if strike.age >= BLOCK || (!known && strike.tally.counts().next().is_none()) {
            return None;
        }
        self.make_room(strike.fingerprint);
        let suspect = self.suspects.entry(strike.fingerprint).or_default();
        suspect.refresh(now);
        if suspect.tally.merge(&strike.tally) {
            suspect.latest = suspect.latest.max(now - strike.age);
        }
        (suspect.tally != strike.tally).then(|| notice(strike.fingerprint, suspect, now))
    }

    /// Clears a fingerprint at an operator's request, or because a trial
    /// succeeded. The result is pushed to all peers.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> Option<Strike> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        suspect.tally.clear();
        Some(notice(fingerprint, suspect, now))
    }

    /// Returns up to `max` notices for the periodic exchange between peers,
    /// beginning after `after` in the order of fingerprints.
    #[must_use]
    pub fn page(&self, after: Option<Fingerprint>, max: usize, now: Millis) -> Vec<Strike> {
        let mut next: BTreeSet<Fingerprint> = BTreeSet::new();
        for (fingerprint, suspect) in &self.suspects {
            let live = suspect.latest + BLOCK > now;
            if live && after.is_none_or(|a| a < *fingerprint) {
                next.insert(*fingerprint);
            }
            if next.len() > max {
                next.pop_last();
            }
        }
        let known = next.into_iter();
        known
            .filter_map(|f| self.suspects.get(&f).map(|s| notice(f, s, now)))
            .collect()
    }

    /// Removes fingerprints whose strikes have expired.
    pub fn tick(&mut self, now: Millis) {
        let expired = |s: &Suspect| !s.trial && s.latest + BLOCK <= now;
        let old = self.suspects.iter().filter(|(_, s)| expired(s));
        let old: Vec<Fingerprint> = old.map(|(f, _)| *f).collect();
        for fingerprint in old {
            self.forget(fingerprint);
        }
    }

    fn forget(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.remove(&fingerprint) {
            self.floor = self.floor.max(suspect.tally.total(&self.me));
        }
    }

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < self.capacity || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(f, s)| (s.tally.open().min(STRIKES), s.latest, **f));
        if let Some(fingerprint) = least.map(|(f, _)| *f) {
            self.forget(fingerprint);
        }
    }
}

fn notice(fingerprint: Fingerprint, suspect: &Suspect, now: Millis) -> Strike {
    Strike {
        fingerprint,
        tally: suspect.tally.clone(),
        age: now - suspect.latest,
    }
}
