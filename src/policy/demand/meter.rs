//! Measures the demand of one service at one entry.

use super::{Demand, RankSlots, WorkspaceKey, WorkspaceNeed, WorkspaceSlots};
use crate::domain::{Millis, Rank};

/// The time constant of the moving sums. An entry of a large region gets a few
/// requests per second of a service, but their sum over the region varies little, and a
/// longer window would add to the age of the sum.
pub const DEMAND_WINDOW: Millis = Millis(1_000);

/// The part of a request that a refused attempt counts for.
const REFUSED_WEIGHT: f64 = 0.5;

/// What a request counts for in the demand.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Its rank.
    pub rank: Rank,
    /// Its workspace, with the weight of that, if there is one.
    pub workspace: Option<(WorkspaceKey, f32)>,
    /// The time in milliseconds that it is expected to take at a target.
    pub duration_ms: f64,
}

/// Measures the demand of one service at one entry, as exponentially weighted sums
/// over its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    /// The sum of requests.
    count: f64,
    /// The sum of their durations in milliseconds.
    busy_ms: f64,
    /// The same by rank, with refused requests in full.
    rank_ms: RankSlots,
    /// The same of the largest workspaces.
    workspace_ms: WorkspaceSlots,
    /// The time of the first request.
    first: Option<Millis>,
    updated: Millis,
}

impl DemandMeter {
    /// Records a request.
    pub fn record(&mut self, now: Millis, asked: Asked) {
        self.add(now, 1.0, asked);
    }

    /// Records a request that was refused. Its caller usually sends it again, which
    /// would count it twice.
    pub fn record_refused(&mut self, now: Millis, asked: Asked) {
        self.add(now, REFUSED_WEIGHT, asked);
    }

    fn add(&mut self, now: Millis, count: f64, asked: Asked) {
        let Asked {
            rank,
            workspace,
            duration_ms,
        } = asked;
        let weight = remaining_weight(now - self.updated);
        self.count = self.count * weight + count;
        self.busy_ms = self.busy_ms * weight + count * duration_ms;
        self.rank_ms = self.rank_ms.scaled(weight);
        self.rank_ms.add(rank, duration_ms);
        self.workspace_ms = self.workspace_ms.scaled(weight);
        if let Some((key, weight)) = workspace {
            #[expect(clippy::cast_possible_truncation, reason = "single precision")]
            let slots = duration_ms as f32;
            self.workspace_ms.add(WorkspaceNeed { key, weight, slots });
        }
        self.first.get_or_insert(now);
        self.updated = self.updated.max(now);
    }

    /// Returns the time since the first request.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.first.map_or(Millis(0), |first| now - first)
    }

    /// Returns the demand. It is too low while the window after the first request fills.
    #[must_use]
    pub fn demand(&self, now: Millis) -> Demand {
        let window_ms = ms(DEMAND_WINDOW);
        let weight = remaining_weight(now - self.updated);
        Demand {
            requests: self.count * weight / window_ms * 1_000.0,
            slots: self.busy_ms * weight / window_ms,
            by_rank: self.rank_ms.scaled(weight / window_ms),
            by_workspace: self.workspace_ms.scaled(weight / window_ms),
            ..Demand::default()
        }
    }
}

/// Returns the weight of a request after the given time.
fn remaining_weight(elapsed: Millis) -> f64 {
    (-ms(elapsed) / ms(DEMAND_WINDOW)).exp()
}

#[expect(clippy::cast_precision_loss)]
fn ms(time: Millis) -> f64 {
    time.0 as f64
}
