//! The HTTP interface for callers.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use volo::net::Address;
use volo_http::{body::Body, server::Router};

use super::{State, carry, job::Inbound, lookup};
use crate::{
    adapters::http::{peer_ip, refusal_response},
    domain::{Millis, ServiceName},
    policy::refusal::{Code, Refusal},
};

/// Returns the router of the callers' server.
pub(super) fn router(state: &Arc<State>) -> Router {
    let state = state.clone();
    let handler = move |client: Address, req: Request<Body>| {
        let state = state.clone();
        async move {
            let mut resp = handle(&state, &client, req).await;
            if state.is_closing() {
                // The caller then connects to another entry before this one
                // stops.
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(header::CONNECTION, close);
            }
            resp
        }
    };
    Router::new().fallback(handler)
}

/// Answers a request to a service, or a lookup if the Host header names none.
async fn handle(state: &Arc<State>, client: &Address, req: Request<Body>) -> Response<Body> {
    let host = host(&req);
    let service = host.and_then(|h| h.parse::<ServiceName>().ok());
    let known = service.filter(|s| state.services.get(s, |s| s.document().is_ok()) == Some(true));
    let Some(service) = known else {
        if req.uri().path() == "/v1/entries" {
            return lookup::respond(state, peer_ip(client), &req);
        }
        let detail = format!("no document is in force for {:?}", host.unwrap_or_default());
        return refusal_response(&Refusal::not_run(Code::UnknownService, detail));
    };
    let name = service.to_string();
    let result = match parse_headers(service, req) {
        Ok(inbound) => carry::carry(state, inbound).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(resp) => resp.map(Body::from_body),
        Err(refusal) => {
            let metrics = &state.ports.metrics;
            metrics.count_refusal(&name, refusal.code.as_str());
            refusal_response(&refusal)
        }
    }
}

/// Returns the Host header without the port.
fn host(req: &Request<Body>) -> Option<&str> {
    let text = req.headers().get(header::HOST)?.to_str().ok()?;
    // A service name contains no colon, so the text after the last colon is the
    // port.
    Some(text.rsplit_once(':').map_or(text, |(name, _)| name))
}

/// Parses the headers that say how the request is to be carried.
fn parse_headers(service: ServiceName, req: Request<Body>) -> Result<Inbound, Refusal> {
    let bad_request = |detail: String| Refusal::not_run(Code::BadRequest, detail);
    let text = |name: &str| {
        let value = req.headers().get(name).map(|v| v.to_str());
        value
            .transpose()
            .map_err(|_| bad_request(format!("header {name}: not ASCII text")))
    };
    let deadline = match text("x-deadline-ms")? {
        Some(ms) => match ms.parse() {
            Ok(ms) if ms > 0 => Some(Millis(ms)),
            _ => {
                return Err(bad_request(format!(
                    "header x-deadline-ms: found {ms:?}, expected a whole number from 1"
                )));
            }
        },
        None => None,
    };
    let priority = match text("x-priority")? {
        Some(word) => Some(
            word.parse()
                .map_err(|e| bad_request(format!("header x-priority: {e}")))?,
        ),
        None => None,
    };
    let key = match text("idempotency-key")? {
        Some(key) if key.is_empty() || key.len() > 128 => {
            return Err(bad_request(
                "header idempotency-key: allowed are 1 to 128 characters".to_owned(),
            ));
        }
        key => key.map(str::to_owned),
    };
    Ok(Inbound {
        service,
        deadline,
        key,
        priority,
        request: req.map(BodyExt::boxed),
    })
}
