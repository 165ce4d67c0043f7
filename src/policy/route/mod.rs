//! Which services may run a request.
//!
//! A [`Table`] is compiled from a whole configuration and never changes, so that
//! a request is handled by one version from beginning to end; a new version is
//! swapped in beside it. A host's rules are tried from the longest prefix to the
//! shortest. A host has a handful of rules, so a sorted list beats a trie.
//!
//! A split draws from a low-discrepancy sequence instead of a random number: the
//! shares are then exact to within a request or two at each entry, also for a
//! route with little traffic. See [docs/platform.md](../../../docs/platform.md).

use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::domain::{CallerLimits, Configuration, Revision, RouteRule, ServiceName, ServiceRule};

/// Why a configuration cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableError {
    /// The name of the rule or service.
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

/// A rule with the state of its split.
#[derive(Debug)]
pub struct Route {
    /// The rule, which requests share.
    pub rule: Arc<RouteRule>,
    drawn: AtomicU64,
}

/// The part of the unit interval between two draws of a split: the golden ratio,
/// which spreads any number of draws evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

impl Route {
    /// Draws the service that is to run the next request.
    #[must_use]
    pub fn draw(&self) -> &ServiceName {
        let parts = &self.rule.services;
        let n = self.drawn.fetch_add(1, Ordering::Relaxed);
        let sum: f64 = parts.iter().map(|p| p.weight).sum();
        #[expect(clippy::cast_precision_loss)]
        let mut left = (n as f64 * STEP).fract() * sum;
        for part in parts {
            if left < part.weight {
                return &part.service;
            }
            left -= part.weight;
        }
        // Rounding may leave a rest after the last part.
        &parts[parts.len() - 1].service
    }
}

/// All routes of one configuration.
#[derive(Debug)]
pub struct Table {
    /// The version of the configuration.
    pub version: Revision,
    /// What callers may send.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, ServiceRule>,
}

impl Table {
    /// Compiles a configuration. Entries pass different seeds, so that their
    /// splits do not all begin with the same part.
    ///
    /// # Errors
    ///
    /// Returns the first rule that cannot be used. The configuration in force
    /// then stays.
    pub fn compile(config: Configuration, seed: u64) -> Result<Self, TableError> {
        let services = config.services.into_iter();
        let services: HashMap<_, _> = services.map(|s| (s.name.clone(), s)).collect();
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for rule in config.rules {
            check(&rule, &services)?;
            let route = Route {
                drawn: AtomicU64::new(seed % 1024),
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
        })
    }

    /// Returns the route of a request. `host` is in lower case, without a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.hosts.get(host)?.iter();
        routes.find(|r| path.starts_with(&r.rule.prefix))
    }

    /// Returns the configuration again, with the rules and services in any order.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let routes = self.hosts.values().flatten();
        Configuration {
            version: self.version,
            limits: self.limits,
            rules: routes.map(|r| RouteRule::clone(&r.rule)).collect(),
            services: self.services.values().cloned().collect(),
        }
    }

    /// Returns what all targets of a service have in common.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}

fn check(rule: &RouteRule, services: &HashMap<ServiceName, ServiceRule>) -> Result<(), TableError> {
    let err = |cause| TableError {
        name: rule.name.clone(),
        cause,
    };
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        return Err(err("the prefix does not begin and end with a slash"));
    }
    if rule
        .services
        .iter()
        .any(|p| !services.contains_key(&p.service))
    {
        return Err(err("a service is not declared"));
    }
    if rule
        .services
        .iter()
        .any(|p| !p.weight.is_finite() || p.weight < 0.0)
    {
        return Err(err("a weight is negative"));
    }
    if rule.services.iter().map(|p| p.weight).sum::<f64>() <= 0.0 {
        return Err(err("no part has a weight"));
    }
    if rule.timeout.0 == 0 || rule.attempts == 0 {
        return Err(err("no time or no attempt is allowed"));
    }
    Ok(())
}
