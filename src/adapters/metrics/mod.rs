//! Declares and exports all metrics of a process.
//!
//! If each metric were declared where it is counted, one could easily be declared
//! twice or be missing from the documentation. [`TABLE`] therefore lists every
//! metric with its unit and labels, and tests compare the registry and
//! docs/operating.md with it. Label values come from documents and settings only,
//! never from requests, because callers could otherwise make the registry grow
//! without bound.

mod store;
mod table;

use std::{
    collections::BTreeSet,
    fmt,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

pub use self::table::{Row, TABLE};
use crate::{
    adapters::store::CallCounters,
    domain::{Rank, lock},
    policy::{balance::WithheldCounts, demand::RegionDemand},
};

/// The content type of the output of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The number of workspaces with metrics of their own. The others are counted together,
/// since a configuration may have many.
pub const WORKSPACES_MAX: usize = 100;

/// The label of metrics per service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// The labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The service.
    pub service: String,
    /// The status code from the target, or the stable code of a failure.
    pub code: String,
    /// `complete`, `not-run` or `unknown`.
    pub outcome: &'static str,
}

/// The labels of finished requests per workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// The workspace, `other` for those beyond the first [`WORKSPACES_MAX`].
    pub workspace: String,
    /// `answered`, or the stable code of a failure.
    pub result: &'static str,
}

/// The label of metrics per stable code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    /// The stable code.
    pub code: &'static str,
}

/// The labels of refused requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// The service.
    pub service: String,
    /// The stable code.
    pub code: &'static str,
}

/// The label of metrics per state of entries.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StateLabel {
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: &'static str,
}

/// The labels of the units of a limit.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct UnitLabels {
    /// The name of the limit.
    pub limit: String,
    /// `home`, `lent`, `borrowed` or `used`.
    pub kind: &'static str,
}

/// The labels of timeline events.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    /// The part of the system that the event concerns.
    pub part: String,
    /// The kind of event.
    pub kind: String,
}

/// The labels of attempts that a notice of a target has withheld from it.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WithheldLabels {
    /// The service.
    pub service: String,
    /// `leaving` or `paused`.
    pub reason: &'static str,
}

/// The label of metrics per workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabel {
    /// The workspace, `other` for those beyond the first [`WORKSPACES_MAX`].
    pub workspace: String,
}

/// The labels of calls for the platform's state.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SyncLabels {
    /// `store` or `entry`.
    pub upstream: &'static str,
    /// `changes` or `complete`.
    pub scope: &'static str,
    /// `ok`, `failed`, `outdated`, `compacted` or `new_era`.
    pub result: &'static str,
}

/// The metrics of a process.
///
/// A family creates the metric of a label set on first use. Clones share the same
/// metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    calls: Arc<CallCounters>,
    /// Finished requests by status or code and by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Finished requests by workspace.
    pub workspace_requests: Family<WorkspaceLabels, Counter>,
    /// The time from the receipt of a request to the head of its response.
    pub latency: Family<ServiceLabel, Histogram, fn() -> Histogram>,
    /// Requests in progress, until the end of the response body.
    pub running: Family<ServiceLabel, Gauge>,
    /// Attempts after a failed one.
    pub retries: Family<ServiceLabel, Counter>,
    /// Hedged attempts: second attempts concurrent with a slow first one.
    pub hedges: Family<ServiceLabel, Counter>,
    /// Requests that were refused before they ran.
    pub refusals: Family<RefusalLabels, Counter>,
    /// The revision of the document in effect at this entry.
    pub revision: Family<ServiceLabel, Gauge>,
    /// Edits by code, which is `accepted` for success.
    pub edits: Family<CodeLabel, Counter>,
    /// Entries by state, as this entry sees them.
    pub members: Family<StateLabel, Gauge>,
    /// Units of shared limits by kind.
    pub units: Family<UnitLabels, Gauge>,
    /// Timeline events by part and kind.
    pub events: Family<EventLabels, Counter>,
    /// Attempts that could not go to a target because of its notice.
    pub withheld: Family<WithheldLabels, Counter>,
    /// Requests that find out whether a new target works.
    pub probes: Family<ServiceLabel, Counter>,
    /// The fraction of requests that this entry sends to other regions. Entries of
    /// one region should agree on it.
    pub far_share: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Routes in effect whose kind this version does not know.
    pub unknown_kinds: Gauge,
    /// Calls for the platform's state.
    pub syncs: Family<SyncLabels, Counter>,
    /// How often the state was older than the time within which changes must
    /// take effect.
    pub outdated: Counter,
    /// The demand of the region in slots.
    pub demand_slots: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// The number of entries that this demand covers.
    pub demand_entries: Gauge,
    /// The most urgent rank that is not admitted whole, -1 if all fit.
    pub line_rank: Family<ServiceLabel, Gauge>,
    /// The slots that callers ask for when that rank changes.
    pub line_needed: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// The slots that there are for them.
    pub line_room: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// The era of the platform's store.
    pub store_era: Gauge,
    /// Requests of workspaces with a quota.
    pub quota: Family<WorkspaceLabels, Counter>,
    /// Tokens at hand.
    pub tokens: Family<WorkspaceLabel, Gauge>,
    /// The workspaces with metrics of their own.
    workspaces: Arc<Mutex<BTreeSet<String>>>,
}

/// Returns a histogram with bounds from 1 ms to 65 s. Each bound is twice the one
/// before, so the error of a quantile is at most a factor of two.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// Creates and registers the metrics of a process. `calls` counts its calls to the
/// store.
#[must_use]
pub fn open(calls: Arc<CallCounters>) -> Metrics {
    let mut registry = Registry::with_prefix("savorybeam");
    let metrics = Metrics {
        calls: calls.clone(),
        registry: Arc::default(),
        requests: Family::default(),
        workspace_requests: Family::default(),
        latency: Family::new_with_constructor(latency_histogram),
        running: Family::default(),
        retries: Family::default(),
        hedges: Family::default(),
        refusals: Family::default(),
        revision: Family::default(),
        edits: Family::default(),
        members: Family::default(),
        units: Family::default(),
        events: Family::default(),
        withheld: Family::default(),
        probes: Family::default(),
        far_share: Family::default(),
        unknown_kinds: Gauge::default(),
        syncs: Family::default(),
        outdated: Counter::default(),
        demand_slots: Family::default(),
        demand_entries: Gauge::default(),
        line_rank: Family::default(),
        line_needed: Family::default(),
        line_room: Family::default(),
        store_era: Gauge::default(),
        quota: Family::default(),
        tokens: Family::default(),
        workspaces: Arc::default(),
    };
    let r = &mut registry;
    let m = metrics.clone();
    let help = |row: &Row| row.help.trim_end_matches('.').to_owned();
    r.register(table::REQUESTS.base, help(&table::REQUESTS), m.requests);
    let workspace_requests = &table::WORKSPACE_REQUESTS;
    r.register(
        workspace_requests.base,
        help(workspace_requests),
        m.workspace_requests,
    );
    let seconds = Unit::Seconds;
    r.register_with_unit(
        table::LATENCY.base,
        help(&table::LATENCY),
        seconds,
        m.latency,
    );
    r.register(table::RUNNING.base, help(&table::RUNNING), m.running);
    r.register(table::RETRIES.base, help(&table::RETRIES), m.retries);
    r.register(table::HEDGES.base, help(&table::HEDGES), m.hedges);
    r.register(table::REFUSALS.base, help(&table::REFUSALS), m.refusals);
    r.register(table::REVISION.base, help(&table::REVISION), m.revision);
    r.register(table::EDITS.base, help(&table::EDITS), m.edits);
    r.register(table::MEMBERS.base, help(&table::MEMBERS), m.members);
    r.register(table::UNITS.base, help(&table::UNITS), m.units);
    r.register(table::EVENTS.base, help(&table::EVENTS), m.events);
    r.register(table::WITHHELD.base, help(&table::WITHHELD), m.withheld);
    r.register(table::PROBES.base, help(&table::PROBES), m.probes);
    r.register(table::FAR_SHARE.base, help(&table::FAR_SHARE), m.far_share);
    r.register(
        table::UNKNOWN_KINDS.base,
        help(&table::UNKNOWN_KINDS),
        m.unknown_kinds,
    );
    r.register(table::SYNCS.base, help(&table::SYNCS), m.syncs);
    r.register(table::OUTDATED.base, help(&table::OUTDATED), m.outdated);
    let (slots, entries) = (&table::REGION_DEMAND_SLOTS, &table::REGION_DEMAND_ENTRIES);
    r.register(slots.base, help(slots), m.demand_slots);
    r.register(entries.base, help(entries), m.demand_entries);
    r.register(table::LINE_RANK.base, help(&table::LINE_RANK), m.line_rank);
    r.register(
        table::LINE_NEEDED.base,
        help(&table::LINE_NEEDED),
        m.line_needed,
    );
    r.register(table::LINE_ROOM.base, help(&table::LINE_ROOM), m.line_room);
    r.register(table::STORE_ERA.base, help(&table::STORE_ERA), m.store_era);
    r.register(table::QUOTA.base, help(&table::QUOTA), m.quota);
    r.register(table::TOKENS.base, help(&table::TOKENS), m.tokens);
    r.register_collector(Box::new(store::StoreMetrics {
        calls: calls.clone(),
    }));
    Metrics {
        calls,
        registry: Arc::new(registry),
        ..metrics
    }
}

impl Metrics {
    /// Counts a request that got a refusal instead of a response from a target.
    pub fn count_refusal(&self, service: &str, code: &'static str) {
        let labels = RefusalLabels {
            service: service.to_owned(),
            code,
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a call for the platform's state.
    pub fn count_sync(&self, upstream: &'static str, scope: &'static str, result: &'static str) {
        let labels = SyncLabels {
            upstream,
            scope,
            result,
        };
        self.syncs.get_or_create(&labels).inc();
    }

    /// Counts attempts for which notices withheld targets.
    pub fn count_withheld(&self, service: &str, counts: WithheldCounts) {
        for (reason, count) in [("leaving", counts.leaving), ("paused", counts.paused)] {
            if count > 0 {
                let labels = WithheldLabels {
                    service: service.to_owned(),
                    reason,
                };
                self.withheld.get_or_create(&labels).inc_by(count);
            }
        }
    }

    /// Counts a request that finds out whether a new target works.
    pub fn count_probe(&self, service: &str) {
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        self.probes.get_or_create(&label).inc();
    }

    /// Sets the fraction of a service's requests that is sent to other regions.
    pub fn set_far_share(&self, service: &str, fraction: f64) {
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        self.far_share.get_or_create(&label).set(fraction);
    }

    /// Sets the most urgent rank that is not admitted whole, if there is one, and the
    /// slots by which it was drawn.
    pub fn set_line(&self, service: &str, needed: f64, room: f64, rank: Option<Rank>) {
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        let rank = rank.map_or(-1, |rank| i64::from(rank.0));
        self.line_rank.get_or_create(&label).set(rank);
        self.line_needed.get_or_create(&label).set(needed);
        self.line_room.get_or_create(&label).set(room);
    }

    /// Sets the demand of the region. Services without demand disappear.
    pub fn set_demand(&self, demand: &RegionDemand) {
        self.demand_slots.clear();
        for (service, demand) in &demand.services {
            let label = ServiceLabel {
                service: service.to_string(),
            };
            self.demand_slots.get_or_create(&label).set(demand.slots);
        }
        let entries = i64::try_from(demand.entries).unwrap_or(i64::MAX);
        self.demand_entries.set(entries);
    }

    /// Counts a request of a workspace with a quota.
    pub fn count_quota(&self, workspace: &str, result: &'static str) {
        let labels = WorkspaceLabels {
            workspace: self.workspace_label(workspace),
            result,
        };
        self.quota.get_or_create(&labels).inc();
    }

    /// Returns how many requests of a workspace with a quota ended with a result. Those
    /// of workspaces that are counted together with others are not known.
    #[must_use]
    pub fn quota_count(&self, workspace: &str, result: &'static str) -> u64 {
        let labels = WorkspaceLabels {
            workspace: workspace.to_owned(),
            result,
        };
        self.quota.get(&labels).map_or(0, |count| count.get())
    }

    /// Adds tokens at hand.
    pub fn add_tokens(&self, workspace: &str, tokens: u32) {
        let workspace = self.workspace_label(workspace);
        let label = WorkspaceLabel { workspace };
        self.tokens.get_or_create(&label).inc_by(tokens.into());
    }

    /// Counts a request of a workspace that a target answered, or that failed with the
    /// given stable code.
    pub fn count_workspace(&self, workspace: &str, failure: Option<&'static str>) {
        let labels = WorkspaceLabels {
            workspace: self.workspace_label(workspace),
            result: failure.unwrap_or("answered"),
        };
        self.workspace_requests.get_or_create(&labels).inc();
    }

    fn workspace_label(&self, name: &str) -> String {
        let mut known = lock(&self.workspaces);
        if known.contains(name) {
            return name.to_owned();
        }
        if known.len() >= WORKSPACES_MAX {
            return "other".to_owned();
        }
        known.insert(name.to_owned());
        name.to_owned()
    }

    /// Reports whether the latest call to the store got a response.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.calls.is_up()
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }

    /// Counts a request that failed or whose response head arrived, and records its
    /// latency.
    pub fn count_request(
        &self,
        service: &str,
        code: String,
        outcome: &'static str,
        elapsed: Duration,
    ) {
        let labels = RequestLabels {
            service: service.to_owned(),
            code,
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        let latency = self.latency.get_or_create(&label);
        latency.observe(elapsed.as_secs_f64());
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}
