//! Targets that answer after a time, and rules that leave them the time.

use std::time::Duration;

use http::{HeaderValue, Request, Response};
use savorybeam::{
    adapters::http::{self as web, Limits, Server},
    domain::{Millis, RouteRule},
};
use volo_http::{body::Body, server::Router};

/// Starts a target that answers with the response that `plan` returns, after the time
/// that it returns.
pub async fn serve(
    plan: impl Fn(&Request<Body>) -> (Duration, Response<Body>) + Clone + Send + Sync + 'static,
) -> Server {
    let handler = move |req: Request<Body>| {
        let (delay, mut resp) = plan(&req);
        async move {
            tokio::time::sleep(delay).await;
            let id = req.headers().get("request-id").cloned();
            let head = resp.headers_mut();
            head.insert("request-id", id.expect("a request id"));
            head.insert("server-seal", HeaderValue::from_static("seal"));
            resp
        }
    };
    let router = Router::new().fallback(handler);
    let server = web::bind(super::ANY_PORT, Limits::default(), router).await;
    server.expect("a port")
}

/// Starts a target that answers after the number of milliseconds that the path ends
/// in. `ran` gets each path.
pub async fn serve_paths(ran: impl Fn(&str) + Clone + Send + Sync + 'static) -> Server {
    serve(move |req| {
        let path = req.uri().path();
        ran(path);
        let delay = path.rsplit('/').next().expect("a delay").parse();
        let delay = Duration::from_millis(delay.expect("a number"));
        (delay, Response::new(Body::from("done")))
    })
    .await
}

/// Returns rules whose timeout lies behind the end of a stopping process.
pub fn rules() -> Vec<RouteRule> {
    let rules = super::browse_and_pay().into_iter().map(|rule| RouteRule {
        timeout: Millis(10_000),
        objective: Millis(2_000),
        ..rule
    });
    rules.collect()
}
