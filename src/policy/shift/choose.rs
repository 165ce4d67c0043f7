//! The place of one request.

use rand::Rng;

use super::{Share, Shift, state::Track};
use crate::{
    domain::{Millis, Place, RegionName},
    policy::refusal::{Code, Refusal},
};

/// When a caller may try again after a region had no headroom. Headroom is
/// counted in requests a second.
const RETRY: Millis = Millis(1_000);

impl Shift {
    /// Chooses the place of a request.
    ///
    /// `unit` takes a unit of the shift's cap and `headroom` one of a region;
    /// both return whether there was one. A request that finds no headroom in
    /// its own region goes to another place that has traffic already.
    ///
    /// # Errors
    ///
    /// Refuses with `not-run` if no place may take requests, or if no region has
    /// headroom.
    pub fn choose_place(
        &mut self,
        rng: &mut impl Rng,
        mut unit: impl FnMut() -> bool,
        mut headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<&Place, Refusal> {
        self.requests += 1;
        let Some(former) = self.former(rng) else {
            return Err(Refusal::not_run(
                Code::NoTarget,
                "choose a place: none takes requests",
            ));
        };
        let at = if let Some(next) = self.destination(former, rng)
            && let Some(next) = self.extra(next, &mut unit, &mut headroom)
        {
            next
        } else if headroom(&self.tracks[former].place.region) {
            former
        } else {
            self.tracks[former].counts.full += 1;
            self.overflow(former, rng, headroom)?
        };
        Ok(&self.tracks[at].place)
    }

    /// Chooses by the proven shares.
    fn former(&self, rng: &mut impl Rng) -> Option<usize> {
        let shares = self.tracks.iter().map(|t| t.base.0);
        pick(shares, rng.random_range(0..Share::WHOLE.0))
    }

    /// Chooses whether and where to move a request of a shrinking place.
    fn destination(&self, former: usize, rng: &mut impl Rng) -> Option<usize> {
        let track = &self.tracks[former];
        let loss = track.loss();
        if loss == 0 || rng.random_range(0..track.base.0) >= loss {
            return None;
        }
        let gains = || self.tracks.iter().map(Track::gain);
        pick(gains(), rng.random_range(0..gains().sum::<u32>().max(1)))
    }

    /// Takes a unit for an extra request. If the place at `next` has no headroom,
    /// another growing place may have the unit, so that a full region does not
    /// use up the cap of the others.
    fn extra(
        &mut self,
        next: usize,
        unit: &mut impl FnMut() -> bool,
        headroom: &mut impl FnMut(&RegionName) -> bool,
    ) -> Option<usize> {
        let count = self.tracks.len();
        // The unit comes first: a lost unit only delays the move, while lost
        // headroom is missing to other requests.
        let mut fits = |t: &Track| t.grows() && headroom(&t.place.region);
        let mut places = (next..next + count).map(|at| at % count);
        let found = unit()
            .then(|| places.find(|at| fits(&self.tracks[*at])))
            .flatten();
        if found != Some(next) {
            self.tracks[next].counts.denied += 1;
        }
        if let Some(at) = found {
            self.tracks[at].counts.moved += 1;
        }
        found
    }

    /// Chooses a place in another region, since the former one is full. A random
    /// start spreads the overflow. Growing places are left out, because what they
    /// get beyond their base is extra.
    fn overflow(
        &self,
        former: usize,
        rng: &mut impl Rng,
        mut headroom: impl FnMut(&RegionName) -> bool,
    ) -> Result<usize, Refusal> {
        let count = self.tracks.len();
        let start = rng.random_range(0..count);
        let full = &self.tracks[former].place.region;
        let mut others = (start..start + count).map(|at| at % count);
        let found = others.find(|at| {
            let track = &self.tracks[*at];
            let fits = track.base.0 > 0 && !track.grows() && track.place.region != *full;
            fits && headroom(&track.place.region)
        });
        found.ok_or_else(|| self.full(former))
    }

    fn full(&self, former: usize) -> Refusal {
        let Place { name, region, .. } = &self.tracks[former].place;
        let detail = format!("choose a place: region {region} of {name} and all others are full");
        Refusal::not_run(Code::LimitReached, detail).retry_after(RETRY)
    }
}

/// Returns the position of the share into which `at` falls.
fn pick(shares: impl Iterator<Item = u32>, mut at: u32) -> Option<usize> {
    for (position, share) in shares.enumerate() {
        if at < share {
            return Some(position);
        }
        at -= share;
    }
    None
}
