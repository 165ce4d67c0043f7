//! Request queues with admission control.
//!
//! A [`Queue`] holds the waiting requests of one service at one entry. Short and
//! long requests have separate lanes. Long requests run on at most half of the
//! units, so that downloads cannot take all slots from short requests. A lane is
//! ordered by deadline and has a maximum length.
//!
//! A request is refused as early as possible: on arrival, if its deadline cannot
//! be met given the requests ahead of it, or if requests of its priority are
//! being shed. A refused request takes no slot, which keeps the goodput constant
//! under overload. The estimate of the wait assumes that each request ahead takes
//! the mean duration. A wrong estimate refuses too many requests or lets some
//! wait in vain, but never starts a request that cannot meet its deadline,
//! because the deadline is checked again before the start. See
//! [docs/design.md](../../../docs/design.md), sections 3.6 and 3.8.

mod admit;
mod durations;

use std::collections::{BTreeMap, HashMap};

use crate::{
    domain::{Lane, Millis, Priority},
    policy::refusal::Refusal,
};

pub use durations::RouteDurations;

/// The maximum number of requests that wait per unit of a lane. Since requests
/// are also refused by their expected wait, it only bounds the memory.
const WAITING_PER_UNIT: usize = 16;

/// The lowest limit on the waiting requests of a lane, for entries that hold few
/// units.
const WAITING_MIN: usize = 64;

/// Returns the index of a lane in arrays.
fn lane_index(lane: Lane) -> usize {
    match lane {
        Lane::Short => 0,
        Lane::Long => 1,
    }
}

/// The properties of a request that decide its admission and order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// When the request arrived.
    pub arrived: Millis,
    /// When the answer is due.
    pub deadline: Millis,
    /// Its lane.
    pub lane: Lane,
    /// How long it is expected to run.
    pub expected_duration: Millis,
    /// Its priority. Requests of lower priority are refused first.
    pub priority: Priority,
}

/// Identifies a waiting request, so that it can be cancelled.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitId(u64);

/// A request that was admitted.
#[derive(Debug)]
pub struct Queued<T> {
    /// Identifies it in the queue.
    pub id: WaitId,
    /// The request of lower priority that was removed for it from a full lane,
    /// with the refusal for its caller.
    pub displaced: Option<(T, Refusal)>,
}

/// The order of a lane: by deadline, then by arrival.
type Key = (Millis, WaitId);

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    item: T,
}

/// The queue of one service at one entry. Arrays are indexed by lane.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: [BTreeMap<Key, Waiting<T>>; 2],
    keys: HashMap<WaitId, (Lane, Key)>,
    next_id: u64,
    units: u32,
    /// When each lane last became non-empty, or `None` if it is empty.
    waiting_since: [Option<Millis>; 2],
    running: [u32; 2],
}

impl<T> Queue<T> {
    /// Returns an empty queue of an entry that holds no units.
    #[must_use]
    pub fn new() -> Self {
        Self {
            lanes: [BTreeMap::new(), BTreeMap::new()],
            keys: HashMap::new(),
            next_id: 0,
            units: 0,
            waiting_since: [None; 2],
            running: [0; 2],
        }
    }

    /// Sets the number of slot units of the service that this entry holds, free
    /// or taken.
    pub fn resize(&mut self, units: u32) {
        self.units = units;
    }

    /// Returns the maximum number of requests of a lane that run at the same
    /// time. A single unit may be used for long requests, which would never run
    /// otherwise.
    #[must_use]
    pub fn max_running(&self, lane: Lane) -> u32 {
        match lane {
            Lane::Short => self.units,
            Lane::Long if self.units == 0 => 0,
            Lane::Long => (self.units / 2).max(1),
        }
    }

    /// Returns whether a request of the lane may start now.
    #[must_use]
    pub fn can_start(&self, lane: Lane) -> bool {
        let total: u32 = self.running.iter().sum();
        total < self.units && self.running[lane_index(lane)] < self.max_running(lane)
    }

    /// Returns the number of running requests of a lane.
    #[must_use]
    pub fn running(&self, lane: Lane) -> u32 {
        self.running[lane_index(lane)]
    }

    /// Returns the number of waiting requests of a lane.
    #[must_use]
    pub fn waiting(&self, lane: Lane) -> usize {
        self.lanes[lane_index(lane)].len()
    }

    /// Returns the lane from which the next request is to start, or `None` if no
    /// waiting request may start.
    ///
    /// The short lane goes first, unless the first long request has used more
    /// than half of its deadline and the first short one has not. Otherwise an
    /// overload of short requests would starve the long lane.
    #[must_use]
    pub fn next_lane(&self, now: Millis) -> Option<Lane> {
        let startable = |lane| self.can_start(lane) && self.waiting(lane) > 0;
        let mut order = self.lane_order(now).into_iter();
        order.find(|&lane| startable(lane))
    }

    /// Returns the lanes in the order in which requests are to start from them.
    #[must_use]
    pub fn lane_order(&self, now: Millis) -> [Lane; 2] {
        let half_used = |lane| self.head_wait_percent(now, lane) > 50;
        let long_first = half_used(Lane::Long) && !half_used(Lane::Short);
        if long_first {
            [Lane::Long, Lane::Short]
        } else {
            [Lane::Short, Lane::Long]
        }
    }

    /// Returns the first request of a lane without removing it, so that a target
    /// can be chosen for it while it keeps its position.
    #[must_use]
    pub fn peek(&self, lane: Lane) -> Option<(&Ticket, &T)> {
        let first = self.lanes[lane_index(lane)].first_key_value();
        first.map(|(_, waiting)| (&waiting.ticket, &waiting.item))
    }

    /// Removes the first request of a lane, which [`peek`](Self::peek) returns,
    /// and counts it as running until [`finished`](Self::finished) is called.
    pub fn start(&mut self, lane: Lane) -> Option<(Ticket, T)> {
        let (_, waiting) = self.pop(lane)?;
        self.started(lane);
        Some((waiting.ticket, waiting.item))
    }

    /// Counts a request that did not wait, such as a hedge, as running.
    pub fn started(&mut self, lane: Lane) {
        self.running[lane_index(lane)] += 1;
    }

    /// Records that a running request was answered, failed or was cancelled.
    pub fn finished(&mut self, lane: Lane) {
        let running = &mut self.running[lane_index(lane)];
        *running = running.saturating_sub(1);
    }

    /// Removes a waiting request. Returns `None` if it has started or was
    /// refused.
    pub fn cancel(&mut self, id: WaitId) -> Option<T> {
        let (lane, key) = self.keys.remove(&id)?;
        let waiting = self.lanes[lane_index(lane)].remove(&key)?;
        self.reset_if_empty(lane);
        Some(waiting.item)
    }

    fn push(&mut self, ticket: Ticket, item: T) -> WaitId {
        let id = WaitId(self.next_id);
        self.next_id += 1;
        let key = (ticket.deadline, id);
        self.keys.insert(id, (ticket.lane, key));
        self.lanes[lane_index(ticket.lane)].insert(key, Waiting { ticket, item });
        id
    }

    fn pop(&mut self, lane: Lane) -> Option<(Key, Waiting<T>)> {
        let first = self.lanes[lane_index(lane)].pop_first()?;
        self.keys.remove(&first.0.1);
        self.reset_if_empty(lane);
        Some(first)
    }

    /// Clears `waiting_since` of a lane that has become empty.
    fn reset_if_empty(&mut self, lane: Lane) {
        if self.lanes[lane_index(lane)].is_empty() {
            self.waiting_since[lane_index(lane)] = None;
        }
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
