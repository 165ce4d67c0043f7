//! Events, their kinds and the components that they concern.

use std::{fmt, str::FromStr};

use super::{Stamp, Utc};
use crate::domain::ParseError;

/// A state change or incident that is recorded for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The time of the event and the entry that emitted it.
    pub stamp: Stamp,
    /// What happened.
    pub kind: Kind,
    /// The details, as text to display.
    pub text: String,
}

impl Event {
    /// Returns the component that the event concerns.
    #[must_use]
    pub fn component(&self) -> Component {
        self.kind.component()
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp {
            wall_time, entry, ..
        } = &self.stamp;
        let (component, kind) = (self.component(), self.kind);
        write!(
            f,
            "{} {entry} {component}: {kind}: {}",
            Utc(*wall_time),
            self.text
        )
    }
}

macro_rules! components {
    ($($(#[$doc:meta])* $var:ident = $word:literal),+ $(,)?) => {
        /// The component that an event concerns. Log messages start with the
        /// same words.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Component {
            $($(#[$doc])* $var,)+
        }

        impl fmt::Display for Component {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$var => $word,)+ })
            }
        }

        impl FromStr for Component {
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

components!(
    /// Service documents and their revisions.
    Document = "document",
    /// Draining places and targets.
    Drain = "drain",
    /// The entry process.
    Entry = "entry",
    /// Limits shared between entries.
    Limit = "limit",
    /// Membership of entries.
    Member = "member",
    /// Individual requests.
    Request = "request",
    /// Traffic shifts between places.
    Shift = "shift",
    /// Availability of the store.
    Store = "store",
    /// Health of targets.
    Target = "target",
);

macro_rules! kinds {
    ($($(#[$doc:meta])* $var:ident = $component:ident $word:literal),+ $(,)?) => {
        /// The kind of an event. Its text form is stable, so that scripts can
        /// search for it.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[$doc])* $var,)+
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$var),+];

            /// Returns the component that events of this kind concern.
            #[must_use]
            pub fn component(self) -> Component {
                match self { $(Self::$var => Component::$component,)+ }
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
                    _ => Err(ParseError::new(
                        "event kind",
                        s,
                        "one of the event kinds in docs/operating.md",
                    )),
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
    /// A revision is now in effect at this entry.
    RevisionAdopted = Document "revision-adopted",
    /// A revision in the store is invalid. The former one stays in effect.
    RevisionRejected = Document "revision-rejected",
    /// A place or target gets no new requests from now on.
    DrainStarted = Drain "drain-started",
    /// No request from this entry is running any more at a leaving place or
    /// target.
    DrainCompleted = Drain "drain-completed",
    /// A place or target gets new requests again or was removed.
    DrainCancelled = Drain "drain-cancelled",
    /// The process has started.
    EntryStarted = Entry "entry-started",
    /// The entry has every document and serves requests.
    EntryReady = Entry "entry-ready",
    /// The entry was told to stop and is no longer returned by lookups.
    EntryLeaving = Entry "entry-leaving",
    /// The entry has stopped.
    EntryStopped = Entry "entry-stopped",
    /// Requests were refused because the entry holds no unit of a limit.
    LimitShort = Limit "limit-short",
    /// Units of a limit have a new home entry.
    LimitMoved = Limit "limit-moved",
    /// The home entry of a limit has reclaimed units.
    LimitReclaimed = Limit "limit-reclaimed",
    /// A new entry joined.
    MemberJoined = Member "member-joined",
    /// An entry does not answer probes.
    MemberSuspected = Member "member-suspected",
    /// An entry is considered dead for traffic steering.
    MemberDead = Member "member-dead",
    /// A suspected or dead entry answers again.
    MemberReturned = Member "member-returned",
    /// An entry left as planned.
    MemberLeft = Member "member-left",
    /// No entry of a region answers.
    RegionLost = Member "region-lost",
    /// The roster has a new epoch.
    RosterChanged = Member "roster-changed",
    /// A request broke the connection to its target, which counts as a strike
    /// against the request.
    RequestStruck = Request "request-struck",
    /// A request is blocked because it has crashed targets.
    RequestBlocked = Request "request-blocked",
    /// Traffic starts to move between places.
    ShiftStarted = Shift "shift-started",
    /// The weights in use have moved by one step.
    ShiftStepped = Shift "shift-stepped",
    /// A shift is paused to wait for its destination.
    ShiftPaused = Shift "shift-paused",
    /// The weights in use are those of the document.
    ShiftCompleted = Shift "shift-completed",
    /// The store does not answer.
    StoreDown = Store "store-down",
    /// The store answers again.
    StoreUp = Store "store-up",
    /// A target gets no requests because it fails.
    TargetEjected = Target "target-ejected",
    /// An ejected target gets requests again.
    TargetReturned = Target "target-returned",
);
