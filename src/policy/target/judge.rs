//! The comparison of a place's targets with each other.

use super::{Pool, State, slot, state::Target};
use crate::domain::{Lane, Millis};

/// How long a comparison is used before it is repeated. It keeps the sort out
/// of most choices.
const JUDGE_INTERVAL: Millis = Millis(50);

/// A target is slow above this many times the median of its peers.
const SLOW_ABOVE: f64 = 3.0;

/// A slow target has recovered below this many times the median. The distance to
/// [`SLOW_ABOVE`] keeps it from alternating.
const SLOW_BELOW: f64 = 2.0;

/// The ramp of a cold target pauses above this many times the median.
const COLD_ABOVE: f64 = 2.0;

impl Pool {
    /// Brings the states of a place's targets up to date.
    pub(super) fn judge(&mut self, now: Millis, site: usize) {
        let Some(place) = self.sites.get_mut(site) else {
            return;
        };
        let fresh = place.judged.is_some_and(|at| now - at < JUDGE_INTERVAL);
        if fresh {
            return;
        }
        place.judged = Some(now);
        let members = std::mem::take(&mut place.members);
        let medians = [Lane::Short, Lane::Long].map(|lane| self.median(&members, lane));
        for &at in &members {
            judge_one(&mut self.targets[at], now, medians);
        }
        self.eject(now, &members);
        self.sites[site].members = members;
    }

    /// Returns the lower median of the typical latency. The lower one is taken
    /// so that with two targets the faster one sets the measure.
    fn median(&self, members: &[usize], lane: Lane) -> Option<f64> {
        let usable = members.iter().map(|&at| &self.targets[at]);
        let usable = usable.filter(|t| !t.leaving);
        let mut all: Vec<f64> = usable
            .filter_map(|t| t.latency[slot(lane)].typical())
            .collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len().saturating_sub(1) / 2).copied()
    }

    /// Leaves out shedding and slow targets, the worst first, up to half of the
    /// place.
    fn eject(&mut self, now: Millis, members: &[usize]) {
        let mut bad: Vec<usize> = Vec::new();
        for &at in members {
            let target = &mut self.targets[at];
            target.ejected = false;
            if matches!(target.state(now), State::Shedding | State::Slow) {
                bad.push(at);
            }
        }
        let total = members.iter().filter(|&&at| !self.targets[at].leaving);
        let most = total.count() / 2;
        // Shedding targets come first, the longest back-off before the others.
        bad.sort_by_key(|&at| {
            let target = &self.targets[at];
            (std::cmp::Reverse(target.until), target.id)
        });
        for &at in bad.iter().take(most) {
            self.targets[at].ejected = true;
        }
    }
}

fn judge_one(target: &mut Target, now: Millis, medians: [Option<f64>; 2]) {
    if target.until.is_some_and(|until| until <= now) {
        target.until = None;
        target.back(now);
    }
    let ratio = worst_ratio(target, medians);
    if target.slow {
        target.slow = ratio > SLOW_BELOW;
    } else {
        target.slow = ratio > SLOW_ABOVE;
    }
    target.warm_up(now, ratio > COLD_ABOVE);
}

/// Returns how many times slower than the median it is, in its worse lane.
fn worst_ratio(target: &Target, medians: [Option<f64>; 2]) -> f64 {
    let lanes = target.latency.iter().zip(medians);
    let ratios = lanes.filter_map(|(l, median)| Some(l.typical()? / median?));
    ratios.fold(0.0, f64::max)
}
