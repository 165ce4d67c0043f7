//! The registered targets of all services.
//!
//! The registry follows the store with one exception: registrations expire
//! during an outage of the store, and live targets register again right after
//! it. If a large fraction of the targets disappears right after an outage,
//! they are kept for a short grace period. If only a few disappear they have
//! left, also after an outage: it may have been only this entry that lost its
//! connection. See [docs/platform.md](../../../docs/platform.md).

use std::collections::HashMap;

use crate::domain::{Instance, InstanceId, InstanceState, Millis, ServiceName};

/// The longest time that a live target takes to register again after an outage.
const GRACE_PERIOD: Millis = Millis(2_000);

/// The shortest time without an answer from the store that counts as an outage.
/// Registrations expire after three missed heartbeats at the earliest.
const OUTAGE_MIN: Millis = Millis(2_500);

/// The fraction of missing targets from which they are taken for expired, not
/// for stopped.
const MASS_EXPIRY_FRACTION: f64 = 0.3;

/// How long the last state of a removed target is remembered. A store that comes
/// back from an older copy lists the targets that were removed after it.
const REMOVED_RETENTION: Millis = Millis(60_000);

/// A change of one target.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// It was added, updated or has returned.
    Put(Instance),
    /// It was registered for another service, the first one, until now.
    Move(ServiceName, Instance),
    /// It was removed.
    Remove(Instance),
}

/// The registered targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    registered: HashMap<InstanceId, Instance>,
    /// Targets that disappeared after an outage, each with the end of its grace
    /// period. They are in `registered` as well.
    missing: HashMap<InstanceId, Millis>,
    /// The last states of the targets that were removed lately, each with the
    /// instant of the removal.
    removed: HashMap<InstanceId, (Millis, Instance)>,
    /// The end of the grace period after the last outage.
    grace_until: Millis,
    /// The instant of the last answer from the store.
    last_answer: Option<Millis>,
}

impl Registry {
    /// Records that the store answered.
    pub fn record_answer(&mut self, now: Millis) {
        if self.last_answer.is_some_and(|at| now - at >= OUTAGE_MIN) {
            self.grace_until = now + GRACE_PERIOD;
        }
        self.last_answer = Some(now);
        self.removed
            .retain(|_, (at, _)| now < *at + REMOVED_RETENTION);
    }

    /// Returns whether a registration is older than what was known of the target in
    /// a former era of the store, by the target's own numbers: the target has
    /// registered a later state there, or it was removed with this or a later one.
    #[must_use]
    pub fn is_superseded(&self, instance: &Instance) -> bool {
        let is_former = |known: &Instance| known.position.era < instance.position.era;
        let known = self.registered.get(&instance.id);
        let removed = self.removed.get(&instance.id).map(|(_, last)| last);
        known.is_some_and(|k| is_former(k) && instance.precedes(k))
            || removed.is_some_and(|r| is_former(r) && !r.precedes(instance))
    }

    /// Returns whether this start of a target was removed in a former era of the
    /// store. The last sequence number before its removal is not known to an entry
    /// that follows another one, because heartbeats are not passed on.
    #[must_use]
    pub fn was_removed(&self, instance: &Instance) -> bool {
        let removed = self.removed.get(&instance.id).map(|(_, last)| last);
        removed.is_some_and(|r| {
            r.position.era < instance.position.era && r.started_at >= instance.started_at
        })
    }

    /// Applies a registration, unless it is older than the known one. A
    /// heartbeat without other changes returns none.
    pub fn put(&mut self, instance: Instance) -> Option<RegistryChange> {
        let known = self.registered.get(&instance.id);
        if known.is_some_and(|k| instance.is_older_than(k)) {
            return None;
        }
        let same = known.is_some_and(|k| k.is_unchanged_in(&instance));
        let old_service = known.map(|k| k.service.clone());
        self.removed.remove(&instance.id);
        // Entries that were told of its removal must learn that it is back.
        let returned = self.missing.remove(&instance.id).is_some();
        self.registered
            .insert(instance.id.clone(), instance.clone());
        match old_service {
            Some(from) if from != instance.service => Some(RegistryChange::Move(from, instance)),
            _ => (returned || !same).then_some(RegistryChange::Put(instance)),
        }
    }

    /// Returns the registered targets.
    pub fn targets(&self) -> impl Iterator<Item = &Instance> {
        self.registered.values()
    }

    /// Removes a target whose registration is gone, or marks it as missing
    /// during the grace period.
    pub fn remove(&mut self, now: Millis, id: &InstanceId) -> Option<RegistryChange> {
        let ready = self.registered.get(id)?.state == InstanceState::Ready;
        if ready && now < self.grace_until {
            self.missing.entry(id.clone()).or_insert(self.grace_until);
            return None;
        }
        self.withdraw(id)
    }

    /// Removes a target whose registration is there but cannot be read, so that
    /// nothing says that the target is ready. The grace period does not apply: it
    /// is for registrations that have expired.
    pub fn withdraw(&mut self, id: &InstanceId) -> Option<RegistryChange> {
        self.missing.remove(id);
        let instance = self.registered.remove(id)?;
        let at = self.last_answer.unwrap_or_default();
        self.removed.insert(id.clone(), (at, instance.clone()));
        Some(RegistryChange::Remove(instance))
    }

    /// Removes the missing targets that are too few for a mass expiry, or whose
    /// grace period has ended. It must be called after all changes from one
    /// answer of the store have been applied.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<RegistryChange> {
        #[expect(clippy::cast_precision_loss)]
        let missing_fraction = self.missing.len() as f64 / self.registered.len().max(1) as f64;
        let is_due =
            |grace_until: Millis| grace_until <= now || missing_fraction < MASS_EXPIRY_FRACTION;
        let due = self
            .missing
            .iter()
            .filter(|(_, grace_until)| is_due(**grace_until));
        let due: Vec<InstanceId> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.withdraw(id)).collect()
    }

    /// Returns whether a target is registered.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.registered.contains_key(id)
    }

    /// Returns the number of registered targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.registered.len()
    }

    /// Returns whether no target is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }
}
