//! Reading frames and bodies from an h2 stream.

use crate::frame::{self, PREFIX_BYTES};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::de::DeserializeOwned;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    verdict::RunVerdict,
};

/// `FrameReader` reads frames, and then the raw body, from an h2 stream.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Makes a reader of a stream from its start.
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next message, or nothing at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks, ends inside a frame, or holds no valid frame.
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

    /// Reads the next message, which must be there.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::next_message`], and at the end of the stream.
    pub async fn message<T: DeserializeOwned>(&mut self) -> Result<T> {
        self.next_message()
            .await?
            .ok_or_else(|| CoreError::malformed("the stream ended before a frame"))
    }

    /// Reads the rest of the stream as a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks or the body is larger than `limit`.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        while self.receive().await? {
            if self.buffer.len() > limit {
                return Err(CoreError::invalid_request(format!(
                    "the body exceeds {limit} bytes"
                )));
            }
        }

        Ok(self.buffer.split().freeze())
    }

    /// Receives until the buffer holds `length` bytes; returns false at a clean end.
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

    /// Receives one part into the buffer; returns false at the end of the stream.
    async fn receive(&mut self) -> Result<bool> {
        let Some(part) = self.stream.data().await else {
            return Ok(false);
        };
        let part = part.map_err(|error| broken(&error))?;

        release(&mut self.stream, part.len())?;
        self.buffer.extend_from_slice(&part);

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

/// `EmptyBody` is a body without bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct EmptyBody;

impl BodyStream for EmptyBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(std::future::ready(Ok(None)))
    }
}

/// `WholeBody` is a body that is already in memory.
#[derive(Debug, Clone, Default)]
pub struct WholeBody(Option<Bytes>);

impl WholeBody {
    /// Makes a body of bytes.
    pub fn new(bytes: Bytes) -> Self {
        Self(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl BodyStream for WholeBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(std::future::ready(Ok(self.0.take())))
    }
}

/// Returns received bytes to the sender's window.
fn release(stream: &mut RecvStream, length: usize) -> Result<()> {
    stream
        .flow_control()
        .release_capacity(length)
        .map_err(|error| broken(&error))
}

/// Makes the error of a broken stream.
fn broken(error: &h2::Error) -> CoreError {
    CoreError::unavailable(format!("the stream broke: {error}"), RunVerdict::Unknown)
}
