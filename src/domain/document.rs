//! A service's document: where it runs, how much each place takes, what leaves.
//!
//! These are the parsed values. The INI text is read and checked in
//! `adapters::ini`, so that decisions do not depend on the format.

use super::{
    AzName, Millis, PlaceName, RegionName, Rps, ServiceName, Slots, TargetId, TeamName, Weight,
    words,
};

/// What a service team asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// The service, which callers name in the Host header.
    pub service: ServiceName,
    /// The team that may change the document.
    pub team: TeamName,
    /// The time a request may take when its caller does not say.
    pub deadline: Millis,
    /// How many requests a second may be sent to growing places beyond their
    /// former weight while traffic moves.
    pub shift_cap: Rps,
    /// The places, in the order of the text.
    pub places: Vec<Place>,
    /// Paths that differ from the rest. The longest prefix that fits counts.
    pub routes: Vec<Route>,
}

/// A place where a service runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The name, unique in the document.
    pub name: PlaceName,
    /// The region of the targets.
    pub region: RegionName,
    /// The availability zone of the targets.
    pub az: AzName,
    /// The part of the traffic that the place takes.
    pub weight: Weight,
    /// Whether the place takes new work.
    pub state: PlaceState,
    /// The targets, in the order of the text.
    pub targets: Vec<TargetId>,
    /// Targets of this place that get no new work.
    pub leaving: Vec<TargetId>,
    /// How many requests each target runs at the same time.
    pub slots: Slots,
}

/// What a document says of paths that begin with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The prefix, beginning with `/`.
    pub prefix: String,
    /// The expected length, if the team declares it.
    pub lane: Option<Lane>,
    /// What is refused last under overload.
    pub priority: Priority,
    /// Whether the request may be repeated, if that differs from its method.
    pub idempotent: Option<bool>,
}

impl Document {
    /// Returns the route with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        let fits = self.routes.iter().filter(|r| path.starts_with(&r.prefix));
        fits.max_by_key(|r| r.prefix.len())
    }
}

words!(
    /// Whether a place takes new work.
    PlaceState, "place state", "\"active\" or \"leaving\"",
    /// It takes new work.
    #[default]
    Active = "active",
    /// It gets no new work and finishes what runs.
    Leaving = "leaving"
);
words!(
    /// The expected length of a request. Short work never waits behind long
    /// work, because the two have limits of their own.
    Lane, "lane", "\"short\" or \"long\"",
    /// Milliseconds of work.
    #[default]
    Short = "short",
    /// Large downloads and other long work.
    Long = "long"
);
words!(
    /// The order in which work is refused under overload, first to last.
    Priority, "priority", "\"bulk\", \"normal\" or \"critical\"",
    /// Refused first.
    Bulk = "bulk",
    /// The usual.
    #[default]
    Normal = "normal",
    /// Refused last, such as an unlock or a payout.
    Critical = "critical"
);
