//! Sends large bodies at the rate of this VM's link, and promises the link to responses that will come.

use bytes::Bytes;
use compio::time::sleep;
use std::{cell::RefCell, future::ready, rc::Rc, time::Duration};
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
    units::LocalMoment,
};
use wagtail_gate::link::{BULK_BYTES, BulkArrival, LinkOptions, LinkPacer};
use wagtail_net::clock;
use wagtail_peer::body::RequestBody;

/// The size of the pieces in which a large response is sent, in bytes. Small messages wait at most for one.
const PIECE_BYTES: usize = 16 << 10;

/// The size of the parts of a large request body for which the link is given one after the other, in bytes: the
/// mean size of an upload.
const PART_BYTES: usize = 64 << 10;

/// `NodeLink` is the network link of this VM. Clones share it.
#[derive(Debug, Clone)]
pub struct NodeLink {
    pacer: Rc<RefCell<LinkPacer>>,
}

impl NodeLink {
    /// Creates an idle link of the given rate in megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        let pacer = LinkPacer::new(LinkOptions::default(), link_mbps);

        Self {
            pacer: Rc::new(RefCell::new(pacer)),
        }
    }

    /// Returns the delay before a retry if a large response cannot be sent in time, or `None` if the
    /// request may run.
    pub fn refusal(&self, arrival: BulkArrival) -> Option<Duration> {
        self.pacer.borrow().refusal(arrival, clock::now())
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
        self.pacer.borrow().wait(clock::now())
    }

    /// Returns the rate for large responses in bytes per second.
    pub fn bulk_rate(&self) -> f64 {
        self.pacer.borrow().bulk_rate()
    }

    /// Returns the body of a request to another node, which is sent at the rate of the link if it is large.
    pub fn paced_request(&self, bytes: Bytes) -> RequestBody {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        if length < BULK_BYTES {
            return RequestBody::Whole(bytes);
        }

        RequestBody::Streamed {
            length,
            stream: self.paced(Box::new(PartedBody(bytes))),
        }
    }

    /// Returns a body that is sent at the rate of the link if it is large.
    pub fn paced(&self, body: Box<dyn BodyStream>) -> Box<dyn BodyStream> {
        Box::new(PacedBody {
            link: self.clone(),
            body,
            chunk: Bytes::new(),
            starts_at: LocalMoment::ZERO,
            offset: 0,
            sent: 0,
        })
    }
}

/// `PartedBody` yields a body in memory in parts, each of which gets its own turn on the link. So bodies that
/// are sent at a time share the link, and one that is given up leaves only a part of it unused.
#[derive(Debug)]
struct PartedBody(Bytes);

impl BodyStream for PartedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        let part = self.0.split_to(self.0.len().min(PART_BYTES));

        Box::pin(ready(Ok(Some(part).filter(|part| !part.is_empty()))))
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

/// `PacedBody` yields a large body in pieces, each when the link has room for it. Small bodies pass at
/// once.
#[derive(Debug)]
struct PacedBody {
    link: NodeLink,
    body: Box<dyn BodyStream>,
    /// The rest of the chunk that is being sent.
    chunk: Bytes,
    /// The moment from which the link is given to the chunk.
    starts_at: LocalMoment,
    /// The bytes of the chunk that were sent.
    offset: u64,
    /// The bytes of the body before the chunk.
    sent: u64,
}

impl BodyStream for PacedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            if self.chunk.is_empty() {
                let Some(chunk) = self.body.next().await? else {
                    return Ok(None);
                };
                let length = u64::try_from(chunk.len()).unwrap_or(u64::MAX);
                let now = clock::now();
                self.sent += self.offset;
                self.offset = 0;
                self.starts_at = self.link.pacer.borrow_mut().begin(length, now);
                if self.sent + length < BULK_BYTES {
                    self.offset = length;
                    return Ok(Some(chunk));
                }
                self.chunk = chunk;
            }

            let pause = self
                .link
                .pacer
                .borrow()
                .pause(self.starts_at, self.offset, clock::now());
            if !pause.is_zero() {
                sleep(pause).await;
            }
            let piece = self.chunk.split_to(self.chunk.len().min(PIECE_BYTES));
            self.offset += u64::try_from(piece.len()).unwrap_or(u64::MAX);

            Ok(Some(piece))
        })
    }
}
