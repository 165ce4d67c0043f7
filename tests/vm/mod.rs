//! Builders of what the platform provides to an entry VM: its settings, a
//! configuration and a target.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod caller;
pub mod entry;
pub mod late;
pub mod raw;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use savorybeam::{
    domain::{
        AzName, Bounds, CallerLimits, Configuration, Instance, InstanceState, KeyDigest, Mbps,
        Millis, Position, Rank, RegionName, RequestKind, Revision, RouteRule, ServiceRule, Size,
        Slots, TargetId, WeightedService, Workspace,
    },
    ports::{Change, VmSettings},
};

/// A loopback address with port 0, which binds to a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns the settings of a VM in AZ `a-1`, with every listener on a free
/// port.
pub fn settings(name: &str) -> VmSettings {
    let az: AzName = "a-1".parse().expect("a valid name");
    let region: RegionName = "north".parse().expect("a valid name");
    VmSettings {
        name: name.parse().expect("a valid name"),
        az: az.clone(),
        region: region.clone(),
        front: ANY_PORT,
        readiness: ANY_PORT,
        directory: None,
        control: None,
        metrics: ANY_PORT,
        seeds: Vec::new(),
        store: ANY_PORT,
        zones: [(az, region)].into(),
        cores: 1,
        memory: Size::kib(160 * 1024),
        descriptors: 1_024,
        link: Mbps(100),
        bounds: Bounds {
            drain_deadline: Millis(2_500),
            config_deadline: Millis(2_500),
            grace_period: Millis(3_000),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Millis(10_000),
            cold_factor: 1.5,
            cold_slack: 5.0,
            lookup_ttl: Millis(5_000),
            max_shift: 0.15,
            quota_window: Millis(5_000),
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            revocation_limit: None,
        },
    }
}

/// An address on loopback at which nothing listens as long as this value lives. Its
/// port stays bound: a free port would be given to a target of a test that runs
/// beside this one.
pub struct ClosedAddr {
    pub addr: SocketAddr,
    _socket: tokio::net::TcpSocket,
}

impl ClosedAddr {
    pub fn bind() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind(ANY_PORT).expect("a port");
        Self {
            addr: socket.local_addr().expect("an address"),
            _socket: socket,
        }
    }
}

/// Returns a rule that has its prefix as its name.
pub fn rule(kind: RequestKind, prefix: &str) -> RouteRule {
    RouteRule {
        name: prefix.to_owned(),
        host: "kitchens.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        objective: Millis(300),
        timeout: Millis(1_200),
        attempts: 2,
        rank: Rank(1),
        public: false,
        sticky: true,
        home_regions: Vec::new(),
        services: vec![WeightedService {
            service: "slots".parse().expect("a valid name"),
            weight: 1.0,
        }],
    }
}

/// Returns a configuration with the given rules and the service `slots`.
pub fn configuration(version: u64, rules: Vec<RouteRule>, cold_rate: f64) -> Configuration {
    Configuration {
        version: Revision(version),
        limits: CallerLimits {
            max_head: Size(16_384),
            max_body: Size(1 << 20),
            idle_timeout: Millis(15_000),
        },
        rules,
        services: vec![ServiceRule {
            name: "slots".parse().expect("a valid name"),
            cold_rate,
        }],
        workspaces: Vec::new(),
    }
}

/// Returns a rule for requests that may be repeated, and one for those that may not.
pub fn browse_and_pay() -> Vec<RouteRule> {
    vec![
        rule(RequestKind::Idempotent, "/browse/"),
        rule(RequestKind::Once, "/pay/"),
    ]
}

/// Returns the change by which a configuration with the given rules takes effect.
pub fn configured(version: u64, rules: Vec<RouteRule>) -> Change {
    Change::Configured(Box::new(configuration(version, rules, 10.0)))
}

/// Returns a workspace with the given keys and without limits.
pub fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.parse().expect("a valid name"),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        rank: None,
        quota: None,
        home_regions: Vec::new(),
    }
}

/// Returns a ready target of the service `slots` with four slots.
pub fn instance(id: &str, addr: SocketAddr) -> Instance {
    Instance {
        id: id.parse().expect("a valid id"),
        service: "slots".parse().expect("a valid name"),
        addr: TargetId(addr),
        az: "a-1".parse().expect("a valid name"),
        slots: Slots(4),
        state: InstanceState::Ready,
        cold: Millis(0),
        seq: 1,
        position: Position::default(),
        started_at: Some(Millis(1)),
    }
}
