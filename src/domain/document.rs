//! A service's document: the places where it runs, their weights, and the
//! places and targets that are leaving.
//!
//! These are the parsed values. `adapters::ini` parses and validates the INI
//! text, so that decisions do not depend on the format.

use super::{
    AzName, Millis, PlaceName, Rank, RegionName, Rps, ServiceName, Slots, TargetId, TeamName,
    Weight, Workspace, word_enum,
};

/// The placement and routing of a service, as its team declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The service, which callers name in the `Host` header.
    pub service: ServiceName,
    /// The team that may change the document.
    pub team: TeamName,
    /// The deadline of requests whose caller does not state one.
    pub deadline: Millis,
    /// The maximum rate of requests that are sent to growing places in excess
    /// of their former weight while traffic shifts.
    pub shift_cap: Rps,
    /// The places, in the order of the text.
    pub places: Vec<Place>,
    /// Settings for path prefixes. The route with the longest matching prefix
    /// applies.
    pub routes: Vec<Route>,
    /// The workspaces. If there are none, callers need no keys.
    pub workspaces: Vec<Workspace>,
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
    /// The share of the traffic that the place gets.
    pub weight: Weight,
    /// Whether the place accepts new requests.
    pub state: PlaceState,
    /// The targets, in the order of the text.
    pub targets: Vec<TargetId>,
    /// Targets of this place that get no new requests.
    pub leaving: Vec<TargetId>,
    /// The number of requests that each target runs concurrently.
    pub slots: Slots,
}

/// The settings of a document for paths that begin with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The prefix, beginning with `/`.
    pub prefix: String,
    /// The expected duration class, if the team declares it.
    pub lane: Option<Lane>,
    /// The priority under overload.
    pub priority: Priority,
    /// Whether requests may be repeated. If unset, their method decides.
    pub idempotent: Option<bool>,
    /// Whether callers need no key. The requests then belong to no workspace.
    pub public: bool,
}

impl Document {
    /// Returns the route with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }
}

word_enum!(
    /// Whether a place accepts new requests.
    PlaceState, "place state", "\"active\" or \"leaving\"",
    /// The place accepts new requests.
    #[default]
    Active = "active",
    /// The place gets no new requests and finishes the running ones.
    Leaving = "leaving"
);
word_enum!(
    /// The duration class of a request. Each class has its own limits, so short
    /// requests never queue behind long ones.
    Lane, "lane", "\"short\" or \"long\"",
    /// Requests that take milliseconds.
    #[default]
    Short = "short",
    /// Large downloads and other long requests.
    Long = "long"
);
word_enum!(
    /// The priority of a request. Under overload, requests of lower priority
    /// are refused first. The variants are in ascending order.
    Priority, "priority", "\"bulk\", \"normal\" or \"critical\"",
    /// Refused first.
    Bulk = "bulk",
    /// The default.
    #[default]
    Normal = "normal",
    /// Refused last. Examples are an unlock or a payout.
    Critical = "critical"
);

impl Priority {
    /// Returns the priority of a request: that of its workspace, else that of its route.
    /// A caller may lower it but not raise it.
    #[must_use]
    pub fn of_request(route: Option<&Route>, rank: Option<Rank>, caller: Option<Self>) -> Self {
        let max = rank.map(Self::from).or(route.map(|r| r.priority));
        let max = max.unwrap_or_default();
        caller.map_or(max, |priority| priority.min(max))
    }
}

impl From<Priority> for Rank {
    fn from(priority: Priority) -> Self {
        Self(match priority {
            Priority::Critical => 0,
            Priority::Normal => 1,
            Priority::Bulk => 2,
        })
    }
}

impl From<Rank> for Priority {
    fn from(rank: Rank) -> Self {
        match rank.0 {
            0 => Self::Critical,
            1 => Self::Normal,
            _ => Self::Bulk,
        }
    }
}
