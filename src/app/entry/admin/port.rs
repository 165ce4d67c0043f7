//! The state of a running entry as [`AdminPort`] shows it.

use std::sync::Arc;

use super::Observer;
use crate::{
    app::entry::{Service, State},
    domain::{Place, PlaceState, Slots},
    ports::{
        AdminPort, Events,
        admin::{Drain, Gathered, PlaceStatus, Placement, Remaining, ServiceStatus, Status},
    },
};

/// Returns what this entry knows by itself.
///
/// The closures that need other entries answer for this one alone.
#[must_use]
pub fn port(state: &Arc<State>, events: &Events, observer: &Observer) -> AdminPort {
    let started = (state.ports.clock.now)();
    let status_state = state.clone();
    let status_observer = observer.clone();
    let drain_state = state.clone();
    let drain_observer = observer.clone();
    let place_state = state.clone();
    let decisions = observer.decisions.clone();
    let events = events.clone();
    AdminPort {
        unready: Arc::new(|| None),
        status: Arc::new(move || {
            let uptime = (status_state.ports.clock.now)() - started;
            status(&status_state, &status_observer, uptime.0)
        }),
        drains: Arc::new(move |()| {
            let drains = drains(&drain_state, &drain_observer);
            Box::pin(std::future::ready(drains))
        }),
        limits: Arc::new(Vec::new),
        explain: Arc::new(move |service| decisions.read(service)),
        placements: Arc::new(move |service| {
            let revision = place_state.services.get(&service, |s| s.revision.0);
            let own = Placement {
                entry: place_state.settings.name.to_string(),
                revision,
            };
            Box::pin(std::future::ready(vec![own]))
        }),
        timeline: Arc::new(move |query| {
            let events = (events.read)(&query);
            Box::pin(std::future::ready(Gathered {
                events,
                missing: Vec::new(),
            }))
        }),
    }
}

fn status(state: &State, observer: &Observer, uptime: u64) -> Status {
    let mut services = Vec::new();
    state
        .services
        .each(|_, s| services.push(service(s, observer)));
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let settings = &state.settings;
    Status {
        entry: settings.name.to_string(),
        region: settings.region.to_string(),
        az: settings.az.to_string(),
        incarnation: 0,
        uptime_ms: uptime,
        ready: true,
        store_up: true,
        services,
        members: Vec::new(),
    }
}

fn service(service: &Service, observer: &Observer) -> ServiceStatus {
    let places = &service.doc.places;
    let sum: u32 = places.iter().map(weight).sum();
    let targets = places.iter().flat_map(|p| &p.targets);
    ServiceStatus {
        service: service.doc.service.to_string(),
        revision: service.revision.0,
        running: targets.map(|t| observer.running(*t)).sum(),
        places: places.iter().map(|p| place(p, sum)).collect(),
    }
}

/// Returns the weight of a place that takes new work.
fn weight(place: &Place) -> u32 {
    if place.state == PlaceState::Active {
        place.weight.0
    } else {
        0
    }
}

fn place(place: &Place, sum: u32) -> PlaceStatus {
    let open = place.targets.iter().filter(|t| !place.leaving.contains(t));
    let active = place.state == PlaceState::Active && place.slots > Slots(0);
    PlaceStatus {
        place: place.name.to_string(),
        state: place.state.to_string(),
        weight: place.weight.0,
        effective: (weight(place) * 1000).checked_div(sum).unwrap_or(0),
        targets: u32::try_from(if active { open.count() } else { 0 }).unwrap_or(u32::MAX),
    }
}

fn drains(state: &State, observer: &Observer) -> Vec<Drain> {
    let mut drains = Vec::new();
    state.services.each(|_, s| {
        for place in &s.doc.places {
            if place.state == PlaceState::Leaving {
                let running = place.targets.iter().map(|t| observer.running(*t)).sum();
                drains.push(drain(state, s, place, None, running));
                continue;
            }
            for target in &place.leaving {
                let running = observer.running(*target);
                drains.push(drain(state, s, place, Some(target.to_string()), running));
            }
        }
    });
    drains
        .sort_by(|a, b| (&a.service, &a.place, &a.target).cmp(&(&b.service, &b.place, &b.target)));
    drains
}

fn drain(
    state: &State,
    service: &Service,
    place: &Place,
    target: Option<String>,
    running: u64,
) -> Drain {
    Drain {
        service: service.doc.service.to_string(),
        place: place.name.to_string(),
        target,
        revision: service.revision.0,
        complete: running == 0,
        remaining: vec![Remaining {
            entry: state.settings.name.to_string(),
            running: Some(running),
            revision: Some(service.revision.0),
        }],
    }
}
