//! Simulated targets with slots, a bounded backlog, slow periods and cold caches.

use std::collections::VecDeque;

use crate::world::{Micros, SECOND};

/// Factor by which work takes longer on a slowed target.
const SLOWED_FACTOR: f64 = 8.0;

/// Factor by which work takes longer on a target with empty caches.
const COLD_FACTOR: f64 = 3.0;

/// Time in which the caches fill after a restart.
const WARM_UP_TIME: Micros = 10 * SECOND;

/// The outcome of an attempt that arrives at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Started,
    Queued,
    Shed,
}

/// A simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    pub service: usize,
    pub az: usize,
    pub slots: u32,
    /// Whether it has slow periods.
    pub slowed: bool,
    /// Whether it always reports a load of zero.
    pub misreports: bool,
    /// When it starts draining and when it returns with cold caches, if it
    /// restarts.
    pub restart: Option<(Micros, Micros)>,
    running: Vec<usize>,
    backlog: VecDeque<usize>,
}

impl Target {
    pub fn new(service: usize, az: usize, slots: u32) -> Self {
        Self {
            service,
            az,
            slots,
            slowed: false,
            misreports: false,
            restart: None,
            running: Vec::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Starts an attempt if a slot is free, queues it in a backlog of twice the
    /// slots, or sheds it.
    pub fn admit(&mut self, attempt: usize) -> Admission {
        if self.running.len() < self.slots as usize {
            self.running.push(attempt);
            Admission::Started
        } else if self.backlog.len() < 2 * self.slots as usize {
            self.backlog.push_back(attempt);
            Admission::Queued
        } else {
            Admission::Shed
        }
    }

    /// Removes an attempt and returns the queued one that takes its slot, if there
    /// is one.
    pub fn remove(&mut self, attempt: usize) -> Option<usize> {
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

    /// Returns the number of running and queued attempts.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.backlog.len()) as u32
    }

    /// Returns whether its document marks it as leaving.
    pub fn is_leaving(&self, now: Micros) -> bool {
        self.restart
            .is_some_and(|(from, to)| (from..to).contains(&now))
    }

    /// Returns the factor by which work takes longer now. A slowed target is slow
    /// for 6 of every 9 s.
    pub fn slowdown(&self, now: Micros) -> f64 {
        let slow = self.slowed && now % (9 * SECOND) < 6 * SECOND;
        let slow = if slow { SLOWED_FACTOR } else { 1.0 };
        let cold = self
            .restart
            .filter(|r| r.1 <= now)
            .map_or(1.0, |(_, returned)| {
                let filled =
                    now.saturating_sub(returned).min(WARM_UP_TIME) as f64 / WARM_UP_TIME as f64;
                COLD_FACTOR - (COLD_FACTOR - 1.0) * filled
            });
        slow * cold
    }
}
