//! A target that is held for one attempt.

use std::sync::Arc;

use super::{State, job::Job, now};
use crate::{
    domain::{InstanceId, ServiceName},
    policy::balance::{Choice, ChooseError, Ending, LoadReport, Request, Ticket},
};

/// An attempt's place at a target. Dropping it says that nobody waits any more.
#[derive(Debug)]
pub(super) struct Slot {
    state: Arc<State>,
    service: ServiceName,
    /// What was known when the target was chosen.
    pub choice: Choice,
    ended: bool,
}

impl Slot {
    /// Chooses a target for a request.
    ///
    /// # Errors
    ///
    /// A [`ChooseError`] says why no target can take it.
    pub fn acquire(
        state: &Arc<State>,
        job: &Job,
        tried: &[InstanceId],
    ) -> Result<Self, ChooseError> {
        let choice = state.with_pool(&job.service, &job.table, |pool, scene| {
            let ask = Request {
                rule: &job.rule,
                object: job.object,
                tried,
                time_left: job.end - scene.now,
            };
            pool.choose(scene, &ask)
        })?;
        Ok(Self {
            state: state.clone(),
            service: job.service.clone(),
            choice,
            ended: false,
        })
    }

    /// Returns what the choice rests on.
    pub fn ticket(&self) -> &Ticket {
        &self.choice.ticket
    }

    /// Gives the place back.
    pub fn finish(&mut self, ending: Ending, report: Option<LoadReport>) {
        if self.ended {
            return;
        }
        self.ended = true;
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
