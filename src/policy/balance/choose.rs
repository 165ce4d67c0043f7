//! One choice among the targets of a service.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    cold::Quota,
    pool::Pool,
    target::Target,
    work::{Work, mix},
};
use crate::{
    domain::{AzName, InstanceId, InstanceState, Millis, RegionName, RouteRule, TargetId},
    policy::overflow::{Overflow, Wish},
};

/// The round trip to a target of the own region, in milliseconds.
const NEAR_MS: f64 = 3.0;

/// The round trip to a target of another region, in milliseconds. Both users
/// state 35 ms one way.
const FAR_MS: f64 = 72.0;

/// What a request must gain by leaving its region, in milliseconds. Links
/// between regions are narrow and priced.
const LEAVE_GAIN_MS: f64 = 15.0;

/// The part of the cold work that the rank by hash weighs. Entries that see the
/// same loads then make the same second choice.
const RANK_WEIGHT: f64 = 0.15;

/// How many times the objective an expected failure costs.
const FAILURE_COST: f64 = 1.5;

/// How much longer a target works that has just started.
const COLD_FACTOR: f64 = 2.0;

/// A queue of up to this length, in requests for each slot, refuses nothing.
const QUEUE_FREE: f64 = 0.5;

/// The longest delay that a passing queue may cause, in parts of the objective.
const DELAY_PASSING: f64 = 1.3;

/// The longest delay that a standing queue may cause, in parts of the objective.
const DELAY_STANDING: f64 = 0.7;

/// The part of the latest requests that meets a long queue when it is standing.
const STANDING_PART: f64 = 0.8;

/// The weight of one request in that part.
const STANDING_GAIN: f64 = 0.02;

/// Makes the order in which objects are handed over independent of their order
/// at any target.
const PLACE_SEED: u64 = 0x6f76_6572_666c_6f77;

/// Makes one request go to a target that joins. It shows that the target works,
/// and hashing may give it no frequent object.
const TRIAL_DISCOUNT_MS: f64 = 100_000.0;

/// A region that has lost this part of its slots hands requests over at once.
const LOST_PART: f64 = 0.2;

/// For how long a former number of slots is remembered.
const SLOTS_MEMORY: Millis = Millis(4_000);

/// What all requests of a service see at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// The present instant.
    pub now: Millis,
    /// The region of this entry.
    pub region: &'a RegionName,
    /// Availability zones to which nothing may be sent.
    pub closed: &'a BTreeSet<AzName>,
    /// What may be sent to cold targets.
    pub quota: Quota<'a>,
    /// The largest part of the requests that may change region in a window.
    pub shift: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its rule.
    pub rule: &'a RouteRule,
    /// The hash of the object that it concerns.
    pub object: Option<u64>,
    /// The targets that it was sent to.
    pub tried: &'a [InstanceId],
    /// The time until it must be answered.
    pub left: Millis,
}

/// The target that is to run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its address.
    pub addr: TargetId,
    /// What has to be given back when the request has ended.
    pub ticket: Ticket,
}

/// A request at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The target.
    pub id: InstanceId,
    /// When the answer is expected, from the moment of the choice.
    pub expected: Millis,
    /// The requests that were there before it.
    pub load: f64,
    /// The age of the report in that load, if there was one.
    pub age: Option<Millis>,
    /// Whether the target was taken to know the object.
    pub warm: bool,
    /// Whether the target is in another region.
    pub far: bool,
    pub(super) sent: Millis,
    pub(super) route: u64,
    pub(super) object: Option<u64>,
    pub(super) trip_ms: f64,
    pub(super) factor: f64,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Miss {
    /// No target of the service may take the request at all.
    NoTarget,
    /// Targets exist, but all are full, failing or starting.
    Full,
    /// No target would answer in time.
    Late {
        /// When the earliest answer would come.
        expected: Millis,
    },
}

/// The slots of a service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    near: f64,
    all: f64,
    regions: f64,
}

impl Capacity {
    /// Returns the part of the region's requests that is handed over until the
    /// requests themselves show what is needed. Regions are taken to have equally
    /// many callers.
    fn surplus(&self) -> f64 {
        let fair = self.all / f64::max(self.regions, 1.0);
        (1.0 - self.near / f64::max(fair, 1.0)).max(0.0)
    }
}

#[derive(Clone, Copy)]
struct Candidate {
    at: usize,
    cost: f64,
    expected: f64,
    trip: f64,
    factor: f64,
    /// Requests that wait at the target for each of its slots.
    queue: f64,
    /// Requests that are there.
    load: f64,
    warm: bool,
}

/// How much there is to do.
#[derive(Clone, Copy)]
struct Demand {
    /// How busy the region's targets are, from 0 to 1.
    busy: f64,
    /// The requests at the target.
    load: f64,
}

impl Candidate {
    /// Returns how long the answer takes, in parts of the objective, if a queue is
    /// the reason for it.
    fn delay(&self, rule: &RouteRule) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let objective = rule.objective.0.max(1) as f64;
        if self.queue > QUEUE_FREE {
            self.expected / objective
        } else {
            0.0
        }
    }
}

impl Pool {
    /// Chooses a target for a request and counts the request there.
    ///
    /// # Errors
    ///
    /// A [`Miss`] says why no target can take it.
    pub fn choose(&mut self, scene: &Scene<'_>, ask: &Ask<'_>) -> Result<Choice, Miss> {
        let route = xxh3_64(ask.rule.prefix.as_bytes());
        let work = self.works.entry(route);
        let work = *work.or_insert_with(|| Work::new(ask.rule.objective));
        let open: Vec<usize> = self.open(scene, ask);
        let usable: Vec<usize> = open
            .iter()
            .copied()
            .filter(|at| self.targets[*at].usable(scene.now, &scene.quota))
            .collect();
        let Some(best) = self.assign(scene, ask, &work, &usable) else {
            return Err(if open.is_empty() {
                Miss::NoTarget
            } else {
                Miss::Full
            });
        };
        let expected = millis(best.expected);
        let late = expected > ask.left || self.is_crowded(best.delay(ask.rule));
        if late && work.is_known(best.warm, scene.now) {
            return Err(Miss::Late { expected });
        }
        Ok(self.start(scene, ask, route, &best))
    }

    /// Decides whether a queue is too long to add to it. Adding to a queue that
    /// stands makes all that follow late as well, so that the targets stay busy
    /// with answers of little use; a queue that passes is better served than
    /// refused. The controlled-delay discipline tells them apart: a queue stands
    /// if most of the latest requests have met a long one.
    fn is_crowded(&mut self, delay: f64) -> bool {
        let long = f64::from(u8::from(delay > DELAY_STANDING));
        self.long += (long - self.long) * STANDING_GAIN;
        let standing = self.long > STANDING_PART;
        delay
            > if standing {
                DELAY_STANDING
            } else {
                DELAY_PASSING
            }
    }

    /// Returns the targets that may run the request at some time.
    fn open(&self, scene: &Scene<'_>, ask: &Ask<'_>) -> Vec<usize> {
        let open = |t: &Target| {
            let Some(region) = &t.region else {
                return false;
            };
            let home = ask.rule.home_regions.is_empty() || ask.rule.home_regions.contains(region);
            home && !scene.closed.contains(&t.instance.az) && !ask.tried.contains(&t.instance.id)
        };
        let targets = self.targets.iter().enumerate();
        targets.filter(|(_, t)| open(t)).map(|(at, _)| at).collect()
    }

    /// Picks the cheapest target of the region, or of the others if the request
    /// is to leave.
    fn assign(
        &mut self,
        scene: &Scene<'_>,
        ask: &Ask<'_>,
        work: &Work,
        usable: &[usize],
    ) -> Option<Candidate> {
        let capacity = self.capacity(scene);
        let loads = self.loads(scene.now);
        let busy = self.busy(scene, usable, &loads);
        let firsts = self.firsts(scene, ask, usable);
        let near = |at: &usize| self.is_near(scene, *at);
        let score = |at: usize| {
            let demand = Demand {
                busy,
                load: loads[at],
            };
            self.score(scene, ask, work, demand, at, firsts.contains(&at))
        };
        let cheapest = |far: bool| {
            let side = usable.iter().filter(|at| near(at) != far);
            side.map(|at| score(*at))
                .min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        let (here, there) = (cheapest(false), cheapest(true));
        if capacity.near <= 0.0 {
            return here.or(there);
        }
        let Some(far) = there else {
            return here;
        };
        let gain = here.map_or(f64::INFINITY, |near| near.cost - far.cost);
        let wish = if gain > LEAVE_GAIN_MS {
            Wish::Leave
        } else {
            Wish::Stay
        };
        let lost = self.lost(scene.now, capacity.near);
        let overflow = self
            .overflow
            .get_or_insert_with(|| Overflow::new(capacity.surplus()));
        let place = ask.object.filter(|_| ask.rule.sticky).map(place);
        match overflow.assign(scene.now, wish, place, scene.shift, lost) {
            Wish::Stay => here,
            Wish::Leave => Some(far),
        }
    }

    /// Returns the slots of the targets that are there, full or not. What one
    /// request may use of them does not matter, because the region's overflow is
    /// the same for all of them.
    fn capacity(&self, scene: &Scene<'_>) -> Capacity {
        let mut capacity = Capacity::default();
        let mut regions: Vec<&RegionName> = Vec::new();
        for target in &self.targets {
            let ready = target.instance.state == InstanceState::Ready;
            let there = ready && !target.health.ejected(scene.now);
            let Some(region) = target.region.as_ref().filter(|_| there) else {
                continue;
            };
            if scene.closed.contains(&target.instance.az) {
                continue;
            }
            capacity.all += target.slots();
            if region == scene.region {
                capacity.near += target.slots();
            }
            if !regions.contains(&region) {
                regions.push(region);
                capacity.regions += 1.0;
            }
        }
        capacity
    }

    /// Returns how busy the region's targets are, from 0 to 1.
    fn busy(&self, scene: &Scene<'_>, usable: &[usize], loads: &[f64]) -> f64 {
        let near = usable.iter().filter(|at| self.is_near(scene, **at));
        let (load, slots) = near.fold((0.0, 0.0), |(load, slots), at| {
            (load + loads[*at], slots + self.targets[*at].slots())
        });
        (load / f64::max(slots, 1.0)).min(1.0)
    }

    /// Tells whether the region has just lost a considerable part of its slots.
    fn lost(&mut self, now: Millis, slots: f64) -> bool {
        let (most, at) = self.slots;
        if slots >= most || at + SLOTS_MEMORY < now {
            self.slots = (slots, now);
            return false;
        }
        slots < most * (1.0 - LOST_PART)
    }

    /// Returns the object's first targets: one in the region, and one elsewhere
    /// that takes the object if it is handed over. Callers of different regions
    /// seldom ask for the same objects, so each region hands over to one target.
    fn firsts(&self, scene: &Scene<'_>, ask: &Ask<'_>, usable: &[usize]) -> Vec<usize> {
        let Some(object) = ask.object.filter(|_| ask.rule.sticky) else {
            return Vec::new();
        };
        let first = |far: bool| {
            let side = usable.iter().filter(|at| self.is_near(scene, **at) != far);
            side.max_by_key(|at| mix(object, self.targets[**at].hash))
        };
        first(false)
            .into_iter()
            .chain(first(true))
            .copied()
            .collect()
    }

    /// Returns the requests at each target, as far as is known. They are worked
    /// out once for a choice, which looks at them several times.
    fn loads(&self, now: Millis) -> Vec<f64> {
        let parts = self.levels.iter().map(|(r, level)| (r, level.part(now)));
        let parts: BTreeMap<&RegionName, f64> = parts.collect();
        let load = |target: &Target| {
            let part = target.region.as_ref().and_then(|r| parts.get(r));
            let others = part.map_or(0.0, |part| part * target.slots());
            target.load.total(now, others)
        };
        self.targets.iter().map(load).collect()
    }

    fn is_near(&self, scene: &Scene<'_>, at: usize) -> bool {
        self.targets[at].region.as_ref() == Some(scene.region)
    }

    fn score(
        &self,
        scene: &Scene<'_>,
        ask: &Ask<'_>,
        work: &Work,
        demand: Demand,
        at: usize,
        first: bool,
    ) -> Candidate {
        let Demand { busy, load } = demand;
        let now = scene.now;
        let target = &self.targets[at];
        let known = |object| target.objects.holds(object, now);
        let warm = !target.is_cold(now) && (first || ask.object.is_some_and(known));
        let slots = target.slots();
        let waiting = (load + 1.0 - slots).max(0.0);
        let mut factor = target.load.pace(now) * target.speed * (1.0 + waiting / slots);
        if target.is_cold(now) {
            factor *= COLD_FACTOR;
        }
        let far = target.region.as_ref() != Some(scene.region);
        let trip = if far { FAR_MS } else { NEAR_MS };
        let expected = trip + work.of(warm) * factor;
        let rank = ask.object.map_or(0.0, |o| 1.0 - unit(mix(o, target.hash)));
        let objective = ask.rule.objective.0;
        #[expect(clippy::cast_precision_loss)]
        let failures = target.health.rate(now) * FAILURE_COST * objective as f64;
        let trial = !target.used && !far && !target.is_cold(now);
        let discount = if trial { TRIAL_DISCOUNT_MS } else { 0.0 };
        let extra = if warm { 0.0 } else { work.cold - work.warm };
        Candidate {
            at,
            cost: expected + busy * extra + failures + rank * work.cold * RANK_WEIGHT - discount,
            expected,
            trip,
            factor,
            queue: waiting / slots,
            load,
            warm,
        }
    }

    fn start(&mut self, scene: &Scene<'_>, ask: &Ask<'_>, route: u64, best: &Candidate) -> Choice {
        let now = scene.now;
        let target = &mut self.targets[best.at];
        let expected = millis(best.expected);
        target.load.own += 1;
        target.used = true;
        target.health.sent(now, expected);
        if target.is_cold(now) {
            target.starts.add(now);
        }
        Choice {
            addr: target.instance.addr,
            ticket: Ticket {
                id: target.instance.id.clone(),
                expected,
                load: best.load,
                age: target.load.reported.map(|at| now - at),
                warm: best.warm,
                far: target.region.as_ref() != Some(scene.region),
                sent: now,
                route,
                object: ask.object,
                trip_ms: best.trip,
                factor: best.factor,
            },
        }
    }
}

fn millis(ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis(ms.max(0.0) as u64)
}

/// Returns where an object lies among all objects, from 0 to 1.
fn place(object: u64) -> f64 {
    unit(mix(object, PLACE_SEED))
}

/// Maps a hash to the range from 0 to 1.
#[expect(clippy::cast_precision_loss)]
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
