//! Reads and polls the platform's store.

use super::{Feed, apply::Scope, now};
use crate::{
    domain::{Millis, Position},
    policy::upstream::{Upstream, UpstreamFailure},
    ports::{PlatformError, Poll, PolledBatch},
};

/// How long the store waits for a first change before it answers a poll.
const POLL_WAIT: Millis = Millis(500);

/// The timeout of the first call to the store. A connection may be silent for
/// good, which only a timeout detects.
pub(super) const TIMEOUT_MIN: Millis = Millis(1_000);

/// The maximum timeout of a call to the store. The timeout doubles with each
/// failure, because reading the registry of a large deployment takes seconds
/// over a busy narrow link, and the data to read grows with each abandoned
/// call.
const TIMEOUT_MAX: Millis = Millis(4_000);

/// The time from the start of a first failed call to the next call. It doubles
/// with each further failure, because calls that the store refuses are charged,
/// too.
pub(super) const RETRY_DELAY_MIN: Millis = Millis(250);

/// The maximum time from the start of a failed call to the next call.
const RETRY_DELAY_MAX: Millis = Millis(1_000);

/// The age up to which a seed's state is accepted while the store does not answer: an old
/// state is better than none.
const ANY_AGE: Millis = Millis(u64::MAX);

impl Feed {
    /// Polls the store. Returns the time to the next step: `next`, or the retry
    /// delay if the store did not answer.
    pub(super) async fn step_store(
        &mut self,
        start: Millis,
        after: Position,
        next: Millis,
    ) -> Millis {
        match self.poll_store(start, after).await {
            Ok(()) if self.compacted || self.has_more => Millis(0),
            Ok(()) => next,
            Err(()) => self.next_retry_delay(),
        }
    }

    /// Returns the time from the start of a failed call to the next one, and
    /// doubles it for the next failure. The delay matters for calls that the
    /// store refuses at once; a call that times out takes at least as long as
    /// the maximum delay.
    fn next_retry_delay(&mut self) -> Millis {
        let delay = self.retry_delay;
        self.retry_delay = (delay + delay).min(RETRY_DELAY_MAX);
        delay
    }

    /// Reads the complete state from the store or, if that fails, from a seed
    /// entry.
    pub(super) async fn read_all(&mut self, start: Millis) -> Millis {
        self.call_start = start;
        let read = (self.state.ports.platform.read)(self.timeout).await;
        match read {
            // Another entry may have reported a later era than this read shows.
            Ok(batch) if Some(batch.position.era) < self.era() => {
                self.count_sync("store", "complete", "outdated");
                self.record_store_failure(&PlatformError::Stale {
                    step: "read keys",
                    cause: format!("era {}", batch.position.era),
                    latest: self.era().unwrap_or_default(),
                });
            }
            Ok(batch) => {
                self.count_sync("store", "complete", "ok");
                self.record_answer(Upstream::Store, start);
                self.apply(start, batch, Scope::Complete);
                return Millis(0);
            }
            Err(e) => {
                self.count_sync("store", "complete", "failed");
                self.record_store_failure(&e);
            }
        }
        let settings = self.state.settings();
        for seed in &settings.seeds {
            if Some(*seed) != settings.control && self.read_seed(*seed, Millis(0), ANY_AGE).await {
                return Millis(0);
            }
        }
        self.next_retry_delay()
    }

    /// Polls the store for changes.
    ///
    /// # Errors
    ///
    /// Returns an error, after logging it, if the store did not answer.
    async fn poll_store(&mut self, start: Millis, after: Position) -> Result<(), ()> {
        // While the store is unavailable, an empty response must come at once:
        // it shows that the store is back. After an incomplete answer it shows
        // that nothing is missing. If the state is too old to be passed on, the
        // wait would be added to the age of what the followers know.
        let is_old = self.state_age() > self.state.chain_times().max_age();
        let wait = if self.store_failed || self.has_more || is_old {
            Millis(0)
        } else {
            POLL_WAIT
        };
        let timeout = self.timeout;
        self.call_start = start;
        let poll = Poll {
            after,
            wait,
            timeout,
        };
        match (self.state.ports.platform.poll)(poll).await {
            Ok(PolledBatch { batch, has_more }) => {
                self.count_sync("store", "changes", "ok");
                self.record_answer(Upstream::Store, start);
                let (position, changes) = (batch.position, batch.changes.len());
                let took_ms = self.call_time().0;
                tracing::info!(%after, %position, changes, has_more, took_ms, "feed: polled the store.");
                self.has_more = has_more;
                let scope = if has_more {
                    Scope::FirstChanges
                } else {
                    Scope::Changes
                };
                self.apply(start, batch, scope);
                Ok(())
            }
            Err(PlatformError::Compacted) => {
                self.count_sync("store", "changes", "compacted");
                let (took_ms, age_ms) = self.log_times();
                tracing::warn!(
                    took_ms,
                    age_ms,
                    "feed: the store has compacted the changes, reading the complete state."
                );
                self.record_lost_history();
                self.upstreams.record_compaction();
                Ok(())
            }
            Err(PlatformError::NewEra(era)) => {
                self.count_sync("store", "changes", "new_era");
                let (took_ms, age_ms) = self.log_times();
                tracing::warn!(
                    %era,
                    %after,
                    took_ms,
                    age_ms,
                    "feed: the store has come back from an older copy, reading the complete state."
                );
                self.record_lost_history();
                self.upstreams.record_new_era();
                Ok(())
            }
            Err(e) => {
                self.count_sync("store", "changes", "failed");
                self.record_store_failure(&e);
                Err(())
            }
        }
    }

    /// Records that the store answered, but no longer has the changes that this entry
    /// lacks, so that the complete state must be read.
    fn record_lost_history(&mut self) {
        self.record_answer(Upstream::Store, self.call_start);
        self.compacted = true;
        self.has_more = false;
    }

    /// Records that the store did not answer, so that the feed polls another entry
    /// for a time.
    fn record_store_failure(&mut self, e: &PlatformError) {
        let (took_ms, age_ms) = self.log_times();
        if let PlatformError::Stale { .. } = e {
            tracing::warn!(cause = %e, "feed: a response of the store is of another time and not used.");
        } else if self.store_failed {
            tracing::info!(cause = %e, took_ms, age_ms, "feed: the store is still unavailable.");
        } else {
            tracing::warn!(cause = %e, took_ms, age_ms, "feed: the store is unavailable.");
        }
        self.store_failed = true;
        self.has_more = false;
        self.timeout = (self.timeout + self.timeout).min(TIMEOUT_MAX);
        let (now, failure) = (now(&self.state), UpstreamFailure::Unresponsive);
        self.upstreams
            .record_failure(now, &Upstream::Store, failure);
        self.remove_expired();
    }
}
