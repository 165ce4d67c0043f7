//! A caller of a gateway: its requests and what it reads of the answers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use savorybeam::{
    adapters::{
        clock,
        http::{self as web, PoolConfig, full_body},
    },
    domain::TargetId,
    ports::{Body, Outbound, Targets},
};

/// Returns a client with connections of its own.
pub fn client() -> Targets {
    web::open(clock::open(), PoolConfig::default())
}

/// Returns a request to the host of the routes with the given further headers.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Body> {
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", "kitchens.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(full_body(body.into())).expect("a request")
}

/// Sends a request and returns the head of the answer.
pub async fn send(client: &Targets, addr: SocketAddr, request: Request<Body>) -> Response<Body> {
    let out = Outbound::new(TargetId(addr), request);
    (client.send)(out).await.expect("an answer")
}

/// Returns the outcome that a refusal tells, or that the answer is of a target.
pub fn outcome(resp: &Response<Body>) -> &str {
    let outcome = resp.headers().get("x-savorybeam-outcome");
    outcome.map_or("of a target", |v| v.to_str().expect("text"))
}
