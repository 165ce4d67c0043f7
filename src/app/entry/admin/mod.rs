//! The administration interface of an entry: HTTP on an address of its own.
//!
//! Every entry serves it, and an edit may be sent to any entry, because the store
//! and not the entry decides which of several edits succeeds. Health checks and
//! metrics need no token. All paths below `/v1/` need the token of a team, and an
//! edit needs the token of the team that owns the document. Each topic has a
//! module: `edit` applies edits and determines their outcome, `documents`
//! returns documents, `views` the state behind [`AdminPort`], `timeline` events.
//! See [docs/api.md](../../../../docs/api.md).

mod auth;
mod body;
mod changes;
mod documents;
mod edit;
mod port;
mod reply;
mod timeline;
mod views;
mod watch;

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use http::{Method, Request, Response};
use volo_http::{body::Body, server::Router};

pub use self::{port::port, reply::failure_json};
pub use super::events::open as open_events;
use crate::{
    adapters::{
        http::{self as web, BindError, Limits, Query, Server},
        metrics::{CodeLabel, Metrics},
    },
    app::entry::State,
    domain::TeamName,
    policy::admin::{AdminError, Code},
    ports::{AdminPort, Clock, Events, Store},
};

/// How many connections of operators, health checks and scrapers may be open at
/// the same time. The connections of callers have a separate limit, so that
/// neither group can exhaust the other's.
const CONNECTIONS_MAX: u32 = 64;

/// The dependencies of the administration server.
#[derive(Clone)]
pub struct Admin {
    /// The token of each team.
    pub teams: BTreeMap<TeamName, String>,
    /// The clock.
    pub clock: Clock,
    /// The store that holds the documents.
    pub store: Store,
    /// The timeline of this entry.
    pub events: Events,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The state that operators may see.
    pub port: AdminPort,
}

/// Omits all fields, because the tokens must not get into logs.
impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Admin")
    }
}

/// Starts the administration server.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn spawn(addr: SocketAddr, admin: Admin) -> Result<Server, BindError> {
    let admin = Arc::new(admin);
    let handler = move |req: Request<Body>| {
        let admin = admin.clone();
        async move { handle(&admin, req).await }
    };
    let limits = Limits {
        connections: CONNECTIONS_MAX,
        ..Limits::default()
    };
    web::bind(addr, limits, Router::new().fallback(handler)).await
}

/// Starts the administration server of a running entry.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(state: &Arc<State>) -> Result<Server, BindError> {
    let State {
        settings, ports, ..
    } = &**state;
    let admin = Admin {
        teams: settings.teams.clone(),
        clock: ports.clock.clone(),
        store: ports.store.clone(),
        events: state.events.clone(),
        metrics: ports.metrics.clone(),
        port: port(state),
    };
    let server = spawn(settings.admin, admin).await?;
    watch::spawn(state);
    tracing::info!("admin: {} listens at {}.", settings.name, server.addr());
    Ok(server)
}

async fn handle(admin: &Admin, req: Request<Body>) -> Response<Body> {
    let is_edit = matches!(*req.method(), Method::PUT | Method::DELETE);
    let result = dispatch(admin, req).await;
    if is_edit {
        let code = result
            .as_ref()
            .err()
            .map_or("accepted", |f| f.code.as_str());
        admin.metrics.edits.get_or_create(&CodeLabel { code }).inc();
    }
    result.unwrap_or_else(|failure| reply::failure(&failure))
}

async fn dispatch(admin: &Admin, req: Request<Body>) -> Result<Response<Body>, AdminError> {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = req.method().clone();
    if let (&Method::GET, [name]) = (&method, parts.as_slice()) {
        match *name {
            "healthz" => return Ok(reply::text("healthy\n")),
            "readyz" => return views::readyz(admin),
            "metrics" => return Ok(reply::metrics(admin.metrics.encode())),
            _ => {}
        }
    }
    let team = auth::authenticate(&admin.teams, &req)?;
    let query = parse_query(&req)?;
    match (&method, parts.as_slice()) {
        (&Method::GET, ["v1", "documents"]) => documents::list(admin).await,
        (&Method::GET, ["v1", "documents", name]) => documents::get(admin, name, &query).await,
        (&Method::PUT, ["v1", "documents", name]) => {
            edit::put(admin, &team, name, &query, req).await
        }
        (&Method::DELETE, ["v1", "documents", name]) => {
            edit::delete(admin, &team, name, &query, &req).await
        }
        (&Method::GET, ["v1", "documents", name, "history"]) => {
            documents::history(admin, name).await
        }
        (&Method::GET, ["v1", "documents", name, "where"]) => {
            views::entry_revisions(admin, name).await
        }
        (&Method::GET, ["v1", "status"]) => Ok(views::status(admin)),
        (&Method::GET, ["v1", "drains"]) => Ok(views::drains(admin).await),
        (&Method::GET, ["v1", "limits"]) => Ok(views::limits(admin)),
        (&Method::GET, ["v1", "explain"]) => views::explain(admin, &query),
        (&Method::GET, ["v1", "timeline"]) => timeline::get(admin, &query, &req).await,
        _ => Err(unknown_path(&method, &path, &parts)),
    }
}

/// Returns the failure for an unknown path, or for a known one that does not accept
/// the method.
fn unknown_path(method: &Method, path: &str, parts: &[&str]) -> AdminError {
    let known = matches!(
        parts,
        ["healthz" | "readyz" | "metrics"]
            | [
                "v1",
                "documents" | "status" | "drains" | "limits" | "explain" | "timeline"
            ]
            | ["v1", "documents", _]
            | ["v1", "documents", _, "history" | "where"]
    );
    if known {
        return AdminError::new(
            Code::UnknownMethod,
            format!("{path} does not accept {method}"),
        );
    }
    AdminError::new(Code::UnknownPath, format!("there is no path {path:?}"))
}

fn parse_query(req: &Request<Body>) -> Result<Query, AdminError> {
    let text = req.uri().query().unwrap_or_default();
    text.parse().map_err(|e| reply::bad_request(&e))
}
