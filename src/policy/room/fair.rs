//! Divides the room of a rank between workspaces.

use crate::policy::demand::{WorkspaceKey, WorkspaceNeed, WorkspaceSlots};

/// How many times its part a workspace of the most urgent rank gets. That rank is not held
/// back by sums that are two seconds old, except for the excess of a few workspaces.
const EXCESS: f64 = 1.5;

/// The room that workspaces of one rank share.
#[derive(Clone, Copy, Debug)]
pub struct Division<'a> {
    /// What the largest workspaces need.
    pub needs: &'a WorkspaceSlots,
    /// The slots that all requests of the rank need.
    pub needed: f64,
    /// The fraction of them that is admitted.
    pub admitted: f64,
}

/// What workspaces get at most.
struct Level {
    /// The slots per weight of the largest workspaces.
    ratio: f64,
    /// The smallest need per weight of these.
    smallest: f64,
    /// The admitted fraction of all other requests.
    others: f64,
}

impl Division<'_> {
    /// Returns the fraction of a workspace's requests that is admitted. The division is
    /// max-min by weight: each workspace gets what it asks for up to a level per weight,
    /// at which the room is used up. Those that are not among the largest are admitted as
    /// a whole, unless the level is below all of the largest ones.
    #[must_use]
    pub fn fraction(&self, key: WorkspaceKey) -> f64 {
        let Some(level) = self.level(key.rank()) else {
            return self.admitted;
        };
        let ratio = self.ratio(key);
        ratio.map_or(level.others, |ratio| (level.ratio / ratio).min(1.0))
    }

    /// Returns the same fraction if only workspaces are held back that ask for several
    /// times what others get. All others are admitted as a whole.
    #[must_use]
    pub fn excess_fraction(&self, key: WorkspaceKey) -> f64 {
        let (Some(level), Some(ratio)) = (self.level(key.rank()), self.ratio(key)) else {
            return 1.0;
        };
        (level.ratio.max(level.smallest) * EXCESS / ratio).min(1.0)
    }

    fn level(&self, rank: usize) -> Option<Level> {
        let needs = self.needs.needs().iter();
        let mut needs: Vec<&WorkspaceNeed> = needs.filter(|n| n.key.rank() == rank).collect();
        needs.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()));
        let smallest = f64::from(needs.first()?.ratio());
        let listed: f64 = needs.iter().map(|need| f64::from(need.slots)).sum();
        let mut weights: f64 = needs.iter().map(|need| f64::from(need.weight)).sum();
        let needed = self.needed.max(listed);
        let mut left = needed * self.admitted;
        let least = needed - listed + smallest * weights;
        if left < least {
            let others = left / least;
            return Some(Level {
                ratio: others * smallest,
                smallest,
                others,
            });
        }
        left -= needed - listed;
        let mut ratio = f64::INFINITY;
        for need in &needs {
            if f64::from(need.ratio()) * weights >= left {
                ratio = left / weights;
                break;
            }
            left -= f64::from(need.slots);
            weights -= f64::from(need.weight);
        }
        Some(Level {
            ratio,
            smallest,
            others: 1.0,
        })
    }

    /// Returns the need per weight of a workspace, if it is one of the largest.
    fn ratio(&self, key: WorkspaceKey) -> Option<f64> {
        let needs = self.needs.needs();
        let at = needs.binary_search_by_key(&key, |need| need.key).ok()?;
        let ratio = f64::from(needs[at].ratio());
        (ratio > 0.0).then_some(ratio)
    }
}
