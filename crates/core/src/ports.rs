//! The traits through which a daemon calls the platform and its target.
//!
//! The futures need not be `Send`, as each daemon runs on a single thread.

use crate::{
    errors::Result,
    ids::{LeaseEpoch, ServiceName},
    request::{RequestHead, ResponseHead},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, pin::Pin, sync::Arc, time::Duration};

/// `LocalFuture` is a boxed future that is not required to be `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// `StoredValue` is a value in the platform's store, with its key and version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredValue {
    /// The key, unique in the store.
    pub key: Arc<str>,
    /// The version, which increases with each write to the store.
    pub version: u64,
    /// The value, encoded as JSON; at most one megabyte.
    pub value: Arc<str>,
}

/// `WatchBatch` is the result of a list or watch call: values and the revision at which they were
/// read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchBatch {
    /// The revision of the store at the response. The next watch starts after it.
    pub revision: u64,
    /// The values under the prefix. A watch returns the changed ones, oldest first, or none when it
    /// timed out without a change.
    pub changed: Vec<StoredValue>,
}

/// `PlatformStore` is a client of the platform's key-value API. Each call counts against the rate
/// limit of the platform.
pub trait PlatformStore: Debug {
    /// Reads one value, or returns `None` when the key does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unreachable or refuses the call.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoredValue>>>;

    /// Reads all values whose keys start with `prefix`, with the revision of the store.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unreachable or refuses the call.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<WatchBatch>>;

    /// Writes a value if its current version is `expected`, and returns the new version. An
    /// `expected` version of zero requires that the key does not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`VersionConflict`](crate::CoreError::VersionConflict) when the version
    /// differs, and with [`Unavailable`](crate::CoreError::Unavailable) otherwise, whose verdict
    /// tells whether the write may have taken effect.
    fn update<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
    ) -> LocalFuture<'a, Result<u64>>;

    /// Waits up to `wait` for changes after `revision` to values whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unreachable or refuses the call.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchBatch>>;
}

/// `TargetRequest` is a request that a daemon dispatches to its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRequest {
    /// The request without its body.
    pub head: RequestHead,
    /// The complete body of the request; empty when it has none.
    pub body: Bytes,
    /// The index of the key's slice, for a keyed service.
    pub slice: Option<u32>,
    /// The fencing token of the slice's lease, for a keyed service.
    pub epoch: Option<LeaseEpoch>,
    /// The time until the deadline or the end of the lease, whichever is earlier.
    pub time_left: Duration,
}

/// `BodyStream` yields the body of a response in chunks.
pub trait BodyStream: Debug {
    /// Waits for the next chunk; `None` marks the end of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body is complete.
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>>;
}

/// `TargetResponse` is a target's response whose body is read as a stream.
#[derive(Debug)]
pub struct TargetResponse {
    /// The response without its body.
    pub head: ResponseHead,
    /// The body, which may still be in transit.
    pub body: Box<dyn BodyStream>,
}

/// `TargetGrant` permits a target that checks fencing tokens to run requests for a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGrant {
    /// The index of the slice in the target's service.
    pub slice: u32,
    /// The fencing token that requests for the slice carry.
    pub epoch: LeaseEpoch,
    /// The time in milliseconds within which requests may start; zero revokes the grant.
    pub valid_ms: u64,
}

/// `TargetPort` is a client of the target of the daemon.
pub trait TargetPort: Debug {
    /// Sends one request and waits for the head of its response. Dropping the future cancels the
    /// request.
    ///
    /// # Errors
    ///
    /// Fails with an error whose verdict tells whether the request may have run.
    fn dispatch(&self, target_request: TargetRequest) -> LocalFuture<'_, Result<TargetResponse>>;

    /// Renews the grants of a target that checks fencing tokens.
    ///
    /// # Errors
    ///
    /// Fails when the target is unreachable or refuses a grant.
    fn grant(&self, grants: Vec<TargetGrant>) -> LocalFuture<'_, Result<()>>;

    /// Returns the service that the target serves.
    fn service(&self) -> &ServiceName;
}
