//! What one entry knows of one target.

use xxhash_rust::xxh3::xxh3_64;

use super::{
    cold::{Quota, Starts},
    health::Health,
    load::Load,
    work::Objects,
};
use crate::domain::{Instance, InstanceState, Millis, RegionName};

/// How long a target that rejected a request for its queue gets none. Within that
/// time some of its slots become free.
const FULL_FOR: Millis = Millis(100);

/// A target of a service.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub instance: Instance,
    /// The region of its availability zone, if that is known.
    pub region: Option<RegionName>,
    pub hash: u64,
    pub load: Load,
    pub health: Health,
    pub objects: Objects,
    pub starts: Starts,
    /// Until when it is cold.
    pub cold: Millis,
    /// Whether it has got a request of this entry.
    pub used: bool,
    /// How long it takes relative to others, learned from durations.
    pub speed: f64,
    /// Until when its queue is taken to be full.
    full: Millis,
}

impl Target {
    pub fn new(instance: Instance, region: Option<RegionName>, now: Millis) -> Self {
        Self {
            hash: xxh3_64(instance.id.as_bytes()),
            cold: now + instance.cold,
            instance,
            region,
            load: Load::new(),
            health: Health::default(),
            objects: Objects::default(),
            starts: Starts::default(),
            used: false,
            speed: 1.0,
            full: Millis(0),
        }
    }

    /// Adopts a new state of the registration.
    pub fn update(&mut self, instance: Instance, region: Option<RegionName>, now: Millis) {
        if instance.started_at != self.instance.started_at || instance.addr != self.instance.addr {
            // Another start of the target, which knows nothing of the former.
            let own = self.load.own;
            *self = Self::new(instance, region, now);
            self.load.own = own;
            return;
        }
        if instance.cold.0 > 0 {
            self.cold = now + instance.cold;
            self.objects.clear();
        }
        self.instance = instance;
        self.region = region;
    }

    /// Notes that it rejected a request because its queue is full.
    pub fn filled(&mut self, now: Millis) {
        self.full = now + FULL_FOR;
    }

    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold
    }

    /// Tells whether it may get a request now.
    pub fn usable(&self, now: Millis, quota: &Quota<'_>) -> bool {
        self.instance.state == InstanceState::Ready
            && now >= self.full
            && self.health.usable(now)
            && (!self.is_cold(now) || self.starts.allow(now, self.hash, quota))
    }

    pub fn slots(&self) -> f64 {
        f64::from(self.instance.slots.0)
    }
}
