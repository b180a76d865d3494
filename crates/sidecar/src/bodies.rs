//! Reads the bodies of callers' requests, within the memory for bodies.

use crate::memory::NodeMemory;
use bytes::Bytes;
use compio::time::timeout;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::time::Duration;
use wagtail_peer::body::BodyBuffer;

/// The largest rest of a refused body that is read and discarded so that its connection can be used again, in
/// bytes. Reading it costs less than a new connection.
const MAX_DISCARDED_BYTES: u64 = 256 << 10;

/// The time for which the rest of a refused body is read and discarded. A socket that is closed with unread
/// bytes resets its connection, and the caller may lose the response.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// `BodyFault` is the reason why a body was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// The body ended before its end, or is malformed.
    CutShort,
    /// The body is larger than callers may send.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// There is no memory for the body; it is expected to fit after this time.
    MemoryFull(Duration),
}

/// `RefusedBody` is a body that was not read to its end, with the reason.
#[derive(Debug)]
pub(crate) struct RefusedBody<B> {
    /// The reason.
    pub(crate) fault: BodyFault,
    /// The rest of the body, unless it is broken or too slow.
    rest: Option<B>,
}

impl<B> RefusedBody<B> {
    /// Creates a refusal whose rest is not worth reading.
    fn without_rest(fault: BodyFault) -> Self {
        Self { fault, rest: None }
    }
}

impl<B: Body<Data = Bytes> + Unpin + 'static> RefusedBody<B> {
    /// Reads and discards the rest of the body in the background, within `MAX_DISCARDED_BYTES` if it is known to
    /// be short and within `DISCARD_TIME`. Returns whether the connection is to be closed after the response.
    pub(crate) fn discard(self) -> bool {
        let Some(mut rest) = self.rest else {
            return true;
        };
        let is_short = rest
            .size_hint()
            .upper()
            .is_some_and(|length| length <= MAX_DISCARDED_BYTES);

        compio::runtime::spawn(async move {
            let read_all = async { while let Some(Ok(_)) = rest.frame().await {} };
            // The server closes the connection when it finds the body dropped before its end.
            let _ = timeout(DISCARD_TIME, read_all).await;
        })
        .detach();
        !is_short
    }
}

/// Reads a complete body of at most `max_bytes` bytes within `time_left`, into memory that is reserved before it
/// is read.
///
/// # Errors
///
/// Returns the reason if the body cannot be read, with what is left of it.
pub(crate) async fn read_whole<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    time_left: Duration,
    memory: &NodeMemory,
) -> Result<Bytes, RefusedBody<B>> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let refused = |fault, rest| RefusedBody {
        fault,
        rest: Some(rest),
    };
    let length = body.size_hint().exact();
    if length
        .is_some_and(|length| usize::try_from(length).map_or(true, |length| length > max_bytes))
    {
        return Err(refused(BodyFault::TooLarge, body));
    }
    let mut buffer = match memory.buffer(length) {
        Ok(buffer) => buffer,
        Err(retry_after) => return Err(refused(BodyFault::MemoryFull(retry_after), body)),
    };

    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| BodyFault::CutShort)?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            if buffer.len() + chunk.len() > max_bytes {
                return Err(BodyFault::TooLarge);
            }
            buffer.append(&chunk).map_err(BodyFault::MemoryFull)?;
        }
        Ok(())
    };

    match timeout(time_left, reading).await {
        Ok(Ok(())) => Ok(buffer.into_bytes()),
        Ok(Err(BodyFault::CutShort)) => Err(RefusedBody::without_rest(BodyFault::CutShort)),
        Ok(Err(fault)) => Err(refused(fault, body)),
        Err(_elapsed) => Err(RefusedBody::without_rest(BodyFault::TooSlow)),
    }
}
