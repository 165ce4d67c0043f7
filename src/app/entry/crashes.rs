//! Requests that break the connections to their targets.

use std::sync::{Arc, PoisonError};

use super::{State, carry::Run, control, job::Job};
use crate::{
    domain::TargetId,
    policy::{
        crash::{Admission, Ending, Failure, Stage, is_strike},
        once::Fingerprint,
        refusal::Refusal,
        target,
        timeline::Kind,
    },
    ports::SendError,
};

/// A fingerprint under trial, which ends when this value is dropped.
pub(super) struct Trial<'a> {
    state: &'a Arc<State>,
    job: Fingerprint,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let mut strikes = self
            .state
            .strikes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        strikes.end_trial(self.job);
    }
}

pub(super) fn admit<'a>(state: &'a Arc<State>, job: &Job) -> Result<Option<Trial<'a>>, Refusal> {
    let now = (state.ports.clock.now)();
    let mut strikes = state.strikes.lock().unwrap_or_else(PoisonError::into_inner);
    match strikes.admit(job.fingerprint, now) {
        Admission::Free => Ok(None),
        Admission::Trial => Ok(Some(Trial {
            state,
            job: job.fingerprint,
        })),
        Admission::Refused(refusal) => {
            drop(strikes);
            let text = format!("a request to {}: {}", job.service, refusal.detail);
            (state.events.emit)(Kind::RequestBlocked, text);
            Err(refusal)
        }
    }
}

impl Run<'_> {
    /// Clears the strikes against a request that was executed after all.
    pub(super) fn absolve(&self) {
        if !self.suspect {
            return;
        }
        let cleared = {
            let strikes = self.state.strikes.lock();
            let mut strikes = strikes.unwrap_or_else(PoisonError::into_inner);
            strikes.clear(self.job.fingerprint, self.now())
        };
        if let Some(strike) = cleared {
            let state = self.state.clone();
            tokio::spawn(async move { control::notify(&state, strike).await });
        }
    }

    /// Counts a broken connection against the request.
    pub(super) async fn strike(&mut self, e: &SendError) {
        let SendError::Unknown {
            broken: true, peer, ..
        } = e
        else {
            return;
        };
        let now = self.now();
        let failure = Failure {
            stage: Stage::Written,
            ending: Ending::Broken,
            leaving: self.is_leaving(*peer),
        };
        let fingerprint = self.job.fingerprint;
        let known = {
            let successes = self
                .state
                .successes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            successes.contains(fingerprint, now)
        };
        if !is_strike(failure, known) {
            return;
        }
        let text = format!(
            "a request to {} broke the connection to {peer}",
            self.job.service
        );
        (self.state.events.emit)(Kind::RequestStruck, text);
        self.suspect = true;
        let strike = {
            let mut strikes = self
                .state
                .strikes
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            strikes.strike(fingerprint, now)
        };
        // The caller may repeat the request through another entry as soon as it
        // has its answer, so the others have to know first.
        control::notify(self.state, strike).await;
    }

    fn is_leaving(&self, target: TargetId) -> bool {
        let now = self.now();
        let state = self
            .state
            .services
            .get(&self.job.service, |s| s.pool.state(now, target));
        state.flatten() == Some(target::State::Leaving)
    }
}
