//! A TCP relay between two processes of a test that can stop forwarding data or
//! refuse connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// The injected faults of a relay.
#[derive(Debug, Default)]
struct State {
    /// Connections with an id below this one stay open and forward nothing, as
    /// when a middlebox has dropped their state.
    silent_below: AtomicU64,
    /// Whether connections are closed as soon as they are accepted.
    refusing: AtomicBool,
    /// Wakes the forwarding tasks, so that they close their connections.
    changed: Notify,
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// The address on which it accepts connections.
    pub addr: SocketAddr,
    state: Arc<State>,
    opened: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to `upstream`.
    pub async fn spawn(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let state: Arc<State> = Arc::default();
        let opened: Arc<AtomicU64> = Arc::default();
        tokio::spawn(accept(listener, upstream, state.clone(), opened.clone()));
        Self {
            addr,
            state,
            opened,
        }
    }

    /// Permanently stops forwarding on all open connections without closing
    /// them. New connections work.
    pub fn silence(&self) {
        let next = self.opened.load(Ordering::SeqCst);
        self.state.silent_below.store(next, Ordering::SeqCst);
    }

    /// Closes the connections that still forward data, and each new one until
    /// [`Self::allow_connections`].
    pub fn disconnect(&self) {
        self.state.refusing.store(true, Ordering::SeqCst);
        self.state.changed.notify_waiters();
    }

    /// Forwards new connections again.
    pub fn allow_connections(&self) {
        self.state.refusing.store(false, Ordering::SeqCst);
    }

    /// Returns how many connections were forwarded so far.
    pub fn connection_count(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    state: Arc<State>,
    opened: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if state.refusing.load(Ordering::SeqCst) {
            continue;
        }
        let id = opened.fetch_add(1, Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(upstream).await else {
            continue;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(forward(client_read, server_write, id, state.clone()));
        tokio::spawn(forward(server_read, client_write, id, state.clone()));
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    id: u64,
    state: Arc<State>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = tokio::select! {
            () = state.changed.notified() => return,
            n = from.read(&mut buf) => n.unwrap_or(0),
        };
        while id < state.silent_below.load(Ordering::SeqCst) {
            // The peer sees neither data nor the end of the connection.
            state.changed.notified().await;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
