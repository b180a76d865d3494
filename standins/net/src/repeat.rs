//! A stream that sends a response twice as an injected fault.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

/// `RepeatResponse` is the extension that marks a response to be sent twice. It takes effect on
/// a response whose body fits one chunk.
#[derive(Debug, Clone, Copy)]
pub struct RepeatResponse;

/// `RepeatStream` forwards to the inner stream and writes twice what is written while it is armed.
#[derive(Debug)]
pub struct RepeatStream<S> {
    /// The connection to the client, which all bytes are read from and written to.
    inner: S,
    /// Whether the bytes that are written until the next flush are to be repeated.
    armed: Rc<Cell<bool>>,
    /// The bytes to write again at the next flush.
    recorded: Vec<u8>,
    /// The number of recorded bytes that were written again already.
    repeated: usize,
}

impl<S> RepeatStream<S> {
    /// Wraps a stream. While `armed` is set, the response that is written next is repeated.
    pub fn new(inner: S, armed: Rc<Cell<bool>>) -> Self {
        Self {
            inner,
            armed,
            recorded: Vec::new(),
            repeated: 0,
        }
    }
}

impl<S: Write + Unpin> RepeatStream<S> {
    /// Writes the recorded bytes again.
    fn poll_repeat(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.repeated < self.recorded.len() {
            let rest = &self.recorded[self.repeated..];
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, rest))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.repeated += written;
        }

        if self.repeated > 0 {
            self.armed.set(false);
            self.recorded.clear();
            self.repeated = 0;
        }

        Poll::Ready(Ok(()))
    }
}

impl<S: Read + Unpin> Read for RepeatStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for RepeatStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        if self.armed.get() {
            self.recorded.extend_from_slice(&buf[..written]);
        }

        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_repeat(cx))?;

        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
