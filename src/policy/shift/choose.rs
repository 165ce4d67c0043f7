//! Chooses the place of a request during a shift.

use rand::Rng;

use super::{Share, Shift, state::TrackedPlace};
use crate::{
    domain::{Millis, Place, RegionName},
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
        mut take_unit: impl FnMut() -> bool,
        mut take_headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<&Place, Refusal> {
        self.requests += 1;
        let Some(origin) = self.choose_origin(rng) else {
            return Err(Refusal::not_run(
                Code::NoTarget,
                "choose a place: no place of the service accepts requests",
            ));
        };
        let at = if let Some(preferred) = self.choose_destination(origin, rng)
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
    fn choose_origin(&self, rng: &mut impl Rng) -> Option<usize> {
        let shares = self.places.iter().map(|p| p.base.0);
        share_at(shares, rng.random_range(0..Share::WHOLE.0))
    }

    /// Decides whether a request moves away from `origin`, and returns the
    /// growing place it moves to.
    fn choose_destination(&self, origin: usize, rng: &mut impl Rng) -> Option<usize> {
        let tracked = &self.places[origin];
        let loss = tracked.loss();
        if loss == 0 || rng.random_range(0..tracked.base.0) >= loss {
            return None;
        }
        let gains = || self.places.iter().map(TrackedPlace::gain);
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
