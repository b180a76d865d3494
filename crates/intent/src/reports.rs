//! The answers of the administration API.

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

/// `ErrorDetail` holds what a failed call lists besides its message.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorDetail {
    /// The faults of the document.
    pub faults: Vec<DocumentFault>,
    /// The promises that would break.
    pub refusals: Vec<IntentRefusal>,
    /// What came between a plan and its confirmation.
    pub conflict: Option<ConfirmConflict>,
}

/// `ErrorReport` is the body of every failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorReport {
    /// The stable code for programs.
    pub code: String,
    /// What failed, for people.
    pub message: String,
    /// The single faults, refusals or changes.
    #[serde(default)]
    pub detail: ErrorDetail,
}

impl ErrorReport {
    /// Makes a report without details.
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

/// `ConfirmRequest` is the body of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The version that the plan was made for.
    pub base_version: u64,
}

/// `ConfirmReport` is the answer to an accepted confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfirmReport {
    /// The version that the plan made.
    pub version: u64,
}

/// `PlanReport` is the answer to an intent, and to a question for a plan.
pub type PlanReport = PlanDocument;

/// `WatchReport` tells which configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WatchReport {
    /// The version in force.
    pub version: u64,
    /// The plan that made it.
    pub plan: String,
}

/// `ServicesReport` lists the services in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicesReport {
    /// The version in force.
    pub version: u64,
    /// The declared services.
    pub services: Vec<ServiceSpec>,
    /// The VMs that receive no new work.
    pub draining: Vec<NodeName>,
}

/// `OwnerReport` tells who owns a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerReport {
    /// The slice of the key.
    pub slice: SliceId,
    /// The owner, absent while the slice has none.
    pub owner: Option<NodeIdentity>,
    /// The epoch of the ownership.
    pub epoch: LeaseEpoch,
    /// The nodes that renew the lease.
    pub members: Vec<NodeName>,
    /// The members that take over, in order of preference.
    pub deputies: Vec<NodeName>,
}

/// `StatusReport` is the state of one daemon.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// The start of the daemon.
    pub node: NodeIdentity,
    /// The availability zone.
    pub zone: ZoneName,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The plan that made the version.
    pub plan: String,
    /// The target beside the daemon; absent while none is announced.
    pub target: Option<TargetReport>,
    /// The leases of the daemon.
    pub leases: LeaseCounts,
    /// The queues, one for each tenant and class.
    pub queues: Vec<QueueReport>,
    /// The platform as the daemon meets it.
    pub platform: PlatformReport,
    /// What needs attention, the most urgent first.
    pub problems: Vec<ProblemReport>,
}

/// `TargetReport` is the state of the target beside the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetReport {
    /// The served service.
    pub service: ServiceName,
    /// The address by which the daemon reaches the target.
    pub address: String,
    /// Whether the target takes work.
    pub state: TargetState,
    /// The requests that the target runs now.
    pub running: u32,
    /// The requests that the target can run at a time.
    pub slots: u32,
    /// Whether the target refuses orders with an outdated fencing token.
    pub fenced: bool,
}

/// `TargetState` tells whether a target takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target started lately and gets a growing share of work.
    Warming,
    /// The target takes work.
    Serving,
    /// The target finishes what it has and gets nothing new.
    Draining,
    /// The target does not answer.
    Unreachable,
}

/// `LeaseCounts` counts the leases of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseCounts {
    /// The slices that the daemon owns and serves.
    pub owned: u32,
    /// The slices for which the daemon is a witness.
    pub witnessed: u32,
    /// The owned slices that are not served now.
    pub unserved: Vec<UnservedSlice>,
}

/// `UnservedSlice` is a slice that its owner does not serve now.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnservedSlice {
    /// The slice.
    pub slice: SliceId,
    /// Why it is not served.
    pub reason: String,
    /// How long it has not been served, in milliseconds.
    pub for_ms: u64,
}

/// `QueueReport` is one queue with its latencies.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueReport {
    /// The tenant.
    pub tenant: TenantName,
    /// The class of the work.
    pub class: WorkClass,
    /// The requests that wait now.
    pub waiting: u32,
    /// The requests that were answered.
    pub answered: u64,
    /// The requests that were refused as not run.
    pub refused: u64,
    /// The requests whose outcome is unknown.
    pub unknown: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The latency in milliseconds that 99 in 100 requests stay under.
    pub p99_ms: f64,
    /// The latency in milliseconds that 999 in 1000 requests stay under.
    pub p999_ms: f64,
}

/// `PlatformReport` is the platform as a daemon meets it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformReport {
    /// Whether the latest calls were answered.
    pub state: PlatformState,
    /// The reads made, lists included.
    pub reads: u64,
    /// The writes made.
    pub writes: u64,
    /// The watches made.
    pub watches: u64,
    /// The calls that failed.
    pub failures: u64,
    /// The time in milliseconds since the latest answer.
    pub last_answer_ms: u64,
}

/// `PlatformState` tells whether the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The platform answers.
    Up,
    /// The platform answers late or refuses some calls.
    Slow,
    /// The platform does not answer.
    Down,
}

/// `ProblemReport` is something that needs attention.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProblemReport {
    /// The stable code for programs.
    pub code: String,
    /// The slice, VM or service in question.
    pub subject: String,
    /// What is wrong.
    pub message: String,
    /// What the operator can do, or that nothing is needed.
    pub what_to_do: String,
}
