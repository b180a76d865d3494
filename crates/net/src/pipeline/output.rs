//! The bytes that a connection has yet to write.

use bytes::{Buf, Bytes, BytesMut};
use compio::{BufResult, io::AsyncWrite, net::TcpStream};
use std::{collections::VecDeque, io, mem};

/// The length in bytes from which a chunk is written from where it is. Shorter ones are copied, as
/// further buffers of one write cost more than the copy.
const MIN_SHARED_BYTES: usize = 4 << 10;

/// `OutputBuffer` collects bytes, so that several responses leave in one write.
#[derive(Debug, Default)]
pub(crate) struct OutputBuffer {
    /// The complete segments, before `tail`.
    segments: Vec<Bytes>,
    tail: BytesMut,
    /// The number of bytes in all segments and `tail`.
    length: usize,
}

impl OutputBuffer {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Copies bytes to the end.
    pub(crate) fn put(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        self.length += bytes.len();
    }

    /// Adds a chunk to the end, without a copy if it is long.
    pub(crate) fn put_chunk(&mut self, chunk: Bytes) {
        if chunk.len() < MIN_SHARED_BYTES {
            self.put(&chunk);
            return;
        }

        self.length += chunk.len();
        self.close_tail();
        self.segments.push(chunk);
    }

    /// Takes all bytes.
    pub(crate) fn take(&mut self) -> VecDeque<Bytes> {
        self.close_tail();
        self.length = 0;

        VecDeque::from(mem::take(&mut self.segments))
    }

    /// Moves the tail to the segments.
    fn close_tail(&mut self) {
        if !self.tail.is_empty() {
            self.segments.push(self.tail.split().freeze());
        }
    }
}

/// Writes as much of the segments as the socket takes, and returns the rest.
///
/// # Errors
///
/// Fails when the connection is closed.
pub(crate) async fn write_some(
    mut stream: &TcpStream,
    mut segments: VecDeque<Bytes>,
) -> io::Result<VecDeque<Bytes>> {
    let mut written = if segments.len() == 1 {
        let segment = segments.pop_front().unwrap_or_default();
        let BufResult(written, segment) = stream.write(segment).await;
        segments.push_back(segment);
        written?
    } else {
        let BufResult(written, buffers) = stream.write_vectored(Vec::from(segments)).await;
        segments = VecDeque::from(buffers);
        written?
    };
    if written == 0 {
        return Err(io::ErrorKind::WriteZero.into());
    }

    while let Some(segment) = segments.front_mut() {
        let count = written.min(segment.len());
        segment.advance(count);
        written -= count;
        if !segment.is_empty() {
            break;
        }
        segments.pop_front();
    }

    Ok(segments)
}
