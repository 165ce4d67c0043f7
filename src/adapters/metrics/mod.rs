//! All metrics of a process, in one place.
//!
//! A metric that is declared where it is counted is easily declared twice, or
//! missing from the documentation. [`TABLE`] therefore lists every metric with
//! its unit and labels; the registry and docs/operating.md are held against it
//! by tests. Labels take values of documents and settings only, never of
//! requests, since callers could otherwise make the registry grow without bound.

mod store;
mod table;

use std::{fmt, sync::Arc, time::Duration};

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
use crate::adapters::store::CallCounters;

/// The content type of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// One service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// What became of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The service.
    pub service: String,
    /// The target's status, or the stable code of a failure.
    pub code: String,
    /// `complete`, `not-run` or `unknown`.
    pub outcome: &'static str,
}

/// A stable code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    /// The code.
    pub code: &'static str,
}

/// A refusal of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// The service.
    pub service: String,
    /// The stable code.
    pub code: &'static str,
}

/// A state of entries.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StateLabel {
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: &'static str,
}

/// Units of a limit.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct UnitLabels {
    /// The limit.
    pub limit: String,
    /// `home`, `lent`, `borrowed` or `used`.
    pub kind: &'static str,
}

/// A kind of event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    /// The part of the system.
    pub part: String,
    /// The kind.
    pub kind: String,
}

/// The metrics of a process.
///
/// A family creates a metric for a label set when it is first used, and a clone
/// shares the same metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    calls: Arc<CallCounters>,
    /// Requests by what became of them.
    pub requests: Family<RequestLabels, Counter>,
    /// The time until the head of an answer.
    pub latency: Family<ServiceLabel, Histogram, fn() -> Histogram>,
    /// Requests that run now.
    pub running: Family<ServiceLabel, Gauge>,
    /// Second and further attempts after a failure.
    pub retries: Family<ServiceLabel, Counter>,
    /// Second attempts beside a slow first one.
    pub hedges: Family<ServiceLabel, Counter>,
    /// Requests that were refused before they ran.
    pub refusals: Family<RefusalLabels, Counter>,
    /// The revision in effect.
    pub revision: Family<ServiceLabel, Gauge>,
    /// Edits by code, `accepted` for success.
    pub edits: Family<CodeLabel, Counter>,
    /// Entries by state, as this entry sees them.
    pub members: Family<StateLabel, Gauge>,
    /// Units of limits.
    pub units: Family<UnitLabels, Gauge>,
    /// Events by kind.
    pub events: Family<EventLabels, Counter>,
}

/// Buckets from 1 ms to 65 s. Each bound is twice the one before, so a quantile
/// read from them is at most a factor of two off.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// Returns the metrics of a process whose calls to the store are counted in
/// `calls`.
#[must_use]
pub fn open(calls: Arc<CallCounters>) -> Metrics {
    let mut registry = Registry::with_prefix("savorybeam");
    let metrics = Metrics {
        calls: calls.clone(),
        registry: Arc::default(),
        requests: Family::default(),
        latency: Family::new_with_constructor(latency),
        running: Family::default(),
        retries: Family::default(),
        hedges: Family::default(),
        refusals: Family::default(),
        revision: Family::default(),
        edits: Family::default(),
        members: Family::default(),
        units: Family::default(),
        events: Family::default(),
    };
    let r = &mut registry;
    let m = metrics.clone();
    let help = |row: &Row| row.help.trim_end_matches('.').to_owned();
    r.register(table::REQUESTS.base, help(&table::REQUESTS), m.requests);
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
    /// Counts a request that got no answer of a target.
    pub fn refused(&self, service: &str, code: &'static str) {
        let labels = RefusalLabels {
            service: service.to_owned(),
            code,
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Tells whether the latest call to the store was answered.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.calls.is_up()
    }

    /// Returns all metrics in the text format of `OpenMetrics`.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }

    /// Counts a request whose answer's head arrived or that failed.
    pub fn request(&self, service: &str, code: String, outcome: &'static str, took: Duration) {
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
        latency.observe(took.as_secs_f64());
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}
