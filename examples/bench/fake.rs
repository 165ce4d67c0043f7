//! Targets: slots, a short backlog, shedding, slow times and cold caches.

use std::collections::VecDeque;

use crate::world::{Micros, SECOND};

/// How many times slower a target runs while a neighbour disturbs it.
const SLOWED: f64 = 8.0;

/// How many times slower a target runs with cold caches.
const COLD: f64 = 3.0;

/// How long caches take to fill.
const COLD_TIME: Micros = 10 * SECOND;

/// What becomes of an attempt that reaches a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    Now,
    Later,
    Shed,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Fake {
    pub service: usize,
    pub az: usize,
    pub slots: u32,
    pub slowed: bool,
    pub lies: bool,
    /// When it leaves and when it is back with cold caches, if it restarts.
    pub restart: Option<(Micros, Micros)>,
    running: Vec<usize>,
    backlog: VecDeque<usize>,
}

impl Fake {
    pub fn new(service: usize, az: usize, slots: u32) -> Self {
        Self {
            service,
            az,
            slots,
            slowed: false,
            lies: false,
            restart: None,
            running: Vec::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Takes an attempt: it runs if a slot is free, waits in a backlog of twice
    /// the slots, or is shed.
    pub fn arrive(&mut self, attempt: usize) -> Start {
        if self.running.len() < self.slots as usize {
            self.running.push(attempt);
            Start::Now
        } else if self.backlog.len() < 2 * self.slots as usize {
            self.backlog.push_back(attempt);
            Start::Later
        } else {
            Start::Shed
        }
    }

    /// Removes an attempt and returns the next one that runs, if there is one.
    pub fn leave(&mut self, attempt: usize) -> Option<usize> {
        if let Some(at) = self.backlog.iter().position(|&a| a == attempt) {
            self.backlog.remove(at);
            return None;
        }
        let at = self.running.iter().position(|&a| a == attempt)?;
        self.running.swap_remove(at);
        let next = self.backlog.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns how many requests it has, running or waiting.
    pub fn present(&self) -> u32 {
        (self.running.len() + self.backlog.len()) as u32
    }

    /// Says whether its document marks it as leaving.
    pub fn leaves(&self, now: Micros) -> bool {
        self.restart
            .is_some_and(|(from, to)| (from..to).contains(&now))
    }

    /// Returns how many times longer than usual work takes now. A slowed target
    /// is disturbed for 6 of every 9 s.
    pub fn factor(&self, now: Micros) -> f64 {
        let disturbed = self.slowed && now % (9 * SECOND) < 6 * SECOND;
        let slow = if disturbed { SLOWED } else { 1.0 };
        let cold = self
            .restart
            .filter(|r| r.1 <= now)
            .map_or(1.0, |(_, since)| {
                let filled = now.saturating_sub(since).min(COLD_TIME) as f64 / COLD_TIME as f64;
                COLD - (COLD - 1.0) * filled
            });
        slow * cold
    }
}
