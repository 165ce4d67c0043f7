//! A model of shared slot units.
//!
//! Each slot of a target is one unit, which one entry holds at a time. Units
//! start spread evenly over all entries. An entry that runs short asks the entry
//! with the most idle units; the question and each unit take one delay between
//! the regions. Idle units move at once. A holder without idle ones gives units
//! up as its requests end if the other entry is much shorter of units. There is
//! no loss of messages and no crash, and who holds what is known at once; the
//! shared limits of `policy/limit` meet those cases.
//!
//! One unit of each target is only for short work, so that long work holds at
//! most slots - 1 of it.

use savorybeam::domain::Lane;

use crate::world::{self, ENTRIES};

/// The units of all targets.
pub struct Loans {
    /// Units of each target by holder, those in use, and those in use by long
    /// work.
    held: Vec<[u32; ENTRIES]>,
    busy: Vec<[u32; ENTRIES]>,
    long: Vec<[u32; ENTRIES]>,
    /// The holder of each target's unit for short work.
    short: Vec<usize>,
    /// The service and the region of each target.
    kinds: Vec<(usize, usize)>,
    /// Which entries send work to each target.
    usable: Vec<[bool; ENTRIES]>,
    /// Targets that leave, whose units count for nothing.
    closed: Vec<bool>,
    /// Entries that wait for units as they become free, by service and holder.
    owed: Vec<Vec<Vec<usize>>>,
}

impl Loans {
    pub fn new(
        targets: &[(usize, usize, u32)],
        services: usize,
        usable: Vec<[bool; ENTRIES]>,
    ) -> Self {
        let mut loans = Self {
            held: Vec::new(),
            busy: vec![[0; ENTRIES]; targets.len()],
            long: vec![[0; ENTRIES]; targets.len()],
            short: Vec::new(),
            kinds: Vec::new(),
            usable,
            closed: vec![false; targets.len()],
            owed: vec![vec![Vec::new(); ENTRIES]; services],
        };
        let mut next = 0;
        for &(service, region, slots) in targets {
            loans.short.push(next % ENTRIES);
            loans.kinds.push((service, region));
            let mut held = [0; ENTRIES];
            for _ in 0..slots {
                held[next % ENTRIES] += 1;
                next += 1;
            }
            loans.held.push(held);
        }
        loans
    }

    /// Returns how many more requests of a lane an entry may run at a target.
    pub fn free(&self, target: usize, entry: usize, lane: Lane) -> u32 {
        let idle = self.held[target][entry] - self.busy[target][entry];
        if lane == Lane::Short {
            return idle;
        }
        let reserved = u32::from(self.short[target] == entry);
        let most = self.held[target][entry].saturating_sub(reserved);
        idle.min(most.saturating_sub(self.long[target][entry]))
    }

    /// Sets whether a target leaves.
    pub fn close(&mut self, target: usize, closed: bool) {
        self.closed[target] = closed;
    }

    pub fn take(&mut self, target: usize, entry: usize, lane: Lane) {
        self.busy[target][entry] += 1;
        self.long[target][entry] += u32::from(lane == Lane::Long);
        assert!(self.busy[target][entry] <= self.held[target][entry]);
    }

    /// Frees a unit. Returns the entry that it was promised to, if there is one.
    pub fn release(&mut self, target: usize, entry: usize, lane: Lane) -> Option<usize> {
        self.busy[target][entry] -= 1;
        self.long[target][entry] -= u32::from(lane == Lane::Long);
        let service = self.kinds[target].0;
        let usable = |&to: &usize| self.usable[target][to];
        let at = self.owed[service][entry].iter().position(usable)?;
        let to = self.owed[service][entry].remove(at);
        self.lend(target, entry, to);
        Some(to)
    }

    /// Records that a unit has reached its new holder.
    pub fn granted(&mut self, target: usize, entry: usize) {
        self.held[target][entry] += 1;
    }

    /// Returns the units that an entry holds of targets it uses, and the idle
    /// ones.
    pub fn sums(&self, service: usize, entry: usize) -> (u32, u32) {
        let mine = (0..self.held.len()).filter(|&t| self.kinds[t].0 == service);
        let mine = mine.filter(|&t| self.usable[t][entry] && !self.closed[t]);
        mine.fold((0, 0), |(held, idle), t| {
            let (h, b) = (self.held[t][entry], self.busy[t][entry]);
            (held + h, idle + h - b)
        })
    }

    /// Returns the targets of idle units that an entry can lend to another one:
    /// first those it does not use itself, then those beyond the `kept` ones,
    /// near the asker first.
    pub fn spare(&self, service: usize, from: usize, to: usize, kept: u32) -> Vec<usize> {
        let all = (0..self.held.len()).filter(|&t| self.kinds[t].0 == service);
        let all = all.filter(|&t| self.usable[t][to]);
        let all = all.flat_map(|t| {
            let idle = self.held[t][from] - self.busy[t][from];
            std::iter::repeat_n(t, idle as usize)
        });
        let (mut own, mut spare): (Vec<usize>, Vec<usize>) =
            all.partition(|&t| self.usable[t][from]);
        let near = world::entry_region(to);
        own.sort_by_key(|&t| self.kinds[t].1 != near);
        let idle = self.sums(service, from).1;
        own.truncate(idle.saturating_sub(kept) as usize);
        spare.append(&mut own);
        spare
    }

    /// Promises one of the units that become free to an entry.
    pub fn owe(&mut self, service: usize, from: usize, to: usize) {
        let owed = &mut self.owed[service][from];
        if !owed.contains(&to) {
            owed.push(to);
        }
    }

    pub fn lend(&mut self, target: usize, from: usize, to: usize) {
        self.held[target][from] -= 1;
        let left = self.held[target][from];
        if self.short[target] == from && left < self.long[target][from] + 1 {
            self.short[target] = to;
        }
    }
}
