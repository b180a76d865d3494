//! The trait that the adapter of a platform implements, and the types that it exchanges.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::{fmt::Debug, sync::Arc, time::Duration};
use thiserror::Error;
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat},
    notice::{LimitStatement, LoadStatement},
    routing::RoutingConfig,
};
use wagtail_gate::response::ResponseClaim;

/// `Result` is the result of parsing external input.
pub type Result<T, E = FormatError> = std::result::Result<T, E>;

/// `FormatError` is the reason why external input cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{path}: {reason}")]
pub struct FormatError {
    /// The invalid field, section or entry of the input.
    pub path: Arc<str>,
    /// The rule that it violates, for the log and the error message.
    pub reason: Arc<str>,
}

impl FormatError {
    /// Creates the error for an invalid field, section or entry.
    pub fn new(path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

/// `CallerFields` holds what the header fields of a caller's request specify.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerFields {
    /// The identifier that the caller gave the request.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for the response.
    pub wait: Option<Duration>,
    /// The key that the request is about, for a keyed service.
    pub key: Option<u16>,
}

/// `RequestFields` holds the values of the header fields that a node sets on a request to its
/// target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFields<'a> {
    /// The time that is left until the response must arrive.
    pub time_left: Duration,
    /// The service on whose VM the request originated.
    pub caller_service: &'a str,
    /// The identifier of the only target that may run the request.
    pub target_id: &'a str,
}

/// `ResponseFields` holds what the status and the header fields of a target's response tell about
/// it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseFields {
    /// The identifier of the request that the response belongs to, if it has exactly one.
    pub id: Option<Arc<str>>,
    /// The number of identifiers in the response, with those that are empty or cannot be read.
    pub id_count: usize,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries the seal of the target, and its body is as the target produced
    /// it. A successful response must.
    pub is_genuine: bool,
    /// The rate of requests that the target accepts from now on.
    pub limit: LimitStatement,
    /// The load of the target and the pace of its VM.
    pub load: LoadStatement,
    /// Whether the target states that it is leaving.
    pub is_leaving: bool,
}

impl ResponseFields {
    /// Returns what the response with this status states about itself.
    pub fn claim(&self, status: StatusCode) -> ResponseClaim<'_> {
        ResponseClaim {
            request_id: self.id.as_deref(),
            is_refusal: self.not_run,
            is_success: status.is_success(),
            is_genuine: self.is_genuine,
        }
    }
}

/// `LocalRequest` is a request that a target or a local collector of metrics sends to the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalRequest {
    /// A heartbeat of a target.
    Heartbeat {
        /// The identifier of the target.
        target_id: Arc<str>,
    },
    /// A target announces that it is leaving.
    Leave {
        /// The identifier of the target.
        target_id: Arc<str>,
    },
    /// A request for the metrics of the node.
    Metrics,
    /// A request that the node does not serve.
    Unknown,
}

/// `WireDialect` translates the formats of the platform: the headers, heartbeats and configuration
/// of callers, targets and operators.
pub trait WireDialect: Debug {
    /// Parses the header fields of a caller's request; invalid ones count as absent.
    fn read_caller(&self, headers: &HeaderMap) -> CallerFields;

    /// Sets the header fields of a request that is dispatched to the target.
    fn write_request(&self, headers: &mut HeaderMap, fields: &RequestFields<'_>);

    /// Parses the header fields of a target's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFields;

    /// Classifies a request to the node by its method and path.
    fn parse_local_request(&self, method: &Method, path: &str) -> LocalRequest;

    /// Parses the body of a heartbeat of the given target.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, of another type or out of range, or a keyword is unknown.
    fn read_heartbeat(&self, target_id: &str, body: &[u8]) -> Result<TargetHeartbeat>;

    /// Encodes the body of the response to a heartbeat.
    fn write_heartbeat_reply(&self, reply: &HeartbeatReply) -> Bytes;

    /// Returns the kind and the name of the stored object that holds the configuration.
    fn config_object(&self) -> (&'static str, &'static str);

    /// Returns the kind of the stored objects that are named after the zones to be evacuated.
    fn evacuation_kind(&self) -> &'static str;

    /// Parses the configuration.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, of another type or out of range.
    fn read_config(&self, content: &str) -> Result<RoutingConfig>;
}
