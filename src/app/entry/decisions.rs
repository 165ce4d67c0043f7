//! The latest routing decisions, for `explain`.

use std::{collections::VecDeque, fmt, sync::Arc};

use crate::{
    domain::{ServiceName, Shards},
    ports::admin::Decision,
};

/// The maximum number of decisions that are kept per service. `explain` is used
/// to ask about the last few requests; totals are in the metrics.
const MAX_DECISIONS: usize = 32;

/// The maximum length of a request line in a decision. Callers choose the line,
/// so its length must be limited.
const MAX_REQUEST_BYTES: usize = 200;

/// The latest decisions of an entry, per service. Clones share them.
#[derive(Clone, Default)]
pub struct Decisions {
    shards: Arc<Shards<ServiceName, VecDeque<Decision>>>,
}

impl Decisions {
    /// Records a decision and drops the oldest one if necessary. Call it only
    /// for services that have a document: requests for other names must take no
    /// memory.
    pub fn record(&self, service: ServiceName, mut decision: Decision) {
        if decision.request.len() > MAX_REQUEST_BYTES {
            let end = (0..=MAX_REQUEST_BYTES)
                .rev()
                .find(|n| decision.request.is_char_boundary(*n));
            decision.request.truncate(end.unwrap_or(0));
        }
        self.shards.with(service, VecDeque::new, |decisions| {
            if decisions.len() == MAX_DECISIONS {
                decisions.pop_front();
            }
            decisions.push_back(decision);
        });
    }

    /// Returns the decisions for a service, oldest first.
    #[must_use]
    pub fn read(&self, service: &ServiceName) -> Vec<Decision> {
        let read = |decisions: &mut VecDeque<Decision>| decisions.iter().cloned().collect();
        self.shards.get(service, read).unwrap_or_default()
    }
}

impl fmt::Debug for Decisions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Decisions")
    }
}
