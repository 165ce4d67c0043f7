//! Keeps up with the platform's orders, targets and entries.

use std::{collections::BTreeSet, sync::Arc};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{State, now};
use crate::{
    domain::{Configuration, Millis, Revision},
    policy::{
        balance::{Registry, Step},
        route::Table,
    },
    ports::{Batch, Change, PlatformError, Poll},
};

/// The part of the users' bounds after which changes are asked for again. The
/// rest covers the call itself and a second one after a refusal. Each call has a
/// price, and targets' heartbeats change the store all the time, so that a call
/// seldom waits.
const PERIOD_PART: f64 = 0.55;

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

/// The pause after a call that failed.
const PAUSE: Millis = Millis(250);

/// Follows the platform until the process ends.
pub(super) async fn run(state: Arc<State>) {
    let mut feed = Feed {
        state,
        registry: Registry::default(),
        after: None,
        limit: LIMIT_MIN,
        lost: false,
    };
    feed.state.refresh_peers(now(&feed.state));
    loop {
        let start = now(&feed.state);
        let pause = match feed.step().await {
            Ok(()) => period(&feed.state) - (now(&feed.state) - start),
            Err(()) => PAUSE,
        };
        // Without jitter all entries would call at the same moment for good.
        let jitter = Millis(rand::rng().random_range(0..=JITTER.0));
        tokio::time::sleep((pause + jitter).duration()).await;
    }
}

/// Returns how often changes are asked for.
fn period(state: &State) -> Millis {
    let bounds = &state.settings().bounds;
    let strictest = bounds.drain.min(bounds.config);
    #[expect(clippy::cast_possible_truncation)]
    Millis(strictest.duration().mul_f64(PERIOD_PART).as_millis() as u64)
}

struct Feed {
    state: Arc<State>,
    registry: Registry,
    /// The revision up to which everything is known.
    after: Option<Revision>,
    /// How long the next call may take.
    limit: Millis,
    lost: bool,
}

impl Feed {
    /// Makes one call and adopts what it brings.
    ///
    /// # Errors
    ///
    /// Returns an error, which is logged already, if the store did not answer.
    async fn step(&mut self) -> Result<(), ()> {
        let platform = &self.state.ports.platform;
        let result = match self.after {
            None => (platform.read)(self.limit).await,
            Some(after) => {
                let (wait, limit) = (WAIT, self.limit);
                (platform.poll)(Poll { after, wait, limit }).await
            }
        };
        let at = now(&self.state);
        let batch = match result {
            Ok(batch) => batch,
            Err(PlatformError::Compacted) => {
                tracing::warn!("feed: the store's history is gone, reading everything again.");
                self.after = None;
                return Box::pin(self.step()).await;
            }
            Err(e) => {
                if !self.lost {
                    tracing::warn!(cause = %e, "feed: the store is lost.");
                }
                self.lost = true;
                self.limit = (self.limit + self.limit).min(LIMIT_MAX);
                let steps = self.registry.expire(at);
                self.adopt(at, steps);
                return Err(());
            }
        };
        if self.lost {
            tracing::info!(revision = %batch.revision, "feed: the store is back.");
        }
        self.lost = false;
        self.limit = LIMIT_MIN;
        self.apply(at, batch);
        Ok(())
    }

    fn apply(&mut self, at: Millis, batch: Batch) {
        self.registry.heard(at);
        let whole = self.after.is_none();
        if whole {
            self.forget(at, &batch);
        }
        for change in batch.changes {
            self.change(at, change);
        }
        let steps = self.registry.expire(at);
        self.adopt(at, steps);
        if whole && !self.registry.is_empty() {
            let targets = self.registry.len();
            tracing::info!(targets, revision = %batch.revision, "feed: read everything.");
        }
        if !self.registry.is_empty() {
            self.state.set_targets();
        }
        self.state.refresh_peers(at);
        self.after = Some(batch.revision);
    }

    /// Drops what a complete list does not contain any more.
    fn forget(&mut self, at: Millis, batch: &Batch) {
        let mut targets = BTreeSet::new();
        let mut entries = BTreeSet::new();
        let mut closed = BTreeSet::new();
        for change in &batch.changes {
            match change {
                Change::Registered(instance) => {
                    targets.insert(&instance.id);
                }
                Change::Joined(presence) => {
                    entries.insert(&presence.name);
                }
                Change::Evacuated(az) => {
                    closed.insert(az.clone());
                }
                _ => {}
            }
        }
        let steps = self.registry.retain(at, |id| targets.contains(id));
        self.state
            .entries()
            .retain(at, |name| entries.contains(name));
        if *self.state.closed() != closed {
            self.state.set_closed(closed);
        }
        self.adopt(at, steps);
    }

    fn change(&mut self, at: Millis, change: Change) {
        match change {
            Change::Configured(config) => self.configure(*config),
            Change::Evacuated(az) => {
                let mut closed = BTreeSet::clone(&self.state.closed());
                if closed.insert(az.clone()) {
                    tracing::info!(%az, "feed: availability zone evacuated.");
                    self.state.set_closed(closed);
                }
            }
            Change::Restored(az) => {
                let mut closed = BTreeSet::clone(&self.state.closed());
                if closed.remove(&az) {
                    tracing::info!(%az, "feed: availability zone taken back.");
                    self.state.set_closed(closed);
                }
            }
            Change::Registered(instance) => {
                let step = self.registry.put(instance);
                self.adopt(at, step);
            }
            Change::Unregistered(id) => {
                let step = self.registry.remove(at, &id);
                self.adopt(at, step);
            }
            Change::Joined(presence) => self.state.entries().join(presence),
            Change::Left(name) => self.state.entries().leave(at, &name),
            Change::Unreadable { key, cause } => {
                tracing::warn!(
                    key,
                    cause,
                    "feed: an item cannot be read and is passed over."
                );
            }
        }
    }

    fn configure(&self, config: Configuration) {
        let version = config.version;
        let current = self.state.table().map(|t| t.version);
        if current.is_some_and(|v| version <= v) {
            return;
        }
        let seed = xxh3_64(self.state.settings().name.as_bytes());
        match Table::compile(config, seed) {
            Ok(table) => {
                self.state.set_table(Arc::new(table));
                tracing::info!(%version, "feed: configuration in force.");
            }
            Err(e) => {
                tracing::warn!(%version, cause = %e, "feed: configuration refused.");
            }
        }
    }

    fn adopt(&self, at: Millis, steps: impl IntoIterator<Item = Step>) {
        let settings = self.state.settings();
        for step in steps {
            match step {
                Step::Put(instance) => {
                    let service = instance.service.clone();
                    self.state.pools.with(service, Default::default, |pool| {
                        if pool.put(at, instance.clone(), &settings.zones) {
                            let (target, state) = (&instance.id, instance.state);
                            tracing::info!(%target, %state, service = %instance.service, "feed: target changed.");
                        }
                    });
                }
                Step::Remove(instance) => {
                    let target = &instance.id;
                    tracing::info!(%target, service = %instance.service, "feed: target gone.");
                    self.state
                        .pools
                        .get(&instance.service, |pool| pool.remove(target));
                }
            }
        }
    }
}
