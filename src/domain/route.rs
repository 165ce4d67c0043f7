//! Configurations: how requests are routed to services.

use super::{Millis, RegionName, Revision, ServiceName, Size, words};

words!(
    /// How often a request may run.
    RequestKind, "kind of a route", "\"idempotent\", \"once\" or \"download\"",
    /// It may run more than once.
    #[default]
    Idempotent = "idempotent",
    /// It runs at most once.
    Once = "once",
    /// It may run more than once and has a large answer.
    Download = "download"
);

impl RequestKind {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the sum over the route.
    pub weight: f64,
}

/// How the requests of one host and prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The name, for logs and metrics.
    pub name: String,
    /// The host that callers ask for, in lower case.
    pub host: String,
    /// The beginning of the path. It begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// The time within which an answer is of full use.
    pub objective: Millis,
    /// The time after which the caller gets an answer in any case.
    pub timeout: Millis,
    /// The most targets that one request is sent to.
    pub attempts: u32,
    /// The rank, 0 being the most urgent.
    pub priority: u32,
    /// Whether a target is faster on objects that it handled lately.
    pub sticky: bool,
    /// The only regions in which it may run; empty for all.
    pub homes: Vec<RegionName>,
    /// The services that run it.
    pub parts: Vec<Part>,
}

/// What all targets of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub name: ServiceName,
    /// The requests a second that a cold target tolerates.
    pub cold_rate: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub head: Size,
    /// The largest body of a request.
    pub body: Size,
    /// How long a connection may stay idle.
    pub idle: Millis,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version. Only a greater one replaces it.
    pub version: Revision,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The rules of all hosts.
    pub rules: Vec<Rule>,
    /// The services.
    pub services: Vec<ServiceRule>,
}
