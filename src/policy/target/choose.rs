//! The choice of a target for one request.

use rand::Rng;

use super::{Pool, State, lane_index, state::Target};
use crate::domain::{Lane, Millis, PlaceName, TargetId};

/// The maximum number of targets of a place that a choice examines.
const TARGETS_MAX: usize = 64;

/// The maximum number of places that one choice tries. It bounds the cost of a
/// choice for services with many places when no units are free.
const PLACES_MAX: usize = 8;

/// The share of its usual traffic that a slow target keeps.
const EXPLORE_SHARE: f64 = 0.05;

/// A target is hot when requests of this entry take this share of its slots.
const HOT_LOAD: f64 = 0.8;

/// The conditions under which a target is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The lane of the request.
    pub lane: Lane,
    /// The places with their effective weights. One is chosen at random by weight;
    /// if none of its targets can take the request, another one is tried. To
    /// restrict the choice to one place, pass only that place.
    pub places: &'a [(PlaceName, u32)],
    /// Targets that must not be chosen, since they run or ran the request.
    pub excluded: &'a [TargetId],
    /// Whether the request is a retry or a hedge, which never goes to a cold,
    /// slow or shedding target.
    pub extra: bool,
    /// Whether the request may go to a slow target to find out whether it has
    /// recovered. Set it only for requests that can be hedged.
    pub explore: bool,
    /// Whether the request may go to an ejected slow target if there is no other,
    /// because it has waited for long.
    pub accept_slow: bool,
}

/// The target that was chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its place.
    pub place: PlaceName,
    /// Its state at the time of the choice.
    pub state: State,
}

/// The reason why no target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChooseError {
    /// No target accepts new work: all are leaving, or no place has weight.
    NoTarget,
    /// There are targets, but none has a free unit for this request now.
    NoUnit,
}

impl Pool {
    /// Chooses a target for a request.
    ///
    /// `free` returns how many more requests of a lane this entry may run at a
    /// target now, given the slot units that it holds.
    ///
    /// # Errors
    ///
    /// Returns [`ChooseError::NoUnit`] if a unit may become free later, and
    /// [`ChooseError::NoTarget`] if waiting cannot help.
    pub fn choose<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        criteria: &Criteria<'_>,
        free: impl Fn(TargetId, Lane) -> u32,
    ) -> Result<Choice, ChooseError> {
        let mut tried = Vec::new();
        let mut error = ChooseError::NoTarget;
        while tried.len() < PLACES_MAX {
            let Some(index) = pick_place(rng, criteria.places, &tried) else {
                break;
            };
            tried.push(index);
            let Some(place_index) = self.place_indexes.get(&criteria.places[index].0).copied()
            else {
                continue;
            };
            self.evaluate(now, place_index);
            match self.choose_in(now, rng, criteria, place_index, &free) {
                Ok(choice) => return Ok(choice),
                Err(ChooseError::NoUnit) => error = ChooseError::NoUnit,
                Err(ChooseError::NoTarget) => {}
            }
        }
        // The places that were not tried may have targets.
        let untried = criteria.places.iter().filter(|(_, w)| *w > 0).count() > tried.len();
        Err(if untried { ChooseError::NoUnit } else { error })
    }

    fn choose_in<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        criteria: &Criteria<'_>,
        place_index: usize,
        free: &impl Fn(TargetId, Lane) -> u32,
    ) -> Result<Choice, ChooseError> {
        let mut candidates = std::mem::take(&mut self.scratch);
        let error = self.collect(now, rng, criteria, place_index, free, &mut candidates);
        let classes = if criteria.accept_slow { 3 } else { 2 };
        let class = candidates[..classes].iter().find(|list| !list.is_empty());
        let best = class.and_then(|list| self.best(now, rng, criteria.lane, list));
        candidates.iter_mut().for_each(Vec::clear);
        self.scratch = candidates;
        let target = &self.targets[best.ok_or(error)?];
        Ok(Choice {
            target: target.id,
            place: self.places[place_index].name.clone(),
            state: target.state(now),
        })
    }

    /// Collects preferred, fallback and last-resort candidates, and returns the
    /// error that applies if none of them is used.
    fn collect<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        criteria: &Criteria<'_>,
        place_index: usize,
        free: &impl Fn(TargetId, Lane) -> u32,
        candidates: &mut [Vec<usize>; 3],
    ) -> ChooseError {
        let mut error = ChooseError::NoTarget;
        let Some(place) = self
            .places
            .get(place_index)
            .filter(|p| !p.targets.is_empty())
        else {
            return error;
        };
        let start = rng.random_range(0..place.targets.len());
        let target_count = f64::from(u32::try_from(place.targets.len()).unwrap_or(u32::MAX));
        for n in 0..place.targets.len().min(TARGETS_MAX) {
            let index = place.targets[(start + n) % place.targets.len()];
            let target = &self.targets[index];
            if target.leaving {
                continue;
            }
            error = ChooseError::NoUnit;
            if criteria.excluded.contains(&target.id)
                || free_slots(target, criteria.lane, free) == 0
            {
                continue;
            }
            match eligibility(target, now, rng, criteria, target_count) {
                Eligibility::Explore => {
                    candidates[0].clear();
                    candidates[0].push(index);
                    return error;
                }
                Eligibility::Preferred => candidates[0].push(index),
                Eligibility::Fallback => candidates[1].push(index),
                Eligibility::LastResort => candidates[2].push(index),
                Eligibility::Excluded => {}
            }
        }
        error
    }

    /// Returns the best among two random candidates and the two with the lowest
    /// latency. The random ones keep the entries from all choosing the same
    /// target.
    fn best<R: Rng>(
        &self,
        now: Millis,
        rng: &mut R,
        lane: Lane,
        candidates: &[usize],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mean_latency = self.mean_latency(lane, candidates);
        let latency =
            |index: usize| self.targets[index].latency[lane_index(lane)].decayed(now, mean_latency);
        let random = [(); 2].map(|()| candidates[rng.random_range(0..candidates.len())]);
        let fast = two_lowest(candidates, latency);
        let compared = random.into_iter().chain(fast.into_iter().flatten());
        let scored = compared.map(|index| {
            let target = &self.targets[index];
            (index, is_hot(target), score(target, now, latency(index)))
        });
        let best = scored.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(index, _, _)| index)
    }

    /// Returns the mean latency of the candidates that have samples. It is the
    /// assumed latency of those that have none. Without any samples, 1 ms is assumed
    /// of all.
    fn mean_latency(&self, lane: Lane, candidates: &[usize]) -> f64 {
        let known = candidates
            .iter()
            .filter_map(|&index| self.targets[index].latency[lane_index(lane)].peak());
        let (sum, count) = known.fold((0.0, 0.0), |(s, n), l| (s + l, n + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }
}

/// Picks a random place by weight among those not yet tried, and returns its
/// index.
fn pick_place<R: Rng>(rng: &mut R, places: &[(PlaceName, u32)], tried: &[usize]) -> Option<usize> {
    let left = places.iter().enumerate();
    let left = left.filter(|(index, (_, weight))| *weight > 0 && !tried.contains(index));
    let total: u64 = left.clone().map(|(_, (_, w))| u64::from(*w)).sum();
    if total == 0 {
        return None;
    }
    let mut pick = rng.random_range(0..total);
    for (index, (_, weight)) in left {
        if pick < u64::from(*weight) {
            return Some(index);
        }
        pick -= u64::from(*weight);
    }
    None
}

/// The order in which targets are considered for a request.
enum Eligibility {
    /// Chosen at once, to find out whether the target has recovered. By its
    /// estimated latency it would never be chosen.
    Explore,
    /// Compared with the other targets of this class.
    Preferred,
    /// Considered if no target is preferred.
    Fallback,
    /// Considered if there is no other target and the request accepts slow ones.
    LastResort,
    /// Not considered.
    Excluded,
}

fn eligibility<R: Rng>(
    target: &Target,
    now: Millis,
    rng: &mut R,
    criteria: &Criteria<'_>,
    target_count: f64,
) -> Eligibility {
    match target.state(now) {
        State::Leaving => Eligibility::Excluded,
        State::Ready => Eligibility::Preferred,
        State::Cold | State::Slow if criteria.extra => Eligibility::Excluded,
        State::Cold if rng.random_bool(target.traffic_share()) => Eligibility::Preferred,
        State::Shedding if target.ejected || criteria.extra => Eligibility::Excluded,
        State::Cold | State::Shedding => Eligibility::Fallback,
        State::Slow if !target.ejected => Eligibility::Fallback,
        State::Slow if criteria.explore && rng.random_bool(EXPLORE_SHARE / target_count) => {
            Eligibility::Explore
        }
        State::Slow => Eligibility::LastResort,
    }
}

/// Returns how many more requests of the lane a target may take from this entry.
fn free_slots(target: &Target, lane: Lane, free: &impl Fn(TargetId, Lane) -> u32) -> u32 {
    let slots = usable_slots(target);
    let mut left = slots.saturating_sub(target.in_flight());
    if lane == Lane::Long {
        // One slot of each target is reserved for short work.
        let long_max = target.slots.saturating_sub(1).max(1);
        left = left.min(long_max.saturating_sub(target.running[lane_index(lane)]));
    }
    if left == 0 {
        return 0;
    }
    left.min(free(target.id, lane))
}

/// Returns how many slots of a target may be used. A cold target starts with a
/// few, and gets more as its ramp advances.
fn usable_slots(target: &Target) -> u32 {
    if target.ramp >= 1.0 {
        return target.slots;
    }
    let slots = f64::from(target.slots) * target.traffic_share();
    // The product is positive and at most the slot count.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = slots.ceil() as u32;
    slots.max(1)
}

fn is_hot(target: &Target) -> bool {
    f64::from(target.in_flight()) >= HOT_LOAD * f64::from(target.slots)
}

/// Returns the rank of a target among candidates; the lowest one is chosen.
fn score(target: &Target, now: Millis, latency: f64) -> f64 {
    let load = f64::from(target.in_flight() + 1) / f64::from(target.slots.max(1));
    latency * load * target.load_penalty(now)
}

fn two_lowest(candidates: &[usize], latency: impl Fn(usize) -> f64) -> [Option<usize>; 2] {
    let mut lowest: [Option<(usize, f64)>; 2] = [None; 2];
    for &index in candidates {
        let value = latency(index);
        if lowest[0].is_none_or(|(_, l)| value < l) {
            lowest = [Some((index, value)), lowest[0]];
        } else if lowest[1].is_none_or(|(_, l)| value < l) {
            lowest[1] = Some((index, value));
        }
    }
    lowest.map(|l| l.map(|(index, _)| index))
}
