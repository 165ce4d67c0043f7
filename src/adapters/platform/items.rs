//! Decodes the items of the store: configurations, evacuations, registrations
//! of targets and announcements of entries.

use std::{fmt, net::SocketAddr};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{self, Visitor},
};

use super::{seconds_to_millis, shorten, tenants::parse_tenants};
use crate::{
    domain::{
        CallerLimits, Configuration, EntryId, Instance, InstanceId, InstanceState, Mbps, Millis,
        Position, Presence, Rank, RequestKind, Revision, RouteRule, ServiceRule, Size, Slots,
        TargetId, WeightedService,
    },
    ports::Change,
};

pub(super) const CONFIG_KEY: &str = "op/config";
const EVACUATE_PREFIX: &str = "op/evacuate/";
const SERVERS_PREFIX: &str = "servers/";
const ENTRIES_PREFIX: &str = "savorybeam/entries/";

/// The prefixes of all keys that are decoded.
pub(super) const KEY_PREFIXES: [&str; 3] = ["op/", ENTRIES_PREFIX, SERVERS_PREFIX];

/// Returns the key of the announcement of an entry.
pub(super) fn presence_key(presence: &Presence) -> String {
    format!("{ENTRIES_PREFIX}{}", presence.name)
}

/// One item of the store, or its deletion.
#[derive(Debug, Deserialize)]
pub(super) struct Item {
    pub key: Text,
    value: Option<Text>,
    /// The revision in which it was written.
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

impl Item {
    /// Returns the approximate size of the item in an answer, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.key.0.len() + self.value.as_ref().map_or(0, |v| v.0.len())
    }
}

/// A text of another writer. Bytes that are not UTF-8 are replaced, because an
/// error would make the whole response unreadable and not just one item.
#[derive(Debug, Default, Eq, PartialEq)]
pub(super) struct Text(pub String);

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TextVisitor;

        impl Visitor<'_> for TextVisitor {
            type Value = Text;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Text, E> {
                Ok(Text(String::from_utf8_lossy(bytes).into_owned()))
            }
        }

        // For bytes, unlike for a string, serde_json does not check the encoding.
        deserializer.deserialize_bytes(TextVisitor)
    }
}

/// Decodes an item of a response of the store at the position `at`. Returns none
/// for a key of an unknown kind.
pub(super) fn decode(item: &Item, at: Position) -> Option<Change> {
    let key = item.key.0.as_str();
    let position = item_position(item, at);
    let result = if let Some(name) = key.strip_prefix(SERVERS_PREFIX) {
        let parse = |id, bytes: &[u8]| parse_registration(id, bytes, position);
        decode_item(item, name, parse, Change::Unregistered)
    } else if let Some(name) = key.strip_prefix(ENTRIES_PREFIX) {
        decode_item(item, name, parse_presence, Change::Left)
    } else if let Some(name) = key.strip_prefix(EVACUATE_PREFIX) {
        decode_item(
            item,
            name,
            |az, _| Ok(Change::Evacuated(az)),
            Change::Restored,
        )
    } else if key == CONFIG_KEY && !item.deleted {
        decode_value(item)
            .and_then(|b| parse_configuration(&b))
            .map(|c| Change::Configured(Box::new(c)))
    } else {
        return None;
    };
    Some(result.unwrap_or_else(|cause| {
        Change::Unreadable {
            key: shorten(key),
            cause: shorten(&cause),
            target: key
                .strip_prefix(SERVERS_PREFIX)
                .and_then(|n| n.parse().ok()),
        }
    }))
}

/// Returns the position at which an item was written. An item cannot be newer than
/// the response that contains it: as written at that later revision, it would hide
/// each proper write up to there.
fn item_position(item: &Item, at: Position) -> Position {
    let written = Revision(item.revision);
    if written > at.revision {
        let key = shorten(&item.key.0);
        tracing::warn!(key, %written, %at, "store: an item is newer than the response that contains it.");
    }
    Position::new(at.era, written.min(at.revision))
}

/// Decodes an item whose key ends in a name. `put` converts a value to a
/// change, `delete` converts a deletion.
fn decode_item<T: std::str::FromStr<Err: ToString>>(
    item: &Item,
    name: &str,
    put: impl Fn(T, &[u8]) -> Result<Change, String>,
    delete: impl Fn(T) -> Change,
) -> Result<Change, String> {
    let name = parse(name)?;
    if item.deleted {
        return Ok(delete(name));
    }
    put(name, &decode_value(item)?)
}

/// Decodes the value of an item from base64.
fn decode_value(item: &Item) -> Result<Bytes, String> {
    let value = item.value.as_ref().map_or("", |v| &v.0);
    STANDARD
        .decode(value)
        .map(Bytes::from)
        .map_err(|e| format!("value: {e}"))
}

/// Parses a JSON object. The derived parsers accept an array of the fields, too,
/// which no proper writer produces.
fn parse_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    if !bytes.trim_ascii_start().starts_with(b"{") {
        return Err("the value is not a JSON object".to_owned());
    }
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

fn parse<T: std::str::FromStr<Err: ToString>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|e: T::Err| e.to_string())
}

fn parse_duration(field: &str, seconds: f64) -> Result<Millis, String> {
    seconds_to_millis(seconds)
        .ok_or_else(|| format!("{field}: {seconds} s is not a valid duration"))
}

/// An upper bound of the slots of a target. It serves one request on a connection,
/// and a host has no more ports for connections to it.
const MAX_SLOTS: u32 = 65_535;

/// The largest whole number that every JSON writer represents exactly. An entry
/// with a larger `seq` or `born` would make all later entries of the target look
/// older.
const MAX_NUMBER: u64 = (1 << 53) - 1;

#[derive(Deserialize)]
struct WireServer {
    service: String,
    address: String,
    zone: String,
    /// The version of its software. Nothing depends on it, but an entry without it
    /// is not from a server.
    #[serde(rename = "version")]
    _version: String,
    slots: u32,
    state: String,
    /// How much longer the server is slow after its start, in seconds.
    #[serde(rename = "cold_left_s")]
    cold: f64,
    /// The sequence number of the heartbeat.
    seq: u64,
    /// The time of its start, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

fn parse_registration(id: InstanceId, bytes: &[u8], position: Position) -> Result<Change, String> {
    let wire: WireServer = parse_json(bytes)?;
    if !(1..=MAX_SLOTS).contains(&wire.slots) {
        return Err(format!(
            "slots: {} is not from 1 to {MAX_SLOTS}",
            wire.slots
        ));
    }
    check_number("seq", wire.seq)?;
    check_number("born", wire.born.unwrap_or_default())?;
    Ok(Change::Registered(Instance {
        id,
        service: parse(&wire.service)?,
        addr: TargetId(parse_addr("address", &wire.address)?),
        az: parse(&wire.zone)?,
        slots: Slots(wire.slots),
        state: parse::<InstanceState>(&wire.state)?,
        cold: parse_duration("cold_left_s", wire.cold)?,
        seq: wire.seq,
        started_at: wire.born.map(Millis),
        position,
    }))
}

/// Returns an error for a number that no proper writer produces.
fn check_number(field: &str, number: u64) -> Result<(), String> {
    if number > MAX_NUMBER {
        return Err(format!("{field}: {number} is more than {MAX_NUMBER}"));
    }
    Ok(())
}

fn parse_addr(field: &str, text: &str) -> Result<SocketAddr, String> {
    let target: TargetId = parse(text)?;
    if !target.is_reachable() {
        return Err(format!("{field}: nothing can be sent to {target}"));
    }
    Ok(target.0)
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

/// Encodes the announcement of an entry as JSON in base64.
pub(super) fn encode_presence(presence: &Presence) -> String {
    let wire = WireEntry {
        front: presence.front.to_string(),
        peer: presence.peer.map(|a| a.to_string()),
        link_mbps: presence.link.0,
        az: presence.az.to_string(),
        region: presence.region.to_string(),
    };
    // Strings and numbers can always be serialized.
    STANDARD.encode(serde_json::to_vec(&wire).unwrap_or_default())
}

fn parse_presence(name: EntryId, bytes: &[u8]) -> Result<Change, String> {
    let wire: WireEntry = parse_json(bytes)?;
    let peer = wire.peer.as_deref().map(|a| parse_addr("peer", a));
    Ok(Change::Joined(Presence {
        name,
        front: parse_addr("front", &wire.front)?,
        peer: peer.transpose()?,
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
    /// An error about a value of another type would quote it, and it contains keys.
    #[serde(default)]
    tenants: serde_json::Value,
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
    public: serde_json::Value,
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
    /// The requests per second that a cold server can take.
    #[serde(default, rename = "cold_per_s")]
    rate: f64,
}

/// Parses a configuration.
/// [`Table::compile`](crate::policy::route::Table::compile) checks whether its
/// parts are consistent.
pub(super) fn parse_configuration(bytes: &[u8]) -> Result<Configuration, String> {
    let wire: WireConfig = parse_json(bytes)?;
    let version = parse_version(&wire.version)?;
    let mut rules = Vec::new();
    for listener in wire.listeners {
        for route in listener.policy {
            let name = route.name.clone();
            let rule = convert_rule(&listener.host, route);
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
        version,
        limits: CallerLimits {
            max_head: Size(wire.limits.header_bytes),
            max_body: Size(wire.limits.body_bytes),
            idle_timeout: parse_duration("idle_timeout_s", wire.limits.idle)?,
        },
        rules,
        services: services.collect::<Result<_, String>>()?,
        workspaces: parse_tenants(&wire.tenants)?,
    })
}

/// Parses the version of a configuration, which has eight hexadecimal digits. A
/// larger one could never be replaced by a proper one.
fn parse_version(text: &str) -> Result<Revision, String> {
    let valid = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let version = u64::from_str_radix(text, 16).ok().filter(|_| valid);
    let version = version.ok_or_else(|| format!("version {text:?} is not eight hex digits"));
    version.map(Revision)
}

fn convert_rule(host: &str, route: WireRoute) -> Result<RouteRule, String> {
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
    let public = parse_public(&route.name, &route.public);
    Ok(RouteRule {
        name: route.name,
        host: host.to_ascii_lowercase(),
        prefix: route.matches.prefix,
        kind: parse_kind(&route.kind),
        objective: parse_duration("slo_s", route.slo_s)?,
        timeout: parse_duration("timeout_s", action.timeout_s)?,
        attempts: action.max_attempts,
        rank: Rank(route.priority),
        public,
        sticky: route.sticky,
        home_regions: homes.collect::<Result<_, String>>()?,
        services,
    })
}

/// Parses whether callers of a route need no key. They need one if it cannot be read.
fn parse_public(route: &str, value: &serde_json::Value) -> bool {
    if !value.is_boolean() && !value.is_null() {
        tracing::warn!(route, "store: whether a route is public cannot be read.");
    }
    value.as_bool().unwrap_or_default()
}

/// Parses the kind of a route. A word of a later version of the platform makes
/// only its own route an unknown one: an error would void the configuration, and
/// with it the routes of all other hosts.
fn parse_kind(word: &str) -> RequestKind {
    match word {
        "safe" => RequestKind::Idempotent,
        "unsafe" => RequestKind::Once,
        "download" => RequestKind::Download,
        "upload" => RequestKind::Upload,
        _ => RequestKind::Unknown,
    }
}
