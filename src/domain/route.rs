//! The routing configuration: which services run which requests.

use super::{Millis, Rank, RegionName, Revision, ServiceName, Size, Workspace, word_enum};

word_enum!(
    /// Whether a request may run more than once, and whether its bodies are large.
    RequestKind, "kind of a route", "\"idempotent\", \"once\", \"download\", \"upload\" or \"unknown\"",
    /// The request may run more than once.
    #[default]
    Idempotent = "idempotent",
    /// The request runs at most once.
    Once = "once",
    /// The request may run more than once and has a large response.
    Download = "download",
    /// The request runs at most once and has a large body.
    Upload = "upload",
    /// The platform states a kind that this version does not know. The request
    /// runs at most once, because nothing says that it may be repeated.
    Unknown = "unknown"
);

impl RequestKind {
    /// Returns whether a request of this kind may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// A service that runs a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The share of the requests, relative to the sum of all weights of the
    /// route.
    pub weight: f64,
}

/// The handling of requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The name, for logs and metrics.
    pub name: String,
    /// The host in the callers' requests, in lower case.
    pub host: String,
    /// The path prefix. It begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: RequestKind,
    /// The latency objective: the time within which an answer has its full
    /// value to the caller.
    pub objective: Millis,
    /// The time after which the caller gets an answer even if no target has
    /// answered.
    pub timeout: Millis,
    /// The maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// The rank of its requests, unless their workspace has one.
    pub rank: Rank,
    /// Whether callers need no key. The requests then belong to no workspace.
    pub public: bool,
    /// Whether a target is faster for objects that it handled recently.
    pub sticky: bool,
    /// The regions in which requests may run. Empty allows all regions.
    pub home_regions: Vec<RegionName>,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
}

/// The settings that apply to all targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub name: ServiceName,
    /// The rate that a cold target tolerates, in requests per second.
    pub cold_rate: f64,
}

/// The limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub max_head: Size,
    /// The maximum size of a request body.
    pub max_body: Size,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

/// A complete routing configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version. A configuration is replaced only by one with a greater
    /// version.
    pub version: Revision,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The rules of all hosts.
    pub rules: Vec<RouteRule>,
    /// The settings of all services.
    pub services: Vec<ServiceRule>,
    /// The workspaces. If there are none, callers need no keys.
    pub workspaces: Vec<Workspace>,
}
