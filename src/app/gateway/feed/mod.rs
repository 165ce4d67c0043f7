//! Follows the changes of the platform's configuration, targets and entries.
//!
//! One entry of each region polls the store and the others poll that entry, as
//! [`UpstreamSelector`] decides. [`apply`] applies the changes from either
//! upstream and publishes them for the entries that poll this one.

mod apply;
mod hold;
mod seed;

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;

pub(super) use self::hold::is_doubtful;
use self::{apply::Scope, hold::Hold};
use super::{State, now};
use crate::{
    domain::{Era, Millis, Position},
    policy::upstream::{SeedSelector, Trust, Upstream, UpstreamFailure, UpstreamSelector},
    ports::{FetchError, FetchRequest, PlatformError, Poll, PolledBatch},
};

/// How long the store waits for a first change before it answers a poll.
const POLL_WAIT: Millis = Millis(500);

/// The maximum random delay that is added before each call.
const MAX_JITTER: Millis = Millis(50);

/// The timeout of the first call to the store. A connection may be silent for
/// good, which only a timeout detects.
const TIMEOUT_MIN: Millis = Millis(1_000);

/// The maximum timeout of a call to the store. The timeout doubles with each
/// failure, because reading the registry of a large deployment takes seconds
/// over a busy narrow link, and the data to read grows with each abandoned
/// call.
const TIMEOUT_MAX: Millis = Millis(4_000);

/// The time from the start of a first failed call to the next call. It doubles
/// with each further failure, because calls that the store refuses are charged,
/// too.
const RETRY_DELAY_MIN: Millis = Millis(250);

/// The age up to which a seed's state is accepted while the store does not answer: an old
/// state is better than none.
const ANY_AGE: Millis = Millis(u64::MAX);

/// The maximum time from the start of a failed call to the next call.
const RETRY_DELAY_MAX: Millis = Millis(1_000);

/// Follows the platform until the process ends.
pub(super) async fn run(state: Arc<State>) {
    let mut feed = Feed::new(state);
    feed.state.refresh_peers(now(&feed.state));
    loop {
        let start = now(&feed.state);
        let next = feed.step(start).await;
        let pause = start + next - now(&feed.state);
        // Without jitter, entries that once call at the same moment would keep
        // doing so.
        let jitter = Millis(rand::rng().random_range(0..=MAX_JITTER.0));
        tokio::time::sleep((pause + jitter).duration()).await;
    }
}

/// Why an entry did not return changes.
#[derive(Clone, Copy, Debug)]
enum EntryError {
    /// It no longer has all changes after the position.
    Compacted,
    /// It failed as an upstream.
    Failed(UpstreamFailure),
}

/// The state of the feed.
struct Feed {
    state: Arc<State>,
    upstreams: UpstreamSelector,
    seeds: SeedSelector,
    /// The upstream that answered last.
    last: Option<Upstream>,
    /// The position up to which all changes are applied, none before the first
    /// read.
    after: Option<Position>,
    /// Whether the store no longer has the changes after that position, because it
    /// has dropped its history or has come back from an older copy.
    compacted: bool,
    /// Whether the last answer of the store may have left out later changes.
    has_more: bool,
    /// The timeout of the next call to the store.
    timeout: Millis,
    /// The delay after the next failed call, from its start.
    retry_delay: Millis,
    /// Keeps what is known while a store that came back from an older copy lacks it.
    hold: Hold,
    /// Whether a call to the store failed and no upstream has answered since.
    store_failed: bool,
    /// The start of the current call.
    call_start: Millis,
}

impl Feed {
    fn new(state: Arc<State>) -> Self {
        Self {
            state,
            upstreams: UpstreamSelector::default(),
            seeds: SeedSelector::default(),
            last: None,
            after: None,
            compacted: false,
            has_more: false,
            hold: Hold::default(),
            timeout: TIMEOUT_MIN,
            retry_delay: RETRY_DELAY_MIN,
            store_failed: false,
            call_start: Millis(0),
        }
    }

    /// Returns the era of the state that this entry has.
    fn era(&self) -> Option<Era> {
        self.after.map(|position| position.era)
    }

    fn count_sync(&self, upstream: &'static str, scope: &'static str, result: &'static str) {
        let metrics = &self.state.ports.metrics;
        metrics.count_sync(upstream, scope, result);
    }

    /// Returns the time since the store was known to be in the state that this
    /// entry has.
    fn state_age(&self) -> Millis {
        self.state.age(now(&self.state))
    }

    /// Returns the time since the current call started.
    fn call_time(&self) -> Millis {
        now(&self.state) - self.call_start
    }

    /// Returns the time since the current call started and the age of the state, in
    /// milliseconds, for the log lines of calls that failed.
    fn log_times(&self) -> (u64, u64) {
        (self.call_time().0, self.state_age().0)
    }

    /// Calls the upstream once and applies the changes. Returns the time from
    /// the start of this step to that of the next one.
    async fn step(&mut self, start: Millis) -> Millis {
        self.apply_deferred(start);
        let Some(after) = self.after else {
            return self.read_first(start).await;
        };
        let upstream = self.choose_upstream(start);
        match &upstream {
            Upstream::Store if self.compacted => self.read_all(start).await,
            Upstream::Store => {
                let followed = self.upstreams.has_followers() || self.state.is_followed(start);
                let next = self.state.chain_times().poll_period(followed);
                self.step_store(start, after, next).await
            }
            Upstream::Entry(_, addr) | Upstream::Seed(addr) => {
                match self.poll_entry(&upstream, *addr, after).await {
                    Ok(()) => Millis(0),
                    Err(EntryError::Compacted) if self.compacted => self.read_all(start).await,
                    Err(EntryError::Compacted) => {
                        // The store may still have the history that the entry
                        // dropped.
                        let next = self.state.chain_times().poll_period(true);
                        self.step_store(start, after, next).await
                    }
                    Err(EntryError::Failed(failure)) => {
                        let now = now(&self.state);
                        self.upstreams.record_failure(now, &upstream, failure);
                        self.record_seed_failure(&upstream);
                        let is_late = self.state_age() > self.state.chain_times().max_age();
                        if failure == UpstreamFailure::NoEra && is_late {
                            // Others of that version may come next in the ranking, and
                            // each may wait for changes before it answers.
                            return self.step_store(now, after, Millis(0)).await;
                        }
                        Millis(0)
                    }
                }
            }
        }
    }

    /// Selects the upstream of the next call.
    fn choose_upstream(&mut self, start: Millis) -> Upstream {
        if self.has_more {
            // Another entry may be about to catch up itself. Entries that start
            // together would wait for each other.
            return Upstream::Store;
        }
        let settings = self.state.settings();
        let entries = self.state.entries();
        let mut near = entries.in_region(&settings.region).peekable();
        if near.peek().is_none()
            && let Some(seed) = self.choose_seed(start, &settings)
        {
            return Upstream::Seed(seed);
        }
        self.upstreams.choose(start, &settings.name, near)
    }

    /// Polls the store. Returns the time to the next step: `next`, or the retry
    /// delay if the store did not answer.
    async fn step_store(&mut self, start: Millis, after: Position, next: Millis) -> Millis {
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
    async fn read_all(&mut self, start: Millis) -> Millis {
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

    /// Polls another entry for changes.
    ///
    /// # Errors
    ///
    /// Returns an error, after logging it, if the entry does not answer, if its
    /// state is too old, or if it no longer has the changes.
    async fn poll_entry(
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

    fn log_failed_entry(&self, upstream: &Upstream, cause: &dyn std::fmt::Display) {
        let (took_ms, age_ms) = self.log_times();
        tracing::warn!(%upstream, %cause, took_ms, age_ms, "feed: the upstream entry failed.");
    }

    /// Records that an upstream answered with the state of the store at `as_of`.
    fn record_answer(&mut self, upstream: Upstream, as_of: Millis) {
        if self.store_failed {
            tracing::info!("feed: the platform is available again.");
        }
        let now = now(&self.state);
        self.upstreams.record_answer(now, &upstream, as_of);
        if let Upstream::Seed(_) = upstream {
            self.seeds.record_answer();
        }
        if self.last.as_ref() != Some(&upstream) {
            match &upstream {
                Upstream::Store => tracing::info!("feed: polling the store."),
                Upstream::Entry(name, _) => {
                    tracing::info!(%name, "feed: polling another entry.");
                }
                Upstream::Seed(seed) => tracing::info!(%seed, "feed: polling a seed."),
            }
            self.last = Some(upstream);
        }
        self.store_failed = false;
        self.timeout = TIMEOUT_MIN;
        self.retry_delay = RETRY_DELAY_MIN;
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

/// Returns the result of a failed call to an entry, as the metrics name it.
fn result_of(e: &FetchError) -> &'static str {
    match e {
        FetchError::Compacted => "compacted",
        FetchError::NoEra => "no_era",
        FetchError::Empty | FetchError::Failed { .. } => "failed",
    }
}
