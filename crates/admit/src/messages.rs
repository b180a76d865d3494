//! The events and actions of the admission machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    service::WorkClass,
    units::LocalMoment,
    verdict::RunVerdict,
};

/// `WorkArrival` is a request that reached the daemon of its target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkArrival {
    /// The number that the daemon gave to this arrival; it is never used twice.
    pub ticket: u64,
    /// The identifier of the request.
    pub id: RequestId,
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// The declared operation of the request.
    pub operation: OperationName,
    /// The declared class of the operation.
    pub class: WorkClass,
    /// Whether the declared operation is idempotent.
    pub idempotent: bool,
    /// The moment after which the caller no longer waits for the response.
    pub deadline: LocalMoment,
    /// The index of the slice of the key, for a keyed service.
    pub slice: Option<u32>,
    /// Whether the identifier is new, when it was issued, or that neither is known.
    pub age: IdentifierAge,
}

/// `IdentifierAge` is what is known about the moment at which an identifier was first used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdentifierAge {
    /// The ingress generated the identifier for this request, so no earlier request carries it.
    Made,
    /// The identifier carries its time of issue.
    Issued(LocalMoment),
    /// The identifier carries no time of issue.
    Unknown,
}

/// `WorkOutcome` is how a dispatched request ended at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkOutcome {
    /// The daemon has the complete response.
    Answered {
        /// The size of the response in bytes.
        bytes: u64,
    },
    /// The target refused the request before it started, for lack of capacity.
    Shed,
    /// The target refused the request before it started, because it is leaving.
    Draining,
    /// The request ended without a complete response.
    Failed {
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// The daemon closed the connection of a cancelled request, and the target confirmed nothing.
    Abandoned,
}

/// `AdmitEvent` is an event at the daemon of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmitEvent {
    /// A request arrived.
    Arrived(WorkArrival),
    /// A dispatched request has ended.
    Finished {
        /// The ticket of the arrival.
        ticket: u64,
        /// How the request ended.
        outcome: WorkOutcome,
        /// The time from the dispatch to the end.
        took: Duration,
    },
    /// The caller went away.
    Cancelled {
        /// The ticket of the arrival.
        ticket: u64,
    },
    /// The time that [`next_wakeup`](crate::AdmitMachine::next_wakeup) returned was reached.
    Tick,
    /// The daemon or its target is to stop; admitted requests are completed.
    Stop,
    /// The target started and is cold.
    TargetStarted,
    /// The target announced that it wants to leave; admitted requests are completed.
    TargetDraining,
    /// The target announced itself or reported its load. The load is a hint that may lower the
    /// limit but never raise it; the report itself shows that the target is running.
    TargetReport {
        /// The count of requests that the target says it runs.
        running: u32,
    },
    /// The node became the owner of a slice; its memory is imported before this event.
    SliceGained {
        /// The index of the slice.
        slice: u32,
    },
    /// The slice is about to move: nothing new is dispatched for it, requests at the target are
    /// completed.
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
    /// The queue is as long as it may be.
    QueueFull,
    /// The oldest queued requests are refused to shorten the queue, because an overload lasts.
    QueueCut,
    /// The tenant exceeds its share of the queue while other tenants wait too.
    TenantOverShare,
    /// The deadline has passed or cannot be met.
    DeadlinePassed,
    /// The identifier was used before, and the response of that request is not available.
    Duplicate,
    /// The identifier was used before for another operation or key.
    IdentifierReused,
    /// The memory may have forgotten or lost the identifier, which is too old or of unknown age.
    IdentifierTooOld,
    /// The memory of identifiers is full.
    MemoryFull,
    /// The daemon is stopping.
    Stopping,
    /// The slice is moving to another owner or its lease has lapsed.
    NotOwner,
    /// The target does not respond.
    TargetStalled,
    /// The target refuses requests for lack of capacity.
    TargetShed,
    /// The target is leaving.
    TargetDraining,
    /// The target gave no complete response.
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

/// `AdmitAction` is what the daemon does next. Each arrival gets exactly one final response: a
/// refusal, a replay, or the response of the target if the request ends as
/// [`Answered`](WorkOutcome::Answered) before it is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmitAction {
    /// Check the lease again, then send the request to the target.
    Dispatch {
        /// The ticket of the arrival.
        ticket: u64,
    },
    /// Send a refusal as the final response.
    Refuse {
        /// The ticket of the arrival.
        ticket: u64,
        /// The reason for the refusal.
        refusal: AdmitRefusal,
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// The time after which a retry is expected to succeed.
        retry_after: Duration,
    },
    /// Close the connection of the request to the target, then report the request as finished.
    CancelAtTarget {
        /// The ticket of the arrival.
        ticket: u64,
    },
    /// Send the complete kept response of an earlier arrival.
    Replay {
        /// The ticket of the arrival.
        ticket: u64,
        /// The ticket of the arrival whose response is sent.
        of: u64,
    },
    /// Keep the response of an arrival for replays.
    Keep {
        /// The ticket of the arrival.
        ticket: u64,
    },
    /// Drop the kept response of an arrival.
    Forget {
        /// The ticket of the arrival.
        ticket: u64,
    },
    /// No request of a stopping slice is left here or at the target.
    SliceDrained {
        /// The index of the slice.
        slice: u32,
    },
    /// The daemon is stopping and no request is left.
    AllDone,
}
