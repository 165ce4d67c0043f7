//! What a gateway keeps.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    adapters::metrics::Metrics,
    domain::{AzName, Bounds, Millis, Revision, ServiceName, Shards},
    policy::{
        balance::{ColdQuota, Context, Pool, Registry},
        budget::RetryLimits,
        presence::Entries,
        route::Table,
        upstream::ChangeLog,
    },
    ports::{Change, Changes, Clock, Platform, Targets, VmSettings},
};

/// What a gateway needs from outside.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Time.
    pub clock: Clock,
    /// Requests to targets.
    pub targets: Targets,
    /// The platform's store.
    pub platform: Platform,
    /// What other entries know of it.
    pub changes: Changes,
    /// The metrics of the process.
    pub metrics: Metrics,
}

/// The state of a gateway.
///
/// A shard's lock guards the targets of its services. The other locks are held
/// only to copy or swap one value. No lock is taken while another is held, and
/// none is held across an await.
#[derive(Debug)]
pub struct State {
    /// What it needs from outside.
    pub ports: Ports,
    /// The targets of each service.
    pub pools: Shards<ServiceName, Pool>,
    settings: RwLock<Arc<VmSettings>>,
    table: RwLock<Option<Arc<Table>>>,
    closed: RwLock<Arc<BTreeSet<AzName>>>,
    peers: RwLock<Arc<Vec<u64>>>,
    entries: Mutex<Entries>,
    registry: Mutex<Registry>,
    log: Mutex<ChangeLog<Change>>,
    /// The revision up to which the log is complete.
    revision: watch::Sender<Revision>,
    /// The instant until which other entries ask this one.
    asked: AtomicU64,
    targets: AtomicBool,
    stopping: AtomicBool,
    running: AtomicU64,
}

impl State {
    /// Returns the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(settings: VmSettings, ports: Ports) -> Self {
        Self {
            ports,
            pools: Shards::new(),
            settings: RwLock::new(Arc::new(settings)),
            table: RwLock::default(),
            closed: RwLock::default(),
            peers: RwLock::default(),
            entries: Mutex::default(),
            registry: Mutex::default(),
            log: Mutex::default(),
            revision: watch::Sender::new(Revision(0)),
            asked: AtomicU64::new(0),
            targets: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            running: AtomicU64::new(0),
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<VmSettings> {
        read(&self.settings)
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: VmSettings) {
        write(&self.settings, Arc::new(settings));
    }

    /// Returns the routes in force, if any configuration is known.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        read(&self.table)
    }

    pub(super) fn set_table(&self, table: Arc<Table>) {
        write(&self.table, Some(table));
    }

    /// Returns the availability zones to which nothing may be sent.
    #[must_use]
    pub fn closed(&self) -> Arc<BTreeSet<AzName>> {
        read(&self.closed)
    }

    pub(super) fn set_closed(&self, closed: BTreeSet<AzName>) {
        write(&self.closed, Arc::new(closed));
    }

    /// Returns the entries that serve.
    pub(super) fn entries(&self) -> MutexGuard<'_, Entries> {
        lock(&self.entries)
    }

    /// Returns the registered targets.
    pub(super) fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// Returns the latest changes.
    pub(super) fn log(&self) -> MutexGuard<'_, ChangeLog<Change>> {
        lock(&self.log)
    }

    /// Notes changes up to a revision for other entries, as the store knew them at
    /// `at`. A whole list has no changes that others could have missed.
    pub(super) fn publish(&self, at: Millis, revision: Revision, news: Vec<Change>, whole: bool) {
        let revision = {
            let mut log = self.log();
            if whole {
                log.reset(at, revision);
            } else {
                log.push(at, revision, news);
            }
            log.revision()
        };
        self.revision.send_replace(revision);
    }

    /// Returns the revision up to which changes are known, to wait for greater
    /// ones.
    pub(super) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Notes that another entry asks for changes, and until when it waits.
    pub(super) fn set_asked(&self, until: Millis) {
        self.asked.fetch_max(until.0, Relaxed);
    }

    /// Tells whether other entries ask this one for changes.
    pub(super) fn is_source(&self, now: Millis) -> bool {
        now.0 <= self.asked.load(Relaxed)
    }

    /// Returns a part of the bound within which changes must be in force.
    pub(super) fn part(&self, part: f64) -> Millis {
        let Bounds {
            drain_deadline,
            config_deadline,
            ..
        } = self.settings().bounds;
        drain_deadline.min(config_deadline).fraction(part)
    }

    /// Takes over which entries share limits, after a change of the entries.
    pub(super) fn refresh_peers(&self, now: Millis) {
        let me = xxh3_64(self.settings().name.as_bytes());
        let mut peers: Vec<u64> = {
            let mut entries = self.entries();
            entries
                .with_departed(now)
                .map(|n| xxh3_64(n.as_bytes()))
                .collect()
        };
        if !peers.contains(&me) {
            peers.push(me);
        }
        write(&self.peers, Arc::new(peers));
    }

    /// Returns the hashed names of the entries that share limits.
    #[must_use]
    pub fn peers(&self) -> Arc<Vec<u64>> {
        read(&self.peers)
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.targets.load(Relaxed) && self.table().is_some() && !self.is_stopping()
    }

    pub(super) fn set_targets(&self) {
        self.targets.store(true, Relaxed);
    }

    /// Tells whether the process is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    pub(super) fn set_stopping(&self) {
        self.stopping.store(true, Relaxed);
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running.load(Relaxed)
    }

    pub(super) fn started(&self) {
        self.running.fetch_add(1, Relaxed);
    }

    pub(super) fn ended(&self) {
        self.running.fetch_sub(1, Relaxed);
    }

    /// Returns what the retry budget allows.
    pub(super) fn allowance(&self) -> RetryLimits {
        let bounds = self.settings().bounds;
        RetryLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }

    /// Runs `f` on the pool of a service, with what a choice there has to know.
    pub(super) fn with_pool<T>(
        &self,
        service: &ServiceName,
        table: &Table,
        f: impl FnOnce(&mut Pool, &Context<'_>) -> T,
    ) -> T {
        let settings = self.settings();
        let (closed, peers) = (self.closed(), self.peers());
        let bounds = &settings.bounds;
        let rate = table.service(service).map_or(0.0, |s| s.cold_rate);
        let scene = Context {
            now: (self.ports.clock.now)(),
            region: &settings.region,
            evacuated: &closed,
            cold_quota: ColdQuota {
                max_rate: rate * bounds.cold_factor + bounds.cold_slack,
                entries: &peers,
                this_entry: xxh3_64(settings.name.as_bytes()),
            },
            shift_cap: bounds.max_shift,
        };
        self.pools
            .with(service.clone(), Pool::new, |p| f(p, &scene))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(lock: &RwLock<T>, value: T) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}
