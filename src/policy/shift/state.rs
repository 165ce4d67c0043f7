//! The state of a service's places and the steps of a move.

use super::{
    Health, Level, Progress, Share,
    health::{MIN_SAMPLES, Window},
    share::{apportion, blend, distance, divide},
};
use crate::domain::{Document, Millis, Place, PlaceName, PlaceState, RegionName, Revision};

/// The part of all requests that one step moves at the most. Twenty steps make
/// a complete move, which then takes 20 s if nothing delays it.
const STEP: Share = Share(50_000);

/// The shortest time of a step. It is the period of the cap, so the rate at
/// growing places rises by at most the cap within a second.
const DWELL: Millis = Millis(1_000);

/// How long a step waits for answers when there is little traffic.
const QUIET: Millis = Millis(10_000);

/// The period after which a settled place's health is taken anew.
const REVIEW: Millis = Millis(60_000);

/// Differences up to this are due to rounding and are not moved in steps.
const ROUNDING: u32 = 16;

/// What a tick did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pace {
    /// The shares are those of the document.
    Settled,
    /// The step goes on.
    Waiting,
    /// The step goes on because this place answers worse than before.
    Held(PlaceName),
    /// The step starts anew because no request of it got a unit and headroom.
    Capped,
    /// The next step began.
    Stepped,
    /// This entry has no traffic and took over the shares of its peers.
    Followed,
    /// The last step ended.
    Finished,
}

/// The shares of one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceShare<'a> {
    /// The place.
    pub name: &'a PlaceName,
    /// The share that is proven.
    pub base: Share,
    /// The share that is tried.
    pub effective: Share,
    /// The share that the document asks for.
    pub target: Share,
}

/// One place with its shares.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) place: Place,
    pub(super) base: Share,
    pub(super) effective: Share,
    pub(super) counts: Counts,
    target: Share,
    lost: bool,
    window: Window,
    before: Option<Health>,
}

impl Track {
    fn new(place: Place) -> Self {
        Self {
            place,
            base: Share(0),
            effective: Share(0),
            counts: Counts::default(),
            target: Share(0),
            lost: false,
            window: Window::new(),
            before: None,
        }
    }

    /// Whether the place may get new work at all.
    fn is_open(&self) -> bool {
        let place = &self.place;
        let leaves = place.state == PlaceState::Leaving
            || place.targets.iter().all(|t| place.leaving.contains(t));
        !self.lost && !leaves
    }

    pub(super) fn grows(&self) -> bool {
        self.gain() > 0
    }

    /// What the step adds to the share.
    pub(super) fn gain(&self) -> u32 {
        self.effective.0.saturating_sub(self.base.0)
    }

    /// What the step takes from the share.
    pub(super) fn loss(&self) -> u32 {
        self.base.0.saturating_sub(self.effective.0)
    }

    /// Returns the part of the step that units and headroom let through. A place
    /// whose base already lacks headroom has proven nothing. Where `quiet` says
    /// that the step lasted long, a place that no request fell to has all of it,
    /// since so little traffic is harmless.
    fn passed(&self, quiet: bool) -> u32 {
        let Counts {
            moved,
            denied,
            full,
        } = self.counts;
        let gain = u64::from(self.gain());
        let passed = match moved + denied {
            _ if full > 0 => 0,
            0 if quiet => gain,
            0 => 0,
            tried => gain * moved / tried,
        };
        u32::try_from(passed.min(gain)).unwrap_or_default()
    }
}

/// What happened to the requests of a place since the window began.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    /// Extra requests that the place got.
    pub(super) moved: u64,
    /// Extra requests that it did not get.
    pub(super) denied: u64,
    /// Requests of its base for which its region had no headroom.
    pub(super) full: u64,
}

/// The places of one service and how far their traffic has moved.
#[derive(Clone, Debug)]
pub struct Shift {
    pub(super) tracks: Vec<Track>,
    /// Requests since the window began.
    pub(super) requests: u64,
    revision: Revision,
    since: Millis,
    busy: bool,
    lost: Vec<RegionName>,
}

impl Shift {
    /// Begins with a document. The shares are those that `peers` have proven, or
    /// the document's own if no peer reports any.
    #[must_use]
    pub fn open(
        document: &Document,
        revision: Revision,
        peers: Option<&Progress>,
        now: Millis,
    ) -> Self {
        let mut shift = Self {
            tracks: document.places.iter().cloned().map(Track::new).collect(),
            requests: 0,
            revision,
            since: now,
            busy: false,
            lost: Vec::new(),
        };
        let shares = peers.map_or_else(Vec::new, |p| shift.reported(p));
        shift.restart(&shares, now);
        shift
    }

    /// Takes over a newer document. The move to its weights starts from the
    /// present shares, also in the middle of another move. A place that leaves
    /// or is gone loses its share at once.
    pub fn adopt(&mut self, document: &Document, revision: Revision, now: Millis) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.prove(false);
        let mut former = std::mem::take(&mut self.tracks);
        for place in &document.places {
            let known = former.iter().position(|t| t.place.name == place.name);
            let track = match known.map(|at| former.swap_remove(at)) {
                Some(track) if track.place.region == place.region => Track {
                    place: place.clone(),
                    ..track
                },
                _ => Track::new(place.clone()),
            };
            self.tracks.push(track);
        }
        self.mark_lost();
        self.restart(&self.bases(), now);
    }

    /// Notes that a region is lost or back. The share of a lost one is spread
    /// over the other places at once. One that is back gets its share in steps,
    /// because its places are cold.
    pub fn set_region(&mut self, region: &RegionName, lost: bool, now: Millis) {
        if self.lost.contains(region) == lost {
            return;
        }
        self.lost.retain(|r| r != region);
        if lost {
            self.lost.push(region.clone());
        }
        self.prove(false);
        self.mark_lost();
        self.restart(&self.bases(), now);
    }

    /// Notes an answer of a place.
    pub fn observe(&mut self, place: &PlaceName, latency: Millis, failed: bool) {
        if let Some(track) = self.tracks.iter_mut().find(|t| t.place.name == *place) {
            track.window.observe(latency, failed);
        }
    }

    /// Goes on with the move if it is time. `peers` is the merged report of the
    /// other entries of this round.
    pub fn tick(&mut self, peers: Option<&Progress>, now: Millis) -> Pace {
        if !self.is_moving() {
            self.review(now);
            return Pace::Settled;
        }
        let age = now - self.since;
        if age < DWELL {
            return Pace::Waiting;
        }
        if self.requests == 0 {
            return self.follow(peers, age, now);
        }
        let growing = || self.tracks.iter().filter(|t| t.grows());
        let judged = growing().all(|t| t.window.samples() >= MIN_SAMPLES);
        let tried = growing().any(|t| t.counts.moved + t.counts.denied > 0);
        if age < QUIET && !(judged && tried) {
            return Pace::Waiting;
        }
        if let Some(name) = self.worse_than_before() {
            self.begin_window(now);
            return Pace::Held(name);
        }
        self.step(age >= QUIET, now)
    }

    /// Returns whether shares differ from those of the document.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        self.tracks.iter().any(|t| t.base != t.target)
    }

    /// Returns the revision of the document in effect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the shares, in the order of the document.
    pub fn shares(&self) -> impl Iterator<Item = PlaceShare<'_>> {
        self.tracks.iter().map(|t| PlaceShare {
            name: &t.place.name,
            base: t.base,
            effective: t.effective,
            target: t.target,
        })
    }

    /// Returns what this entry tells its peers.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let level = |t: &Track| Level {
            effective: t.base,
            target: t.target,
        };
        let places = self.tracks.iter().map(|t| (t.place.name.clone(), level(t)));
        Progress {
            revision: self.revision,
            busy: self.busy || self.requests > 0,
            places: places.collect(),
        }
    }

    fn bases(&self) -> Vec<Share> {
        self.tracks.iter().map(|t| t.base).collect()
    }

    fn reported(&self, peers: &Progress) -> Vec<Share> {
        let share = |t: &Track| peers.places.get(&t.place.name).map(|l| l.effective);
        self.tracks
            .iter()
            .map(|t| share(t).unwrap_or_default())
            .collect()
    }

    fn mark_lost(&mut self) {
        for track in &mut self.tracks {
            track.lost = self.lost.contains(&track.place.region);
        }
    }

    /// Makes the part of the step that came through the base, and returns how
    /// much that is.
    fn prove(&mut self, quiet: bool) -> Share {
        let passed: Vec<u32> = self.tracks.iter().map(|t| t.passed(quiet)).collect();
        let total = Share(passed.iter().sum());
        let losses: Vec<u64> = self.tracks.iter().map(|t| t.loss().into()).collect();
        let taken = apportion(total, &losses);
        for ((track, passed), taken) in self.tracks.iter_mut().zip(passed).zip(taken) {
            track.base.0 += passed;
            track.base.0 -= taken.0;
        }
        total
    }

    /// Starts a move from `shares`, which closed places lose.
    fn restart(&mut self, shares: &[Share], now: Millis) {
        self.freeze();
        let weights = self.tracks.iter().map(|t| (t, u64::from(t.place.weight.0)));
        let targets = divide(&open_parts(weights));
        for (track, target) in self.tracks.iter_mut().zip(&targets) {
            track.target = *target;
        }
        let shares = self.tracks.iter().zip(shares);
        let present = divide(&open_parts(shares.map(|(t, s)| (t, u64::from(s.0)))));
        let empty = present.iter().all(|s| s.0 == 0);
        self.set_base(if empty { &targets } else { &present });
        self.begin_step(now);
    }

    /// Takes the health before a move. In the middle of a move it stays what it
    /// was, since the present one includes cold caches.
    fn freeze(&mut self) {
        if !self.is_moving() {
            for track in &mut self.tracks {
                if track.window.samples() >= MIN_SAMPLES {
                    track.before = track.window.health();
                }
            }
        }
    }

    fn set_base(&mut self, shares: &[Share]) {
        for (track, share) in self.tracks.iter_mut().zip(shares) {
            track.base = *share;
        }
    }

    fn step(&mut self, quiet: bool, now: Millis) -> Pace {
        let passed = self.prove(quiet);
        self.begin_step(now);
        match (self.is_moving(), passed) {
            (false, _) => Pace::Finished,
            (true, Share(0)) => Pace::Capped,
            (true, _) => Pace::Stepped,
        }
    }

    /// Sets the effective shares one step beyond the base.
    fn begin_step(&mut self, now: Millis) {
        let (base, target) = (self.bases(), self.targets());
        let rest = distance(&base, &target);
        if rest <= ROUNDING {
            self.set_base(&target);
        }
        let next = blend(&base, &target, STEP.0.into(), rest.max(1).into());
        for (track, share) in self.tracks.iter_mut().zip(next) {
            track.effective = share;
        }
        self.begin_window(now);
    }

    fn targets(&self) -> Vec<Share> {
        self.tracks.iter().map(|t| t.target).collect()
    }

    fn begin_window(&mut self, now: Millis) {
        self.busy = self.requests > 0;
        self.requests = 0;
        self.since = now;
        for track in &mut self.tracks {
            track.window.clear();
            track.counts = Counts::default();
        }
    }

    /// Moves an entry without traffic. It cannot judge the places, so it takes
    /// over what entries with traffic have proven. Otherwise it would be ahead
    /// of them when their callers fall back to it.
    fn follow(&mut self, peers: Option<&Progress>, age: Millis, now: Millis) -> Pace {
        if let Some(peers) = peers.filter(|p| p.busy && p.revision == self.revision) {
            self.restart(&self.reported(peers), now);
            return Pace::Followed;
        }
        if age < QUIET {
            return Pace::Waiting;
        }
        self.step(true, now)
    }

    /// Returns a growing place that answers worse than before.
    fn worse_than_before(&self) -> Option<PlaceName> {
        // A place that is new has no health of its own from before.
        let usual = self
            .tracks
            .iter()
            .filter_map(|t| t.before)
            .reduce(Health::worse);
        let worse = |t: &&Track| match (t.window.health(), t.before.or(usual)) {
            (Some(health), Some(before)) => !health.is_within(before),
            _ => false,
        };
        let mut growing = self.tracks.iter().filter(|t| t.grows());
        growing.find(worse).map(|t| t.place.name.clone())
    }

    /// Takes the health of settled places anew from time to time.
    fn review(&mut self, now: Millis) {
        if now - self.since >= REVIEW {
            self.freeze();
            self.begin_window(now);
        }
    }
}

/// Returns the parts of open places, and zero for the others.
fn open_parts<'a>(parts: impl Iterator<Item = (&'a Track, u64)>) -> Vec<u64> {
    parts
        .map(|(t, part)| if t.is_open() { part } else { 0 })
        .collect()
}
