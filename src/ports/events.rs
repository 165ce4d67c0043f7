//! The port to the timeline of events for operators.

use std::{fmt, sync::Arc};

use crate::policy::timeline::{Component, Event, Kind, Stamp};

/// Selects events of a timeline.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventQuery {
    /// Only events after this stamp.
    pub after: Option<Stamp>,
    /// Only events of this component.
    pub part: Option<Component>,
    /// The maximum number of events. The latest ones are returned.
    pub limit: usize,
}

type Read = Arc<dyn Fn(&EventQuery) -> Vec<Event> + Send + Sync>;

/// The timeline of one entry.
///
/// The closures assign a stamp to each event, so that callers need no access to
/// the clock.
#[derive(Clone)]
pub struct Events {
    /// Adds an event.
    pub emit: Arc<dyn Fn(Kind, String) + Send + Sync>,
    /// Returns the latest events of this entry.
    pub read: Read,
    /// Returns a stamp to send with a message.
    pub stamp: Arc<dyn Fn() -> Stamp + Send + Sync>,
    /// Advances the clock by the stamp of a received message.
    pub receive: Arc<dyn Fn(&Stamp) + Send + Sync>,
}

impl fmt::Debug for Events {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Events")
    }
}
