//! A moving average of the units that an entry needs.

use super::{Limit, RATE_UNITS};
use crate::domain::Millis;

/// The fixed-point scale of the average: this many parts are one unit.
const SCALE: u64 = 1000;

/// The shortest time between two samples. Shorter samples would measure single
/// requests instead of a rate.
const MIN_SAMPLE_PERIOD: Millis = Millis(100);

/// The recent demand of an entry, in units.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    average: u64,
    peak: u32,
    admitted: u64,
    denied: u64,
    sampled_at: Millis,
}

impl Demand {
    /// Records an admission of `amount` that left `busy` units in use.
    pub(super) fn record_admission(&mut self, amount: u64, busy: u32) {
        self.admitted += amount;
        self.peak = self.peak.max(busy);
    }

    /// Records a denial of `amount`.
    pub(super) fn record_denial(&mut self, amount: u64) {
        self.denied += amount;
    }

    /// Returns whether anything was denied since the last sample.
    pub(super) fn has_denials(&self) -> bool {
        self.denied > 0
    }

    /// Adds a sample to the average and starts the next one with `busy` units in
    /// use. It does nothing until [`MIN_SAMPLE_PERIOD`] has passed.
    pub(super) fn sample(&mut self, now: Millis, limit: &Limit, busy: u32) {
        let elapsed = now - self.sampled_at;
        if elapsed < MIN_SAMPLE_PERIOD {
            return;
        }
        let sample = self.measure(elapsed, limit);
        let weight = match limit {
            Limit::Slots(_) => 4,
            Limit::Rate { .. } => 8,
        };
        let rises_at_once = matches!(limit, Limit::Slots(_)) && sample > self.average;
        self.average = if rises_at_once {
            sample
        } else {
            (self.average * (weight - 1) + sample) / weight
        };
        *self = Self {
            average: self.average,
            peak: busy,
            sampled_at: now,
            ..Self::default()
        };
    }

    /// Returns how many units are needed, `busy` of which are in use.
    pub(super) fn need(&self, limit: &Limit, busy: u32) -> u32 {
        let average = u32::try_from(self.average.div_ceil(SCALE)).unwrap_or(u32::MAX);
        let need = match limit {
            // An average below a tenth of a unit is the decaying rest of past demand.
            Limit::Slots(_) if self.average < SCALE / 10 => busy,
            Limit::Slots(_) => average.max(busy),
            Limit::Rate { .. } if self.average < SCALE / 10 => 0,
            Limit::Rate { .. } => average + average / 8 + 1,
        };
        let short = u32::from(self.has_denials());
        need.max(busy + short).min(limit.units())
    }

    /// Returns the units needed in the current sample, scaled by [`SCALE`].
    ///
    /// Denials are counted up to a little more than the admissions, because a caller
    /// that repeats a denied request is counted each time.
    fn measure(&self, elapsed: Millis, limit: &Limit) -> u64 {
        match *limit {
            Limit::Slots(slots) => {
                let peak = u64::from(self.peak);
                let need = peak + self.denied.min(peak + 2);
                need.min(u64::from(slots.0)) * SCALE
            }
            Limit::Rate { rate, .. } => {
                let denied = self.denied.min(self.admitted + rate / 8);
                let amount = u128::from(self.admitted + denied) * u128::from(RATE_UNITS);
                let capacity = u128::from(rate.max(1)) * u128::from(elapsed.0);
                let units = amount * 1000 * u128::from(SCALE) / capacity;
                let max_units = u64::from(RATE_UNITS) * SCALE;
                u64::try_from(units).unwrap_or(max_units).min(max_units)
            }
        }
    }
}
