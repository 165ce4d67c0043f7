//! The order of events, as the seed decides.

use rand::Rng;
use savorybeam::domain::Millis;

use super::World;

impl World {
    /// Runs a random schedule, in which `churn` of 100 steps change which
    /// entries and rosters there are.
    pub fn run(&mut self, steps: u32, churn: u32) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(0..1500));
            let node = self.rng.random_range(0..self.nodes.len());
            if self.rng.random_ratio(churn, 100) {
                self.change(node);
                continue;
            }
            match self.rng.random_range(0..100) {
                0..6 => self.call(node),
                6..66 => self.deliver(),
                66..68 => drop(self.take()),
                68..70 => self.each_run(node, Self::time_out),
                70..76 => self.each_run(node, |w, i, r| Some(w.ask_again(i, r))),
                76..80 => self.each_run(node, Self::dispatch),
                80..84 => self.each_run(node, Self::end),
                84..90 => self.learn(node),
                90..99 => self.read(node),
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
                self.each_run(i, |w, i, r| Some(w.ask_again(i, r)));
                self.each_run(i, Self::dispatch);
                self.each_run(i, Self::end);
            }
            while !self.wire.is_empty() {
                let message = self.wire.remove(0);
                self.handle(&message);
            }
        }
    }
}
