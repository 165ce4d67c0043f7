//! Admission control: which requests are queued and which are refused.

use rand::Rng;

use super::{Key, Queue, Queued, Ticket, WAITING_MIN, WAITING_PER_UNIT, lane_index};
use crate::{
    domain::{Lane, Millis, Priority},
    policy::refusal::{Code, Refusal},
};

/// The shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Millis = Millis(100);

/// The longest time after which a refused caller is told to retry.
const RETRY_AFTER_MAX: Millis = Millis(5000);

/// A lane has a standing queue once it has been non-empty for longer than this. A
/// shorter time would refuse work in bursts that pass by themselves.
const STANDING_QUEUE_AFTER: Millis = Millis(1000);

/// The limits above which bulk and normal requests are refused, in percent of a
/// request's deadline: how much the first waiting request has used, and how long
/// a new request has to wait if there is a standing queue.
///
/// The second limit keeps the queue short during an overload. Without it the
/// queue grows to three quarters of a deadline, and that wait remains after the
/// load has fallen. With 4% and 5% the benchmark refused 0.1% of the requests at
/// 0.6 times saturation.
const BULK_MAX_PERCENT: (u64, u64) = (50, 8);
const NORMAL_MAX_PERCENT: (u64, u64) = (75, 10);

impl<T> Queue<T> {
    /// Admits a request to its lane's queue or refuses it.
    ///
    /// `mean` is the mean duration of requests of the lane. The wait is estimated
    /// from it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the outcome `not-run`, if the lane is full, the
    /// deadline cannot be met or requests of this priority are shed.
    pub fn offer<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ticket: Ticket,
        mean: Millis,
        item: T,
    ) -> Result<Queued<T>, Refusal> {
        self.check_deadline(now, rng, &ticket, mean)?;
        self.check_priority(now, rng, &ticket, mean)?;
        let displaced = self.displace_if_full(rng, &ticket, mean)?;
        self.waiting_since[lane_index(ticket.lane)].get_or_insert(now);
        let id = self.push(ticket, item);
        Ok(Queued { id, displaced })
    }

    /// Removes the requests at the front whose deadline can no longer be met.
    /// Call it before [`peek`](Self::peek).
    pub fn expire(&mut self, now: Millis, lane: Lane) -> Vec<(T, Refusal)> {
        let mut expired = Vec::new();
        while let Some(ticket) = self.peek(lane).map(|(ticket, _)| *ticket) {
            if now + ticket.expected_duration <= ticket.deadline {
                break;
            }
            let Some((_, waiting)) = self.pop(lane) else {
                break;
            };
            let waited = now - ticket.arrived;
            let refusal = Refusal::not_run(
                Code::Overloaded,
                format!("queue: the deadline cannot be met after {waited} in the {lane} lane"),
            );
            expired.push((waiting.item, refusal.retry_after(RETRY_AFTER_MIN)));
        }
        expired
    }

    /// Estimates how long a request would wait, from the number of waiting
    /// requests with an earlier or equal deadline.
    #[must_use]
    pub fn expected_wait(&self, ticket: &Ticket, mean: Millis) -> Millis {
        let lane = ticket.lane;
        let last: Key = (ticket.deadline, super::WaitId(u64::MAX));
        let queue = &self.lanes[lane_index(lane)];
        let is_last = queue.last_key_value().is_none_or(|(key, _)| *key < last);
        // The usual case, since most requests of a service get the same time
        // limit. It avoids a walk over the queue.
        let ahead = if is_last {
            queue.len()
        } else {
            queue.range(..last).count()
        };
        if ahead == 0 && self.can_start(lane) {
            return Millis(0);
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let units = self.concurrency(lane);
        Millis((ahead + 1).saturating_mul(mean.0) / units)
    }

    /// Returns how many requests of a lane run concurrently while others wait, at
    /// least one.
    fn concurrency(&self, lane: Lane) -> u64 {
        let units = match lane {
            Lane::Short => self.units.saturating_sub(self.running(Lane::Long)),
            Lane::Long => self.max_running(lane),
        };
        u64::from(units.max(1))
    }

    fn check_deadline<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        ticket: &Ticket,
        mean: Millis,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(ticket, mean);
        if now + wait + ticket.expected_duration <= ticket.deadline {
            return Ok(());
        }
        let remaining = ticket.deadline - now;
        let detail = format!(
            "queue: the deadline is in {remaining}, but the expected wait in the {} lane is {wait} and the expected duration is {}",
            ticket.lane, ticket.expected_duration
        );
        Err(refuse(rng, wait, detail))
    }

    /// Refuses bulk and normal requests if the first waiting request has used
    /// much of its deadline, or if there is a standing queue and the wait would
    /// be long.
    fn check_priority<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        ticket: &Ticket,
        mean: Millis,
    ) -> Result<(), Refusal> {
        // A backlog of short requests also refuses long ones, since both use the
        // same slots. A backlog of long requests must not refuse short ones: that
        // is the head-of-line blocking that the lanes prevent.
        let short_percent = self.head_wait_percent(now, Lane::Short);
        let head_percent = match ticket.lane {
            Lane::Short => short_percent,
            Lane::Long => short_percent.max(self.head_wait_percent(now, Lane::Long)),
        };
        let time_limit = (ticket.deadline - now).0.max(1);
        let wait = self.expected_wait(ticket, mean);
        let wait_percent = wait.0.saturating_mul(100) / time_limit;
        let standing = self.has_standing_queue(now, ticket.lane);
        let exceeds =
            |(head_max, wait_max)| head_percent > head_max || (standing && wait_percent > wait_max);
        let refused = match ticket.priority {
            Priority::Bulk => exceeds(BULK_MAX_PERCENT),
            Priority::Normal => exceeds(NORMAL_MAX_PERCENT),
            Priority::Critical => false,
        };
        if !refused {
            return Ok(());
        }
        let detail = format!(
            "queue: {} requests are shed, the expected wait in the {} lane is {wait}",
            ticket.priority, ticket.lane
        );
        Err(refuse(rng, wait, detail))
    }

    /// Returns whether a lane has been non-empty for longer than
    /// [`STANDING_QUEUE_AFTER`].
    fn has_standing_queue(&self, now: Millis, lane: Lane) -> bool {
        self.waiting_since[lane_index(lane)].is_some_and(|since| now - since > STANDING_QUEUE_AFTER)
    }

    /// Returns the time that the first waiting request has waited, in percent of
    /// the time between its arrival and its deadline. Zero if none waits.
    #[must_use]
    pub fn head_wait_percent(&self, now: Millis, lane: Lane) -> u64 {
        let Some((first, _)) = self.peek(lane) else {
            return 0;
        };
        let time_limit = (first.deadline - first.arrived).0.max(1);
        (now - first.arrived).0.saturating_mul(100) / time_limit
    }

    /// If the lane is full, removes and returns a waiting request of lower
    /// priority than the new one: among those of the lowest priority, the one
    /// with the latest deadline. Refuses the new request if there is none.
    fn displace_if_full<R: Rng>(
        &mut self,
        rng: &mut R,
        ticket: &Ticket,
        mean: Millis,
    ) -> Result<Option<(T, Refusal)>, Refusal> {
        let lane = lane_index(ticket.lane);
        if self.lanes[lane].len() < self.max_waiting(ticket.lane) {
            return Ok(None);
        }
        let wait = self.expected_wait(ticket, mean);
        let lower = self.lanes[lane].iter().rev();
        let lower = lower.filter(|(_, w)| w.ticket.priority < ticket.priority);
        let victim = lower.min_by_key(|(_, w)| w.ticket.priority);
        let Some(id) = victim.map(|(key, _)| key.1) else {
            let detail = format!("queue: the {} lane is full", ticket.lane);
            return Err(refuse(rng, wait, detail));
        };
        let detail = format!("queue: displaced by a {} request", ticket.priority);
        let refusal = refuse(rng, wait, detail);
        Ok(self.cancel(id).map(|item| (item, refusal)))
    }

    /// Returns the maximum number of requests that may wait in a lane.
    #[must_use]
    pub fn max_waiting(&self, lane: Lane) -> usize {
        let units = usize::try_from(self.max_running(lane)).unwrap_or(usize::MAX);
        units.saturating_mul(WAITING_PER_UNIT).max(WAITING_MIN)
    }
}

/// Returns a refusal with a retry time of 50% to 150% of the wait, so that the
/// refused callers do not retry at the same time.
fn refuse<R: Rng>(rng: &mut R, wait: Millis, detail: String) -> Refusal {
    let percent = rng.random_range(50..=150);
    let time = wait.0.saturating_mul(percent) / 100;
    let time = Millis(time).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    Refusal::not_run(Code::Overloaded, detail).retry_after(time)
}
