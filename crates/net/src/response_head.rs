//! Checks the heads of responses as their bytes arrive: their size, and how their lines end.

use crate::head_lines::HeadLines;
use compio::{
    BufResult,
    buf::IoBufMut,
    io::{AsyncRead, util::Splittable},
};
use std::{cell::RefCell, io, rc::Rc};

/// The most bytes that a response may have before its head is complete, with all interim responses.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// `HeadCheck` checks the bytes of a connection while a head is awaited. Clones share the state.
///
/// The HTTP library reads interim responses and ignores them for as long as they come, without giving
/// other tasks a turn.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadCheck(Rc<RefCell<Option<AwaitedHead>>>);

/// `AwaitedHead` is what is known of a head that is not complete.
#[derive(Debug)]
struct AwaitedHead {
    /// The bytes that may still be read before it is complete.
    bytes_left: usize,
    lines: HeadLines,
}

impl HeadCheck {
    /// Begins to check the head of the next response.
    pub(crate) fn begin(&self) {
        self.0.replace(Some(AwaitedHead {
            bytes_left: MAX_HEAD_BYTES,
            lines: HeadLines::default(),
        }));
    }

    /// Ends the check, as the head is complete.
    pub(crate) fn end(&self) {
        self.0.take();
    }

    /// Returns whether further bytes may be read.
    ///
    /// # Errors
    ///
    /// Fails when the head is too large.
    fn check_room(&self) -> io::Result<()> {
        let is_spent = (self.0.borrow().as_ref()).is_some_and(|head| head.bytes_left == 0);

        if is_spent {
            let reason = format!("the head of the response exceeds {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }

    /// Checks bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails when a line of the head ends in another way than its status line.
    fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let mut awaited = self.0.borrow_mut();
        let Some(head) = awaited.as_mut() else {
            return Ok(());
        };

        head.bytes_left = head.bytes_left.saturating_sub(bytes.len());
        head.lines
            .read(bytes)
            .map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason))
    }
}

/// `HeadCheckedStream` is a connection whose read half obeys a [`HeadCheck`].
#[derive(Debug)]
pub(crate) struct HeadCheckedStream<S> {
    stream: S,
    check: HeadCheck,
}

impl<S> HeadCheckedStream<S> {
    /// Wraps a connection.
    pub(crate) fn new(stream: S, check: HeadCheck) -> Self {
        Self { stream, check }
    }
}

impl<S: Splittable> Splittable for HeadCheckedStream<S> {
    type ReadHalf = HeadCheckedReader<S::ReadHalf>;
    type WriteHalf = S::WriteHalf;

    fn split(self) -> (Self::ReadHalf, Self::WriteHalf) {
        let (stream, writer) = self.stream.split();
        let reader = HeadCheckedReader {
            stream,
            check: self.check,
        };

        (reader, writer)
    }
}

/// `HeadCheckedReader` is the read half of a [`HeadCheckedStream`]. Reading fails when the check does.
#[derive(Debug)]
pub(crate) struct HeadCheckedReader<R> {
    stream: R,
    check: HeadCheck,
}

impl<R: AsyncRead> AsyncRead for HeadCheckedReader<R> {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        if let Err(error) = self.check.check_room() {
            return BufResult(Err(error), buf);
        }

        let BufResult(read, buf) = self.stream.read(buf).await;
        let checked = read.and_then(|count| {
            self.check.check(&buf.as_init()[..count])?;
            Ok(count)
        });
        BufResult(checked, buf)
    }
}
