//! Applies records and suspicions to the view.

use super::{
    event::EventKind,
    members::{DEAD_RETENTION, Members, TrackedMember},
    queue::Urgency,
    record::{Member, State},
};
use crate::domain::{EntryId, Millis};

impl Members {
    /// Handles a record about this entry itself: refutes it if it would
    /// supersede the entry's own, and reports a later incarnation.
    pub(super) fn refute(&mut self, now: Millis, update: &Member) {
        let id = self.local.id.clone();
        if update.incarnation > self.local.incarnation {
            self.record_event(now, &id, EventKind::Superseded(update.incarnation));
        } else if update.supersedes(&self.local) {
            self.local.version = update.version;
            self.issue_version(Urgency::High);
            self.push = true;
            self.record_event(now, &id, EventKind::Refuted);
        }
    }

    /// Issues the next version of this entry's record.
    pub(super) fn issue_version(&mut self, urgency: Urgency) {
        self.local.version = self.local.version.next();
        let id = self.local.id.clone();
        self.queue.push(&id, urgency);
    }

    /// Adds a member with its first record. A dead member is added as well, so
    /// that an older record that arrives later does not revive it.
    pub(super) fn add_member(&mut self, now: Millis, update: Member) {
        let id = update.id.clone();
        let (suspect, dead) = (update.state == State::Suspect, update.state == State::Dead);
        let tracked = TrackedMember {
            effective_state: update.state,
            record: update,
            deadline: suspect.then_some(now + self.tuning.suspicion_timeout),
            suspected_here: false,
            changed_at: now,
        };
        self.others.insert(id.clone(), tracked);
        self.probe_order.push(id.clone());
        self.queue.push(&id, Urgency::High);
        if !dead {
            self.record_event(now, &id, EventKind::Joined);
        }
    }

    /// Applies a record of a known member if it supersedes the current one.
    pub(super) fn replace(&mut self, now: Millis, update: Member) {
        let id = update.id.clone();
        let Some(tracked) = self.others.get_mut(&id) else {
            return;
        };
        if !update.supersedes(&tracked.record) {
            let live = update.state < State::Dead && tracked.effective_state == State::Dead;
            if live && update.incarnation == tracked.record.incarnation {
                // A peer considers the member live. Only the member itself can
                // settle this, by refuting the record that the probe carries.
                self.rechecks.insert(id);
            }
            return;
        }
        let restarted = update.incarnation > tracked.record.incarnation;
        let urgency = urgency(&tracked.record, &update);
        let before = tracked.effective_state;
        let deadline = now + self.tuning.suspicion_timeout;
        tracked.apply(update, deadline);
        let (after, incarnation) = (tracked.effective_state, tracked.record.incarnation);
        if before != after {
            tracked.changed_at = now;
        }
        self.queue.push(&id, urgency);
        // Members that did not receive the suspicion push the refutation as
        // well, since others may have received it. Without a restart, an urgent
        // record of a live member can only be a refutation.
        let refuted = urgency == Urgency::High && after == State::Alive && !restarted;
        let leaving = after == State::Leaving && before != State::Leaving;
        self.push |= refuted || leaving;
        if restarted {
            self.record_event(now, &id, EventKind::Restarted(incarnation));
        } else if let Some(kind) = change(before, after) {
            self.record_event(now, &id, kind);
        }
    }

    /// Handles direct contact with a member. If the member was considered dead
    /// or is unknown, the two views may differ widely, so they are compared.
    pub(super) fn note_contact(&mut self, from: &EntryId) {
        match self.others.get(from).map(|t| t.effective_state) {
            Some(State::Dead) => {
                self.rechecks.insert(from.clone());
                self.sync_peers.insert(from.clone());
            }
            None if *from != self.local.id => {
                self.sync_peers.insert(from.clone());
            }
            _ => {}
        }
    }

    /// Suspects a member that did not answer a probe.
    pub(super) fn suspect(&mut self, now: Millis, id: &EntryId) {
        let deadline = now + self.tuning.suspicion_timeout;
        let Some(tracked) = self.others.get_mut(id) else {
            return;
        };
        match tracked.record.state {
            State::Alive => {
                tracked.record.state = State::Suspect;
                tracked.effective_state = State::Suspect;
                tracked.changed_at = now;
                tracked.suspected_here = true;
                tracked.deadline = Some(deadline);
                self.queue.push(id, Urgency::High);
                self.record_event(now, id, EventKind::Suspected);
            }
            State::Leaving => {
                tracked.suspected_here = true;
                tracked.deadline.get_or_insert(deadline);
            }
            State::Suspect | State::Dead => {}
        }
    }

    /// Declares the members dead that did not refute a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Millis) {
        let due = |t: &TrackedMember| t.deadline.is_some_and(|at| now >= at);
        for id in self.ids_where(due) {
            if let Some(tracked) = self.others.get_mut(&id) {
                tracked.fail(now);
            }
            self.queue.push(&id, Urgency::High);
            self.record_event(now, &id, EventKind::Failed);
        }
    }

    /// Removes the members that have been dead for [`DEAD_RETENTION`].
    pub(super) fn reap_dead(&mut self, now: Millis) {
        let old = |t: &TrackedMember| {
            t.effective_state == State::Dead && now - t.changed_at >= DEAD_RETENTION
        };
        for id in self.ids_where(old) {
            self.forget(&id);
        }
    }

    fn ids_where(&self, test: impl Fn(&TrackedMember) -> bool) -> Vec<EntryId> {
        let found = self.others.iter().filter(|(_, t)| test(t));
        found.map(|(id, _)| id.clone()).collect()
    }
}

impl TrackedMember {
    fn apply(&mut self, update: Member, deadline: Millis) {
        self.record = update;
        match self.record.state {
            State::Alive | State::Leaving => {
                self.effective_state = self.record.state;
                self.deadline = None;
                self.suspected_here = false;
            }
            State::Suspect => {
                self.effective_state = State::Suspect;
                self.deadline.get_or_insert(deadline);
            }
            State::Dead if self.effective_state == State::Dead => {}
            State::Dead => {
                // The member stays in use until the deadline, so that it can
                // refute the report.
                if self.effective_state == State::Alive {
                    self.effective_state = State::Suspect;
                }
                self.deadline.get_or_insert(deadline);
            }
        }
    }

    fn fail(&mut self, now: Millis) {
        self.record.state = State::Dead;
        self.effective_state = State::Dead;
        self.deadline = None;
        self.suspected_here = false;
        self.changed_at = now;
    }
}

/// Returns the urgency of `new`, which is low if only the load changed.
fn urgency(old: &Member, new: &Member) -> Urgency {
    let same = old.state == new.state && old.incarnation == new.incarnation;
    if same && old.load != new.load {
        Urgency::Low
    } else {
        Urgency::High
    }
}

fn change(before: State, after: State) -> Option<EventKind> {
    match (before, after) {
        (State::Dead, State::Alive) => Some(EventKind::Returned),
        (State::Suspect, State::Alive) => Some(EventKind::Recovered),
        (a, State::Suspect) if a != State::Suspect => Some(EventKind::Suspected),
        (a, State::Leaving) if a != State::Leaving => Some(EventKind::Leaving),
        _ => None,
    }
}
