//! What membership did, for the timeline.

use std::fmt;

use crate::domain::{EntryId, Incarnation, Millis};

/// One change that this entry noticed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it was noticed, on the clock of this process.
    pub at: Millis,
    /// The member concerned.
    pub member: EntryId,
    /// What changed.
    pub kind: EventKind,
}

/// The kinds of changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// The member was not known before.
    Joined,
    /// A probe failed, here or elsewhere.
    Suspected,
    /// The suspicion was not refuted in time.
    Failed,
    /// A suspected member refuted.
    Recovered,
    /// A failed member is back.
    Returned,
    /// The member will stop.
    Leaving,
    /// The member runs as a new incarnation.
    Restarted(Incarnation),
    /// This entry was suspected and refuted it.
    Refuted,
    /// This entry was not scheduled for this long. Its view is out of date
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
            Self::Restarted(life) => write!(f, "restarted as incarnation {life}"),
            Self::Refuted => f.write_str("refuted a suspicion"),
            Self::Paused(gap) => write!(f, "paused for {gap}"),
            Self::Superseded(life) => write!(f, "superseded by incarnation {life}"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, member, kind } = self;
        write!(f, "{at}: {member} {kind}")
    }
}
