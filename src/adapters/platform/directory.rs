//! Lookups, by which callers find the entries to use.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    adapters::http::Query,
    domain::{AzName, Millis, RegionName},
};

/// The path of a lookup.
pub const RESOLVE_PATH: &str = "/resolve";

/// The path of a readiness check.
pub const READINESS_PATH: &str = "/readiness";

/// The location of the caller that sends a lookup.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerLocation {
    /// Its region, if it states a valid one.
    pub region: Option<RegionName>,
    /// Its availability zone, if it states a valid one.
    pub az: Option<AzName>,
}

/// Reads the query of a lookup.
#[must_use]
pub fn read_query(query: &str) -> CallerLocation {
    let query: Query = query.parse().unwrap_or_default();
    let text = |name| query.text(name);
    CallerLocation {
        region: text("region").and_then(|t| t.parse().ok()),
        az: text("zone").and_then(|t| t.parse().ok()),
    }
}

#[derive(Serialize)]
struct LookupResponse<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Encodes the response to a lookup.
#[must_use]
pub fn encode_response(fronts: &[SocketAddr], ttl: Millis) -> String {
    let response = LookupResponse {
        addresses: fronts,
        ttl_s: ttl.duration().as_secs_f64(),
    };
    // Addresses and a finite number can always be serialized.
    serde_json::to_string(&response).unwrap_or_default()
}
