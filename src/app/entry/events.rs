//! The timeline of one entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{
    adapters::metrics::{EventLabels, Metrics},
    domain::EntryId,
    policy::timeline::{Event, EventRing, HybridClock, Stamp},
    ports::{Clock, Events},
};

struct Timeline {
    clock: HybridClock,
    ring: EventRing,
}

/// Opens an empty timeline.
///
/// Clock and ring share one lock, so that events are in the ring in the order of
/// their stamps. An entry emits a few events a second at the most, so the lock
/// needs no shards.
#[must_use]
pub fn open(entry: EntryId, clock: &Clock, metrics: &Metrics) -> Events {
    let shared = Arc::new(Mutex::new(Timeline {
        clock: HybridClock::new(entry),
        ring: EventRing::default(),
    }));
    let (emitting, reading) = (shared.clone(), shared.clone());
    let (stamping, receiving) = (shared.clone(), shared);
    let (wall, stamp_wall, receive_wall) =
        (clock.wall.clone(), clock.wall.clone(), clock.wall.clone());
    let metrics = metrics.clone();
    Events {
        emit: Arc::new(move |kind, text| {
            let labels = EventLabels {
                part: kind.component().to_string(),
                kind: kind.to_string(),
            };
            metrics.events.get_or_create(&labels).inc();
            let mut timeline = lock(&emitting);
            let stamp = timeline.clock.tick(wall());
            tracing::info!("{}: {kind} at {}: {text}.", kind.component(), stamp.entry);
            timeline.ring.push(Event { stamp, kind, text });
        }),
        read: Arc::new(move |query| {
            let timeline = lock(&reading);
            let after = query.after.as_ref();
            timeline.ring.after(after, query.part, query.limit)
        }),
        stamp: Arc::new(move || lock(&stamping).clock.tick(stamp_wall())),
        receive: Arc::new(move |stamp: &Stamp| {
            let accepted = lock(&receiving).clock.receive(stamp, receive_wall());
            if !accepted {
                tracing::warn!("timeline: the stamp {stamp} is too far ahead and not adopted.");
            }
        }),
    }
}

fn lock(timeline: &Mutex<Timeline>) -> MutexGuard<'_, Timeline> {
    timeline.lock().unwrap_or_else(PoisonError::into_inner)
}
