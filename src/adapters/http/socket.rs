//! A socket that can be looked at while hyper owns the connection.

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

/// The socket of a connection. It closes when the last clone is dropped;
/// [`Watch`] keeps only a weak reference.
#[derive(Clone, Debug)]
pub(super) struct Socket(Arc<TcpStream>);

impl Socket {
    /// Takes over a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns a look at the socket.
    pub fn watch(&self) -> Watch {
        Watch(Arc::downgrade(&self.0))
    }
}

/// A look at the socket of an idle connection.
#[derive(Debug)]
pub(super) struct Watch(Weak<TcpStream>);

impl Watch {
    /// Tells whether the other end has closed the connection.
    ///
    /// The kernel knows this before the task that drives the connection has run.
    /// A request that is written in between could neither be answered nor be
    /// called `not-run`.
    pub fn is_closed(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        // Nothing may arrive on an idle connection, so data also ends its use.
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
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
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
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
