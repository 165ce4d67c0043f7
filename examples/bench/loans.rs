//! A model of shared slot units.
//!
//! Each slot of a target is one unit, which one entry holds at a time. Initially,
//! the units are spread evenly over all entries. An entry without enough units
//! sends a request to the entry with the most idle ones. The request and each
//! unit take one delay between the regions. Idle units are transferred
//! immediately. A holder without idle units transfers units when its requests
//! end, provided that the borrower's demand per unit is much higher. The model
//! has no lost messages and no crashes, and every entry knows all holders; the
//! shared limits of `policy/limit` handle these cases.
//!
//! One unit of each target is reserved for short work, so that long work uses at
//! most slots - 1 of them.

use savorybeam::domain::Lane;

use crate::world::{self, ENTRIES};

/// The slot units of all targets.
pub struct Loans {
    /// Units of each target by holder.
    held: Vec<[u32; ENTRIES]>,
    /// Units in use.
    busy: Vec<[u32; ENTRIES]>,
    /// Units in use by long work.
    long: Vec<[u32; ENTRIES]>,
    /// The holder of each target's unit for short work.
    short_holder: Vec<usize>,
    /// The service and the region of each target.
    targets: Vec<(usize, usize)>,
    /// The entries that send work to each target.
    usable: Vec<[bool; ENTRIES]>,
    /// Targets that are leaving. Their units are not counted.
    leaving: Vec<bool>,
    /// Entries that were promised units as they become free, by service and
    /// holder.
    promised: Vec<Vec<Vec<usize>>>,
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
            short_holder: Vec::new(),
            targets: Vec::new(),
            usable,
            leaving: vec![false; targets.len()],
            promised: vec![vec![Vec::new(); ENTRIES]; services],
        };
        let mut next = 0;
        for &(service, region, slots) in targets {
            loans.short_holder.push(next % ENTRIES);
            loans.targets.push((service, region));
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
        let reserved = u32::from(self.short_holder[target] == entry);
        let max_long = self.held[target][entry].saturating_sub(reserved);
        idle.min(max_long.saturating_sub(self.long[target][entry]))
    }

    /// Sets whether a target is leaving.
    pub fn set_leaving(&mut self, target: usize, leaving: bool) {
        self.leaving[target] = leaving;
    }

    /// Marks a unit as in use.
    pub fn take(&mut self, target: usize, entry: usize, lane: Lane) {
        self.busy[target][entry] += 1;
        self.long[target][entry] += u32::from(lane == Lane::Long);
        assert!(self.busy[target][entry] <= self.held[target][entry]);
    }

    /// Frees a unit and transfers it to the entry that it was promised to, if there
    /// is one. Returns that entry.
    pub fn release(&mut self, target: usize, entry: usize, lane: Lane) -> Option<usize> {
        self.busy[target][entry] -= 1;
        self.long[target][entry] -= u32::from(lane == Lane::Long);
        let service = self.targets[target].0;
        let usable = |&to: &usize| self.usable[target][to];
        let at = self.promised[service][entry].iter().position(usable)?;
        let to = self.promised[service][entry].remove(at);
        self.lend(target, entry, to);
        Some(to)
    }

    /// Records that a unit has reached its new holder.
    pub fn granted(&mut self, target: usize, entry: usize) {
        self.held[target][entry] += 1;
    }

    /// Returns the units of usable targets that an entry holds, and how many of
    /// them are idle.
    pub fn sums(&self, service: usize, entry: usize) -> (u32, u32) {
        let served = (0..self.held.len()).filter(|&t| self.targets[t].0 == service);
        let served = served.filter(|&t| self.usable[t][entry] && !self.leaving[t]);
        served.fold((0, 0), |(held, idle), t| {
            let (h, b) = (self.held[t][entry], self.busy[t][entry]);
            (held + h, idle + h - b)
        })
    }

    /// Returns the targets of the idle units that an entry can lend to another one.
    /// Targets that the lender does not use come first, then units beyond
    /// `reserve`, those in the borrower's region first.
    pub fn spare(&self, service: usize, from: usize, to: usize, reserve: u32) -> Vec<usize> {
        let all = (0..self.held.len()).filter(|&t| self.targets[t].0 == service);
        let all = all.filter(|&t| self.usable[t][to]);
        let all = all.flat_map(|t| {
            let idle = self.held[t][from] - self.busy[t][from];
            std::iter::repeat_n(t, idle as usize)
        });
        let (mut own, mut spare): (Vec<usize>, Vec<usize>) =
            all.partition(|&t| self.usable[t][from]);
        let region = world::entry_region(to);
        own.sort_by_key(|&t| self.targets[t].1 != region);
        let idle = self.sums(service, from).1;
        own.truncate(idle.saturating_sub(reserve) as usize);
        spare.append(&mut own);
        spare
    }

    /// Promises an entry the next unit that becomes free.
    pub fn promise(&mut self, service: usize, from: usize, to: usize) {
        let promised = &mut self.promised[service][from];
        if !promised.contains(&to) {
            promised.push(to);
        }
    }

    /// Takes a unit from its holder. The unit for short work moves to the borrower
    /// if long work uses all that the holder has left.
    pub fn lend(&mut self, target: usize, from: usize, to: usize) {
        self.held[target][from] -= 1;
        let left = self.held[target][from];
        if self.short_holder[target] == from && left < self.long[target][from] + 1 {
            self.short_holder[target] = to;
        }
    }
}
