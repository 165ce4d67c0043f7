//! Responses with the state behind [`AdminPort`](crate::ports::AdminPort).

use http::Response;
use serde_json::json;
use volo_http::body::Body;

use super::{Admin, edit::parse_service, reply};
use crate::{
    adapters::http::Query,
    domain::Millis,
    policy::admin::{AdminError, Code},
};

pub(super) fn readyz(admin: &Admin) -> Result<Response<Body>, AdminError> {
    match (admin.port.unready_reason)() {
        None => Ok(reply::text("ready\n")),
        Some(reason) => Err(AdminError::new(Code::NotReady, reason).retry_after(Millis(1_000))),
    }
}

pub(super) fn status(admin: &Admin) -> Response<Body> {
    reply::json(&(admin.port.status)())
}

pub(super) async fn drains(admin: &Admin) -> Response<Body> {
    reply::json(&json!({ "drains": (admin.port.drains)(()).await }))
}

pub(super) fn limits(admin: &Admin) -> Response<Body> {
    reply::json(&json!({ "limits": (admin.port.limits)() }))
}

pub(super) fn explain(admin: &Admin, query: &Query) -> Result<Response<Body>, AdminError> {
    let name = query.text("service").ok_or_else(|| {
        let detail = "the query needs service=NAME";
        AdminError::new(Code::BadRequest, detail)
    })?;
    let service = parse_service(name)?;
    let decisions = (admin.port.explain)(&service);
    let value = json!({ "service": service.as_str(), "decisions": decisions });
    Ok(reply::json(&value))
}

/// Returns the revision that each entry has in effect. It works without the store,
/// since operators need it most during a store outage.
pub(super) async fn entry_revisions(
    admin: &Admin,
    name: &str,
) -> Result<Response<Body>, AdminError> {
    let service = parse_service(name)?;
    let all = (admin.port.entry_revisions)(service.clone()).await;
    let latest = all.iter().filter_map(|p| p.revision).max();
    let complete = latest.is_some() && all.iter().all(|p| p.revision == latest);
    Ok(reply::json(&json!({
        "service": service.as_str(),
        "latest": latest,
        "complete": complete,
        "entries": all,
    })))
}
