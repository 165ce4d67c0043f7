//! The expected length of requests.

use std::collections::HashMap;

use crate::domain::{Lane, Millis};

/// A route counts as long from this mean duration on.
const LONG_FROM_MS: f64 = 500.0;

/// A long route counts as short again below this mean duration. The distance to
/// [`LONG_FROM_MS`] keeps a route from alternating between the lanes.
const SHORT_FROM_MS: f64 = 250.0;

/// The part of a new duration in the mean.
const PART: f64 = 1.0 / 16.0;

/// How many routes are remembered. Documents list fewer; the bound protects
/// against a caller of this module that passes paths instead.
const ROUTES_MAX: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Length {
    mean: f64,
    lane: Lane,
}

/// The durations of one service, learned per route.
///
/// A lane that the document declares always counts. The duration of a route that
/// has not been seen yet is taken from its lane, or is zero, so that the first
/// request is never refused because of a guess.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    routes: HashMap<Box<str>, Length>,
    lanes: [Option<f64>; 2],
}

impl Lengths {
    /// Returns a table without durations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lane of a route.
    #[must_use]
    pub fn lane(&self, declared: Option<Lane>, route: &str) -> Lane {
        let learned = || self.routes.get(route).map(|l| l.lane);
        declared.or_else(learned).unwrap_or_default()
    }

    /// Returns the expected duration of a request.
    #[must_use]
    pub fn expected(&self, lane: Lane, route: &str) -> Millis {
        let learned = self.routes.get(route).map(|l| l.mean);
        millis(learned.or(self.lanes[super::at(lane)]).unwrap_or(0.0))
    }

    /// Returns the mean duration of a lane, or zero if none is known.
    #[must_use]
    pub fn mean(&self, lane: Lane) -> Millis {
        millis(self.lanes[super::at(lane)].unwrap_or(0.0))
    }

    /// Records the duration of a request that has been answered. Cancelled
    /// requests must not be recorded, since they would shorten the mean.
    pub fn learn(&mut self, lane: Lane, route: &str, time: Millis) {
        let sample = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        let mean = &mut self.lanes[super::at(lane)];
        *mean = Some(mean.map_or(sample, |m| m + PART * (sample - m)));
        if let Some(length) = self.routes.get_mut(route) {
            length.add(sample);
        } else if self.routes.len() < ROUTES_MAX {
            self.routes.insert(route.into(), Length::new(sample));
        }
    }
}

impl Length {
    fn new(sample: f64) -> Self {
        // One duration is not enough to call a route long.
        Self {
            mean: sample.min(LONG_FROM_MS),
            lane: Lane::Short,
        }
    }

    fn add(&mut self, sample: f64) {
        self.mean += PART * (sample - self.mean);
        if self.mean > LONG_FROM_MS {
            self.lane = Lane::Long;
        } else if self.mean < SHORT_FROM_MS {
            self.lane = Lane::Short;
        }
    }
}

// Means of durations are finite and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(n: f64) -> Millis {
    Millis(n.round() as u64)
}
