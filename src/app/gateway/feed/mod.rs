//! Follows the changes of the platform's configuration, targets and entries.
//!
//! One entry of each region polls the store and the others poll that entry, as
//! [`UpstreamSelector`] decides. [`apply`] applies the changes from either
//! upstream and publishes them for the entries that poll this one. The calls are in
//! [`store`], [`peer`] and [`seed`].

mod apply;
mod hold;
mod peer;
mod seed;
mod store;

use std::sync::Arc;

use rand::Rng;

pub(super) use self::hold::is_doubtful;
use self::{
    hold::Hold,
    peer::EntryError,
    store::{RETRY_DELAY_MIN, TIMEOUT_MIN},
};
use super::{State, now};
use crate::{
    domain::{Era, Millis, Position},
    policy::upstream::{SeedSelector, Upstream, UpstreamFailure, UpstreamSelector},
};

/// The maximum random delay that is added before each call.
const MAX_JITTER: Millis = Millis(50);

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
}
