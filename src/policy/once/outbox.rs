//! The queue of messages that are repeated until the homes acknowledge them.

use std::collections::VecDeque;

use super::{HomeRequest, HomeSet, Member};
use crate::domain::Millis;

/// The time after which an unacknowledged message is sent again: about two round
/// trips between regions.
const RESEND_INTERVAL: Millis = Millis(150);

/// How long a message is kept, even if all homes have acknowledged it. A vote may
/// be transferred to a home of a newer roster while its release is in flight, and
/// that home then needs the release too. All entries learn of a new roster within
/// this time.
const MESSAGE_LIFETIME: Millis = Millis(30_000);

/// Identifies a message in its outbox.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MessageId(pub u64);

#[derive(Debug)]
struct QueuedMessage {
    id: MessageId,
    request: HomeRequest,
    /// The homes that have not acknowledged the message.
    pending: Vec<Member>,
    /// The homes that have acknowledged it.
    acknowledged: Vec<Member>,
    queued_at: Millis,
    last_sent: Option<Millis>,
}

/// Releases and answers that the homes have not acknowledged, and those that may
/// still have to go to the homes of a newer roster.
///
/// A lost release keeps its key in progress for the retention period, and a lost
/// answer cannot be replayed to callers. Neither allows a second execution, so
/// the outbox is bounded: when it is full, the oldest message is dropped.
#[derive(Debug)]
pub struct Outbox {
    items: VecDeque<QueuedMessage>,
    capacity: usize,
    next_id: u64,
}

impl Outbox {
    /// Returns an empty outbox for up to `capacity` messages.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            items: VecDeque::new(),
            capacity: capacity.max(1),
            next_id: 0,
        }
    }

    /// Returns whether there is no message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds the result of [`Claimant::release`](super::Claimant::release) or
    /// [`Claimant::finish`](super::Claimant::finish), which is one message to
    /// several members.
    pub fn push<T: Into<HomeRequest>>(&mut self, messages: Vec<(Member, T)>, now: Millis) {
        let (members, mut messages): (_, Vec<T>) = messages.into_iter().unzip();
        let Some(message) = messages.pop() else {
            return;
        };
        if self.items.len() == self.capacity {
            self.items.pop_front();
        }
        self.items.push_back(QueuedMessage {
            id: MessageId(self.next_id),
            request: message.into(),
            pending: members,
            acknowledged: Vec::new(),
            queued_at: now,
            last_sent: None,
        });
        self.next_id += 1;
    }

    /// Returns the messages to send now, and drops messages
    /// that are too old.
    pub fn due(&mut self, now: Millis) -> Vec<(MessageId, Member, HomeRequest)> {
        self.items.retain(|i| i.queued_at + MESSAGE_LIFETIME > now);
        let mut due = Vec::new();
        for item in &mut self.items {
            if item.last_sent.is_some_and(|s| s + RESEND_INTERVAL > now) {
                continue;
            }
            item.last_sent = Some(now);
            let send = |m: &Member| (item.id, m.clone(), item.request.clone());
            due.extend(item.pending.iter().map(send));
        }
        due
    }

    /// Records that a home has acknowledged a message.
    pub fn on_reply(&mut self, id: MessageId, home: &Member) {
        let Ok(index) = self.items.binary_search_by_key(&id, |i| i.id) else {
            return;
        };
        let item = &mut self.items[index];
        if let Some(position) = item.pending.iter().position(|m| m == home) {
            item.acknowledged.push(item.pending.swap_remove(position));
        }
    }

    /// Adds the homes of a newer roster as recipients of all messages.
    pub fn on_roster(&mut self, homes: impl Fn(&HomeRequest) -> HomeSet) {
        for item in &mut self.items {
            for member in homes(&item.request).members {
                if !item.pending.contains(&member) && !item.acknowledged.contains(&member) {
                    item.pending.push(member);
                    item.last_sent = None;
                }
            }
        }
    }
}
