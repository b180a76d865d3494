//! The task of one connection.

use crate::{
    ending::ConnectionEnd,
    pipeline::{
        PipelineOptions,
        body::{BodyDecoder, DecodeStep},
        encode::{DateCache, RESPONSE_PREFIX},
        exchange::Exchange,
        head::{BodyFraming, HeadParser, RequestHead},
        input::{ConnectionInput, ReadPurpose},
        output::{OutputBuffer, write_some},
        times::ConnectionTimes,
    },
    request_body::{BodyFeed, RequestBody},
    server::{ConnectionLimits, HttpHandler, MIN_HEADER_BYTES},
    stop::StopSignal,
};
use bytes::Bytes;
use compio::net::TcpStream;
use hyper::{Request, header::HeaderValue};
use std::{
    collections::VecDeque,
    future::poll_fn,
    io,
    pin::{Pin, pin},
    task::{Context, Poll},
};
use wagtail_core::ports::LocalFuture;

/// The bytes of responses that wait for the socket before the next body is read further.
const MAX_OUTPUT_BYTES: usize = 64 << 10;

/// The bytes of bodies that a connection reads before the turn of their responses, so that those
/// responses keep no target busy and stay within their deadlines.
const MAX_EARLY_BYTES: usize = 256 << 10;

/// The number of passes over a connection after which other tasks get a turn. A client that sends
/// requests without a pause would otherwise occupy the thread.
const MAX_PASSES: usize = 16;

/// `BodyReceipt` is a request body that is being received.
struct BodyReceipt {
    feed: BodyFeed,
    decoder: BodyDecoder,
    /// Whether the client waits for an interim response before it sends the body.
    expects_continue: bool,
}

/// `Connection` is the state of one connection.
struct Connection<'h> {
    stream: &'h TcpStream,
    handler: &'h dyn HttpHandler,
    options: &'h PipelineOptions,
    dates: &'h DateCache,
    keep_alive: HeaderValue,
    /// The maximum size of a request head in bytes.
    head_limit: usize,
    parser: HeadParser,
    input: ConnectionInput<'h>,
    /// A request that is not begun before the ones before it are answered.
    held: Option<RequestHead>,
    /// Whether no further request is begun.
    closing: bool,
    exchanges: VecDeque<Exchange<'h>>,
    receipt: Option<BodyReceipt>,
    output: OutputBuffer,
    writing: Option<LocalFuture<'h, io::Result<VecDeque<Bytes>>>>,
    /// Whether [`RESPONSE_PREFIX`] of the next response was written.
    prefix_sent: bool,
    /// Whether a response was encoded after the last request was begun.
    has_last: bool,
    /// The end of the connection once all output is written, if a response is incomplete.
    failure: Option<ConnectionEnd>,
    times: ConnectionTimes,
}

/// Serves one connection until it closes. After `stop` is triggered, it answers the requests that were
/// read and then closes.
pub(crate) async fn serve_connection(
    stream: &TcpStream,
    handler: &dyn HttpHandler,
    limits: ConnectionLimits,
    options: &PipelineOptions,
    dates: &DateCache,
    stop: &StopSignal,
) {
    let keep_alive = HeaderValue::from_str(&format!("timeout={}", limits.advertised_seconds()));
    let (Ok(()), Ok(keep_alive)) = (stream.set_nodelay(true), keep_alive) else {
        return;
    };

    let head_limit = limits.head_bytes.max(MIN_HEADER_BYTES);
    let mut connection = Connection {
        stream,
        handler,
        options,
        dates,
        keep_alive,
        head_limit,
        parser: HeadParser::new(head_limit),
        input: ConnectionInput::new(stream),
        held: None,
        closing: false,
        exchanges: VecDeque::new(),
        receipt: None,
        output: OutputBuffer::default(),
        writing: None,
        prefix_sent: false,
        has_last: false,
        failure: None,
        times: ConnectionTimes::new(limits.idle_timeout, options.write_timeout),
    };

    let mut stopped = pin!(stop.wait());
    let mut is_stopped = false;
    let end = poll_fn(|context| {
        if !is_stopped && stopped.as_mut().poll(context).is_ready() {
            is_stopped = true;
            connection.stop_reading();
        }
        connection.poll(context)
    })
    .await;
    let at_end = connection.input.at_end;
    drop(connection);

    end.close(stream, at_end).await;
}

impl Connection<'_> {
    /// Begins no further request.
    fn stop_reading(&mut self) {
        self.closing = true;
        self.held = None;
    }

    /// Advances the connection as far as possible; is ready when it has ended.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<ConnectionEnd> {
        let mut again = true;

        for _ in 0..MAX_PASSES {
            let advanced = match self.advance(again, context) {
                Ok(advanced) => advanced,
                Err(_closed) => return Poll::Ready(ConnectionEnd::Broken),
            };
            again = false;
            if let Some(end) = self.end() {
                return Poll::Ready(end);
            }
            if !advanced {
                let is_answered = self.is_answered();
                // A pending read notices by itself that the client is gone.
                let is_unwatched = !self.input.is_reading() && !self.exchanges.is_empty();
                let ended = self
                    .times
                    .poll(self.stream, is_answered, is_unwatched, context);
                return ended.map(|()| ConnectionEnd::Broken);
            }
        }

        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Makes one pass over reading, handlers and writing, and returns whether another one may get
    /// further. Handlers that were polled before are polled only if `again` is set.
    fn advance(&mut self, again: bool, context: &mut Context<'_>) -> io::Result<bool> {
        let mut advanced = self.poll_read(context)?;
        advanced |= self.feed_body(context);
        advanced |= self.begin_requests();
        self.poll_handlers(again, context);
        advanced |= self.encode(context);
        self.probe_client();
        advanced |= self.poll_write(context)?;

        Ok(advanced)
    }

    /// Reads from the socket.
    fn poll_read(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let (limit, purpose) = match &self.receipt {
            Some(receipt) if receipt.feed.has_room(context) => {
                (MAX_OUTPUT_BYTES, ReadPurpose::Body)
            }
            // Nothing is read beyond what the handler of the body can take.
            Some(_) => (0, ReadPurpose::Body),
            None if self.closing => {
                self.input.bytes.clear();
                (usize::MAX, ReadPurpose::Discard)
            }
            // A head that fills the buffer is refused as too large.
            None => (self.head_limit + 1, ReadPurpose::Heads),
        };

        self.input.poll_fill(limit, purpose, context)
    }

    /// Passes what was read of a request body to its handler.
    fn feed_body(&mut self, context: &mut Context<'_>) -> bool {
        let Some(receipt) = &mut self.receipt else {
            return false;
        };
        let had_bytes = !self.input.bytes.is_empty();

        while receipt.feed.has_room(context) {
            match receipt.decoder.next(&mut self.input.bytes) {
                DecodeStep::Data(data) => {
                    receipt.expects_continue = false;
                    receipt.feed.push(data);
                }
                DecodeStep::Complete => {
                    receipt.feed.complete();
                    self.receipt = None;
                    return true;
                }
                DecodeStep::Incomplete if !self.input.at_end => break,
                DecodeStep::Incomplete | DecodeStep::Malformed => {
                    // The handler gets an error. What follows cannot be told from the body.
                    self.receipt = None;
                    self.stop_reading();
                    return true;
                }
            }
        }

        if receipt.expects_continue && receipt.feed.is_awaited() && !self.input.at_end {
            receipt.expects_continue = false;
            self.output.put(b"HTTP/1.1 100 Continue\r\n\r\n");
            return true;
        }
        had_bytes && self.input.bytes.is_empty()
    }

    /// Begins the requests that may run now.
    fn begin_requests(&mut self) -> bool {
        let mut advanced = false;
        let is_drained = self.input.at_end && self.input.bytes.is_empty();
        if is_drained && self.held.is_none() && self.receipt.is_none() && !self.closing {
            // So that the last response says that the connection closes.
            self.closing = true;
            advanced = true;
        }

        while !self.closing && self.receipt.is_none() && self.has_room() {
            let head = match self.held.take() {
                Some(head) => head,
                None => match self.parser.next(&mut self.input.bytes) {
                    Ok(Some(head)) => head,
                    Ok(None) => {
                        // The rest of an incomplete head will not arrive.
                        advanced |= self.input.at_end;
                        self.closing |= self.input.at_end;
                        break;
                    }
                    Err(status) => {
                        self.exchanges.push_back(Exchange::refusal(status));
                        self.stop_reading();
                        return true;
                    }
                },
            };
            if !head.is_safe() && !self.is_answered() {
                self.held = Some(head);
                break;
            }
            self.begin(head);
            advanced = true;
        }

        advanced
    }

    /// Returns whether one more request may be read if it is safe.
    fn has_room(&self) -> bool {
        let head_bytes: usize = self
            .exchanges
            .iter()
            .map(|exchange| exchange.head_bytes)
            .sum();

        self.exchanges.iter().all(|exchange| exchange.is_safe)
            && self.exchanges.len() < self.options.max_requests.max(1)
            && (self.exchanges.is_empty() || head_bytes < self.options.max_head_bytes)
    }

    /// Returns whether all responses so far were written to the socket.
    fn is_answered(&self) -> bool {
        self.exchanges.is_empty() && self.writing.is_none() && self.output.len() == 0
    }

    /// Calls the handler for a request.
    fn begin(&mut self, head: RequestHead) {
        let body = if head.has_body() {
            let length = match head.framing {
                BodyFraming::Length(length) => Some(length),
                BodyFraming::Chunked => None,
            };
            let (feed, body) = RequestBody::fed(length);
            self.receipt = Some(BodyReceipt {
                feed,
                decoder: BodyDecoder::new(head.framing),
                expects_continue: head.expects_continue,
            });
            body
        } else {
            RequestBody::empty()
        };
        let (is_safe, size) = (head.is_safe(), head.size);
        if !head.keep_alive {
            self.stop_reading();
        }

        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri;
        *request.version_mut() = head.version;
        *request.headers_mut() = head.headers;
        let response = self.handler.handle(request);
        self.times.end_idle();
        let exchange =
            Exchange::new(head.method, head.version, response).with_request(is_safe, size);
        self.exchanges.push_back(exchange);
        self.options.counts.count(self.exchanges.len());
    }

    /// Polls the handlers, and reads bodies before the turn of their responses.
    fn poll_handlers(&mut self, again: bool, context: &mut Context<'_>) {
        let mut closes = false;
        let mut early = 0;

        for (position, exchange) in self.exchanges.iter_mut().enumerate() {
            let responded = exchange.poll_handler(again, context);
            closes |= responded == Some(true);
            if position > 0 && (again || responded.is_some()) {
                early += exchange.read_early(MAX_EARLY_BYTES.saturating_sub(early), context);
            }
        }

        if closes {
            self.stop_reading();
        }
    }

    /// Encodes the responses whose turn it is.
    fn encode(&mut self, context: &mut Context<'_>) -> bool {
        let mut advanced = false;

        while let Some(exchange) = self.exchanges.front_mut() {
            let next_head = exchange.next_head();
            if let Some(until_close) = next_head {
                // What is left of the body would be taken for the next request.
                if until_close || self.receipt.is_some() {
                    self.stop_reading();
                }
                let closes = self.closing && self.exchanges.len() == 1;
                let Some(exchange) = self.exchanges.front_mut() else {
                    break;
                };
                let announced = (&self.keep_alive, self.dates);
                exchange.put_head(closes, self.prefix_sent, announced, &mut self.output);
                self.prefix_sent = false;
                continue;
            }

            match exchange.poll_put_body(MAX_OUTPUT_BYTES, &mut self.output, context) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) => {
                    self.exchanges.pop_front();
                    self.has_last |= self.closing;
                    // A body that was not received by now is not needed.
                    if self.receipt.take().is_some() {
                        self.stop_reading();
                    }
                }
                Poll::Ready(Err(_broken)) => {
                    self.failure = Some(if exchange.ends_with_connection() {
                        ConnectionEnd::Reset
                    } else {
                        ConnectionEnd::Broken
                    });
                    self.exchanges.clear();
                    self.receipt = None;
                    self.stop_reading();
                }
            }
            advanced = true;
        }

        advanced
    }

    /// Writes the start of the next response, which is the same for all, if the client has closed its
    /// sending side. A client that waits for responses takes it; one that has closed its connection
    /// resets it, which is the only sign that it is gone.
    fn probe_client(&mut self) {
        let is_due = self.input.at_end
            && !self.prefix_sent
            && self.output.len() == 0
            && self.writing.is_none()
            && self
                .exchanges
                .front()
                .is_some_and(|exchange| !exchange.has_begun());
        if is_due {
            self.output.put(RESPONSE_PREFIX);
            self.prefix_sent = true;
        }
    }

    /// Writes to the socket.
    fn poll_write(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let mut advanced = false;

        loop {
            if self.writing.is_none() {
                if self.output.len() == 0 {
                    break;
                }
                self.writing = Some(Box::pin(write_some(self.stream, self.output.take())));
                self.times.end_write();
            }
            let Some(writing) = &mut self.writing else {
                break;
            };
            let Poll::Ready(rest) = Pin::new(writing).poll(context) else {
                self.times.await_write();
                break;
            };

            let rest = rest?;
            self.times.end_write();
            advanced = true;
            self.writing = if rest.is_empty() {
                None
            } else {
                Some(Box::pin(write_some(self.stream, rest)))
            };
        }

        Ok(advanced)
    }

    /// Returns how the connection ends, if nothing is left to do.
    fn end(&self) -> Option<ConnectionEnd> {
        if !self.closing || !self.is_answered() {
            return None;
        }

        Some(self.failure.unwrap_or(if self.has_last {
            ConnectionEnd::Answered
        } else {
            ConnectionEnd::Idle
        }))
    }
}
