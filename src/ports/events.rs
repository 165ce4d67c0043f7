//! Events that an operator may want to know of later.

use std::{fmt, sync::Arc};

use crate::policy::timeline::{Component, Event, Kind, Stamp};

/// Which events are asked for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventQuery {
    /// Only events after this stamp.
    pub after: Option<Stamp>,
    /// Only events of this part.
    pub part: Option<Component>,
    /// The most events, the latest ones.
    pub limit: usize,
}

type Read = Arc<dyn Fn(&EventQuery) -> Vec<Event> + Send + Sync>;

/// The timeline of one entry.
///
/// The closures give each event its stamp, so that no part of the system has to
/// hold the clock.
#[derive(Clone)]
pub struct Events {
    /// Adds an event.
    pub emit: Arc<dyn Fn(Kind, String) + Send + Sync>,
    /// Returns the latest events of this entry.
    pub read: Read,
    /// Returns a stamp to send with a message.
    pub stamp: Arc<dyn Fn() -> Stamp + Send + Sync>,
    /// Adopts the stamp of a received message.
    pub receive: Arc<dyn Fn(&Stamp) + Send + Sync>,
}

impl fmt::Debug for Events {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Events")
    }
}
