//! The settings file that the platform writes.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde::Deserialize;

use super::seconds_to_millis;
use crate::{
    domain::{Bounds, Mbps, Millis, Size},
    ports::VmSettings,
};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SAVORYBEAM_BOOT";

/// The help text of the option that replaces the variable.
pub const SETTINGS_PATH_HELP: &str =
    "The platform's settings file; defaults to the environment variable `SAVORYBEAM_BOOT`";

/// Lists all faults of invalid settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// One line for each fault.
    pub faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "read settings: {}", self.faults.join("; "))
    }
}

impl std::error::Error for SettingsError {}

#[derive(Deserialize)]
struct WireSettings {
    #[serde(rename = "self")]
    own: WireSelf,
    network: WireNetwork,
    provider: WireProvider,
    terms: WireTerms,
}

#[derive(Deserialize)]
struct WireSelf {
    node_name: String,
    ip: String,
    zone: String,
    region: String,
    limits: WireLimits,
}

#[derive(Deserialize)]
struct WireLimits {
    cores: f64,
    #[serde(default = "default_memory_mb")]
    memory_mb: u64,
    max_fds: usize,
    #[serde(default)]
    link_mbps: f64,
}

/// The memory that applies if the file does not state it: the smallest of the
/// users' deployments.
fn default_memory_mb() -> u64 {
    160
}

#[derive(Deserialize)]
struct WireNetwork {
    listen: WireListen,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    zones: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct WireListen {
    front: String,
    readiness: String,
    control: Option<String>,
    directory: Option<String>,
}

/// The mapping that describes the platform. It contains a mapping of the same
/// name.
#[derive(Deserialize)]
struct WireProvider {
    provider: WireStore,
}

#[derive(Deserialize)]
struct WireStore {
    address: String,
}

#[derive(Deserialize)]
struct WireTerms {
    bounds: WireBounds,
}

#[derive(Deserialize)]
#[serde(default)]
struct WireBounds {
    drain_s: f64,
    #[serde(rename = "config_apply_s")]
    config: f64,
    grace_s: f64,
    #[serde(rename = "retry_budget_ratio")]
    retry_ratio: f64,
    #[serde(rename = "retry_budget_slack")]
    retry_slack: f64,
    #[serde(rename = "budget_window_s")]
    retry_window: f64,
    cold_overshoot: f64,
    cold_slack: f64,
    #[serde(rename = "ttl_max_s")]
    ttl: f64,
    max_shift: f64,
    #[serde(rename = "quota_window_s")]
    quota_window: f64,
    quota_overshoot: f64,
    quota_slack: f64,
    /// Whether an entry that may not know of a withdrawn key refuses all keys.
    strict_revoke: bool,
    /// The time after which it does so.
    revoke_s: f64,
}

/// The bounds that apply if the file does not state them: the strictest of the
/// users' deployments.
impl Default for WireBounds {
    fn default() -> Self {
        Self {
            drain_s: 2.5,
            config: 2.5,
            grace_s: 6.0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: 10.0,
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            ttl: 5.0,
            max_shift: 0.15,
            quota_window: 5.0,
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            strict_revoke: false,
            revoke_s: 5.0,
        }
    }
}

/// Collects faults, so that one error lists all of them.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    /// Parses a value. Records a fault if it is invalid.
    fn parse<T: std::str::FromStr<Err: fmt::Display>>(&mut self, key: &str, s: &str) -> Option<T> {
        let value = s.parse();
        value.map_err(|e| self.0.push(format!("{key}: {e}"))).ok()
    }

    /// Converts a duration. Records a fault if it is invalid.
    fn duration(&mut self, key: &str, seconds: f64) -> Millis {
        seconds_to_millis(seconds).unwrap_or_else(|| {
            self.0
                .push(format!("{key}: {seconds} s is not a valid duration"));
            Millis::default()
        })
    }
}

/// Parses the settings. `metrics_port` is the port of the metrics server, which
/// the platform reads from the deploy file and not from the settings.
///
/// # Errors
///
/// Returns all faults, each with its key.
pub fn parse(text: &str, metrics_port: u16) -> Result<VmSettings, SettingsError> {
    let wire: WireSettings = serde_norway::from_str(text).map_err(|e| SettingsError {
        faults: vec![e.to_string()],
    })?;
    let mut faults = Faults::default();
    let settings = convert_settings(&wire, metrics_port, &mut faults);
    match settings {
        Some(settings) if faults.0.is_empty() => Ok(settings),
        _ => Err(SettingsError { faults: faults.0 }),
    }
}

/// Converts the settings. Returns none if a required value is invalid.
fn convert_settings(wire: &WireSettings, metrics_port: u16, f: &mut Faults) -> Option<VmSettings> {
    let (own, net) = (&wire.own, &wire.network);
    let name = f.parse("self.node_name", &own.node_name);
    let az = f.parse("self.zone", &own.zone);
    let region = f.parse("self.region", &own.region);
    let ip = f.parse("self.ip", &own.ip);
    let listen = &net.listen;
    let front = f.parse("network.listen.front", &listen.front);
    let readiness = f.parse("network.listen.readiness", &listen.readiness);
    let directory = listen.directory.as_ref();
    let directory = directory.and_then(|a| f.parse("network.listen.directory", a));
    let control = listen.control.as_ref();
    let control = control.and_then(|a| f.parse("network.listen.control", a));
    let store = f.parse("provider.provider.address", &wire.provider.provider.address);
    let seeds = net.seeds.iter().filter_map(|s| f.parse("network.seeds", s));
    let seeds = seeds.collect();
    let zones = net.zones.iter().filter_map(|(az, region)| {
        Some((
            f.parse("network.zones", az)?,
            f.parse("network.zones", region)?,
        ))
    });
    let zones = zones.collect();
    let bounds = convert_bounds(&wire.terms.bounds, f);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let cores = own.limits.cores.ceil().clamp(1.0, 64.0) as usize;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let link = Mbps(own.limits.link_mbps as u32);
    Some(VmSettings {
        name: name?,
        az: az?,
        region: region?,
        front: front?,
        readiness: readiness?,
        directory,
        control,
        metrics: SocketAddr::new(ip?, metrics_port),
        seeds,
        store: store?,
        zones,
        cores,
        memory: Size::kib(own.limits.memory_mb.saturating_mul(1024)),
        descriptors: own.limits.max_fds,
        link,
        bounds,
    })
}

fn convert_bounds(wire: &WireBounds, f: &mut Faults) -> Bounds {
    Bounds {
        drain_deadline: f.duration("drain_s", wire.drain_s),
        config_deadline: f.duration("config_apply_s", wire.config),
        grace_period: f.duration("grace_s", wire.grace_s),
        retry_ratio: wire.retry_ratio,
        retry_slack: wire.retry_slack,
        retry_window: f.duration("budget_window_s", wire.retry_window),
        cold_factor: wire.cold_overshoot,
        cold_slack: wire.cold_slack,
        lookup_ttl: f.duration("ttl_max_s", wire.ttl),
        max_shift: wire.max_shift,
        quota_window: f.duration("quota_window_s", wire.quota_window),
        quota_overshoot: wire.quota_overshoot,
        quota_slack: wire.quota_slack,
        revocation_limit: wire
            .strict_revoke
            .then(|| f.duration("revoke_s", wire.revoke_s)),
    }
}
