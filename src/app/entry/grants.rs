//! Waiting for a slot, and what happens when one comes back.

use std::sync::Arc;

use tokio::{sync::oneshot, time::timeout};

use super::{
    State,
    job::Job,
    limits::{region_limit, shift_limit, slots_limit},
    service::{End, Granted, Service},
    slot::{Slot, Used},
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

/// A place in the queue, which is given up when its caller goes away.
struct Wait<'a> {
    state: &'a Arc<State>,
    service: &'a ServiceName,
    id: WaitId,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let cancel = |s: &mut Service| s.queue.cancel(self.id);
        self.state.services.get(self.service, cancel);
    }
}

/// Waits for a slot.
///
/// # Errors
///
/// Refuses the request, which has not run, if it gets none in time.
pub(super) async fn acquire(state: &Arc<State>, job: &Job) -> Result<Slot, Refusal> {
    let now = (state.ports.clock.now)();
    let place = place_in_time(state, job).await?;
    let (grant, granted) = oneshot::channel();
    let ticket = job.ticket(now);
    let offer = |s: &mut Service| s.offer(now, &mut rand::rng(), ticket, place, grant);
    let (id, displaced) = state
        .services
        .get(&job.service, offer)
        .ok_or_else(|| job.unknown())??;
    if let Some((grant, refusal)) = displaced {
        let _ = grant.send(Err(refusal));
    }
    let service = &job.service;
    let wait = Wait { state, service, id };
    state.pump(&job.service);
    let left = job.deadline - now;
    let result = timeout(left.duration(), granted).await;
    drop(wait);
    let Ok(Ok(result)) = result else {
        let detail = format!("queue: no slot within {left}");
        return Err(Refusal::not_run(Code::Overloaded, detail).retry_after(Millis(1_000)));
    };
    let mut slot = result?;
    slot.set_route(&job.route);
    Ok(slot)
}

/// Takes a slot for a retry or a hedge, if there is one at once.
pub(super) fn acquire_extra(state: &Arc<State>, job: &Job, avoid: &[TargetId]) -> Option<Slot> {
    let now = (state.ports.clock.now)();
    let take =
        |s: &mut Service| s.take_extra(now, &mut rand::rng(), job.lane, avoid, &state.limits);
    let (choice, permit) = state.services.get(&job.service, take).flatten()?;
    let mut slot = state.slot(&job.service, job.lane, choice, permit);
    slot.set_route(&job.route);
    Some(slot)
}

/// How long a request waits for units of a rate limit that this entry has just
/// asked for. A round trip between regions takes 70 ms.
const UNITS: Millis = Millis(300);

/// How often it looks for them.
const LOOK: Millis = Millis(10);

/// Chooses the place of a request. If a limit is short of units here, the
/// request waits until other entries could have lent some.
async fn place_in_time(state: &Arc<State>, job: &Job) -> Result<PlaceName, Refusal> {
    let now = || (state.ports.clock.now)();
    let until = job.deadline.min(now() + UNITS);
    loop {
        match place(state, job) {
            Err(refusal) if refusal.code == Code::LimitReached && now() < until => {
                tokio::time::sleep(LOOK.duration()).await;
            }
            result => return result,
        }
    }
}

/// Chooses the place of a request under the limits of shift and region.
fn place(state: &Arc<State>, job: &Job) -> Result<PlaceName, Refusal> {
    let cap = shift_limit(&job.service);
    let headroom = |r: &RegionName| state.admit(&region_limit(r));
    let choose = |s: &mut Service| {
        if let Some(place) = s.local_place(&mut rand::rng(), headroom) {
            return Ok(place);
        }
        let shift = s.shift.as_mut().ok_or_else(|| job.unknown())?;
        let place = shift.choose_place(&mut rand::rng(), || state.admit(&cap), headroom);
        place.map(|p| p.name.clone())
    };
    let chosen = state.services.get(&job.service, choose);
    chosen.unwrap_or_else(|| Err(job.unknown()))
}

impl State {
    /// Returns a slot that comes back here.
    fn slot(
        self: &Arc<Self>,
        service: &ServiceName,
        lane: Lane,
        choice: Choice,
        permit: Permit,
    ) -> Slot {
        let state = self.clone();
        let used = Used {
            service: service.clone(),
            route: String::new(),
            lane,
            choice,
            permit,
            started: (self.ports.clock.now)(),
            head: None,
            finish: Completion::Cancelled,
        };
        Slot::new(used, Arc::new(move |used| state.take_back(used)))
    }

    /// Takes a slot back, learns from its use, and lets the next request start.
    fn take_back(self: &Arc<Self>, used: Used) {
        let now = (self.ports.clock.now)();
        let total = now - used.started;
        let end = End {
            finish: used.finish,
            head: used.head.unwrap_or(total),
            total,
            route: &used.route,
        };
        let (lane, choice) = (used.lane, &used.choice);
        self.services
            .get(&used.service, |s| s.ended(now, lane, choice, end));
        let limit = slots_limit(choice.target);
        let permit = used.permit;
        let release = self.limits.get(&limit, |l| l.release(permit, now));
        self.post(release.unwrap_or_default());
        self.pump(&used.service);
    }

    /// Starts waiting requests of all services.
    pub(super) fn pump_waiting(self: &Arc<Self>) {
        let mut waiting = Vec::new();
        self.services.each(|name, s| {
            if s.waiting() > 0 {
                waiting.push(name.clone());
            }
        });
        for name in waiting {
            self.pump(&name);
        }
    }

    /// Starts waiting requests of a service as far as units allow. It is called
    /// whenever a request arrives or ends and whenever units arrive.
    pub(super) fn pump(self: &Arc<Self>, service: &ServiceName) {
        let now = (self.ports.clock.now)();
        let next = |s: &mut Service| s.next(now, &mut rand::rng(), &self.limits);
        let Some(progress) = self.services.get(service, next) else {
            return;
        };
        self.post(progress.messages);
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
            // If the caller is gone, the slot comes back here and is dropped.
            let _ = grant.send(Ok(slot));
        }
    }
}
