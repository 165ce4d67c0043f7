//! Selection of the granter of a region.

use std::collections::HashMap;

use crate::{
    domain::{EntryId, Millis, Presence},
    policy::upstream::rank,
};

/// How many calls in a row fail until a granter is avoided. One alone may be a lost
/// packet, and a change of the granter leaves the region without its tokens for a
/// second.
const FAILURES_MAX: u32 = 2;

/// How long a granter is avoided.
const BACKOFF: Millis = Millis(3_000);

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    avoided_until: Millis,
}

/// Selects granters and remembers those that failed.
#[derive(Clone, Debug, Default)]
pub struct GranterSelector {
    failed: HashMap<EntryId, Failures>,
}

impl GranterSelector {
    /// Returns the first usable entry of a region. All entries of the region select the
    /// same one while they know the same entries.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        region: impl Iterator<Item = &'a Presence>,
    ) -> Option<&'a Presence> {
        self.failed
            .retain(|_, f| f.count < FAILURES_MAX || now < f.avoided_until);
        let failed = &self.failed;
        let usable = |p: &&Presence| failed.get(&p.name).is_none_or(|f| f.count < FAILURES_MAX);
        rank(region).into_iter().find(usable)
    }

    /// Records that an entry did not answer.
    pub fn record_failure(&mut self, now: Millis, entry: &EntryId) {
        let failures = self.failed.entry(entry.clone()).or_default();
        failures.count += 1;
        failures.avoided_until = now + BACKOFF;
    }

    /// Records that an entry answered.
    pub fn record_answer(&mut self, entry: &EntryId) {
        self.failed.remove(entry);
    }
}
