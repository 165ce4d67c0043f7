//! A moving average of the units that an entry needs.

use super::{Limit, RATE_UNITS};
use crate::domain::Millis;

/// The average keeps this many parts per unit.
const SCALE: u64 = 1000;

/// The shortest time between two samples. A shorter one would measure single
/// requests instead of a rate.
const SAMPLE: Millis = Millis(100);

/// What an entry needed lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    average: u64,
    peak: u32,
    admitted: u64,
    denied: u64,
    sampled: Millis,
}

impl Demand {
    /// Records an admission of `amount` that left `busy` units in use.
    pub(super) fn admit(&mut self, amount: u64, busy: u32) {
        self.admitted += amount;
        self.peak = self.peak.max(busy);
    }

    /// Records a denial.
    pub(super) fn deny(&mut self, amount: u64) {
        self.denied += amount;
    }

    /// Returns whether there was a denial since the last sample.
    pub(super) fn is_short(&self) -> bool {
        self.denied > 0
    }

    /// Takes a sample and starts the next one with `busy` units in use.
    pub(super) fn sample(&mut self, now: Millis, limit: &Limit, busy: u32) {
        let elapsed = now - self.sampled;
        if elapsed < SAMPLE {
            return;
        }
        let sample = self.latest(elapsed, limit);
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
            sampled: now,
            ..Self::default()
        };
    }

    /// Returns how many units are needed, `busy` of which are in use.
    pub(super) fn need(&self, limit: &Limit, busy: u32) -> u32 {
        let average = u32::try_from(self.average.div_ceil(SCALE)).unwrap_or(u32::MAX);
        let need = match limit {
            // An average below a tenth of a slot is the tail of past demand.
            Limit::Slots(_) if self.average < SCALE / 10 => busy,
            Limit::Slots(_) => average.max(busy),
            Limit::Rate { .. } if self.average < SCALE / 10 => 0,
            Limit::Rate { .. } => average + average / 8 + 1,
        };
        let short = u32::from(self.is_short());
        need.max(busy + short).min(limit.units())
    }

    /// Denials count at most as much again as admissions and a little more,
    /// because a caller that repeats a denied request is counted repeatedly.
    fn latest(&self, elapsed: Millis, limit: &Limit) -> u64 {
        match *limit {
            Limit::Slots(slots) => {
                let peak = u64::from(self.peak);
                let need = peak + self.denied.min(peak + 2);
                need.min(u64::from(slots.0)) * SCALE
            }
            Limit::Rate { rate, .. } => {
                let more = self.denied.min(self.admitted + rate / 8);
                let amount = u128::from(self.admitted + more) * u128::from(RATE_UNITS);
                let whole = u128::from(rate.max(1)) * u128::from(elapsed.0);
                let units = amount * 1000 * u128::from(SCALE) / whole;
                let most = u64::from(RATE_UNITS) * SCALE;
                u64::try_from(units).unwrap_or(most).min(most)
            }
        }
    }
}
