//! Who may wait, and who is refused.

use rand::Rng;

use super::{Key, Queue, Queued, Ticket, WAITING_MIN, WAITING_PER_UNIT, at};
use crate::{
    domain::{Lane, Millis, Priority},
    policy::refusal::{Code, Refusal},
};

/// The shortest time after which a refused caller should come back.
const RETRY_MIN: Millis = Millis(100);

/// The longest time after which a refused caller should come back.
const RETRY_MAX: Millis = Millis(5000);

/// After this time with work waiting, only a short queue is kept. A shorter time
/// would refuse work in bursts that pass by themselves.
const LASTING: Millis = Millis(1000);

/// The parts of its deadline, in percent, that the first waiting request may
/// have used, and that a new one may have to wait in a lasting overload.
///
/// The second ones keep the queue of an overload short: without them it grows to
/// three quarters of a deadline, and that wait remains after the load has
/// fallen. With 4% and 5% the bench refused 0.1% at 0.6 times saturation.
const BULK: (u64, u64) = (50, 8);
const NORMAL: (u64, u64) = (75, 10);

impl<T> Queue<T> {
    /// Admits a request to its lane's queue or refuses it.
    ///
    /// `mean` is the mean duration of the lane, from which the wait is
    /// estimated.
    ///
    /// # Errors
    ///
    /// The refusal says why the request cannot wait. It has not run.
    pub fn offer<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ticket: Ticket,
        mean: Millis,
        item: T,
    ) -> Result<Queued<T>, Refusal> {
        self.check_deadline(now, rng, &ticket, mean)?;
        self.check_pressure(now, rng, &ticket, mean)?;
        let displaced = self.make_room(rng, &ticket, mean)?;
        self.since[at(ticket.lane)].get_or_insert(now);
        let id = self.push(ticket, item);
        Ok(Queued { id, displaced })
    }

    /// Removes the requests at the front whose deadline cannot be met any more.
    /// It is to be called before [`peek`](Self::peek).
    pub fn expire(&mut self, now: Millis, lane: Lane) -> Vec<(T, Refusal)> {
        let mut missed = Vec::new();
        while let Some(ticket) = self.peek(lane).map(|(ticket, _)| *ticket) {
            if now + ticket.length <= ticket.deadline {
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
            missed.push((waiting.item, refusal.retry_after(RETRY_MIN)));
        }
        missed
    }

    /// Estimates how long a request would wait, from the work that is due before
    /// it.
    #[must_use]
    pub fn wait(&self, ticket: &Ticket, mean: Millis) -> Millis {
        let lane = ticket.lane;
        let last: Key = (ticket.deadline, super::WaitId(u64::MAX));
        let queue = &self.lanes[at(lane)];
        let behind_all = queue.last_key_value().is_none_or(|(key, _)| *key < last);
        // Most requests have the same deadline and go to the end.
        let ahead = if behind_all {
            queue.len()
        } else {
            queue.range(..last).count()
        };
        if ahead == 0 && self.has_room(lane) {
            return Millis(0);
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let units = self.parallel(lane);
        Millis((ahead + 1).saturating_mul(mean.0) / units)
    }

    /// Returns how many requests of a lane run side by side while work waits.
    fn parallel(&self, lane: Lane) -> u64 {
        let units = match lane {
            Lane::Short => self.units.saturating_sub(self.running(Lane::Long)),
            Lane::Long => self.limit(lane),
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
        let wait = self.wait(ticket, mean);
        if now + wait + ticket.length <= ticket.deadline {
            return Ok(());
        }
        let left = ticket.deadline - now;
        let detail = format!(
            "queue: {left} are left, but the {} lane needs {wait} to wait and {} to run",
            ticket.lane, ticket.length
        );
        Err(refuse(rng, wait, detail))
    }

    /// Refuses by priority when the first request has waited for long, or when
    /// an overload lasts.
    fn check_pressure<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        ticket: &Ticket,
        mean: Millis,
    ) -> Result<(), Refusal> {
        // Long work is refused for the sake of short work as well, since both
        // use the same slots. The reverse would be the blocking that lanes are
        // there to prevent.
        let short = self.pressure(now, Lane::Short);
        let pressure = match ticket.lane {
            Lane::Short => short,
            Lane::Long => short.max(self.pressure(now, Lane::Long)),
        };
        let span = (ticket.deadline - now).0.max(1);
        let wait = self.wait(ticket, mean);
        let ahead = wait.0.saturating_mul(100) / span;
        let lasting = self.lasting(now, ticket.lane);
        let beyond = |(used, kept)| pressure > used || (lasting && ahead > kept);
        let refused = match ticket.priority {
            Priority::Bulk => beyond(BULK),
            Priority::Normal => beyond(NORMAL),
            Priority::Critical => false,
        };
        if !refused {
            return Ok(());
        }
        let detail = format!(
            "queue: {} work is refused since the {} lane has a wait of {wait}",
            ticket.priority, ticket.lane
        );
        Err(refuse(rng, wait, detail))
    }

    /// Says whether work has waited in a lane without a break for long.
    fn lasting(&self, now: Millis, lane: Lane) -> bool {
        self.since[at(lane)].is_some_and(|since| now - since > LASTING)
    }

    /// Returns how much of its deadline the first waiting request has used, in
    /// percent.
    #[must_use]
    pub fn pressure(&self, now: Millis, lane: Lane) -> u64 {
        let Some((first, _)) = self.peek(lane) else {
            return 0;
        };
        let span = (first.deadline - first.arrived).0.max(1);
        (now - first.arrived).0.saturating_mul(100) / span
    }

    /// Makes room in a full lane by displacing the last request of the lowest
    /// priority below the ticket's.
    fn make_room<R: Rng>(
        &mut self,
        rng: &mut R,
        ticket: &Ticket,
        mean: Millis,
    ) -> Result<Option<(T, Refusal)>, Refusal> {
        let lane = at(ticket.lane);
        if self.lanes[lane].len() < self.bound(ticket.lane) {
            return Ok(None);
        }
        let wait = self.wait(ticket, mean);
        let lower = self.lanes[lane].iter().rev();
        let lower = lower.filter(|(_, w)| w.ticket.priority < ticket.priority);
        let victim = lower.min_by_key(|(_, w)| w.ticket.priority);
        let Some(id) = victim.map(|(key, _)| key.1) else {
            let detail = format!("queue: the {} lane is full", ticket.lane);
            return Err(refuse(rng, wait, detail));
        };
        let detail = format!("queue: displaced by {} work", ticket.priority);
        let refusal = refuse(rng, wait, detail);
        Ok(self.cancel(id).map(|item| (item, refusal)))
    }

    /// Returns how many requests may wait in a lane.
    #[must_use]
    pub fn bound(&self, lane: Lane) -> usize {
        let units = usize::try_from(self.limit(lane)).unwrap_or(usize::MAX);
        units.saturating_mul(WAITING_PER_UNIT).max(WAITING_MIN)
    }
}

/// Returns a refusal whose time to come back is spread over a factor of three,
/// so that refused callers do not come back together.
fn refuse<R: Rng>(rng: &mut R, wait: Millis, detail: String) -> Refusal {
    let percent = rng.random_range(50..=150);
    let time = wait.0.saturating_mul(percent) / 100;
    let time = Millis(time).clamp(RETRY_MIN, RETRY_MAX);
    Refusal::not_run(Code::Overloaded, detail).retry_after(time)
}
