//! The state that one entry keeps for one target.

use xxhash_rust::xxh3::xxh3_64;

use super::{
    context::Context,
    duration::RecentObjects,
    health::Health,
    load::Load,
    notice::NoticeState,
    slow_start::{ColdQuota, ColdRequests},
};
use crate::domain::{Homes, Instance, InstanceState, Millis, RegionName};

/// How long a target gets no requests after it rejected one because its queue
/// was full. Some of its slots become free within that time.
const FULL_BACKOFF: Millis = Millis(100);

/// A target of a service.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub instance: Instance,
    /// The region of its availability zone, if known.
    pub region: Option<RegionName>,
    pub hash: u64,
    pub load: Load,
    pub health: Health,
    pub notices: NoticeState,
    pub objects: RecentObjects,
    pub cold_requests: ColdRequests,
    /// The end of its slow start.
    pub cold_until: Millis,
    /// Whether this entry has sent it a request, or need not probe it because
    /// it was there when the entry started.
    pub contacted: bool,
    /// Moving average of its request durations relative to those of other
    /// targets.
    pub slowdown: f64,
    /// The instant until which its queue is assumed to be full.
    full_until: Millis,
}

impl Target {
    pub fn new(instance: Instance, region: Option<RegionName>, now: Millis) -> Self {
        Self {
            hash: xxh3_64(instance.id.as_bytes()),
            cold_until: now + instance.cold,
            instance,
            region,
            load: Load::new(),
            health: Health::default(),
            notices: NoticeState::default(),
            objects: RecentObjects::default(),
            cold_requests: ColdRequests::default(),
            contacted: false,
            slowdown: 1.0,
            full_until: Millis(0),
        }
    }

    /// Applies a new version of the registration.
    pub fn update(&mut self, instance: Instance, region: Option<RegionName>, now: Millis) {
        if instance.started_at != self.instance.started_at || instance.addr != self.instance.addr {
            // The target has restarted, so that everything learned is void.
            let own = self.load.own;
            // The rate of a cold target holds whatever its address.
            let cold_requests = std::mem::take(&mut self.cold_requests);
            // An instance that only has another address is still leaving or
            // paused.
            let newer = instance.started_at > self.instance.started_at;
            let notices = std::mem::take(&mut self.notices);
            *self = Self::new(instance, region, now);
            self.load.own = own;
            self.cold_requests = cold_requests;
            if !newer {
                self.notices = notices;
            }
            return;
        }
        if instance.cold.0 > 0 {
            self.cold_until = now + instance.cold;
            self.objects.clear();
        }
        self.instance = instance;
        self.region = region;
    }

    /// Records that it rejected a request because its queue is full.
    pub fn mark_full(&mut self, now: Millis) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Returns whether its queue is assumed to be full.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether it may run requests with the given homes, now or later.
    pub fn serves(&self, ctx: &Context<'_>, homes: Homes<'_>) -> bool {
        let Some(region) = &self.region else {
            return false;
        };
        homes.contains(region) && !ctx.evacuated.contains(&self.instance.az)
    }

    /// Returns whether it may be sent a request now.
    pub fn is_available(&self, now: Millis, quota: &ColdQuota<'_>) -> bool {
        !self.is_full(now) && self.is_up(now, quota)
    }

    /// Returns whether it takes a request of this entry now despite its slow start.
    pub fn is_warmed(&self, ctx: &Context<'_>) -> bool {
        !self.is_cold(ctx.now)
            || self
                .cold_requests
                .allows(ctx.now, self.hash, &ctx.cold_quota)
    }

    /// Returns whether it may be sent a request now or as soon as its queue has
    /// room.
    pub fn is_up(&self, now: Millis, quota: &ColdQuota<'_>) -> bool {
        self.instance.state == InstanceState::Ready
            && self.notices.allows(now, self.load.own, self.slots())
            && self.health.is_available(now)
            && (!self.is_cold(now) || self.cold_requests.allows(now, self.hash, quota))
    }

    /// Returns the number of requests at once that it takes well, if that is the given
    /// part of its slots.
    pub fn limit(&self, part: f64) -> f64 {
        (self.slots() * part).max(1.0)
    }

    pub fn slots(&self) -> f64 {
        f64::from(self.instance.slots.0)
    }
}
