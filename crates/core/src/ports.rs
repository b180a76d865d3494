//! The traits at the border to the platform and the targets.
//!
//! The futures stay on one thread, as each daemon runs on one.

use crate::{
    errors::Result,
    ids::{LeaseEpoch, ServiceName},
    request::{RequestHead, ResponseHead},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, pin::Pin, sync::Arc, time::Duration};

/// `LocalFuture` is a boxed future that stays on one thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// `StoredValue` is one value of the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredValue {
    /// The key of the value.
    pub key: Arc<str>,
    /// The version of the value; it grows with each write to the store.
    pub version: u64,
    /// The value, a JSON text of at most one megabyte.
    pub value: Arc<str>,
}

/// `WatchBatch` is what a watch returns: the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchBatch {
    /// The revision of the store at the answer; the next watch starts after it.
    pub revision: u64,
    /// The changed values under the prefix, oldest first; empty when the wait ended.
    pub changed: Vec<StoredValue>,
}

/// `PlatformStore` is the object API of the platform. Each call counts against its rate.
pub trait PlatformStore: Debug {
    /// Reads one value, or nothing when the key is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out of reach or refuses the call.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoredValue>>>;

    /// Reads all values under a prefix, with the revision of the store.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out of reach or refuses the call.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<WatchBatch>>;

    /// Writes a value if its version is still `expected`, where zero means absent, and returns
    /// the new version.
    ///
    /// # Errors
    ///
    /// Fails with [`VersionConflict`](crate::CoreError::VersionConflict) when the version
    /// differs, and with [`Unavailable`](crate::CoreError::Unavailable) otherwise; its verdict
    /// tells whether the write may have taken effect.
    fn update<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
    ) -> LocalFuture<'a, Result<u64>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out of reach or refuses the call.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchBatch>>;
}

/// `TargetRequest` is a request as the daemon beside a target dispatches it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRequest {
    /// The request without its body.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
    /// The index of the key's slice, for a keyed service.
    pub slice: Option<u32>,
    /// The fencing token, for a keyed service.
    pub epoch: Option<LeaseEpoch>,
    /// The time until the earlier of the deadline and the end of the lease.
    pub time_left: Duration,
}

/// `BodyStream` yields the parts of an answer's body until it returns nothing.
pub trait BodyStream: Debug {
    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body is whole.
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>>;
}

/// `TargetResponse` is a target's answer with its body still streaming.
#[derive(Debug)]
pub struct TargetResponse {
    /// The answer without its body.
    pub head: ResponseHead,
    /// The body.
    pub body: Box<dyn BodyStream>,
}

/// `TargetGrant` allows a target that checks fencing to run orders for a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGrant {
    /// The index of the slice in the target's service.
    pub slice: u32,
    /// The fencing token.
    pub epoch: LeaseEpoch,
    /// The time in milliseconds for which orders may start; zero revokes.
    pub valid_ms: u64,
}

/// `TargetPort` sends orders to the target beside the daemon.
pub trait TargetPort: Debug {
    /// Sends one order and waits for the head of its answer. Dropping the future cancels it.
    ///
    /// # Errors
    ///
    /// Fails with a verdict that tells whether the order may have run.
    fn dispatch(&self, order: TargetRequest) -> LocalFuture<'_, Result<TargetResponse>>;

    /// Renews the grants of a target that checks fencing.
    ///
    /// # Errors
    ///
    /// Fails when the target is out of reach or refuses a grant.
    fn grant(&self, grants: Vec<TargetGrant>) -> LocalFuture<'_, Result<()>>;

    /// Returns the service that the target serves.
    fn service(&self) -> &ServiceName;
}
