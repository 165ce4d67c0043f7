//! Builds the initial state of an entry: documents, weights and empty queues.

use savorybeam::{
    domain::{Millis, Place, PlaceState, RegionName, Slots, Weight},
    policy::{
        queue::{Queue, RouteDurations},
        retry::{Budget, Window},
        target::{Pool, local_weights},
    },
};

use super::{ServiceState, id};
use crate::{
    platform::Platform,
    world::{self, AZS},
};

pub(super) fn service_state(platform: &Platform, service: usize, entry: usize) -> ServiceState {
    let places = places(platform, service);
    let mut pool = Pool::new();
    pool.adopt(Millis(0), &places);
    let weights = places
        .iter()
        .map(|p| (p.name.clone(), p.region.clone(), p.weight.0));
    let weights: Vec<_> = weights.collect();
    // Callers are spread evenly over the regions.
    let demand: Vec<_> = (0..world::REGIONS).map(|r| (region(r), 1)).collect();
    let here = region(world::entry_region(entry));
    ServiceState {
        pool,
        queue: Queue::new(),
        durations: RouteDurations::new(),
        budget: Budget::new(),
        windows: [Window::new(), Window::new()],
        reply_due: 0,
        places: local_weights(&here, &demand, &weights),
    }
}

/// Returns the places of a service's document, one per availability zone.
pub(super) fn places(platform: &Platform, service: usize) -> Vec<Place> {
    (0..AZS).map(|az| place(platform, service, az)).collect()
}

fn region(n: usize) -> RegionName {
    format!("region-{n}").parse().expect("the name is valid")
}

/// Returns the place of a service in an availability zone. Its weight is the
/// number of its targets.
fn place(platform: &Platform, service: usize, az: usize) -> Place {
    let here = |&t: &usize| platform.targets[t].service == service && platform.targets[t].az == az;
    let targets: Vec<usize> = (0..platform.targets.len()).filter(here).collect();
    let leaving = targets.iter().copied();
    let leaving: Vec<usize> = leaving
        .filter(|&t| platform.targets[t].is_leaving(platform.now))
        .collect();
    let name = |kind: &str, n: usize| format!("{kind}-{n}");
    Place {
        name: name("place", az).parse().expect("the name is valid"),
        region: name("region", world::region_of(az))
            .parse()
            .expect("the name is valid"),
        az: name("az", az).parse().expect("the name is valid"),
        weight: Weight(targets.len() as u32),
        state: PlaceState::Active,
        targets: targets.into_iter().map(id).collect(),
        leaving: leaving.into_iter().map(id).collect(),
        slots: Slots(platform.deployment.services[service].slots),
    }
}
