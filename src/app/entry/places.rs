//! Which places of a service may serve a request that arrives here.

use rand::Rng;

use super::{
    limits::region_limit,
    service::{Service, free},
};
use crate::{
    domain::{LimitName, Millis, PlaceName, RegionName, Shards},
    policy::{
        limit::Ledger,
        shift::Shift,
        target::{Choice, Criteria, local_weights},
    },
};

impl Service {
    /// Computes the weights for callers of the region `here`, given the traffic
    /// of each region.
    pub(super) fn localize(&mut self, here: &RegionName, demand: &[(RegionName, u32)]) {
        let place = |(name, share): (PlaceName, u32)| {
            let region = self.region(&name)?.clone();
            Some((name, region, share))
        };
        let places: Vec<_> = self.places().into_iter().filter_map(place).collect();
        let weights = local_weights(here, demand, &places);
        let weighted = places.into_iter().zip(weights);
        self.local = weighted
            .map(|((name, region, _), (_, weight))| (name, region, weight))
            .filter(|(_, _, weight)| *weight > 0)
            .collect();
    }

    /// Draws a place near this entry's region, if its region has headroom.
    ///
    /// While traffic moves it returns none, because then the shift decides for
    /// each request whether it moves.
    pub(super) fn local_place<R: Rng>(
        &self,
        rng: &mut R,
        headroom: impl FnOnce(&RegionName) -> bool,
    ) -> Option<PlaceName> {
        if self.shift.as_ref().is_none_or(Shift::is_moving) {
            return None;
        }
        let sum: u32 = self.local.iter().map(|(_, _, w)| w).sum();
        let mut at = rng.random_range(0..sum.max(1));
        let drawn = self.local.iter().find(|(_, _, weight)| {
            let hit = at < *weight;
            at = at.saturating_sub(*weight);
            hit
        });
        let (name, region, _) = drawn?;
        headroom(region).then(|| name.clone())
    }

    /// Returns the region of a place.
    #[must_use]
    pub fn region(&self, place: &PlaceName) -> Option<&RegionName> {
        let doc = self.doc.document()?;
        let found = doc.places.iter().find(|p| p.name == *place);
        found.map(|p| &p.region)
    }

    /// Chooses a target in another region within that region's headroom.
    ///
    /// One request must not hold up all that wait behind it for other places,
    /// for example because its own place leaves or is frozen, and it need not
    /// fail because its own place does. Only targets that work well are chosen:
    /// one that fails quickly always has free slots and would attract all.
    pub(super) fn choose_elsewhere<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        ask: &Criteria<'_>,
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<Choice> {
        let (place, _) = ask.places.first()?;
        let places = self.elsewhere(place);
        let ask = Criteria {
            places: &places,
            extra: true,
            ..*ask
        };
        let unit = |t, l| free(limits, &self.slots, t, l);
        let choice = self.pool.choose(now, rng, &ask, unit).ok()?;
        let region = region_limit(self.region(&choice.place)?);
        let admitted = limits.get(&region, |l| l.admit(1, now));
        admitted.unwrap_or(true).then_some(choice)
    }

    /// Returns the places in other regions with their shares. Growing ones are
    /// left out, because what they get beyond their share needs the shift's cap.
    pub(super) fn elsewhere(&self, place: &PlaceName) -> Vec<(PlaceName, u32)> {
        let region = self.region(place);
        let shares = self.shift.iter().flat_map(Shift::shares);
        shares
            .filter(|s| s.effective.0 <= s.base.0 && s.base.0 > 0)
            .filter(|s| s.name != place && self.region(s.name) != region)
            .map(|s| (s.name.clone(), s.base.0))
            .collect()
    }

    /// Returns the other places in the region of a place, with their shares.
    pub(super) fn neighbours(&self, place: &PlaceName) -> Vec<(PlaceName, u32)> {
        let Some(doc) = self.doc.document() else {
            return Vec::new();
        };
        let region = doc
            .places
            .iter()
            .find(|p| p.name == *place)
            .map(|p| &p.region);
        let near = |name: &PlaceName| {
            let found = doc.places.iter().find(|p| p.name == *name);
            found.is_some_and(|p| Some(&p.region) == region)
        };
        let places = self.places().into_iter();
        places
            .filter(|(name, _)| name != place && near(name))
            .collect()
    }

    /// Returns the places for callers of this region, or all while traffic moves.
    pub(super) fn near_places(&self) -> Vec<(PlaceName, u32)> {
        if self.local.is_empty() || self.shift.as_ref().is_none_or(Shift::is_moving) {
            return self.places();
        }
        let near = self.local.iter();
        near.map(|(name, _, weight)| (name.clone(), *weight))
            .collect()
    }

    /// Returns the places with the shares that are proven.
    pub(super) fn places(&self) -> Vec<(PlaceName, u32)> {
        let shares = self.shift.iter().flat_map(Shift::shares);
        shares.map(|s| (s.name.clone(), s.base.0)).collect()
    }
}
