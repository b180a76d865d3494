//! The traits that the platform's adapter implements.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::{fmt::Debug, sync::Arc, time::Duration};
use thiserror::Error;
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat},
    routing::RoutingConfig,
};

/// `Result` is the result of reading something from outside.
pub type Result<T, E = FormatError> = std::result::Result<T, E>;

/// `FormatError` is why something from outside cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{path}: {reason}")]
pub struct FormatError {
    /// The place of the fault.
    pub path: Arc<str>,
    /// What is wrong.
    pub reason: Arc<str>,
}

impl FormatError {
    /// Makes the error of a fault at a place.
    pub fn new(path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

/// `CallerFields` are the header fields by which a caller addresses the system.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerFields {
    /// The identifier of the request.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub wait: Option<Duration>,
    /// The key, for a keyed service.
    pub key: Option<u16>,
}

/// `RequestFields` are the header fields that the node beside a target sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFields<'a> {
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// The service on whose VM the request began.
    pub caller_service: &'a str,
    /// The identifier of the only target that is to run the request.
    pub target_id: &'a str,
}

/// `ResponseFields` are the header fields by which a target qualifies its answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseFields {
    /// The identifier of the answered request.
    pub id: Option<Arc<str>>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether a success bears the mark of the target that made it, and its body as it made it.
    pub is_genuine: bool,
}

/// `LocalRequest` is what a target asks of the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalRequest {
    /// A heartbeat of a target.
    Heartbeat {
        /// The identifier of the target.
        target_id: Arc<str>,
    },
    /// A target says that it is leaving.
    Leave {
        /// The identifier of the target.
        target_id: Arc<str>,
    },
    /// The metrics of the node.
    Metrics,
    /// Nothing that the node serves.
    Unknown,
}

/// `WireDialect` translates what callers, targets and operators send.
pub trait WireDialect: Debug {
    /// Reads the header fields of a caller.
    fn read_caller(&self, headers: &HeaderMap) -> CallerFields;

    /// Sets the header fields of a request to the target.
    fn write_request(&self, headers: &mut HeaderMap, fields: &RequestFields<'_>);

    /// Reads the header fields of a target's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFields;

    /// Reads what is asked of the node beside the target.
    fn parse_local_request(&self, method: &Method, path: &str) -> LocalRequest;

    /// Reads a heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or of another type, or a word is unknown.
    fn read_heartbeat(&self, target_id: &str, body: &[u8]) -> Result<TargetHeartbeat>;

    /// Writes the answer to a heartbeat.
    fn write_heartbeat_reply(&self, reply: &HeartbeatReply) -> Bytes;

    /// Returns the kind and name of the object that holds the configuration.
    fn config_object(&self) -> (&'static str, &'static str);

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or of another type.
    fn read_config(&self, content: &str) -> Result<RoutingConfig>;
}
