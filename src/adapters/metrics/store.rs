//! Metrics of the store, read from its counters at each scrape.

use std::sync::Arc;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
};

use super::table::{Row, STORE_CALLS, STORE_FAILURES, STORE_UP, STORE_WATCHES};
use crate::adapters::store::Calls;

/// Reads the counters of the store's adapter.
#[derive(Debug)]
pub(super) struct StoreMetrics {
    /// The counters.
    pub calls: Arc<Calls>,
}

impl Collector for StoreMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let counts = self.calls.counts();
        let operations = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("lease", counts.leases),
            ("watch", counts.watches),
        ];
        let name = |row: &Row| format!("savorybeam_{}", row.base);
        let calls = name(&STORE_CALLS);
        let counter = MetricType::Counter;
        let mut family = encoder.encode_descriptor(&calls, STORE_CALLS.help, None, counter)?;
        for (operation, n) in operations {
            let labels = [("operation", operation)];
            ConstCounter::new(n).encode(family.encode_family(&labels)?)?;
        }
        let failures = name(&STORE_FAILURES);
        let single = encoder.encode_descriptor(&failures, STORE_FAILURES.help, None, counter)?;
        ConstCounter::new(counts.failures).encode(single)?;
        let waiting = i64::try_from(counts.waiting).unwrap_or(i64::MAX);
        let up = i64::from(self.calls.up());
        for (row, value) in [(STORE_WATCHES, waiting), (STORE_UP, up)] {
            let name = name(&row);
            let single = encoder.encode_descriptor(&name, row.help, None, MetricType::Gauge)?;
            ConstGauge::new(value).encode(single)?;
        }
        Ok(())
    }
}
