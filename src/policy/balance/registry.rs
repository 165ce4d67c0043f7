//! Which targets are registered.
//!
//! The store's word is final but for one case: entries lapse while the store is
//! away, and live targets register again right after its return. When a large
//! part of the targets vanishes right after an outage, those that vanish stay for
//! a short grace time. A few that vanish have left, also after an outage: only
//! this entry may have been cut off. See
//! [docs/platform.md](../../../docs/platform.md).

use std::collections::HashMap;

use crate::domain::{Instance, InstanceId, InstanceState, Millis};

/// How long a live target takes at most to register again after an outage.
const GRACE: Millis = Millis(2_000);

/// A silence of the store that counts as an outage. Entries lapse after three
/// heartbeats at the earliest.
const OUTAGE: Millis = Millis(2_500);

/// The part of the targets that vanishes when entries lapse.
const LAPSED_PART: f64 = 0.3;

/// What becomes of one target.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It is there with this state.
    Put(Instance),
    /// It is gone.
    Remove(Instance),
}

/// The registered targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    known: HashMap<InstanceId, Instance>,
    /// Targets that vanished after an outage, with the instant until which they
    /// may register again.
    missing: HashMap<InstanceId, Millis>,
    lenient: Millis,
    heard: Option<Millis>,
}

impl Registry {
    /// Notes that the store answered.
    pub fn heard(&mut self, now: Millis) {
        if self.heard.is_some_and(|at| now - at >= OUTAGE) {
            self.lenient = now + GRACE;
        }
        self.heard = Some(now);
    }

    /// Adopts a registration, unless it is older than the known one. A mere
    /// heartbeat leads to no step.
    pub fn put(&mut self, instance: Instance) -> Option<Step> {
        let known = self.known.get(&instance.id);
        if known.is_some_and(|k| (instance.started_at, instance.seq) < (k.started_at, k.seq)) {
            return None;
        }
        let same = known.is_some_and(|k| k.is_unchanged_in(&instance));
        // Others that were told that it is gone have to learn that it is back.
        let back = self.missing.remove(&instance.id).is_some();
        self.known.insert(instance.id.clone(), instance.clone());
        (back || !same).then_some(Step::Put(instance))
    }

    /// Returns the registered targets.
    pub fn targets(&self) -> impl Iterator<Item = &Instance> {
        self.known.values()
    }

    /// Removes a target whose entry is gone.
    pub fn remove(&mut self, now: Millis, id: &InstanceId) -> Option<Step> {
        let ready = self.known.get(id)?.state == InstanceState::Ready;
        if ready && now < self.lenient {
            self.missing.entry(id.clone()).or_insert(self.lenient);
            return None;
        }
        self.missing.remove(id);
        self.known.remove(id).map(Step::Remove)
    }

    /// Removes the targets that a complete list does not contain.
    pub fn retain(&mut self, now: Millis, listed: impl Fn(&InstanceId) -> bool) -> Vec<Step> {
        let gone = self.known.keys().filter(|id| !listed(id));
        let gone: Vec<InstanceId> = gone.cloned().collect();
        gone.iter().filter_map(|id| self.remove(now, id)).collect()
    }

    /// Removes the targets that are missing and have no grace time, or whose
    /// grace time has ended. It must be called after all changes of one answer of
    /// the store have been put in.
    pub fn expire(&mut self, now: Millis) -> Vec<Step> {
        #[expect(clippy::cast_precision_loss)]
        let part = self.missing.len() as f64 / self.known.len().max(1) as f64;
        let due = |until: Millis| until <= now || part < LAPSED_PART;
        let due = self.missing.iter().filter(|(_, until)| due(**until));
        let due: Vec<InstanceId> = due.map(|(id, _)| id.clone()).collect();
        let gone = due.into_iter().filter_map(|id| {
            self.missing.remove(&id);
            self.known.remove(&id).map(Step::Remove)
        });
        gone.collect()
    }

    /// Returns how many targets are registered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether no target is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
