//! One choice among the targets of a place.

use rand::Rng;

use super::{Pool, State, slot, state::Target};
use crate::domain::{Lane, Millis, PlaceName, TargetId};

/// How many targets of a place a choice looks at.
const WINDOW: usize = 64;

/// How many places are drawn for one choice. The bound keeps a choice cheap for
/// services with many places when no units are free.
const DRAWS: usize = 8;

/// The part of its usual traffic that a slow target keeps.
const EXPLORE: f64 = 0.05;

/// A target is hot when this part of its slots runs this entry's own work.
const HOT: f64 = 0.8;

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The expected length of the request.
    pub lane: Lane,
    /// The places with their effective weights. One is drawn by weight; if none
    /// of its targets can take the request, another one is drawn. A caller that
    /// must not leave a place passes only that one.
    pub places: &'a [(PlaceName, u32)],
    /// Targets that already run or ran the request.
    pub avoid: &'a [TargetId],
    /// Whether it is a retry or a hedge, which never goes to a cold or slow
    /// target.
    pub extra: bool,
    /// Whether the request may go to a slow target to see if it has recovered.
    /// It should be set only for requests that can be hedged.
    pub explore: bool,
    /// Whether the request has waited long enough to accept a slow target.
    pub pressed: bool,
}

/// The target that is to run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its place.
    pub place: PlaceName,
    /// How it was treated when it was chosen.
    pub state: State,
}

/// Why there was no choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Miss {
    /// No target may take work: all leave, or no place has weight.
    NoTarget,
    /// Targets exist, but none has a free unit for this request now.
    NoUnit,
}

impl Pool {
    /// Chooses a target for a request.
    ///
    /// `free` says how many more requests of a lane this entry may run at a
    /// target now, given the slot units it holds.
    ///
    /// # Errors
    ///
    /// A [`Miss`] says whether waiting for a free unit can help.
    pub fn choose<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ask: &Ask<'_>,
        free: impl Fn(TargetId, Lane) -> u32,
    ) -> Result<Choice, Miss> {
        let mut tried = Vec::new();
        let mut miss = Miss::NoTarget;
        while tried.len() < DRAWS {
            let Some(at) = draw(rng, ask.places, &tried) else {
                break;
            };
            tried.push(at);
            let Some(site) = self.names.get(&ask.places[at].0).copied() else {
                continue;
            };
            self.judge(now, site);
            match self.choose_in(now, rng, ask, site, &free) {
                Ok(choice) => return Ok(choice),
                Err(Miss::NoUnit) => miss = Miss::NoUnit,
                Err(Miss::NoTarget) => {}
            }
        }
        // Places that were not drawn may have targets.
        let untried = ask.places.iter().filter(|(_, w)| *w > 0).count() > tried.len();
        Err(if untried { Miss::NoUnit } else { miss })
    }

    fn choose_in<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ask: &Ask<'_>,
        site: usize,
        free: &impl Fn(TargetId, Lane) -> u32,
    ) -> Result<Choice, Miss> {
        let mut found = std::mem::take(&mut self.scratch);
        let miss = self.collect(now, rng, ask, site, free, &mut found);
        let last = if ask.pressed { 3 } else { 2 };
        let few = found[..last].iter().find(|list| !list.is_empty());
        let best = few.and_then(|list| self.best(now, rng, ask.lane, list));
        found.iter_mut().for_each(Vec::clear);
        self.scratch = found;
        let target = &self.targets[best.ok_or(miss)?];
        Ok(Choice {
            target: target.id,
            place: self.sites[site].name.clone(),
            state: target.state(now),
        })
    }

    /// Collects candidates, spare ones and last ones, and returns what it means
    /// if there are none.
    fn collect<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        ask: &Ask<'_>,
        site: usize,
        free: &impl Fn(TargetId, Lane) -> u32,
        found: &mut [Vec<usize>; 3],
    ) -> Miss {
        let mut miss = Miss::NoTarget;
        let Some(site) = self.sites.get(site).filter(|s| !s.members.is_empty()) else {
            return miss;
        };
        let start = rng.random_range(0..site.members.len());
        let peers = f64::from(u32::try_from(site.members.len()).unwrap_or(u32::MAX));
        for n in 0..site.members.len().min(WINDOW) {
            let at = site.members[(start + n) % site.members.len()];
            let target = &self.targets[at];
            if target.leaving {
                continue;
            }
            miss = Miss::NoUnit;
            if ask.avoid.contains(&target.id) || usable(target, ask.lane, free) == 0 {
                continue;
            }
            match fitness(target, now, rng, ask, peers) {
                Fitness::Explore => {
                    found[0].clear();
                    found[0].push(at);
                    return miss;
                }
                Fitness::Good => found[0].push(at),
                Fitness::Spare => found[1].push(at),
                Fitness::Last => found[2].push(at),
                Fitness::Never => {}
            }
        }
        miss
    }

    /// Returns the best of two random candidates and the two with the lowest
    /// latency. Random ones keep entries from all choosing the same target.
    fn best<R: Rng>(&self, now: Millis, rng: &mut R, lane: Lane, found: &[usize]) -> Option<usize> {
        if found.is_empty() {
            return None;
        }
        let usual = self.usual(lane, found);
        let latency = |at: usize| self.targets[at].latency[slot(lane)].faded(now, usual);
        let random = [(); 2].map(|()| found[rng.random_range(0..found.len())]);
        let fast = two_lowest(found, latency);
        let few = random.into_iter().chain(fast.into_iter().flatten());
        let rated = few.map(|at| {
            let target = &self.targets[at];
            (at, hot(target), score(target, now, latency(at)))
        });
        let best = rated.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(at, _, _)| at)
    }

    /// Returns the mean latency of the candidates, which a target without
    /// samples is assumed to have.
    fn usual(&self, lane: Lane, found: &[usize]) -> f64 {
        let known = found
            .iter()
            .filter_map(|&at| self.targets[at].latency[slot(lane)].peak());
        let (sum, count) = known.fold((0.0, 0.0), |(s, n), l| (s + l, n + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }
}

/// Draws a place by weight among those not yet tried.
fn draw<R: Rng>(rng: &mut R, places: &[(PlaceName, u32)], tried: &[usize]) -> Option<usize> {
    let left = places.iter().enumerate();
    let left = left.filter(|(at, (_, weight))| *weight > 0 && !tried.contains(at));
    let total: u64 = left.clone().map(|(_, (_, w))| u64::from(*w)).sum();
    if total == 0 {
        return None;
    }
    let mut pick = rng.random_range(0..total);
    for (at, (_, weight)) in left {
        if pick < u64::from(*weight) {
            return Some(at);
        }
        pick -= u64::from(*weight);
    }
    None
}

/// How readily a target takes a request.
enum Fitness {
    /// It is used at once, to see if it has recovered. Its estimated latency
    /// would otherwise always lose against the candidates.
    Explore,
    /// It is a candidate.
    Good,
    /// It is used when there is no candidate.
    Spare,
    /// It is used when there is no candidate and the request is pressed.
    Last,
    /// It is not used.
    Never,
}

fn fitness<R: Rng>(
    target: &Target,
    now: Millis,
    rng: &mut R,
    ask: &Ask<'_>,
    peers: f64,
) -> Fitness {
    match target.state(now) {
        State::Leaving => Fitness::Never,
        State::Ready => Fitness::Good,
        State::Cold | State::Slow if ask.extra => Fitness::Never,
        State::Cold if rng.random_bool(target.part()) => Fitness::Good,
        State::Shedding if target.ejected || ask.extra => Fitness::Never,
        State::Cold | State::Shedding => Fitness::Spare,
        State::Slow if !target.ejected => Fitness::Spare,
        State::Slow if ask.explore && rng.random_bool(EXPLORE / peers) => Fitness::Explore,
        State::Slow => Fitness::Last,
    }
}

/// Returns how many more requests of the lane a target may take.
fn usable(target: &Target, lane: Lane, free: &impl Fn(TargetId, Lane) -> u32) -> u32 {
    let most = capacity(target);
    let mut room = most.saturating_sub(target.in_flight());
    if lane == Lane::Long {
        // One slot of each target is kept for short work.
        let long = target.slots.saturating_sub(1).max(1);
        room = room.min(long.saturating_sub(target.running[slot(lane)]));
    }
    if room == 0 {
        return 0;
    }
    room.min(free(target.id, lane))
}

/// Returns the slots that a target may use; a cold one gets them step by step.
fn capacity(target: &Target) -> u32 {
    if target.warmth >= 1.0 {
        return target.slots;
    }
    let part = f64::from(target.slots) * target.part();
    // The product is positive and at most the slot count.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part.ceil() as u32;
    part.max(1)
}

fn hot(target: &Target) -> bool {
    f64::from(target.in_flight()) >= HOT * f64::from(target.slots)
}

fn score(target: &Target, now: Millis, latency: f64) -> f64 {
    let load = f64::from(target.in_flight() + 1) / f64::from(target.slots.max(1));
    latency * load * target.penalty(now)
}

fn two_lowest(found: &[usize], latency: impl Fn(usize) -> f64) -> [Option<usize>; 2] {
    let mut low: [Option<(usize, f64)>; 2] = [None; 2];
    for &at in found {
        let this = latency(at);
        if low[0].is_none_or(|(_, l)| this < l) {
            low = [Some((at, this)), low[0]];
        } else if low[1].is_none_or(|(_, l)| this < l) {
            low[1] = Some((at, this));
        }
    }
    low.map(|l| l.map(|(at, _)| at))
}
