//! Collecting the bodies of requests, within the limits of the handler.

use crate::{
    body::BodyPlan,
    server::PeerHandler,
    stream::FrameReader,
    turns::{BodyTurn, BodyTurns},
};
use bytes::Bytes;
use compio::time::timeout;
use std::time::Duration;
use wagtail_core::ports::BodyStream;

/// The HTTP/2 flow-control window of a request in bytes. What exceeds it is sent when its turn has come.
pub(crate) const REQUEST_WINDOW_BYTES: u32 = 16 << 10;

/// The silence of a peer after which its body loses its turn.
const MAX_TURN_SILENCE: Duration = Duration::from_millis(400);

/// `Result` is the result of collecting a body.
pub(crate) type Result<T, E = BodyFault> = std::result::Result<T, E>;

/// `BodyFault` is the reason why the body of a request was not collected. The request does not run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum BodyFault {
    /// There is no room for it; it is expected to fit after this time.
    NoRoom(Duration),
    /// It is too large, too slow or broke off.
    Broken,
}

/// Collects the body of a request within the limits of the handler.
///
/// # Errors
///
/// Returns the reason if the body is not collected. The rest of it is not read then, and the connection
/// discards it.
pub(crate) async fn collect_body<H: PeerHandler>(
    reader: &mut FrameReader,
    head: &H::Request,
    length: Option<u64>,
    handler: &H,
) -> Result<Bytes> {
    let limit = handler.max_body_bytes();
    if length.is_some_and(|length| usize::try_from(length).map_or(true, |length| length > limit)) {
        return Err(BodyFault::Broken);
    }
    let plan = |length| handler.plan_body(head, length).map_err(BodyFault::NoRoom);
    let mut planned: Option<BodyPlan> = length.map(|length| plan(Some(length))).transpose()?;
    let time_limit = planned.as_ref().and_then(|planned| planned.time_limit);

    let collect = async {
        let mut chunks = TurnReader::new(reader, handler.body_turns(), length);
        while let Some(chunk) = chunks.next().await? {
            if chunks.read > limit {
                return Err(BodyFault::Broken);
            }
            let planned = match &mut planned {
                Some(planned) => planned,
                None => planned.insert(plan(None)?),
            };
            planned.buffer.append(&chunk).map_err(BodyFault::NoRoom)?;
        }
        Ok(planned.map_or_else(Bytes::new, |planned| planned.buffer.finish()))
    };

    match time_limit {
        Some(limit) => timeout(limit, collect)
            .await
            .unwrap_or(Err(BodyFault::Broken)),
        None => collect.await,
    }
}

/// `TurnReader` reads a body, of which it takes a turn for what exceeds [`REQUEST_WINDOW_BYTES`].
struct TurnReader<'a> {
    reader: &'a mut FrameReader,
    /// The turns, until one was taken.
    turns: Option<&'a BodyTurns>,
    turn: Option<BodyTurn>,
    /// The bytes that the body has at least.
    least: u64,
    /// The bytes that were read.
    read: usize,
}

impl<'a> TurnReader<'a> {
    /// Creates a reader for a body of the stated length. One without a stated length is small until more than
    /// the window has arrived: requests without a body state none.
    fn new(reader: &'a mut FrameReader, turns: Option<&'a BodyTurns>, length: Option<u64>) -> Self {
        Self {
            reader,
            turns,
            turn: None,
            least: length.unwrap_or(0),
            read: 0,
        }
    }

    /// Returns the next part of the body. A turn ends when nothing arrives for a while: a peer that was cut off
    /// would keep it from the others.
    async fn next(&mut self) -> Result<Option<Bytes>> {
        let is_large = self.least > u64::from(REQUEST_WINDOW_BYTES);
        if let Some(turns) = self.turns.take_if(|_| is_large) {
            self.turn = Some(turns.take().await);
        }

        if self.turn.is_some() {
            match timeout(MAX_TURN_SILENCE, self.reader.next()).await {
                Ok(next) => return self.received(next),
                Err(_elapsed) => drop(self.turn.take()),
            }
        }
        let next = self.reader.next().await;

        self.received(next)
    }

    /// Counts a part that was read.
    fn received(&mut self, next: wagtail_core::Result<Option<Bytes>>) -> Result<Option<Bytes>> {
        let chunk = next.map_err(|_broken| BodyFault::Broken)?;
        self.read += chunk.as_ref().map_or(0, Bytes::len);
        self.least = self.least.max(u64::try_from(self.read).unwrap_or(u64::MAX));

        Ok(chunk)
    }
}
