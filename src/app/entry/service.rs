//! The state of one service: its document, targets, queue and budgets.

use std::{collections::HashMap, sync::Arc};

use rand::Rng;
use tokio::sync::oneshot;

use super::{bound::BoundQueues, limits::slots_limit, slot::Slot};
use crate::{
    domain::{
        Document, Homes, Lane, LimitName, Millis, PlaceName, RegionName, Revision, ServiceName,
        Shards, TargetId, Workspace,
    },
    policy::{
        document::{Adoption, Content, DocumentState},
        limit::{Ledger, Outgoing, Permit},
        queue::{Queue, RouteDurations, Ticket, WaitId},
        refusal::{Code, Refusal},
        retry::{Budget, Window},
        route::Workspaces,
        shift::Shift,
        target::{Choice, ChooseError, Completion, Criteria, Pool, State},
    },
};

/// How long a request waits for units of its own region before it may be sent
/// to another region.
const LOCAL_UNITS_WAIT: Millis = Millis(50);

/// The channel on which a waiting request gets its slot or its refusal.
pub(super) type Grant = oneshot::Sender<Result<Slot, Refusal>>;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting {
    pub place: PlaceName,
    /// The workspace of its caller, which states its homes.
    pub workspace: Option<Arc<Workspace>>,
    pub grant: Grant,
}

/// A waiting request that may start, and its target.
#[derive(Debug)]
pub(super) struct Granted {
    /// The channel to the waiting request.
    pub grant: Grant,
    /// The target.
    pub choice: Choice,
    /// The lane.
    pub lane: Lane,
    /// The right to use the slot.
    pub permit: Permit,
}

/// The waiting requests that may start now or are refused.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Requests that may start.
    pub granted: Vec<Granted>,
    /// Requests that are refused.
    pub refused: Vec<(Grant, Refusal)>,
    /// Messages that request units from other entries.
    pub messages: Vec<Outgoing>,
}

/// The current document of a service and the state of its targets. The lock of
/// the shard that holds it guards all of it.
#[derive(Debug)]
pub struct Service {
    pub(super) name: ServiceName,
    /// The current document.
    pub doc: DocumentState,
    /// The targets.
    pub pool: Pool,
    /// The names of the targets' limits. Every choice needs them, so they are
    /// formatted only once.
    pub(super) slot_limits: HashMap<TargetId, LimitName>,
    /// The running requests, and the waiting ones that may run in all regions.
    pub(super) queue: Queue<Waiting>,
    /// The waiting requests that are bound to homes.
    pub(super) bound: BoundQueues<Waiting>,
    /// The workspaces of the current document.
    pub(super) workspaces: Arc<Workspaces>,
    /// The usual durations of requests.
    pub durations: RouteDurations,
    /// The times until the head of an answer, for the short and the long lane.
    pub latency_windows: [Window; 2],
    /// The budget for retries and hedges.
    pub budget: Budget,
    /// The distribution of traffic among the places, if there is a document.
    pub shift: Option<Shift>,
    /// The places, their regions, and their weights for callers in this region.
    pub(super) local_weights: Vec<(PlaceName, RegionName, u32)>,
    /// A place that has lacked units for a request since units were last
    /// requested.
    starved_place: Option<PlaceName>,
}

impl Service {
    /// Returns the state of a service without a document.
    #[must_use]
    pub fn new(name: ServiceName) -> Self {
        Self {
            doc: DocumentState::new(name.clone()),
            name,
            pool: Pool::new(),
            slot_limits: HashMap::new(),
            queue: Queue::new(),
            bound: BoundQueues::default(),
            workspaces: Arc::default(),
            durations: RouteDurations::new(),
            latency_windows: [Window::new(), Window::new()],
            budget: Budget::new(),
            shift: None,
            local_weights: Vec::new(),
            starved_place: None,
        }
    }

    /// Adopts a revision if it is strictly newer and valid.
    pub fn adopt(&mut self, revision: Revision, content: Content, now: Millis) -> Adoption {
        let adoption = self.doc.adopt(revision, content);
        if matches!(adoption, Adoption::Adopted { .. }) {
            self.apply_document(revision, now);
        }
        adoption
    }

    /// Adapts the targets, limits and shift to the current document.
    fn apply_document(&mut self, revision: Revision, now: Millis) {
        let Some(doc) = self.doc.document().cloned() else {
            self.pool.adopt(now, &[]);
            self.shift = None;
            self.workspaces = Arc::default();
            return;
        };
        self.workspaces = Arc::new(Workspaces::compile(doc.workspaces.clone()));
        self.pool.adopt(now, &doc.places);
        // They are computed again for the new places in the next control round.
        self.local_weights.clear();
        let targets = doc.places.iter().flat_map(|p| &p.targets);
        self.slot_limits = targets.map(|t| (*t, slots_limit(*t))).collect();
        match &mut self.shift {
            Some(shift) => shift.adopt(&doc, revision, now),
            None => self.shift = Some(Shift::new(&doc, revision, None, now)),
        }
    }

    /// Returns the current document.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is none.
    pub fn document(&self) -> Result<Arc<Document>, Refusal> {
        let refusal = || {
            Refusal::not_run(
                Code::UnknownService,
                format!("no document is in force for {}", self.name),
            )
        };
        self.doc.document().cloned().ok_or_else(refusal)
    }

    /// Queues a request. Returns its id and the request that it displaced, if
    /// any.
    ///
    /// # Errors
    ///
    /// Refuses the request if it could not be answered before its deadline.
    pub(super) fn offer<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ticket: Ticket,
        item: Waiting,
        limits: &Shards<LimitName, Ledger>,
    ) -> Result<(WaitId, Option<(Grant, Refusal)>), Refusal> {
        let mean = self.durations.mean(ticket.lane);
        let queue = match &item.workspace {
            Some(w) if !w.home_regions.is_empty() => {
                let units = self.usable_units(limits, Homes::of_workspace(Some(w)));
                let queue = self.bound.queue(&w.home_regions);
                queue.resize(units);
                queue
            }
            _ => &mut self.queue,
        };
        let queued = queue.offer(now, rng, ticket, mean, item)?;
        let displaced = queued
            .displaced
            .map(|(item, refusal)| (item.grant, refusal));
        Ok((queued.id, displaced))
    }

    /// Takes slots for as many waiting requests as there are units for, and
    /// removes requests that cannot be answered in time.
    pub(super) fn start_waiting<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        limits: &Shards<LimitName, Ledger>,
    ) -> Progress {
        let mut progress = Progress::default();
        let queues = std::iter::once(&mut self.queue).chain(self.bound.queues());
        for queue in queues {
            for lane in [Lane::Short, Lane::Long] {
                let expired = queue.expire(now, lane);
                progress
                    .refused
                    .extend(expired.into_iter().map(|(w, r)| (w.grant, r)));
            }
        }
        self.queue
            .resize(self.usable_units(limits, Homes::default()));
        while let Some(lane) = self.queue.next_lane(now) {
            let Some((ticket, waiting)) = self.queue.peek(lane) else {
                break;
            };
            let (ticket, place) = (*ticket, waiting.place.clone());
            let homes = Homes::default();
            let Some((choice, permit)) = self.take(now, rng, (ticket, place), homes, limits) else {
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
        self.start_bound(now, rng, limits, &mut progress);
        // A request that was sent to another region is still demand for its own
        // place.
        let starved_place = self.starved_place.take();
        if starved_place.is_some() || self.waiting() > 0 {
            progress.messages = self.request_unit(now, rng, limits, starved_place.as_ref());
        }
        progress
    }

    /// Starts waiting requests that are bound to homes. Each set of homes has its own
    /// queue, so that a region without a free slot holds back only those bound to it.
    /// The number of running requests is limited for all queues together.
    fn start_bound<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        limits: &Shards<LimitName, Ledger>,
        progress: &mut Progress,
    ) {
        while let Some(granted) = self.start_one_bound(now, rng, limits) {
            progress.granted.push(granted);
        }
    }

    /// Starts the waiting request with the earliest deadline that gets a slot.
    fn start_one_bound<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<Granted> {
        for (homes, lane) in self.bound.heads(now) {
            if !self.queue.can_start(lane) {
                continue;
            }
            let head = self.bound.queue(&homes).peek(lane);
            let (ticket, waiting) = head?;
            let workspace = waiting.workspace.clone();
            let head = (*ticket, waiting.place.clone());
            let allowed = Homes::of_workspace(workspace.as_deref());
            let Some((choice, permit)) = self.take(now, rng, head, allowed, limits) else {
                continue;
            };
            let (_, waiting) = self.bound.start(&homes, lane)?;
            self.queue.started(lane);
            self.pool.started(choice.target, lane);
            return Some(Granted {
                grant: waiting.grant,
                choice,
                lane,
                permit,
            });
        }
        None
    }

    /// Takes a slot for a retry or a hedge, if one is free now.
    pub(super) fn take_extra<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        lane: Lane,
        homes: Homes<'_>,
        avoid: &[TargetId],
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<(Choice, Permit)> {
        let mut places = self.local_places();
        places.retain(|(name, _)| self.allows(homes, name));
        let criteria = Criteria {
            lane,
            places: &places,
            excluded: avoid,
            extra: true,
            explore: false,
            accept_slow: false,
        };
        let choice = self
            .pool
            .choose(now, rng, &criteria, |t, l| {
                free_slots(limits, &self.slot_limits, t, l)
            })
            .ok()?;
        let permit = limits
            .get(self.slot_limits.get(&choice.target)?, Ledger::acquire)
            .flatten()?;
        self.queue.started(lane);
        self.pool.started(choice.target, lane);
        Some((choice, permit))
    }

    /// Takes a slot for the first request of a queue, whose place is given.
    fn take<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        (ticket, place): (Ticket, PlaceName),
        homes: Homes<'_>,
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<(Choice, Permit)> {
        let lane = ticket.lane;
        let own_place = [(place, 1)];
        // After half of the time until its deadline a request accepts slow
        // targets.
        let past_half_deadline =
            (now - ticket.arrived).0 * 2 > (ticket.deadline - ticket.arrived).0;
        let criteria = Criteria {
            lane,
            places: &own_place,
            excluded: &[],
            extra: false,
            explore: true,
            accept_slow: past_half_deadline,
        };
        let unit = |t, l| free_slots(limits, &self.slot_limits, t, l);
        let mut choice = self.pool.choose(now, rng, &criteria, unit);
        let lacks_units = choice == Err(ChooseError::NoUnit);
        if choice == Err(ChooseError::NoUnit) || choice == Err(ChooseError::NoTarget) {
            // The request has taken headroom of the region, so any other place
            // of the region that has a share of the traffic may serve it.
            let nearby = self.same_region_places(&own_place[0].0);
            let criteria = Criteria {
                places: &nearby,
                ..criteria
            };
            choice = self.pool.choose(now, rng, &criteria, unit);
        }
        if lacks_units {
            self.starved_place = Some(own_place[0].0.clone());
        }
        // Units from entries in the same region arrive within a few
        // milliseconds, which is sooner than an answer from another region.
        let keep_waiting = lacks_units && now - ticket.arrived < LOCAL_UNITS_WAIT;
        let is_shedding = |c: &Choice| c.state == State::Shedding;
        if !keep_waiting
            && choice.as_ref().map_or(true, is_shedding)
            && let Some(remote) = self.choose_remote_target(now, rng, &criteria, homes, limits)
        {
            choice = Ok(remote);
        }
        let choice = choice.ok()?;
        let permit = limits
            .get(self.slot_limits.get(&choice.target)?, Ledger::acquire)
            .flatten()?;
        Some((choice, permit))
    }

    /// Records the end of a request.
    pub(super) fn record_end(
        &mut self,
        now: Millis,
        lane: Lane,
        choice: &Choice,
        end: RequestEnd<'_>,
    ) {
        self.queue.finished(lane);
        self.pool
            .finished(now, choice.target, lane, end.completion, end.head_time);
        if let Some(shift) = &mut self.shift {
            shift.observe(
                &choice.place,
                end.head_time,
                end.completion == Completion::Failed,
            );
        }
        if end.completion == Completion::Answered {
            self.durations.record(lane, end.route, end.total);
            self.latency_windows[usize::from(lane == Lane::Long)].add(now, end.head_time);
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waiting = |q: &Queue<Waiting>| q.waiting(Lane::Short) + q.waiting(Lane::Long);
        waiting(&self.queue) + self.bound.iter().map(waiting).sum::<usize>()
    }

    /// Returns how many requests run at targets.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.queue.running(Lane::Short) + self.queue.running(Lane::Long)
    }

    /// Requests a unit of one target from other entries. The target belongs to
    /// the given place, or to any place with a share if there is none. It is
    /// drawn at random, so that several entries do not all ask for the same
    /// target.
    fn request_unit<R: Rng>(
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
        let is_included = |name: &PlaceName| match place {
            Some(place) => name == place,
            None => places.iter().any(|(n, share)| n == name && *share > 0),
        };
        let included = doc.places.iter().filter(|p| is_included(&p.name));
        let targets: Vec<TargetId> = included
            .flat_map(|p| p.targets.iter().filter(|t| !p.leaving.contains(t)))
            .copied()
            .collect();
        if targets.is_empty() {
            return Vec::new();
        }
        let target = targets[rng.random_range(0..targets.len())];
        let request = |ledger: &mut Ledger| {
            // The ledger counts a failed `acquire` as demand.
            if let Some(permit) = ledger.acquire() {
                return ledger.release(permit, now);
            }
            ledger.request_units(now)
        };
        let limit = self.slot_limits.get(&target);
        let out = limit.and_then(|l| limits.get(l, request));
        out.unwrap_or_default()
    }

    /// Returns how many units of the service's targets in the homes of a request this
    /// entry may use.
    fn usable_units(&self, limits: &Shards<LimitName, Ledger>, homes: Homes<'_>) -> u32 {
        let usable = |l: &LimitName| limits.get(l, |l| l.status().usable);
        if homes.is_unbound() {
            return self.slot_limits.values().filter_map(usable).sum();
        }
        let places = self.doc.document().into_iter().flat_map(|doc| &doc.places);
        let targets = places
            .filter(|p| homes.contains(&p.region))
            .flat_map(|p| &p.targets);
        let limits = targets.filter_map(|t| self.slot_limits.get(t));
        limits.filter_map(usable).sum()
    }

    /// Returns whether a request with these homes may run at a place.
    pub(super) fn allows(&self, homes: Homes<'_>, place: &PlaceName) -> bool {
        homes.is_unbound() || self.region(place).is_some_and(|r| homes.contains(r))
    }
}

/// The end of a request: its result and its durations.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestEnd<'a> {
    /// Whether the request was answered, failed or was cancelled.
    pub completion: Completion,
    /// The time until the head of the answer.
    pub head_time: Millis,
    /// The time until the last byte.
    pub total: Millis,
    /// The route under which the duration is learned.
    pub route: &'a str,
}

/// Returns how many more requests of a lane may run at a target.
///
/// An entry that holds all slots of a target reserves one for the short lane.
/// With fewer slots, the queue limits the long lane across all targets.
pub(super) fn free_slots(
    limits: &Shards<LimitName, Ledger>,
    slot_limits: &HashMap<TargetId, LimitName>,
    target: TargetId,
    lane: Lane,
) -> u32 {
    let limit = slot_limits.get(&target);
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
