//! The queues of requests that are bound to the homes of their workspaces.
//!
//! In one queue with all others, a request whose homes have no free slot would hold back
//! those behind it that may run elsewhere, and its wait would count as overload of the
//! whole service.

use crate::{
    domain::{Lane, Millis, RegionName},
    policy::queue::{Queue, Ticket, WaitId},
};

/// A queue for each set of homes. They count no running requests; the queue of the
/// service does.
#[derive(Debug)]
pub(super) struct BoundQueues<T> {
    queues: Vec<(Vec<RegionName>, Queue<T>)>,
}

impl<T> Default for BoundQueues<T> {
    fn default() -> Self {
        Self { queues: Vec::new() }
    }
}

impl<T> BoundQueues<T> {
    /// Returns the queue of requests with these homes.
    pub fn queue(&mut self, homes: &[RegionName]) -> &mut Queue<T> {
        let found = self.queues.iter().position(|(h, _)| h == homes);
        let index = found.unwrap_or_else(|| {
            // A document that is gone may have had other homes.
            self.queues.retain(|(_, q)| !is_empty(q));
            self.queues.push((homes.to_vec(), Queue::new()));
            self.queues.len() - 1
        });
        &mut self.queues[index].1
    }

    /// Returns all queues.
    pub fn queues(&mut self) -> impl Iterator<Item = &mut Queue<T>> {
        self.queues.iter_mut().map(|(_, queue)| queue)
    }

    /// Returns all queues.
    pub fn iter(&self) -> impl Iterator<Item = &Queue<T>> {
        self.queues.iter().map(|(_, queue)| queue)
    }

    /// Returns the homes and the lane of the first requests, the earliest deadline first,
    /// except that a queue may prefer its other lane.
    pub fn heads(&self, now: Millis) -> Vec<(Vec<RegionName>, Lane)> {
        let mut heads = Vec::new();
        for (homes, queue) in &self.queues {
            let lanes = queue.lane_order(now).into_iter();
            let waiting = lanes.filter_map(|lane| Some((lane, queue.peek(lane)?.0.deadline)));
            let mut first = None;
            for (lane, deadline) in waiting {
                let deadline = *first.get_or_insert(deadline);
                heads.push((deadline, homes.clone(), lane));
            }
        }
        heads.sort_by_key(|(deadline, _, _)| *deadline);
        let heads = heads.into_iter();
        heads.map(|(_, homes, lane)| (homes, lane)).collect()
    }

    /// Removes the first request of a lane, which is then to be counted as running by
    /// the queue of the service.
    pub fn start(&mut self, homes: &[RegionName], lane: Lane) -> Option<(Ticket, T)> {
        let queue = self.queue(homes);
        let started = queue.start(lane);
        if started.is_some() {
            queue.finished(lane);
        }
        started
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, homes: &[RegionName], id: WaitId) -> Option<T> {
        let found = self.queues.iter_mut().find(|(h, _)| h == homes);
        found.and_then(|(_, queue)| queue.cancel(id))
    }
}

fn is_empty<T>(queue: &Queue<T>) -> bool {
    [Lane::Short, Lane::Long]
        .into_iter()
        .all(|lane| queue.waiting(lane) == 0)
}
