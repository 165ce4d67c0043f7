//! Random schedules of events, determined by the seed.

use rand::Rng;
use savorybeam::domain::Millis;

use super::Simulation;

impl Simulation {
    /// Runs a random schedule of `steps` events, of which `churn` percent kill or
    /// restart an entry, publish a roster, or cut off or reconnect a region. In a
    /// `slow` schedule no execution completes, so only the votes prevent a second
    /// one.
    pub fn run(&mut self, steps: u32, churn: u32, slow: bool) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(0..1500));
            let node = self.rng.random_range(0..self.nodes.len());
            if self.rng.random_ratio(churn, 100) {
                self.inject_fault(node);
                continue;
            }
            match self.rng.random_range(0..100) {
                0..8 => self.call(node),
                8..65 => self.deliver(),
                65..67 => drop(self.take_random()),
                67..69 => self.each_pending(node, Self::time_out),
                69..74 => self.each_pending(node, |w, i, r| Some(w.resend_votes(i, r))),
                74..80 => self.each_pending(node, Self::dispatch),
                80..83 if !slow => self.each_pending(node, Self::complete),
                83..91 => self.adopt_next(node),
                91..99 => self.request_transfers(node),
                _ => self.tick(node),
            }
        }
    }

    fn inject_fault(&mut self, node: usize) {
        match self.rng.random_range(0..10) {
            0..2 => self.kill(node),
            2..5 => self.restart(node),
            5..7 => self.publish(),
            7..8 => self.cut_region = Some(self.rng.random_range(0..self.regions)),
            _ => self.cut_region = None,
        }
    }

    /// Restarts all entries and runs without faults until no message is in flight, so
    /// that each open call returns.
    pub fn settle(&mut self) {
        self.cut_region = None;
        for _ in 0..12 {
            for i in 0..self.nodes.len() {
                self.restart(i);
                self.adopt(i, self.rosters.len());
                self.request_transfers(i);
            }
            self.run_round();
        }
    }

    /// Runs a round without faults: repeats open vote requests, executes all winners
    /// and delivers all messages.
    pub fn run_round(&mut self) {
        for i in 0..self.nodes.len() {
            self.each_pending(i, |w, i, r| Some(w.resend_votes(i, r)));
            self.each_pending(i, Self::dispatch);
            self.each_pending(i, Self::complete);
        }
        while !self.in_flight.is_empty() {
            let message = self.in_flight.remove(0);
            self.handle(&message);
        }
    }

    /// Kills all entries of a region.
    pub fn kill_region(&mut self, region: usize) {
        for i in (region..self.nodes.len()).step_by(self.regions) {
            self.kill(i);
        }
    }
}
