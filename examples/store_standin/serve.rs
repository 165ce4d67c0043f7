//! Accepts connections and serves HTTP/2 on them, or closes or freezes them when
//! a fault is injected.

use std::{io, net::SocketAddr};

use hyper::{server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};

use crate::protocol::{self, Service};

/// Accepts connections. While the store is down, the listener and all
/// connections are closed.
pub async fn run(listener: TcpListener, service: Service) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut down = service.faults.down.subscribe();
    let mut listener = Some(listener);
    loop {
        if *down.borrow_and_update() {
            listener = None;
            if down.changed().await.is_err() {
                return Ok(());
            }
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => bind(address).await?,
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(handle_connection(stream, service.clone()));
                }
                Err(e) => eprintln!("store: failed to accept a connection: {e}"),
            },
            _ = down.changed() => {}
        }
        listener = Some(open);
    }
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

async fn handle_connection(stream: TcpStream, service: Service) {
    let mut down = service.faults.down.subscribe();
    let mut breaks = service.faults.breaks.subscribe();
    breaks.mark_unchanged();
    let mut freezes = service.faults.freezes.subscribe();
    freezes.mark_unchanged();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let run = service_fn(move |request| protocol::handle(service.clone(), request));
    let builder = http2::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), run);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // Polls faults first, so that a fault applies to every request that is
        // sent after it.
        biased;
        _ = breaks.changed() => return,
        _ = down.wait_for(|down| *down) => return,
        _ = freezes.changed() => {}
        // Connection errors are ignored: they affect only this client.
        _ = &mut connection => return,
    }
    // Frozen: the socket stays open, but nothing is read or written.
    tokio::select! {
        _ = breaks.changed() => {}
        _ = down.wait_for(|down| *down) => {}
    }
}
