//! A socket whose state can be probed while hyper owns the connection.

use std::{
    io::{ErrorKind, IoSlice, Result},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The socket of a connection. It closes when the last clone is dropped; a
/// [`CloseProbe`] holds only a weak reference.
#[derive(Clone, Debug)]
pub(super) struct Socket(Arc<TcpStream>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns a probe of the socket that does not keep it open.
    pub fn close_probe(&self) -> CloseProbe {
        CloseProbe(Arc::downgrade(&self.0))
    }
}

/// Tests whether an idle connection is still usable.
#[derive(Debug)]
pub(super) struct CloseProbe(Weak<TcpStream>);

impl CloseProbe {
    /// Reports whether the peer has closed the connection.
    ///
    /// The kernel knows this before the task that drives the connection has
    /// polled the socket. A request that is written in between gets no response,
    /// and its outcome cannot be reported as `not-run`.
    pub fn is_closed(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        // No data is expected on an idle connection, so data also makes it
        // unusable.
        match SockRef::from(&*stream).peek(&mut byte) {
            Err(e) => e.kind() != ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

impl Socket {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match try_write(&self.0) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
