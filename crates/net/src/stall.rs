//! Closes the connections of clients that do not read their responses.

use compio::{
    BufResult,
    buf::{IoBuf, IoVectoredBuf},
    io::{AsyncWrite, util::Splittable},
    net::TcpStream,
    time::sleep,
};
use futures_util::future::{Either, select};
use rustix::net::{Shutdown, shutdown, sockopt};
use std::{io, pin::pin, time::Duration};
use tracing::info;

/// The size of the send buffer of a connection with a limit on stalls, in bytes; the kernel doubles it. A larger
/// one takes memory for what slow readers do not read, and a socket is writable again only when a third of its
/// buffer is free.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// `StallGuardedStream` is a connection that is reset when its client takes nothing for too long of what is being
/// written. While nothing is written, time does not count.
#[derive(Debug)]
pub struct StallGuardedStream {
    stream: TcpStream,
    /// The longest time for which a write may take nothing, or `None` without a limit.
    max_stall: Option<Duration>,
}

impl StallGuardedStream {
    /// Guards a connection. `None` leaves it as it is.
    pub fn new(stream: TcpStream, max_stall: Option<Duration>) -> Self {
        if max_stall.is_some() {
            // Without the smaller buffer, a stall is noticed later.
            let _ = sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
        }

        Self { stream, max_stall }
    }
}

impl Splittable for StallGuardedStream {
    type ReadHalf = TcpStream;
    type WriteHalf = StallGuardedWriter;

    fn split(self) -> (TcpStream, StallGuardedWriter) {
        let (reader, stream) = self.stream.into_split();
        let writer = StallGuardedWriter {
            stream,
            max_stall: self.max_stall,
        };

        (reader, writer)
    }
}

/// `StallGuardedWriter` is the write half of a [`StallGuardedStream`].
#[derive(Debug)]
pub struct StallGuardedWriter {
    stream: TcpStream,
    max_stall: Option<Duration>,
}

impl StallGuardedWriter {
    /// Waits for a write, and resets the connection if it takes longer than the limit. The write ends with an error
    /// then. It is not dropped, because it owns the buffer.
    async fn guard<T>(
        socket: &TcpStream,
        max_stall: Option<Duration>,
        write: impl Future<Output = BufResult<usize, T>>,
    ) -> BufResult<usize, T> {
        let Some(max_stall) = max_stall else {
            return write.await;
        };

        match select(pin!(write), pin!(sleep(max_stall))).await {
            Either::Left((written, _)) => written,
            Either::Right(((), write)) => {
                info!(
                    event = "response-not-read",
                    caller = socket.peer_addr().ok().map(tracing::field::display),
                    stalled_ms = max_stall.as_millis()
                );
                // What waits in the socket is discarded too, or the kernel would keep it for the client. Both
                // calls fail only when the connection has ended.
                let _ = sockopt::set_socket_linger(socket, Some(Duration::ZERO));
                let _ = shutdown(socket, Shutdown::Both);
                let BufResult(_, buffer) = write.await;
                let reason = format!("the client read nothing for {max_stall:?}");

                BufResult(Err(io::Error::new(io::ErrorKind::TimedOut, reason)), buffer)
            }
        }
    }
}

impl AsyncWrite for StallGuardedWriter {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let socket = self.stream.clone();

        Self::guard(&socket, self.max_stall, self.stream.write(buf)).await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let socket = self.stream.clone();

        Self::guard(&socket, self.max_stall, self.stream.write_vectored(buf)).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
