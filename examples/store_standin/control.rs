//! The control port, which speaks HTTP/1.1.
//!
//! * `POST /slow/MS` delays every call, zero ends it.
//! * `POST /lose/N` loses the next N responses to writes that took effect.
//! * `POST /fail/N` answers the next N writes with an error after they took
//!   effect.
//! * `POST /down` closes the listener and all connections, `POST /up` ends it.
//! * `POST /break` closes all connections once.
//! * `POST /freeze` leaves all open connections silent; new ones work.
//! * `POST /compact` forgets all former versions.
//! * `GET /counts` reports the calls as JSON.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{faults::Faults, state::Store};

/// Serves the control port as long as the process runs.
pub async fn run(listener: TcpListener, store: Arc<Store>, faults: Arc<Faults>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                eprintln!("control: accept: {e}");
                continue;
            }
        };
        let (store, faults) = (store.clone(), faults.clone());
        let run = service_fn(move |request: Request<Incoming>| {
            let response = respond(&request, &store, &faults);
            std::future::ready(Ok::<_, Infallible>(response))
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), run));
    }
}

fn respond(request: &Request<Incoming>, store: &Store, faults: &Faults) -> Response<Full<Bytes>> {
    let mut words = request.uri().path().split('/').skip(1);
    let word = words.next().unwrap_or_default();
    let number = words.next().and_then(|n| n.parse::<u64>().ok());
    let mut body = serde_json::Value::Null;
    match (request.method(), word, number) {
        (&Method::POST, "slow", Some(ms)) => faults.set_slow(ms),
        (&Method::POST, "lose", Some(count)) => faults.set_lose(count),
        (&Method::POST, "fail", Some(count)) => faults.set_fail(count),
        (&Method::POST, "down", None) => drop(faults.down.send_replace(true)),
        (&Method::POST, "up", None) => drop(faults.down.send_replace(false)),
        (&Method::POST, "break", None) => faults.breaks.send_modify(|n| *n += 1),
        (&Method::POST, "freeze", None) => faults.freezes.send_modify(|n| *n += 1),
        (&Method::POST, "compact", None) => store.compact(),
        (&Method::GET, "counts", None) => body = faults.counts(),
        _ => {
            let mut response = Response::new(Full::new(Bytes::from_static(b"no such control\n")));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
    }
    Response::new(Full::new(body.to_string().into()))
}
