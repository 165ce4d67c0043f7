//! The expected duration of requests, learned per route.

use std::collections::HashMap;

use crate::domain::{Lane, Millis};

/// A route becomes long above this mean duration.
const LONG_ABOVE_MS: f64 = 500.0;

/// A long route becomes short again below this mean duration. The gap to
/// [`LONG_ABOVE_MS`] keeps a route from alternating between the lanes.
const SHORT_BELOW_MS: f64 = 250.0;

/// The weight of a new duration in the moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// The maximum number of routes that are stored. Documents list fewer; the bound
/// limits the memory if a caller of this module passes paths instead of routes.
const ROUTES_MAX: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct RouteDuration {
    mean_ms: f64,
    lane: Lane,
}

/// The mean durations of the routes and lanes of one service.
///
/// A lane that the document declares takes precedence over the learned one. The
/// expected duration of a route without samples is the mean of its lane, or zero
/// if the lane has none, so that the first request is never refused because of a
/// guess.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    routes: HashMap<Box<str>, RouteDuration>,
    lanes: [Option<f64>; 2],
}

impl RouteDurations {
    /// Returns a table without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lane of a route: the declared one, else the learned one, else
    /// the default.
    #[must_use]
    pub fn lane(&self, declared: Option<Lane>, route: &str) -> Lane {
        let learned = || self.routes.get(route).map(|d| d.lane);
        declared.or_else(learned).unwrap_or_default()
    }

    /// Returns the expected duration of a request.
    #[must_use]
    pub fn expected(&self, lane: Lane, route: &str) -> Millis {
        let learned = self.routes.get(route).map(|d| d.mean_ms);
        millis(
            learned
                .or(self.lanes[super::lane_index(lane)])
                .unwrap_or(0.0),
        )
    }

    /// Returns the mean duration of a lane, or zero without samples.
    #[must_use]
    pub fn mean(&self, lane: Lane) -> Millis {
        millis(self.lanes[super::lane_index(lane)].unwrap_or(0.0))
    }

    /// Records the duration of a request that was answered. Cancelled requests
    /// must not be learned, since they would lower the mean.
    pub fn record(&mut self, lane: Lane, route: &str, time: Millis) {
        let sample = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        let mean = &mut self.lanes[super::lane_index(lane)];
        *mean = Some(mean.map_or(sample, |m| m + SAMPLE_WEIGHT * (sample - m)));
        if let Some(duration) = self.routes.get_mut(route) {
            duration.add(sample);
        } else if self.routes.len() < ROUTES_MAX {
            self.routes.insert(route.into(), RouteDuration::new(sample));
        }
    }
}

impl RouteDuration {
    fn new(sample: f64) -> Self {
        // A single sample does not make a route long.
        Self {
            mean_ms: sample.min(LONG_ABOVE_MS),
            lane: Lane::Short,
        }
    }

    fn add(&mut self, sample: f64) {
        self.mean_ms += SAMPLE_WEIGHT * (sample - self.mean_ms);
        if self.mean_ms > LONG_ABOVE_MS {
            self.lane = Lane::Long;
        } else if self.mean_ms < SHORT_BELOW_MS {
            self.lane = Lane::Short;
        }
    }
}

// Means of durations are finite and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(n: f64) -> Millis {
    Millis(n.round() as u64)
}
