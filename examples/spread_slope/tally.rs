//! Sums over a run.

use std::collections::{BTreeMap, HashMap};

use savorybeam::domain::Millis;

use super::{
    nodes::{Call, Kind},
    wire::Overhead,
};

/// The pool closes connections that were idle for this long.
const IDLE: Millis = Millis(30_000);

#[derive(Default)]
pub struct Tally {
    /// Messages and bytes by kind.
    sent: BTreeMap<Kind, (u64, u64)>,
    /// Calls on new and on open connections.
    calls: [u64; 2],
    /// When each connection was last used.
    used: HashMap<(usize, usize), Millis>,
    /// The time of each edit and how many entries have it.
    edits: BTreeMap<u64, (Millis, usize)>,
    delays: Vec<u64>,
}

impl Tally {
    pub fn message(&mut self, call: &Call) {
        let sum = self.sent.entry(call.kind).or_default();
        let bytes = u64::try_from(call.bytes.len()).unwrap_or(0);
        *sum = (sum.0 + 1, sum.1 + bytes);
    }

    pub fn connect(&mut self, now: Millis, counts: bool, pair: (usize, usize)) {
        let last = self.used.insert(pair, now);
        let open = last.is_some_and(|at| now - at < IDLE);
        self.calls[usize::from(open)] += u64::from(counts);
    }

    pub fn edits(&self) -> u64 {
        u64::try_from(self.edits.len() + self.delays.len()).unwrap_or(0)
    }

    pub fn edit(&mut self, now: Millis, revision: u64) {
        self.edits.insert(revision, (now, 0));
    }

    pub fn adopted(&mut self, now: Millis, revision: u64, entries: usize) {
        let Some((start, count)) = self.edits.get_mut(&revision) else {
            return;
        };
        *count += 1;
        if *count == entries {
            self.delays.push((now - *start).0);
            self.edits.remove(&revision);
        }
    }

    pub fn row(&mut self, entries: usize, span: Millis, overhead: &Overhead) -> String {
        let span = span.0 * u64::try_from(entries).unwrap_or(1);
        let rate = |n: u64| {
            let tenths = n * 10_000 / span;
            format!("{}.{}", tenths / 10, tenths % 10)
        };
        let sent = |kind| self.sent.get(&kind).copied().unwrap_or_default();
        let (probes, syncs, fetches) = (sent(Kind::Probe), sent(Kind::Sync), sent(Kind::Fetch));
        let http = self.calls[0] * overhead.first + self.calls[1] * overhead.later;
        let bytes = probes.1 + syncs.1;
        self.delays.sort_unstable();
        let at = |percent| self.delays.get(self.delays.len() * percent / 100);
        let at = |percent| at(percent).copied().unwrap_or_default();
        let cells = [
            entries.to_string(),
            rate(probes.0 + syncs.0),
            rate(bytes),
            rate(fetches.0),
            rate(fetches.1),
            rate(http),
            rate(bytes + fetches.1 + http),
            self.delays.len().to_string(),
            at(50).to_string(),
            at(99).to_string(),
            self.edits.len().to_string(),
        ];
        format!("| {} |", cells.join(" | "))
    }
}
