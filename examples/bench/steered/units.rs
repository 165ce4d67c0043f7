//! When entries ask each other for slot units, and who gets them.

use savorybeam::domain::Lane;

use super::{Steered, entry_for};
use crate::{
    platform::{Core, Event},
    world::{self, ENTRIES},
};

impl Steered {
    /// Asks for units if work waits or few are idle.
    pub(super) fn ask_units(&mut self, core: &mut Core, entry: usize, service: usize) {
        if core.now < self.owns[entry][service].asked || !serves(entry, service) {
            return;
        }
        let (held, idle) = self.loans.sums(service, entry);
        let short = self.demand(entry, service) + reserve(held - idle);
        let missing = short.saturating_sub(idle);
        if missing == 0 {
            return;
        }
        let others = (0..ENTRIES).filter(|&e| e != entry);
        let spare = |&e: &usize| self.spare(service, e, entry).len();
        let least = |&e: &usize| self.pressure(e, service);
        let Some(best) = others.clone().max_by_key(spare) else {
            return;
        };
        let to = if spare(&best) > 0 {
            best
        } else if let Some(to) = others.filter(|&e| serves(e, service)).min_by_key(least) {
            to
        } else {
            return;
        };
        let delay = core.between(world::entry_region(entry), world::entry_region(to));
        self.owns[entry][service].asked = core.now + 2 * delay;
        core.after(delay, Event::Ask(service, entry, to, missing));
    }

    fn demand(&self, entry: usize, service: usize) -> u32 {
        let queue = &self.owns[entry][service].queue;
        let long = queue.max_running(Lane::Long).max(1)
            - queue
                .running(Lane::Long)
                .min(queue.max_running(Lane::Long).max(1));
        let long = queue.waiting(Lane::Long).min(long as usize);
        (queue.waiting(Lane::Short) + long) as u32
    }

    /// Returns the targets of the units that an entry can lend to another one.
    fn spare(&self, service: usize, from: usize, to: usize) -> Vec<usize> {
        let (held, idle) = self.loans.sums(service, from);
        let kept = reserve(held - idle) + self.demand(from, service);
        self.loans.spare(service, from, to, kept)
    }

    /// Returns the demand of an entry in percent of the units it holds.
    fn pressure(&self, entry: usize, service: usize) -> u32 {
        let (held, idle) = self.loans.sums(service, entry);
        (held - idle + self.demand(entry, service)) * 100 / held.max(1)
    }

    pub(super) fn asked(
        &mut self,
        core: &mut Core,
        service: usize,
        (from, to): (usize, usize),
        count: u32,
    ) {
        let mut units = self.spare(service, to, from);
        units.truncate(count as usize);
        for &target in &units {
            self.loans.lend(target, to, from);
        }
        let delay = core.between(world::entry_region(from), world::entry_region(to));
        for &target in &units {
            core.after(delay, Event::Grant(target, from));
        }
        let shorter = self.pressure(from, service) * 4 > self.pressure(to, service) * 5;
        if units.is_empty() && shorter {
            self.loans.owe(service, to, from);
        }
    }
}

/// Returns how many idle units an entry keeps in hand.
fn reserve(busy: u32) -> u32 {
    1 + busy / 8
}

/// Says whether callers of a service use the entry.
fn serves(entry: usize, service: usize) -> bool {
    entry_for(service, world::entry_region(entry)) == entry
}
