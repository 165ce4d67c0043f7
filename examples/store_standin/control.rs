//! The control port, which speaks HTTP/1.1.
//!
//! * `POST /slow/MS` delays every call by MS milliseconds; zero removes the delay.
//! * `POST /lose/N` drops the next N responses to writes that took effect.
//! * `POST /fail/N` answers the next N writes with an error after they took
//!   effect.
//! * `POST /down` closes the listener and all connections; `POST /up` listens again.
//! * `POST /break` closes all connections once.
//! * `POST /freeze` stops reading and writing on all open connections, but keeps
//!   them open; new connections work.
//! * `POST /compact` discards all superseded versions and the event log.
//! * `POST /copy` keeps a copy of the content.
//! * `POST /restore` replaces the content by that copy, without any lease or key
//!   under one, and closes all connections. Revisions and leases are given out again.
//! * `GET /counts` returns the call counts as JSON.

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
                eprintln!("control port: failed to accept a connection: {e}");
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
    let mut segments = request.uri().path().split('/').skip(1);
    let command = segments.next().unwrap_or_default();
    let argument = segments.next().and_then(|n| n.parse::<u64>().ok());
    let mut body = serde_json::Value::Null;
    match (request.method(), command, argument) {
        (&Method::POST, "slow", Some(ms)) => faults.set_delay(ms),
        (&Method::POST, "lose", Some(count)) => faults.set_losses(count),
        (&Method::POST, "fail", Some(count)) => faults.set_errors(count),
        (&Method::POST, "down", None) => drop(faults.down.send_replace(true)),
        (&Method::POST, "up", None) => drop(faults.down.send_replace(false)),
        (&Method::POST, "break", None) => faults.breaks.send_modify(|n| *n += 1),
        (&Method::POST, "freeze", None) => faults.freezes.send_modify(|n| *n += 1),
        (&Method::POST, "compact", None) => store.compact(),
        (&Method::POST, "copy", None) => store.keep_copy(),
        (&Method::POST, "restore", None) => {
            store.restore();
            faults.breaks.send_modify(|n| *n += 1);
        }
        (&Method::GET, "counts", None) => body = faults.counts(),
        _ => {
            let mut response =
                Response::new(Full::new(Bytes::from_static(b"unknown control request\n")));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
    }
    Response::new(Full::new(body.to_string().into()))
}
