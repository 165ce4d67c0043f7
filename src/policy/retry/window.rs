//! Percentiles of recent durations, over a sliding window.

use hdrhistogram::Histogram;

use crate::domain::Millis;

/// The interval at which the histograms are rotated. A duration counts for at
/// least this long and at most twice as long.
const ROTATION_INTERVAL: Millis = Millis(10_000);

/// The longest duration that is recorded. Longer ones are recorded as this one.
const DURATION_MAX_MS: u64 = 600_000;

/// The number of new durations after which the percentiles are computed again.
/// This walks the histograms, which is too slow for every request.
const REFRESH_SAMPLES: u32 = 64;

/// The minimum number of durations from which percentiles are computed.
const SAMPLES_MIN: u64 = 50;

/// The recent durations of one lane of a service.
///
/// There are two histograms: durations go to the current one, and at each
/// rotation the older one is reset and becomes the current one. A percentile
/// therefore covers the last 10 to 20 s, and no single duration has to be removed.
#[derive(Clone, Debug)]
pub struct Window {
    histograms: [Option<Histogram<u32>>; 2],
    rotated: Millis,
    /// The durations added since the percentiles were last computed.
    new_samples: u32,
    cache: Percentiles,
}

/// Percentiles of the recent durations of one lane.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Percentiles {
    /// The 95th percentile, or `None` with too few durations.
    pub p95: Option<Millis>,
    /// The 99th percentile, or `None` with too few durations.
    pub p99: Option<Millis>,
}

impl Window {
    /// Returns a window without durations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            histograms: [new_histogram(), new_histogram()],
            rotated: Millis(0),
            new_samples: 0,
            cache: Percentiles::default(),
        }
    }

    /// Adds a duration.
    pub fn add(&mut self, now: Millis, time: Millis) {
        if now - self.rotated >= ROTATION_INTERVAL {
            self.rotate(now);
        }
        if let Some(histogram) = &mut self.histograms[0] {
            histogram.saturating_record(time.0.clamp(1, DURATION_MAX_MS));
        }
        self.new_samples += 1;
        if self.new_samples >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Returns the percentiles as they were last computed.
    #[must_use]
    pub fn percentiles(&self) -> Percentiles {
        self.cache
    }

    fn rotate(&mut self, now: Millis) {
        self.rotated = now;
        self.histograms.swap(0, 1);
        if let Some(histogram) = &mut self.histograms[0] {
            histogram.reset();
        }
        self.refresh();
    }

    fn refresh(&mut self) {
        self.new_samples = 0;
        let mut all = new_histogram();
        if let Some(all) = &mut all {
            for histogram in self.histograms.iter().flatten() {
                // All histograms have the same bounds, so this cannot fail.
                let _ = all.add(histogram);
            }
        }
        let all = all.filter(|h| h.len() >= SAMPLES_MIN);
        let quantile = |q| all.as_ref().map(|h| Millis(h.value_at_quantile(q)));
        self.cache = Percentiles {
            p95: quantile(0.95),
            p99: quantile(0.99),
        };
    }
}

impl Default for Window {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a histogram with two significant digits, an error of at most 1%. It is
/// never `None`, since the library accepts these constant bounds.
fn new_histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, DURATION_MAX_MS, 2).ok()
}
