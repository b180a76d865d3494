//! The client of the object API over HTTP/1.1 with JSON.

use crate::calls::{CallCounts, CallKind};
use bytes::Bytes;
use compio::time::timeout;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use std::{cell::Cell, net::SocketAddr, time::Duration};
use wagtail_core::{
    CoreError, Result,
    ports::{LocalFuture, PlatformStore, StoredValue, WatchBatch},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_net::{
    client::{HttpPool, PooledResponse},
    clock,
};

/// The size limit in bytes of a response: a list of all records of the largest fleet fits.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The time that a call may take, in addition to the time for which a watch asks the platform to
/// wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `VersionBody` is the response body of a conditional write.
#[derive(Debug)]
#[derive(Deserialize)]
struct VersionBody {
    /// The version of the value after the write, or the stored version in case of a conflict.
    version: u64,
}

/// `HttpStore` calls the platform's object API over HTTP and records the outcomes of its calls.
#[derive(Debug)]
pub struct HttpStore {
    pool: HttpPool,
    counts: Cell<CallCounts>,
    failures_in_row: Cell<u64>,
    last_response_at: Cell<LocalMoment>,
}

impl HttpStore {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: HttpPool::new(address),
            counts: Cell::default(),
            failures_in_row: Cell::new(0),
            last_response_at: Cell::new(clock::now()),
        }
    }

    /// Returns the counters of the calls since the creation of the client.
    pub fn counts(&self) -> CallCounts {
        self.counts.get()
    }

    /// Returns the number of consecutive calls that failed, up to the latest one.
    pub fn failures_in_row(&self) -> u64 {
        self.failures_in_row.get()
    }

    /// Returns the time in milliseconds since the latest response that was no refusal, or since the
    /// creation of the client if there was none.
    pub fn last_answer_ms(&self) -> u64 {
        let silence = clock::now().since(self.last_response_at.get());

        u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)
    }

    /// Sends one call and reads its complete response.
    ///
    /// A throttled call and a server error are recorded as failures, although the response is
    /// returned.
    async fn call(&self, call: PlatformCall<'_>) -> Result<CallResponse> {
        self.count(|counts| counts.record(call.kind));

        let exchange = async {
            let request = call.request()?;
            let mut response = self.pool.send(request).await?;
            let body = response.read_body(MAX_RESPONSE_BYTES).await?;

            Ok(CallResponse {
                status: status_of(&response),
                body,
            })
        };
        let outcome = timeout(CALL_TIMEOUT + call.wait, exchange).await;

        let outcome = outcome.unwrap_or_else(|_elapsed| {
            Err(CoreError::unavailable(
                "the platform gave no answer in time",
                RunVerdict::Unknown,
            ))
        });
        if outcome.as_ref().map_or(true, CallResponse::is_refusal) {
            self.count(|counts| counts.failures += 1);
            self.failures_in_row.set(self.failures_in_row.get() + 1);
        } else {
            self.failures_in_row.set(0);
            self.last_response_at.set(clock::now());
        }

        outcome
    }

    /// Applies a change to the counters.
    fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

impl PlatformStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoredValue>>> {
        Box::pin(async move {
            let path = format!("/v1/values/{key}");
            let response = self
                .call(PlatformCall::read(CallKind::Get, &path, Duration::ZERO))
                .await?;

            if response.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }

            response.decode().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<WatchBatch>> {
        Box::pin(async move {
            let path = format!("/v1/list?prefix={prefix}");
            let response = self
                .call(PlatformCall::read(CallKind::List, &path, Duration::ZERO))
                .await?;

            response.decode()
        })
    }

    fn update<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
    ) -> LocalFuture<'a, Result<u64>> {
        Box::pin(async move {
            let path = format!("/v1/values/{key}");
            let response = self
                .call(PlatformCall::write(&path, value, expected))
                .await?;

            if response.status == StatusCode::CONFLICT {
                let found: VersionBody = response.parse()?;

                return Err(CoreError::VersionConflict {
                    expected,
                    found: found.version,
                });
            }

            response.decode().map(|body: VersionBody| body.version)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchBatch>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
            let response = self
                .call(PlatformCall::read(CallKind::Watch, &path, wait))
                .await?;

            response.decode()
        })
    }
}

/// `PlatformCall` holds what the HTTP request of a call is built from.
#[derive(Debug)]
struct PlatformCall<'a> {
    kind: CallKind,
    path: &'a str,
    body: Option<&'a str>,
    expected: u64,
    wait: Duration,
}

impl<'a> PlatformCall<'a> {
    /// Creates a read, which the platform may hold open for `wait`.
    fn read(kind: CallKind, path: &'a str, wait: Duration) -> Self {
        Self {
            kind,
            path,
            body: None,
            expected: 0,
            wait,
        }
    }

    /// Creates a write on the condition that the stored value has the expected version.
    fn write(path: &'a str, body: &'a str, expected: u64) -> Self {
        Self {
            kind: CallKind::Update,
            path,
            body: Some(body),
            expected,
            wait: Duration::ZERO,
        }
    }

    /// Builds the HTTP request of the call.
    fn request(&self) -> Result<Request<http_body_util::Full<Bytes>>> {
        let method = if self.body.is_some() {
            Method::PUT
        } else {
            Method::GET
        };
        let body = self
            .body
            .map(|text| Bytes::copy_from_slice(text.as_bytes()));

        Request::builder()
            .method(method)
            .uri(self.path)
            .header("host", "platform")
            .header("if-version", self.expected)
            .body(http_body_util::Full::new(body.unwrap_or_default()))
            .map_err(|error| CoreError::invalid_request(error.to_string()))
    }
}

/// `CallResponse` is the complete response to a call, whatever its status.
#[derive(Debug)]
struct CallResponse {
    status: StatusCode,
    body: Bytes,
}

impl CallResponse {
    /// Returns whether the platform refused the call without any effect: a throttled call or a
    /// server error.
    fn is_refusal(&self) -> bool {
        self.status == StatusCode::TOO_MANY_REQUESTS || self.status.is_server_error()
    }

    /// Decodes the body of a successful response.
    ///
    /// # Errors
    ///
    /// Fails when the status reports no success or the body is malformed.
    fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(CoreError::unavailable(
                format!("the platform answered with status {}", self.status),
                RunVerdict::NotRun,
            ));
        }

        self.parse()
    }

    /// Decodes the body whatever the status.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed.
    fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            CoreError::unavailable(
                format!("the platform's answer is malformed: {error}"),
                RunVerdict::Unknown,
            )
        })
    }
}

/// Returns the status of a response.
fn status_of(response: &PooledResponse) -> StatusCode {
    response.parts().status
}
