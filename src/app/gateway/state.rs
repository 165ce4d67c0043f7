//! The state that the modules of a gateway share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::{crashes::Crashes, quota::Quotas};
use crate::{
    adapters::metrics::Metrics,
    domain::{AzName, Bounds, Era, Millis, Position, ServiceName, Shards, Size, lock, read, write},
    policy::{
        balance::{Basis, ColdQuota, Context, Pool, Registry},
        budget::RetryLimits,
        demand::{DemandAccount, DemandReport, EntryReport, RegionDemand},
        drain::StopSchedule,
        overflow::{RequestCount, Sides, window_requests},
        presence::Entries,
        quota::DELEGATION,
        replay,
        room::Returns,
        route::Table,
        upstream::{ChainTimes, ChangeLog},
    },
    ports::{
        Change, Changes, Clock, Listeners, Platform, Quotas as QuotaPort, Strikes, Targets,
        VmSettings,
    },
};

/// The ports through which a gateway reaches everything outside of it.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The clock.
    pub clock: Clock,
    /// Sends requests to targets.
    pub targets: Targets,
    /// The platform's store.
    pub platform: Platform,
    /// Fetches changes of the platform from other entries.
    pub changes: Changes,
    /// Asks other entries for tokens of quotas.
    pub quotas: QuotaPort,
    /// Tells other entries of requests that crash targets.
    pub strikes: Strikes,
    /// Tells whether targets still listen.
    pub listeners: Listeners,
    /// The metrics of the process.
    pub metrics: Metrics,
}

/// The state of a gateway.
///
/// The lock of a shard guards the target pools of its services. The other locks
/// are held only to copy or replace one value, and that of the demand to add up the
/// reports of other entries. No lock is acquired while
/// another is held, and none is held across an await point.
#[derive(Debug)]
pub struct State {
    /// Access to everything outside of the gateway.
    pub ports: Ports,
    /// The target pool of each service.
    pub pools: Shards<ServiceName, Pool>,
    /// The memory for request bodies that are kept for another attempt.
    pub(super) kept_bodies: Arc<replay::Budget>,
    /// The memory for the starts of responses, which are kept so that another
    /// target can still answer.
    pub(super) kept_responses: Arc<replay::Budget>,
    settings: RwLock<Arc<VmSettings>>,
    table: RwLock<Option<Arc<Table>>>,
    /// The availability zones that are evacuated.
    evacuated: RwLock<Arc<BTreeSet<AzName>>>,
    /// The hashed names of the entries that share limits.
    peers: RwLock<Arc<Vec<u64>>>,
    entries: Mutex<Entries>,
    /// The requests that callers have sent lately.
    request_count: Mutex<RequestCount>,
    /// Where requests were placed lately, and which of them were refused.
    sides: Mutex<Sides>,
    /// What is known of the demand of the region besides that of this entry.
    demand: Mutex<DemandAccount>,
    /// The requests that were refused lately for want of room.
    returns: Mutex<Returns>,
    registry: Mutex<Registry>,
    change_log: Mutex<ChangeLog<Change>>,
    quotas: Quotas,
    crashes: Crashes,
    /// The position up to which the change log is complete.
    position: watch::Sender<Position>,
    /// The position before a new era of the store, while this entry keeps what the
    /// store has lost.
    settled: RwLock<Option<Position>>,
    /// The latest time until which another entry waits for changes of this one.
    followed_until: AtomicU64,
    /// Whether any target has been registered.
    has_targets: AtomicBool,
    /// Whether callers' keys are refused, because one may have been withdrawn.
    refuses_keys: AtomicBool,
    /// The schedule of the stop, if the gateway is stopping.
    pub(super) stop: watch::Sender<Option<StopSchedule>>,
    /// The number of running requests.
    running: AtomicU64,
}

impl State {
    /// Returns the state of a process that has read nothing from the platform
    /// yet.
    #[must_use]
    pub fn new(settings: VmSettings, ports: Ports) -> Self {
        let entries = Entries::new((ports.clock.now)());
        Self {
            ports,
            pools: Shards::new(),
            kept_bodies: replay::Budget::new(settings.memory),
            kept_responses: replay::Budget::new(settings.memory),
            quotas: Quotas::new(&settings.name),
            crashes: Crashes::new(&settings.name),
            settings: RwLock::new(Arc::new(settings)),
            table: RwLock::default(),
            evacuated: RwLock::default(),
            peers: RwLock::default(),
            entries: Mutex::new(entries),
            request_count: Mutex::default(),
            sides: Mutex::default(),
            demand: Mutex::default(),
            returns: Mutex::default(),
            registry: Mutex::default(),
            change_log: Mutex::default(),
            position: watch::Sender::new(Position::default()),
            settled: RwLock::default(),
            followed_until: AtomicU64::new(0),
            has_targets: AtomicBool::new(false),
            refuses_keys: AtomicBool::new(false),
            stop: watch::Sender::new(None),
            running: AtomicU64::new(0),
        }
    }

    /// Returns the current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<VmSettings> {
        read(&self.settings)
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: VmSettings) {
        *write(&self.settings) = Arc::new(settings);
    }

    /// Returns the current route table, if a configuration has been read.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        read(&self.table)
    }

    pub(super) fn set_table(&self, table: Arc<Table>) {
        *write(&self.table) = Some(table);
        self.quotas.notify();
    }

    /// Returns the tokens and parts of quotas that this entry holds.
    pub(super) fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns what this entry knows of requests that crash targets.
    pub(super) fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// Returns the evacuated availability zones, to which no request may be
    /// sent.
    #[must_use]
    pub fn evacuated(&self) -> Arc<BTreeSet<AzName>> {
        read(&self.evacuated)
    }

    pub(super) fn set_evacuated(&self, evacuated: BTreeSet<AzName>) {
        *write(&self.evacuated) = Arc::new(evacuated);
    }

    /// Returns the entries that are announced.
    pub(super) fn entries(&self) -> MutexGuard<'_, Entries> {
        lock(&self.entries)
    }

    /// Counts a request of a caller.
    pub(super) fn count_request(&self, now: Millis) {
        lock(&self.request_count).record(now);
    }

    /// Records on which side a request was placed, and whether it was sent.
    pub(super) fn record_side(&self, basis: &Basis, sent: bool) {
        let now = (self.ports.clock.now)();
        let sent_remote = sent.then_some(basis.remote);
        lock(&self.sides).record(now, basis.placed_remote(), sent_remote);
    }

    /// Returns what callers ask of each service through this entry.
    fn own_demand(&self, now: Millis) -> DemandReport {
        let mut services = BTreeMap::new();
        let settings = self.settings();
        self.pools.each(|service, pool| {
            let demand = pool.demand(now, &settings.region);
            if demand.requests > 0.0 {
                services.insert(service.clone(), demand);
            }
        });
        DemandReport { services }
    }

    /// Returns the demand of this entry, for its source.
    pub(super) fn own_report(&self) -> EntryReport {
        EntryReport {
            entry: self.settings().name.clone(),
            demand: self.own_demand((self.ports.clock.now)()),
        }
    }

    /// Records the demand of an entry that polls this one.
    pub(super) fn record_report(&self, report: EntryReport) {
        // The own demand is added to the reports.
        if report.entry == self.settings().name {
            return;
        }
        let now = (self.ports.clock.now)();
        lock(&self.demand).record_report(now, report.entry, report.demand);
    }

    /// Records the demand of the region as the source of this entry has added it up.
    pub(super) fn record_total(&self, total: RegionDemand) {
        let now = (self.ports.clock.now)();
        lock(&self.demand).record_total(now, total);
    }

    /// Returns the demand of this entry and of those that poll it.
    pub(super) fn demand_total(&self) -> RegionDemand {
        let now = (self.ports.clock.now)();
        let own = self.own_demand(now);
        lock(&self.demand).total(now, &own)
    }

    /// Returns the demand of the region, as far as this entry knows it.
    #[must_use]
    pub fn region_demand(&self) -> RegionDemand {
        let now = (self.ports.clock.now)();
        let own = self.own_demand(now);
        lock(&self.demand).region(now, &own)
    }

    /// Returns the requests that were refused lately for want of room.
    pub(super) fn returns(&self) -> MutexGuard<'_, Returns> {
        lock(&self.returns)
    }

    /// Returns the registered targets.
    pub(super) fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// Returns the log of the latest changes.
    pub(super) fn change_log(&self) -> MutexGuard<'_, ChangeLog<Change>> {
        lock(&self.change_log)
    }

    /// Returns the time since the store was known to be in the state that this entry has.
    pub(super) fn age(&self, now: Millis) -> Millis {
        now - self.change_log().as_of()
    }

    /// Records whether callers' keys are refused, and returns whether that is new.
    pub(super) fn set_refuses_keys(&self, refuses: bool) -> bool {
        self.refuses_keys.swap(refuses, Relaxed) != refuses
    }

    /// Makes changes available to other entries. `add` adds them to the log.
    pub(super) fn publish(&self, add: impl FnOnce(&mut ChangeLog<Change>)) {
        let position = {
            let mut log = self.change_log();
            add(&mut log);
            log.position()
        };
        self.position.send_replace(position);
    }

    /// Returns a receiver of the position up to which the change log is
    /// complete.
    pub(super) fn subscribe_position(&self) -> watch::Receiver<Position> {
        self.position.subscribe()
    }

    /// Returns the latest era of the store that this entry has applied.
    pub(super) fn era(&self) -> Era {
        self.position.borrow().era
    }

    /// Returns the position of the complete state that this entry passes on. While
    /// it keeps what the store has lost, that is the one before the new era, so that
    /// an entry which starts from it keeps that as long.
    pub(super) fn settled_position(&self) -> Position {
        let current = *self.position.borrow();
        read(&self.settled).unwrap_or(current)
    }

    /// Sets the position before a new era, or none at the end of the time in which
    /// it is to be written again.
    pub(super) fn set_settled(&self, before: Option<Position>) {
        *write(&self.settled) = before;
    }

    /// Records that another entry waits for changes until the given time.
    pub(super) fn record_follower(&self, until: Millis) {
        self.followed_until.fetch_max(until.0, Relaxed);
    }

    /// Returns whether another entry waits for changes of this one.
    pub(super) fn is_followed(&self, now: Millis) -> bool {
        now.0 <= self.followed_until.load(Relaxed)
    }

    /// Returns the time within which drains and configurations must take effect.
    pub(super) fn change_bound(&self) -> Millis {
        let Bounds {
            drain_deadline,
            config_deadline,
            ..
        } = self.settings().bounds;
        drain_deadline.min(config_deadline)
    }

    /// Returns the times of the chain from the store to the followers of a source.
    pub(super) fn chain_times(&self) -> ChainTimes {
        ChainTimes::new(self.change_bound())
    }

    /// Recomputes the entries that share limits, after entries joined or left.
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
        *write(&self.peers) = Arc::new(peers);
    }

    /// Returns the hashed names of the entries that share limits.
    #[must_use]
    pub fn peers(&self) -> Arc<Vec<u64>> {
        read(&self.peers)
    }

    /// Returns among how many entries limits of the whole fleet are divided, zero until
    /// all others are known.
    pub(super) fn sharer_count(&self, now: Millis) -> usize {
        let (peers, poll_period) = (self.peers(), self.chain_times().poll_period(false));
        self.entries().sharers(now, poll_period, &peers).len()
    }

    /// Returns whether the entries are known among which the quotas of workspaces are
    /// divided.
    pub(super) fn knows_parts(&self, now: Millis) -> bool {
        let poll_period = self.chain_times().poll_period(false);
        self.entries().knows_parts(now, poll_period, DELEGATION)
    }

    /// Returns whether all other entries are known, so that this one uses its part of
    /// the limits of the whole fleet.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.sharer_count((self.ports.clock.now)()) > 0
    }

    /// Returns whether this entry can serve requests, so that lookups may name
    /// it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_targets.load(Relaxed) && self.table().is_some() && !self.is_stopping()
    }

    pub(super) fn set_has_targets(&self) {
        self.has_targets.store(true, Relaxed);
    }

    /// Returns whether the gateway is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_schedule().is_some()
    }

    /// Returns the numbers of requests that are suspected of crashing targets and of those
    /// that are blocked for it.
    #[must_use]
    pub fn crash_counts(&self) -> (usize, usize) {
        self.crashes.counts((self.ports.clock.now)())
    }

    /// Returns the bytes of request bodies that are kept for another attempt.
    #[must_use]
    pub fn kept_bytes(&self) -> Size {
        self.kept_bodies.used()
    }

    /// Returns the bytes of responses that are kept until they are passed on.
    #[must_use]
    pub fn kept_response_bytes(&self) -> Size {
        self.kept_responses.used()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running.load(Relaxed)
    }

    pub(super) fn request_started(&self) {
        self.running.fetch_add(1, Relaxed);
    }

    pub(super) fn request_ended(&self) {
        self.running.fetch_sub(1, Relaxed);
    }

    /// Returns the limits of the retry budget.
    pub(super) fn retry_limits(&self) -> RetryLimits {
        let bounds = self.settings().bounds;
        RetryLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }

    /// Calls `f` with the pool of a service and the context for choosing a
    /// target.
    pub(super) fn with_pool<T>(
        &self,
        service: &ServiceName,
        table: &Table,
        f: impl FnOnce(&mut Pool, &Context<'_>) -> T,
    ) -> T {
        let settings = self.settings();
        let (evacuated, peers) = (self.evacuated(), self.peers());
        let bounds = &settings.bounds;
        let rate = table.service(service).map_or(0.0, |s| s.cold_rate);
        let now = (self.ports.clock.now)();
        let poll_period = self.chain_times().poll_period(false);
        let (region_entries, sharers) = {
            let entries = self.entries();
            let here = entries.in_region(&settings.region).count().max(1);
            (here, entries.sharers(now, poll_period, &peers))
        };
        let own = self
            .pools
            .get(service, |pool| pool.demand(now, &settings.region));
        let own = own.filter(|demand| demand.requests > 0.0);
        let own_rate = lock(&self.request_count).rate(now);
        let (region_demand, region_requests) = {
            let mut account = lock(&self.demand);
            let demand = account.service(now, service, own, region_entries);
            let rate = account.requests(now, own_rate, region_entries);
            (demand, window_requests(rate))
        };
        let context = Context {
            now,
            az: &settings.az,
            region: &settings.region,
            evacuated: &evacuated,
            region_entries,
            cold_quota: ColdQuota {
                max_rate: rate * bounds.cold_factor + bounds.cold_slack,
                entries: sharers,
                this_entry: xxh3_64(settings.name.as_bytes()),
            },
            shift_cap: bounds.max_shift,
            region_requests,
            region_demand,
            sides: *lock(&self.sides),
        };
        self.pools
            .with(service.clone(), Pool::new, |p| f(p, &context))
    }
}
