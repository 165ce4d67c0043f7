//! Weights of one region's entries.

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
    let total: f64 = places.iter().map(|(_, _, w)| f64::from(*w)).sum();
    let traffic: f64 = demand.iter().map(|(_, d)| f64::from(*d)).sum();
    let weight = |region: &RegionName| {
        let own = places.iter().filter(|(_, r, _)| r == region);
        own.map(|(_, _, w)| f64::from(*w)).sum::<f64>() / total
    };
    let part = |region: &RegionName| {
        let own = demand.iter().filter(|(r, _)| r == region);
        own.map(|(_, d)| f64::from(*d)).sum::<f64>() / traffic
    };
    let known = total > 0.0 && traffic > 0.0 && part(here) > 0.0;
    let spare = |region: &RegionName| (weight(region) - part(region)).max(0.0);
    let surplus = (part(here) - weight(here)).max(0.0);
    let spares = spare_sum(places, spare);
    let sent = |region: &RegionName| {
        let kept = if region == here {
            part(here) - surplus
        } else {
            0.0
        };
        let taken = if spares > 0.0 {
            surplus * spare(region) / spares
        } else {
            0.0
        };
        (kept + taken) / part(here)
    };
    let scaled = |(name, region, w): &(PlaceName, RegionName, u32)| {
        if !known || *w == 0 {
            return (name.clone(), *w);
        }
        let within = f64::from(*w) / (weight(region) * total);
        (name.clone(), round(sent(region) * within * SCALE))
    };
    places.iter().map(scaled).collect()
}

/// Returns the sum over the regions of what they can take from others.
fn spare_sum(places: &[(PlaceName, RegionName, u32)], spare: impl Fn(&RegionName) -> f64) -> f64 {
    let mut seen: Vec<&RegionName> = Vec::new();
    for (_, region, _) in places {
        if !seen.contains(&region) {
            seen.push(region);
        }
    }
    seen.into_iter().map(spare).sum()
}

// The values are finite, not negative and at most the scale.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(n: f64) -> u32 {
    n.round() as u32
}
