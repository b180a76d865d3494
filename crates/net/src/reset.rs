//! Tells a connection that was reset from one that its server has ended.
//!
//! A socket states its error once. When a write takes it, the next read finds the end of the connection, as if the
//! server had ended it. A body that has no length ends with its connection, so that a part of one would count as whole.

use crate::stop::StopSignal;
use compio::{
    BufResult,
    buf::{IoBuf, IoBufMut, IoVectoredBuf},
    io::{AsyncRead, AsyncWrite, util::Splittable},
    net::TcpStream,
};
use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
};

/// `WriteOutcome` is what the two halves of a connection tell each other about its writes.
#[derive(Debug, Default)]
struct WriteOutcome {
    /// The write in flight, if there is one; triggered when it has ended.
    in_flight: RefCell<Option<StopSignal>>,
    /// The error of the first write that failed, if one did.
    failure: Cell<Option<io::ErrorKind>>,
    /// Whether the read half is at the end of the connection and waits for the write in flight.
    is_awaited: Cell<bool>,
    /// Triggered when the read half has stated how the connection ended.
    read_end: StopSignal,
}

impl WriteOutcome {
    /// Waits for a write and records how it ended. A failure is held back while the read half waits for it: the
    /// HTTP library discards a response whose request fails, although its server may have ended it.
    async fn record<T>(
        &self,
        write: impl Future<Output = BufResult<usize, T>>,
    ) -> BufResult<usize, T> {
        let end = StopSignal::new();
        self.in_flight.replace(Some(end.clone()));
        let BufResult(written, buf) = write.await;
        if let Err(error) = &written {
            let first = self.failure.get().unwrap_or(error.kind());
            self.failure.set(Some(first));
        }
        self.in_flight.take();
        end.trigger();

        if written.is_err() && self.is_awaited.get() {
            self.read_end.wait().await;
        }
        BufResult(written, buf)
    }

    /// Waits until no write is in flight.
    async fn settle(&self) {
        let in_flight = self.in_flight.borrow().clone();

        if let Some(end) = in_flight {
            self.is_awaited.set(true);
            end.wait().await;
        }
    }
}

/// `ResetAwareStream` is a connection on which a read fails, instead of finding the end, if a write took the error of
/// the socket.
#[derive(Debug)]
pub(crate) struct ResetAwareStream(TcpStream);

impl ResetAwareStream {
    /// Wraps a connection on which nothing was sent.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl Splittable for ResetAwareStream {
    type ReadHalf = ResetAwareReader;
    type WriteHalf = ResetAwareWriter;

    fn split(self) -> (ResetAwareReader, ResetAwareWriter) {
        let (reader, writer) = self.0.into_split();
        let outcome = Rc::new(WriteOutcome::default());

        (
            ResetAwareReader {
                stream: reader,
                outcome: Rc::clone(&outcome),
            },
            ResetAwareWriter {
                stream: writer,
                outcome,
            },
        )
    }
}

/// `ResetAwareReader` is the read half of a [`ResetAwareStream`].
#[derive(Debug)]
pub(crate) struct ResetAwareReader {
    stream: TcpStream,
    outcome: Rc<WriteOutcome>,
}

impl ResetAwareReader {
    /// Returns at the end of the connection if the server has ended it.
    ///
    /// # Errors
    ///
    /// Fails with the error of the socket if a write took it.
    async fn check_end(&self) -> io::Result<()> {
        // A socket that was reset has no peer, and the write in flight ends at once.
        if self.stream.peer_addr().is_err() {
            self.outcome.settle().await;
        }
        self.outcome.read_end.trigger();

        match self.outcome.failure.get() {
            // The error of a socket that was reset after its server had ended its side.
            None | Some(io::ErrorKind::BrokenPipe) => Ok(()),
            Some(failure) => Err(failure.into()),
        }
    }
}

impl AsyncRead for ResetAwareReader {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let BufResult(read, buf) = self.stream.read(buf).await;
        if !matches!(read, Ok(0)) {
            return BufResult(read, buf);
        }

        BufResult(self.check_end().await.map(|()| 0), buf)
    }
}

/// `ResetAwareWriter` is the write half of a [`ResetAwareStream`].
#[derive(Debug)]
pub(crate) struct ResetAwareWriter {
    stream: TcpStream,
    outcome: Rc<WriteOutcome>,
}

impl AsyncWrite for ResetAwareWriter {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.outcome.record(self.stream.write(buf)).await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.outcome.record(self.stream.write_vectored(buf)).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
