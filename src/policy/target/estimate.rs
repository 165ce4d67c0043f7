//! Moving averages of the latency of a target.

use crate::domain::Millis;

/// The time constant of the exponential decay of an estimate without samples:
/// after this time about one third of the difference is left.
const TIME_CONSTANT_MS: f64 = 2000.0;

/// The weight of a new sample in the typical latency. With 0.2 a straggler of 20
/// times the usual latency raises the geometric mean by a factor of 1.8, which
/// stays below the factor of 3 that marks a slow target.
const TYPICAL_GAIN: f64 = 0.2;

/// The lower bound of a sample. Durations are whole milliseconds, and the
/// logarithm of zero is not finite.
const SAMPLE_MIN_MS: f64 = 1.0;

/// Returns a duration as a floating-point number of milliseconds.
pub(super) fn ms(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

/// The latency of one lane at one target.
///
/// It has two estimates for different purposes. `peak` orders candidates: it
/// rises quickly and decays slowly, so that the next requests avoid a target that
/// has just become slow. `typical` decides whether the target counts as slow: it
/// is a geometric mean, which one straggler hardly moves.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    /// A peak-sensitive moving average, in milliseconds.
    peak: f64,
    /// The moving average of the logarithm of the samples.
    typical: f64,
    samples: u32,
    last: Millis,
}

impl Latency {
    /// Adds a measured latency.
    pub(super) fn add(&mut self, now: Millis, time: Millis) {
        let sample = ms(time).max(SAMPLE_MIN_MS);
        if self.samples == 0 {
            self.peak = sample;
            self.typical = sample.ln();
        } else {
            self.add_peak(now, sample);
            self.typical += TYPICAL_GAIN * (sample.ln() - self.typical);
        }
        self.samples = self.samples.saturating_add(1);
        self.last = now;
    }

    /// Adds a lower bound of a latency, from a request that was cancelled after
    /// `time`. Without it, a hedge that answers first would hide that the target
    /// of the first attempt is slow.
    pub(super) fn add_lower_bound(&mut self, now: Millis, time: Millis) {
        if self.samples > 0 && ms(time) > self.typical.exp() {
            self.add(now, time);
        }
    }

    fn add_peak(&mut self, now: Millis, sample: f64) {
        let keep = (-ms(now - self.last) / TIME_CONSTANT_MS).exp();
        // A sample above the estimate gets a weight of one half. With its full
        // weight, one straggler kept traffic from its target for seconds.
        let part = if sample > self.peak { 0.5 } else { 1.0 - keep };
        self.peak += part.max(0.05) * (sample - self.peak);
    }

    /// Returns the estimate that orders candidates, or `None` without samples.
    pub(super) fn peak(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.peak)
    }

    /// Returns the peak estimate, decayed since the last sample towards `mean`,
    /// the mean latency of the candidates. Without the decay, a target that was
    /// slow once would get no request that shows its recovery.
    pub(super) fn decayed(&self, now: Millis, mean: f64) -> f64 {
        if self.samples == 0 {
            return mean;
        }
        let keep = (-ms(now - self.last) / TIME_CONSTANT_MS).exp();
        mean + (self.peak - mean) * keep
    }

    /// Returns the estimate that decides whether a target is slow, or `None` with
    /// fewer than three samples.
    pub(super) fn typical(&self) -> Option<f64> {
        (self.samples >= 3).then(|| self.typical.exp())
    }

    /// Returns the time of the last sample.
    pub(super) fn last(&self) -> Millis {
        self.last
    }
}
