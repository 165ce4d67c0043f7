//! The order of events, as the seed decides.

use rand::Rng;
use savorybeam::domain::Millis;

use super::World;

impl World {
    /// Runs a random schedule, in which `churn` of 100 steps change which
    /// entries and rosters there are. In a `slow` one no execution ends, so
    /// that nothing but the votes prevents a second one.
    pub fn run(&mut self, steps: u32, churn: u32, slow: bool) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(0..1500));
            let node = self.rng.random_range(0..self.nodes.len());
            if self.rng.random_ratio(churn, 100) {
                self.change(node);
                continue;
            }
            match self.rng.random_range(0..100) {
                0..8 => self.call(node),
                8..65 => self.deliver(),
                65..67 => drop(self.take()),
                67..69 => self.each_run(node, Self::time_out),
                69..74 => self.each_run(node, |w, i, r| Some(w.ask_again(i, r))),
                74..80 => self.each_run(node, Self::dispatch),
                80..83 if !slow => self.each_run(node, Self::end),
                83..91 => self.learn(node),
                91..99 => self.read(node),
                _ => self.tick(node),
            }
        }
    }

    fn change(&mut self, node: usize) {
        match self.rng.random_range(0..10) {
            0..2 => self.stop(node),
            2..5 => self.start(node),
            5..7 => self.publish(),
            7..8 => self.cut = Some(self.rng.random_range(0..self.regions)),
            _ => self.cut = None,
        }
    }

    /// Runs without faults until nothing is under way, so that each open call
    /// returns.
    pub fn settle(&mut self) {
        self.cut = None;
        for _ in 0..12 {
            for i in 0..self.nodes.len() {
                self.start(i);
                self.adopt(i, self.rosters.len());
                self.read(i);
            }
            self.exchange();
        }
    }

    /// Delivers all messages and lets all winners execute.
    pub fn exchange(&mut self) {
        for i in 0..self.nodes.len() {
            self.each_run(i, |w, i, r| Some(w.ask_again(i, r)));
            self.each_run(i, Self::dispatch);
            self.each_run(i, Self::end);
        }
        while !self.wire.is_empty() {
            let message = self.wire.remove(0);
            self.handle(&message);
        }
    }

    /// Kills all entries of a region.
    pub fn stop_region(&mut self, region: usize) {
        for i in (region..self.nodes.len()).step_by(self.regions) {
            self.stop(i);
        }
    }
}
