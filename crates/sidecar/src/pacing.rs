//! Sends large bodies at the rate of this VM's link, and promises the link to responses that will come.

use bytes::Bytes;
use compio::time::sleep;
use std::{
    cell::{RefCell, RefMut},
    rc::Rc,
    time::Duration,
};
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
    units::LocalMoment,
};
use wagtail_gate::link::{BULK_BYTES, BulkArrival, LinkOptions, LinkPacer};
use wagtail_net::{clock, traffic::TrafficMeter};
use wagtail_peer::{body::RequestBody, stream::WholeBody};

/// The size of the pieces in which a large response is sent, in bytes. Small messages wait at most for one.
const PIECE_BYTES: usize = 16 << 10;

/// `NodeLink` is the network link of this VM. Clones share it.
#[derive(Debug, Clone)]
pub struct NodeLink {
    pacer: Rc<RefCell<LinkPacer>>,
    /// The bytes sent to other nodes.
    sent: TrafficMeter,
    /// The bytes of large responses among those sent to other nodes.
    bulk_sent: TrafficMeter,
}

impl NodeLink {
    /// Creates an idle link of the given rate in megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        let pacer = LinkPacer::new(LinkOptions::default(), link_mbps);

        Self {
            pacer: Rc::new(RefCell::new(pacer)),
            sent: TrafficMeter::default(),
            bulk_sent: TrafficMeter::default(),
        }
    }

    /// Returns this link with a meter of the bytes that are sent to other nodes.
    #[must_use]
    pub fn with_meter(self, sent: TrafficMeter) -> Self {
        Self { sent, ..self }
    }

    /// Returns the meter of the bytes that are sent to other nodes.
    pub fn sent_meter(&self) -> &TrafficMeter {
        &self.sent
    }

    /// Returns the pacer, which knows the present rate of other traffic.
    fn pacer(&self) -> RefMut<'_, LinkPacer> {
        let mut pacer = self.pacer.borrow_mut();
        let other = self.sent.total().saturating_sub(self.bulk_sent.total());
        pacer.observe_other(other, clock::now());

        pacer
    }

    /// Returns the delay before a retry if a large response cannot be sent in time, or `None` if the
    /// request may run.
    pub fn refusal(&self, arrival: BulkArrival) -> Option<Duration> {
        self.pacer().refusal(arrival, clock::now())
    }

    /// Promises the link to a response of an admitted request until the promise is dropped.
    pub fn promise(&self, bytes: u64) -> LinkPromise {
        self.pacer.borrow_mut().promise(bytes);

        LinkPromise {
            link: self.clone(),
            bytes,
        }
    }

    /// Returns how long the link is taken by large responses.
    pub fn wait(&self) -> Duration {
        self.pacer().wait(clock::now())
    }

    /// Returns the rate for large responses in bytes per second.
    pub fn bulk_rate(&self) -> f64 {
        self.pacer().bulk_rate()
    }

    /// Returns a body for a caller that is sent at the rate of the link if it is large. With its length the
    /// link is given to the whole body at once; without it, each piece that arrives waits for its turn.
    pub fn paced(&self, body: Box<dyn BodyStream>, length: Option<u64>) -> Box<dyn BodyStream> {
        // The connections of callers are not metered.
        Box::new(PacedBody::new(self, body, length, TrafficMeter::default()))
    }

    /// Returns the body of a request to another node, which is sent at the rate of the link if it is large.
    pub fn paced_request(&self, bytes: Bytes) -> RequestBody {
        let length = byte_count(&bytes);
        if length < BULK_BYTES {
            return RequestBody::Whole(bytes);
        }

        RequestBody::Streamed {
            length,
            stream: self.paced_for_peer(Box::new(WholeBody::new(bytes)), Some(length)),
        }
    }

    /// Returns a body for another node that is sent at the rate of the link if it is large.
    pub fn paced_for_peer(
        &self,
        body: Box<dyn BodyStream>,
        length: Option<u64>,
    ) -> Box<dyn BodyStream> {
        Box::new(PacedBody::new(self, body, length, self.bulk_sent.clone()))
    }
}

/// `LinkPromise` keeps the link promised to a response until it is dropped.
#[derive(Debug)]
pub struct LinkPromise {
    link: NodeLink,
    bytes: u64,
}

impl Drop for LinkPromise {
    fn drop(&mut self) {
        self.link.pacer.borrow_mut().release(self.bytes);
    }
}

/// `PromisedBody` is a body to which the link is promised until it was sent or is dropped.
#[derive(Debug)]
pub struct PromisedBody {
    body: Box<dyn BodyStream>,
    _promise: LinkPromise,
}

impl PromisedBody {
    /// Creates a body that keeps a promise.
    pub fn new(body: Box<dyn BodyStream>, promise: LinkPromise) -> Self {
        Self {
            body,
            _promise: promise,
        }
    }
}

impl BodyStream for PromisedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        self.body.next()
    }
}

/// `LinkTurn` is a span of a body that the link was given to.
#[derive(Debug, Clone, Copy)]
struct LinkTurn {
    /// The moment from which the link is given to the span.
    starts_at: LocalMoment,
    /// The bytes of the body before the span.
    from: u64,
    /// The bytes of the body up to the end of the span.
    to: u64,
}

/// `PacedBody` yields a large body in pieces, each when the link has room for it. Small bodies pass at
/// once.
#[derive(Debug)]
struct PacedBody {
    link: NodeLink,
    body: Box<dyn BodyStream>,
    /// The rest of the chunk that is being sent.
    chunk: Bytes,
    turn: Option<LinkTurn>,
    /// The length of the body, as far as it is known.
    length: u64,
    /// The bytes that were sent.
    sent: u64,
    /// The meter of the large pieces that were sent.
    bulk_sent: TrafficMeter,
}

impl PacedBody {
    /// Creates a body of which nothing was sent.
    fn new(
        link: &NodeLink,
        body: Box<dyn BodyStream>,
        length: Option<u64>,
        bulk_sent: TrafficMeter,
    ) -> Self {
        Self {
            link: link.clone(),
            body,
            chunk: Bytes::new(),
            turn: None,
            length: length.unwrap_or(0),
            sent: 0,
            bulk_sent,
        }
    }

    /// Takes the link for the chunk, and for the rest of the body if its length is known, unless an
    /// earlier turn covers it.
    fn take_turn(&mut self) -> LinkTurn {
        let end = self.sent + byte_count(&self.chunk);
        if let Some(turn) = self.turn
            && end <= turn.to
        {
            return turn;
        }

        let from = self.turn.map_or(self.sent, |turn| turn.to);
        let to = end.max(self.length);
        let starts_at = self.link.pacer.borrow_mut().begin(to - from, clock::now());
        // A chunk that continues an earlier turn goes on where that one ends.
        let turn = LinkTurn {
            starts_at,
            from,
            to,
        };
        self.turn = Some(turn);

        turn
    }

    /// Returns how long the next piece waits for the link.
    fn pause(&self, turn: LinkTurn) -> Duration {
        let offset = self.sent.saturating_sub(turn.from);

        self.link
            .pacer
            .borrow()
            .pause(turn.starts_at, offset, clock::now())
    }
}

impl BodyStream for PacedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            if self.chunk.is_empty() {
                let Some(chunk) = self.body.next().await? else {
                    return Ok(None);
                };
                self.chunk = chunk;
            }

            let turn = self.take_turn();
            if turn.to < BULK_BYTES {
                self.sent += byte_count(&self.chunk);
                return Ok(Some(std::mem::take(&mut self.chunk)));
            }
            let pause = self.pause(turn);
            if !pause.is_zero() {
                sleep(pause).await;
            }
            let piece = self.chunk.split_to(self.chunk.len().min(PIECE_BYTES));
            self.sent += byte_count(&piece);
            self.bulk_sent.add(piece.len());

            Ok(Some(piece))
        })
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        let unsent = self
            .turn
            .map_or(0, |turn| turn.to.saturating_sub(self.sent));

        if unsent > 0 {
            let mut pacer = self.link.pacer.borrow_mut();
            pacer.give_back(unsent, clock::now());
        }
    }
}

/// Returns the length of bytes as a whole number of 64 bits.
fn byte_count(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
