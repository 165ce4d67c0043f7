//! The latest decisions, for `explain`.

use std::{collections::VecDeque, fmt, sync::Arc};

use crate::{
    domain::{ServiceName, Shards},
    ports::admin::Decision,
};

/// How many decisions are kept for each service. They answer "why did this
/// request go there", which is asked of the last few; counts are in the metrics.
const KEPT: usize = 32;

/// The longest request line that a decision keeps, since callers choose it.
const REQUEST_MAX: usize = 200;

/// The latest decisions of an entry. Clones share them.
#[derive(Clone, Default)]
pub struct Decisions {
    shards: Arc<Shards<ServiceName, VecDeque<Decision>>>,
}

impl Decisions {
    /// Notes a decision. The caller names only services that have a document,
    /// so that requests for other names take no memory.
    pub fn note(&self, service: ServiceName, mut decision: Decision) {
        if decision.request.len() > REQUEST_MAX {
            let end = (0..=REQUEST_MAX)
                .rev()
                .find(|n| decision.request.is_char_boundary(*n));
            decision.request.truncate(end.unwrap_or(0));
        }
        self.shards.with(service, VecDeque::new, |kept| {
            if kept.len() == KEPT {
                kept.pop_front();
            }
            kept.push_back(decision);
        });
    }

    /// Returns the decisions for a service, the oldest first.
    #[must_use]
    pub fn read(&self, service: &ServiceName) -> Vec<Decision> {
        let read = |kept: &mut VecDeque<Decision>| kept.iter().cloned().collect();
        self.shards.get(service, read).unwrap_or_default()
    }
}

impl fmt::Debug for Decisions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Decisions")
    }
}
