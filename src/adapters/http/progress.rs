//! Bounds what a target may send without getting on with its response.
//!
//! hyper bounds the size of a head and of trailers, but interim responses and the
//! digits of a chunk size may go on without an end. A connection fails when it has
//! received [`MAX_BYTES`] without a part of a body. How long a body may be is not
//! decided here.

use std::{
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::socket::Socket;

/// The bytes that a connection may receive without a part of a body. It is more than
/// hyper buffers, 64 KiB, of which a body that is read slowly may have all.
const MAX_BYTES: usize = 1 << 20;

/// Counts the bytes that were received since a request or a part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that a request is sent or that a part of a body has arrived.
    pub fn record(&self) {
        self.0.store(0, Relaxed);
    }

    /// Adds received bytes. Returns false if they are too many.
    fn add(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Relaxed) + bytes <= MAX_BYTES
    }
}

/// A socket that fails if it receives too much without progress.
#[derive(Debug)]
pub(super) struct BoundedSocket {
    socket: Socket,
    progress: Progress,
}

impl BoundedSocket {
    pub fn new(socket: Socket, progress: Progress) -> Self {
        Self { socket, progress }
    }

    pub fn into_inner(self) -> Socket {
        self.socket
    }
}

impl AsyncRead for BoundedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        if self.progress.add(buf.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let cause = format!("{MAX_BYTES} bytes without a part of a body");
        Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, cause)))
    }
}

impl AsyncWrite for BoundedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// The body of a response, each part of which counts as progress.
#[derive(Debug)]
pub(super) struct ProgressBody {
    body: Incoming,
    progress: Progress,
}

impl ProgressBody {
    pub fn new(body: Incoming, progress: Progress) -> Self {
        Self { body, progress }
    }
}

impl http_body::Body for ProgressBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.progress.record();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
