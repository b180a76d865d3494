//! The bodies of requests: how they are sent, and where they are collected.

use bytes::{Bytes, BytesMut};
use std::{fmt::Debug, time::Duration};
use wagtail_core::ports::BodyStream;

/// `RequestBody` is the body of a request to a peer.
#[derive(Debug)]
pub enum RequestBody {
    /// A body that is sent at once.
    Whole(Bytes),
    /// A body that is sent as its stream yields it, while the response is awaited.
    Streamed {
        /// The length of the whole body in bytes.
        length: u64,
        /// The source of the body.
        stream: Box<dyn BodyStream>,
    },
}

impl RequestBody {
    /// Returns the length of the body in bytes.
    pub fn length(&self) -> u64 {
        match self {
            Self::Whole(bytes) => u64::try_from(bytes.len()).unwrap_or(u64::MAX),
            Self::Streamed { length, .. } => *length,
        }
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes)
    }
}

/// `BodyBuffer` collects the body of a request before the handler gets it.
pub trait BodyBuffer: Debug {
    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is expected to fit if there is no room for it now.
    fn append(&mut self, chunk: &[u8]) -> Result<(), Duration>;

    /// Returns the body.
    fn finish(self: Box<Self>) -> Bytes;
}

/// `GrowingBuffer` is a buffer without a bound of its own.
#[derive(Debug, Default)]
pub struct GrowingBuffer(BytesMut);

impl BodyBuffer for GrowingBuffer {
    fn append(&mut self, chunk: &[u8]) -> Result<(), Duration> {
        self.0.extend_from_slice(chunk);

        Ok(())
    }

    fn finish(self: Box<Self>) -> Bytes {
        self.0.freeze()
    }
}

/// `BodyPlan` tells how the body of a request is collected.
#[derive(Debug)]
pub struct BodyPlan {
    /// The buffer that collects it.
    pub buffer: Box<dyn BodyBuffer>,
    /// The time in which it must arrive, or `None` without a limit. A sender that was lost does not end the
    /// stream.
    pub time_limit: Option<Duration>,
}

impl Default for BodyPlan {
    fn default() -> Self {
        Self {
            buffer: Box::new(GrowingBuffer::default()),
            time_limit: None,
        }
    }
}
