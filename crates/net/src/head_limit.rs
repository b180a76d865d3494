//! A limit on the bytes that a server sends before the head of its response is complete.

use compio::{
    BufResult,
    buf::IoBufMut,
    io::{AsyncRead, util::Splittable},
};
use std::{cell::Cell, io, rc::Rc};

/// The most bytes that a response may have before its head is complete, with all interim responses.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// `HeadBudget` counts the bytes of a connection while a head is awaited. Clones share the count.
///
/// The HTTP library reads interim responses and ignores them for as long as they come, without giving
/// other tasks a turn.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Begins to count for the head of the next response.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the count, as the head is complete.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    /// Returns whether no further bytes may be read.
    fn is_spent(&self) -> bool {
        self.0.get() == Some(0)
    }

    /// Counts bytes that were read.
    fn spend(&self, count: usize) {
        self.0
            .set(self.0.get().map(|left| left.saturating_sub(count)));
    }
}

/// `HeadLimitedStream` is a connection whose read half obeys a [`HeadBudget`].
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<S> {
    stream: S,
    budget: HeadBudget,
}

impl<S> HeadLimitedStream<S> {
    /// Limits a connection.
    pub(crate) fn new(stream: S, budget: HeadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<S: Splittable> Splittable for HeadLimitedStream<S> {
    type ReadHalf = HeadLimitedReader<S::ReadHalf>;
    type WriteHalf = S::WriteHalf;

    fn split(self) -> (Self::ReadHalf, Self::WriteHalf) {
        let (stream, writer) = self.stream.split();
        let reader = HeadLimitedReader {
            stream,
            budget: self.budget,
        };

        (reader, writer)
    }
}

/// `HeadLimitedReader` is the read half of a [`HeadLimitedStream`]. Reading fails when the budget is spent.
#[derive(Debug)]
pub(crate) struct HeadLimitedReader<R> {
    stream: R,
    budget: HeadBudget,
}

impl<R: AsyncRead> AsyncRead for HeadLimitedReader<R> {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        if self.budget.is_spent() {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                format!("the head of the response exceeds {MAX_HEAD_BYTES} bytes"),
            );
            return BufResult(Err(error), buf);
        }

        let BufResult(read, buf) = self.stream.read(buf).await;
        if let Ok(count) = &read {
            self.budget.spend(*count);
        }
        BufResult(read, buf)
    }
}
