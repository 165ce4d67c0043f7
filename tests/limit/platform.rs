//! The platform and the store of a [`World`], and the check of the invariant over
//! all entries.

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng;
use savorybeam::domain::Epoch;
use savorybeam::policy::limit::{Roster, RosterMember};

use super::world::{CrashedEntry, Event, World, member};

impl World {
    /// Publishes a roster of all live entries. A crashed incarnation stays in the
    /// roster until the platform has reported it gone; only then does its successor
    /// replace it.
    pub fn propose_roster(&mut self) {
        let mut members = Vec::new();
        for (index, slot) in self.entries.iter().enumerate() {
            let crashed = self
                .crashed
                .iter()
                .find(|c| c.member.entry == member(index, 0).entry);
            let live = slot.as_ref().map(|e| e.member.clone());
            if let Some(member) = crashed.map(|c| c.member.clone()).or(live) {
                let leaving = self.leaving == Some(index);
                members.push(RosterMember { member, leaving });
            }
        }
        let next = Roster::new(self.roster.epoch(), members.clone());
        if self.now < self.store_down || next == *self.roster {
            return;
        }
        self.roster = Arc::new(Roster::new(Epoch(self.roster.epoch().0 + 1), members));
        for index in 0..self.entries.len() {
            let delay = self.rng.random_range(0..2_000);
            self.push(delay, Event::Roster(index, self.roster.clone()));
        }
    }

    /// Reports the crashed entries whose crash the platform has detected by now.
    pub fn report_crashed(&mut self) {
        if self.now < self.store_down {
            return;
        }
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.crashed)
            .into_iter()
            .partition(|c| c.report_at <= now);
        self.crashed = rest;
        let due: Vec<CrashedEntry> = due;
        for crashed in due {
            for index in 0..self.entries.len() {
                let delay = self.rng.random_range(0..5_000);
                self.push(delay, Event::Gone(index, crashed.member.clone()));
            }
        }
    }

    /// Describes how the invariant is violated now, if it is: a unit is used by two
    /// entries, or more units are in use than the limit has.
    pub fn violation(&self) -> Option<String> {
        let mut holders: BTreeMap<u32, Vec<String>> = BTreeMap::new();
        let mut bound = 0;
        for entry in self.entries.iter().flatten() {
            let mut units = entry.node.units(self.clock(entry));
            units.extend(entry.running.iter().map(|(u, _, _)| u.number()));
            units.sort_unstable();
            units.dedup();
            let name = format!("{}/{}", entry.member.entry, entry.member.incarnation);
            for unit in units {
                holders.entry(unit).or_default().push(name.clone());
            }
            let sizes = entry.running.iter().map(|(_, _, size)| *size);
            bound = sizes.chain([entry.size, bound]).max().unwrap_or(0);
        }
        for crashed in &self.crashed {
            let name = format!(
                "{}/{} (dead)",
                crashed.member.entry, crashed.member.incarnation
            );
            for unit in &crashed.units {
                holders.entry(*unit).or_default().push(name.clone());
            }
            bound = bound.max(crashed.size);
        }
        let sum: usize = holders.values().map(Vec::len).sum();
        if let Some((unit, names)) = holders.iter().find(|(_, names)| names.len() > 1) {
            return Some(format!("{} ms: unit {unit} is used by {names:?}", self.now));
        }
        (sum > bound as usize)
            .then(|| format!("{} ms: {sum} units in use, the limit is {bound}", self.now))
    }

    /// Returns the largest number of units that a single entry may use.
    pub fn max_units(&self) -> usize {
        let entries = self.entries.iter().flatten();
        let units = entries.map(|e| e.node.units(self.clock(e)).len());
        units.max().unwrap_or(0)
    }
}
