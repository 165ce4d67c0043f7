//! Requests that crash their targets, seen as broken connections.

use std::sync::Arc;

use super::{State, control, job::Job, service::Service};
use crate::{
    domain::{Millis, TargetId, lock},
    policy::{
        crash::{Admission, Failure, FailureCause, Stage, is_strike},
        once::Fingerprint,
        refusal::Refusal,
        target,
        timeline::Kind,
    },
    ports::SendError,
};

/// A trial of a suspected request. It ends when this value is dropped.
pub(super) struct Trial<'a> {
    state: &'a Arc<State>,
    fingerprint: Fingerprint,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let mut strikes = lock(&self.state.strikes);
        strikes.end_trial(self.fingerprint);
    }
}

/// Admits a request unless its fingerprint is blocked. Returns a trial if it is
/// suspected.
pub(super) fn admit<'a>(state: &'a Arc<State>, job: &Job) -> Result<Option<Trial<'a>>, Refusal> {
    let now = (state.ports.clock.now)();
    let mut strikes = lock(&state.strikes);
    match strikes.admit(job.fingerprint, now) {
        Admission::Unrestricted => Ok(None),
        Admission::Trial => Ok(Some(Trial {
            state,
            fingerprint: job.fingerprint,
        })),
        Admission::Refused(refusal) => {
            drop(strikes);
            let text = format!("a request to {}: {}", job.service, refusal.detail);
            (state.events.emit)(Kind::RequestBlocked, text);
            Err(refusal)
        }
    }
}

/// Clears the strikes against a request that has now succeeded.
pub(super) fn clear_strikes(state: &Arc<State>, job: &Job) {
    let now = (state.ports.clock.now)();
    let cleared = {
        let mut strikes = lock(&state.strikes);
        strikes.clear(job.fingerprint, now)
    };
    if let Some(strike) = cleared {
        let state = state.clone();
        tokio::spawn(async move { control::announce_strike(&state, strike).await });
    }
}

/// Records a strike against a request that broke a connection. Returns whether
/// the failure counts as one.
pub(super) async fn record_strike(state: &Arc<State>, job: &Job, e: &SendError) -> bool {
    let SendError::Unknown {
        broken: true, peer, ..
    } = e
    else {
        return false;
    };
    let now = (state.ports.clock.now)();
    let failure = Failure {
        stage: Stage::Written,
        cause: FailureCause::Broken,
        leaving: is_leaving(state, job, *peer, now),
    };
    let fingerprint = job.fingerprint;
    let recently_succeeded = {
        let successes = lock(&state.successes);
        successes.contains(fingerprint, now)
    };
    if !is_strike(failure, recently_succeeded) {
        return false;
    }
    let text = format!(
        "a request to {} broke the connection to {peer}",
        job.service
    );
    (state.events.emit)(Kind::RequestStruck, text);
    let strike = {
        let mut strikes = lock(&state.strikes);
        strikes.record_strike(fingerprint, now)
    };
    // The caller may repeat the request through another entry as soon as it
    // gets its answer, so the other entries must have the strike before that.
    control::announce_strike(state, strike).await;
    true
}

fn is_leaving(state: &State, job: &Job, target: TargetId, now: Millis) -> bool {
    let state_of = |s: &mut Service| s.pool.state(now, target);
    let target_state = state.services.get(&job.service, state_of);
    target_state.flatten() == Some(target::State::Leaving)
}
