//! The timeline of one entry.

use std::sync::{Arc, Mutex};

use crate::{
    adapters::metrics::{EventLabels, Metrics},
    domain::{EntryId, lock},
    policy::timeline::{Event, EventRing, HybridClock, Stamp},
    ports::{Clock, Events},
};

struct Timeline {
    clock: HybridClock,
    ring: EventRing,
}

/// Opens an empty timeline.
///
/// One lock guards the clock and the ring, so the ring holds the events in the
/// order of their stamps. An entry emits at most a few events per second, so
/// one lock is enough.
#[must_use]
pub fn open(entry: EntryId, clock: &Clock, metrics: &Metrics) -> Events {
    let shared = Arc::new(Mutex::new(Timeline {
        clock: HybridClock::new(entry),
        ring: EventRing::default(),
    }));
    let (emit_timeline, read_timeline) = (shared.clone(), shared.clone());
    let (stamp_timeline, receive_timeline) = (shared.clone(), shared);
    let (emit_wall, stamp_wall, receive_wall) =
        (clock.wall.clone(), clock.wall.clone(), clock.wall.clone());
    let metrics = metrics.clone();
    Events {
        emit: Arc::new(move |kind, text| {
            let labels = EventLabels {
                part: kind.component().to_string(),
                kind: kind.to_string(),
            };
            metrics.events.get_or_create(&labels).inc();
            let mut timeline = lock(&emit_timeline);
            let stamp = timeline.clock.tick(emit_wall());
            tracing::info!("{}: {kind} at {}: {text}.", kind.component(), stamp.entry);
            timeline.ring.push(Event { stamp, kind, text });
        }),
        read: Arc::new(move |query| {
            let timeline = lock(&read_timeline);
            let after = query.after.as_ref();
            timeline.ring.after(after, query.part, query.limit)
        }),
        stamp: Arc::new(move || lock(&stamp_timeline).clock.tick(stamp_wall())),
        receive: Arc::new(move |stamp: &Stamp| {
            let accepted = lock(&receive_timeline).clock.receive(stamp, receive_wall());
            if !accepted {
                tracing::warn!(
                    "timeline: stamp {stamp} ignored, it is too far ahead of the local clock."
                );
            }
        }),
    }
}
