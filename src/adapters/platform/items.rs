//! What lies in the store: configurations, evacuations, registrations and the
//! presence of entries.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::millis;
use crate::{
    domain::{
        CallerLimits, Configuration, EntryId, Instance, InstanceId, InstanceState, Mbps, Millis,
        Presence, RequestKind, Revision, RouteRule, ServiceRule, Size, Slots, WeightedService,
    },
    ports::Change,
};

const CONFIG: &str = "op/config";
const EVACUATE: &str = "op/evacuate/";
const SERVERS: &str = "servers/";
const ENTRIES: &str = "savorybeam/entries/";

/// The prefixes of all keys that mean something here.
pub(super) const PREFIXES: [&str; 3] = ["op/", ENTRIES, SERVERS];

/// Returns the key under which an entry announces itself.
pub(super) fn presence_key(presence: &Presence) -> String {
    format!("{ENTRIES}{}", presence.name)
}

/// One item, or the news that it is gone.
#[derive(Debug, Deserialize)]
pub(super) struct Item {
    pub key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    deleted: bool,
}

/// Decodes an item of the store. Returns none for keys that mean nothing here.
pub(super) fn decode(item: &Item) -> Option<Change> {
    let key = item.key.as_str();
    let result = if let Some(name) = key.strip_prefix(SERVERS) {
        read(item, name, registration, Change::Unregistered)
    } else if let Some(name) = key.strip_prefix(ENTRIES) {
        read(item, name, presence, Change::Left)
    } else if let Some(name) = key.strip_prefix(EVACUATE) {
        read(
            item,
            name,
            |az, _| Ok(Change::Evacuated(az)),
            Change::Restored,
        )
    } else if key == CONFIG && !item.deleted {
        bytes(item)
            .and_then(|b| configuration(&b))
            .map(|c| Change::Configured(Box::new(c)))
    } else {
        return None;
    };
    Some(result.unwrap_or_else(|cause| Change::Unreadable {
        key: key.to_owned(),
        cause,
    }))
}

fn read<T: std::str::FromStr<Err: ToString>>(
    item: &Item,
    name: &str,
    put: impl Fn(T, &[u8]) -> Result<Change, String>,
    gone: impl Fn(T) -> Change,
) -> Result<Change, String> {
    let name = parse(name)?;
    if item.deleted {
        return Ok(gone(name));
    }
    put(name, &bytes(item)?)
}

fn bytes(item: &Item) -> Result<Bytes, String> {
    let value = STANDARD.decode(&item.value);
    value.map(Bytes::from).map_err(|e| format!("value: {e}"))
}

fn json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

fn parse<T: std::str::FromStr<Err: ToString>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|e: T::Err| e.to_string())
}

fn time(field: &str, seconds: f64) -> Result<Millis, String> {
    millis(seconds).ok_or_else(|| format!("{field}: {seconds} s is not a duration"))
}

#[derive(Deserialize)]
struct WireServer {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: String,
    /// How much longer the server is slow after its start.
    #[serde(rename = "cold_left_s")]
    cold: f64,
    /// The number of this heartbeat.
    seq: u64,
    /// The Unix millisecond of its start.
    born: Option<u64>,
}

fn registration(id: InstanceId, bytes: &[u8]) -> Result<Change, String> {
    let wire: WireServer = json(bytes)?;
    if wire.slots == 0 {
        return Err("slots: 0 is not a number of slots".to_owned());
    }
    Ok(Change::Registered(Instance {
        id,
        service: parse(&wire.service)?,
        addr: parse(&wire.address)?,
        az: parse(&wire.zone)?,
        slots: Slots(wire.slots),
        state: parse::<InstanceState>(&wire.state)?,
        cold: time("cold_left_s", wire.cold)?,
        seq: wire.seq,
        started_at: wire.born.map(Millis),
    }))
}

#[derive(Deserialize, Serialize)]
struct WireEntry {
    front: String,
    #[serde(default)]
    peer: Option<String>,
    #[serde(default)]
    link_mbps: u32,
    az: String,
    region: String,
}

/// Encodes the presence of an entry, in standard base64.
pub(super) fn encode_presence(presence: &Presence) -> String {
    let wire = WireEntry {
        front: presence.front.to_string(),
        peer: presence.peer.map(|a| a.to_string()),
        link_mbps: presence.link.0,
        az: presence.az.to_string(),
        region: presence.region.to_string(),
    };
    // Plain strings always have a JSON form.
    STANDARD.encode(serde_json::to_vec(&wire).unwrap_or_default())
}

fn presence(name: EntryId, bytes: &[u8]) -> Result<Change, String> {
    let wire: WireEntry = json(bytes)?;
    Ok(Change::Joined(Presence {
        name,
        front: parse(&wire.front)?,
        peer: wire.peer.as_deref().map(parse).transpose()?,
        link: Mbps(wire.link_mbps),
        az: parse(&wire.az)?,
        region: parse(&wire.region)?,
    }))
}

#[derive(Deserialize)]
struct WireConfig {
    version: String,
    limits: WireLimits,
    listeners: Vec<WireListener>,
    clusters: Vec<WireCluster>,
}

#[derive(Deserialize)]
struct WireLimits {
    header_bytes: u64,
    body_bytes: u64,
    #[serde(rename = "idle_timeout_s")]
    idle: f64,
}

#[derive(Deserialize)]
struct WireListener {
    host: String,
    /// The routes of the host.
    policy: Vec<WireRoute>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: String,
    kind: String,
    slo_s: f64,
    priority: u32,
    #[serde(default)]
    sticky: bool,
    #[serde(rename = "match")]
    matches: WireMatch,
    action: WireAction,
}

#[derive(Deserialize)]
struct WireMatch {
    prefix: String,
}

#[derive(Deserialize)]
struct WireAction {
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WirePart>,
    timeout_s: f64,
    max_attempts: u32,
    #[serde(default)]
    home_regions: Vec<String>,
}

#[derive(Deserialize)]
struct WirePart {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct WireCluster {
    name: String,
    /// The requests a second that a cold server tolerates.
    #[serde(default, rename = "cold_per_s")]
    rate: f64,
}

/// Decodes a configuration. Whether it makes sense as a whole is decided by
/// [`Table::compile`](crate::policy::route::Table::compile).
pub(super) fn configuration(bytes: &[u8]) -> Result<Configuration, String> {
    let wire: WireConfig = json(bytes)?;
    let version = u64::from_str_radix(&wire.version, 16)
        .map_err(|e| format!("version {:?}: {e}", wire.version))?;
    let mut rules = Vec::new();
    for listener in wire.listeners {
        for route in listener.policy {
            let name = route.name.clone();
            let rule = rule(&listener.host, route);
            rules.push(rule.map_err(|e| format!("route {name}: {e}"))?);
        }
    }
    let services = wire.clusters.into_iter().map(|c| {
        Ok(ServiceRule {
            name: parse(&c.name)?,
            cold_rate: c.rate,
        })
    });
    Ok(Configuration {
        version: Revision(version),
        limits: CallerLimits {
            max_head: Size(wire.limits.header_bytes),
            max_body: Size(wire.limits.body_bytes),
            idle_timeout: time("idle_timeout_s", wire.limits.idle)?,
        },
        rules,
        services: services.collect::<Result<_, String>>()?,
    })
}

fn rule(host: &str, route: WireRoute) -> Result<RouteRule, String> {
    let action = route.action;
    let mut services = Vec::new();
    for part in action.traffic_split {
        services.push(WeightedService {
            service: parse(&part.service)?,
            weight: part.weight,
        });
    }
    if let Some(service) = action.service {
        services.push(WeightedService {
            service: parse(&service)?,
            weight: 1.0,
        });
    }
    let homes = action.home_regions.iter().map(|r| parse(r));
    Ok(RouteRule {
        name: route.name,
        host: host.to_ascii_lowercase(),
        prefix: route.matches.prefix,
        kind: kind(&route.kind)?,
        objective: time("slo_s", route.slo_s)?,
        timeout: time("timeout_s", action.timeout_s)?,
        attempts: action.max_attempts,
        priority: route.priority,
        sticky: route.sticky,
        home_regions: homes.collect::<Result<_, String>>()?,
        services,
    })
}

fn kind(word: &str) -> Result<RequestKind, String> {
    match word {
        "safe" => Ok(RequestKind::Idempotent),
        "unsafe" => Ok(RequestKind::Once),
        "download" => Ok(RequestKind::Download),
        _ => Err(format!("kind: {word:?} is not a kind of request")),
    }
}
