//! The bytes that a connection has read.

use bytes::BytesMut;
use compio::{BufResult, io::AsyncRead, net::TcpStream};
use std::{
    io, mem,
    task::{Context, Poll},
};
use wagtail_core::ports::LocalFuture;

/// The size of a read in bytes while the next head is awaited. Each idle connection holds a buffer of
/// this size.
const HEAD_READ_BYTES: usize = 8 << 10;

/// The size of a read in bytes while a body is received.
const BODY_READ_BYTES: usize = 32 << 10;

/// A buffer is kept for the next read if fewer than one in this number of its bytes were filled. Its
/// bytes are copied: few bytes of a slow client would otherwise hold a whole buffer each.
const SPARE_RATIO: usize = 4;

/// `ReadPurpose` is what the next bytes of a connection are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPurpose {
    /// The heads of requests.
    Heads,
    /// A body.
    Body,
    /// Bytes that are not needed. They are read to notice the end of the connection.
    Discard,
}

/// `ConnectionInput` reads a connection. A read is pending whenever there is room, so that the end of
/// the connection is noticed at any time.
pub(crate) struct ConnectionInput<'h> {
    stream: &'h TcpStream,
    pub(crate) bytes: BytesMut,
    /// A buffer for the next read.
    spare: BytesMut,
    reading: Option<LocalFuture<'h, BufResult<usize, BytesMut>>>,
    /// Whether the client has closed its sending side.
    pub(crate) at_end: bool,
}

impl<'h> ConnectionInput<'h> {
    /// Creates the input of a connection.
    pub(crate) fn new(stream: &'h TcpStream) -> Self {
        Self {
            stream,
            bytes: BytesMut::new(),
            spare: BytesMut::new(),
            reading: None,
            at_end: false,
        }
    }

    /// Returns whether a read is pending.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Reads until `limit` bytes are buffered, the socket is empty, or the client has closed its
    /// sending side. Returns whether anything was read.
    ///
    /// # Errors
    ///
    /// Fails when the client has reset the connection.
    pub(crate) fn poll_fill(
        &mut self,
        limit: usize,
        purpose: ReadPurpose,
        context: &mut Context<'_>,
    ) -> io::Result<bool> {
        let mut has_read = false;

        while !self.at_end {
            if self.reading.is_none() {
                if self.bytes.len() >= limit {
                    break;
                }
                if self.bytes.is_empty() {
                    // Otherwise the buffer of a body would stay while the connection is idle.
                    self.bytes = BytesMut::new();
                }
                self.reading = Some(read_some(self.stream, purpose, mem::take(&mut self.spare)));
            }
            let Some(reading) = &mut self.reading else {
                break;
            };
            let Poll::Ready(BufResult(read, buffer)) = reading.as_mut().poll(context) else {
                break;
            };

            self.reading = None;
            if read? == 0 {
                self.at_end = true;
                return Ok(true);
            }
            if purpose == ReadPurpose::Discard {
                // One read at a time, so that a client that keeps sending does not occupy the thread.
                context.waker().wake_by_ref();
                break;
            }
            has_read = true;
            if self.bytes.is_empty() && buffer.len() >= buffer.capacity() / SPARE_RATIO {
                self.bytes = buffer;
            } else {
                self.bytes.extend_from_slice(&buffer);
                self.spare = buffer;
            }
        }

        Ok(has_read)
    }
}

/// Reads the next bytes of a connection.
fn read_some(
    mut stream: &TcpStream,
    purpose: ReadPurpose,
    mut buffer: BytesMut,
) -> LocalFuture<'_, BufResult<usize, BytesMut>> {
    let size = if purpose == ReadPurpose::Heads {
        HEAD_READ_BYTES
    } else {
        BODY_READ_BYTES
    };

    buffer.clear();
    // A buffer from before a body would be too large for an idle connection.
    if !(size..=2 * size).contains(&buffer.capacity()) {
        buffer = BytesMut::with_capacity(size);
    }

    Box::pin(async move { stream.read(buffer).await })
}
