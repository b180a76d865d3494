//! The body of a request that a handler reads.

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use thiserror::Error;

/// The bytes of a body that are buffered before the handler reads them. Beyond that, the connection
/// reads no more from the socket.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The bytes that a buffered chunk counts beyond its own: many short chunks take more memory than their
/// bytes.
const CHUNK_OVERHEAD_BYTES: usize = 256;

/// `Result` is the result of reading a request body.
pub type Result<T, E = BodyError> = std::result::Result<T, E>;

/// `BodyError` is the error of a request body that did not arrive in full.
#[derive(Debug)]
#[derive(Error)]
pub enum BodyError {
    /// Hyper could not read the body.
    #[error(transparent)]
    Hyper(#[from] hyper::Error),
    /// The connection ended, or the framing of the body is malformed.
    #[error("the body is cut short")]
    CutShort,
}

/// `RequestBody` is the body of a request, from whichever server reads the connection.
#[derive(Debug)]
pub struct RequestBody(BodySource);

/// `BodySource` is where the bytes of a body come from.
#[derive(Debug)]
enum BodySource {
    /// There is no body.
    Empty,
    /// Hyper reads the connection.
    Hyper(Incoming),
    /// A connection task of [`crate::pipeline`] reads the connection.
    Fed(Rc<FeedState>),
}

/// `FeedEnd` is whether more bytes of a fed body follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedEnd {
    /// More bytes follow.
    Open,
    /// The body is complete.
    Complete,
    /// The body will never be complete.
    CutShort,
}

/// `FeedState` is what a fed body shares with its connection.
#[derive(Debug)]
struct FeedState {
    chunks: RefCell<VecDeque<Bytes>>,
    /// The sum of the lengths of `chunks`, with [`CHUNK_OVERHEAD_BYTES`] for each.
    buffered: Cell<usize>,
    /// The bytes that the handler has yet to read, if the length was stated.
    left: Cell<Option<u64>>,
    end: Cell<FeedEnd>,
    /// Whether the handler has begun to read.
    awaited: Cell<bool>,
    /// Whether the handler dropped the body.
    abandoned: Cell<bool>,
    reader: AtomicWaker,
    connection: AtomicWaker,
}

impl RequestBody {
    /// Creates a body without bytes.
    pub fn empty() -> Self {
        Self(BodySource::Empty)
    }

    /// Creates a body that is fed, with its stated length.
    pub(crate) fn fed(length: Option<u64>) -> (BodyFeed, Self) {
        let state = Rc::new(FeedState {
            chunks: RefCell::default(),
            buffered: Cell::new(0),
            left: Cell::new(length),
            end: Cell::new(FeedEnd::Open),
            awaited: Cell::new(false),
            abandoned: Cell::new(false),
            reader: AtomicWaker::new(),
            connection: AtomicWaker::new(),
        });

        (
            BodyFeed(Rc::clone(&state)),
            Self(BodySource::Fed(Rc::clone(&state))),
        )
    }
}

impl From<Incoming> for RequestBody {
    fn from(body: Incoming) -> Self {
        Self(BodySource::Hyper(body))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let BodySource::Fed(state) = &self.0 {
            state.abandoned.set(true);
            state.connection.wake();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        match &mut self.0 {
            BodySource::Empty => Poll::Ready(None),
            BodySource::Hyper(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
            }
            BodySource::Fed(state) => state.poll_chunk(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            BodySource::Empty => true,
            BodySource::Hyper(body) => body.is_end_stream(),
            BodySource::Fed(state) => {
                state.end.get() == FeedEnd::Complete && state.chunks.borrow().is_empty()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            BodySource::Empty => SizeHint::with_exact(0),
            BodySource::Hyper(body) => body.size_hint(),
            BodySource::Fed(state) => state
                .left
                .get()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl FeedState {
    /// Takes the next chunk for the handler.
    fn poll_chunk(&self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>>>> {
        let Some(chunk) = self.chunks.borrow_mut().pop_front() else {
            return match self.end.get() {
                FeedEnd::Complete => Poll::Ready(None),
                FeedEnd::CutShort => Poll::Ready(Some(Err(BodyError::CutShort))),
                FeedEnd::Open => {
                    self.reader.register(context.waker());
                    if !self.awaited.replace(true) {
                        self.connection.wake();
                    }
                    Poll::Pending
                }
            };
        };

        let was_full = self.buffered.get() >= MAX_BUFFERED_BYTES;
        let cost = chunk.len() + CHUNK_OVERHEAD_BYTES;
        self.buffered.set(self.buffered.get() - cost);
        let length = u64::try_from(chunk.len()).unwrap_or(u64::MAX);
        self.left
            .set(self.left.get().map(|left| left.saturating_sub(length)));
        if was_full {
            self.connection.wake();
        }

        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }
}

/// `BodyFeed` is the end of a fed body that its connection holds. A body whose feed is dropped before
/// it is complete is cut short.
#[derive(Debug)]
pub(crate) struct BodyFeed(Rc<FeedState>);

impl BodyFeed {
    /// Adds a chunk. An empty one adds nothing.
    pub(crate) fn push(&self, chunk: Bytes) {
        if chunk.is_empty() || self.0.abandoned.get() {
            return;
        }

        let cost = chunk.len() + CHUNK_OVERHEAD_BYTES;
        self.0.buffered.set(self.0.buffered.get() + cost);
        self.0.chunks.borrow_mut().push_back(chunk);
        self.0.reader.wake();
    }

    /// States that the body is complete.
    pub(crate) fn complete(&self) {
        self.0.end.set(FeedEnd::Complete);
        self.0.reader.wake();
    }

    /// Returns whether more chunks are taken now; if not, the task of `context` is woken once they are.
    pub(crate) fn has_room(&self, context: &Context<'_>) -> bool {
        let has_room = self.0.buffered.get() < MAX_BUFFERED_BYTES || self.0.abandoned.get();
        self.0.connection.register(context.waker());

        has_room
    }

    /// Returns whether the handler waits for the first bytes of the body.
    pub(crate) fn is_awaited(&self) -> bool {
        self.0.awaited.get()
    }
}

impl Drop for BodyFeed {
    fn drop(&mut self) {
        if self.0.end.get() == FeedEnd::Open {
            self.0.end.set(FeedEnd::CutShort);
            self.0.reader.wake();
        }
    }
}
