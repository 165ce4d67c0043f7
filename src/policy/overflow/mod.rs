//! Overflow: the fraction of a region's requests that runs in other regions.
//!
//! A region with more load than slots sends requests to other regions. The load
//! changes quickly, but the overflow fraction must change slowly, or else
//! caches in both regions go cold at once. [`Overflow`] therefore keeps this
//! fraction as state. It follows the preferences of the individual requests, in
//! both directions, with a limited slope.
//!
//! Overflow moves whole objects, those whose hash position is below the
//! fraction, so that a target in another region gets all requests for an object
//! and keeps it warm. Entries with the same fraction move the same objects.
//! Requests without an object are assigned by accumulating the fraction and
//! carrying the remainder to the next request. When targets of the region are
//! lost the slope limit does not apply, because requests would fail in the
//! meantime.

use crate::domain::Millis;

/// The window over which users measure how much traffic changes region.
const SHIFT_WINDOW_MS: f64 = 2_000.0;

/// The fraction of the users' cap that the slope uses. The rest is a margin for
/// random variation, since a window holds only a few hundred requests.
const CAP_FRACTION: f64 = 0.4;

/// The time constant of the moving average of the requests' preferences.
const PREFERENCE_DECAY_MS: f64 = 700.0;

/// The overflow state of one service in one region.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    /// The fraction of requests that currently runs in other regions.
    fraction: f64,
    /// The fraction that would apply without the slope limit.
    desired_fraction: f64,
    /// The accumulated fraction of requests without an object.
    remainder: f64,
    updated: Millis,
}

/// Where a request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// In the local region.
    Local,
    /// In another region.
    Remote,
}

impl Overflow {
    /// Returns the state of a region with an initial overflow fraction.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        let fraction = fraction.clamp(0.0, 1.0);
        Self {
            fraction,
            desired_fraction: fraction,
            ..Self::default()
        }
    }

    /// Decides where a request runs. `preferred` is the placement with the
    /// lower cost, `hash_position` the position of the request's object from 0
    /// to 1, if it has one, and `shift_cap` the largest fraction that may
    /// change region from one window to the next. `capacity_lost` says that the
    /// region has just lost targets.
    pub fn assign(
        &mut self,
        now: Millis,
        preferred: Placement,
        hash_position: Option<f64>,
        shift_cap: f64,
        capacity_lost: bool,
    ) -> Placement {
        self.update_fraction(now, preferred, shift_cap, capacity_lost);
        if capacity_lost {
            return preferred;
        }
        let is_remote = match hash_position {
            Some(hash_position) => hash_position < self.fraction,
            None => self.assign_by_remainder(),
        };
        if is_remote {
            Placement::Remote
        } else {
            Placement::Local
        }
    }

    fn assign_by_remainder(&mut self) -> bool {
        self.remainder += self.fraction;
        let is_remote = self.remainder >= 1.0;
        if is_remote {
            self.remainder -= 1.0;
        }
        is_remote
    }

    /// Returns the fraction of requests that currently runs in other regions.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    fn update_fraction(
        &mut self,
        now: Millis,
        preferred: Placement,
        shift_cap: f64,
        capacity_lost: bool,
    ) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed_ms = ((now - self.updated).0 as f64).min(SHIFT_WINDOW_MS);
        self.updated = now;
        let goal = f64::from(u8::from(preferred == Placement::Remote));
        // Each request has a minimum weight, even if several arrive at once.
        let gain = (elapsed_ms / PREFERENCE_DECAY_MS).clamp(0.02, 0.2);
        self.desired_fraction += (goal - self.desired_fraction) * gain;
        if capacity_lost {
            self.fraction = self.desired_fraction;
            return;
        }
        let slope = shift_cap * CAP_FRACTION * elapsed_ms / SHIFT_WINDOW_MS;
        self.fraction += (self.desired_fraction - self.fraction).clamp(-slope, slope);
    }
}
