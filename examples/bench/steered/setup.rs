//! What an entry starts with: documents, weights and empty state.

use savorybeam::{
    domain::{Millis, Place, PlaceState, RegionName, Slots, Weight},
    policy::{
        queue::{Queue, RouteDurations},
        retry::{Budget, Window},
        target::{Pool, local_weights},
    },
};

use super::{Own, id};
use crate::{
    platform::Core,
    world::{self, AZS},
};

pub(super) fn own(core: &Core, service: usize, entry: usize) -> Own {
    let places = places(core, service);
    let mut pool = Pool::new();
    pool.adopt(Millis(0), &places);
    let weights = places
        .iter()
        .map(|p| (p.name.clone(), p.region.clone(), p.weight.0));
    let weights: Vec<_> = weights.collect();
    // Callers are spread evenly.
    let demand: Vec<_> = (0..world::REGIONS).map(|r| (region(r), 1)).collect();
    let here = region(world::entry_region(entry));
    Own {
        pool,
        queue: Queue::new(),
        lengths: RouteDurations::new(),
        budget: Budget::new(),
        windows: [Window::new(), Window::new()],
        asked: 0,
        places: local_weights(&here, &demand, &weights),
    }
}

/// Returns the places of a service's document, one per availability zone.
pub(super) fn places(core: &Core, service: usize) -> Vec<Place> {
    (0..AZS).map(|az| place(core, service, az)).collect()
}

fn region(n: usize) -> RegionName {
    format!("region-{n}").parse().expect("the name is valid")
}

/// Returns the place of a service in an availability zone. Its weight is its
/// part of the service's targets.
fn place(core: &Core, service: usize, az: usize) -> Place {
    let here = |&t: &usize| core.targets[t].service == service && core.targets[t].az == az;
    let targets: Vec<usize> = (0..core.targets.len()).filter(here).collect();
    let leaving = targets.iter().copied();
    let leaving: Vec<usize> = leaving
        .filter(|&t| core.targets[t].leaves(core.now))
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
        slots: Slots(core.deployment.services[service].slots),
    }
}
