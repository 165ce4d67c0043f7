//! Chooses the places of a service that may serve a request to this entry.

use rand::Rng;

use super::{
    limits::region_limit,
    service::{Service, free_slots},
};
use crate::{
    domain::{Homes, LimitName, Millis, PlaceName, RegionName, Shards},
    policy::{
        limit::Ledger,
        shift::Shift,
        target::{Choice, Criteria, local_weights},
    },
};

impl Service {
    /// Computes the weights of the places for callers in the region `here`,
    /// from the traffic of each region.
    pub(super) fn compute_local_weights(
        &mut self,
        here: &RegionName,
        demand: &[(RegionName, u32)],
    ) {
        let place = |(name, share): (PlaceName, u32)| {
            let region = self.region(&name)?.clone();
            Some((name, region, share))
        };
        let places: Vec<_> = self.places().into_iter().filter_map(place).collect();
        let weights = local_weights(here, demand, &places);
        let weighted = places.into_iter().zip(weights);
        self.local_weights = weighted
            .map(|((name, region, _), (_, weight))| (name, region, weight))
            .filter(|(_, _, weight)| *weight > 0)
            .collect();
    }

    /// Draws a place within the homes of a request by the local weights. Returns
    /// `None` if there are no local weights or the region of the drawn place has no headroom.
    ///
    /// Also returns `None` while a shift is moving traffic, because the shift
    /// then chooses the place of each request.
    pub(super) fn draw_local_place<R: Rng>(
        &self,
        rng: &mut R,
        homes: Homes<'_>,
        headroom: impl FnOnce(&RegionName) -> bool,
    ) -> Option<PlaceName> {
        if self.shift.as_ref().is_none_or(Shift::is_moving) {
            return None;
        }
        let weights = self.local_weights.iter();
        let mut allowed = weights.filter(|(_, region, _)| homes.contains(region));
        let sum: u32 = allowed.clone().map(|(_, _, w)| w).sum();
        let mut remaining = rng.random_range(0..sum.max(1));
        let drawn = allowed.find(|(_, _, weight)| {
            let is_drawn = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            is_drawn
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
    /// Without this, a request whose own place is leaving or frozen would block
    /// the requests behind it in the queue that could run at other places, and
    /// it would fail together with its place. Only healthy targets are chosen:
    /// one that fails quickly always has free slots and would attract every
    /// request.
    pub(super) fn choose_remote_target<R: Rng>(
        &mut self,
        now: Millis,
        rng: &mut R,
        criteria: &Criteria<'_>,
        homes: Homes<'_>,
        limits: &Shards<LimitName, Ledger>,
    ) -> Option<Choice> {
        let (place, _) = criteria.places.first()?;
        let mut places = self.remote_places(place);
        places.retain(|(name, _)| self.allows(homes, name));
        let criteria = Criteria {
            places: &places,
            extra: true,
            ..*criteria
        };
        let unit = |t, l| free_slots(limits, &self.slot_limits, t, l);
        let choice = self.pool.choose(now, rng, &criteria, unit).ok()?;
        let region = region_limit(self.region(&choice.place)?);
        let admitted = limits.get(&region, |l| l.admit(1, now));
        admitted.unwrap_or(true).then_some(choice)
    }

    /// Returns the places in other regions with their shares. Places whose
    /// share is growing are left out, because the cap on shifts limits what
    /// they get beyond their share.
    pub(super) fn remote_places(&self, place: &PlaceName) -> Vec<(PlaceName, u32)> {
        let region = self.region(place);
        let shares = self.shift.iter().flat_map(Shift::shares);
        shares
            .filter(|s| s.effective.0 <= s.base.0 && s.base.0 > 0)
            .filter(|s| s.name != place && self.region(s.name) != region)
            .map(|s| (s.name.clone(), s.base.0))
            .collect()
    }

    /// Returns the other places in the region of a place, with their shares.
    pub(super) fn same_region_places(&self, place: &PlaceName) -> Vec<(PlaceName, u32)> {
        let Some(doc) = self.doc.document() else {
            return Vec::new();
        };
        let region = doc
            .places
            .iter()
            .find(|p| p.name == *place)
            .map(|p| &p.region);
        let in_region = |name: &PlaceName| {
            let found = doc.places.iter().find(|p| p.name == *name);
            found.is_some_and(|p| Some(&p.region) == region)
        };
        let places = self.places().into_iter();
        places
            .filter(|(name, _)| name != place && in_region(name))
            .collect()
    }

    /// Returns the places with their weights for callers in this region. If
    /// there are no local weights or a shift is moving traffic, returns all
    /// places with their shares.
    pub(super) fn local_places(&self) -> Vec<(PlaceName, u32)> {
        if self.local_weights.is_empty() || self.shift.as_ref().is_none_or(Shift::is_moving) {
            return self.places();
        }
        let weights = self.local_weights.iter();
        weights
            .map(|(name, _, weight)| (name.clone(), *weight))
            .collect()
    }

    /// Returns the places with their base shares.
    pub(super) fn places(&self) -> Vec<(PlaceName, u32)> {
        let shares = self.shift.iter().flat_map(Shift::shares);
        shares.map(|s| (s.name.clone(), s.base.0)).collect()
    }
}
