//! Polls other entries for changes.

use std::net::SocketAddr;

use super::{Feed, apply::Scope, now};
use crate::{
    domain::{Millis, Position},
    policy::upstream::{Trust, Upstream, UpstreamFailure},
    ports::{FetchError, FetchRequest},
};

/// Why an entry did not return changes.
#[derive(Clone, Copy, Debug)]
pub(super) enum EntryError {
    /// It no longer has all changes after the position.
    Compacted,
    /// It failed as an upstream.
    Failed(UpstreamFailure),
}

impl Feed {
    /// Polls another entry for changes.
    ///
    /// # Errors
    ///
    /// Returns an error, after logging it, if the entry does not answer, if its
    /// state is too old, or if it no longer has the changes.
    pub(super) async fn poll_entry(
        &mut self,
        upstream: &Upstream,
        peer: SocketAddr,
        after: Position,
    ) -> Result<(), EntryError> {
        // A seed may be of another region, whose demand is not that of this one.
        let is_near = !matches!(upstream, Upstream::Seed(_));
        let trust = self.upstreams.trust(upstream);
        let request = FetchRequest {
            peer,
            after: Some(after),
            wait: self.entry_wait(trust),
            report: is_near.then(|| self.state.own_report()),
        };
        self.call_start = now(&self.state);
        let aged = match (self.state.ports.changes.fetch)(request).await {
            Ok(aged) => aged,
            Err(FetchError::Compacted) => {
                self.count_sync("entry", "changes", "compacted");
                return Err(EntryError::Compacted);
            }
            Err(e) => {
                self.count_sync("entry", "changes", result_of(&e));
                self.log_failed_entry(upstream, &e);
                let failure = match e {
                    FetchError::NoEra => UpstreamFailure::NoEra,
                    _ => UpstreamFailure::Unresponsive,
                };
                return Err(EntryError::Failed(failure));
            }
        };
        // The demand is that of now, also if the state of the store is old.
        if let Some(demand) = aged.demand.filter(|_| is_near) {
            self.state.record_total(demand);
        }
        let Position { era, .. } = aged.batch.position;
        if era < after.era {
            self.count_sync("entry", "changes", "outdated");
            let cause = format!("its state is of era {era}, the latest is {}", after.era);
            self.log_failed_entry(upstream, &cause);
            return Err(EntryError::Failed(UpstreamFailure::Outdated));
        }
        let as_of = now(&self.state) - aged.age;
        let scope = if aged.has_gap {
            Scope::Difference
        } else {
            Scope::Changes
        };
        let limit = self.state.chain_times().max_age();
        if aged.age <= limit {
            self.count_sync("entry", "changes", "ok");
            self.record_answer(upstream.clone(), as_of);
            self.apply(as_of, aged.batch, scope);
            return Ok(());
        }
        self.count_sync("entry", "changes", "outdated");
        // While the store is slow, every state is too old, but a later one is better.
        if after < aged.batch.position {
            self.apply(as_of, aged.batch, scope);
        }
        // The entry may not have noticed the loss of the source yet, or be calling the
        // store. An entry that the store has failed tries the next one instead.
        let now = now(&self.state);
        if !self.store_failed && self.state.chain_times().may_take_over(now, trust) {
            if trust == Trust::Unknown {
                let age_ms = aged.age.0;
                tracing::info!(%upstream, age_ms, "feed: the next entry answers, waiting for its state.");
            }
            self.upstreams.record_alive(now, upstream);
            return Ok(());
        }
        let cause = format!("its state is {} old, the limit is {limit}", aged.age);
        self.log_failed_entry(upstream, &cause);
        Err(EntryError::Failed(UpstreamFailure::Outdated))
    }

    /// Returns how long another entry waits for a change before it answers.
    fn entry_wait(&self, trust: Trust) -> Millis {
        // After a failure of the store the other entry has to answer at once,
        // so that the feed tries the next upstream without delay if it cannot
        // help.
        if self.store_failed {
            return Millis(0);
        }
        let times = self.state.chain_times();
        times.entry_wait(self.state_age(), trust)
    }

    pub(super) fn log_failed_entry(&self, upstream: &Upstream, cause: &dyn std::fmt::Display) {
        let (took_ms, age_ms) = self.log_times();
        tracing::warn!(%upstream, %cause, took_ms, age_ms, "feed: the upstream entry failed.");
    }
}

/// Returns the result of a failed call to an entry, as the metrics name it.
pub(super) fn result_of(e: &FetchError) -> &'static str {
    match e {
        FetchError::Compacted => "compacted",
        FetchError::NoEra => "no_era",
        FetchError::Empty | FetchError::Failed { .. } => "failed",
    }
}
