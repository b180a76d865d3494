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

/// The longest answer in bytes: a list of the largest fleet's records.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The longest time that a call may take beyond its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `VersionBody` is the answer to a conditional write.
#[derive(Debug)]
#[derive(Deserialize)]
struct VersionBody {
    /// The version of the value after the write, or the one that conflicted.
    version: u64,
}

/// `HttpStore` is the platform's object API over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    pool: HttpPool,
    counts: Cell<CallCounts>,
    failures_in_row: Cell<u64>,
    answered_at: Cell<LocalMoment>,
}

impl HttpStore {
    /// Makes a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: HttpPool::new(address),
            counts: Cell::default(),
            failures_in_row: Cell::new(0),
            answered_at: Cell::new(clock::now()),
        }
    }

    /// Returns the count of the calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts.get()
    }

    /// Returns how many of the latest calls failed in a row.
    pub fn failures_in_row(&self) -> u64 {
        self.failures_in_row.get()
    }

    /// Returns the time in milliseconds since the latest answer.
    pub fn last_answer_ms(&self) -> u64 {
        let silence = clock::now().since(self.answered_at.get());

        u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)
    }

    /// Makes one call and reads its whole answer.
    async fn call(&self, call: PlatformCall<'_>) -> Result<CallAnswer> {
        self.count(|counts| counts.record(call.kind));

        let exchange = async {
            let request = call.request()?;
            let mut answer = self.pool.send(request).await?;
            let body = answer.read_body(MAX_ANSWER_BYTES).await?;

            Ok(CallAnswer {
                status: status_of(&answer),
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
        if outcome.as_ref().map_or(true, CallAnswer::is_refusal) {
            self.count(|counts| counts.failures += 1);
            self.failures_in_row.set(self.failures_in_row.get() + 1);
        } else {
            self.failures_in_row.set(0);
            self.answered_at.set(clock::now());
        }

        outcome
    }

    /// Changes the counts.
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
            let answer = self
                .call(PlatformCall::read(CallKind::Get, &path, Duration::ZERO))
                .await?;

            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }

            answer.decode().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<WatchBatch>> {
        Box::pin(async move {
            let path = format!("/v1/list?prefix={prefix}");
            let answer = self
                .call(PlatformCall::read(CallKind::List, &path, Duration::ZERO))
                .await?;

            answer.decode()
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
            let answer = self
                .call(PlatformCall::write(&path, value, expected))
                .await?;

            if answer.status == StatusCode::CONFLICT {
                let found: VersionBody = answer.parse()?;

                return Err(CoreError::VersionConflict {
                    expected,
                    found: found.version,
                });
            }

            answer.decode().map(|body: VersionBody| body.version)
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
            let answer = self
                .call(PlatformCall::read(CallKind::Watch, &path, wait))
                .await?;

            answer.decode()
        })
    }
}

/// `PlatformCall` is one call before it is sent.
#[derive(Debug)]
struct PlatformCall<'a> {
    kind: CallKind,
    path: &'a str,
    body: Option<&'a str>,
    expected: u64,
    wait: Duration,
}

impl<'a> PlatformCall<'a> {
    /// Makes a call that reads.
    fn read(kind: CallKind, path: &'a str, wait: Duration) -> Self {
        Self {
            kind,
            path,
            body: None,
            expected: 0,
            wait,
        }
    }

    /// Makes a conditional write.
    fn write(path: &'a str, body: &'a str, expected: u64) -> Self {
        Self {
            kind: CallKind::Update,
            path,
            body: Some(body),
            expected,
            wait: Duration::ZERO,
        }
    }

    /// Makes the HTTP request of the call.
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

/// `CallAnswer` is the whole answer to a call.
#[derive(Debug)]
struct CallAnswer {
    status: StatusCode,
    body: Bytes,
}

impl CallAnswer {
    /// Returns whether the platform refused the call without doing anything.
    fn is_refusal(&self) -> bool {
        self.status == StatusCode::TOO_MANY_REQUESTS || self.status.is_server_error()
    }

    /// Decodes the body of a successful answer.
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
    fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            CoreError::unavailable(
                format!("the platform's answer is malformed: {error}"),
                RunVerdict::Unknown,
            )
        })
    }
}

/// Returns the status of an answer.
fn status_of(answer: &PooledResponse) -> StatusCode {
    answer.parts().status
}
