//! Tests of routing. A request that matches the wrong rule would reach a
//! service to which the configuration does not send it.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use savorybeam::{
    domain::{
        CallerLimits, Configuration, Millis, Rank, RequestKind, Revision, RouteRule, ServiceRule,
        Size, WeightedService,
    },
    policy::route::Table,
};

fn rule(host: &str, prefix: &str, services: &[(&str, f64)]) -> RouteRule {
    let weighted = |(service, weight): &(&str, f64)| WeightedService {
        service: service.parse().expect("a name"),
        weight: *weight,
    };
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        objective: Millis(300),
        timeout: Millis(800),
        attempts: 2,
        rank: Rank(1),
        public: false,
        sticky: false,
        home_regions: Vec::new(),
        services: services.iter().map(weighted).collect(),
    }
}

fn config(rules: Vec<RouteRule>) -> Configuration {
    let service = |name: &str| ServiceRule {
        name: name.parse().expect("a name"),
        cold_rate: 5.0,
    };
    Configuration {
        version: Revision(7),
        limits: CallerLimits {
            max_head: Size(16_384),
            max_body: Size(1 << 20),
            idle_timeout: Millis(15_000),
        },
        rules,
        services: ["bookings", "kits", "slots"].map(service).into(),
        workspaces: Vec::new(),
    }
}

fn table(rules: Vec<RouteRule>) -> Table {
    Table::compile(config(rules), 0).expect("a usable configuration")
}

/// Guards against matching a rule with a shorter prefix or of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        rule("a.example", "/", &[("slots", 1.0)]),
        rule("a.example", "/book/", &[("bookings", 1.0)]),
        rule("a.example", "/book/kits/", &[("kits", 1.0)]),
        rule("b.example", "/book/", &[("kits", 1.0)]),
    ]);
    let asked = [
        ("a.example", "/book/kits/7"),
        ("a.example", "/book/kits"),
        ("a.example", "/booking"),
        ("b.example", "/book/7"),
        ("b.example", "/other/"),
        ("c.example", "/book/7"),
    ];
    let found = asked.map(|(host, path)| {
        let route = table.find(host, path).map_or("none", |r| &r.rule.name);
        format!("{host}{path}: {route}")
    });
    insta::assert_snapshot!(found.join("\n"));
}

/// Guards against an invalid configuration that replaces the current one. Each
/// error must name the rule.
#[test]
fn invalid_rules_are_rejected() {
    let mut no_timeout = rule("a.example", "/s/", &[("slots", 1.0)]);
    no_timeout.timeout = Millis(0);
    let rules = [
        rule("a.example", "/open", &[("slots", 1.0)]),
        rule("a.example", "open/", &[("slots", 1.0)]),
        rule("a.example", "/u/", &[("unknown", 1.0)]),
        rule("a.example", "/n/", &[("slots", -1.0), ("kits", 2.0)]),
        rule("a.example", "/z/", &[("slots", 0.0)]),
        rule("a.example", "/e/", &[]),
        no_timeout,
    ];
    let errors = rules.map(|r| match Table::compile(config(vec![r]), 0) {
        Ok(_) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    });
    insta::assert_snapshot!(errors.join("\n"));
}

quickcheck! {
    /// Guards against a traffic split that deviates from its weights, even with
    /// little traffic.
    fn a_split_matches_its_weights(weights: (u8, u8, u8), seed: u64) -> bool {
        let weights = [weights.0, weights.1, weights.2].map(|w| f64::from(w) + 1.0);
        let names = ["bookings", "kits", "slots"];
        let services: Vec<(&str, f64)> = names.into_iter().zip(weights).collect();
        let rules = vec![rule("a.example", "/", &services)];
        let table = Table::compile(config(rules), seed).expect("usable");
        let route = table.find("a.example", "/x").expect("a route");
        let mut counts: BTreeMap<String, f64> = BTreeMap::new();
        for _ in 0..100 {
            *counts.entry(route.next_service().to_string()).or_default() += 1.0;
        }
        let sum: f64 = weights.iter().sum();
        services.iter().all(|(name, weight)| {
            let share = counts.get(*name).copied().unwrap_or_default() / 100.0;
            (share - weight / sum).abs() < 0.05
        })
    }
}
