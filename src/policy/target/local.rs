//! Weights of one region's entries.

use std::collections::BTreeMap;

use crate::domain::{PlaceName, RegionName};

/// The sum of the weights that [`local_weights`] returns, apart from rounding.
const SCALE: f64 = 1_000_000.0;

/// Returns the weights for entries of the region `here` so that traffic crosses
/// regions only where the weights of the places demand it.
///
/// Drawing places by weight alone would send most requests to other regions, and
/// their slot units would be held for the round trip on top of the work. Here
/// each region first fills its own places. What a region cannot place at home
/// goes to the regions with weight to spare, in proportion. Over all regions,
/// each place still gets its part of the traffic.
///
/// `demand` is the traffic per region, in any unit; a region that is not listed
/// has none. With a wrong demand places get a wrong part of the traffic, so the
/// caller should smooth it.
#[must_use]
pub fn local_weights(
    here: &RegionName,
    demand: &[(RegionName, u32)],
    places: &[(PlaceName, RegionName, u32)],
) -> Vec<(PlaceName, u32)> {
    let regions = parts(demand, places);
    let spares: f64 = regions.values().map(Part::spare).sum();
    let Some(home) = regions.get(here).filter(|r| r.demand > 0.0) else {
        return places.iter().map(|(p, _, w)| (p.clone(), *w)).collect();
    };
    let surplus = (home.demand - home.weight).max(0.0);
    let scaled = |(place, region, w): &(PlaceName, RegionName, u32)| {
        let Some(part) = regions.get(region).filter(|r| r.total > 0.0) else {
            return (place.clone(), 0);
        };
        let kept = if region == here {
            home.demand - surplus
        } else {
            0.0
        };
        let taken = if spares > 0.0 {
            surplus * part.spare() / spares
        } else {
            0.0
        };
        let within = f64::from(*w) / part.total;
        (
            place.clone(),
            round((kept + taken) / home.demand * within * SCALE),
        )
    };
    places.iter().map(scaled).collect()
}

/// What one region has of the whole.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// The sum of its places' weights.
    total: f64,
    /// Its part of all weights.
    weight: f64,
    /// Its part of the traffic.
    demand: f64,
}

impl Part {
    /// Returns what it can take from other regions.
    fn spare(&self) -> f64 {
        (self.weight - self.demand).max(0.0)
    }
}

fn parts<'a>(
    demand: &'a [(RegionName, u32)],
    places: &'a [(PlaceName, RegionName, u32)],
) -> BTreeMap<&'a RegionName, Part> {
    let weights: f64 = places.iter().map(|(_, _, w)| f64::from(*w)).sum();
    let traffic: f64 = demand.iter().map(|(_, d)| f64::from(*d)).sum();
    let mut parts: BTreeMap<&RegionName, Part> = BTreeMap::new();
    for (_, region, w) in places {
        let part = parts.entry(region).or_default();
        part.total += f64::from(*w);
        part.weight += f64::from(*w) / weights.max(1.0);
    }
    for (region, d) in demand {
        let part = parts.entry(region).or_default();
        part.demand += f64::from(*d) / traffic.max(1.0);
    }
    parts
}

// The values are finite, not negative and at most the scale.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(n: f64) -> u32 {
    n.round() as u32
}
