//! Moving estimates of a target's latency.

use crate::domain::Millis;

/// The time in which an estimate without samples loses about two thirds of its
/// distance to a new sample.
const DECAY_MS: f64 = 2000.0;

/// The part of a new sample in the typical latency. With 0.2 a straggler of 20
/// times the usual length raises the geometric mean by a factor of 1.8, which
/// stays below the factor of 3 that marks a slow target.
const TYPICAL_PART: f64 = 0.2;

/// The latency that is assumed of a target without samples.
const UNKNOWN_MS: f64 = 1.0;

/// Returns a duration as a floating-point number of milliseconds.
pub(super) fn ms(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

/// The latency of one lane at one target.
///
/// There are two estimates because they serve different ends. `peak` rises at
/// once and decays slowly, so that the next requests avoid a target that has
/// just become slow. `typical` is a geometric mean, which one straggler hardly
/// moves, and decides whether the target counts as slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    peak: f64,
    typical: f64,
    samples: u32,
    last: Millis,
}

impl Latency {
    /// Adds a measured latency.
    pub(super) fn add(&mut self, now: Millis, time: Millis) {
        let sample = ms(time).max(UNKNOWN_MS);
        if self.samples == 0 {
            self.peak = sample;
            self.typical = sample.ln();
        } else {
            self.add_peak(now, sample);
            self.typical += TYPICAL_PART * (sample.ln() - self.typical);
        }
        self.samples = self.samples.saturating_add(1);
        self.last = now;
    }

    /// Adds a latency that is known only to be at least `time`, because the
    /// request was cancelled. Without it, hedges that win would hide that the
    /// other target is slow.
    pub(super) fn add_at_least(&mut self, now: Millis, time: Millis) {
        if self.samples > 0 && ms(time) > self.typical.exp() {
            self.add(now, time);
        }
    }

    fn add_peak(&mut self, now: Millis, sample: f64) {
        let keep = (-ms(now - self.last) / DECAY_MS).exp();
        // A sample above the estimate counts half at once. Taking it in full
        // made one straggler empty its target for seconds.
        let part = if sample > self.peak { 0.5 } else { 1.0 - keep };
        self.peak += part.max(0.05) * (sample - self.peak);
    }

    /// Returns the estimate that orders candidates, or none without samples.
    pub(super) fn peak(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.peak)
    }

    /// Returns the estimate after a time without samples, in which it approaches
    /// the usual latency of the other candidates. Without this, a target that
    /// was slow once would get no request that shows its recovery.
    pub(super) fn faded(&self, now: Millis, usual: f64) -> f64 {
        if self.samples == 0 {
            return usual;
        }
        let keep = (-ms(now - self.last) / DECAY_MS).exp();
        usual + (self.peak - usual) * keep
    }

    /// Returns the estimate that marks slow targets, or none before there are
    /// enough samples to judge.
    pub(super) fn typical(&self) -> Option<f64> {
        (self.samples >= 3).then(|| self.typical.exp())
    }

    /// Returns when the last sample came.
    pub(super) fn last(&self) -> Millis {
        self.last
    }
}
