//! The body of an answer, whole or cut short on purpose.

use crate::errors::NetError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The largest part of a body in bytes that is written at once.
const PART_BYTES: usize = 16 * 1_024;

/// `AnswerBody` is the body of an answer, sent in parts.
#[derive(Debug)]
pub struct AnswerBody {
    /// The bytes that are still to be sent.
    rest: Bytes,
    /// The announced length that is still owed in bytes.
    owed: u64,
}

impl AnswerBody {
    /// Makes a whole body.
    pub fn new(content: impl Into<Bytes>) -> Self {
        let rest = content.into();
        let owed = rest.len() as u64;

        Self { rest, owed }
    }

    /// Cuts the body after `kept` bytes; its announced length stays.
    #[must_use]
    pub fn with_cut(mut self, kept: usize) -> Self {
        self.rest.truncate(kept);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = NetError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NetError>>> {
        let body = self.get_mut();

        if body.rest.is_empty() {
            let cut = body.owed > 0;
            return Poll::Ready(cut.then_some(Err(NetError::Injected { fault: "truncate" })));
        }

        let part = body.rest.split_to(body.rest.len().min(PART_BYTES));
        body.owed -= part.len() as u64;

        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.owed == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.owed)
    }
}
