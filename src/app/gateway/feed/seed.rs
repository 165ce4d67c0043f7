//! Reads from the seeds that the settings name, and follows one of them while no entry of
//! the region is announced.

use std::net::SocketAddr;

use super::{Feed, apply::Scope, now, peer::result_of};
use crate::{
    domain::Millis,
    policy::upstream::Upstream,
    ports::{FetchRequest, VmSettings},
};

/// How long a seed may wait for its own first read, as long as a slow store takes.
const READ_WAIT: Millis = Millis(250);

/// The time from the start of a failed read to the next one. The listener of a seed that
/// starts at the same moment may not be open yet.
const READ_RETRY_DELAY: Millis = Millis(250);

impl Feed {
    /// Reads the complete state for the first time. Returns the time from the start of
    /// this step to that of the next one.
    pub(super) async fn read_first(&mut self, start: Millis) -> Millis {
        let settings = self.state.settings();
        let VmSettings {
            name,
            control,
            seeds,
            ..
        } = &*settings;
        let Some(seed) = self.seeds.choose_read(start, name, *control, seeds) else {
            return self.read_all(start).await;
        };
        self.call_start = start;
        let max_age = self.state.chain_times().max_age();
        if self.read_seed(seed, READ_WAIT, max_age).await {
            self.seeds.record_answer();
            return Millis(0);
        }
        self.seeds.record_failure(now(&self.state), seeds.len());
        READ_RETRY_DELAY
    }

    /// Reads the complete state from a seed, which may wait for its own first read.
    /// Returns whether it had one of at most the given age.
    pub(super) async fn read_seed(
        &mut self,
        seed: SocketAddr,
        wait: Millis,
        max_age: Millis,
    ) -> bool {
        let request = FetchRequest {
            peer: seed,
            after: None,
            wait,
            report: None,
        };
        match (self.state.ports.changes.fetch)(request).await {
            // It must not take back what this entry knows already.
            Ok(aged) if Some(aged.batch.position) < self.after || aged.age > max_age => {
                self.count_sync("entry", "complete", "outdated");
                let position = aged.batch.position;
                tracing::info!(%seed, %position, age = %aged.age, "feed: a seed has an older state.");
                false
            }
            Ok(aged) => {
                self.count_sync("entry", "complete", "ok");
                let as_of = now(&self.state) - aged.age;
                tracing::info!(%seed, age = %aged.age, "feed: read the complete state from an entry.");
                self.apply(as_of, aged.batch, Scope::Complete);
                true
            }
            Err(e) => {
                self.count_sync("entry", "complete", result_of(&e));
                tracing::warn!(%seed, cause = %e, "feed: a seed did not answer.");
                false
            }
        }
    }

    /// Selects a seed to follow, if this entry is none itself.
    pub(super) fn choose_seed(&self, start: Millis, settings: &VmSettings) -> Option<SocketAddr> {
        let VmSettings {
            name,
            control,
            seeds,
            ..
        } = settings;
        self.seeds.choose_follow(start, name, *control, seeds)
    }

    /// Records that an upstream failed, if it is a seed.
    pub(super) fn record_seed_failure(&mut self, upstream: &Upstream) {
        if let Upstream::Seed(_) = upstream {
            let count = self.state.settings().seeds.len();
            self.seeds.record_failure(now(&self.state), count);
        }
    }
}
