//! A TCP relay between two processes of a test, which can go silent or be cut.

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

/// What the relay does at present.
#[derive(Debug, Default)]
struct Mode {
    /// Connections with a number below this one forward nothing any more and
    /// stay open, as when something between two ends has lost track of them.
    silent: AtomicU64,
    /// New connections are refused and open ones are closed.
    cut: AtomicBool,
    changed: Notify,
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    mode: Arc<Mode>,
    opened: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let mode: Arc<Mode> = Arc::default();
        let opened: Arc<AtomicU64> = Arc::default();
        tokio::spawn(accept(listener, to, mode.clone(), opened.clone()));
        Self { addr, mode, opened }
    }

    /// Makes every connection that is open now silent for good. New ones work.
    pub fn silence(&self) {
        let next = self.opened.load(Ordering::SeqCst);
        self.mode.silent.store(next, Ordering::SeqCst);
    }

    /// Closes all connections and refuses new ones until `heal`.
    pub fn cut(&self) {
        self.mode.cut.store(true, Ordering::SeqCst);
        self.mode.changed.notify_waiters();
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.mode.cut.store(false, Ordering::SeqCst);
    }

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mode: Arc<Mode>, opened: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        if mode.cut.load(Ordering::SeqCst) {
            continue;
        }
        let id = opened.fetch_add(1, Ordering::SeqCst);
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(forward(near_read, far_write, id, mode.clone()));
        tokio::spawn(forward(far_read, near_write, id, mode.clone()));
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    id: u64,
    mode: Arc<Mode>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let n = tokio::select! {
            () = mode.changed.notified() => return,
            n = from.read(&mut buf) => n.unwrap_or(0),
        };
        while id < mode.silent.load(Ordering::SeqCst) {
            // The other end sees neither data nor the end of the connection.
            mode.changed.notified().await;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
