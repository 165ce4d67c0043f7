//! Keeps what an entry knows after the store has come back from an older copy.
//!
//! The copy lacks what was written after it, and contains what was removed after
//! it. The operator, the targets and the entries write again what holds. So what a
//! complete read or a difference says about an item counts only if the item was
//! written after the copy, as far as that can be told, or if it was not written
//! again in time. Single changes in the new era count at once. See
//! [docs/design.md](../../../../../docs/design.md), section 7.

use crate::{
    domain::{AzName, EntryId, InstanceId, Millis},
    policy::upstream::Deferred,
    ports::Change,
};

use super::{State, apply::Scope};

/// How long a target is kept that the copy lacks. A live one registers again within
/// about two seconds.
const TARGET_HOLD: Millis = Millis(2_000);

/// How long an entry is kept that the copy lacks. Entries announce themselves again
/// within the second in which they renew their lease and the time over which they
/// spread their writes.
const ENTRY_HOLD: Millis = Millis(4_000);

/// How long an evacuation is kept that the copy lacks. It is longer, because an
/// evacuation that lasts too long costs some capacity, and one that ends too early
/// sends requests to a zone that must not get any.
const EVACUATION_HOLD: Millis = Millis(10_000);

/// An item that a change concerns.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ItemKey {
    Entry(EntryId),
    Evacuation(AzName),
    Target(InstanceId),
}

/// What becomes of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decision {
    /// It takes effect now.
    Apply,
    /// It takes effect now, in place of a deferred one. Other entries need it even
    /// if it changes nothing, because they have deferred that one, too.
    Replace,
    /// It takes effect at the end of the time in which it may be written again.
    /// Other entries need it: they defer it themselves.
    Defer,
    /// It is a state of before the copy, and a later one is known.
    Drop,
}

/// The time after the begin of an era in which an entry keeps what it knows.
#[derive(Debug, Default)]
pub(super) struct Hold {
    /// The instant as of which the store was first known to be in the era, none
    /// after the end of the hold.
    begin: Option<Millis>,
    deferred: Deferred<ItemKey, Change>,
}

impl Hold {
    /// Begins with a new era, which the store was in at the instant `at`.
    pub(super) fn begin(&mut self, at: Millis) {
        self.begin = Some(at);
        self.deferred.clear();
    }

    /// Decides about a change of a batch with the given scope.
    pub(super) fn decide(
        &mut self,
        state: &State,
        now: Millis,
        change: &Change,
        scope: Scope,
    ) -> Decision {
        // A target that is there after all says so with its next heartbeat.
        if scope == Scope::Complete && was_removed(state, change) {
            return Decision::Drop;
        }
        let Some(begin) = self.begin else {
            return Decision::Apply;
        };
        let Some((key, hold)) = item(change) else {
            return Decision::Apply;
        };
        let due = begin + hold;
        let in_hold = now < due;
        if in_hold && is_superseded(state, change) {
            return Decision::Drop;
        }
        if in_hold && scope != Scope::Changes && is_doubtful(state, change) {
            self.deferred.put(key, due, change.clone());
            return Decision::Defer;
        }
        if self.deferred.cancel(&key) {
            Decision::Replace
        } else {
            Decision::Apply
        }
    }

    /// Returns the deferred changes that take effect now.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Change> {
        self.deferred.take_due(now)
    }

    /// Returns the number of deferred changes.
    pub(super) fn deferred(&self) -> usize {
        self.deferred.len()
    }

    /// Ends the hold if nothing is deferred and registrations of before the copy are
    /// no longer expected. Returns whether it has ended now.
    pub(super) fn end(&mut self, now: Millis) -> bool {
        let is_over = |begin| begin + TARGET_HOLD.max(ENTRY_HOLD) <= now;
        let ends = self.deferred.is_empty() && self.begin.is_some_and(is_over);
        if ends {
            self.begin = None;
        }
        ends
    }
}

/// Returns the item that a change concerns and how long it is kept. A configuration
/// needs no hold, because only a greater version takes effect.
fn item(change: &Change) -> Option<(ItemKey, Millis)> {
    match change {
        Change::Evacuated(az) | Change::Restored(az) => {
            Some((ItemKey::Evacuation(az.clone()), EVACUATION_HOLD))
        }
        Change::Registered(instance) => Some((ItemKey::Target(instance.id.clone()), TARGET_HOLD)),
        Change::Unregistered(id) => Some((ItemKey::Target(id.clone()), TARGET_HOLD)),
        Change::Joined(presence) => Some((ItemKey::Entry(presence.name.clone()), ENTRY_HOLD)),
        Change::Left(name) => Some((ItemKey::Entry(name.clone()), ENTRY_HOLD)),
        Change::Configured(_) | Change::Unreadable { .. } => None,
    }
}

/// Returns whether a registration is one of before the copy: in the former era the
/// target has registered a later state, or was removed with this or a later one.
fn is_superseded(state: &State, change: &Change) -> bool {
    match change {
        Change::Registered(instance) => state.registry().is_superseded(instance),
        _ => false,
    }
}

/// Returns whether a registration is of a target that was removed in a former era.
fn was_removed(state: &State, change: &Change) -> bool {
    match change {
        Change::Registered(instance) => state.registry().was_removed(instance),
        _ => false,
    }
}

/// Returns whether the comparison with a copy does not show that a change holds.
pub(in crate::app::gateway) fn is_doubtful(state: &State, change: &Change) -> bool {
    match change {
        Change::Restored(az) => state.evacuated().contains(az),
        Change::Unregistered(id) => state.registry().contains(id),
        Change::Left(name) => state.entries().is_active(name),
        // Its announcement may be in the copy only.
        Change::Joined(presence) => state.entries().has_departed(&presence.name),
        _ => false,
    }
}
