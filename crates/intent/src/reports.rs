//! The request and response bodies of the administration API.

use crate::{
    errors::{ConfirmConflict, DocumentFault, IntentError, IntentRefusal},
    plan::PlanDocument,
};
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName, ServiceName, TenantName, ZoneName},
    service::{ServiceSpec, WorkClass},
    slice::SliceId,
};

/// `ErrorDetail` holds the details of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorDetail {
    /// The faults of the document.
    pub faults: Vec<DocumentFault>,
    /// The reasons why the change was refused.
    pub refusals: Vec<IntentRefusal>,
    /// The changes since the plan was made that prevent its confirmation; absent for other
    /// failures.
    pub conflict: Option<ConfirmConflict>,
}

/// `ErrorReport` is the response body of a failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorReport {
    /// The stable code, for use by programs.
    pub code: String,
    /// A description of the failure, for people.
    pub message: String,
    /// The individual faults, refusals or conflicting changes.
    #[serde(default)]
    pub detail: ErrorDetail,
}

impl ErrorReport {
    /// Creates a report without details.
    pub fn new(code: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            code: code.into(),
            message: message.into(),
            detail: ErrorDetail::default(),
        }
    }
}

impl From<&IntentError> for ErrorReport {
    fn from(error: &IntentError) -> Self {
        let mut report = Self::new(error.code(), error.to_string());

        match error {
            IntentError::Faults { faults } => report.detail.faults.clone_from(faults),
            IntentError::Refused { refusals } => report.detail.refusals.clone_from(refusals),
            IntentError::Conflict { conflict } => {
                report.detail.conflict = Some(ConfirmConflict::clone(conflict));
            }
            _ => {}
        }

        report
    }
}

/// `ConfirmRequest` is the request body of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The configuration version that the plan was made for.
    pub base_version: u64,
}

/// `ConfirmReport` is the response to an accepted confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfirmReport {
    /// The configuration version that the plan created.
    pub version: u64,
}

/// `PlanReport` is the response to an intent and to the request for a plan.
pub type PlanReport = PlanDocument;

/// `WatchReport` names the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WatchReport {
    /// The configuration version in force.
    pub version: u64,
    /// The identifier of the plan that created it.
    pub plan: String,
}

/// `ServicesReport` lists the declared services and the draining VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicesReport {
    /// The configuration version in force.
    pub version: u64,
    /// The services that this configuration declares.
    pub services: Vec<ServiceSpec>,
    /// The VMs that receive no new work.
    pub draining: Vec<NodeName>,
}

/// `OwnerReport` describes the ownership of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerReport {
    /// The slice that contains the key.
    pub slice: SliceId,
    /// The owner, absent while the slice has none.
    pub owner: Option<NodeIdentity>,
    /// The lease epoch of the ownership.
    pub epoch: LeaseEpoch,
    /// The nodes that renew the lease, the owner included.
    pub members: Vec<NodeName>,
    /// The members that may take over the slice, in order of preference.
    pub deputies: Vec<NodeName>,
}

/// `StatusReport` describes the state of one daemon.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// The node and the incarnation of its daemon.
    pub node: NodeIdentity,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The identifier of the plan that created this version.
    pub plan: String,
    /// The target of the daemon; absent while none is announced.
    pub target: Option<TargetReport>,
    /// The slices that the daemon owns or witnesses.
    pub leases: LeaseCounts,
    /// The queues, one for each tenant and work class.
    pub queues: Vec<QueueReport>,
    /// The platform as this daemon observes it.
    pub platform: PlatformReport,
    /// The problems that need attention: that of the node first, then those of slices.
    pub problems: Vec<ProblemReport>,
}

/// `TargetReport` describes the state of the daemon's target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetReport {
    /// The service that the target serves.
    pub service: ServiceName,
    /// The address at which the daemon connects to the target.
    pub address: String,
    /// Whether the target takes work.
    pub state: TargetState,
    /// The number of requests that the target is running.
    pub running: u32,
    /// The number of requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target refuses requests with an outdated fencing token.
    pub fenced: bool,
}

/// `TargetState` tells whether a target takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target started recently and receives a growing share of work.
    Warming,
    /// The target receives work without restriction.
    Serving,
    /// The target completes its requests and receives no new work.
    Draining,
    /// The target does not respond.
    Unreachable,
}

/// `LeaseCounts` counts the leases of a daemon and lists the owned slices that it does not serve.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseCounts {
    /// The number of slices that the daemon owns and serves.
    pub owned: u32,
    /// The number of slices for which the daemon is a witness.
    pub witnessed: u32,
    /// The owned slices that are currently not served.
    pub unserved: Vec<UnservedSlice>,
}

/// `UnservedSlice` is a slice that its owner currently does not serve.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnservedSlice {
    /// The identifier of the slice.
    pub slice: SliceId,
    /// Why the owner does not serve it.
    pub reason: String,
    /// How long it has been unserved, in milliseconds.
    pub for_ms: u64,
}

/// `QueueReport` describes the queue of a tenant and work class, with its latencies.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueReport {
    /// The name of the tenant.
    pub tenant: TenantName,
    /// The class of the work.
    pub class: WorkClass,
    /// The number of requests waiting in the queue.
    pub waiting: u32,
    /// The number of requests that received a response.
    pub answered: u64,
    /// The number of requests that were refused without being run.
    pub refused: u64,
    /// The number of requests whose outcome is unknown.
    pub unknown: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
}

/// `PlatformReport` describes the platform as a daemon observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformReport {
    /// Whether the platform responded to the latest calls.
    pub state: PlatformState,
    /// The number of reads, lists included.
    pub reads: u64,
    /// The number of writes.
    pub writes: u64,
    /// The number of watches opened.
    pub watches: u64,
    /// The number of calls that failed.
    pub failures: u64,
    /// The time since the latest response, in milliseconds.
    pub last_answer_ms: u64,
}

/// `PlatformState` tells whether the platform responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The platform responds normally.
    Up,
    /// The platform responds slowly or refuses some calls.
    Slow,
    /// The platform does not respond.
    Down,
}

/// `ProblemReport` describes a problem that needs attention.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProblemReport {
    /// The stable code, for use by programs.
    pub code: String,
    /// The affected slice, or `node` for a problem of the node itself.
    pub subject: String,
    /// A description of the problem, for people.
    pub message: String,
    /// What the operator can do, or that no action is needed.
    pub what_to_do: String,
}
