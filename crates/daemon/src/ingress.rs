//! The HTTP server for callers.

use crate::{
    agent::answer::RefusalAnswer,
    fleet::FleetCell,
    forward::RequestForwarder,
    parse::{ParseFailure, ParsedRequest, parse_request},
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use std::{cell::Cell, rc::Rc};
use tracing::info;
use wagtail_core::{
    CoreError,
    ids::{NodeName, RequestId},
    ports::{LocalFuture, TargetResponse},
};
use wagtail_net::{
    clock,
    server::{HttpHandler, ServerBody, streamed_body, whole_body},
    stop::StopSignal,
};
use wagtail_target::headers;

/// The status of an unknown service or operation.
const STATUS_NOT_FOUND: u16 = 404;

/// The status of a body that is too large.
const STATUS_TOO_LARGE: u16 = 413;

/// The time in milliseconds after which a daemon at its limit is expected to accept again.
const FULL_RETRY_MS: u64 = 1_000;

/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1_000;

/// `IngressOptions` are the collaborators and limits of the server.
#[derive(Debug)]
pub struct IngressOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The way to the answering daemons.
    pub forwarder: Rc<RequestForwarder>,
    /// The largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// The requests that this daemon holds at a time.
    pub max_requests: usize,
    /// The signal after which connections are closed behind their answers.
    pub stop: StopSignal,
}

/// `IngressHandler` answers the callers.
#[derive(Debug)]
pub struct IngressHandler {
    options: IngressOptions,
    in_flight: Cell<usize>,
}

/// `FlightGuard` counts a request for as long as it is held.
#[derive(Debug)]
struct FlightGuard<'a>(&'a Cell<usize>);

impl<'a> FlightGuard<'a> {
    /// Counts a request in.
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);

        Self(count)
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl IngressHandler {
    /// Makes the handler.
    pub fn new(options: IngressOptions) -> Self {
        Self {
            options,
            in_flight: Cell::new(0),
        }
    }

    /// Returns the requests that are held now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let _guard = FlightGuard::new(&self.in_flight);
        let (parts, body) = request.into_parts();

        let parsed = match parse_request(&parts, &self.options.fleet.load()) {
            Ok(parsed) => parsed,
            Err(failure) => return self.refuse_parse(&failure),
        };
        let id = parsed.head.id.clone();

        if self.in_flight.get() > self.options.max_requests {
            let error =
                CoreError::overloaded("the daemon holds as many requests as it may", FULL_RETRY_MS);
            return self.refuse(&id, RefusalAnswer::from(&error));
        }

        match self.read_body(body).await {
            Ok(body) => self.forward(parsed, body).await,
            Err(refusal) => self.refuse(&id, refusal),
        }
    }

    /// Forwards a request and turns its answer into HTTP.
    async fn forward(&self, parsed: ParsedRequest, body: Bytes) -> Response<ServerBody> {
        let ParsedRequest { head, wait } = parsed;
        let started = clock::now();

        let answer = self
            .options
            .forwarder
            .forward(&head, body, started + wait)
            .await;

        info!(
            event = "request-answered", request_id = %head.id, service = %head.service,
            tenant = %head.tenant, operation = %head.operation, status = answer.head.status,
            verdict = answer.head.verdict.as_str(), by = %answer.head.node,
            refusal = answer.head.refusal.as_deref().unwrap_or(""),
            took_us = clock::now().since(started).as_micros()
        );

        self.respond(answer)
    }

    /// Reads the whole body of a request.
    async fn read_body(&self, mut body: Incoming) -> std::result::Result<Bytes, RefusalAnswer> {
        let limit = self.options.max_body_bytes;
        let mut whole = BytesMut::new();

        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let error = CoreError::invalid_request(format!("the body is cut short: {error}"));
                RefusalAnswer::from(&error)
            })?;
            let Ok(part) = frame.into_data() else {
                continue;
            };

            if whole.len() + part.len() > limit {
                let error = CoreError::invalid_request(format!("the body exceeds {limit} bytes"));
                return Err(RefusalAnswer::from(&error).with_status(STATUS_TOO_LARGE));
            }
            whole.extend_from_slice(&part);
        }

        Ok(whole.freeze())
    }

    /// Refuses a request that cannot be read.
    fn refuse_parse(&self, failure: &ParseFailure) -> Response<ServerBody> {
        let refusal = RefusalAnswer::from(&failure.error);
        let refusal = if failure.not_found {
            refusal.with_status(STATUS_NOT_FOUND)
        } else {
            refusal
        };

        self.refuse(&failure.id, refusal)
    }

    /// Gives a refusal by this node.
    fn refuse(&self, id: &RequestId, refusal: RefusalAnswer) -> Response<ServerBody> {
        self.respond(refusal.into_answer(id, &self.options.node))
    }

    /// Turns an answer into HTTP.
    fn respond(&self, answer: TargetResponse) -> Response<ServerBody> {
        let head = &answer.head;
        let mut builder = Response::builder()
            .status(head.status)
            .header(headers::VERDICT, head.verdict.as_str())
            .header(headers::REQUEST_ID, head.id.as_str())
            .header(headers::NODE, head.node.as_str());

        for field in &head.headers {
            builder = builder.header(&*field.name, field.value.as_ref());
        }
        if let Some(refusal) = &head.refusal {
            builder = builder.header(headers::REFUSAL, &**refusal);
        }
        if let Some(retry_after_ms) = head.retry_after_ms {
            builder = builder
                .header("retry-after", retry_after_ms.div_ceil(MS_PER_SECOND).max(1))
                .header(headers::RETRY_AFTER_MS, retry_after_ms);
        }
        if self.options.stop.is_triggered() {
            // A kept connection would bring the caller's next request here too.
            builder = builder.header("connection", "close");
        }

        builder
            .body(streamed_body(answer.body))
            .unwrap_or_else(|error| malformed_answer(&error))
    }
}

impl HttpHandler for IngressHandler {
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// Makes the answer when a target's header fields are not valid HTTP.
fn malformed_answer(error: &hyper::http::Error) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(format!("the answer is malformed: {error}")));
    *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;

    response
}
