//! The place of one request.

use rand::Rng;

use super::{Share, Shift};
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
        self.counts.requests += 1;
        let Some(former) = self.former(rng) else {
            return Err(Refusal::not_run(
                Code::NoTarget,
                "choose a place: none takes requests",
            ));
        };
        let next = self.destination(former, rng);
        if let Some(next) = next {
            // The unit comes first: a lost unit only delays the move.
            if unit() && headroom(&self.tracks[next].place.region) {
                self.counts.moved += 1;
                return Ok(&self.tracks[next].place);
            }
            self.counts.denied += 1;
        }
        if headroom(&self.tracks[former].place.region) {
            return Ok(&self.tracks[former].place);
        }
        match self.overflow(former, rng, unit, headroom) {
            Some(at) => Ok(&self.tracks[at].place),
            None => Err(self.full(former)),
        }
    }

    /// Chooses by the proven shares.
    fn former(&self, rng: &mut impl Rng) -> Option<usize> {
        let shares = self.tracks.iter().map(|t| t.base.0);
        pick(shares, rng.random_range(0..Share::WHOLE.0))
    }

    /// Chooses whether and where to move a request of a shrinking place.
    fn destination(&self, former: usize, rng: &mut impl Rng) -> Option<usize> {
        let track = &self.tracks[former];
        let shrink = track.base.0.saturating_sub(track.effective.0);
        if shrink == 0 || rng.random_range(0..track.base.0) >= shrink {
            return None;
        }
        let gain = |at: &super::state::Track| at.effective.0.saturating_sub(at.base.0);
        let total: u32 = self.tracks.iter().map(gain).sum();
        pick(
            self.tracks.iter().map(gain),
            rng.random_range(0..total.max(1)),
        )
    }

    /// Chooses a place in another region, since the former one is full. A random
    /// start spreads the overflow. A growing place needs a unit, because what it
    /// gets beyond its base is extra.
    fn overflow(
        &self,
        former: usize,
        rng: &mut impl Rng,
        mut unit: impl FnMut() -> bool,
        mut headroom: impl FnMut(&RegionName) -> bool,
    ) -> Option<usize> {
        let count = self.tracks.len();
        let start = rng.random_range(0..count);
        let full = &self.tracks[former].place.region;
        let mut others = (start..start + count).map(|at| at % count);
        others.find(|at| {
            let track = &self.tracks[*at];
            let fits = track.base.0 > 0 && track.place.region != *full;
            fits && (!track.grows() || unit()) && headroom(&track.place.region)
        })
    }

    fn full(&self, former: usize) -> Refusal {
        let Place { name, region, .. } = &self.tracks[former].place;
        let detail = format!("choose a place: region {region} of {name} and all others are full");
        Refusal::not_run(Code::Limited, detail).retry_after(RETRY)
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
