//! Reading frames and bodies from an HTTP/2 stream.

use crate::frame::{self, PREFIX_BYTES};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::de::DeserializeOwned;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    verdict::RunVerdict,
};

/// `FrameReader` reads frames, followed by a raw body, from an HTTP/2 stream.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader for a stream of which nothing has been read yet.
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next message; returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream fails or ends inside a frame, or when the frame is invalid.
    pub async fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if !self.fill(PREFIX_BYTES).await? {
            return Ok(None);
        }

        let prefix = self.buffer.split_to(PREFIX_BYTES);
        let length = frame::message_length([prefix[0], prefix[1], prefix[2], prefix[3]])?;

        if !self.fill(length).await? {
            return Err(CoreError::malformed("the stream ended inside a frame"));
        }

        frame::decode(&self.buffer.split_to(length)).map(Some)
    }

    /// Reads the next message; the end of the stream is an error.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_message`], and also at the end of the stream.
    pub async fn message<T: DeserializeOwned>(&mut self) -> Result<T> {
        self.next_message()
            .await?
            .ok_or_else(|| CoreError::malformed("the stream ended before a frame"))
    }

    /// Receives until the buffer holds at least `length` bytes. Returns `false` when the stream
    /// ended with an empty buffer, and fails when it ended inside a frame.
    async fn fill(&mut self, length: usize) -> Result<bool> {
        while self.buffer.len() < length {
            if !self.receive().await? {
                return if self.buffer.is_empty() {
                    Ok(false)
                } else {
                    Err(CoreError::malformed("the stream ended inside a frame"))
                };
            }
        }

        Ok(true)
    }

    /// Appends the next chunk to the buffer; returns `false` at the end of the stream.
    async fn receive(&mut self) -> Result<bool> {
        let Some(chunk) = self.stream.data().await else {
            return Ok(false);
        };
        let chunk = chunk.map_err(|error| stream_error(&error))?;

        release_window(&mut self.stream, chunk.len())?;
        self.buffer.extend_from_slice(&chunk);

        Ok(true)
    }
}

impl BodyStream for FrameReader {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            if self.buffer.is_empty() && !self.receive().await? {
                return Ok(None);
            }

            Ok(Some(self.buffer.split().freeze()))
        })
    }
}

/// `EmptyBody` is a body of length 0.
#[derive(Debug, Clone, Copy, Default)]
pub struct EmptyBody;

impl BodyStream for EmptyBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(std::future::ready(Ok(None)))
    }
}

/// `WholeBody` is a body that is held in memory and returned as a single chunk.
#[derive(Debug, Clone, Default)]
pub struct WholeBody(Option<Bytes>);

impl WholeBody {
    /// Creates a body from bytes, which may be empty.
    pub fn new(bytes: Bytes) -> Self {
        Self(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl BodyStream for WholeBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(std::future::ready(Ok(self.0.take())))
    }
}

/// Gives `length` received bytes back to the flow-control window, so that the sender can go on.
fn release_window(stream: &mut RecvStream, length: usize) -> Result<()> {
    stream
        .flow_control()
        .release_capacity(length)
        .map_err(|error| stream_error(&error))
}

/// Converts an HTTP/2 error of the stream. The verdict is `Unknown`, as the peer may have run the
/// request.
fn stream_error(error: &h2::Error) -> CoreError {
    CoreError::unavailable(format!("the stream broke: {error}"), RunVerdict::Unknown)
}
