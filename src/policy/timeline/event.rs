//! Events.

use std::{fmt, str::FromStr};

use super::{Stamp, Utc};
use crate::domain::ParseError;

/// Something that an operator may want to know of later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When and where it happened.
    pub stamp: Stamp,
    /// What happened.
    pub kind: Kind,
    /// The names and numbers, for people.
    pub text: String,
}

impl Event {
    /// Returns the part of the system that the event concerns.
    #[must_use]
    pub fn part(&self) -> Part {
        self.kind.part()
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp { wall, entry, .. } = &self.stamp;
        let (part, kind) = (self.part(), self.kind);
        write!(f, "{} {entry} {part}: {kind}: {}", Utc(*wall), self.text)
    }
}

macro_rules! parts {
    ($($(#[$doc:meta])* $var:ident = $word:literal),+ $(,)?) => {
        /// The part of the system that an event concerns. Logs have the same
        /// prefixes.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Part {
            $($(#[$doc])* $var,)+
        }

        impl fmt::Display for Part {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$var => $word,)+ })
            }
        }

        impl FromStr for Part {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                match s {
                    $($word => Ok(Self::$var),)+
                    _ => Err(ParseError::new("part", s, concat!("one of" $(, " ", $word)+))),
                }
            }
        }
    };
}

parts!(
    /// Documents and their revisions.
    Document = "document",
    /// Draining places and targets.
    Drain = "drain",
    /// The process itself.
    Entry = "entry",
    /// Limits that entries share.
    Limit = "limit",
    /// Membership of entries.
    Member = "member",
    /// Single requests.
    Request = "request",
    /// Moves of traffic between places.
    Shift = "shift",
    /// The store.
    Store = "store",
    /// Targets.
    Target = "target",
);

macro_rules! kinds {
    ($($(#[$doc:meta])* $var:ident = $part:ident $word:literal),+ $(,)?) => {
        /// What happened. The word is stable, so that a script may search for it.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[$doc])* $var,)+
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$var),+];

            /// Returns the part that the kind concerns.
            #[must_use]
            pub fn part(self) -> Part {
                match self { $(Self::$var => Part::$part,)+ }
            }
        }

        impl fmt::Display for Kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$var => $word,)+ })
            }
        }

        impl FromStr for Kind {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                match s {
                    $($word => Ok(Self::$var),)+
                    _ => Err(ParseError::new("event kind", s, "a kind of docs/operating.md")),
                }
            }
        }
    };
}

kinds!(
    /// The store accepted an edit that was sent to this entry.
    EditAccepted = Document "edit-accepted",
    /// An edit was refused.
    EditRefused = Document "edit-refused",
    /// A revision is in effect at this entry.
    RevisionAdopted = Document "revision-adopted",
    /// A revision in the store is invalid; the former one stays in effect.
    RevisionRejected = Document "revision-rejected",
    /// A place or target gets no new work.
    DrainStarted = Drain "drain-started",
    /// Nothing from this entry runs any more at a place or target that leaves.
    DrainCompleted = Drain "drain-completed",
    /// A place or target gets new work again.
    DrainCancelled = Drain "drain-cancelled",
    /// The process runs.
    EntryStarted = Entry "entry-started",
    /// The entry has every document and answers.
    EntryReady = Entry "entry-ready",
    /// The entry was told to stop and is no longer in look-ups.
    EntryLeaving = Entry "entry-leaving",
    /// The entry has stopped.
    EntryStopped = Entry "entry-stopped",
    /// Requests were refused because the entry has no unit of a limit.
    LimitShort = Limit "limit-short",
    /// Units have a new home.
    LimitMoved = Limit "limit-moved",
    /// A home has taken units back.
    LimitReclaimed = Limit "limit-reclaimed",
    /// A new entry.
    MemberJoined = Member "member-joined",
    /// An entry does not answer probes.
    MemberSuspected = Member "member-suspected",
    /// An entry counts as dead for steering.
    MemberDead = Member "member-dead",
    /// A suspected or dead entry answers again.
    MemberReturned = Member "member-returned",
    /// An entry leaves as planned.
    MemberLeft = Member "member-left",
    /// No entry of a region answers.
    RegionLost = Member "region-lost",
    /// The roster has a new epoch.
    RosterChanged = Member "roster-changed",
    /// A request broke its target's connection.
    RequestStruck = Request "request-struck",
    /// A request is blocked because it has crashed targets.
    RequestBlocked = Request "request-blocked",
    /// Traffic starts to move between places.
    ShiftStarted = Shift "shift-started",
    /// Weights have moved by a step.
    ShiftStepped = Shift "shift-stepped",
    /// A shift waits for the destination.
    ShiftPaused = Shift "shift-paused",
    /// All weights are as in the document.
    ShiftCompleted = Shift "shift-completed",
    /// The store does not answer.
    StoreDown = Store "store-down",
    /// The store answers again.
    StoreUp = Store "store-up",
    /// A target gets no work because it fails.
    TargetEjected = Target "target-ejected",
    /// An ejected target gets work again.
    TargetReturned = Target "target-returned",
);
