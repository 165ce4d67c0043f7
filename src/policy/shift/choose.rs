//! Chooses the place of a request during a shift.

use rand::Rng;

use super::{Share, Shift, state::TrackedPlace};
use crate::{
    domain::{Homes, Millis, Place, RegionName},
    policy::refusal::{Code, Refusal},
};

/// When a caller may retry after all regions were out of headroom. Headroom is
/// counted in requests per second, so it is available again after a second.
const RETRY_AFTER: Millis = Millis(1_000);

impl Shift {
    /// Chooses the place of a request.
    ///
    /// `take_unit` takes a unit of the shift's cap and `take_headroom` a unit
    /// of a region's headroom; both return whether one was available. A request
    /// whose own region is out of headroom goes to a place of another region
    /// that has a base share.
    ///
    /// # Errors
    ///
    /// Refuses with `not-run` if no place accepts requests, or if no region has
    /// headroom.
    pub fn choose_place(
        &mut self,
        rng: &mut impl Rng,
        take_unit: impl FnMut() -> bool,
        take_headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<&Place, Refusal> {
        self.choose_home(rng, Homes::default(), take_unit, take_headroom)
    }

    /// Chooses the place of a request as [`choose_place`](Self::choose_place) does, but
    /// only within its homes.
    ///
    /// # Errors
    ///
    /// Refuses with `not-run` if no place within the homes accepts requests, or if none
    /// of their regions has headroom.
    pub fn choose_home(
        &mut self,
        rng: &mut impl Rng,
        homes: Homes<'_>,
        mut take_unit: impl FnMut() -> bool,
        take_headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<&Place, Refusal> {
        self.requests += 1;
        let mut take_headroom = homes_only(homes, take_headroom);
        let Some(origin) = self.choose_origin(rng, homes) else {
            return self.choose_growing_home(homes, &mut take_unit, &mut take_headroom);
        };
        let at = if let Some(preferred) = self.choose_destination(origin, rng, homes)
            && let Some(destination) =
                self.admit_extra(preferred, &mut take_unit, &mut take_headroom)
        {
            destination
        } else if take_headroom(&self.places[origin].place.region) {
            origin
        } else {
            self.places[origin].counts.no_headroom += 1;
            self.choose_overflow(origin, rng, take_headroom)?
        };
        Ok(&self.places[at].place)
    }

    /// Chooses a place by the base shares.
    fn choose_origin(&self, rng: &mut impl Rng, homes: Homes<'_>) -> Option<usize> {
        let share = |p: &TrackedPlace| {
            if homes.contains(&p.place.region) {
                p.base.0
            } else {
                0
            }
        };
        let shares = self.places.iter().map(share);
        let sum = if homes.is_unbound() {
            Share::WHOLE.0
        } else {
            shares.clone().sum()
        };
        share_at(shares, rng.random_range(0..sum.max(1)))
    }

    /// Chooses a growing place for a request none of whose homes has a base share yet.
    fn choose_growing_home(
        &mut self,
        homes: Homes<'_>,
        take_unit: &mut impl FnMut() -> bool,
        take_headroom: &mut impl FnMut(&RegionName) -> bool,
    ) -> Result<&Place, Refusal> {
        let grows = |p: &TrackedPlace| p.grows() && homes.contains(&p.place.region);
        let preferred = self.places.iter().position(grows);
        let Some(preferred) = preferred.filter(|_| !homes.is_unbound()) else {
            let place = if homes.is_unbound() {
                "place of the service"
            } else {
                "place in the homes of the workspace"
            };
            let detail = format!("choose a place: no {place} accepts requests");
            return Err(Refusal::not_run(Code::NoTarget, detail));
        };
        match self.admit_extra(preferred, take_unit, take_headroom) {
            Some(at) => Ok(&self.places[at].place),
            None => Err(self.refuse_without_headroom(preferred)),
        }
    }

    /// Decides whether a request moves away from `origin`, and returns the
    /// growing place it moves to.
    fn choose_destination(
        &self,
        origin: usize,
        rng: &mut impl Rng,
        homes: Homes<'_>,
    ) -> Option<usize> {
        let tracked = &self.places[origin];
        let loss = tracked.loss();
        if loss == 0 || rng.random_range(0..tracked.base.0) >= loss {
            return None;
        }
        let gain = |p: &TrackedPlace| {
            if homes.contains(&p.place.region) {
                p.gain()
            } else {
                0
            }
        };
        let gains = || self.places.iter().map(gain);
        share_at(gains(), rng.random_range(0..gains().sum::<u32>().max(1)))
    }

    /// Takes a unit for an extra request and returns the growing place that
    /// gets the request. If the region of the `preferred` place has no
    /// headroom, another growing place is used, so that a full region does not
    /// use up the units of the others.
    fn admit_extra(
        &mut self,
        preferred: usize,
        take_unit: &mut impl FnMut() -> bool,
        take_headroom: &mut impl FnMut(&RegionName) -> bool,
    ) -> Option<usize> {
        let count = self.places.len();
        // The unit is taken before the headroom: an unused unit only delays the
        // move, while unused headroom would be missing for other requests.
        let mut admits = |p: &TrackedPlace| p.grows() && take_headroom(&p.place.region);
        let mut candidates = (preferred..preferred + count).map(|at| at % count);
        let found = take_unit()
            .then(|| candidates.find(|at| admits(&self.places[*at])))
            .flatten();
        if found != Some(preferred) {
            self.places[preferred].counts.denied += 1;
        }
        if let Some(at) = found {
            self.places[at].counts.moved += 1;
        }
        found
    }

    /// Chooses a place in another region for a request whose own region has no
    /// headroom. The search starts at a random place to spread the overflow.
    /// Growing places are skipped, because whatever they get beyond their base
    /// share needs a unit.
    fn choose_overflow(
        &self,
        origin: usize,
        rng: &mut impl Rng,
        mut take_headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<usize, Refusal> {
        let count = self.places.len();
        let start = rng.random_range(0..count);
        let full_region = &self.places[origin].place.region;
        let mut candidates = (start..start + count).map(|at| at % count);
        let found = candidates.find(|at| {
            let tracked = &self.places[*at];
            let eligible =
                tracked.base.0 > 0 && !tracked.grows() && tracked.place.region != *full_region;
            eligible && take_headroom(&tracked.place.region)
        });
        found.ok_or_else(|| self.refuse_without_headroom(origin))
    }

    fn refuse_without_headroom(&self, origin: usize) -> Refusal {
        let Place { name, region, .. } = &self.places[origin].place;
        let detail = format!(
            "choose a place: neither region {region} of {name} nor any other region has headroom"
        );
        Refusal::not_run(Code::LimitReached, detail).retry_after(RETRY_AFTER)
    }
}

/// Restricts the regions with headroom to the homes of a request.
fn homes_only<'a>(
    homes: Homes<'a>,
    mut take_headroom: impl FnMut(&RegionName) -> bool + 'a,
) -> impl FnMut(&RegionName) -> bool + 'a {
    move |region| homes.contains(region) && take_headroom(region)
}

/// Returns the index of the share that contains `offset`, with the shares laid
/// end to end.
fn share_at(shares: impl Iterator<Item = u32>, mut offset: u32) -> Option<usize> {
    for (index, share) in shares.enumerate() {
        if offset < share {
            return Some(index);
        }
        offset -= share;
    }
    None
}
