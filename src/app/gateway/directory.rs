//! Look-ups of callers, readiness checks and metrics.

use std::{net::SocketAddr, sync::Arc};

use eyre::WrapErr;
use http::{HeaderValue, Request, Response, StatusCode, header};
use volo_http::{body::Body, server::Router};

use super::{State, now};
use crate::{
    adapters::{
        http::{self as web, Limits, Server},
        metrics,
        platform::directory,
    },
    domain::Millis,
};

/// How long a caller keeps an answer. An entry that leaves is no longer found
/// after this time.
const TTL: Millis = Millis(2_000);

/// The path of the metrics.
const METRICS: &str = "/metrics";

/// Starts the servers of everything but callers' requests.
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
    let handler = move |req: Request<Body>| {
        let state = state.clone();
        async move { respond(&state, &req) }
    };
    let router = Router::new().fallback(handler);
    let server = web::bind(addr, Limits::default(), router).await;
    server.wrap_err("start a server of checks and look-ups")
}

fn respond(state: &State, req: &Request<Body>) -> Response<Body> {
    match req.uri().path() {
        directory::READINESS => {
            let mut resp = Response::new(Body::empty());
            if !state.is_ready() {
                *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            resp
        }
        directory::RESOLVE => resolve(state, req.uri().query().unwrap_or_default()),
        METRICS => text(metrics::CONTENT_TYPE, state.ports.metrics.encode()),
        _ => {
            let mut resp = Response::new(Body::empty());
            *resp.status_mut() = StatusCode::NOT_FOUND;
            resp
        }
    }
}

fn resolve(state: &State, query: &str) -> Response<Body> {
    let caller = directory::read_query(query);
    let settings = state.settings();
    let region = caller.region.or_else(|| {
        let az = caller.az?;
        settings.zones.get(&az).cloned()
    });
    let region = region.unwrap_or_else(|| settings.region.clone());
    let mut fronts = state.entries().lookup_addresses(Some(&region));
    if fronts.is_empty() && state.is_ready() {
        // Nobody is announced while the store is away since the start.
        fronts.push(settings.front);
    }
    if fronts.is_empty() {
        tracing::warn!(%region, at = %now(state), "directory: no entry is known.");
        let mut resp = Response::new(Body::empty());
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return resp;
    }
    let ttl = TTL.min(settings.bounds.lookup_ttl);
    text("application/json", directory::write_answer(&fronts, ttl))
}

fn text(kind: &'static str, body: String) -> Response<Body> {
    let mut resp = Response::new(Body::from(body));
    let kind = HeaderValue::from_static(kind);
    resp.headers_mut().insert(header::CONTENT_TYPE, kind);
    resp
}
