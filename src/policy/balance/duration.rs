//! Estimates of request durations, and the objects that targets have warm.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::domain::Millis;

/// The weight of one sample in the moving average of durations.
const DURATION_SMOOTHING: f64 = 0.04;

/// Samples are clamped to this factor around the estimate, because a few
/// requests run many times longer than the rest and say nothing about the
/// others.
const OUTLIER_FACTOR: f64 = 2.5;

/// The factor around the estimate of a typical duration to which its samples are
/// clamped. A request that finds its object cold takes several times as long, and must
/// hardly count.
const TYPICAL_FACTOR: f64 = 1.5;

/// The number of samples from which an estimate is reliable.
const SAMPLES_MIN: u32 = 20;

/// How long an estimate stays reliable after its last sample.
const ESTIMATE_VALIDITY: Millis = Millis(1_000);

/// The number of objects that are remembered for each target.
const RECENT_OBJECTS_MAX: usize = 24;

/// How long a target is assumed to keep an object warm after a request for it.
const WARM_DURATION: Millis = Millis(15_000);

/// Seed of the hash that decides in which order objects overflow to other
/// regions. It makes this order independent of the placement on targets.
const OVERFLOW_SEED: u64 = 0x6f76_6572_666c_6f77;

/// Moving averages of the durations of a route's requests on an idle target.
#[derive(Clone, Copy, Debug)]
pub(super) struct DurationEstimate {
    /// The duration for an object that the target has warm.
    pub warm_ms: f64,
    /// The duration for any other object.
    pub cold_ms: f64,
    /// The duration of a typical request for a warm object. Unlike `warm_ms` it is
    /// hardly raised by objects that turn out to be cold, as all are at a start, so
    /// that it says what callers will need once their objects are warm.
    pub typical_ms: f64,
    /// The number of cold and of warm samples.
    samples: [u32; 2],
    /// The instant of the last sample.
    last_sample: Millis,
}

impl DurationEstimate {
    /// Returns the initial estimate for a route, derived from its latency
    /// objective.
    #[expect(clippy::cast_precision_loss)]
    pub fn new(objective: Millis) -> Self {
        let cold_ms = objective.0.max(1) as f64;
        let warm_ms = cold_ms * 0.4;
        Self {
            warm_ms,
            cold_ms,
            typical_ms: warm_ms,
            samples: [0; 2],
            last_sample: Millis(0),
        }
    }

    /// Returns the estimated duration of one request in milliseconds.
    pub fn duration_ms(&self, warm: bool) -> f64 {
        if warm { self.warm_ms } else { self.cold_ms }
    }

    /// Returns whether the estimate is reliable enough to refuse a request
    /// because of it. It expires without new samples: a wrong estimate would
    /// otherwise refuse all requests that could correct it.
    pub fn is_reliable(&self, warm: bool, now: Millis) -> bool {
        self.samples[usize::from(warm)] >= SAMPLES_MIN
            && now - self.last_sample <= ESTIMATE_VALIDITY
    }

    /// Adds the duration of a request for an object that is assumed warm at a target of
    /// the local region. The effect of queueing must have been removed.
    pub fn record_typical(&mut self, sample_ms: f64) {
        let (min, max) = (
            self.typical_ms / TYPICAL_FACTOR,
            self.typical_ms * TYPICAL_FACTOR,
        );
        self.typical_ms += (sample_ms.clamp(min, max) - self.typical_ms) * DURATION_SMOOTHING;
    }

    /// Adds a sample. The effects of queueing and of the target's slowdown must
    /// have been removed from it.
    pub fn record(&mut self, now: Millis, warm: bool, sample_ms: f64) {
        self.last_sample = now;
        self.samples[usize::from(warm)] += 1;
        let average_ms = if warm {
            &mut self.warm_ms
        } else {
            &mut self.cold_ms
        };
        let sample_ms = sample_ms.clamp(*average_ms / OUTLIER_FACTOR, *average_ms * OUTLIER_FACTOR);
        *average_ms += (sample_ms - *average_ms) * DURATION_SMOOTHING;
        // A cold request does everything that a warm one does, and more.
        self.cold_ms = self.cold_ms.max(self.warm_ms);
    }
}

/// The objects of the latest requests that one target answered to this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    recent: VecDeque<(u64, Millis)>,
}

impl RecentObjects {
    /// Returns whether the target is likely to have the object warm.
    pub fn is_warm(&self, object: u64, now: Millis) -> bool {
        let mut recent = self.recent.iter();
        recent.any(|(o, at)| *o == object && *at + WARM_DURATION > now)
    }

    /// Records that the target handled a request for the object.
    pub fn record(&mut self, object: u64, now: Millis) {
        if let Some(at) = self.recent.iter().position(|(o, _)| *o == object) {
            self.recent.remove(at);
        } else if self.recent.len() == RECENT_OBJECTS_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back((object, now));
    }

    /// Forgets all objects, because the caches of the target are cold.
    pub fn clear(&mut self) {
        self.recent.clear();
    }
}

/// Returns the hash of an object of a route. It is the same at all entries.
#[must_use]
pub fn object_hash(route: &str, object: &[u8]) -> u64 {
    xxh3_64_with_seed(object, xxh3_64_with_seed(route.as_bytes(), 0))
}

/// Mixes two hashes into one, for example into the rendezvous-hashing score of
/// an object and a target.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 32;
    x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 29)
}

/// Returns an object's position in the order of overflow, from 0 to 1.
pub(super) fn hash_position(object: u64) -> f64 {
    unit(mix(object, OVERFLOW_SEED))
}

/// Maps a hash to the range from 0 to 1.
#[expect(clippy::cast_precision_loss)]
pub(super) fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
