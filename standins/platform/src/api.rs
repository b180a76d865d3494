//! The handlers of the HTTP API.

use crate::{
    faults::PlatformFaultChange,
    state::{CallRefusal, PlatformState},
    stats::CallKind,
};
use http::{Method, Request, StatusCode, header::HeaderValue, request::Parts};
use hyper::body::Incoming;
use serde::Serialize;
use standin_net::{
    NetError, Result,
    clock::monotonic_us,
    reply::{
        StandinResponse, decode_json, decode_percent, error_reply, header_number, json_reply,
        query_number, query_text, read_body,
    },
    server::RequestHandler,
};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};
use wagtail_core::{CoreError, ports::LocalFuture};

/// The maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// The maximum wait of a watch in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;

/// The path prefix of the calls on one value.
const VALUES_PATH: &str = "/v1/values/";

/// `VersionReport` is the JSON content of the response to a conditional update.
#[derive(Debug)]
#[derive(Serialize)]
struct VersionReport {
    /// The new version, or the current version after a conflict.
    version: u64,
}

/// `PlatformApi` handles the calls of the object API and the control calls.
#[derive(Debug)]
pub struct PlatformApi {
    /// The state that all calls share.
    state: RefCell<PlatformState>,
}

impl PlatformApi {
    /// Creates the API of an empty platform; `seed` drives the random faults.
    pub fn new(seed: u64) -> Self {
        Self {
            state: RefCell::new(PlatformState::new(seed)),
        }
    }

    /// Dispatches a request to its handler by method and path.
    async fn route(&self, request: Request<Incoming>) -> Result<StandinResponse> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or("").to_owned();

        if let Some(key) = path.strip_prefix(VALUES_PATH) {
            let key = decode_percent(key);
            return match head.method {
                Method::GET => self.get(&key).await,
                Method::PUT => self.update(&key, &head, body).await,
                _ => Ok(unknown_call()),
            };
        }

        match (head.method.as_str(), path.as_str()) {
            ("GET", "/v1/list") => self.list(&query).await,
            ("GET", "/v1/watch") => self.watch(&query).await,
            ("POST", "/control/faults") => self.change_faults(body).await,
            ("GET", "/control/stats") => {
                Ok(json_reply(StatusCode::OK, &self.state.borrow().stats()))
            }
            _ => Ok(unknown_call()),
        }
    }

    /// Reads one value.
    async fn get(&self, key: &str) -> Result<StandinResponse> {
        if let Some(refused) = self.enter(CallKind::Get).await? {
            return Ok(refused);
        }

        let reply = match self.state.borrow().store.get(key) {
            Some(value) => json_reply(StatusCode::OK, value),
            None => error_reply(StatusCode::NOT_FOUND, "absent", "no such value"),
        };

        self.leave(reply)
    }

    /// Reads the values under a prefix.
    async fn list(&self, query: &str) -> Result<StandinResponse> {
        if let Some(refused) = self.enter(CallKind::List).await? {
            return Ok(refused);
        }

        let prefix = query_text(query, "prefix").unwrap_or_default();
        let batch = self.state.borrow().store.list(&prefix);

        self.leave(json_reply(StatusCode::OK, &batch))
    }

    /// Writes one value conditionally.
    async fn update(&self, key: &str, head: &Parts, body: Incoming) -> Result<StandinResponse> {
        let body = read_body(body).await?;
        let Some(expected) = header_number(&head.headers, "if-version") else {
            return Ok(malformed("the header if-version must be a whole number"));
        };
        if body.len() > MAX_VALUE_BYTES {
            let message = "a value holds at most 1048576 bytes";
            return Ok(error_reply(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                message,
            ));
        }
        let Ok(value) = str::from_utf8(&body) else {
            return Ok(malformed("a value must be UTF-8 text"));
        };
        if let Some(refused) = self.enter(CallKind::Update).await? {
            return Ok(refused);
        }

        let written = self.state.borrow_mut().update(key, value, expected);
        let reply = match written {
            Ok(version) => json_reply(StatusCode::OK, &VersionReport { version }),
            Err(CoreError::VersionConflict { found, .. }) => {
                json_reply(StatusCode::CONFLICT, &VersionReport { version: found })
            }
            Err(error) => malformed(&error.to_string()),
        };

        self.leave(reply)
    }

    /// Waits for changes under a prefix. A watch counts as one call, however long it waits.
    async fn watch(&self, query: &str) -> Result<StandinResponse> {
        let (Some(prefix), Some(after)) =
            (query_text(query, "prefix"), query_number(query, "after"))
        else {
            return Ok(malformed("a watch needs the parameters prefix and after"));
        };
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        if let Some(refused) = self.enter(CallKind::Watch).await? {
            return Ok(refused);
        }

        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if self.state.borrow().faults().outage {
                return Ok(refusal_reply(CallRefusal::Outage));
            }

            let batch = self.state.borrow().store.changes(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !batch.changed.is_empty() || left.is_zero() {
                return self.leave(json_reply(StatusCode::OK, &batch));
            }

            let change = self.state.borrow_mut().wait_for_change();
            // The next iteration detects the end of the wait.
            let _elapsed = compio::time::timeout(left, change).await;
        }
    }

    /// Changes the faults and returns the active ones.
    async fn change_faults(&self, body: Incoming) -> Result<StandinResponse> {
        let content = read_body(body).await?;

        match decode_json::<PlatformFaultChange>(&content) {
            Ok(change) => {
                let mut state = self.state.borrow_mut();
                state.change_faults(&change);
                Ok(json_reply(StatusCode::OK, state.faults()))
            }
            Err(reply) => Ok(*reply),
        }
    }

    /// Delays a call, counts it and returns the error response if it is refused.
    async fn enter(&self, kind: CallKind) -> Result<Option<StandinResponse>> {
        let latency_ms = self.state.borrow().faults().latency_ms;
        if latency_ms > 0 {
            compio::time::sleep(Duration::from_millis(latency_ms)).await;
        }

        match self.state.borrow_mut().admit(kind, monotonic_us()) {
            Ok(()) => Ok(None),
            Err(CallRefusal::Dropped) => Err(NetError::Injected {
                fault: "drop_calls",
            }),
            Err(refusal) => Ok(Some(refusal_reply(refusal))),
        }
    }

    /// Returns the response to a call that took effect, unless the fault `lose_answers` drops it.
    fn leave(&self, reply: StandinResponse) -> Result<StandinResponse> {
        if self.state.borrow_mut().loses_response() {
            return Err(NetError::Injected {
                fault: "lose_answers",
            });
        }

        Ok(reply)
    }
}

impl RequestHandler for PlatformApi {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Result<StandinResponse>> {
        Box::pin(async move { self.route(request).await })
    }
}

/// Creates the response to a call that was refused without effect.
fn refusal_reply(refusal: CallRefusal) -> StandinResponse {
    match refusal {
        CallRefusal::Outage | CallRefusal::Dropped => error_reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "outage",
            "the platform is down; nothing was done",
        ),
        CallRefusal::Rate => {
            let mut reply = error_reply(
                StatusCode::TOO_MANY_REQUESTS,
                "rate",
                "the rate is exceeded; nothing was done",
            );
            reply
                .headers_mut()
                .insert("retry-after", HeaderValue::from_static("1"));
            reply
        }
    }
}

/// Creates the response to a malformed call.
fn malformed(message: &str) -> StandinResponse {
    error_reply(StatusCode::BAD_REQUEST, "malformed", message)
}

/// Creates the response to an unknown call.
fn unknown_call() -> StandinResponse {
    error_reply(StatusCode::NOT_FOUND, "unknown-call", "no such call")
}
