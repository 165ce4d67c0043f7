//! Applies changes of the platform to the state of the gateway.

use std::{collections::BTreeSet, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::{Feed, State, hold::Decision, now};
use crate::{
    domain::{
        Configuration, Instance, InstanceId, Millis, Position, RequestKind, Revision, ServiceName,
    },
    policy::{balance::RegistryChange, route::Table, upstream::ChangeLog},
    ports::{Batch, Change},
};

/// What a batch of changes covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// All items, so that items that are not listed do not exist.
    Complete,
    /// The difference to the position that the entry has.
    Difference,
    /// Every change since the position that the entry has.
    Changes,
    /// The first of these changes. Nothing shows yet how old the state is that
    /// they lead to.
    FirstChanges,
}

impl Feed {
    /// Applies changes that the store held at the time `as_of`.
    ///
    /// Entries that follow this one get a complete batch as the difference to
    /// the state before it. Otherwise each of them would have to read the
    /// complete state, too, all at the same time.
    pub(super) fn apply(&mut self, as_of: Millis, batch: Batch, scope: Scope) {
        let at = now(&self.state);
        let Batch {
            mut changes,
            position,
        } = batch;
        if scope != Scope::FirstChanges {
            self.log_outdated(at, as_of);
        }
        self.state.registry().record_answer(as_of);
        let is_new_era = self.begin_era(as_of, position);
        if scope == Scope::Complete {
            let removals = removals_of_unlisted(&self.state, &changes);
            changes.splice(0..0, removals);
            let me = &self.state.settings().name;
            let is_me = |c: &Change| matches!(c, Change::Joined(p) if p.name == *me);
            let is_listed = changes.iter().any(is_me);
            self.state.entries().record_read(is_listed);
        }
        // What led to the new era is a difference, however it is reported.
        let scope = match scope {
            Scope::Changes if is_new_era => Scope::Difference,
            scope => scope,
        };
        changes.retain(
            |change| match self.hold.decide(&self.state, at, change, scope) {
                Decision::Apply => apply_change(&self.state, at, change),
                Decision::Replace => {
                    apply_change(&self.state, at, change);
                    true
                }
                Decision::Defer => true,
                Decision::Drop => false,
            },
        );
        if !changes.is_empty() {
            let (changed, age_ms) = (changes.len(), (at - as_of).0);
            tracing::info!(%position, changed, age_ms, "feed: applied changes.");
        }
        if is_new_era {
            let deferred = self.hold.deferred();
            tracing::info!(%position, deferred, "feed: in a new era, keeping what the store has lost.");
        }
        if scope != Scope::FirstChanges {
            self.remove_expired();
        }
        let targets = self.state.registry().len();
        if scope == Scope::Complete && targets > 0 {
            let (took_ms, changed) = (self.call_time().0, changes.len());
            let before = self.after.unwrap_or_default();
            tracing::info!(targets, %position, %before, changed, took_ms, "feed: read the complete state.");
        }
        if targets > 0 {
            self.state.set_has_targets();
        }
        self.state.refresh_peers(at);
        if scope != Scope::FirstChanges {
            self.state.entries().record_state(as_of);
        }
        let is_first = self.after.is_none();
        self.after = self.after.max(Some(position));
        let era = i64::try_from(position.era.0).unwrap_or(i64::MAX);
        self.state.ports.metrics.store_era.set(era);
        self.compacted = false;
        let configured = changes.iter().any(|c| matches!(c, Change::Configured(_)));
        let in_effect = self.state.table().filter(|_| configured);
        let in_effect = in_effect.map(|table| table.version);
        let add = |log: &mut ChangeLog<Change>| {
            match scope {
                Scope::Complete if is_first => log.reset(as_of, position),
                Scope::Complete | Scope::Difference => {
                    log.push_difference(as_of, position, changes);
                }
                Scope::Changes => log.push(as_of, position, changes),
                Scope::FirstChanges => {
                    let before = log.as_of();
                    log.push(before, position, changes);
                }
            }
            if let Some(version) = in_effect {
                log.remove_replaced(|c| is_configured_before(c, version));
            }
        };
        if scope == Scope::FirstChanges {
            // The entries that wait are told with the last of the changes. Now
            // they would take this entry for one that has lost the store, because
            // its state is as old as before.
            add(&mut self.state.change_log());
        } else {
            self.state.publish(add);
        }
    }

    /// Logs that the state was older than the time within which changes must
    /// take effect, now that the state of the store at `as_of` is known.
    fn log_outdated(&self, at: Millis, as_of: Millis) {
        let (position, before) = {
            let log = self.state.change_log();
            (log.position(), log.as_of())
        };
        let known = position > Position::default();
        let limit = self.state.change_bound();
        if known && before < as_of && at - before > limit {
            let (age_ms, limit_ms) = ((at - before).0, limit.0);
            tracing::warn!(age_ms, limit_ms, "feed: the state was out of date.");
            self.state.ports.metrics.outdated.inc();
        }
    }

    /// Begins to hold what this entry knows if a position is in a later era than the
    /// state of this entry. Returns whether it is.
    fn begin_era(&mut self, as_of: Millis, position: Position) -> bool {
        let Some(before) = self.after.filter(|before| before.era < position.era) else {
            return false;
        };
        self.hold.begin(as_of);
        self.state.set_settled(Some(before));
        true
    }

    /// Applies the changes that were deferred until now, because they may have been
    /// written again. Other entries defer them themselves.
    pub(super) fn apply_deferred(&mut self, at: Millis) {
        let changes = self.hold.take_due(at);
        for change in &changes {
            apply_change(&self.state, at, change);
        }
        if !changes.is_empty() {
            let count = changes.len();
            tracing::info!(
                count,
                "feed: applied what was not written again in the new era."
            );
            self.remove_expired();
            self.state.refresh_peers(at);
        }
        if self.hold.end(at) {
            let position = self.after.unwrap_or_default();
            tracing::info!(%position, "feed: caught up with the new era.");
            self.state.set_settled(None);
        }
    }

    /// Removes the targets whose grace period has ended.
    pub(super) fn remove_expired(&self) {
        let at = now(&self.state);
        let registry_changes = self.state.registry().remove_expired(at);
        update_pools(&self.state, at, registry_changes);
    }
}

/// Returns changes that remove the targets, entries and evacuations that a
/// complete batch does not contain.
fn removals_of_unlisted(state: &State, listed: &[Change]) -> Vec<Change> {
    let mut targets = BTreeSet::new();
    let mut entries = BTreeSet::new();
    let mut evacuated = BTreeSet::new();
    for change in listed {
        match change {
            Change::Registered(instance) => {
                targets.insert(&instance.id);
            }
            Change::Joined(presence) => {
                entries.insert(&presence.name);
            }
            Change::Evacuated(az) => {
                evacuated.insert(az);
            }
            _ => {}
        }
    }
    let mut removals = Vec::new();
    {
        let registry = state.registry();
        let ids = registry.targets().map(|i| &i.id);
        let gone = ids.filter(|id| !targets.contains(id));
        removals.extend(gone.cloned().map(Change::Unregistered));
    }
    {
        let known = state.entries();
        let names = known.all().map(|p| &p.name);
        let gone = names.filter(|name| !entries.contains(name));
        removals.extend(gone.cloned().map(Change::Left));
    }
    let before = state.evacuated();
    let ended = before.iter().filter(|az| !evacuated.contains(az));
    removals.extend(ended.cloned().map(Change::Restored));
    removals
}

/// Applies a change. Returns whether other entries need it, which they do not
/// if it changes nothing, as a heartbeat, or cannot be read and concerns no
/// known target.
fn apply_change(state: &State, at: Millis, change: &Change) -> bool {
    match change {
        Change::Configured(config) => apply_configuration(state, config),
        Change::Evacuated(az) => {
            let mut evacuated = BTreeSet::clone(&state.evacuated());
            let is_new = evacuated.insert(az.clone());
            if is_new {
                tracing::info!(%az, "feed: availability zone evacuated.");
                state.set_evacuated(evacuated);
            }
            is_new
        }
        Change::Restored(az) => {
            let mut evacuated = BTreeSet::clone(&state.evacuated());
            let known = evacuated.remove(az);
            if known {
                tracing::info!(%az, "feed: availability zone restored.");
                state.set_evacuated(evacuated);
            }
            known
        }
        Change::Registered(instance) => {
            let registry_change = state.registry().put(instance.clone());
            let new = registry_change.is_some();
            update_pools(state, at, registry_change);
            new
        }
        Change::Unregistered(id) => {
            let registry_change = state.registry().remove(at, id);
            update_pools(state, at, registry_change);
            // Also if its grace period keeps the target here: each entry has its own.
            true
        }
        Change::Joined(presence) => state.entries().join(presence.clone()),
        Change::Left(name) => state.entries().leave(at, name),
        Change::Unreadable { key, cause, target } => {
            tracing::warn!(key, cause, "feed: skipped an item that cannot be read.");
            let id = target.as_ref();
            let registry_change = id.and_then(|id| state.registry().withdraw(id));
            let known = registry_change.is_some();
            update_pools(state, at, registry_change);
            known
        }
    }
}

/// Returns whether a change is a configuration before a version. Every entry that gets
/// that version, or already has it, ignores such a configuration.
fn is_configured_before(change: &Change, version: Revision) -> bool {
    matches!(change, Change::Configured(config) if config.version < version)
}

/// Puts a configuration into effect if it is newer than the current one, and
/// returns whether it is.
fn apply_configuration(state: &State, config: &Configuration) -> bool {
    let version = config.version;
    if state.table().is_some_and(|t| !t.is_replaced_by(config)) {
        return false;
    }
    let seed = xxh3_64(state.settings().name.as_bytes());
    match Table::compile(config.clone(), seed) {
        Ok(table) => {
            log_unknown_kinds(state, &table);
            log_shared_keys(&table);
            state.set_table(Arc::new(table));
            tracing::info!(%version, "feed: configuration in effect.");
        }
        Err(e) => {
            tracing::warn!(%version, cause = %e, "feed: configuration rejected.");
        }
    }
    true
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

/// Logs the workspaces that state a key of another one, whose callers do not get what
/// the operator may expect.
fn log_shared_keys(table: &Table) {
    for (owner, other) in table.shared_keys() {
        let version = table.version;
        tracing::warn!(%version, %owner, %other, "feed: two workspaces have one key, the first one keeps it.");
    }
}

/// Applies changes of the registry to the target pools of the services.
fn update_pools(
    state: &State,
    at: Millis,
    registry_changes: impl IntoIterator<Item = RegistryChange>,
) {
    for registry_change in registry_changes {
        match registry_change {
            RegistryChange::Put(instance) => put_target(state, at, &instance),
            RegistryChange::Move(from, instance) => {
                remove_target(state, at, &from, &instance.id);
                put_target(state, at, &instance);
            }
            RegistryChange::Remove(instance) => {
                remove_target(state, at, &instance.service, &instance.id);
            }
        }
    }
}

fn put_target(state: &State, at: Millis, instance: &Instance) {
    let settings = state.settings();
    let service = instance.service.clone();
    state.pools.with(service, Default::default, |pool| {
        if pool.put(at, instance.clone(), &settings.zones) {
            let (target, state) = (&instance.id, instance.state);
            tracing::info!(%target, %state, service = %instance.service, "feed: target changed.");
        }
    });
}

fn remove_target(state: &State, at: Millis, service: &ServiceName, target: &InstanceId) {
    tracing::info!(%target, %service, "feed: target removed.");
    state.pools.get(service, |pool| pool.remove(at, target));
}
