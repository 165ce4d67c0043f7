//! Serves lookups of callers, readiness checks and metrics.

use std::{net::SocketAddr, sync::Arc};

use eyre::WrapErr;
use http::{HeaderValue, Request, Response, StatusCode, header};
use serde_json::json;
use volo::net::Address;
use volo_http::{body::Body, server::Router};
use xxhash_rust::xxh3::xxh3_64;

use super::{State, explain, now};
use crate::{
    adapters::{
        http::{self as web, Limits, Server},
        metrics,
        platform::directory,
    },
    domain::Millis,
};

/// How long a caller may cache the response to a lookup. Some callers keep it
/// for three times as long, and use an entry that is stopping until then. At 2 s
/// twice as many requests reached stopping entries too late to be served.
const LOOKUP_TTL: Millis = Millis(1_000);

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Starts the servers of lookups, readiness checks and metrics, one for each
/// distinct address.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub(super) async fn bind(state: &Arc<State>) -> eyre::Result<Vec<Server>> {
    let settings = state.settings();
    let mut servers = Vec::new();
    let mut addrs = vec![settings.readiness, settings.metrics];
    addrs.extend(settings.directory);
    addrs.sort_unstable();
    addrs.dedup();
    for addr in addrs {
        servers.push(serve(state, addr).await?);
    }
    Ok(servers)
}

async fn serve(state: &Arc<State>, addr: SocketAddr) -> eyre::Result<Server> {
    let state = state.clone();
    let for_operators = addr == state.settings().metrics;
    let handler = move |peer: Address, req: Request<Body>| {
        let state = state.clone();
        async move {
            if for_operators && req.uri().path() == explain::EXPLAIN_PATH {
                return explain_request(&state, req.uri().query().unwrap_or_default());
            }
            respond(&state, &peer, &req)
        }
    };
    let router = Router::new().fallback(handler);
    let server = web::bind(addr, Limits::default(), router).await;
    server.wrap_err("start a server of lookups and checks")
}

fn respond(state: &State, peer: &Address, req: &Request<Body>) -> Response<Body> {
    match req.uri().path() {
        directory::READINESS_PATH => {
            let mut resp = Response::new(Body::empty());
            if !state.is_ready() {
                *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            resp
        }
        directory::RESOLVE_PATH => resolve(state, peer, req.uri().query().unwrap_or_default()),
        METRICS_PATH => {
            let metrics = &state.ports.metrics;
            metrics.set_demand(&state.region_demand());
            text(metrics::CONTENT_TYPE, metrics.encode())
        }
        _ => {
            let mut resp = Response::new(Body::empty());
            *resp.status_mut() = StatusCode::NOT_FOUND;
            resp
        }
    }
}

/// Answers where a request would go. It is served only at the address of the metrics,
/// because the answer contains the state of targets.
fn explain_request(state: &State, query: &str) -> Response<Body> {
    match explain::answer(state, query) {
        Ok(answer) => text("application/json", answer.to_string()),
        Err(cause) => {
            let mut resp = text("application/json", json!({ "error": cause }).to_string());
            *resp.status_mut() = StatusCode::BAD_REQUEST;
            resp
        }
    }
}

/// Answers a lookup with the entries for the caller's region. Callers at one
/// address get the same entries.
fn resolve(state: &State, peer: &Address, query: &str) -> Response<Body> {
    let caller = directory::read_query(query);
    let settings = state.settings();
    let region = caller.region.or_else(|| {
        let az = caller.az?;
        settings.zones.get(&az).cloned()
    });
    let region = region.unwrap_or_else(|| settings.region.clone());
    // The others learn of a stop from the store; this entry knows it already.
    let leaving = state.is_stopping().then_some(&settings.name);
    let caller_hash = web::peer_ip(peer).map_or(0, |ip| xxh3_64(ip.to_string().as_bytes()));
    let entries = state.entries();
    let mut fronts = entries.lookup_addresses(Some(&region), caller_hash, leaving);
    drop(entries);
    if fronts.is_empty() && state.is_ready() {
        // The entry list is empty if the store was unavailable since the start.
        fronts.push(settings.front);
    }
    if fronts.is_empty() {
        tracing::warn!(%region, at = %now(state), "directory: no entry is known for a lookup.");
        let mut resp = Response::new(Body::empty());
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return resp;
    }
    let ttl = LOOKUP_TTL.min(settings.bounds.lookup_ttl);
    text("application/json", directory::encode_response(&fronts, ttl))
}

/// Returns a response with a text and its content type.
fn text(content_type: &'static str, body: String) -> Response<Body> {
    let mut resp = Response::new(Body::from(body));
    let content_type = HeaderValue::from_static(content_type);
    resp.headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    resp
}
