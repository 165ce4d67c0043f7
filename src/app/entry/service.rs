//! What an entry knows of one service.

use std::{collections::HashMap, sync::Arc};

use rand::Rng;
use tokio::sync::oneshot;

use super::{limits::slots_limit, slot::Slot};
use crate::{
    domain::{
        Document, Lane, LimitName, Millis, PlaceName, RegionName, Revision, ServiceName, Shards,
        TargetId,
    },
    policy::{
        document::{Adoption, Content, DocumentState},
        limit::{Ledger, Outgoing, Permit},
        queue::{Queue, RouteDurations, Ticket, WaitId},
        refusal::{Code, Refusal},
        retry::{Budget, Window},
        shift::Shift,
        target::{Choice, ChooseError, Completion, Criteria, Pool, State},
    },
};

/// How long a request waits for units of its own region before it may go to
/// another one.
const UNITS: Millis = Millis(50);

/// The receiver of a waiting request's slot.
pub(super) type Grant = oneshot::Sender<Result<Slot, Refusal>>;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting {
    place: PlaceName,
    grant: Grant,
}

/// A slot that a request got.
#[derive(Debug)]
pub(super) struct Granted {
    /// Who waits for it.
    pub grant: Grant,
    /// The target.
    pub choice: Choice,
    /// The lane.
    pub lane: Lane,
    /// The right to use the slot.
    pub permit: Permit,
}

/// What became of the waiting requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Requests that may start.
    pub granted: Vec<Granted>,
    /// Requests that are refused.
    pub refused: Vec<(Grant, Refusal)>,
    /// Messages that ask for units.
    pub messages: Vec<Outgoing>,
}

/// A document in force and the state of its targets. It sits in a shard, so the
/// shard's lock guards all of it.
#[derive(Debug)]
pub struct Service {
    pub(super) name: ServiceName,
    /// The document in force.
    pub doc: DocumentState,
    /// The targets.
    pub pool: Pool,
    /// The names of the targets' limits, which every choice needs.
    pub(super) slots: HashMap<TargetId, LimitName>,
    /// The waiting requests.
    pub(super) queue: Queue<Waiting>,
    /// The usual durations of requests.
    pub lengths: RouteDurations,
    /// The times until the head of an answer, short and long.
    pub windows: [Window; 2],
    /// What retries and hedges may use.
    pub budget: Budget,
    /// Where traffic goes, once there is a document.
    pub shift: Option<Shift>,
    /// The places with their regions and weights for callers of this region.
    pub(super) local: Vec<(PlaceName, RegionName, u32)>,
    /// A place that lacked units for a request since the last ask.
    missed: Option<PlaceName>,
}

impl Service {
    /// Returns the state of a service without a document.
    #[must_use]
    pub fn new(name: ServiceName) -> Self {
        Self {
            doc: DocumentState::new(name.clone()),
            name,
            pool: Pool::new(),
            slots: HashMap::new(),
            queue: Queue::new(),
            lengths: RouteDurations::new(),
            windows: [Window::new(), Window::new()],
            budget: Budget::new(),
            shift: None,
            local: Vec::new(),
            missed: None,
        }
    }

    /// Puts a revision in force if it is strictly newer and valid.
    pub fn adopt(&mut self, revision: Revision, content: Content, now: Millis) -> Adoption {
        let adoption = self.doc.adopt(revision, content);
        if matches!(adoption, Adoption::Adopted { .. }) {
            self.follow(revision, now);
        }
        adoption
    }

    fn follow(&mut self, revision: Revision, now: Millis) {
        let Some(doc) = self.doc.document().cloned() else {
            self.pool.adopt(now, &[]);
            self.shift = None;
            return;
        };
        self.pool.adopt(now, &doc.places);
        // The next round computes them for the new places.
        self.local.clear();
        let targets = doc.places.iter().flat_map(|p| &p.targets);
        self.slots = targets.map(|t| (*t, slots_limit(*t))).collect();
        match &mut self.shift {
            Some(shift) => shift.adopt(&doc, revision, now),
            None => self.shift = Some(Shift::new(&doc, revision, None, now)),
        }
    }

    /// Returns the document in force.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is none.
    pub fn document(&self) -> Result<Arc<Document>, Refusal> {
        let missing = || {
            Refusal::not_run(
                Code::UnknownService,
                format!("no document is in force for {}", self.name),
            )
        };
        self.doc.document().cloned().ok_or_else(missing)
    }

    /// Puts a request into the queue, and returns requests that had to make room.
    ///
    /// # Errors
    ///
    /// Refuses the request if it could not be answered in time.
    pub(super) fn offer<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ticket: Ticket,
        place: PlaceName,
        grant: Grant,
    ) -> Result<(WaitId, Option<(Grant, Refusal)>), Refusal> {
        let mean = self.lengths.mean(ticket.lane);
        let item = Waiting { place, grant };
        let queued = self.queue.offer(now, rng, ticket, mean, item)?;
        let displaced = queued
            .displaced
            .map(|(item, refusal)| (item.grant, refusal));
        Ok((queued.id, displaced))
    }

    /// Starts as many waiting requests as there are units for.
    pub(super) fn next<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        limits: &Shards<LimitName, Ledger>,
    ) -> Progress {
        let mut progress = Progress::default();
        for lane in [Lane::Short, Lane::Long] {
            let missed = self.queue.expire(now, lane);
            progress
                .refused
                .extend(missed.into_iter().map(|(w, r)| (w.grant, r)));
        }
        self.queue.resize(self.units(limits));
        while let Some(lane) = self.queue.next_lane(now) {
            let Some((choice, permit)) = self.take(now, rng, lane, limits) else {
                break;
            };
            let Some((_, waiting)) = self.queue.start(lane) else {
                break;
            };
            self.pool.started(choice.target, lane);
            progress.granted.push(Granted {
                grant: waiting.grant,
                choice,
                lane,
                permit,
            });
        }
        // Also a request that was served elsewhere is demand for its own place.
        let missed = self.missed.take();
        if missed.is_some() || self.waiting() > 0 {
            progress.messages = self.ask(now, rng, limits, missed.as_ref());
        }
        progress
    }

    /// Takes a slot for a retry or a hedge, which never waits.
    pub(super) fn take_extra<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        lane: Lane,
        avoid: &[TargetId],
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<(Choice, Permit)> {
        let places = self.near_places();
        let ask = Criteria {
            lane,
            places: &places,
            excluded: avoid,
            extra: true,
            explore: false,
            accept_slow: false,
        };
        let choice = self
            .pool
            .choose(now, rng, &ask, |t, l| free(limits, &self.slots, t, l))
            .ok()?;
        let permit = limits
            .get(self.slots.get(&choice.target)?, Ledger::acquire)
            .flatten()?;
        self.queue.started(lane);
        self.pool.started(choice.target, lane);
        Some((choice, permit))
    }

    fn take<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        lane: Lane,
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<(Choice, Permit)> {
        let (ticket, waiting) = self.queue.peek(lane)?;
        let (ticket, place) = (*ticket, waiting.place.clone());
        let one = [(place, 1)];
        // After half of its deadline a request takes what there is.
        let pressed = (now - ticket.arrived).0 * 2 > (ticket.deadline - ticket.arrived).0;
        let ask = Criteria {
            lane,
            places: &one,
            excluded: &[],
            extra: false,
            explore: true,
            accept_slow: pressed,
        };
        let unit = |t, l| free(limits, &self.slots, t, l);
        let mut choice = self.pool.choose(now, rng, &ask, unit);
        let missing = choice == Err(ChooseError::NoUnit);
        if choice == Err(ChooseError::NoUnit) || choice == Err(ChooseError::NoTarget) {
            // The headroom that the request took is its region's, so any other
            // place there with traffic of its own may serve it.
            let near = self.neighbours(&one[0].0);
            let ask = Criteria {
                places: &near,
                ..ask
            };
            choice = self.pool.choose(now, rng, &ask, unit);
        }
        if missing {
            self.missed = Some(one[0].0.clone());
        }
        // Units of the own region arrive within a few milliseconds, sooner than
        // an answer from another region.
        let early = missing && now - ticket.arrived < UNITS;
        let fails = |c: &Choice| c.state == State::Shedding;
        if !early
            && choice.as_ref().map_or(true, fails)
            && let Some(other) = self.choose_elsewhere(now, rng, &ask, limits)
        {
            choice = Ok(other);
        }
        let choice = choice.ok()?;
        let permit = limits
            .get(self.slots.get(&choice.target)?, Ledger::acquire)
            .flatten()?;
        Some((choice, permit))
    }

    /// Records the end of a request. `head` is the time until the head of the
    /// answer, `total` the time until its last byte.
    pub(super) fn ended(&mut self, now: Millis, lane: Lane, choice: &Choice, end: End<'_>) {
        self.queue.finished(lane);
        self.pool
            .finished(now, choice.target, lane, end.finish, end.head);
        if let Some(shift) = &mut self.shift {
            shift.observe(&choice.place, end.head, end.finish == Completion::Failed);
        }
        if end.finish == Completion::Answered {
            self.lengths.record(lane, end.route, end.total);
            self.windows[usize::from(lane == Lane::Long)].add(now, end.head);
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.waiting(Lane::Short) + self.queue.waiting(Lane::Long)
    }

    /// Returns how many requests run at targets.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.queue.running(Lane::Short) + self.queue.running(Lane::Long)
    }

    /// Asks other entries for a unit of one of the targets, of the given place or
    /// of any, drawn at random so that the requests of several entries spread.
    fn ask<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        limits: &Shards<LimitName, Ledger>,
        place: Option<&PlaceName>,
    ) -> Vec<Outgoing> {
        let Some(doc) = self.doc.document() else {
            return Vec::new();
        };
        let places = self.places();
        let takes = |name: &PlaceName| match place {
            Some(place) => name == place,
            None => places.iter().any(|(n, share)| n == name && *share > 0),
        };
        let open = doc.places.iter().filter(|p| takes(&p.name));
        let targets: Vec<TargetId> = open
            .flat_map(|p| p.targets.iter().filter(|t| !p.leaving.contains(t)))
            .copied()
            .collect();
        if targets.is_empty() {
            return Vec::new();
        }
        let target = targets[rng.random_range(0..targets.len())];
        let ask = |ledger: &mut Ledger| {
            // The failed attempt is what tells the ledger of the demand.
            if let Some(permit) = ledger.acquire() {
                return ledger.release(permit, now);
            }
            ledger.request_units(now)
        };
        let limit = self.slots.get(&target);
        let out = limit.and_then(|l| limits.get(l, ask));
        out.unwrap_or_default()
    }

    /// Returns how many units of the service's targets this entry has.
    fn units(&self, limits: &Shards<LimitName, Ledger>) -> u32 {
        let usable = |l: &LimitName| limits.get(l, |l| l.status().usable);
        self.slots.values().filter_map(usable).sum()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct End<'a> {
    /// Whether it was answered.
    pub finish: Completion,
    /// The time until the head of its answer.
    pub head: Millis,
    /// The time until the last byte.
    pub total: Millis,
    /// The route under which its length is learned.
    pub route: &'a str,
}

/// Returns how many more requests of a lane may run at a target.
///
/// An entry that holds every slot of a target keeps one for short work. With
/// fewer units the queue's limit on long work does that across targets.
pub(super) fn free(
    limits: &Shards<LimitName, Ledger>,
    slots: &HashMap<TargetId, LimitName>,
    target: TargetId,
    lane: Lane,
) -> u32 {
    let limit = slots.get(&target);
    let status = limit.and_then(|l| limits.get(l, |l| l.status()));
    let Some(status) = status else {
        return 0;
    };
    let idle = status.usable.saturating_sub(status.busy);
    let holds_all = status.usable >= status.size && status.size > 1;
    if lane == Lane::Long && holds_all {
        return idle.saturating_sub(1);
    }
    idle
}
