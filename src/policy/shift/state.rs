//! The shares of a service's places and the steps of a move between them.

use super::{
    Health, PlaceProgress, Progress, Share,
    health::{MIN_SAMPLES, Window},
    share::{apportion, apportion_whole, distance, interpolate},
};
use crate::domain::{Document, Millis, Place, PlaceName, PlaceState, RegionName, Revision};

/// The maximum share of all requests that one step moves. Moving all traffic
/// takes 20 steps, which is 20 s if nothing delays it.
const STEP_SHARE: Share = Share(50_000);

/// The minimum duration of a step. It equals the period of the cap, so the
/// request rate at growing places rises by at most the cap per second.
const MIN_STEP_TIME: Millis = Millis(1_000);

/// How long a step waits for enough responses when there is little traffic.
const LOW_TRAFFIC_TIMEOUT: Millis = Millis(10_000);

/// How often the health of places is measured again while no traffic moves.
const HEALTH_REFRESH_INTERVAL: Millis = Millis(60_000);

/// Differences up to this many millionths are due to rounding and are applied
/// without a step.
const ROUNDING_TOLERANCE: u32 = 16;

/// The result of [`Shift::tick`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TickOutcome {
    /// The shares are those of the document.
    Settled,
    /// The current step continues.
    Waiting,
    /// The current step continues because this place responds worse than before
    /// the move.
    Held(PlaceName),
    /// The step is repeated because none of its requests got a unit and
    /// headroom.
    Capped,
    /// The next step began.
    Stepped,
    /// This entry has no traffic and adopted the shares of its peers.
    Followed,
    /// The last step ended and the move is complete.
    Finished,
}

/// The shares of one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceShare<'a> {
    /// The place.
    pub name: &'a PlaceName,
    /// The share that the place is known to handle.
    pub base: Share,
    /// The share that the current step aims at.
    pub effective: Share,
    /// The share that the document asks for.
    pub target: Share,
}

/// A place with its shares and measurements.
#[derive(Clone, Debug)]
pub(super) struct TrackedPlace {
    pub(super) place: Place,
    pub(super) base: Share,
    pub(super) effective: Share,
    pub(super) counts: Counts,
    target: Share,
    region_lost: bool,
    window: Window,
    /// The health before the current move, or the latest one if none is going
    /// on.
    health_before: Option<Health>,
}

impl TrackedPlace {
    fn new(place: Place) -> Self {
        Self {
            place,
            base: Share(0),
            effective: Share(0),
            counts: Counts::default(),
            target: Share(0),
            region_lost: false,
            window: Window::new(),
            health_before: None,
        }
    }

    /// Returns whether the place may get new requests at all.
    fn is_available(&self) -> bool {
        let place = &self.place;
        let is_leaving = place.state == PlaceState::Leaving
            || place.targets.iter().all(|t| place.leaving.contains(t));
        !self.region_lost && !is_leaving
    }

    pub(super) fn grows(&self) -> bool {
        self.gain() > 0
    }

    /// Returns what the current step adds to the share.
    pub(super) fn gain(&self) -> u32 {
        self.effective.0.saturating_sub(self.base.0)
    }

    /// Returns what the current step takes from the share.
    pub(super) fn loss(&self) -> u32 {
        self.base.0.saturating_sub(self.effective.0)
    }

    /// Returns the part of the gain for which requests got a unit and headroom.
    /// It is zero if the region had no headroom for requests of the base share,
    /// since the place has then not shown that it can handle more. If the step
    /// has `timed_out`, a place to which no request was to be moved gets its
    /// whole gain, since so little traffic does no harm.
    fn admitted_gain(&self, timed_out: bool) -> u32 {
        let Counts {
            moved,
            denied,
            no_headroom,
        } = self.counts;
        let gain = u64::from(self.gain());
        let admitted = match moved + denied {
            _ if no_headroom > 0 => 0,
            0 if timed_out => gain,
            0 => 0,
            attempted => gain * moved / attempted,
        };
        u32::try_from(admitted.min(gain)).unwrap_or_default()
    }
}

/// Counts of a place's requests in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    /// Extra requests that were moved to the place.
    pub(super) moved: u64,
    /// Extra requests that were not, for lack of a unit or headroom.
    pub(super) denied: u64,
    /// Requests of the base share for which the region had no headroom.
    pub(super) no_headroom: u64,
}

/// The places of one service and the progress of the traffic between them.
#[derive(Clone, Debug)]
pub struct Shift {
    pub(super) places: Vec<TrackedPlace>,
    /// Requests in the current window.
    pub(super) requests: u64,
    revision: Revision,
    /// When the current window began, at the start of a step or of its
    /// repetition.
    window_start: Millis,
    /// Whether the previous window had any requests.
    had_traffic: bool,
    lost_regions: Vec<RegionName>,
}

impl Shift {
    /// Creates the state for a document. It starts with the base shares that
    /// `peers` report, or with the target shares if no peer reports any.
    #[must_use]
    pub fn new(
        document: &Document,
        revision: Revision,
        peers: Option<&Progress>,
        now: Millis,
    ) -> Self {
        let mut shift = Self {
            places: document
                .places
                .iter()
                .cloned()
                .map(TrackedPlace::new)
                .collect(),
            requests: 0,
            revision,
            window_start: now,
            had_traffic: false,
            lost_regions: Vec::new(),
        };
        let shares = peers.map_or_else(Vec::new, |p| shift.reported_shares(p));
        shift.start_move(&shares, now);
        shift
    }

    /// Adopts a newer document. The move to its weights starts from the current
    /// shares, even in the middle of another move. A place that is leaving or
    /// was removed loses its share immediately.
    pub fn adopt(&mut self, document: &Document, revision: Revision, now: Millis) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.commit_step(false);
        let mut old_places = std::mem::take(&mut self.places);
        for place in &document.places {
            let old = old_places.iter().position(|p| p.place.name == place.name);
            let tracked = match old.map(|at| old_places.swap_remove(at)) {
                Some(tracked) if tracked.place.region == place.region => TrackedPlace {
                    place: place.clone(),
                    ..tracked
                },
                _ => TrackedPlace::new(place.clone()),
            };
            self.places.push(tracked);
        }
        self.update_lost();
        self.start_move(&self.base_shares(), now);
    }

    /// Records that a region is lost or has recovered. The share of a lost
    /// region is distributed over the other places immediately. A recovered
    /// region gets its share back in steps, because the caches of its places
    /// are cold.
    pub fn set_region_lost(&mut self, region: &RegionName, lost: bool, now: Millis) {
        if self.lost_regions.contains(region) == lost {
            return;
        }
        self.lost_regions.retain(|r| r != region);
        if lost {
            self.lost_regions.push(region.clone());
        }
        self.commit_step(false);
        self.update_lost();
        self.start_move(&self.base_shares(), now);
    }

    /// Records a response of a place.
    pub fn observe(&mut self, place: &PlaceName, latency: Millis, failed: bool) {
        if let Some(tracked) = self.places.iter_mut().find(|p| p.place.name == *place) {
            tracked.window.observe(latency, failed);
        }
    }

    /// Advances the move if the current step can end. `peers` is the merged
    /// progress that the other entries reported in this round.
    pub fn tick(&mut self, peers: Option<&Progress>, now: Millis) -> TickOutcome {
        if !self.is_moving() {
            self.refresh_health(now);
            return TickOutcome::Settled;
        }
        let age = now - self.window_start;
        if age < MIN_STEP_TIME {
            return TickOutcome::Waiting;
        }
        if self.requests == 0 {
            return self.follow_peers(peers, age, now);
        }
        let growing = || self.places.iter().filter(|p| p.grows());
        let sampled = growing().all(|p| p.window.samples() >= MIN_SAMPLES);
        let attempted = growing().any(|p| p.counts.moved + p.counts.denied > 0);
        if age < LOW_TRAFFIC_TIMEOUT && !(sampled && attempted) {
            return TickOutcome::Waiting;
        }
        if let Some(name) = self.find_degraded() {
            self.begin_window(now);
            return TickOutcome::Held(name);
        }
        self.advance(age >= LOW_TRAFFIC_TIMEOUT, now)
    }

    /// Returns whether any base share differs from the target share.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        self.places.iter().any(|p| p.base != p.target)
    }

    /// Returns the revision of the document in effect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the shares, in the order of the document.
    pub fn shares(&self) -> impl Iterator<Item = PlaceShare<'_>> {
        self.places.iter().map(|p| PlaceShare {
            name: &p.place.name,
            base: p.base,
            effective: p.effective,
            target: p.target,
        })
    }

    /// Returns the progress that this entry reports to its peers.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let place_progress = |p: &TrackedPlace| PlaceProgress {
            base: p.base,
            target: p.target,
        };
        let places = self
            .places
            .iter()
            .map(|p| (p.place.name.clone(), place_progress(p)));
        Progress {
            revision: self.revision,
            has_traffic: self.had_traffic || self.requests > 0,
            places: places.collect(),
        }
    }

    fn base_shares(&self) -> Vec<Share> {
        self.places.iter().map(|p| p.base).collect()
    }

    fn reported_shares(&self, peers: &Progress) -> Vec<Share> {
        let share = |p: &TrackedPlace| peers.places.get(&p.place.name).map(|r| r.base);
        self.places
            .iter()
            .map(|p| share(p).unwrap_or_default())
            .collect()
    }

    fn update_lost(&mut self) {
        for tracked in &mut self.places {
            tracked.region_lost = self.lost_regions.contains(&tracked.place.region);
        }
    }

    /// Adds the admitted part of the current step to the base shares, and
    /// returns how much that is.
    fn commit_step(&mut self, timed_out: bool) -> Share {
        let gains: Vec<u32> = self
            .places
            .iter()
            .map(|p| p.admitted_gain(timed_out))
            .collect();
        let total = Share(gains.iter().sum());
        let losses: Vec<u64> = self.places.iter().map(|p| p.loss().into()).collect();
        let taken = apportion(total, &losses);
        for ((tracked, gain), loss) in self.places.iter_mut().zip(gains).zip(taken) {
            tracked.base.0 += gain;
            tracked.base.0 -= loss.0;
        }
        total
    }

    /// Starts a move from `shares` to the weights of the document. Places that
    /// may get no requests lose their share without steps.
    fn start_move(&mut self, shares: &[Share], now: Millis) {
        self.record_health_before();
        let weights = self.places.iter().map(|p| (p, u64::from(p.place.weight.0)));
        let targets = apportion_whole(&available_weights(weights));
        for (tracked, target) in self.places.iter_mut().zip(&targets) {
            tracked.target = *target;
        }
        let shares = self.places.iter().zip(shares);
        let current = apportion_whole(&available_weights(shares.map(|(p, s)| (p, u64::from(s.0)))));
        let empty = current.iter().all(|s| s.0 == 0);
        self.set_base(if empty { &targets } else { &current });
        self.begin_step(now);
    }

    /// Records the health before a move. In the middle of a move the earlier
    /// record is kept, since the current health includes the effect of cold
    /// caches.
    fn record_health_before(&mut self) {
        if !self.is_moving() {
            for tracked in &mut self.places {
                if tracked.window.samples() >= MIN_SAMPLES {
                    tracked.health_before = tracked.window.health();
                }
            }
        }
    }

    fn set_base(&mut self, shares: &[Share]) {
        for (tracked, share) in self.places.iter_mut().zip(shares) {
            tracked.base = *share;
        }
    }

    /// Ends the current step and begins the next one.
    fn advance(&mut self, timed_out: bool, now: Millis) -> TickOutcome {
        let admitted = self.commit_step(timed_out);
        self.begin_step(now);
        match (self.is_moving(), admitted) {
            (false, _) => TickOutcome::Finished,
            (true, Share(0)) => TickOutcome::Capped,
            (true, _) => TickOutcome::Stepped,
        }
    }

    /// Sets the effective shares one step from the base towards the target.
    fn begin_step(&mut self, now: Millis) {
        let (base, target) = (self.base_shares(), self.target_shares());
        let remaining = distance(&base, &target);
        if remaining <= ROUNDING_TOLERANCE {
            self.set_base(&target);
        }
        let next = interpolate(&base, &target, STEP_SHARE.0.into(), remaining.max(1).into());
        for (tracked, share) in self.places.iter_mut().zip(next) {
            tracked.effective = share;
        }
        self.begin_window(now);
    }

    fn target_shares(&self) -> Vec<Share> {
        self.places.iter().map(|p| p.target).collect()
    }

    fn begin_window(&mut self, now: Millis) {
        self.had_traffic = self.requests > 0;
        self.requests = 0;
        self.window_start = now;
        for tracked in &mut self.places {
            tracked.window.clear();
            tracked.counts = Counts::default();
        }
    }

    /// Advances the move of an entry without traffic. It cannot measure the
    /// places, so it adopts the base shares of entries with traffic. Otherwise
    /// it would be ahead of them when their callers fail over to it.
    fn follow_peers(&mut self, peers: Option<&Progress>, age: Millis, now: Millis) -> TickOutcome {
        if let Some(peers) = peers.filter(|p| p.has_traffic && p.revision == self.revision) {
            self.start_move(&self.reported_shares(peers), now);
            return TickOutcome::Followed;
        }
        if age < LOW_TRAFFIC_TIMEOUT {
            return TickOutcome::Waiting;
        }
        self.advance(true, now)
    }

    /// Returns a growing place that responds worse than before the move.
    fn find_degraded(&self) -> Option<PlaceName> {
        // A new place has no earlier health of its own and is compared with the
        // worst of the others.
        let worst = self
            .places
            .iter()
            .filter_map(|p| p.health_before)
            .reduce(Health::worst);
        let degraded = |p: &&TrackedPlace| match (p.window.health(), p.health_before.or(worst)) {
            (Some(health), Some(before)) => !health.is_acceptable(before),
            _ => false,
        };
        let mut growing = self.places.iter().filter(|p| p.grows());
        growing.find(degraded).map(|p| p.place.name.clone())
    }

    /// Periodically records the health again while no traffic moves.
    fn refresh_health(&mut self, now: Millis) {
        if now - self.window_start >= HEALTH_REFRESH_INTERVAL {
            self.record_health_before();
            self.begin_window(now);
        }
    }
}

/// Returns the weights with those of places that may get no requests set to
/// zero.
fn available_weights<'a>(weights: impl Iterator<Item = (&'a TrackedPlace, u64)>) -> Vec<u64> {
    weights
        .map(|(p, weight)| if p.is_available() { weight } else { 0 })
        .collect()
}
