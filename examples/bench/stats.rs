//! The statistics of a run.

use hdrhistogram::Histogram;
use savorybeam::domain::Lane;

use crate::{
    target::Target,
    world::{Micros, Request, SECOND},
};

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Requests that arrived.
    pub offered: u64,
    /// Those of them that were answered in time.
    pub served: u64,
    /// Responses that reached their callers in time.
    pub in_time: u64,
    /// The work in these responses.
    pub work: u64,
}

/// The statistics of one run.
pub struct Stats {
    /// The end of the warm-up. Requests that arrive earlier are not counted.
    from: Micros,
    pub seconds: Vec<Second>,
    /// Latencies in microseconds by service and lane.
    latency: Vec<[Histogram<u64>; 2]>,
    /// Requests without a response in time.
    pub failed: u64,
    /// All requests that ended.
    pub ended: u64,
    /// First attempts.
    pub first: u64,
    /// Retries and hedges.
    pub extra: u64,
    /// The time that targets spent on useful and on wasted attempts. A wasted one
    /// was cancelled, and its request was sent more than once.
    pub spent: [u64; 2],
    /// The maximum load of a target in percent of its slots.
    pub target_peak: u32,
    /// The maximum load of a region in percent of its slots.
    pub region_peak: u32,
    /// When the last request ended at a leaving target.
    pub left: Micros,
    /// When the last of these requests had arrived there.
    pub reached: Micros,
    /// The longest time that one of them spent there.
    pub longest: Micros,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120 * SECOND, 3).expect("the bounds are valid")
}

impl Stats {
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

    /// Records the end of a request, when it reaches the caller.
    pub fn end(&mut self, request: &Request, at: Micros, answered: bool) {
        let time = at - request.at;
        let in_time = answered && time <= request.kind.deadline();
        let arrived = self.second(request.at);
        arrived.offered += 1;
        arrived.served += u64::from(in_time);
        if in_time {
            let second = self.second(at);
            second.in_time += 1;
            second.work += request.work;
        }
        if request.at < self.from {
            return;
        }
        self.ended += 1;
        self.failed += u64::from(!in_time);
        if answered {
            let lane = usize::from(request.kind.lane() == Lane::Long);
            self.latency[request.service][lane].saturating_record(time);
        }
    }

    /// Records an attempt, before which the request was sent `nth` times.
    pub fn sent(&mut self, now: Micros, nth: u64) {
        if now >= self.from {
            self.first += u64::from(nth == 0);
            self.extra += u64::from(nth > 0);
        }
    }

    /// Records the time that a target spent on an attempt, and whether it was
    /// wasted.
    pub fn spent(&mut self, now: Micros, wasted: bool, time: Micros) {
        if now >= self.from {
            self.spent[usize::from(wasted)] += time;
        }
    }

    /// Moves time that was recorded as useful to the wasted time.
    pub fn mark_wasted(&mut self, now: Micros, time: Micros) {
        if now >= self.from {
            self.spent[0] = self.spent[0].saturating_sub(time);
            self.spent[1] += time;
        }
    }

    /// Records the end of a request at a leaving target, and when it had arrived
    /// there.
    pub fn left(&mut self, now: Micros, reached: Micros) {
        self.left = now;
        self.reached = self.reached.max(reached);
        self.longest = self.longest.max(now - reached);
    }

    /// Records the load of a target and its region.
    pub fn observe(&mut self, now: Micros, target: &Target, work: u32, slots: u32) {
        if now < self.from {
            return;
        }
        self.target_peak = self.target_peak.max(target.load() * 100 / target.slots);
        self.region_peak = self.region_peak.max(work * 100 / slots);
    }

    /// Returns a latency quantile of a lane in milliseconds, of one service or of
    /// all.
    pub fn quantile(&self, service: Option<usize>, lane: Lane, q: f64) -> f64 {
        let lane = usize::from(lane == Lane::Long);
        let mut all = histogram();
        for (n, lanes) in self.latency.iter().enumerate() {
            if service.is_none_or(|s| s == n) {
                all.add(&lanes[lane]).expect("the bounds are equal");
            }
        }
        all.value_at_quantile(q) as f64 / 1000.0
    }

    /// Returns the responses in time per second between two instants.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let in_time: u64 = self.seconds[from..to].iter().map(|s| s.in_time).sum();
        in_time as f64 / (to - from) as f64
    }

    /// Returns the seconds of work in responses in time, per second.
    pub fn work(&self, from: usize, to: usize) -> f64 {
        let work: u64 = self.seconds[from..to].iter().map(|s| s.work).sum();
        work as f64 / 1e6 / (to - from) as f64
    }

    /// Returns the number of seconds after `from` from which on, until `to`, at
    /// least 99% of the requests that arrive in each second are answered in time.
    pub fn recovery(&self, from: usize, to: usize) -> usize {
        let bad = |s: &Second| s.served * 100 < s.offered * 99;
        let last = (from..to).rev().find(|&n| bad(&self.seconds[n]));
        last.map_or(0, |n| n + 1 - from)
    }

    /// Returns the percentage of the requests without a response in time.
    pub fn failures(&self) -> f64 {
        self.failed as f64 * 100.0 / self.ended.max(1) as f64
    }

    /// Returns the wasted time in percent of the useful time.
    pub fn added_work(&self) -> f64 {
        self.spent[1] as f64 * 100.0 / self.spent[0].max(1) as f64
    }

    /// Returns the retries and hedges in percent of the first attempts.
    pub fn added(&self) -> f64 {
        self.extra as f64 * 100.0 / self.first.max(1) as f64
    }
}
