//! The encoding of a [`Configuration`].

use super::workspace::{WorkspaceMessage, decode_workspace, encode_workspace};
use crate::domain::{
    CallerLimits, Configuration, Millis, ParseError, Rank, RequestKind, Revision, RouteRule,
    ServiceRule, Size, WeightedService,
};

/// An encoded [`Configuration`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct ConfigMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    head_bytes: u64,
    #[prost(uint64, tag = "3")]
    body_bytes: u64,
    #[prost(uint64, tag = "4")]
    idle_ms: u64,
    #[prost(message, repeated, tag = "5")]
    rules: Vec<RuleMessage>,
    #[prost(message, repeated, tag = "6")]
    services: Vec<ServiceMessage>,
    /// Empty from entries of earlier versions.
    #[prost(message, repeated, tag = "7")]
    workspaces: Vec<WorkspaceMessage>,
}

/// An encoded [`RouteRule`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct RuleMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(string, tag = "3")]
    prefix: String,
    #[prost(string, tag = "4")]
    kind: String,
    #[prost(uint64, tag = "5")]
    objective_ms: u64,
    #[prost(uint64, tag = "6")]
    timeout_ms: u64,
    #[prost(uint32, tag = "7")]
    attempts: u32,
    #[prost(uint32, tag = "8")]
    priority: u32,
    #[prost(bool, tag = "9")]
    sticky: bool,
    #[prost(string, repeated, tag = "10")]
    homes: Vec<String>,
    #[prost(message, repeated, tag = "11")]
    parts: Vec<PartMessage>,
    /// False from entries of earlier versions.
    #[prost(bool, tag = "12")]
    public: bool,
}

/// An encoded [`WeightedService`] of a rule.
#[derive(Clone, prost::Message, PartialEq)]
pub struct PartMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(double, tag = "2")]
    weight: f64,
}

/// An encoded [`ServiceRule`].
#[derive(Clone, prost::Message, PartialEq)]
pub struct ServiceMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(double, tag = "2")]
    cold_rate: f64,
}

pub(super) fn encode_config(config: &Configuration) -> ConfigMessage {
    let service = |s: &ServiceRule| ServiceMessage {
        name: s.name.to_string(),
        cold_rate: s.cold_rate,
    };
    ConfigMessage {
        version: config.version.0,
        head_bytes: config.limits.max_head.0,
        body_bytes: config.limits.max_body.0,
        idle_ms: config.limits.idle_timeout.0,
        rules: config.rules.iter().map(encode_rule).collect(),
        services: config.services.iter().map(service).collect(),
        workspaces: config.workspaces.iter().map(encode_workspace).collect(),
    }
}

pub(super) fn decode_config(message: &ConfigMessage) -> Result<Configuration, ParseError> {
    let service = |s: &ServiceMessage| {
        Ok(ServiceRule {
            name: s.name.parse()?,
            cold_rate: s.cold_rate,
        })
    };
    let rules: Result<_, ParseError> = message.rules.iter().map(decode_rule).collect();
    let services: Result<_, ParseError> = message.services.iter().map(service).collect();
    let workspaces: Vec<_> = message
        .workspaces
        .iter()
        .filter_map(decode_workspace)
        .collect();
    if workspaces.is_empty() && !message.workspaces.is_empty() {
        // Without workspaces, callers would need no keys.
        return Err(ParseError::new(
            "workspaces",
            "",
            "at least one that can be read",
        ));
    }
    Ok(Configuration {
        version: Revision(message.version),
        limits: CallerLimits {
            max_head: Size(message.head_bytes),
            max_body: Size(message.body_bytes),
            idle_timeout: Millis(message.idle_ms),
        },
        rules: rules?,
        services: services?,
        workspaces,
    })
}

fn encode_rule(rule: &RouteRule) -> RuleMessage {
    let part = |p: &WeightedService| PartMessage {
        service: p.service.to_string(),
        weight: p.weight,
    };
    RuleMessage {
        name: rule.name.clone(),
        host: rule.host.clone(),
        prefix: rule.prefix.clone(),
        kind: rule.kind.to_string(),
        objective_ms: rule.objective.0,
        timeout_ms: rule.timeout.0,
        attempts: rule.attempts,
        priority: rule.rank.0,
        sticky: rule.sticky,
        homes: rule.home_regions.iter().map(ToString::to_string).collect(),
        parts: rule.services.iter().map(part).collect(),
        public: rule.public,
    }
}

fn decode_rule(message: &RuleMessage) -> Result<RouteRule, ParseError> {
    let part = |p: &PartMessage| {
        Ok(WeightedService {
            service: p.service.parse()?,
            weight: p.weight,
        })
    };
    let homes: Result<_, ParseError> = message.homes.iter().map(|r| r.parse()).collect();
    let parts: Result<_, ParseError> = message.parts.iter().map(part).collect();
    Ok(RouteRule {
        name: message.name.clone(),
        host: message.host.clone(),
        prefix: message.prefix.clone(),
        // An entry of a later version may know more kinds than this one.
        kind: message.kind.parse().unwrap_or(RequestKind::Unknown),
        objective: Millis(message.objective_ms),
        timeout: Millis(message.timeout_ms),
        attempts: message.attempts,
        rank: Rank(message.priority),
        public: message.public,
        sticky: message.sticky,
        home_regions: homes?,
        services: parts?,
    })
}
