//! Decodes the tenants of a configuration, which are workspaces here.
//!
//! Each word is read on its own: a word of a wrong type or of a later version of the
//! platform costs that word only, with a warning, because an error would void the
//! configuration of all tenants.

use serde_json::{Map, Value};

use super::shorten;
use crate::domain::{KeyDigest, Quota, Rank, Rate, RegionName, Workspace, WorkspaceName};

/// Parses all tenants. Their keys are digested here, so that nothing else holds them.
///
/// # Errors
///
/// Returns an error if there are tenants but none can be read: without workspaces,
/// callers would need no keys.
pub(super) fn parse_tenants(tenants: &Value) -> Result<Vec<Workspace>, String> {
    let tenants = match tenants {
        Value::Null => return Ok(Vec::new()),
        Value::Array(tenants) => tenants,
        _ => return Err("tenants: not a list".to_owned()),
    };
    let workspaces: Vec<_> = tenants.iter().filter_map(parse_tenant).collect();
    if workspaces.is_empty() && !tenants.is_empty() {
        return Err("tenants: none of them can be read".to_owned());
    }
    Ok(workspaces)
}

fn parse_tenant(tenant: &Value) -> Option<Workspace> {
    let empty = Map::new();
    let fields = tenant.as_object().unwrap_or(&empty);
    let name = fields
        .get("name")
        .and_then(Value::as_str)
        .unwrap_or_default();
    let Ok(name) = name.parse() else {
        let name = shorten(name);
        tracing::warn!(name, "store: left out a tenant whose name cannot be read.");
        return None;
    };
    let reader = Reader {
        name: &name,
        fields,
    };
    Some(Workspace {
        home_regions: reader.read_homes()?,
        keys: reader.read_keys(),
        rank: reader.read_rank(),
        quota: reader.read_quota(),
        name,
    })
}

/// The fields of one tenant.
struct Reader<'a> {
    name: &'a WorkspaceName,
    fields: &'a Map<String, Value>,
}

impl Reader<'_> {
    /// Logs that a field cannot be read. The value may be a key and is not logged.
    fn warn(&self, field: &str, effect: &str) {
        let tenant = self.name;
        tracing::warn!(%tenant, field, effect, "store: a field of a tenant cannot be read.");
    }

    /// Returns the value of a field. A null counts as omitted.
    fn field(&self, name: &str) -> Option<&Value> {
        self.fields.get(name).filter(|value| !value.is_null())
    }

    /// Returns the digests of the keys. An empty key would admit callers that send an
    /// empty header.
    fn read_keys(&self) -> Vec<KeyDigest> {
        let Some(value) = self.field("api_keys") else {
            return Vec::new();
        };
        let mut digests = Vec::new();
        for key in value.as_array().unwrap_or(&vec![Value::Null]) {
            match key.as_str().filter(|key| !key.is_empty()) {
                Some(key) => digests.push(KeyDigest::of(key.as_bytes())),
                None => self.warn("api_keys", "the key admits nobody"),
            }
        }
        digests
    }

    fn read_rank(&self) -> Option<Rank> {
        let value = self.field("priority")?;
        let rank = value.as_u64().and_then(|rank| u32::try_from(rank).ok());
        if rank.is_none() {
            self.warn("priority", "the rank of the route applies");
        }
        rank.map(Rank)
    }

    /// Returns the quota, none if the rate is zero or omitted.
    fn read_quota(&self) -> Option<Quota> {
        let rate = self.read_amount("rate_per_s")?;
        let burst = self.read_amount("burst")?;
        (rate > 0.0).then_some(Quota {
            rate: Rate(rate),
            burst,
        })
    }

    /// Returns a number of at least 0, which is the value of an omitted field.
    fn read_amount(&self, field: &str) -> Option<f64> {
        let Some(value) = self.field(field) else {
            return Some(0.0);
        };
        let amount = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if amount.is_none() {
            self.warn(field, "the tenant has no quota");
        }
        amount
    }

    /// Returns the homes that can be read. If there are homes but none can be read, the
    /// tenant is left out, since its requests could run in any region.
    fn read_homes(&self) -> Option<Vec<RegionName>> {
        let Some(value) = self.field("home_regions") else {
            return Some(Vec::new());
        };
        let values = value.as_array();
        if values.is_some_and(Vec::is_empty) {
            return Some(Vec::new());
        }
        let mut homes = Vec::new();
        for home in values.unwrap_or(&vec![Value::Null]) {
            match home.as_str().and_then(|home| home.parse().ok()) {
                Some(home) => homes.push(home),
                None => self.warn("home_regions", "the region is not a home"),
            }
        }
        if homes.is_empty() {
            self.warn("home_regions", "the tenant is left out");
            return None;
        }
        Some(homes)
    }
}
