//! The HTTP server for callers.

use crate::{
    agent::answer::RefusalResponse,
    fleet::FleetCell,
    forward::RequestForwarder,
    parse::{ParseFailure, ParsedRequest, parse_request},
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Request, Response};
use std::{cell::Cell, rc::Rc};
use tracing::info;
use wagtail_core::{
    CoreError,
    ids::{NodeName, RequestId},
    ports::{LocalFuture, TargetResponse},
};
use wagtail_net::{
    clock,
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, streamed_body, whole_body},
    stop::StopSignal,
};
use wagtail_target::headers;

/// The HTTP status of a request for an unknown service or operation.
const STATUS_NOT_FOUND: u16 = 404;

/// The HTTP status of a request whose body is too large.
const STATUS_TOO_LARGE: u16 = 413;

/// The delay in milliseconds after which a daemon at its request limit is expected to accept
/// requests again.
const FULL_RETRY_MS: u64 = 1_000;

/// The number of milliseconds in a second.
const MS_PER_SECOND: u64 = 1_000;

/// `IngressOptions` holds the collaborators and limits of the server for callers.
#[derive(Debug)]
pub struct IngressOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The forwarder, which sends requests to the daemons that serve them.
    pub forwarder: Rc<RequestForwarder>,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of requests in flight at this daemon.
    pub max_requests: usize,
    /// The signal after which each connection is closed once its response is sent.
    pub stop: StopSignal,
}

/// `IngressHandler` handles the HTTP requests of callers.
#[derive(Debug)]
pub struct IngressHandler {
    options: IngressOptions,
    in_flight: Cell<usize>,
}

/// `InFlightGuard` counts a request as in flight until it is dropped.
#[derive(Debug)]
struct InFlightGuard<'a>(&'a Cell<usize>);

impl<'a> InFlightGuard<'a> {
    /// Increments the count, which dropping the guard decrements.
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);

        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl IngressHandler {
    /// Creates the handler without requests in flight.
    pub fn new(options: IngressOptions) -> Self {
        Self {
            options,
            in_flight: Cell::new(0),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Parses and forwards one request, and returns its response.
    async fn answer(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        let _guard = InFlightGuard::new(&self.in_flight);
        let (parts, body) = request.into_parts();

        let parsed = match parse_request(&parts, &self.options.fleet.load()) {
            Ok(parsed) => parsed,
            Err(failure) => return self.refuse_parse(&failure),
        };
        let id = parsed.head.id.clone();

        if self.in_flight.get() > self.options.max_requests {
            let error =
                CoreError::overloaded("the daemon holds as many requests as it may", FULL_RETRY_MS);
            return self.refuse(&id, RefusalResponse::from(&error));
        }

        match self.read_body(body).await {
            Ok(body) => self.forward(parsed, body).await,
            Err(refusal) => self.refuse(&id, refusal),
        }
    }

    /// Forwards a request and converts the response into HTTP.
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

    /// Reads the complete body of a request, up to the size limit.
    async fn read_body(
        &self,
        mut body: RequestBody,
    ) -> std::result::Result<Bytes, RefusalResponse> {
        let limit = self.options.max_body_bytes;
        let mut whole = BytesMut::new();

        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let error = CoreError::invalid_request(format!("the body is cut short: {error}"));
                RefusalResponse::from(&error)
            })?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };

            if whole.len() + chunk.len() > limit {
                let error = CoreError::invalid_request(format!("the body exceeds {limit} bytes"));
                return Err(RefusalResponse::from(&error).with_status(STATUS_TOO_LARGE));
            }
            whole.extend_from_slice(&chunk);
        }

        Ok(whole.freeze())
    }

    /// Refuses a request that cannot be parsed.
    fn refuse_parse(&self, failure: &ParseFailure) -> Response<ServerBody> {
        let refusal = RefusalResponse::from(&failure.error);
        let refusal = if failure.not_found {
            refusal.with_status(STATUS_NOT_FOUND)
        } else {
            refusal
        };

        self.refuse(&failure.id, refusal)
    }

    /// Refuses a request in the name of this node.
    fn refuse(&self, id: &RequestId, refusal: RefusalResponse) -> Response<ServerBody> {
        self.respond(refusal.into_response(id, &self.options.node))
    }

    /// Converts a response into HTTP, with the header fields of the protocol.
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
            // A connection that stays open would carry the caller's next request here too.
            builder = builder.header("connection", "close");
        }

        builder
            .body(streamed_body(answer.body))
            .unwrap_or_else(|error| malformed_response(&error))
    }
}

impl HttpHandler for IngressHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// Creates the response to the caller when the target's header fields are not valid HTTP.
fn malformed_response(error: &hyper::http::Error) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(format!("the answer is malformed: {error}")));
    *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;

    response
}
