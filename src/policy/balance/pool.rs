//! The targets of one service, as they register and as requests find them.

use std::collections::{BTreeMap, HashMap};

use super::{
    choose::Ticket,
    load::{Level, Report},
    target::Target,
    work::Work,
};
use crate::{
    domain::{AzName, Instance, InstanceId, Millis, RegionName},
    policy::{
        budget::{Allowance, RetryBudget},
        overflow::Overflow,
    },
};

/// The weight of one duration in a target's speed, and of its return to 1.
const SPEED_GAIN: f64 = 0.06;
const SPEED_RETURN: f64 = 0.01;

/// How long after the first target others count as there from the start.
const OPENING: Millis = Millis(5_000);

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The target answered.
    Answered,
    /// The target answered, but not well.
    Flawed,
    /// The target rejected the request without running it.
    Rejected,
    /// Another target has the address.
    Misdirected,
    /// The target could not be reached.
    Unreachable,
    /// The connection broke or carried something else than the answer.
    Broken,
    /// Nobody waits for the answer any more.
    Cancelled,
}

/// The targets of one service, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(super) targets: Vec<Target>,
    pub(super) works: HashMap<u64, Work>,
    pub(super) overflow: Option<Overflow>,
    pub(super) budget: RetryBudget,
    /// The load of each region's targets.
    pub(super) levels: BTreeMap<RegionName, Level>,
    /// The most usable slots in the own region lately, and when that was.
    pub(super) slots: (f64, Millis),
    /// When the first target was added.
    pub(super) opened: Option<Millis>,
    /// The part of the latest requests that met a long queue.
    pub(super) long: f64,
}

impl Pool {
    /// Returns a pool without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a target. Returns whether it is new or its state another
    /// one.
    pub fn put(
        &mut self,
        now: Millis,
        instance: Instance,
        zones: &BTreeMap<AzName, RegionName>,
    ) -> bool {
        let region = zones.get(&instance.az).cloned();
        let opened = *self.opened.get_or_insert(now);
        let Some(at) = self.find(&instance.id) else {
            let mut target = Target::new(instance, region, now);
            // Those that are there from the start get their requests by hash.
            target.used = now < opened + OPENING;
            self.targets.push(target);
            return true;
        };
        let known = &self.targets[at].instance;
        let changed = known.state != instance.state || known.started_at != instance.started_at;
        self.targets[at].update(instance, region, now);
        changed
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &InstanceId) {
        self.targets.retain(|t| t.instance.id != *id);
    }

    /// Counts a request of a caller, which earns a part of a further attempt.
    pub fn earn(&mut self, now: Millis, allowed: &Allowance) {
        self.budget.earn(now, allowed);
    }

    /// Pays for a further attempt out of the service's budget.
    pub fn pay(&mut self, now: Millis, allowed: &Allowance, entries: usize) -> bool {
        self.budget.pay(now, allowed, entries)
    }

    /// Returns the part of the requests that is handed over to other regions.
    #[must_use]
    pub fn overflow(&self) -> f64 {
        self.overflow.as_ref().map_or(0.0, Overflow::part)
    }

    /// Takes back a request that has ended.
    pub fn finish(&mut self, now: Millis, ticket: &Ticket, ending: Ending, report: Option<Report>) {
        let Some(at) = self.find(&ticket.id) else {
            return;
        };
        let target = &mut self.targets[at];
        target.load.own = target.load.own.saturating_sub(1);
        if let Some(report) = &report {
            target.load.report(now, report);
            if let Some(region) = target.region.clone() {
                self.levels.entry(region).or_default().report(now, report);
            }
        }
        let left = target.load.own;
        match ending {
            Ending::Answered => {
                target.health.answered(now, left);
                if let Some(object) = ticket.object {
                    target.objects.add(object, now);
                }
                self.learn(now, at, ticket);
            }
            Ending::Flawed => target.health.flawed(now, left),
            Ending::Rejected => {
                let busy = report.is_none_or(|r| r.running + r.waiting >= r.slots);
                if busy {
                    target.filled(now);
                    target.health.cancelled(left);
                } else {
                    target.health.flawed(now, left);
                }
            }
            Ending::Misdirected | Ending::Unreachable => target.health.failed(now, left, true),
            Ending::Broken => target.health.failed(now, left, false),
            Ending::Cancelled => target.health.cancelled(left),
        }
    }

    fn find(&self, id: &InstanceId) -> Option<usize> {
        self.targets.iter().position(|t| t.instance.id == *id)
    }

    /// Learns from the duration of a request that was answered.
    fn learn(&mut self, now: Millis, at: usize, ticket: &Ticket) {
        let Some(work) = self.works.get_mut(&ticket.route) else {
            return;
        };
        #[expect(clippy::cast_precision_loss)]
        let took = ((now - ticket.sent).0 as f64 - ticket.trip_ms).max(1.0);
        let ms = took / ticket.factor.max(0.01);
        let usual = work.of(ticket.warm);
        work.learn(now, ticket.warm, ms);
        let target = &mut self.targets[at];
        let ratio = (ms / usual).clamp(0.4, 4.0);
        target.speed *= 1.0 + (ratio - 1.0) * SPEED_GAIN;
        target.speed += (1.0 - target.speed) * SPEED_RETURN;
        target.speed = target.speed.clamp(0.3, 20.0);
    }
}
