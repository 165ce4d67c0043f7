//! Routing: finds the rule and the service for a request.
//!
//! A [`Table`] is compiled from a whole configuration and is immutable, so that
//! a request is handled by one version from beginning to end; a new version
//! replaces the table as a whole. The rules of a host are tried from the
//! longest prefix to the shortest. A host has only a handful of rules, so a
//! sorted list is faster than a trie.
//!
//! A traffic split uses a low-discrepancy sequence instead of random numbers.
//! The shares are then exact to within one or two requests at each entry, even
//! for a route with little traffic. See
//! [docs/platform.md](../../../docs/platform.md).

mod workspaces;

use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

pub use self::workspaces::Workspaces;
use crate::domain::{
    CallerLimits, Configuration, KeyDigest, Revision, RouteRule, ServiceName, ServiceRule,
    Workspace, WorkspaceName,
};

/// The reason why a configuration is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableError {
    /// The name of the invalid rule.
    pub name: String,
    /// What is wrong with it.
    pub cause: &'static str,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, self.cause)
    }
}

impl std::error::Error for TableError {}

/// A rule with the state of its traffic split.
#[derive(Debug)]
pub struct Route {
    /// The rule.
    pub rule: Arc<RouteRule>,
    /// The number of requests so far, plus an offset that differs between
    /// entries.
    request_count: AtomicU64,
}

/// The step of the sequence within the unit interval: the golden ratio, which
/// spreads any number of requests evenly.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_894_9;

impl Route {
    /// Returns the service for the next request and advances the sequence.
    #[must_use]
    pub fn next_service(&self) -> &ServiceName {
        self.service_of(self.request_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the service for the next request without advancing the sequence.
    #[must_use]
    pub fn peek_service(&self) -> &ServiceName {
        self.service_of(self.request_count.load(Ordering::Relaxed))
    }

    /// Returns the service for the request with a number in the sequence.
    fn service_of(&self, n: u64) -> &ServiceName {
        let services = &self.rule.services;
        let weight_sum: f64 = services.iter().map(|p| p.weight).sum();
        #[expect(clippy::cast_precision_loss)]
        let mut offset = (n as f64 * GOLDEN_RATIO_STEP).fract() * weight_sum;
        for weighted in services {
            if offset < weighted.weight {
                return &weighted.service;
            }
            offset -= weighted.weight;
        }
        // Rounding may leave a remainder after the last service.
        &services[services.len() - 1].service
    }
}

/// All routes of one configuration.
#[derive(Debug)]
pub struct Table {
    /// The version of the configuration.
    pub version: Revision,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, ServiceRule>,
    workspaces: Workspaces,
}

impl Table {
    /// Compiles a configuration. Entries pass different seeds, so that their
    /// traffic splits do not all start with the same service.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid rule. The current configuration
    /// then stays in force.
    pub fn compile(config: Configuration, seed: u64) -> Result<Self, TableError> {
        let services = config.services.into_iter();
        let services: HashMap<_, _> = services.map(|s| (s.name.clone(), s)).collect();
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for rule in config.rules {
            validate(&rule, &services)?;
            let route = Route {
                request_count: AtomicU64::new(seed % 1024),
                rule: Arc::new(rule),
            };
            hosts
                .entry(route.rule.host.clone())
                .or_default()
                .push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.rule.prefix.len()));
        }
        Ok(Self {
            version: config.version,
            limits: config.limits,
            hosts,
            services,
            workspaces: Workspaces::compile(config.workspaces),
        })
    }

    /// Returns the route of a request. `host` must be in lower case and without
    /// a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.hosts.get(host)?.iter();
        routes.find(|r| path.starts_with(&r.rule.prefix))
    }

    /// Returns the configuration from which the table was compiled. The order
    /// of rules and services may differ.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        Configuration {
            version: self.version,
            limits: self.limits,
            rules: self.rules().cloned().collect(),
            services: self.services.values().cloned().collect(),
            workspaces: self.workspaces().map(|w| (**w).clone()).collect(),
        }
    }

    /// Returns whether a configuration replaces the one of this table. One of the same
    /// version does if only it has workspaces: an entry of a version that knows none has
    /// passed this one on without them.
    #[must_use]
    pub fn is_replaced_by(&self, config: &Configuration) -> bool {
        let completes = !self.has_workspaces() && !config.workspaces.is_empty();
        config.version > self.version || (config.version == self.version && completes)
    }

    /// Returns whether callers need keys, except for public routes.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.workspaces().next().is_some()
    }

    /// Returns the workspace to which a key belongs.
    #[must_use]
    pub fn workspace(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.find(key)
    }

    /// Returns the workspace with a name.
    #[must_use]
    pub fn workspace_named(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.workspaces.named(name)
    }

    /// Returns all workspaces in the order of the configuration.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.all()
    }

    /// Returns the part of the room that a workspace gets, relative to others.
    #[must_use]
    pub fn weight(&self, workspace: &Workspace) -> f64 {
        self.workspaces.weight(workspace)
    }

    /// Returns the keys that two workspaces state, with their owner first. The other
    /// one does not have it.
    #[must_use]
    pub fn shared_keys(&self) -> &[(WorkspaceName, WorkspaceName)] {
        self.workspaces.shared_keys()
    }

    /// Returns the rules of all hosts.
    pub fn rules(&self) -> impl Iterator<Item = &RouteRule> {
        let routes = self.hosts.values().flatten();
        routes.map(|r| r.rule.as_ref())
    }

    /// Returns the settings of a service that apply to all of its targets.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}

/// Checks that a rule is valid and refers to declared services only.
fn validate(
    rule: &RouteRule,
    services: &HashMap<ServiceName, ServiceRule>,
) -> Result<(), TableError> {
    let err = |cause| TableError {
        name: rule.name.clone(),
        cause,
    };
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        return Err(err("the prefix does not start and end with a slash"));
    }
    if rule
        .services
        .iter()
        .any(|p| !services.contains_key(&p.service))
    {
        return Err(err("a service of the split is not declared"));
    }
    if rule
        .services
        .iter()
        .any(|p| !p.weight.is_finite() || p.weight < 0.0)
    {
        return Err(err("a weight is negative or not finite"));
    }
    let weight_sum: f64 = rule.services.iter().map(|p| p.weight).sum();
    if weight_sum <= 0.0 {
        return Err(err("no weight is positive"));
    }
    if !weight_sum.is_finite() {
        return Err(err("the sum of the weights is not finite"));
    }
    if rule.timeout.0 == 0 || rule.attempts == 0 {
        return Err(err("the timeout or the number of attempts is zero"));
    }
    Ok(())
}
