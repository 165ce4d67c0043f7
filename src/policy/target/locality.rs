//! Place weights that keep traffic within its region where possible.

use std::collections::BTreeMap;

use crate::domain::{PlaceName, RegionName};

/// The sum of the weights that [`local_weights`] returns for a region with
/// demand, apart from rounding.
const WEIGHT_SUM: f64 = 1_000_000.0;

/// Returns the place weights for entries of the region `here`, so that traffic
/// crosses regions only where the configured weights require it.
///
/// Choosing places by configured weight alone would send most requests to other
/// regions, and their slot units would be held for the round trip in addition to
/// the work. Instead, each region first uses its own places. Traffic beyond their
/// weight goes to the regions whose weight exceeds their demand, in proportion to
/// the excess. Over all regions, each place still gets the share of the traffic
/// that its weight stands for.
///
/// `demand` is the traffic per region, in any unit; a region that is not listed
/// has none. If the region `here` has none, the configured weights are returned.
/// Wrong figures distort the shares of the places, so the caller should smooth
/// the demand.
#[must_use]
pub fn local_weights(
    here: &RegionName,
    demand: &[(RegionName, u32)],
    places: &[(PlaceName, RegionName, u32)],
) -> Vec<(PlaceName, u32)> {
    let shares = region_shares(demand, places);
    let spare_sum: f64 = shares.values().map(RegionShare::spare_capacity).sum();
    let Some(home) = shares.get(here).filter(|s| s.demand_share > 0.0) else {
        return places.iter().map(|(p, _, w)| (p.clone(), *w)).collect();
    };
    let excess = (home.demand_share - home.weight_share).max(0.0);
    let local_weight = |(place, region, w): &(PlaceName, RegionName, u32)| {
        let Some(share) = shares.get(region).filter(|s| s.weight_sum > 0.0) else {
            return (place.clone(), 0);
        };
        let kept = if region == here {
            home.demand_share - excess
        } else {
            0.0
        };
        let sent = if spare_sum > 0.0 {
            excess * share.spare_capacity() / spare_sum
        } else {
            0.0
        };
        let place_share = f64::from(*w) / share.weight_sum;
        (
            place.clone(),
            round((kept + sent) / home.demand_share * place_share * WEIGHT_SUM),
        )
    };
    places.iter().map(local_weight).collect()
}

/// The weight and the demand of a region relative to all regions.
#[derive(Clone, Copy, Debug, Default)]
struct RegionShare {
    /// The sum of the weights of its places.
    weight_sum: f64,
    /// The share of its places in the sum of all weights, from 0 to 1.
    weight_share: f64,
    /// Its share of the traffic, from 0 to 1.
    demand_share: f64,
}

impl RegionShare {
    /// Returns the share of all traffic that it can take from other regions.
    fn spare_capacity(&self) -> f64 {
        (self.weight_share - self.demand_share).max(0.0)
    }
}

fn region_shares<'a>(
    demand: &'a [(RegionName, u32)],
    places: &'a [(PlaceName, RegionName, u32)],
) -> BTreeMap<&'a RegionName, RegionShare> {
    let weight_sum: f64 = places.iter().map(|(_, _, w)| f64::from(*w)).sum();
    let demand_sum: f64 = demand.iter().map(|(_, d)| f64::from(*d)).sum();
    let mut shares: BTreeMap<&RegionName, RegionShare> = BTreeMap::new();
    for (_, region, w) in places {
        let share = shares.entry(region).or_default();
        share.weight_sum += f64::from(*w);
        share.weight_share += f64::from(*w) / weight_sum.max(1.0);
    }
    for (region, d) in demand {
        let share = shares.entry(region).or_default();
        share.demand_share += f64::from(*d) / demand_sum.max(1.0);
    }
    shares
}

// The values are finite, not negative and at most `WEIGHT_SUM`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(n: f64) -> u32 {
    n.round() as u32
}
