//! The state behind [`AdminPort`](crate::ports::AdminPort).

use http::Response;
use serde_json::json;
use volo_http::body::Body;

use super::{Admin, edit::service, reply};
use crate::{
    adapters::http::Query,
    domain::Millis,
    policy::admin::{Code, Failure},
};

pub(super) fn readyz(admin: &Admin) -> Result<Response<Body>, Failure> {
    match (admin.port.unready_reason)() {
        None => Ok(reply::text("ready\n")),
        Some(why) => Err(Failure::new(Code::NotReady, why).retry_after(Millis(1_000))),
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

pub(super) fn explain(admin: &Admin, query: &Query) -> Result<Response<Body>, Failure> {
    let name = query.text("service").ok_or_else(|| {
        let detail = "the query needs service=NAME";
        Failure::new(Code::BadRequest, detail)
    })?;
    let service = service(name)?;
    let decisions = (admin.port.explain)(&service);
    let value = json!({ "service": service.as_str(), "decisions": decisions });
    Ok(reply::json(&value))
}

/// Tells which revision each entry has in effect. It works without the store,
/// since an operator asks this most of all during an outage.
pub(super) async fn placements(admin: &Admin, name: &str) -> Result<Response<Body>, Failure> {
    let service = service(name)?;
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
