//! Counts of messages and bytes between entries.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Counters of one process, shared by its server and its client.
///
/// Bytes are those of the TCP streams, with the HTTP/2 framing, since these are
/// what the budget for control traffic is spent on.
#[derive(Debug, Default)]
pub struct Traffic {
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

/// The values of the counters at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests and replies received.
    pub messages_in: u64,
    /// Requests and replies sent.
    pub messages_out: u64,
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the present values.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            messages_in: self.messages_in.load(Relaxed),
            messages_out: self.messages_out.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
        }
    }

    pub(super) fn message_in(&self) {
        self.messages_in.fetch_add(1, Relaxed);
    }

    pub(super) fn message_out(&self) {
        self.messages_out.fetch_add(1, Relaxed);
    }

    fn read(&self, bytes: usize) {
        self.bytes_in.fetch_add(widen(bytes), Relaxed);
    }

    fn written(&self, bytes: usize) {
        self.bytes_out.fetch_add(widen(bytes), Relaxed);
    }
}

fn widen(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

/// A TCP stream whose bytes are counted.
#[derive(Debug)]
pub(super) struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counted {
    /// Returns the stream with small messages sent at once.
    pub(super) fn new(stream: TcpStream, traffic: Arc<Traffic>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, traffic })
    }
}

impl Connected for Counted {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.read(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Counted {
    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &polled {
            self.traffic.written(*n);
        }
        polled
    }
}
