//! Answers lookups: which entries a caller of a service should use.

use std::{net::IpAddr, sync::Arc};

use http::{Request, Response, header};
use volo_http::body::Body;

use super::State;
use crate::{
    adapters::http::refusal_response,
    domain::ServiceName,
    policy::{
        lookup::rank,
        refusal::{Code, Refusal},
    },
};

/// Answers `GET /v1/entries?service=NAME`.
pub(super) fn respond(
    state: &Arc<State>,
    client: Option<IpAddr>,
    req: &Request<Body>,
) -> Response<Body> {
    let Some(service) = queried_service(req) else {
        let detail = "the query needs service=NAME";
        return refusal_response(&Refusal::not_run(Code::BadRequest, detail));
    };
    if state.services.get(&service, |s| s.document().is_ok()) != Some(true) {
        let detail = format!("no document is in force for {service}");
        return refusal_response(&Refusal::not_run(Code::UnknownService, detail));
    }
    let view = state.view();
    let now = (state.ports.clock.now)();
    // A client outside all configured blocks is taken to be in this entry's
    // region, since it found this entry.
    let region = client.and_then(|c| state.locations.region(c));
    let region = region.unwrap_or(&state.settings.region);
    let ranking = rank(&service, region, &view, now);
    let urls = ranking
        .entries
        .iter()
        .map(|c| format!("http://{}", c.address));
    let max_age_s = ranking.max_age.0 / 1000;
    let text = serde_json::json!({
        "service": service.as_str(),
        "max_age": max_age_s,
        "entries": urls.collect::<Vec<_>>(),
    });
    let resp = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CACHE_CONTROL, format!("max-age={max_age_s}"));
    resp.body(Body::from(text.to_string())).unwrap_or_default()
}

/// Returns the service that the query names.
fn queried_service(req: &Request<Body>) -> Option<ServiceName> {
    let mut pairs = req.uri().query()?.split('&');
    let value = pairs.find_map(|p| p.strip_prefix("service="))?;
    value.parse().ok()
}
