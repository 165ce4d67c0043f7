//! Messages to homes that have to arrive.

use std::collections::VecDeque;

use super::{HomeSet, Member, Request};
use crate::domain::Millis;

/// The time after which a message is sent again: about two round trips between
/// regions.
const RESEND: Millis = Millis(150);

/// How long a message is kept. A home of a newer roster may copy a vote while
/// its release is under way; within this time all entries learn of the roster.
const KEEP: Millis = Millis(30_000);

/// Identifies a message in its outbox.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MessageId(pub u64);

#[derive(Debug)]
struct Item {
    id: MessageId,
    request: Request,
    /// The homes that have not acknowledged it.
    open: Vec<Member>,
    /// Those that have.
    done: Vec<Member>,
    started: Millis,
    sent: Option<Millis>,
}

/// Releases and answers on their way to the homes.
///
/// A lost release keeps its key in progress for the retention period, and a
/// lost answer cannot be repeated to callers. Neither is unsafe, so the outbox
/// is bounded: when it is full, the oldest message is dropped.
#[derive(Debug)]
pub struct Outbox {
    items: VecDeque<Item>,
    capacity: usize,
    next: u64,
}

impl Outbox {
    /// Returns an empty outbox for up to `capacity` messages.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            items: VecDeque::new(),
            capacity: capacity.max(1),
            next: 0,
        }
    }

    /// Returns the number of messages.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there is no message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds the messages of [`Claimant::release`](super::Claimant::release) or
    /// [`Claimant::finish`](super::Claimant::finish): one message to several
    /// members.
    pub fn push<T: Into<Request>>(&mut self, messages: Vec<(Member, T)>, now: Millis) {
        let (members, mut messages): (_, Vec<T>) = messages.into_iter().unzip();
        let Some(message) = messages.pop() else {
            return;
        };
        if self.items.len() == self.capacity {
            self.items.pop_front();
        }
        self.items.push_back(Item {
            id: MessageId(self.next),
            request: message.into(),
            open: members,
            done: Vec::new(),
            started: now,
            sent: None,
        });
        self.next += 1;
    }

    /// Returns the messages that are to be sent now, and drops old ones.
    pub fn due(&mut self, now: Millis) -> Vec<(MessageId, Member, Request)> {
        self.items.retain(|i| i.started + KEEP > now);
        let mut due = Vec::new();
        for item in &mut self.items {
            if item.sent.is_some_and(|s| s + RESEND > now) {
                continue;
            }
            item.sent = Some(now);
            let send = |m: &Member| (item.id, m.clone(), item.request.clone());
            due.extend(item.open.iter().map(send));
        }
        due
    }

    /// Notes that a home has handled a message.
    pub fn on_reply(&mut self, id: MessageId, home: &Member) {
        let Ok(index) = self.items.binary_search_by_key(&id, |i| i.id) else {
            return;
        };
        let item = &mut self.items[index];
        if let Some(place) = item.open.iter().position(|m| m == home) {
            item.done.push(item.open.swap_remove(place));
        }
    }

    /// Adds the homes of a newer roster to all messages.
    pub fn on_roster(&mut self, homes: impl Fn(&Request) -> HomeSet) {
        for item in &mut self.items {
            for member in homes(&item.request).members {
                if !item.open.contains(&member) && !item.done.contains(&member) {
                    item.open.push(member);
                    item.sent = None;
                }
            }
        }
    }
}
