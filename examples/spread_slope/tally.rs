//! The totals of a simulation.

use std::collections::{BTreeMap, HashMap};

use savorybeam::domain::Millis;

use super::{
    nodes::{Call, Kind},
    wire::Overhead,
};

/// The idle time after which the pool closes a connection.
const IDLE_TIMEOUT: Millis = Millis(30_000);

/// The totals over the measured time.
#[derive(Default)]
pub struct Tally {
    /// The number of messages and bytes by kind.
    sent: BTreeMap<Kind, (u64, u64)>,
    /// The number of calls that opened a connection, and of those that used an open
    /// one.
    calls: [u64; 2],
    /// When each connection was last used, by its sender and receiver.
    last_used: HashMap<(usize, usize), Millis>,
    /// The time of each edit that is not yet adopted everywhere, and the number of
    /// entries that have adopted it. The key is the revision.
    edits: BTreeMap<u64, (Millis, usize)>,
    /// The time from each edit to its adoption by the last entry, in milliseconds.
    delays: Vec<u64>,
}

impl Tally {
    /// Counts a request or reply.
    pub fn record_message(&mut self, call: &Call) {
        let sum = self.sent.entry(call.kind).or_default();
        let bytes = u64::try_from(call.bytes.len()).unwrap_or(0);
        *sum = (sum.0 + 1, sum.1 + bytes);
    }

    /// Records the use of a connection, and counts the call if `measured` is set.
    pub fn record_call(&mut self, now: Millis, measured: bool, pair: (usize, usize)) {
        let last = self.last_used.insert(pair, now);
        let open = last.is_some_and(|at| now - at < IDLE_TIMEOUT);
        self.calls[usize::from(open)] += u64::from(measured);
    }

    /// Returns the number of edits so far.
    pub fn edit_count(&self) -> u64 {
        u64::try_from(self.edits.len() + self.delays.len()).unwrap_or(0)
    }

    /// Starts to track the adoption of an edit.
    pub fn record_edit(&mut self, now: Millis, revision: u64) {
        self.edits.insert(revision, (now, 0));
    }

    /// Records that one more of `entries` entries has adopted an edit.
    pub fn record_adoption(&mut self, now: Millis, revision: u64, entries: usize) {
        let Some((start, count)) = self.edits.get_mut(&revision) else {
            return;
        };
        *count += 1;
        if *count == entries {
            self.delays.push((now - *start).0);
            self.edits.remove(&revision);
        }
    }

    /// Returns the row of the printed table.
    pub fn row(&mut self, entries: usize, measured_time: Millis, overhead: &Overhead) -> String {
        let entry_millis = measured_time.0 * u64::try_from(entries).unwrap_or(1);
        let rate = |n: u64| {
            let tenths = n * 10_000 / entry_millis;
            format!("{}.{}", tenths / 10, tenths % 10)
        };
        let sent = |kind| self.sent.get(&kind).copied().unwrap_or_default();
        let (probes, syncs, fetches) = (sent(Kind::Probe), sent(Kind::Sync), sent(Kind::Fetch));
        let http_bytes = self.calls[0] * overhead.first + self.calls[1] * overhead.later;
        let membership_bytes = probes.1 + syncs.1;
        self.delays.sort_unstable();
        let percentile = |percent| self.delays.get(self.delays.len() * percent / 100);
        let percentile = |percent| percentile(percent).copied().unwrap_or_default();
        let cells = [
            entries.to_string(),
            rate(probes.0 + syncs.0),
            rate(membership_bytes),
            rate(fetches.0),
            rate(fetches.1),
            rate(http_bytes),
            rate(membership_bytes + fetches.1 + http_bytes),
            self.delays.len().to_string(),
            percentile(50).to_string(),
            percentile(99).to_string(),
            self.edits.len().to_string(),
        ];
        format!("| {} |", cells.join(" | "))
    }
}
