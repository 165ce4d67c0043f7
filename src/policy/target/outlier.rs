//! Outlier detection: compares the targets of a place with each other.

use super::{Pool, State, lane_index, state::Target};
use crate::domain::{Lane, Millis};

/// How long the result of a comparison is used. Most choices thereby avoid the
/// sort of the latencies.
const EVALUATION_INTERVAL: Millis = Millis(50);

/// A target becomes slow if its latency exceeds the median of its place by this
/// factor.
const SLOW_RATIO: f64 = 3.0;

/// A slow target has recovered if its latency is at most this many times the
/// median. The gap to [`SLOW_RATIO`] is hysteresis.
const RECOVERED_RATIO: f64 = 2.0;

/// The ramp of a cold target pauses while its latency exceeds the median by this
/// factor.
const RAMP_PAUSE_RATIO: f64 = 2.0;

impl Pool {
    /// Updates the states of the targets of a place, unless they were updated
    /// within [`EVALUATION_INTERVAL`].
    pub(super) fn evaluate(&mut self, now: Millis, place_index: usize) {
        let Some(place) = self.places.get_mut(place_index) else {
            return;
        };
        let current = place
            .evaluated
            .is_some_and(|at| now - at < EVALUATION_INTERVAL);
        if current {
            return;
        }
        place.evaluated = Some(now);
        let targets = std::mem::take(&mut place.targets);
        let medians = [Lane::Short, Lane::Long].map(|lane| self.median(&targets, lane));
        for &index in &targets {
            evaluate_target(&mut self.targets[index], now, medians);
        }
        self.eject(now, &targets);
        self.places[place_index].targets = targets;
    }

    /// Returns the lower median of the typical latencies. With two targets this
    /// is the latency of the faster one, so that the other one can be slow.
    fn median(&self, targets: &[usize], lane: Lane) -> Option<f64> {
        let usable = targets.iter().map(|&index| &self.targets[index]);
        let usable = usable.filter(|t| !t.leaving);
        let mut all: Vec<f64> = usable
            .filter_map(|t| t.latency[lane_index(lane)].typical())
            .collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len().saturating_sub(1) / 2).copied()
    }

    /// Ejects shedding and slow targets, up to half of the targets of the place.
    fn eject(&mut self, now: Millis, targets: &[usize]) {
        let mut outliers: Vec<usize> = Vec::new();
        for &index in targets {
            let target = &mut self.targets[index];
            target.ejected = false;
            if matches!(target.state(now), State::Shedding | State::Slow) {
                outliers.push(index);
            }
        }
        let eligible = targets
            .iter()
            .filter(|&&index| !self.targets[index].leaving);
        let ejected_max = eligible.count() / 2;
        // Shedding targets are ejected before slow ones, and those with the
        // longest back-off first.
        outliers.sort_by_key(|&index| {
            let target = &self.targets[index];
            (std::cmp::Reverse(target.backoff_until), target.id)
        });
        for &index in outliers.iter().take(ejected_max) {
            self.targets[index].ejected = true;
        }
    }
}

fn evaluate_target(target: &mut Target, now: Millis, medians: [Option<f64>; 2]) {
    if target.backoff_until.is_some_and(|until| until <= now) {
        target.backoff_until = None;
        target.end_backoff(now);
    }
    let ratio = latency_ratio(target, medians);
    if target.slow {
        target.slow = ratio > RECOVERED_RATIO;
    } else {
        target.slow = ratio > SLOW_RATIO;
    }
    target.advance_ramp(now, ratio > RAMP_PAUSE_RATIO);
}

/// Returns the ratio of the target's latency to the median, in the lane where it
/// is larger.
fn latency_ratio(target: &Target, medians: [Option<f64>; 2]) -> f64 {
    let lanes = target.latency.iter().zip(medians);
    let ratios = lanes.filter_map(|(l, median)| Some(l.typical()? / median?));
    ratios.fold(0.0, f64::max)
}
