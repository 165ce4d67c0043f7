//! Capacity at a target that is reserved for one attempt.

use std::sync::Arc;

use super::{State, notice, now, request::RoutedRequest};
use crate::{
    domain::{InstanceId, ServiceName, Size},
    policy::balance::{
        Choice, ChooseError, Ending, LoadReport, Pool, Request, TargetNotice, Ticket,
    },
    ports::SendCheck,
};

/// A slot at a target for one attempt. Dropping it before [`Slot::finish`]
/// records the attempt as cancelled.
#[derive(Debug)]
pub(super) struct Slot {
    state: Arc<State>,
    service: ServiceName,
    /// The chosen target, with the state on which the choice was based.
    pub choice: Choice,
    finished: bool,
}

impl Slot {
    /// Chooses a target for a request and reserves a slot there.
    ///
    /// # Errors
    ///
    /// Returns a [`ChooseError`] that says why no target can take the request.
    pub fn acquire(
        state: &Arc<State>,
        routed: &RoutedRequest,
        tried: &[InstanceId],
    ) -> Result<Self, ChooseError> {
        let (choice, withheld) =
            state.with_pool(&routed.service, &routed.table, |pool, context| {
                let request = Request {
                    rule: &routed.rule,
                    homes: routed.homes(),
                    rank: routed.rank,
                    workspace: routed.weight,
                    object: routed.object,
                    tried,
                    time_left: routed.deadline - context.now,
                    size: routed.size,
                };
                (pool.choose(context, &request), pool.take_withheld())
            });
        let metrics = &state.ports.metrics;
        metrics.count_withheld(routed.service.as_str(), withheld);
        let sent = choice.is_ok();
        let basis = match &choice {
            Ok(choice) => Some(choice.ticket.basis),
            Err(error) => error.basis(),
        };
        if let Some(basis) = basis {
            state.record_side(&basis, sent);
            if let Some(split) = basis.split {
                metrics.set_far_share(routed.service.as_str(), split.fraction);
            }
        }
        let choice = choice?;
        if choice.ticket.probe {
            metrics.count_probe(routed.service.as_str());
        }
        Ok(Self {
            state: state.clone(),
            service: routed.service.clone(),
            choice,
            finished: false,
        })
    }

    /// Returns the ticket of the attempt, with the estimates that led to the
    /// choice.
    pub fn ticket(&self) -> &Ticket {
        &self.choice.ticket
    }

    /// Returns whether the target may be sent the request, by what is known at the
    /// time of each call.
    pub fn send_check(&self) -> SendCheck {
        let (state, service) = (self.state.clone(), self.service.clone());
        let id = self.ticket().id.clone();
        Arc::new(move || {
            let evacuated = state.evacuated();
            let withdrawn = |pool: &mut Pool| pool.is_withdrawn(&id, &evacuated);
            state.pools.get(&service, withdrawn) == Some(false)
        })
    }

    /// Records what the target says about itself with the head of its response
    /// to the request with the given id.
    pub fn record_notice(&self, request: &str, notice: &TargetNotice) {
        let received = notice::Received {
            service: &self.service,
            ticket: self.ticket(),
            request,
            notice,
        };
        notice::record(&self.state, &received);
    }

    /// Records the size of the target's response.
    pub fn record_size(&self, response: Size) {
        let pools = &self.state.pools;
        pools.get(&self.service, |p| p.record_size(self.ticket(), response));
    }

    /// Releases the slot with the result of the attempt. Only the first call
    /// has an effect.
    pub fn finish(&mut self, ending: Ending, report: Option<LoadReport>) {
        if self.finished {
            return;
        }
        self.finished = true;
        let at = now(&self.state);
        let ticket = &self.choice.ticket;
        self.state.pools.get(&self.service, |pool| {
            pool.finish(at, ticket, ending, report);
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled, None);
    }
}
