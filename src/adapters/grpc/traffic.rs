//! Counters for the messages and bytes exchanged between entries.

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

/// The counters of one process, shared by its server and its client.
///
/// Bytes are counted on the TCP streams and include the HTTP/2 framing, because
/// the budget for control traffic is defined that way.
#[derive(Debug, Default)]
pub struct Traffic {
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

/// A snapshot of the counters of [`Traffic`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficCounts {
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
    /// Returns the current values.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            messages_in: self.messages_in.load(Relaxed),
            messages_out: self.messages_out.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
        }
    }

    pub(super) fn add_message_in(&self) {
        self.messages_in.fetch_add(1, Relaxed);
    }

    pub(super) fn add_message_out(&self) {
        self.messages_out.fetch_add(1, Relaxed);
    }

    fn add_bytes_in(&self, bytes: usize) {
        self.bytes_in.fetch_add(widen(bytes), Relaxed);
    }

    fn add_bytes_out(&self, bytes: usize) {
        self.bytes_out.fetch_add(widen(bytes), Relaxed);
    }
}

fn widen(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

/// A TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountedStream {
    /// Wraps `stream` and disables Nagle's algorithm, so that small messages
    /// are sent without delay.
    pub(super) fn new(stream: TcpStream, traffic: Arc<Traffic>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, traffic })
    }
}

impl Connected for CountedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.add_bytes_in(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(polled)
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

impl CountedStream {
    fn count_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &polled {
            self.traffic.add_bytes_out(*n);
        }
        polled
    }
}
