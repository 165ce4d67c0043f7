//! How long requests of a route take.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::domain::Millis;

/// The weight of one duration in what is learned.
const GAIN: f64 = 0.04;

/// The largest factor by which one duration counts. A few requests run many
/// times longer than the rest and say nothing of the others.
const STRAGGLER: f64 = 2.5;

/// How many durations make an estimate.
const ENOUGH: u32 = 20;

/// For how long an answer confirms an estimate.
const CONFIRMED: Millis = Millis(1_000);

/// How many objects of a target are remembered.
const OBJECTS: usize = 24;

/// For how long a target is taken to keep an object warm.
const WARM: Millis = Millis(15_000);

/// The usual durations of a route's work on an idle target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// In milliseconds, on an object that the target knows.
    pub warm: f64,
    /// In milliseconds, on an object that it does not know.
    pub cold: f64,
    /// How many durations of each were seen.
    seen: [u32; 2],
    /// When the last one was seen.
    learned: Millis,
}

impl Work {
    /// Returns what is assumed of a route with the objective until its durations
    /// are known.
    #[expect(clippy::cast_precision_loss)]
    pub fn new(objective: Millis) -> Self {
        let cold = objective.0.max(1) as f64;
        Self {
            warm: cold * 0.4,
            cold,
            seen: [0; 2],
            learned: Millis(0),
        }
    }

    /// Returns the duration of one request.
    pub fn of(&self, warm: bool) -> f64 {
        if warm { self.warm } else { self.cold }
    }

    /// Tells whether enough durations are known to refuse a request because of
    /// them. They count only while answers confirm them: a wrong duration would
    /// otherwise refuse all requests that could correct it.
    pub fn is_known(&self, warm: bool, now: Millis) -> bool {
        self.seen[usize::from(warm)] >= ENOUGH && now - self.learned <= CONFIRMED
    }

    /// Learns from a duration that was freed of queues and slowness.
    pub fn learn(&mut self, now: Millis, warm: bool, ms: f64) {
        self.learned = now;
        self.seen[usize::from(warm)] += 1;
        let usual = if warm { &mut self.warm } else { &mut self.cold };
        let ms = ms.clamp(*usual / STRAGGLER, *usual * STRAGGLER);
        *usual += (ms - *usual) * GAIN;
        // Cold work includes all of the warm work.
        self.cold = self.cold.max(self.warm);
    }
}

/// The objects that this entry lately sent to one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Objects {
    recent: VecDeque<(u64, Millis)>,
}

impl Objects {
    /// Tells whether the target is likely to know the object.
    pub fn holds(&self, object: u64, now: Millis) -> bool {
        let mut recent = self.recent.iter();
        recent.any(|(o, at)| *o == object && *at + WARM > now)
    }

    /// Notes that the target handled the object.
    pub fn add(&mut self, object: u64, now: Millis) {
        if let Some(at) = self.recent.iter().position(|(o, _)| *o == object) {
            self.recent.remove(at);
        } else if self.recent.len() == OBJECTS {
            self.recent.pop_front();
        }
        self.recent.push_back((object, now));
    }

    /// Forgets all objects, as a target does that starts again.
    pub fn clear(&mut self) {
        self.recent.clear();
    }
}

/// Returns the hash of an object of a route, which all entries agree on.
#[must_use]
pub fn object_hash(route: &str, object: &[u8]) -> u64 {
    xxh3_64_with_seed(object, xxh3_64_with_seed(route.as_bytes(), 0))
}

/// Mixes two hashes into the rank of a pair.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 32;
    x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 29)
}
