//! The gRPC methods of the etcd protocol.
//!
//! `tonic::server::Grpc` does the framing and runs the codec. The methods are
//! closures, so no generated code is needed.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{Request, Response};
use hyper::body::Incoming;
use savorybeam::adapters::store::messages::{
    self, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    RangeRequest, RangeResponse, ResponseHeader, TxnRequest, TxnResponse, WatchCreateRequest,
    WatchRequest, WatchRequestKind, WatchResponse,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming, body::Body, server::Grpc};
use tonic_prost::ProstCodec;
use tower::service_fn;

use crate::{faults::Faults, state::Store};

/// The state that all connections share.
#[derive(Clone)]
pub struct Service {
    /// The keys, leases and events.
    pub store: Arc<Store>,
    /// The faults that the control port injects, and the call counts.
    pub faults: Arc<Faults>,
}

/// The error that drops the response to a write.
#[derive(Debug)]
pub struct ResponseLost;

impl std::fmt::Display for ResponseLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response is dropped by an injected fault")
    }
}

impl std::error::Error for ResponseLost {}

/// Handles one call. An error resets the call's stream, so that the client gets
/// no response.
pub async fn handle(
    service: Service,
    request: Request<Incoming>,
) -> Result<Response<Body>, ResponseLost> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        messages::RANGE => Ok(range(service, request).await),
        messages::TXN => txn(service, request).await,
        messages::WATCH => Ok(watch(service, request).await),
        messages::LEASE_GRANT => Ok(grant(service, request).await),
        messages::LEASE_KEEP_ALIVE => Ok(renew(service, request).await),
        _ => Ok(Status::unimplemented(path).into_http()),
    }
}

/// Runs a call in a separate task. As in a real store, a client that abandons
/// the call does not cancel it, so a write may still take effect later.
async fn detached<T: Send + 'static>(
    service: Service,
    count: fn(&Faults) -> &AtomicU64,
    f: impl FnOnce(&Service) -> Result<T, Status> + Send + 'static,
) -> Result<tonic::Response<T>, Status> {
    count(&service.faults).fetch_add(1, Relaxed);
    service.faults.pending.fetch_add(1, Relaxed);
    let task = tokio::spawn(async move {
        service.faults.delay().await;
        let response = f(&service).map(tonic::Response::new);
        service.faults.pending.fetch_sub(1, Relaxed);
        response
    });
    task.await
        .unwrap_or_else(|e| Err(Status::internal(e.to_string())))
}

async fn range(service: Service, request: Request<Incoming>) -> Response<Body> {
    let run = service_fn(move |request: tonic::Request<RangeRequest>| {
        let read = move |s: &Service| s.store.range(request.get_ref());
        detached(service.clone(), |f| &f.range, read)
    });
    let codec = ProstCodec::<RangeResponse, RangeRequest>::default();
    Grpc::new(codec).unary(run, request).await
}

async fn txn(service: Service, request: Request<Incoming>) -> Result<Response<Body>, ResponseLost> {
    let lost = Arc::new(AtomicBool::new(false));
    let lost_flag = lost.clone();
    let run = service_fn(move |request: tonic::Request<TxnRequest>| {
        let lost_flag = lost_flag.clone();
        let write = move |s: &Service| {
            let (response, written) = s.store.txn(request.into_inner())?;
            lost_flag.store(written && s.faults.take_loss(), Relaxed);
            if written && s.faults.take_error() {
                return Err(Status::unavailable("etcdserver: request timed out"));
            }
            Ok(response)
        };
        detached(service.clone(), |f| &f.txn, write)
    });
    let codec = ProstCodec::<TxnResponse, TxnRequest>::default();
    let response = Grpc::new(codec).unary(run, request).await;
    if lost.load(Relaxed) {
        return Err(ResponseLost);
    }
    Ok(response)
}

async fn grant(service: Service, request: Request<Incoming>) -> Response<Body> {
    let run = service_fn(move |request: tonic::Request<LeaseGrantRequest>| {
        let LeaseGrantRequest { ttl, id } = request.into_inner();
        let create = move |s: &Service| {
            Ok(LeaseGrantResponse {
                id: s.store.grant(ttl, id)?,
                header: Some(header(s)),
                ttl: ttl.max(1),
                error: String::new(),
            })
        };
        detached(service.clone(), |f| &f.grant, create)
    });
    let codec = ProstCodec::<LeaseGrantResponse, LeaseGrantRequest>::default();
    Grpc::new(codec).unary(run, request).await
}

async fn renew(service: Service, request: Request<Incoming>) -> Response<Body> {
    let run = service_fn(
        move |requests: tonic::Request<Streaming<LeaseKeepAliveRequest>>| {
            let service = service.clone();
            let responses = requests.into_inner().then(move |request| {
                let service = service.clone();
                async move {
                    let id = request?.id;
                    let extend = move |s: &Service| {
                        Ok(LeaseKeepAliveResponse {
                            ttl: s.store.renew(id),
                            header: Some(header(s)),
                            id,
                        })
                    };
                    let response = detached(service, |f| &f.renew, extend).await?;
                    Ok(response.into_inner())
                }
            });
            std::future::ready(Ok(tonic::Response::new(responses)))
        },
    );
    let codec = ProstCodec::<LeaseKeepAliveResponse, LeaseKeepAliveRequest>::default();
    Grpc::new(codec).streaming(run, request).await
}

async fn watch(service: Service, request: Request<Incoming>) -> Response<Body> {
    let run = service_fn(move |requests: tonic::Request<Streaming<WatchRequest>>| {
        let service = service.clone();
        async move {
            service.faults.watch.fetch_add(1, Relaxed);
            service.faults.delay().await;
            let mut requests = requests.into_inner();
            let first = requests.message().await?.and_then(|r| r.request);
            let Some(WatchRequestKind::Create(create)) = first else {
                return Err(Status::invalid_argument(
                    "the first message of a watch stream must be a create request",
                ));
            };
            Ok(tonic::Response::new(watch_responses(
                service, create, requests,
            )))
        }
    });
    let codec = ProstCodec::<WatchResponse, WatchRequest>::default();
    Grpc::new(codec).streaming(run, request).await
}

/// Returns the responses of a watch. The watch ends when the client closes the
/// stream or cancels the watch.
fn watch_responses(
    service: Service,
    create: WatchCreateRequest,
    mut requests: Streaming<WatchRequest>,
) -> impl Stream<Item = Result<WatchResponse, Status>> {
    let (sender, receiver) = mpsc::channel(16);
    tokio::spawn(async move {
        service.faults.open_watches.fetch_add(1, Relaxed);
        tokio::select! {
            () = send_events(&service, create, &sender) => {}
            _ = requests.message() => {}
            () = sender.closed() => {}
        }
        service.faults.open_watches.fetch_sub(1, Relaxed);
    });
    ReceiverStream::new(receiver)
}

/// Confirms the creation of a watch and then sends its events, until the stream
/// is closed or the next revision to send has been compacted.
async fn send_events(
    service: &Service,
    create: WatchCreateRequest,
    sender: &mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let mut changed = service.store.watch_revision();
    let created = WatchResponse {
        header: Some(header(service)),
        created: true,
        ..WatchResponse::default()
    };
    let mut next = match create.start_revision {
        0 => service.store.revision() + 1,
        start => start,
    };
    let mut response = Some(created);
    loop {
        if let Some(response) = response.take()
            && sender.send(Ok(response)).await.is_err()
        {
            return;
        }
        changed.mark_unchanged();
        match collect_events(service, next, &create.key, &create.range_end) {
            Ok((found, revision)) => {
                next = next.max(revision + 1);
                response = found;
            }
            Err(canceled) => {
                let _ = sender.send(Ok(canceled)).await;
                return;
            }
        }
        if response.is_none() && changed.changed().await.is_err() {
            return;
        }
        service.faults.delay().await;
    }
}

/// Returns the response with the events from `start` on, if there are any, and
/// the store's revision. The error is the response that cancels a watch whose
/// start revision has been compacted.
fn collect_events(
    service: &Service,
    start: i64,
    key: &Bytes,
    end: &Bytes,
) -> Result<(Option<WatchResponse>, i64), WatchResponse> {
    let response = |events| WatchResponse {
        header: Some(header(service)),
        events,
        ..WatchResponse::default()
    };
    match service.store.events(start, key, end) {
        Ok((events, revision)) if events.is_empty() => Ok((None, revision)),
        Ok((events, revision)) => Ok((Some(response(events)), revision)),
        Err(oldest_revision) => Err(WatchResponse {
            canceled: true,
            compact_revision: oldest_revision,
            ..response(Vec::new())
        }),
    }
}

fn header(service: &Service) -> ResponseHeader {
    ResponseHeader {
        revision: service.store.revision(),
    }
}
