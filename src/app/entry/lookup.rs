//! Answers of look-ups.

use std::sync::Arc;

use http::{Request, Response, header};
use volo_http::body::Body;

use super::State;
use crate::{
    adapters::http::answer,
    domain::ServiceName,
    policy::refusal::{Code, Refusal},
};

/// How long a caller may keep the answer, in seconds.
const MAX_AGE: u64 = 5;

/// Answers `GET /v1/entries?service=NAME`.
pub(super) fn respond(state: &Arc<State>, req: &Request<Body>) -> Response<Body> {
    let Some(service) = service(req) else {
        let detail = "the query needs service=NAME";
        return answer(&Refusal::not_run(Code::BadRequest, detail));
    };
    if state.services.get(&service, |_| ()).is_none() {
        let detail = format!("no document is in force for {service}");
        return answer(&Refusal::not_run(Code::UnknownService, detail));
    }
    let text = serde_json::json!({
        "service": service.as_str(),
        "max_age": MAX_AGE,
        "entries": [format!("http://{}", state.settings.callers)],
    });
    let resp = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CACHE_CONTROL, format!("max-age={MAX_AGE}"));
    resp.body(Body::from(text.to_string())).unwrap_or_default()
}

fn service(req: &Request<Body>) -> Option<ServiceName> {
    let mut pairs = req.uri().query()?.split('&');
    let value = pairs.find_map(|p| p.strip_prefix("service="))?;
    value.parse().ok()
}
