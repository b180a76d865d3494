//! How a connection ends.

use compio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::timeout,
};
use rustix::net::sockopt;
use std::{io, time::Duration};

/// The maximum time for which bytes are discarded after the last response. If the socket were closed
/// with unread bytes, the client would get a reset, which can destroy responses that it has not read.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// The size of a read of discarded bytes.
const DISCARD_BYTES: usize = 8 << 10;

/// `ConnectionEnd` is how a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// The last response is complete.
    Answered,
    /// No request was in flight.
    Idle,
    /// The connection is broken, or its last response is incomplete.
    Broken,
    /// The last response is incomplete, and only a reset shows this to the client.
    Reset,
}

impl ConnectionEnd {
    /// Closes a connection. `at_end` is whether the client has closed its sending side.
    pub(crate) async fn close(self, stream: &TcpStream, at_end: bool) {
        match self {
            ConnectionEnd::Answered if !at_end => linger(stream).await,
            ConnectionEnd::Reset => reset_on_close(stream),
            ConnectionEnd::Answered | ConnectionEnd::Idle | ConnectionEnd::Broken => {}
        }
    }
}

/// Makes the close of a connection a reset.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    // An error leaves a connection that is closed without a reset.
    let _unchanged = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Closes the sending side, and discards what the client sends until it closes too.
async fn linger(mut stream: &TcpStream) {
    let closing = async {
        stream.shutdown().await?;
        let mut buffer = Vec::with_capacity(DISCARD_BYTES);
        loop {
            buffer.clear();
            let (read, returned) = stream.read(buffer).await.into();
            buffer = returned;
            if read? == 0 {
                return io::Result::Ok(());
            }
        }
    };

    // The connection is closed in any case.
    drop(timeout(LINGER_TIME, closing).await);
}
