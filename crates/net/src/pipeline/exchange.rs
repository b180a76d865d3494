//! One request of a connection, with its response.

use crate::{
    pipeline::{
        encode::{BodyEncoding, BrokenBody, DateCache, ResponseFrame},
        head::has_token,
        output::OutputBuffer,
    },
    server::{ServerBody, whole_body},
};
use bytes::Bytes;
use hyper::{
    Method, Response, StatusCode, Version,
    body::Body,
    header::{CONNECTION, HeaderValue},
    http::response::Parts,
};
use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};
use wagtail_core::ports::LocalFuture;

/// `ExchangeState` is how far a response is.
enum ExchangeState<'h> {
    /// The handler runs.
    Running(LocalFuture<'h, Response<ServerBody>>),
    /// The handler has responded.
    Responding(Box<PendingResponse>),
}

/// `PendingResponse` is a response that has not been written in full.
struct PendingResponse {
    parts: Parts,
    body: ServerBody,
    /// The chunks of the body that were read before their turn.
    early: VecDeque<Bytes>,
    /// How the body ended, once it has.
    end: Option<Result<(), BrokenBody>>,
    /// The encoding of the body, once the head was encoded.
    encoding: Option<BodyEncoding>,
}

/// `Exchange` is a request that was read, until its response is encoded.
pub(crate) struct Exchange<'h> {
    method: Method,
    version: Version,
    /// Whether further requests may be read before this one is answered.
    pub(crate) is_safe: bool,
    /// The size of the request's head in bytes.
    pub(crate) head_bytes: usize,
    /// Whether the handler was polled.
    was_polled: bool,
    state: ExchangeState<'h>,
}

impl<'h> Exchange<'h> {
    /// Creates an exchange whose response comes from a handler.
    pub(crate) fn new(
        method: Method,
        version: Version,
        response: LocalFuture<'h, Response<ServerBody>>,
    ) -> Self {
        Self {
            method,
            version,
            is_safe: false,
            head_bytes: 0,
            was_polled: false,
            state: ExchangeState::Running(response),
        }
    }

    /// Adds that the request is safe, and the size of its head.
    pub(crate) fn with_request(mut self, is_safe: bool, head_bytes: usize) -> Self {
        self.is_safe = is_safe;
        self.head_bytes = head_bytes;
        self
    }

    /// Creates the exchange of a request that is refused because it is malformed.
    pub(crate) fn refusal(status: StatusCode) -> Self {
        let mut response = Response::new(whole_body(Bytes::new()));
        *response.status_mut() = status;

        Self {
            state: ExchangeState::responding(response),
            ..Self::new(
                Method::GET,
                Version::HTTP_11,
                Box::pin(std::future::pending()),
            )
        }
    }

    /// Polls the handler if it runs; only if it was not polled before unless `again`. Returns the
    /// response's state if the handler has just responded: whether it closes the connection.
    pub(crate) fn poll_handler(&mut self, again: bool, context: &mut Context<'_>) -> Option<bool> {
        let ExchangeState::Running(handler) = &mut self.state else {
            return None;
        };
        if self.was_polled && !again {
            return None;
        }

        self.was_polled = true;
        let Poll::Ready(response) = handler.as_mut().poll(context) else {
            return None;
        };
        let closes = response
            .headers()
            .get_all(CONNECTION)
            .iter()
            .any(|value| has_token(value, "close"));
        self.state = ExchangeState::responding(response);

        Some(closes)
    }

    /// Reads up to about `limit` bytes of the body before its turn, and returns the bytes that it holds
    /// so far.
    pub(crate) fn read_early(&mut self, limit: usize, context: &mut Context<'_>) -> usize {
        let ExchangeState::Responding(response) = &mut self.state else {
            return 0;
        };
        // A body in memory gains nothing from it, and would no longer know its length.
        if response.body.size_hint().exact().is_some() {
            return 0;
        }

        let mut held: usize = response.early.iter().map(Bytes::len).sum();
        while held < limit && response.end.is_none() {
            let Poll::Ready(chunk) = response.poll_body(context) else {
                break;
            };
            if let Some(chunk) = chunk {
                held += chunk.len();
                response.early.push_back(chunk);
            }
        }

        held
    }

    /// Returns whether the head of the response was encoded.
    pub(crate) fn has_begun(&self) -> bool {
        matches!(&self.state, ExchangeState::Responding(response) if response.encoding.is_some())
    }

    /// Returns whether the head of the response is the next to be encoded, and whether the body then
    /// ends with the connection.
    pub(crate) fn next_head(&self) -> Option<bool> {
        let ExchangeState::Responding(response) = &self.state else {
            return None;
        };
        if response.encoding.is_some() {
            return None;
        }

        Some(self.encoding(response) == BodyEncoding::UntilClose)
    }

    /// Encodes the head of the response, if the handler has responded.
    pub(crate) fn put_head(
        &mut self,
        closes: bool,
        prefix_sent: bool,
        (keep_alive, dates): (&HeaderValue, &DateCache),
        output: &mut OutputBuffer,
    ) {
        let ExchangeState::Responding(response) = &self.state else {
            return;
        };
        let encoding = self.encoding(response);
        let frame = ResponseFrame {
            version: self.version,
            encoding,
            length: response.body.size_hint().exact(),
            closes,
            keep_alive,
            dates,
        };
        frame.put_head(&response.parts, prefix_sent, output);

        if let ExchangeState::Responding(response) = &mut self.state {
            response.encoding = Some(encoding);
        }
    }

    /// Encodes the body of the response until `limit` bytes wait to be written. Is ready when the body
    /// has ended, with an error if the client does not have all of it.
    pub(crate) fn poll_put_body(
        &mut self,
        limit: usize,
        output: &mut OutputBuffer,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), BrokenBody>> {
        let ExchangeState::Responding(response) = &mut self.state else {
            return Poll::Pending;
        };

        response.poll_put(limit, output, context)
    }

    /// Returns whether the body of the response ends with the connection, so that an early end looks
    /// like its end.
    pub(crate) fn ends_with_connection(&self) -> bool {
        matches!(
            &self.state,
            ExchangeState::Responding(response)
                if response.encoding == Some(BodyEncoding::UntilClose)
        )
    }

    /// Returns the encoding of a response's body.
    fn encoding(&self, response: &PendingResponse) -> BodyEncoding {
        let length = response.body.size_hint().exact();

        BodyEncoding::choose(
            &response.parts,
            length,
            self.method == Method::HEAD,
            self.version,
        )
    }
}

impl ExchangeState<'_> {
    /// Creates the state for a response.
    fn responding(response: Response<ServerBody>) -> Self {
        let (parts, body) = response.into_parts();

        Self::Responding(Box::new(PendingResponse {
            parts,
            body,
            early: VecDeque::new(),
            end: None,
            encoding: None,
        }))
    }
}

impl PendingResponse {
    /// Reads the next chunk of the body; returns `None` after the last, once `end` is set.
    fn poll_body(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        while self.end.is_none() {
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Poll::Ready(Some(chunk));
                    }
                }
                Poll::Ready(Some(Err(_broken))) => self.end = Some(Err(BrokenBody)),
                Poll::Ready(None) => self.end = Some(Ok(())),
            }
        }

        Poll::Ready(None)
    }

    /// Encodes the body until `limit` bytes wait to be written.
    fn poll_put(
        &mut self,
        limit: usize,
        output: &mut OutputBuffer,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), BrokenBody>> {
        let Some(mut encoding) = self.encoding else {
            return Poll::Pending;
        };

        while encoding != BodyEncoding::Absent {
            if output.len() >= limit {
                return Poll::Pending;
            }
            let chunk = match self.early.pop_front() {
                Some(chunk) => Poll::Ready(Some(chunk)),
                None => self.poll_body(context),
            };
            match chunk {
                Poll::Ready(Some(chunk)) => encoding.put(chunk, output),
                Poll::Ready(None) => break,
                // The client has all of the body, as with hyper.
                Poll::Pending if encoding == BodyEncoding::Length(0) => break,
                Poll::Pending => return Poll::Pending,
            }
            self.encoding = Some(encoding);
        }

        let is_broken = matches!(self.end, Some(Err(BrokenBody)));
        Poll::Ready(if is_broken && encoding != BodyEncoding::Length(0) {
            Err(BrokenBody)
        } else {
            encoding.finish(output)
        })
    }
}
