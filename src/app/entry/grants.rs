//! Waits for slots, and starts waiting requests when slots are returned.

use std::sync::Arc;

use tokio::{sync::oneshot, time::timeout};

use super::{
    State,
    job::Job,
    limits::{region_limit, shift_limit, slots_limit},
    service::{Granted, RequestEnd, Service, Waiting},
    slot::{Slot, SlotUse},
};
use crate::{
    domain::{Lane, Millis, PlaceName, RegionName, ServiceName, TargetId},
    policy::{
        limit::Permit,
        queue::WaitId,
        refusal::{Code, Refusal},
        target::{Choice, Completion},
    },
};

/// A request in the queue. Dropping it removes the request, for example when
/// its caller disconnects.
struct QueuedRequest<'a> {
    state: &'a Arc<State>,
    service: &'a ServiceName,
    /// The homes of its workspace.
    homes: &'a [RegionName],
    id: WaitId,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let cancel = |s: &mut Service| match self.homes {
            [] => s.queue.cancel(self.id),
            homes => s.bound.cancel(homes, self.id),
        };
        self.state.services.get(self.service, cancel);
    }
}

/// Waits for a slot.
///
/// # Errors
///
/// Refuses the request if it gets no slot before its deadline. The request was
/// not run.
pub(super) async fn acquire(state: &Arc<State>, job: &Job) -> Result<Slot, Refusal> {
    let now = (state.ports.clock.now)();
    let place = wait_for_place(state, job).await?;
    let (grant, granted) = oneshot::channel();
    let ticket = job.ticket(now);
    let waiting = Waiting {
        place,
        workspace: job.workspace.clone(),
        grant,
    };
    let offer = |s: &mut Service| s.offer(now, &mut rand::rng(), ticket, waiting, &state.limits);
    let (id, displaced) = state
        .services
        .get(&job.service, offer)
        .ok_or_else(|| job.unknown_service())??;
    if let Some((grant, refusal)) = displaced {
        let _ = grant.send(Err(refusal));
    }
    let service = &job.service;
    let homes = job.workspace.as_ref().map_or(&[][..], |w| &w.home_regions);
    let queued = QueuedRequest {
        state,
        service,
        homes,
        id,
    };
    state.start_queued(&job.service);
    let left = job.deadline - now;
    let result = timeout(left.duration(), granted).await;
    drop(queued);
    let Ok(Ok(result)) = result else {
        let detail = format!("queue: no slot within {left}");
        return Err(Refusal::not_run(Code::Overloaded, detail).retry_after(Millis(1_000)));
    };
    let mut slot = result?;
    slot.set_route(&job.route);
    Ok(slot)
}

/// Takes a slot for a retry or a hedge, if one is free now.
pub(super) fn acquire_extra(state: &Arc<State>, job: &Job, avoid: &[TargetId]) -> Option<Slot> {
    let now = (state.ports.clock.now)();
    let (lane, homes) = (job.lane, job.homes());
    let take =
        |s: &mut Service| s.take_extra(now, &mut rand::rng(), lane, homes, avoid, &state.limits);
    let (choice, permit) = state.services.get(&job.service, take).flatten()?;
    let mut slot = state.slot(&job.service, job.lane, choice, permit);
    slot.set_route(&job.route);
    Some(slot)
}

/// The longest wait for units of a rate limit that this entry has requested
/// from other entries. A round trip between regions takes 70 ms.
const RATE_UNITS_WAIT: Millis = Millis(300);

/// The interval at which a waiting request checks for these units.
const RATE_UNITS_POLL: Millis = Millis(10);

/// Chooses the place of a request. If this entry lacks units of a limit, the
/// request waits long enough for other entries to lend some.
async fn wait_for_place(state: &Arc<State>, job: &Job) -> Result<PlaceName, Refusal> {
    let now = || (state.ports.clock.now)();
    let wait_until = job.deadline.min(now() + RATE_UNITS_WAIT);
    loop {
        match choose_place(state, job) {
            Err(refusal) if refusal.code == Code::LimitReached && now() < wait_until => {
                tokio::time::sleep(RATE_UNITS_POLL.duration()).await;
            }
            result => return result,
        }
    }
}

/// Chooses the place of a request within the cap on shifts and the headroom of
/// the regions.
fn choose_place(state: &Arc<State>, job: &Job) -> Result<PlaceName, Refusal> {
    let cap = shift_limit(&job.service);
    let headroom = |r: &RegionName| state.admit(&region_limit(r));
    let choose = |s: &mut Service| {
        if let Some(place) = s.draw_local_place(&mut rand::rng(), job.homes(), headroom) {
            return Ok(place);
        }
        let shift = s.shift.as_mut().ok_or_else(|| job.unknown_service())?;
        let admit = || state.admit(&cap);
        let place = shift.choose_home(&mut rand::rng(), job.homes(), admit, headroom);
        place.map(|p| p.name.clone())
    };
    let chosen = state.services.get(&job.service, choose);
    chosen.unwrap_or_else(|| Err(job.unknown_service()))
}

impl State {
    /// Returns a slot that is released by [`State::release_slot`] when it is
    /// dropped.
    fn slot(
        self: &Arc<Self>,
        service: &ServiceName,
        lane: Lane,
        choice: Choice,
        permit: Permit,
    ) -> Slot {
        let state = self.clone();
        let usage = SlotUse {
            service: service.clone(),
            route: String::new(),
            lane,
            choice,
            permit,
            taken_at: (self.ports.clock.now)(),
            head_time: None,
            completion: Completion::Cancelled,
        };
        Slot::new(usage, Arc::new(move |usage| state.release_slot(usage)))
    }

    /// Releases a slot, records how the request ended, and starts the next
    /// request.
    fn release_slot(self: &Arc<Self>, usage: SlotUse) {
        let now = (self.ports.clock.now)();
        let total = now - usage.taken_at;
        let end = RequestEnd {
            completion: usage.completion,
            head_time: usage.head_time.unwrap_or(total),
            total,
            route: &usage.route,
        };
        let (lane, choice) = (usage.lane, &usage.choice);
        self.services
            .get(&usage.service, |s| s.record_end(now, lane, choice, end));
        let limit = slots_limit(choice.target);
        let permit = usage.permit;
        let release = self.limits.get(&limit, |l| l.release(permit, now));
        self.enqueue_messages(release.unwrap_or_default());
        self.start_queued(&usage.service);
    }

    /// Starts waiting requests of all services.
    pub(super) fn start_all_queued(self: &Arc<Self>) {
        let mut waiting = Vec::new();
        self.services.each(|name, s| {
            if s.waiting() > 0 {
                waiting.push(name.clone());
            }
        });
        for name in waiting {
            self.start_queued(&name);
        }
    }

    /// Starts waiting requests of a service as long as there are units for
    /// them. Called whenever a request arrives or ends and whenever units
    /// arrive.
    pub(super) fn start_queued(self: &Arc<Self>, service: &ServiceName) {
        let now = (self.ports.clock.now)();
        let start_waiting = |s: &mut Service| s.start_waiting(now, &mut rand::rng(), &self.limits);
        let Some(progress) = self.services.get(service, start_waiting) else {
            return;
        };
        self.enqueue_messages(progress.messages);
        for (grant, refusal) in progress.refused {
            let _ = grant.send(Err(refusal));
        }
        for granted in progress.granted {
            let Granted {
                grant,
                choice,
                lane,
                permit,
            } = granted;
            let slot = self.slot(service, lane, choice, permit);
            // If the caller has disconnected, `send` returns the slot, which is
            // then dropped and so released.
            let _ = grant.send(Ok(slot));
        }
    }
}
