//! Membership events, which the timeline records.

use std::fmt;

use crate::domain::{EntryId, Incarnation, Millis};

/// A membership change that this entry observed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it was observed, on the clock of this process.
    pub at: Millis,
    /// The member concerned.
    pub member: EntryId,
    /// The kind of change.
    pub kind: EventKind,
}

/// The kinds of membership changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// The member was not known before.
    Joined,
    /// A probe of the member failed, by this entry or by another.
    Suspected,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member refuted a suspicion.
    Recovered,
    /// A failed member is alive again.
    Returned,
    /// The member announced that it will stop.
    Leaving,
    /// The member runs as a new incarnation.
    Restarted(Incarnation),
    /// This entry was suspected and refuted the suspicion.
    Refuted,
    /// This process was not scheduled for this long. Its view is out of date
    /// until the next sync.
    Paused(Millis),
    /// A later incarnation of this entry exists, so this process must stop.
    Superseded(Incarnation),
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Joined => f.write_str("joined"),
            Self::Suspected => f.write_str("suspected"),
            Self::Failed => f.write_str("failed"),
            Self::Recovered => f.write_str("recovered"),
            Self::Returned => f.write_str("returned"),
            Self::Leaving => f.write_str("leaving"),
            Self::Restarted(incarnation) => write!(f, "restarted as incarnation {incarnation}"),
            Self::Refuted => f.write_str("refuted a suspicion"),
            Self::Paused(gap) => write!(f, "paused for {gap}"),
            Self::Superseded(incarnation) => write!(f, "superseded by incarnation {incarnation}"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, member, kind } = self;
        write!(f, "{at}: {member} {kind}")
    }
}
