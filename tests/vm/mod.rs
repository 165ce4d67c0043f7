//! What the platform tells an entry VM in tests: settings, a configuration and a
//! target.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use savorybeam::{
    domain::{
        AzName, Bounds, CallerLimits, Configuration, Instance, InstanceState, Mbps, Millis,
        RegionName, RequestKind, Revision, RouteRule, ServiceRule, Size, Slots, TargetId,
        WeightedService,
    },
    ports::VmSettings,
};

/// Any free port of loopback.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub fn settings(name: &str) -> VmSettings {
    let az: AzName = "a-1".parse().expect("a name");
    let region: RegionName = "north".parse().expect("a name");
    VmSettings {
        name: name.parse().expect("a name"),
        az: az.clone(),
        region: region.clone(),
        front: ANY,
        readiness: ANY,
        directory: None,
        control: None,
        metrics: ANY,
        seeds: Vec::new(),
        store: ANY,
        zones: [(az, region)].into(),
        cores: 1,
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
        },
    }
}

/// Returns a rule whose name is its prefix.
pub fn rule(kind: RequestKind, prefix: &str) -> RouteRule {
    RouteRule {
        name: prefix.to_owned(),
        host: "kitchens.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        objective: Millis(300),
        timeout: Millis(1_200),
        attempts: 2,
        priority: 1,
        sticky: true,
        home_regions: Vec::new(),
        services: vec![WeightedService {
            service: "slots".parse().expect("a name"),
            weight: 1.0,
        }],
    }
}

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
            name: "slots".parse().expect("a name"),
            cold_rate,
        }],
    }
}

pub fn instance(id: &str, addr: SocketAddr) -> Instance {
    Instance {
        id: id.parse().expect("an id"),
        service: "slots".parse().expect("a name"),
        addr: TargetId(addr),
        az: "a-1".parse().expect("a name"),
        slots: Slots(4),
        state: InstanceState::Ready,
        cold: Millis(0),
        seq: 1,
        started_at: Some(Millis(1)),
    }
}
