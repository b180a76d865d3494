//! The messages between nodes. They are encoded with bincode, so the order of fields and variants
//! is part of the protocol.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::{
    digest::RequestContent,
    heartbeat::{TargetDeparture, TargetIncarnation},
    notice::RequestRate,
    objects::{StoreError, StoreRevision, StoredObject},
    request::HeaderField,
    routing::RequestKind,
};
use wagtail_peer::packed::PackedValue;
use wagtail_route::pick::LoadReport;
use wagtail_shard::planner::TargetStatus;

/// `DispatchHead` is the head of a caller's request that is dispatched to the node of a target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DispatchHead {
    /// The identifier of the request, which the caller chose.
    pub id: Arc<str>,
    /// The service that is to run it.
    pub service: Arc<str>,
    /// The key, for a keyed service.
    pub key: Option<u16>,
    /// The name of the route.
    pub route: Arc<str>,
    /// The kind of the request, which tells whether it may be retried.
    pub kind: RequestKind,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// The latency objective of the route in milliseconds.
    pub objective_ms: u32,
    /// The time since the caller's first attempt in milliseconds; earlier attempts are estimated.
    pub elapsed_ms: u32,
    /// The time until the caller's deadline in milliseconds.
    pub time_left_ms: u32,
    /// The service of the target on the caller's VM.
    pub caller_service: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query of the URI.
    pub path: Arc<str>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// What the sending node was told of the target.
    pub notice: Option<TargetNotice>,
    /// The wait for a slot, in milliseconds, above which the target's node declines the request, as another
    /// target may have a free slot. `None` if the request waits in any case.
    pub accepted_wait_ms: Option<u32>,
    /// Whether the sending node has sent the request before, to a target that may have run it and failed.
    pub is_repeat: bool,
}

impl DispatchHead {
    /// Returns the content of the request, which it has in common with its repetitions.
    pub fn content(&self, body: Bytes) -> RequestContent {
        RequestContent {
            caller: Arc::clone(&self.caller_service),
            method: Arc::clone(&self.method),
            path: Arc::clone(&self.path),
            body,
        }
    }
}

/// `TargetNotice` is what a target has stated about itself in its responses, or its departure.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetNotice {
    /// The run of the target; of a departure, the latest one that it covers.
    pub life: TargetIncarnation,
    /// The rate of requests that it accepts from all nodes together; `None` without a limit.
    pub limit: Option<RequestRate>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

impl From<&TargetDeparture> for TargetNotice {
    fn from(departure: &TargetDeparture) -> Self {
        Self {
            life: TargetIncarnation {
                started_ms: departure.started_until_ms,
                id: Arc::clone(&departure.id),
            },
            limit: None,
            is_leaving: true,
        }
    }
}

/// `NoticeReport` tells another node what this one knows from responses of its target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum NoticeReport {
    /// The target has not responded to this process of the node yet, so earlier reports still hold.
    Unknown,
    /// The target states nothing that other nodes need to know.
    Nothing,
    /// The target states a limit or its leave.
    Stated(TargetNotice),
}

/// `StoreCall` is a call to the store that a node can make for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads a fleet object.
    Get {
        /// The name of the object.
        name: Arc<str>,
    },
    /// Creates a fleet object.
    Create {
        /// The name of the object.
        name: Arc<str>,
        /// The content to store.
        content: Arc<str>,
    },
    /// Replaces a fleet object if it is still at an expected revision.
    Replace {
        /// The name of the object.
        name: Arc<str>,
        /// The revision that the object must still have for the write to take effect.
        revision: StoreRevision,
        /// The content that replaces that of the object.
        content: Arc<str>,
    },
}

/// `StoreOutcome` is the outcome of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The object that was read.
    Object(StoredObject),
    /// The revision after the write.
    Written(StoreRevision),
    /// The write was refused as the object has changed, with its current state if the store
    /// returned it.
    Conflict(Option<StoredObject>),
    /// The object does not exist.
    Absent,
    /// The call was not carried out, as far as the node that made it can tell; holds the reason.
    NotDone(Arc<str>),
    /// No response arrived, so a write may have taken effect; holds the reason.
    Unknown(Arc<str>),
}

impl From<StoreError> for StoreOutcome {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict { current } => Self::Conflict(current.map(|object| *object)),
            StoreError::Absent => Self::Absent,
            StoreError::NoAnswer { reason } => Self::Unknown(reason),
            other => Self::NotDone(Arc::from(other.to_string())),
        }
    }
}

/// `FollowedChanges` holds the changes of a kind that a node which watches the store relays. They are
/// sent packed, as configurations and tables repeat most of their text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FollowedChanges {
    /// The revision up to which the changes are known.
    pub revision: StoreRevision,
    /// Whether `objects` holds all existing objects and not only the changed ones.
    pub complete: bool,
    /// The changed objects, or all of them.
    pub objects: Vec<StoredObject>,
}

/// `SharedRead` is a read of an assignment table that one node made for another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SharedRead {
    /// The time in microseconds from when the read was sent to this reply, by the replying node's clock.
    pub age_us: u64,
    /// What the store held.
    pub table: SharedTable,
}

/// `SharedTable` is what the store held at a shared read.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum SharedTable {
    /// The table at the revision that the asking node knows.
    Known,
    /// The table at another revision.
    Changed(PackedValue<StoredObject>),
    /// No table.
    Absent,
}

/// `PeerRequest` is a request of one node to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a request at the target of the receiving node.
    Dispatch(Box<DispatchHead>),
    /// Asks for the state of the receiving node's target.
    Status {
        /// The service whose keys the sending node distributes.
        service: Arc<str>,
        /// The name of the sending node, by which the receiver ranks its planner.
        planner: Arc<str>,
    },
    /// Makes a call to the store for the sending node.
    Store(StoreCall),
    /// Asks for the newest known objects of a kind.
    Snapshot {
        /// The kind of the objects.
        kind: Arc<str>,
    },
    /// Asks for the changes of a kind, and waits until there are any (long poll).
    Follow {
        /// The kind of the objects.
        kind: Arc<str>,
        /// The revision up to which the sending node knows all changes.
        revision: StoreRevision,
        /// The maximum time to wait for changes, in milliseconds.
        wait_ms: u32,
    },
    /// Asks only for the versions that the receiving node knows, which come with every reply.
    Versions,
    /// Announces that the sending node has started, or probes whether the receiving node is
    /// reachable.
    Hello {
        /// The name of the node that started or probes.
        node: Arc<str>,
    },
    /// Asks for a read of an assignment table.
    Table {
        /// The service whose table is meant.
        service: Arc<str>,
        /// The revision that the sending node knows; the read must be of that one or a later one.
        at_least: StoreRevision,
        /// The greatest age of the read in milliseconds.
        max_age_ms: u32,
    },
}

/// `KnownVersions` holds the versions of the objects that a node knows. Every reply carries them,
/// so that a node learns when its own are out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct KnownVersions {
    /// The version of the configuration in force.
    pub config: u64,
    /// The highest known revision of the fleet objects.
    pub fleet: StoreRevision,
    /// The revision of the latest change of the evacuated zones; zero where they are not followed.
    pub evacuations: StoreRevision,
}

/// `CompletedFields` is the head of a target's response.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CompletedFields {
    /// The HTTP status code.
    pub status: u16,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// The length of the body in bytes: as it was read, or as the response states it.
    pub body_bytes: Option<u64>,
    /// The load of the target.
    pub load: LoadReport,
}

/// `PauseKind` tells how close to the end of a pause a refused caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PauseKind {
    /// The pause is an estimate; a retry somewhat earlier may succeed as well.
    Estimate,
    /// No earlier retry succeeds.
    Minimum,
    /// Room is kept for the retry at the end of the pause only.
    Exact,
}

/// `NotRunFields` tells why a request did not run and where a retry may succeed.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NotRunFields {
    /// The stable code of the reason.
    pub reason: Arc<str>,
    /// The time in milliseconds after which a retry is expected to succeed.
    pub pause_ms: u32,
    /// Whether the target itself refused the request.
    pub reached_target: bool,
    /// Whether another target may have a free slot or hold the key.
    pub elsewhere: bool,
    /// How close to `pause_ms` a retry should come.
    pub pause_kind: PauseKind,
    /// The node of the target that holds the key, if known.
    pub holder: Option<Arc<str>>,
    /// The load of the target, if the refusal carries it.
    pub load: Option<LoadReport>,
}

impl NotRunFields {
    /// Returns this refusal with the reason and the pause of an earlier one of the same request, if
    /// that target expects to have room sooner. A target that names no pause will not have room.
    #[must_use]
    pub fn with_sooner(self, earlier: Option<Self>) -> Self {
        let is_sooner = |earlier: &Self| {
            earlier.load.is_some()
                && earlier.pause_ms > 0
                && (self.pause_ms == 0 || earlier.pause_ms < self.pause_ms)
        };

        match earlier {
            Some(earlier) if is_sooner(&earlier) => Self {
                reason: earlier.reason,
                pause_ms: earlier.pause_ms,
                pause_kind: earlier.pause_kind,
                ..self
            },
            _ => self,
        }
    }
}

/// `PeerReply` is the head of a reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReply {
    /// The versions that the replying node knows.
    pub versions: KnownVersions,
    /// What the replying node knows from responses of its target.
    pub notice: NoticeReport,
    /// The result of the request; its variant depends on the kind of the request.
    pub body: ReplyBody,
}

/// `ReplyBody` is what a node replies to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ReplyBody {
    /// The head of the target's response; its body follows as a stream.
    Completed(CompletedFields),
    /// The request did not run and will not run.
    NotRun(NotRunFields),
    /// The request may have run, but there is no response.
    Failed {
        /// The stable code of the reason.
        reason: Arc<str>,
        /// The load of the target.
        load: LoadReport,
    },
    /// The state of the target.
    Status(Box<TargetStatus>),
    /// The outcome of a relayed call to the store.
    Store(StoreOutcome),
    /// The newest known objects of a kind.
    Snapshot {
        /// The highest revision of the objects, or zero if there are none.
        revision: StoreRevision,
        /// All known objects of the kind.
        objects: PackedValue<Vec<StoredObject>>,
    },
    /// The changes of a kind, or `None` if the replying node does not watch the store.
    Changes(Option<PackedValue<FollowedChanges>>),
    /// The request was received and needs no other reply.
    Acknowledged,
    /// A read of an assignment table, or `None` if the replying node could not read it.
    Table(Option<SharedRead>),
}

impl ReplyBody {
    /// Returns the length in bytes of the body that follows, if it is known.
    pub fn body_bytes(&self) -> Option<u64> {
        match self {
            Self::Completed(fields) => fields.body_bytes,
            _ => None,
        }
    }
}
