//! Tells whether everything that was to be sent on a connection has been written to its socket.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// `WriteProgress` states whether a connection holds bytes that are not written yet. Clones share the state.
///
/// The layers above the socket buffer whole requests, and a server may respond before it has read one.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteProgress(Rc<Cell<bool>>);

impl WriteProgress {
    /// Returns whether the connection holds bytes that are not written yet.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.0.get()
    }
}

/// `ProgressStream` is a stream that records its [`WriteProgress`].
#[derive(Debug)]
pub(crate) struct ProgressStream<S> {
    inner: S,
    progress: WriteProgress,
}

impl<S> ProgressStream<S> {
    /// Wraps a stream on which nothing was sent.
    pub(crate) fn new(inner: S, progress: WriteProgress) -> Self {
        Self { inner, progress }
    }
}

impl<S: Read + Unpin> Read for ProgressStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for ProgressStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.0.set(true);
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.0.set(true);
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.progress.0.set(false);
        }

        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
