//! Look-ups of callers: which entries to use.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    adapters::http::Query,
    domain::{AzName, Millis, RegionName},
};

/// The path of a look-up.
pub const RESOLVE: &str = "/resolve";

/// The path of a readiness check.
pub const READINESS: &str = "/readiness";

/// Where the caller of a look-up is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Caller {
    /// Its region, if it states a valid one.
    pub region: Option<RegionName>,
    /// Its availability zone, if it states a valid one.
    pub az: Option<AzName>,
}

/// Reads the query of a look-up.
#[must_use]
pub fn read_query(query: &str) -> Caller {
    let query: Query = query.parse().unwrap_or_default();
    let text = |name| query.text(name);
    Caller {
        region: text("region").and_then(|t| t.parse().ok()),
        az: text("zone").and_then(|t| t.parse().ok()),
    }
}

#[derive(Serialize)]
struct Answer<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Writes the answer of a look-up.
#[must_use]
pub fn write_answer(fronts: &[SocketAddr], ttl: Millis) -> String {
    let answer = Answer {
        addresses: fronts,
        ttl_s: ttl.duration().as_secs_f64(),
    };
    // Addresses and a number always have a JSON form.
    serde_json::to_string(&answer).unwrap_or_default()
}
