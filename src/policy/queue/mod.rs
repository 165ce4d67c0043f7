//! Lanes, queues and admission.
//!
//! A [`Queue`] holds the waiting requests of one service at one entry. Short and
//! long work have separate lanes: long work holds at most half of the units, so
//! short work never waits for all slots to be held by downloads. A lane is
//! ordered by deadline and bounded.
//!
//! A request is refused as early as possible: on arrival, if its deadline cannot
//! be met given the work ahead, or if requests of its priority are being shed.
//! Refused work costs no slot, which keeps the goodput flat under overload. The
//! estimate of the wait assumes that work ahead takes its mean duration; a wrong
//! estimate refuses too much or lets work wait in vain, but never runs work
//! after its deadline, because the deadline is checked again at the start. See
//! [docs/design.md](../../../docs/design.md), sections 3.6 and 3.8.

mod admit;
mod lengths;

use std::collections::{BTreeMap, HashMap};

use crate::{
    domain::{Lane, Millis, Priority},
    policy::refusal::Refusal,
};

pub use lengths::Lengths;

/// How many requests wait per unit of a lane, at most. Together with the refusal
/// by estimated wait it only bounds the memory.
const WAITING_PER_UNIT: usize = 16;

/// How many requests may always wait in a lane, for entries that hold few units.
const WAITING_MIN: usize = 64;

/// The position of a lane in arrays.
fn at(lane: Lane) -> usize {
    match lane {
        Lane::Short => 0,
        Lane::Long => 1,
    }
}

/// What the queue needs to know of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// When the request arrived.
    pub arrived: Millis,
    /// Until when the answer must be there.
    pub deadline: Millis,
    /// Its lane.
    pub lane: Lane,
    /// How long it is expected to run.
    pub length: Millis,
    /// What is refused last.
    pub priority: Priority,
}

/// Identifies a waiting request, so that it can be cancelled.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitId(u64);

/// A request that was admitted.
#[derive(Debug)]
pub struct Queued<T> {
    /// Its place in the queue.
    pub id: WaitId,
    /// A request of lower priority that had to make room, with what its caller
    /// is told.
    pub displaced: Option<(T, Refusal)>,
}

type Key = (Millis, WaitId);

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    item: T,
}

/// The queue of one service at one entry.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: [BTreeMap<Key, Waiting<T>>; 2],
    keys: HashMap<WaitId, (Lane, Key)>,
    next: u64,
    units: u32,
    /// Since when work has waited in each lane without a break.
    since: [Option<Millis>; 2],
    running: [u32; 2],
}

impl<T> Queue<T> {
    /// Returns an empty queue of an entry that holds no units.
    #[must_use]
    pub fn new() -> Self {
        Self {
            lanes: [BTreeMap::new(), BTreeMap::new()],
            keys: HashMap::new(),
            next: 0,
            units: 0,
            since: [None; 2],
            running: [0; 2],
        }
    }

    /// Sets how many slot units of the service this entry holds, free or taken.
    pub fn resize(&mut self, units: u32) {
        self.units = units;
    }

    /// Returns how many requests of a lane may run at the same time. An entry
    /// with a single unit may use it for long work, which would never run
    /// otherwise.
    #[must_use]
    pub fn limit(&self, lane: Lane) -> u32 {
        match lane {
            Lane::Short => self.units,
            Lane::Long if self.units == 0 => 0,
            Lane::Long => (self.units / 2).max(1),
        }
    }

    /// Says whether a request of the lane may start now.
    #[must_use]
    pub fn has_room(&self, lane: Lane) -> bool {
        let total: u32 = self.running.iter().sum();
        total < self.units && self.running[at(lane)] < self.limit(lane)
    }

    /// Returns the running requests of a lane.
    #[must_use]
    pub fn running(&self, lane: Lane) -> u32 {
        self.running[at(lane)]
    }

    /// Returns the waiting requests of a lane.
    #[must_use]
    pub fn waiting(&self, lane: Lane) -> usize {
        self.lanes[at(lane)].len()
    }

    /// Returns the lane from which the next request is to start, or none if
    /// nothing waits that has room.
    ///
    /// Short work goes first, unless long work has used more than half of its
    /// deadline and short work has not. Otherwise an overload of short work would
    /// starve the long lane.
    #[must_use]
    pub fn next_lane(&self, now: Millis) -> Option<Lane> {
        let ready = |lane| self.has_room(lane) && self.waiting(lane) > 0;
        let late = |lane| self.pressure(now, lane) > 50;
        let urgent = late(Lane::Long) && !late(Lane::Short);
        let order = if urgent {
            [Lane::Long, Lane::Short]
        } else {
            [Lane::Short, Lane::Long]
        };
        order.into_iter().find(|&lane| ready(lane))
    }

    /// Returns the request of a lane that is to start next, so that a target can
    /// be chosen for it before it leaves the queue.
    #[must_use]
    pub fn peek(&self, lane: Lane) -> Option<(&Ticket, &T)> {
        let first = self.lanes[at(lane)].first_key_value();
        first.map(|(_, waiting)| (&waiting.ticket, &waiting.item))
    }

    /// Removes the request that [`peek`](Self::peek) showed. It counts as running
    /// until [`finished`](Self::finished).
    pub fn start(&mut self, lane: Lane) -> Option<(Ticket, T)> {
        let (_, waiting) = self.pop(lane)?;
        self.started(lane);
        Some((waiting.ticket, waiting.item))
    }

    /// Counts a request as running that did not wait, such as a hedge.
    pub fn started(&mut self, lane: Lane) {
        self.running[at(lane)] += 1;
    }

    /// Frees the place of a running request, whether it was answered, failed or
    /// was cancelled.
    pub fn finished(&mut self, lane: Lane) {
        let running = &mut self.running[at(lane)];
        *running = running.saturating_sub(1);
    }

    /// Removes a waiting request at once. Returns none if it has started or was
    /// refused.
    pub fn cancel(&mut self, id: WaitId) -> Option<T> {
        let (lane, key) = self.keys.remove(&id)?;
        let waiting = self.lanes[at(lane)].remove(&key)?;
        self.emptied(lane);
        Some(waiting.item)
    }

    fn push(&mut self, ticket: Ticket, item: T) -> WaitId {
        let id = WaitId(self.next);
        self.next += 1;
        let key = (ticket.deadline, id);
        self.keys.insert(id, (ticket.lane, key));
        self.lanes[at(ticket.lane)].insert(key, Waiting { ticket, item });
        id
    }

    fn pop(&mut self, lane: Lane) -> Option<(Key, Waiting<T>)> {
        let first = self.lanes[at(lane)].pop_first()?;
        self.keys.remove(&first.0.1);
        self.emptied(lane);
        Some(first)
    }

    /// Ends the time without a break if nothing waits any more.
    fn emptied(&mut self, lane: Lane) {
        if self.lanes[at(lane)].is_empty() {
            self.since[at(lane)] = None;
        }
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
