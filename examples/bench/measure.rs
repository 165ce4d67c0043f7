//! What a run has shown.

use hdrhistogram::Histogram;
use savorybeam::domain::Lane;

use crate::{
    fake::Fake,
    world::{Micros, Request, SECOND},
};

/// What happened in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Requests that arrived, and those of them that were answered in time.
    pub offered: u64,
    pub served: u64,
    /// Answers in time that reached their callers, and the work in them.
    pub good: u64,
    pub work: u64,
}

/// The figures of one run.
pub struct Tally {
    /// From when on requests count.
    from: Micros,
    pub seconds: Vec<Second>,
    /// Latencies in microseconds by service and lane.
    latency: Vec<[Histogram<u64>; 2]>,
    pub failed: u64,
    pub ended: u64,
    pub first: u64,
    pub extra: u64,
    /// The time that targets spent on attempts that were answered, and on others
    /// of requests that were sent more than once.
    pub spent: [u64; 2],
    /// The greatest part of its slots that any target and any region had present,
    /// in percent.
    pub target_peak: u32,
    pub region_peak: u32,
    /// When the last request left a leaving target, when the last one reached it,
    /// and how long the longest one was there.
    pub left: Micros,
    pub reached: Micros,
    pub longest: Micros,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120 * SECOND, 3).expect("the bounds are valid")
}

impl Tally {
    pub fn new(from: Micros, services: usize) -> Self {
        Self {
            from,
            seconds: Vec::new(),
            latency: (0..services).map(|_| [histogram(), histogram()]).collect(),
            failed: 0,
            ended: 0,
            first: 0,
            extra: 0,
            spent: [0; 2],
            target_peak: 0,
            region_peak: 0,
            left: 0,
            reached: 0,
            longest: 0,
        }
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let n = (at / SECOND) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// Records what a caller was told and when.
    pub fn end(&mut self, request: &Request, at: Micros, answered: bool) {
        let time = at - request.at;
        let good = answered && time <= request.kind.deadline();
        let arrived = self.second(request.at);
        arrived.offered += 1;
        arrived.served += u64::from(good);
        if good {
            let second = self.second(at);
            second.good += 1;
            second.work += request.work;
        }
        if request.at < self.from {
            return;
        }
        self.ended += 1;
        self.failed += u64::from(!good);
        if answered {
            let lane = usize::from(request.kind.lane() == Lane::Long);
            self.latency[request.service][lane].saturating_record(time);
        }
    }

    /// Records that a request was sent to a target for the `nth` time.
    pub fn sent(&mut self, now: Micros, nth: u64) {
        if now >= self.from {
            self.first += u64::from(nth == 0);
            self.extra += u64::from(nth > 0);
        }
    }

    /// Records that a target spent time on an attempt, and whether that was in
    /// vain.
    pub fn spent(&mut self, now: Micros, vain: bool, time: Micros) {
        if now >= self.from {
            self.spent[usize::from(vain)] += time;
        }
    }

    /// Records that time was spent in vain that was taken for useful.
    pub fn wasted(&mut self, now: Micros, time: Micros) {
        if now >= self.from {
            self.spent[0] = self.spent[0].saturating_sub(time);
            self.spent[1] += time;
        }
    }

    /// Records that a request left a leaving target, which it had reached at an
    /// instant.
    pub fn left(&mut self, now: Micros, reached: Micros) {
        self.left = now;
        self.reached = self.reached.max(reached);
        self.longest = self.longest.max(now - reached);
    }

    /// Records how much work a target and its region have.
    pub fn observe(&mut self, now: Micros, target: &Fake, work: u32, slots: u32) {
        if now < self.from {
            return;
        }
        self.target_peak = self.target_peak.max(target.present() * 100 / target.slots);
        self.region_peak = self.region_peak.max(work * 100 / slots);
    }

    /// Returns a percentile of a lane in milliseconds, of one service or of all.
    pub fn percentile(&self, service: Option<usize>, lane: Lane, part: f64) -> f64 {
        let lane = usize::from(lane == Lane::Long);
        let mut all = histogram();
        for (n, lanes) in self.latency.iter().enumerate() {
            if service.is_none_or(|s| s == n) {
                all.add(&lanes[lane]).expect("the bounds are equal");
            }
        }
        all.value_at_quantile(part) as f64 / 1000.0
    }

    /// Returns the answers in time per second between two instants.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let good: u64 = self.seconds[from..to].iter().map(|s| s.good).sum();
        good as f64 / (to - from) as f64
    }

    /// Returns the seconds of work in answers in time, per second.
    pub fn work(&self, from: usize, to: usize) -> f64 {
        let work: u64 = self.seconds[from..to].iter().map(|s| s.work).sum();
        work as f64 / 1e6 / (to - from) as f64
    }

    /// Returns how many seconds pass after `from` until at least 99% of the
    /// requests that arrive are answered in time, from then to `to`.
    pub fn recovery(&self, from: usize, to: usize) -> usize {
        let bad = |s: &Second| s.served * 100 < s.offered * 99;
        let last = (from..to).rev().find(|&n| bad(&self.seconds[n]));
        last.map_or(0, |n| n + 1 - from)
    }

    /// Returns the part of the requests without an answer in time, in percent.
    pub fn failures(&self) -> f64 {
        self.failed as f64 * 100.0 / self.ended.max(1) as f64
    }

    /// Returns the work that retries and hedges added, in percent.
    pub fn added_work(&self) -> f64 {
        self.spent[1] as f64 * 100.0 / self.spent[0].max(1) as f64
    }

    /// Returns the attempts that retries and hedges added, in percent.
    pub fn added(&self) -> f64 {
        self.extra as f64 * 100.0 / self.first.max(1) as f64
    }
}
