//! Finds out how many requests at once the targets of a service take well.
//!
//! Some targets slow down before their slots are full, so that they do less the more
//! they get. See [docs/design/target-limits.md](../../../docs/design/target-limits.md).

use std::collections::HashMap;

use super::load::LoadReport;

/// The number of steps into which the slots of a target are divided.
pub const LIMIT_STEPS: usize = 8;

/// The smallest number of samples with which a step counts.
const SAMPLES_MIN: u32 = 8;

/// The smallest weight of a sample, so that a change of the targets is followed.
const SMOOTHING: f64 = 0.02;

/// The weight of a sample in the duration of its route.
const ROUTE_SMOOTHING: f64 = 0.02;

/// The largest deviation of one sample that counts, as a logarithm. Three in a hundred
/// requests take several times as long as the others and say nothing about the load.
const DEVIATION_MAX: f64 = 0.7;

/// By how much the power below all slots must exceed that with all slots, so that the
/// limit is lower. Samples at full targets contain some of the time in their queues.
const GAIN_MIN: f64 = 1.15;

/// The largest change of the limit by one answer, as a fraction of the slots.
const STEP_MAX: f64 = 0.02;

/// The largest number of routes whose durations are kept.
const ROUTES_MAX: usize = 256;

/// One step of concurrency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Step {
    /// The logarithm of the duration, relative to that of the route.
    duration: f64,
    samples: u32,
}

/// How long the requests of a service take at each step of concurrency, and the limit
/// that follows.
///
/// The logarithm of each duration is fitted as the sum of one term for the route and one
/// for the step. The terms of the steps are comparable even if some routes or times have
/// mostly busy targets.
#[derive(Clone, Debug)]
pub struct LimitCurve {
    steps: [Step; LIMIT_STEPS],
    routes: HashMap<u64, f64>,
    part: f64,
    /// The part in the latest change that was taken.
    told: f64,
}

/// A change of the limit by half or more, as parts of the slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The part before.
    pub from: f64,
    /// The part now.
    pub to: f64,
}

impl Default for LimitCurve {
    fn default() -> Self {
        Self {
            steps: [Step::default(); LIMIT_STEPS],
            routes: HashMap::new(),
            part: 1.0,
            told: 1.0,
        }
    }
}

impl LimitCurve {
    /// Learns from an answer that took `duration_ms` at a target without a queue, with
    /// the load that the target has reported with it.
    pub fn record(&mut self, route: u64, duration_ms: f64, report: &LoadReport) {
        let known = self.routes.len() < ROUTES_MAX || self.routes.contains_key(&route);
        if report.waiting > 0 || report.running >= report.slots || !known {
            return;
        }
        let slowdown = f64::from(report.slowdown_percent.clamp(10, 10_000)) / 100.0;
        let sample = (duration_ms.max(1.0) / slowdown).ln();
        let index = step(report.running + 1, report.slots);
        let base = self.routes.entry(route).or_insert(sample);
        let step = &mut self.steps[index];
        let deviation = (sample - *base - step.duration).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        step.samples = step.samples.saturating_add(1);
        step.duration += deviation * (1.0 / f64::from(step.samples)).clamp(SMOOTHING, 0.5);
        *base += deviation * ROUTE_SMOOTHING;
        let change = self.goal() - self.part;
        self.part += change.clamp(-STEP_MAX, STEP_MAX);
    }

    /// Returns the part of its slots that a target takes well.
    #[must_use]
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Takes the change since the last one that was taken, if it is by half or more.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        let (from, to) = (self.told, self.part);
        let is_large = to <= from / 2.0 || to >= (from * 1.5).min(1.0) && to > from;
        is_large.then(|| {
            self.told = to;
            LimitChange { from, to }
        })
    }

    /// Returns the duration at each step relative to that at the lowest known step, and
    /// the number of its samples.
    #[must_use]
    pub fn durations(&self) -> [(f64, u32); LIMIT_STEPS] {
        let first = self.known().next().map_or(0.0, |(_, step)| step.duration);
        self.steps
            .map(|step| ((step.duration - first).exp(), step.samples))
    }

    fn known(&self) -> impl Iterator<Item = (f64, &Step)> {
        let steps = self.steps.iter().enumerate();
        let steps = steps.map(|(index, step)| (part(index), step));
        steps.filter(|(_, step)| step.samples >= SAMPLES_MIN)
    }

    /// Returns the step with the highest power, the throughput over the duration, if it is
    /// clearly higher than with all slots.
    fn goal(&self) -> f64 {
        let power = |(part, step): (f64, &Step)| (part, part / (2.0 * step.duration).exp());
        let Some((top, full)) = self.known().last().map(power) else {
            return 1.0;
        };
        let best = self.known().map(power).max_by(|a, b| a.1.total_cmp(&b.1));
        match best {
            Some((part, most)) if top >= 1.0 && most > full * GAIN_MIN => part,
            _ => 1.0,
        }
    }
}

/// Returns the step of a number of requests at once.
fn step(requests: u32, slots: u32) -> usize {
    let steps = u64::from(requests) * LIMIT_STEPS as u64;
    let index = steps.div_ceil(u64::from(slots.max(1))).saturating_sub(1);
    usize::try_from(index).map_or(LIMIT_STEPS - 1, |index| index.min(LIMIT_STEPS - 1))
}

/// Returns the part of the slots up to which a step reaches.
#[expect(clippy::cast_precision_loss)]
fn part(index: usize) -> f64 {
    (index + 1) as f64 / LIMIT_STEPS as f64
}
