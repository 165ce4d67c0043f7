//! The line between requests that are admitted and those that are refused.

use super::{Account, Division};
use crate::{
    domain::{Millis, Rank},
    policy::demand::{RANKS, WorkspaceKey, WorkspaceSlots},
};

/// The largest change of an admitted fraction in a second. Sums are as old as a poll or
/// two, and a faster change would swing about what fits.
const SLOPE_PER_S: f64 = 1.0;

/// The part of the room below which the need must fall before the line ends, so that it
/// does not begin and end by turns at the limit.
const END_LOAD: f64 = 0.9;

/// The position of a request that returns, relative to that of one that comes first. It
/// goes before others, but cannot take the whole room from them: most that return are
/// late.
const RETURN_POSITION: f64 = 0.8;

/// The interval over which the trend of the need is measured.
const TREND_INTERVAL: Millis = Millis(1_000);

/// The time to return while the need does not fall.
const RETURN_DEFAULT: Millis = Millis(1_000);

/// The earliest and the latest time to return.
const RETURN_RANGE: (Millis, Millis) = (Millis(250), Millis(3_000));

/// The fraction of the time to return over which returns are spread.
const RETURN_SPREAD: f64 = 0.5;

/// The line of one service, as one entry has drawn it.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// The admitted fraction of each rank.
    admitted: [f64; RANKS],
    /// The fraction of the most urgent rank that there is room for.
    first: f64,
    /// The most urgent rank that is not admitted whole, if there is a line.
    rank: Option<Rank>,
    account: Account,
    /// The need at the start of the present interval, and its change per second in the
    /// last one.
    sample: (Millis, f64),
    trend: f64,
    updated: Millis,
}

/// A change of the line, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineChange {
    /// The most urgent rank that is not admitted whole, or none at the end of the line.
    pub rank: Option<Rank>,
    /// The account by which it was drawn.
    pub account: Account,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            admitted: [1.0; RANKS],
            first: 1.0,
            rank: None,
            account: Account::default(),
            sample: (Millis(0), 0.0),
            trend: 0.0,
            updated: Millis(0),
        }
    }
}

impl Line {
    /// Moves the line towards what the account calls for. Without an account everything
    /// is admitted. Returns the change if the rank on the line is another one.
    pub fn update(&mut self, now: Millis, account: Option<Account>) -> Option<LineChange> {
        let Some(account) = account else {
            let change = self.rank.map(|_| LineChange {
                rank: None,
                account: self.account,
            });
            *self = Self::default();
            return change;
        };
        let slope = seconds(now - self.updated).min(1.0) * SLOPE_PER_S;
        for (admitted, goal) in self.admitted.iter_mut().zip(account.fractions()) {
            *admitted += (goal - *admitted).clamp(-slope, slope);
        }
        self.first += (account.first_fraction() - self.first).clamp(-slope, slope);
        self.updated = now;
        self.record_trend(now, account.needed.total());
        self.account = account;
        let ended = account.needed.total() < account.room * END_LOAD;
        let rank = self.rank_on_line().or(self.rank.filter(|_| !ended));
        let changed = rank != self.rank;
        self.rank = rank;
        changed.then_some(LineChange { rank, account })
    }

    /// Returns whether a request is admitted of which a fraction of its kind is.
    /// `position` is the hash of what it concerns, from 0 to 1, so that some objects are
    /// served whole.
    #[must_use]
    pub fn admits(fraction: f64, position: f64, returns: bool) -> bool {
        let factor = if returns { RETURN_POSITION } else { 1.0 };
        position * factor < fraction
    }

    /// Returns the admitted fraction of a workspace's requests, by what the largest
    /// workspaces need.
    #[must_use]
    pub fn workspace_admitted(&self, key: WorkspaceKey, needs: &WorkspaceSlots) -> f64 {
        let rank = key.rank();
        let is_first = self.account.first_rank() == Some(rank);
        let admitted = if is_first {
            self.first
        } else {
            self.admitted[rank]
        };
        if admitted >= 1.0 {
            return 1.0;
        }
        let division = Division {
            needs,
            needed: self.account.needed.0[rank],
            admitted,
        };
        if is_first {
            division.excess_fraction(key)
        } else {
            division.fraction(key)
        }
    }

    /// Returns the admitted fraction of a rank.
    #[must_use]
    pub fn admitted(&self, rank: Rank) -> f64 {
        self.admitted[crate::policy::demand::RankSlots::index(rank)]
    }

    /// Returns the most urgent rank that is not admitted whole, if there is a line.
    #[must_use]
    pub fn rank(&self) -> Option<Rank> {
        self.rank
    }

    /// Returns whether a rank is not admitted whole.
    #[must_use]
    pub fn is_drawn(&self) -> bool {
        self.rank.is_some()
    }

    /// Returns when a refused request finds room, from the trend of the need. `spread` is
    /// a hash of the request, from 0 to 1.
    #[must_use]
    pub fn return_time(&self, spread: f64) -> Millis {
        let excess = self.account.needed.total() - self.account.room;
        let (min, max) = RETURN_RANGE;
        let wait = if self.trend < 0.0 {
            millis(excess / -self.trend * 1_000.0).clamp(min, max)
        } else {
            RETURN_DEFAULT
        };
        #[expect(clippy::cast_precision_loss)]
        let wait_ms = wait.0 as f64;
        millis(wait_ms * (1.0 + (spread - 0.5) * RETURN_SPREAD))
    }

    fn record_trend(&mut self, now: Millis, needed: f64) {
        let (at, before) = self.sample;
        let elapsed = now - at;
        if elapsed < TREND_INTERVAL {
            return;
        }
        self.trend = (needed - before) / seconds(elapsed);
        self.sample = (now, needed);
    }

    fn rank_on_line(&self) -> Option<Rank> {
        let at = self.admitted.iter().position(|admitted| *admitted < 1.0)?;
        u32::try_from(at).ok().map(Rank)
    }
}

#[expect(clippy::cast_precision_loss)]
fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(ms: f64) -> Millis {
    Millis(ms.max(0.0) as u64)
}
