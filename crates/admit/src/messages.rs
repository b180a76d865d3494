//! The events and actions of the admission machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    service::WorkClass,
    units::LocalMoment,
    verdict::RunVerdict,
};

/// `WorkArrival` is a request that reached the daemon beside its target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkArrival {
    /// The daemon's number for this arrival; it is never used twice.
    pub ticket: u64,
    /// The identifier of the request.
    pub id: RequestId,
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// The declared operation.
    pub operation: OperationName,
    /// The declared class of the operation.
    pub class: WorkClass,
    /// Whether the declared operation is idempotent.
    pub idempotent: bool,
    /// The moment after which nobody waits for the answer.
    pub deadline: LocalMoment,
    /// The index of the slice of the key, for a keyed service.
    pub slice: Option<u32>,
    /// What is known of the age of the identifier.
    pub age: IdentifierAge,
}

/// `IdentifierAge` is what is known of the moment at which an identifier was first used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdentifierAge {
    /// The ingress made the identifier for this request, so no earlier request carries it.
    Made,
    /// The identifier carries its time of issue.
    Issued(LocalMoment),
    /// The identifier tells nothing.
    Unknown,
}

/// `WorkOutcome` is the end of an order at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkOutcome {
    /// The whole answer is with the daemon.
    Answered {
        /// The size of the answer in bytes.
        bytes: u64,
    },
    /// The target refused the order before its start for want of capacity.
    Shed,
    /// The target refused the order before its start because it is leaving.
    Draining,
    /// The order ended without a whole answer.
    Failed {
        /// Whether the order may have run.
        verdict: RunVerdict,
    },
    /// The daemon closed the connection of a cancelled order; the target confirmed nothing.
    Abandoned,
}

/// `AdmitEvent` is something that happened at the daemon beside a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmitEvent {
    /// A request arrived.
    Arrived(WorkArrival),
    /// An order that was dispatched has ended.
    Finished {
        /// The number of the arrival.
        ticket: u64,
        /// How the order ended.
        outcome: WorkOutcome,
        /// The time from the dispatch to the end.
        took: Duration,
    },
    /// The caller went away.
    Cancelled {
        /// The number of the arrival.
        ticket: u64,
    },
    /// The wake-up time was reached.
    Tick,
    /// The daemon or its target is to stop; what was accepted is completed.
    Stop,
    /// The target started and is cold.
    TargetStarted,
    /// The target announced that it wants to leave; what was accepted is completed.
    TargetDraining,
    /// The target announced itself or reported its load. The load is a hint that may lower the
    /// limit but never raise it; the report itself shows that the target runs.
    TargetReport {
        /// The requests that the target says it runs.
        running: u32,
    },
    /// The node became the owner of a slice; imported memory is given before this event.
    SliceGained {
        /// The index of the slice.
        slice: u32,
    },
    /// The slice is to move: nothing new is dispatched for it, what runs is completed.
    SliceStopping {
        /// The index of the slice.
        slice: u32,
    },
    /// The lease of the slice has lapsed.
    SliceLost {
        /// The index of the slice.
        slice: u32,
    },
}

/// `AdmitRefusal` is the reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmitRefusal {
    /// The queue holds as much as can be answered in time.
    QueueFull,
    /// The queue was cut because an overload lasts.
    QueueCut,
    /// The tenant's share of the queue is used up while others keep theirs.
    TenantOverShare,
    /// The deadline has passed or cannot be met.
    DeadlinePassed,
    /// The identifier was used before and its answer is not available.
    Duplicate,
    /// The identifier was used before for another operation or key.
    IdentifierReused,
    /// The identifier is older than what the memory can vouch for.
    IdentifierTooOld,
    /// The memory of identifiers is full.
    MemoryFull,
    /// The daemon is stopping.
    Stopping,
    /// The slice is moving to another owner or its lease has lapsed.
    NotOwner,
    /// The target does not answer.
    TargetStalled,
    /// The target refuses work for want of capacity.
    TargetShed,
    /// The target is leaving.
    TargetDraining,
    /// The target gave no whole answer.
    TargetFailed,
}

impl AdmitRefusal {
    /// Returns the stable code of the refusal for the `wagtail-refusal` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::QueueCut => "queue-cut",
            Self::TenantOverShare => "tenant-over-share",
            Self::DeadlinePassed => "deadline-exceeded",
            Self::Duplicate => "duplicate",
            Self::IdentifierReused => "identifier-reused",
            Self::IdentifierTooOld => "identifier-too-old",
            Self::MemoryFull => "memory-full",
            Self::Stopping => "stopping",
            Self::NotOwner => "not-owner",
            Self::TargetStalled => "target-stalled",
            Self::TargetShed => "target-shed",
            Self::TargetDraining => "target-draining",
            Self::TargetFailed => "target-failed",
        }
    }
}

/// `AdmitAction` is what the daemon does next. Each arrival gets exactly one final answer: a
/// refusal, a replay, or the answer of its order when that ends as
/// [`Answered`](WorkOutcome::Answered) before any refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmitAction {
    /// Check the lease again, then send the order.
    Dispatch {
        /// The number of the arrival.
        ticket: u64,
    },
    /// Give the final answer without a target's answer.
    Refuse {
        /// The number of the arrival.
        ticket: u64,
        /// The reason.
        refusal: AdmitRefusal,
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// The time after which a repeat is expected to succeed.
        retry_after: Duration,
    },
    /// Close the connection of the order, then report it as finished.
    CancelAtTarget {
        /// The number of the arrival.
        ticket: u64,
    },
    /// Give the kept answer of an earlier arrival, whole.
    Replay {
        /// The number of the arrival.
        ticket: u64,
        /// The arrival whose answer is given.
        of: u64,
    },
    /// Keep the answer of an arrival for replays.
    Keep {
        /// The number of the arrival.
        ticket: u64,
    },
    /// Drop the kept answer of an arrival.
    Forget {
        /// The number of the arrival.
        ticket: u64,
    },
    /// Nothing of a stopping slice is at the target any more.
    SliceDrained {
        /// The index of the slice.
        slice: u32,
    },
    /// The daemon was told to stop and nothing is left.
    AllDone,
}
