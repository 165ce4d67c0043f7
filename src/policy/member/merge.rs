//! How records change the view.

use super::{
    event::EventKind,
    members::{DEAD_RETENTION, Entry, Members},
    queue::Urgency,
    record::{Member, State},
};
use crate::domain::{EntryId, Millis};

impl Members {
    /// Takes a record about this entry itself.
    pub(super) fn refute(&mut self, now: Millis, update: &Member) {
        let id = self.me.id.clone();
        if update.incarnation > self.me.incarnation {
            self.note(now, &id, EventKind::Superseded(update.incarnation));
        } else if update.supersedes(&self.me) {
            self.me.version = update.version;
            self.issue(Urgency::High);
            self.push = true;
            self.note(now, &id, EventKind::Refuted);
        }
    }

    /// Issues the next version of this entry's record.
    pub(super) fn issue(&mut self, urgency: Urgency) {
        self.me.version = self.me.version.next();
        let id = self.me.id.clone();
        self.queue.push(&id, urgency);
    }

    /// Takes the first record of a member. That of a dead one is kept as well,
    /// so that an older record which arrives later does not revive it.
    pub(super) fn admit(&mut self, now: Millis, update: Member) {
        let id = update.id.clone();
        let (suspect, dead) = (update.state == State::Suspect, update.state == State::Dead);
        let entry = Entry {
            view: update.state,
            record: update,
            deadline: suspect.then_some(now + self.tuning.suspicion),
            mine: false,
            since: now,
        };
        self.others.insert(id.clone(), entry);
        self.order.push(id.clone());
        self.queue.push(&id, Urgency::High);
        if !dead {
            self.note(now, &id, EventKind::Joined);
        }
    }

    /// Takes a further record of a member.
    pub(super) fn replace(&mut self, now: Millis, update: Member) {
        let id = update.id.clone();
        let Some(entry) = self.others.get_mut(&id) else {
            return;
        };
        if !update.supersedes(&entry.record) {
            let live = update.state < State::Dead && entry.view == State::Dead;
            if live && update.incarnation == entry.record.incarnation {
                // A peer still uses it. Only the member itself can tell, by
                // refuting the record with which it is probed.
                self.rechecks.insert(id);
            }
            return;
        }
        let restarted = update.incarnation > entry.record.incarnation;
        let urgency = urgency(&entry.record, &update);
        let before = entry.view;
        let deadline = now + self.tuning.suspicion;
        entry.apply(update, deadline);
        let (after, life) = (entry.view, entry.record.incarnation);
        if before != after {
            entry.since = now;
        }
        self.queue.push(&id, urgency);
        // A refutation is also passed on by members that missed the suspicion,
        // since others may have heard of it. No other record of a live member
        // is as urgent without a restart.
        let refuted = urgency == Urgency::High && after == State::Alive && !restarted;
        let leaving = after == State::Leaving && before != State::Leaving;
        self.push |= refuted || leaving;
        if restarted {
            self.note(now, &id, EventKind::Restarted(life));
        } else if let Some(kind) = change(before, after) {
            self.note(now, &id, kind);
        }
    }

    /// Notes direct contact with a member. If it was held dead or is unknown,
    /// the two views may be far apart and are compared.
    pub(super) fn contact(&mut self, from: &EntryId) {
        match self.others.get(from).map(|e| e.view) {
            Some(State::Dead) => {
                self.rechecks.insert(from.clone());
                self.syncs.insert(from.clone());
            }
            None if *from != self.me.id => {
                self.syncs.insert(from.clone());
            }
            _ => {}
        }
    }

    /// Starts the suspicion of a member that did not answer.
    pub(super) fn suspect(&mut self, now: Millis, id: &EntryId) {
        let deadline = now + self.tuning.suspicion;
        let Some(entry) = self.others.get_mut(id) else {
            return;
        };
        match entry.record.state {
            State::Alive => {
                entry.record.state = State::Suspect;
                entry.view = State::Suspect;
                entry.since = now;
                entry.mine = true;
                entry.deadline = Some(deadline);
                self.queue.push(id, Urgency::High);
                self.note(now, id, EventKind::Suspected);
            }
            State::Leaving => {
                entry.mine = true;
                entry.deadline.get_or_insert(deadline);
            }
            State::Suspect | State::Dead => {}
        }
    }

    /// Declares members dead whose suspicion was not refuted in time.
    pub(super) fn expire(&mut self, now: Millis) {
        let due = |e: &Entry| e.deadline.is_some_and(|at| now >= at);
        for id in self.ids_where(due) {
            if let Some(entry) = self.others.get_mut(&id) {
                entry.fail(now);
            }
            self.queue.push(&id, Urgency::High);
            self.note(now, &id, EventKind::Failed);
        }
    }

    /// Forgets members that have been dead for long.
    pub(super) fn forget_old(&mut self, now: Millis) {
        let old = |e: &Entry| e.view == State::Dead && now - e.since >= DEAD_RETENTION;
        for id in self.ids_where(old) {
            self.forget(&id);
        }
    }

    fn ids_where(&self, test: impl Fn(&Entry) -> bool) -> Vec<EntryId> {
        let found = self.others.iter().filter(|(_, e)| test(e));
        found.map(|(id, _)| id.clone()).collect()
    }
}

impl Entry {
    fn apply(&mut self, update: Member, deadline: Millis) {
        self.record = update;
        match self.record.state {
            State::Alive | State::Leaving => {
                self.view = self.record.state;
                self.deadline = None;
                self.mine = false;
            }
            State::Suspect => {
                self.view = State::Suspect;
                self.deadline.get_or_insert(deadline);
            }
            State::Dead if self.view == State::Dead => {}
            State::Dead => {
                // The view stays until the deadline, so that the member can
                // refute first.
                if self.view == State::Alive {
                    self.view = State::Suspect;
                }
                self.deadline.get_or_insert(deadline);
            }
        }
    }

    fn fail(&mut self, now: Millis) {
        self.record.state = State::Dead;
        self.view = State::Dead;
        self.deadline = None;
        self.mine = false;
        self.since = now;
    }
}

/// A record that only reports another load is less urgent than the rest.
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
