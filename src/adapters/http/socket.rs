//! A socket whose state can be probed while hyper owns the connection.

use std::{
    io::{ErrorKind, IoSlice, Read, Result},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The socket of a connection. It closes when the last clone is dropped; a
/// [`SocketProbe`] holds only a weak reference.
#[derive(Clone, Debug)]
pub(super) struct Socket(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Whether the connection waits for its next request. Set by the pool,
    /// cleared by the first write.
    idle: AtomicBool,
}

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Shared {
            stream,
            idle: AtomicBool::new(false),
        }))
    }

    /// Returns a probe of the socket that does not keep it open.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe(Arc::downgrade(&self.0))
    }
}

/// Tests whether an idle connection is still usable.
#[derive(Debug)]
pub(super) struct SocketProbe(Weak<Shared>);

impl SocketProbe {
    /// Reports whether the peer has closed the connection.
    ///
    /// The kernel knows this before the task that drives the connection has
    /// polled the socket. A request that is written in between gets no response,
    /// and its outcome cannot be reported as `not-run`.
    pub fn is_closed(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        // No data is expected on an idle connection, so data also makes it
        // unusable.
        match SockRef::from(&shared.stream).peek(&mut byte) {
            Err(e) => e.kind() != ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Marks the connection as idle until its next write. Meanwhile each read
    /// asks the kernel, because the runtime may not have noticed yet that data
    /// has arrived. hyper reads before it writes a request, so that it returns
    /// the request unsent instead of taking that data for the response.
    pub fn set_idle(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.idle.store(true, Ordering::Release);
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let Shared { stream, idle } = &*self.0;
        if idle.load(Ordering::Acquire) {
            match (&*SockRef::from(stream)).read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(buf.initialize_unfilled()) {
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
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

impl Socket {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        let Shared { stream, idle } = &*self.0;
        idle.store(false, Ordering::Release);
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match try_write(stream) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
