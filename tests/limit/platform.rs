//! What the platform and the store do in a world, and what an observer of all
//! entries sees.

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng;
use savorybeam::domain::Epoch;
use savorybeam::policy::limit::{Roster, RosterMember};

use super::world::{Event, Ghost, World, member};

impl World {
    /// Puts all live entries in a new roster. An incarnation that is not yet
    /// reported gone keeps its seat, and its successor waits.
    pub fn propose(&mut self) {
        let mut seats = Vec::new();
        for (index, slot) in self.entries.iter().enumerate() {
            let ghost = self
                .ghosts
                .iter()
                .find(|g| g.member.entry == member(index, 0).entry);
            let live = slot.as_ref().map(|e| e.member.clone());
            if let Some(member) = ghost.map(|g| g.member.clone()).or(live) {
                let leaving = self.leaving == Some(index);
                seats.push(RosterMember { member, leaving });
            }
        }
        let next = Roster::new(self.roster.epoch(), seats.clone());
        if self.now < self.store_down || next == *self.roster {
            return;
        }
        self.roster = Arc::new(Roster::new(Epoch(self.roster.epoch().0 + 1), seats));
        for index in 0..self.entries.len() {
            let delay = self.rng.random_range(0..2_000);
            self.push(delay, Event::Roster(index, self.roster.clone()));
        }
    }

    /// Reports crashed entries whose time has come.
    pub fn report(&mut self) {
        if self.now < self.store_down {
            return;
        }
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.ghosts)
            .into_iter()
            .partition(|g| g.report <= now);
        self.ghosts = rest;
        let due: Vec<Ghost> = due;
        for ghost in due {
            for index in 0..self.entries.len() {
                let delay = self.rng.random_range(0..5_000);
                self.push(delay, Event::Gone(index, ghost.member.clone()));
            }
        }
    }

    /// Returns what breaks the invariant at this instant, if anything does.
    pub fn fault(&self) -> Option<String> {
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
        for ghost in &self.ghosts {
            let name = format!("{}/{} (dead)", ghost.member.entry, ghost.member.incarnation);
            for unit in &ghost.units {
                holders.entry(*unit).or_default().push(name.clone());
            }
            bound = bound.max(ghost.size);
        }
        let sum: usize = holders.values().map(Vec::len).sum();
        if let Some((unit, names)) = holders.iter().find(|(_, names)| names.len() > 1) {
            return Some(format!("{} ms: unit {unit} is used by {names:?}", self.now));
        }
        (sum > bound as usize).then(|| format!("{} ms: {sum} of {bound} units", self.now))
    }

    /// Returns the most units that one entry may use.
    pub fn most(&self) -> usize {
        let entries = self.entries.iter().flatten();
        let units = entries.map(|e| e.node.units(self.clock(e)).len());
        units.max().unwrap_or(0)
    }
}
