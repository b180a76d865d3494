//! A request and its answer between the processes.

use crate::{
    ids::{LeaseEpoch, NodeName, OperationName, RequestId, ServiceName, TenantName},
    service::WorkClass,
    verdict::RunVerdict,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `HeaderField` is one HTTP header field of a caller or a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderField {
    /// The lower-case name.
    pub name: Arc<str>,
    /// The value.
    pub value: Bytes,
}

/// `RequestHead` is all of a request but its body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// The identifier, the caller's or one made at the ingress.
    pub id: RequestId,
    /// Whether the ingress made the identifier, so that no earlier request carries it.
    pub id_generated: bool,
    /// The addressed service.
    pub service: ServiceName,
    /// The key, present exactly when the service is keyed.
    pub key: Option<Arc<str>>,
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// The declared operation.
    pub operation: OperationName,
    /// The declared class of the operation.
    pub class: WorkClass,
    /// Whether the declared operation is idempotent.
    pub idempotent: bool,
    /// The time in milliseconds that is left until the deadline when this head is sent.
    pub time_left_ms: u64,
    /// The ordinal of the attempt, from 1.
    pub attempt: u32,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query below the service.
    pub path: Arc<str>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
}

/// `TargetLoad` is the load of a target as the daemon beside it knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetLoad {
    /// The requests that wait or run at the target.
    pub load: u32,
    /// The requests that may be at the target now.
    pub limit: u32,
}

/// `ResponseHead` is all of an answer but its body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseHead {
    /// The identifier of the answered request.
    pub id: RequestId,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The node that gave the answer.
    pub node: NodeName,
    /// The stable code of the refusal; absent in a target's answer.
    pub refusal: Option<Arc<str>>,
    /// The owner that a refusing node knows of.
    pub owner: Option<NodeName>,
    /// The epoch of the lease under which the request ran.
    pub epoch: Option<LeaseEpoch>,
    /// The time in milliseconds after which a repeat is expected to succeed.
    pub retry_after_ms: Option<u64>,
    /// The load of the target that the answering daemon stands beside.
    pub load: Option<TargetLoad>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
}
