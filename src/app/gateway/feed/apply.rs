//! Adopts what the platform tells.

use std::{collections::BTreeSet, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::{Feed, State, now};
use crate::{
    domain::{Configuration, Millis},
    policy::{balance::RegistryChange, route::Table},
    ports::{Batch, Change},
};

impl Feed {
    /// Adopts what was true at the instant `known`. A whole batch lists everything
    /// there is, so that what it does not list is gone.
    pub(super) fn apply(&mut self, known: Millis, batch: Batch, whole: bool) {
        let at = now(&self.state);
        let Batch { changes, revision } = batch;
        self.state.registry().record_answer(known);
        if whole {
            forget(&self.state, at, &changes);
        }
        let mut news = Vec::new();
        for change in changes {
            if adopt(&self.state, at, &change) {
                news.push(change);
            }
        }
        self.expire();
        let targets = self.state.registry().len();
        if whole && targets > 0 {
            tracing::info!(targets, %revision, "feed: read everything.");
        }
        if targets > 0 {
            self.state.set_targets();
        }
        self.state.refresh_peers(at);
        self.after = self.after.max(Some(revision));
        self.state.publish(known, revision, news, whole);
    }

    /// Removes the targets whose grace time has ended.
    pub(super) fn expire(&self) {
        let at = now(&self.state);
        let steps = self.state.registry().remove_expired(at);
        take(&self.state, at, steps);
    }
}

/// Drops what a complete list does not contain any more.
fn forget(state: &State, at: Millis, changes: &[Change]) {
    let mut targets = BTreeSet::new();
    let mut entries = BTreeSet::new();
    let mut closed = BTreeSet::new();
    for change in changes {
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
    let steps = state.registry().retain(at, |id| targets.contains(id));
    state.entries().retain(at, |name| entries.contains(name));
    if *state.closed() != closed {
        state.set_closed(closed);
    }
    take(state, at, steps);
}

/// Adopts a change. Returns whether it tells anything new, which a heartbeat
/// does not.
fn adopt(state: &State, at: Millis, change: &Change) -> bool {
    match change {
        Change::Configured(config) => configure(state, config),
        Change::Evacuated(az) => {
            let mut closed = BTreeSet::clone(&state.closed());
            if closed.insert(az.clone()) {
                tracing::info!(%az, "feed: availability zone evacuated.");
                state.set_closed(closed);
            }
        }
        Change::Restored(az) => {
            let mut closed = BTreeSet::clone(&state.closed());
            if closed.remove(az) {
                tracing::info!(%az, "feed: availability zone taken back.");
                state.set_closed(closed);
            }
        }
        Change::Registered(instance) => {
            let step = state.registry().put(instance.clone());
            let new = step.is_some();
            take(state, at, step);
            return new;
        }
        Change::Unregistered(id) => {
            let step = state.registry().remove(at, id);
            take(state, at, step);
        }
        Change::Joined(presence) => state.entries().join(presence.clone()),
        Change::Left(name) => state.entries().leave(at, name),
        Change::Unreadable { key, cause } => {
            tracing::warn!(
                key,
                cause,
                "feed: an item cannot be read and is passed over."
            );
            return false;
        }
    }
    true
}

fn configure(state: &State, config: &Configuration) {
    let version = config.version;
    let current = state.table().map(|t| t.version);
    if current.is_some_and(|v| version <= v) {
        return;
    }
    let seed = xxh3_64(state.settings().name.as_bytes());
    match Table::compile(config.clone(), seed) {
        Ok(table) => {
            state.set_table(Arc::new(table));
            tracing::info!(%version, "feed: configuration in force.");
        }
        Err(e) => {
            tracing::warn!(%version, cause = %e, "feed: configuration refused.");
        }
    }
}

/// Brings steps of the registry to the pools of the services.
fn take(state: &State, at: Millis, steps: impl IntoIterator<Item = RegistryChange>) {
    let settings = state.settings();
    for step in steps {
        match step {
            RegistryChange::Put(instance) => {
                let service = instance.service.clone();
                state.pools.with(service, Default::default, |pool| {
                    if pool.put(at, instance.clone(), &settings.zones) {
                        let (target, state) = (&instance.id, instance.state);
                        tracing::info!(%target, %state, service = %instance.service, "feed: target changed.");
                    }
                });
            }
            RegistryChange::Remove(instance) => {
                let target = &instance.id;
                tracing::info!(%target, service = %instance.service, "feed: target gone.");
                state
                    .pools
                    .get(&instance.service, |pool| pool.remove(target));
            }
        }
    }
}
