//! The capacity of a service's targets by region.

use super::{context::Context, pool::Pool};
use crate::{
    domain::{InstanceState, Millis, RegionName},
    policy::overflow::{Overflow, SlotDemand, SlotLoads},
};

/// The fraction of its slots whose loss lets the overflow of a region grow without a
/// slope limit.
const CAPACITY_LOSS_FRACTION: f64 = 0.2;

/// The highest utilization that raises the cost of an object that is not warm. With
/// a queue, such a request delays several others: without this, requests that leave
/// a full target displace objects at further targets, which then fill up in turn.
const MAX_UTILIZATION: f64 = 3.0;

/// How long after the first request the overflow may grow but not shrink, unless other
/// entries of the region have settled. All objects are cold at a start and take several
/// times as long, while the demand counts the time that they take when they are warm.
const COLD_START: Millis = Millis(9_000);

/// How long the peak number of slots is remembered.
const PEAK_SLOTS_WINDOW: Millis = Millis(4_000);

/// The numbers of slots of a service's targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    pub local: f64,
    /// The part of the local slots whose targets are not in their slow start.
    pub warm: f64,
    pub all: f64,
    pub region_count: f64,
}

impl Capacity {
    /// Returns the fraction of the region's requests that overflows initially,
    /// until the requests themselves show what is needed. It assumes that all
    /// regions have the same number of callers.
    pub fn initial_overflow(&self) -> f64 {
        let fair = self.all / f64::max(self.region_count, 1.0);
        (1.0 - self.local / f64::max(fair, 1.0)).max(0.0)
    }
}

impl Pool {
    /// Counts the slots of all targets that are ready and not down, whether full
    /// or not. Which of them one request may use does not matter, because all
    /// requests share the overflow state of the region. A target that was ejected
    /// counts again when it has answered and not when its ejection ends: the
    /// removal of a crashed target would otherwise look like a loss of capacity.
    pub(super) fn capacity(&self, ctx: &Context<'_>) -> Capacity {
        let mut capacity = Capacity::default();
        let mut regions: Vec<&RegionName> = Vec::new();
        for target in &self.targets {
            let ready = target.instance.state == InstanceState::Ready;
            let present = ready && !target.health.is_down();
            let Some(region) = target.region.as_ref().filter(|_| present) else {
                continue;
            };
            if ctx.evacuated.contains(&target.instance.az) {
                continue;
            }
            capacity.all += target.slots();
            if region == ctx.region {
                capacity.local += target.slots();
                if !target.is_cold(ctx.now) {
                    capacity.warm += target.slots();
                }
            }
            if !regions.contains(&region) {
                regions.push(region);
                capacity.region_count += 1.0;
            }
        }
        capacity
    }

    /// Returns the demand of the region's callers against its `available` slots.
    pub(super) fn slot_demand(&self, ctx: &Context<'_>, available: f64) -> SlotDemand {
        SlotDemand {
            needed: ctx.region_demand.map(|d| d.slots),
            available,
            loads: SlotLoads {
                local: self.local_load(ctx),
                others: ctx.region_demand.map_or(0.0, |d| d.others_load()),
            },
            cold: !self.is_settled(ctx.now),
        }
    }

    /// Returns whether the overflow is that of the region: it began with its share, or the
    /// cold start is over.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        self.adopted || self.demand.age(now) >= COLD_START
    }

    /// Lets an entry that has just started take over the share of its region, if others
    /// have one. At a start of the whole region none has, and all begin alike.
    pub(super) fn adopt_share(&mut self, ctx: &Context<'_>) {
        if self.is_settled(ctx.now) {
            return;
        }
        if let Some(share) = ctx.region_demand.and_then(|d| d.share()) {
            self.overflow = Some(Overflow::adopt(ctx.now, share));
            self.adopted = true;
        }
    }

    /// Returns the reported load of the local region.
    pub(super) fn local_load(&self, ctx: &Context<'_>) -> f64 {
        let load = self.region_loads.get(ctx.region);
        load.map_or(0.0, |load| load.slot_load(ctx.now))
    }

    /// Returns the utilization of the region's targets: requests, running and waiting,
    /// relative to what they take well, up to [`MAX_UTILIZATION`].
    pub(super) fn region_utilization(
        &self,
        ctx: &Context<'_>,
        usable: &[usize],
        loads: &[f64],
    ) -> f64 {
        let part = self.limits.part();
        let local = usable.iter().filter(|i| self.is_local(ctx, **i));
        let (load, limit) = local.fold((0.0, 0.0), |(load, limit), i| {
            (load + loads[*i], limit + self.targets[*i].limit(part))
        });
        (load / f64::max(limit, 1.0)).min(MAX_UTILIZATION)
    }

    /// Returns the fraction of its slots that the region has just lost, or zero if it is
    /// small.
    pub(super) fn lost_capacity(&mut self, now: Millis, slots: f64) -> f64 {
        let (peak, at) = self.peak_slots;
        if slots >= peak || at + PEAK_SLOTS_WINDOW < now {
            self.peak_slots = (slots, now);
            return 0.0;
        }
        let lost = 1.0 - slots / peak;
        if lost > CAPACITY_LOSS_FRACTION {
            lost
        } else {
            0.0
        }
    }
}
