//! Percentiles of recent durations.

use hdrhistogram::Histogram;

use crate::domain::Millis;

/// How long durations count, at least. They count for twice as long at most.
const SPAN: Millis = Millis(10_000);

/// The greatest duration that is kept apart from greater ones.
const LONGEST_MS: u64 = 600_000;

/// How many new durations pass before the percentiles are read again. Reading
/// them walks the histogram, which is too slow for every request.
const REFRESH: u32 = 64;

/// How many durations must be known before a percentile means something.
const ENOUGH: u64 = 50;

/// The recent durations of one lane of a service.
///
/// Two histograms take turns, so that a percentile always rests on 10 to 20 s
/// and no single duration has to be removed again.
#[derive(Clone, Debug)]
pub struct Window {
    parts: [Option<Histogram<u32>>; 2],
    turned: Millis,
    fresh: u32,
    cache: Percentiles,
}

/// Percentiles of one lane.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Percentiles {
    /// 95% of the durations are at most this long, if enough are known.
    pub p95: Option<Millis>,
    /// 99% of the durations are at most this long, if enough are known.
    pub p99: Option<Millis>,
}

impl Window {
    /// Returns a window without durations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            parts: [histogram(), histogram()],
            turned: Millis(0),
            fresh: 0,
            cache: Percentiles::default(),
        }
    }

    /// Adds a duration.
    pub fn add(&mut self, now: Millis, time: Millis) {
        if now - self.turned >= SPAN {
            self.turn(now);
        }
        if let Some(part) = &mut self.parts[0] {
            part.saturating_record(time.0.clamp(1, LONGEST_MS));
        }
        self.fresh += 1;
        if self.fresh >= REFRESH {
            self.refresh();
        }
    }

    /// Returns the percentiles as of the last refresh.
    #[must_use]
    pub fn percentiles(&self) -> Percentiles {
        self.cache
    }

    fn turn(&mut self, now: Millis) {
        self.turned = now;
        self.parts.swap(0, 1);
        if let Some(part) = &mut self.parts[0] {
            part.reset();
        }
        self.refresh();
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        let mut all = histogram();
        if let Some(all) = &mut all {
            for part in self.parts.iter().flatten() {
                // Both have the same bounds, so adding cannot fail.
                let _ = all.add(part);
            }
        }
        let all = all.filter(|h| h.len() >= ENOUGH);
        let read = |q| all.as_ref().map(|h| Millis(h.value_at_quantile(q)));
        self.cache = Percentiles {
            p95: read(0.95),
            p99: read(0.99),
        };
    }
}

impl Default for Window {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a histogram with an error of at most 1%. The bounds are constants
/// that the library accepts, so there always is one.
fn histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, LONGEST_MS, 2).ok()
}
