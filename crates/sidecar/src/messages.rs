//! What nodes say to each other.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::{
    objects::{StoreError, StoredObject},
    request::HeaderField,
    routing::RequestKind,
};
use wagtail_route::pick::LoadReport;
use wagtail_shard::planner::TargetStatus;

/// `DispatchHead` is a caller's request on its way to the node beside a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DispatchHead {
    /// The identifier of the request.
    pub id: Arc<str>,
    /// The service that is to run it.
    pub service: Arc<str>,
    /// The key, for a keyed service.
    pub key: Option<u16>,
    /// The name of the route.
    pub route: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The rank of the work that runs at the target beside which the request began.
    pub caller_priority: u32,
    /// The time in milliseconds within which an answer is worth most.
    pub objective_ms: u32,
    /// The time in milliseconds since the request began.
    pub elapsed_ms: u32,
    /// The time in milliseconds that is left for the answer.
    pub time_left_ms: u32,
    /// The service on whose VM the request began.
    pub caller_service: Arc<str>,
    /// The method.
    pub method: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
}

/// `StoreCall` is a call to the store that a node makes for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an object of the fleet.
    Get {
        /// The name.
        name: Arc<str>,
    },
    /// Creates an object of the fleet.
    Create {
        /// The name.
        name: Arc<str>,
        /// The content.
        content: Arc<str>,
    },
    /// Replaces an object of the fleet that is still at a revision.
    Replace {
        /// The name.
        name: Arc<str>,
        /// The expected revision.
        revision: u64,
        /// The content.
        content: Arc<str>,
    },
}

/// `StoreOutcome` is the outcome of a relayed call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The object that was read.
    Object(StoredObject),
    /// The revision after the write.
    Written(u64),
    /// The object has changed; its present state when the store told it.
    Conflict(Option<StoredObject>),
    /// There is no such object.
    Absent,
    /// The store did nothing, as far as the relaying node can tell.
    NotDone(Arc<str>),
    /// The write may have taken effect.
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

/// `FollowedChanges` are the changes of a kind that a watching node passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FollowedChanges {
    /// The revision up to which the changes are known.
    pub revision: u64,
    /// Whether the objects are all that exist, and not only the changed ones.
    pub complete: bool,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// `PeerRequest` is what a node asks of another one.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run a request at the target beside the asked node.
    Dispatch(Box<DispatchHead>),
    /// Tell the state of the target beside the asked node.
    Status {
        /// The service whose keys the asking node spreads.
        service: Arc<str>,
        /// The asking node.
        planner: Arc<str>,
    },
    /// Make a call to the store.
    Store(StoreCall),
    /// Tell the newest known objects of a kind.
    Snapshot {
        /// The kind.
        kind: Arc<str>,
    },
    /// Tell the changes of a kind as soon as there are any.
    Follow {
        /// The kind.
        kind: Arc<str>,
        /// The revision up to which the asking node knows all changes.
        revision: u64,
        /// The longest wait in milliseconds.
        wait_ms: u32,
    },
    /// Tell the versions that the asked node knows, which come with every answer.
    Versions,
    /// The asking node has started.
    Hello {
        /// The asking node.
        node: Arc<str>,
    },
}

/// `KnownVersions` are the versions of what a node knows, told with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct KnownVersions {
    /// The version of the configuration.
    pub config: u64,
    /// The revision of the objects of the fleet.
    pub fleet: u64,
}

/// `ResponseHead` are the head of a target's answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The end-to-end header fields.
    pub headers: Vec<HeaderField>,
    /// The load of the target.
    pub load: LoadReport,
}

/// `NotRunFields` tell why a request did not run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NotRunFields {
    /// The stable code of the reason.
    pub reason: Arc<str>,
    /// The time in milliseconds after which a repeat is expected to succeed.
    pub pause_ms: u32,
    /// Whether the target itself refused it.
    pub reached_target: bool,
    /// Whether another target may have room or the key.
    pub elsewhere: bool,
    /// The node beside the target that holds the key, where it is known.
    pub holder: Option<Arc<str>>,
    /// The load of the target.
    pub load: Option<LoadReport>,
}

/// `PeerReply` is the head of an answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReply {
    /// What the answering node knows.
    pub versions: KnownVersions,
    /// The answer.
    pub body: ReplyBody,
}

/// `ReplyBody` is the answer of a node.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ReplyBody {
    /// The target's answer; its body follows.
    Completed(ResponseHead),
    /// The request did not run and will not.
    NotRun(NotRunFields),
    /// The request may have run.
    Failed {
        /// The stable code of the reason.
        reason: Arc<str>,
        /// The load of the target.
        load: LoadReport,
    },
    /// The state of the target.
    Status(Box<TargetStatus>),
    /// The outcome of a call to the store.
    Store(StoreOutcome),
    /// The newest known objects of a kind, with the revision of the list.
    Snapshot {
        /// The revision; zero when nothing is known.
        revision: u64,
        /// The objects.
        objects: Vec<StoredObject>,
    },
    /// The changes of a kind; nothing when the answering node does not watch the store.
    Changes(Option<FollowedChanges>),
    /// Taken note of.
    Acknowledged,
}
