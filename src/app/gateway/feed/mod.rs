//! Keeps up with the platform's orders, targets and entries.
//!
//! One entry of each region asks the store, the others ask that entry, as
//! [`UpstreamSelector`] decides. [`apply`] adopts what either of them tells and notes it
//! for those who ask this entry.

mod apply;

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;

use super::{State, now};
use crate::{
    domain::{EntryId, Millis, Revision},
    policy::upstream::{Upstream, UpstreamSelector},
    ports::{Ask, AskError, PlatformError, Poll},
};

/// The part of the users' bounds after which the store is asked again by an entry
/// that nobody follows. The rest covers the call itself and a second one after a
/// refusal. Each call has a price, and targets' heartbeats change the store all
/// the time, so that a call seldom waits.
const PERIOD_PART: f64 = 0.55;

/// The part of the bounds after which a source asks again. What remains has to
/// cover the time until its followers notice that it is silent.
const SOURCE_PART: f64 = 0.3;

/// The part of the bounds up to which what another entry tells is recent.
const AGE_PART: f64 = 0.55;

/// How long an entry that is asked waits for news beyond the period of a source.
const ASK_SLACK: Millis = Millis(300);

/// How long the store waits for a change if there is none.
const WAIT: Millis = Millis(500);

/// The longest random pause before a call.
const JITTER: Millis = Millis(50);

/// How long a call may take at first. A connection may be silent for good, which
/// only the end of the call shows.
const LIMIT_MIN: Millis = Millis(1_000);

/// How long a call may take at most. The limit doubles with each failure, because
/// the registry of a large site takes seconds over a narrow link that is busy, and
/// what has to be read grows with each call that is given up.
const LIMIT_MAX: Millis = Millis(4_000);

/// The time from a first call that failed to the next. It doubles with each further one,
/// since calls that the store refuses have a price, too.
const PAUSE_MIN: Millis = Millis(250);

/// The longest time from a call that failed to the next.
const PAUSE_MAX: Millis = Millis(1_000);

/// Follows the platform until the process ends.
pub(super) async fn run(state: Arc<State>) {
    let mut feed = Feed::new(state);
    feed.state.refresh_peers(now(&feed.state));
    loop {
        let start = now(&feed.state);
        let next = feed.step(start).await;
        let pause = start + next - now(&feed.state);
        // Without jitter all entries would call at the same moment for good.
        let jitter = Millis(rand::rng().random_range(0..=JITTER.0));
        tokio::time::sleep((pause + jitter).duration()).await;
    }
}

struct Feed {
    state: Arc<State>,
    upstreams: UpstreamSelector,
    /// The upstream of the last answer.
    last: Option<Upstream>,
    /// The revision up to which everything is known.
    after: Option<Revision>,
    /// How long the next call to the store may take.
    limit: Millis,
    /// The time from the next call that fails to the one after it.
    pause: Millis,
    lost: bool,
}

impl Feed {
    fn new(state: Arc<State>) -> Self {
        Self {
            state,
            upstreams: UpstreamSelector::default(),
            last: None,
            after: None,
            limit: LIMIT_MIN,
            pause: PAUSE_MIN,
            lost: false,
        }
    }

    /// Asks once and adopts what it learns. Returns how long after its start the
    /// next step is due.
    async fn step(&mut self, start: Millis) -> Millis {
        let Some(after) = self.after else {
            return self.learn(start).await;
        };
        let settings = self.state.settings();
        let upstream = {
            let entries = self.state.entries();
            let near = entries.in_region(&settings.region);
            self.upstreams.choose(start, &settings.name, near)
        };
        match &upstream {
            Upstream::Store => {
                let followed = self.upstreams.has_followers() || self.state.is_source(start);
                let part = if followed { SOURCE_PART } else { PERIOD_PART };
                let next = self.state.part(part);
                self.poll_next(start, after, next).await
            }
            Upstream::Entry(name, addr) => match self.ask(name, *addr, after).await {
                Ok(()) => Millis(0),
                Err(AskError::Compacted) => {
                    // The store still has what the entry no longer knows.
                    let next = self.state.part(SOURCE_PART);
                    self.poll_next(start, after, next).await
                }
                Err(e) => {
                    tracing::warn!(%name, cause = %e, "feed: the entry that passes changes on failed.");
                    self.upstreams.record_failure(now(&self.state), &upstream);
                    Millis(0)
                }
            },
        }
    }

    /// Asks the store for changes. Returns when the next step is due: `next` after
    /// the start, or sooner if the store did not answer.
    async fn poll_next(&mut self, start: Millis, after: Revision, next: Millis) -> Millis {
        if self.poll(start, after).await.is_ok() {
            return next;
        }
        self.upstreams
            .record_failure(now(&self.state), &Upstream::Store);
        self.backoff()
    }

    /// Returns after which time from the start of a failed call the next is due.
    /// A call that the store refuses ends at once, one that it leaves unanswered
    /// takes longer than any pause.
    fn backoff(&mut self) -> Millis {
        let pause = self.pause;
        self.pause = (pause + pause).min(PAUSE_MAX);
        pause
    }

    /// Reads everything from the store or, if that fails, from an entry.
    async fn learn(&mut self, start: Millis) -> Millis {
        let read = (self.state.ports.platform.read)(self.limit).await;
        match read {
            Ok(batch) => {
                self.answered(Upstream::Store);
                self.apply(start, batch, true);
                return Millis(0);
            }
            Err(e) => self.failed(&e),
        }
        let settings = self.state.settings();
        for seed in &settings.seeds {
            if Some(*seed) == settings.control {
                continue;
            }
            let ask = Ask {
                peer: *seed,
                after: None,
                wait: Millis(0),
            };
            match (self.state.ports.changes.ask)(ask).await {
                Ok(news) => {
                    let known = now(&self.state) - news.age;
                    tracing::info!(%seed, age = %news.age, "feed: read everything from an entry.");
                    self.apply(known, news.batch, true);
                    return Millis(0);
                }
                Err(e) => tracing::warn!(%seed, cause = %e, "feed: a seed did not answer."),
            }
        }
        self.backoff()
    }

    /// Asks the store for changes.
    ///
    /// # Errors
    ///
    /// Returns an error, which is logged already, if the store did not answer.
    async fn poll(&mut self, start: Millis, after: Revision) -> Result<(), ()> {
        // The return of the store must not be missed for want of a change.
        let wait = if self.lost { Millis(0) } else { WAIT };
        let limit = self.limit;
        let poll = Poll { after, wait, limit };
        match (self.state.ports.platform.poll)(poll).await {
            Ok(batch) => {
                self.answered(Upstream::Store);
                self.apply(start, batch, false);
                Ok(())
            }
            Err(PlatformError::Compacted) => {
                tracing::warn!("feed: the store's history is gone, reading everything again.");
                self.after = None;
                Ok(())
            }
            Err(e) => {
                self.failed(&e);
                Err(())
            }
        }
    }

    /// Asks another entry for changes.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer or knows nothing recent.
    async fn ask(
        &mut self,
        name: &EntryId,
        peer: SocketAddr,
        after: Revision,
    ) -> Result<(), AskError> {
        // While the store turns this entry away, it has to look further at once.
        let wait = if self.lost {
            Millis(0)
        } else {
            self.state.part(SOURCE_PART) + ASK_SLACK
        };
        let after = Some(after);
        let news = (self.state.ports.changes.ask)(Ask { peer, after, wait }).await?;
        let limit = self.state.part(AGE_PART);
        if news.age > limit {
            return Err(AskError::Failed {
                step: "ask for changes",
                peer,
                cause: format!("what it knows is {} old, the limit is {limit}", news.age),
            });
        }
        self.answered(Upstream::Entry(name.clone(), peer));
        self.apply(now(&self.state) - news.age, news.batch, false);
        Ok(())
    }

    /// Notes that an upstream answered.
    fn answered(&mut self, upstream: Upstream) {
        if self.lost {
            tracing::info!("feed: the platform is back.");
        }
        if upstream == Upstream::Store {
            self.upstreams.record_store_answer(now(&self.state));
        }
        if self.last.as_ref() != Some(&upstream) {
            match &upstream {
                Upstream::Store => tracing::info!("feed: asking the store for changes."),
                Upstream::Entry(name, _) => {
                    tracing::info!(%name, "feed: asking an entry for changes.");
                }
            }
            self.last = Some(upstream);
        }
        self.lost = false;
        self.limit = LIMIT_MIN;
        self.pause = PAUSE_MIN;
    }

    /// Notes that the store did not answer.
    fn failed(&mut self, e: &PlatformError) {
        if !self.lost {
            tracing::warn!(cause = %e, "feed: the store is lost.");
        }
        self.lost = true;
        self.limit = (self.limit + self.limit).min(LIMIT_MAX);
        self.expire();
    }
}
