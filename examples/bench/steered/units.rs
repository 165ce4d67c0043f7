//! Requests for slot units between entries.

use savorybeam::domain::Lane;

use super::{Steered, entry_for};
use crate::{
    platform::{Event, Platform},
    world::{self, ENTRIES},
};

impl Steered {
    /// Requests units from another entry if requests wait or few units are idle.
    pub(super) fn request_units(&mut self, platform: &mut Platform, entry: usize, service: usize) {
        if platform.now < self.services[entry][service].reply_due || !serves(entry, service) {
            return;
        }
        let (held, idle) = self.loans.sums(service, entry);
        let needed = self.demand(entry, service) + reserve(held - idle);
        let missing = needed.saturating_sub(idle);
        if missing == 0 {
            return;
        }
        let others = (0..ENTRIES).filter(|&e| e != entry);
        let spare = |&e: &usize| self.spare(service, e, entry).len();
        let pressure = |&e: &usize| self.pressure(e, service);
        let Some(best) = others.clone().max_by_key(spare) else {
            return;
        };
        let to = if spare(&best) > 0 {
            best
        } else if let Some(to) = others.filter(|&e| serves(e, service)).min_by_key(pressure) {
            to
        } else {
            return;
        };
        let delay = platform.between(world::entry_region(entry), world::entry_region(to));
        self.services[entry][service].reply_due = platform.now + 2 * delay;
        platform.after(delay, Event::UnitRequest(service, entry, to, missing));
    }

    /// Returns the number of waiting requests that could run with enough units.
    fn demand(&self, entry: usize, service: usize) -> u32 {
        let queue = &self.services[entry][service].queue;
        let max_long = queue.max_running(Lane::Long).max(1);
        let startable = max_long.saturating_sub(queue.running(Lane::Long));
        let long = queue.waiting(Lane::Long).min(startable as usize);
        (queue.waiting(Lane::Short) + long) as u32
    }

    /// Returns the targets of the units that an entry can lend to another one.
    fn spare(&self, service: usize, from: usize, to: usize) -> Vec<usize> {
        let (held, idle) = self.loans.sums(service, from);
        let reserve = reserve(held - idle) + self.demand(from, service);
        self.loans.spare(service, from, to, reserve)
    }

    /// Returns the demand of an entry in percent of the units it holds.
    fn pressure(&self, entry: usize, service: usize) -> u32 {
        let (held, idle) = self.loans.sums(service, entry);
        (held - idle + self.demand(entry, service)) * 100 / held.max(1)
    }

    /// Lends idle units to an entry that requested them. If there are none and the
    /// entry has much more demand per unit, promises it the next one.
    pub(super) fn lend_units(
        &mut self,
        platform: &mut Platform,
        service: usize,
        (from, to): (usize, usize),
        count: u32,
    ) {
        let mut units = self.spare(service, to, from);
        units.truncate(count as usize);
        for &target in &units {
            self.loans.lend(target, to, from);
        }
        let delay = platform.between(world::entry_region(from), world::entry_region(to));
        for &target in &units {
            platform.after(delay, Event::Grant(target, from));
        }
        let starved = self.pressure(from, service) * 4 > self.pressure(to, service) * 5;
        if units.is_empty() && starved {
            self.loans.promise(service, to, from);
        }
    }
}

/// Returns the number of idle units that an entry keeps for new requests.
fn reserve(busy: u32) -> u32 {
    1 + busy / 8
}

/// Returns whether callers of a service use the entry.
pub(super) fn serves(entry: usize, service: usize) -> bool {
    entry_for(service, world::entry_region(entry)) == entry
}
