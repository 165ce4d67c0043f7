//! Metrics of the store, read from its counters at each scrape.

use std::sync::Arc;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
};

use super::table::{STORE_CALLS, STORE_FAILURES, STORE_UP, STORE_WATCHES};
use crate::adapters::store::CallCounters;

/// Reads the counters of the store's adapter.
#[derive(Debug)]
pub(super) struct StoreMetrics {
    /// The counters.
    pub calls: Arc<CallCounters>,
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
        let counter = MetricType::Counter;
        let mut family =
            encoder.encode_descriptor(STORE_CALLS.base, STORE_CALLS.help, None, counter)?;
        for (operation, n) in operations {
            let labels = [("operation", operation)];
            ConstCounter::new(n).encode(family.encode_family(&labels)?)?;
        }
        let single =
            encoder.encode_descriptor(STORE_FAILURES.base, STORE_FAILURES.help, None, counter)?;
        ConstCounter::new(counts.failures).encode(single)?;
        let waiting = i64::try_from(counts.open_watches).unwrap_or(i64::MAX);
        let up = i64::from(self.calls.is_up());
        for (row, value) in [(STORE_WATCHES, waiting), (STORE_UP, up)] {
            let single = encoder.encode_descriptor(row.base, row.help, None, MetricType::Gauge)?;
            ConstGauge::new(value).encode(single)?;
        }
        Ok(())
    }
}
