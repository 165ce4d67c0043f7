//! Applies changes of the platform to the state of the gateway.

use std::{collections::BTreeSet, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::{Feed, State, now};
use crate::{
    domain::{Configuration, Millis, RequestKind, Revision},
    policy::{balance::RegistryChange, route::Table},
    ports::{Batch, Change},
};

impl Feed {
    /// Applies changes that the store held at the time `as_of`. A complete
    /// batch lists all items, so items that it does not contain are removed.
    pub(super) fn apply(&mut self, as_of: Millis, batch: Batch, complete: bool) {
        let at = now(&self.state);
        let Batch { changes, revision } = batch;
        self.log_outdated(at, as_of);
        self.state.registry().record_answer(as_of);
        if complete {
            remove_unlisted(&self.state, at, &changes);
        }
        let mut new_changes = Vec::new();
        for change in changes {
            if apply_change(&self.state, at, &change) {
                new_changes.push(change);
            }
        }
        self.remove_expired();
        let targets = self.state.registry().len();
        if complete && targets > 0 {
            let took_ms = self.call_time().0;
            let before = self.state.change_log().revision();
            tracing::info!(targets, %revision, %before, took_ms, "feed: read the complete state.");
        }
        if targets > 0 {
            self.state.set_has_targets();
        }
        self.state.refresh_peers(at);
        self.after = self.after.max(Some(revision));
        self.compacted = false;
        self.state.publish(as_of, revision, new_changes, complete);
    }

    /// Logs that the state was older than the time within which changes must
    /// take effect, now that the state of the store at `as_of` is known.
    fn log_outdated(&self, at: Millis, as_of: Millis) {
        let (revision, before) = {
            let log = self.state.change_log();
            (log.revision(), log.as_of())
        };
        let known = revision > Revision(0);
        let limit = self.state.bound_fraction(1.0);
        if known && before < as_of && at - before > limit {
            let (age_ms, limit_ms) = ((at - before).0, limit.0);
            tracing::warn!(age_ms, limit_ms, "feed: the state was out of date.");
            self.state.ports.metrics.outdated.inc();
        }
    }

    /// Removes the targets whose grace period has ended.
    pub(super) fn remove_expired(&self) {
        let at = now(&self.state);
        let registry_changes = self.state.registry().remove_expired(at);
        update_pools(&self.state, at, registry_changes);
    }
}

/// Removes the targets, entries and evacuations that a complete batch does not
/// contain.
fn remove_unlisted(state: &State, at: Millis, changes: &[Change]) {
    let mut targets = BTreeSet::new();
    let mut entries = BTreeSet::new();
    let mut evacuated = BTreeSet::new();
    for change in changes {
        match change {
            Change::Registered(instance) => {
                targets.insert(&instance.id);
            }
            Change::Joined(presence) => {
                entries.insert(&presence.name);
            }
            Change::Evacuated(az) => {
                evacuated.insert(az.clone());
            }
            _ => {}
        }
    }
    let registry_changes = state.registry().retain(at, |id| targets.contains(id));
    state.entries().retain(at, |name| entries.contains(name));
    if *state.evacuated() != evacuated {
        state.set_evacuated(evacuated);
    }
    update_pools(state, at, registry_changes);
}

/// Applies a change. Returns whether other entries need it, which they do not
/// if it is only a heartbeat, or cannot be read and concerns no known target.
fn apply_change(state: &State, at: Millis, change: &Change) -> bool {
    match change {
        Change::Configured(config) => apply_configuration(state, config),
        Change::Evacuated(az) => {
            let mut evacuated = BTreeSet::clone(&state.evacuated());
            if evacuated.insert(az.clone()) {
                tracing::info!(%az, "feed: availability zone evacuated.");
                state.set_evacuated(evacuated);
            }
        }
        Change::Restored(az) => {
            let mut evacuated = BTreeSet::clone(&state.evacuated());
            if evacuated.remove(az) {
                tracing::info!(%az, "feed: availability zone restored.");
                state.set_evacuated(evacuated);
            }
        }
        Change::Registered(instance) => {
            let registry_change = state.registry().put(instance.clone());
            let new = registry_change.is_some();
            update_pools(state, at, registry_change);
            return new;
        }
        Change::Unregistered(id) => {
            let registry_change = state.registry().remove(at, id);
            update_pools(state, at, registry_change);
        }
        Change::Joined(presence) => state.entries().join(presence.clone()),
        Change::Left(name) => state.entries().leave(at, name),
        Change::Unreadable { key, cause, target } => {
            tracing::warn!(key, cause, "feed: skipped an item that cannot be read.");
            let id = target.as_ref();
            let registry_change = id.and_then(|id| state.registry().withdraw(id));
            let known = registry_change.is_some();
            update_pools(state, at, registry_change);
            return known;
        }
    }
    true
}

/// Puts a configuration into effect if it is newer than the current one.
fn apply_configuration(state: &State, config: &Configuration) {
    let version = config.version;
    let current = state.table().map(|t| t.version);
    if current.is_some_and(|v| version <= v) {
        return;
    }
    let seed = xxh3_64(state.settings().name.as_bytes());
    match Table::compile(config.clone(), seed) {
        Ok(table) => {
            log_unknown_kinds(state, &table);
            state.set_table(Arc::new(table));
            tracing::info!(%version, "feed: configuration in effect.");
        }
        Err(e) => {
            tracing::warn!(%version, cause = %e, "feed: configuration rejected.");
        }
    }
}

/// Logs and counts the routes whose kind this version does not know, because
/// their requests are not repeated although the operator may expect that.
fn log_unknown_kinds(state: &State, table: &Table) {
    let unknown = || table.rules().filter(|r| r.kind == RequestKind::Unknown);
    for rule in unknown() {
        let (version, route) = (table.version, &rule.name);
        tracing::warn!(%version, route, "feed: the kind of a route is unknown, its requests run at most once.");
    }
    let count = i64::try_from(unknown().count()).unwrap_or(i64::MAX);
    state.ports.metrics.unknown_kinds.set(count);
}

/// Applies changes of the registry to the target pools of the services.
fn update_pools(
    state: &State,
    at: Millis,
    registry_changes: impl IntoIterator<Item = RegistryChange>,
) {
    let settings = state.settings();
    for registry_change in registry_changes {
        match registry_change {
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
                tracing::info!(%target, service = %instance.service, "feed: target removed.");
                state
                    .pools
                    .get(&instance.service, |pool| pool.remove(at, target));
            }
        }
    }
}
