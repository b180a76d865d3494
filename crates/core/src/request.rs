//! Request and response metadata that daemons and targets exchange.

use crate::{
    ids::{LeaseEpoch, NodeName, OperationName, RequestId, ServiceName, TenantName},
    service::WorkClass,
    verdict::RunVerdict,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `HeaderField` is an HTTP header field that a caller or a target sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderField {
    /// The name, in lower case.
    pub name: Arc<str>,
    /// The value as received, not necessarily valid UTF-8.
    pub value: Bytes,
}

/// `RequestHead` is a request without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// The identifier, chosen by the caller or else generated at the ingress.
    pub id: RequestId,
    /// Whether the ingress generated the identifier, so that no earlier request can have used it.
    pub id_generated: bool,
    /// The service that the request is for.
    pub service: ServiceName,
    /// The key, present if and only if the service is keyed.
    pub key: Option<Arc<str>>,
    /// The tenant that the caller belongs to.
    pub tenant: TenantName,
    /// The declared operation that the method and path match.
    pub operation: OperationName,
    /// The declared class of the operation.
    pub class: WorkClass,
    /// Whether the declared operation is idempotent.
    pub idempotent: bool,
    /// The time in milliseconds from the sending of this head to the deadline.
    pub time_left_ms: u64,
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query, relative to the service.
    pub path: Arc<str>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
}

/// `TargetLoad` is the load of a target as its daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetLoad {
    /// The number of requests that wait or run at the target.
    pub load: u32,
    /// The number of requests that may currently be at the target.
    pub limit: u32,
}

/// `ResponseHead` is a response without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseHead {
    /// The identifier of the request.
    pub id: RequestId,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The node that produced the response.
    pub node: NodeName,
    /// The stable code of the refusal; absent in a response of a target.
    pub refusal: Option<Arc<str>>,
    /// The owner according to a refusing node, if it knows one.
    pub owner: Option<NodeName>,
    /// The epoch of the lease under which the request ran.
    pub epoch: Option<LeaseEpoch>,
    /// The time in milliseconds after which a retry is expected to succeed.
    pub retry_after_ms: Option<u64>,
    /// The load of the responding daemon's target.
    pub load: Option<TargetLoad>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
}
