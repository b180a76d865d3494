//! The body of a response, complete or truncated as an injected fault.

use crate::errors::NetError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The maximum size in bytes of a chunk of a body that is written at once.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;

/// `ResponseBody` is the body of a response, sent in chunks.
#[derive(Debug)]
pub struct ResponseBody {
    /// The content that is still to be sent.
    remaining: Bytes,
    /// The part of the announced length in bytes that was not sent yet. It exceeds
    /// `remaining` when the body was truncated.
    unsent_bytes: u64,
}

impl ResponseBody {
    /// Creates a complete body; its announced length is that of `content`.
    pub fn new(content: impl Into<Bytes>) -> Self {
        let remaining = content.into();
        let unsent_bytes = remaining.len() as u64;

        Self {
            remaining,
            unsent_bytes,
        }
    }

    /// Truncates the content to `kept` bytes; the announced length stays.
    #[must_use]
    pub fn with_truncation(mut self, kept: usize) -> Self {
        self.remaining.truncate(kept);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = NetError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NetError>>> {
        let body = self.get_mut();

        if body.remaining.is_empty() {
            let cut = body.unsent_bytes > 0;
            return Poll::Ready(cut.then_some(Err(NetError::Injected { fault: "truncate" })));
        }

        let chunk = body
            .remaining
            .split_to(body.remaining.len().min(MAX_CHUNK_BYTES));
        body.unsent_bytes -= chunk.len() as u64;

        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent_bytes)
    }
}
