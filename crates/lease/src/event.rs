//! What the machine is told.

use crate::message::LeaseMessage;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `MemberInfo` is what the membership says of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// The newest known start of the node.
    pub identity: NodeIdentity,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region of the zone; absent where there is only one.
    #[serde(default)]
    pub region: Option<ZoneName>,
    /// The service of the target beside it; absent when no target has announced itself.
    pub service: Option<ServiceName>,
    /// Whether the node is to receive no new work.
    pub draining: bool,
}

/// `VersionedRecord` is a record with its version in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRecord {
    /// The version of the stored value.
    pub version: u64,
    /// The stored record.
    pub record: LeaseRecord,
}

/// `WriteOutcome` is what became of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// The record is stored.
    Written {
        /// The new version.
        version: u64,
    },
    /// Another version was found and nothing was written.
    Conflict {
        /// The stored record, when the caller knows it; the machine reads it otherwise.
        stored: Option<VersionedRecord>,
    },
    /// The platform refused the call or was out of reach, so that nothing was written.
    Refused,
    /// No answer came: the write may have taken effect.
    Unknown,
}

/// `LeaseEvent` is everything that the machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
    /// Time has passed. Due at [`next_wakeup`](crate::LeaseMachine::next_wakeup).
    Tick,
    /// A message of another node arrived.
    Received {
        /// The start of the node that sent it.
        from: NodeIdentity,
        /// The message.
        message: LeaseMessage,
    },
    /// Records were listed, at the start of the daemon or by a watch.
    RecordsListed(Vec<VersionedRecord>),
    /// A requested read ended.
    RecordRead {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the request, so that a late answer is not taken for a fresh one.
        read_id: u64,
        /// The record, or nothing when it is absent.
        stored: Option<VersionedRecord>,
    },
    /// A requested read failed.
    ReadFailed {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the request.
        read_id: u64,
    },
    /// A requested write ended.
    WriteFinished {
        /// The identifier of the write.
        write_id: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// The membership of the fleet is now this.
    MembersChanged(Vec<MemberInfo>),
    /// Whether the targets of a service check fencing tokens. Unknown services count as unfenced.
    ServiceFencing {
        /// The service.
        service: ServiceName,
        /// Whether its targets refuse outdated epochs.
        fenced: bool,
    },
    /// This node is to create the record of a slice that has none, and own it.
    Claim {
        /// The slice.
        slice: SliceId,
    },
    /// This node is to hand a slice that it owns to another node.
    Move {
        /// The slice.
        slice: SliceId,
        /// The new owner.
        to: NodeName,
    },
    /// The work of a slice that was to drain has ended. A stop in between ends the drain.
    Drained {
        /// The slice.
        slice: SliceId,
        /// The epoch that the drain named.
        epoch: LeaseEpoch,
    },
    /// A confirmed intent says that a VM is gone for good. When every member of a set is gone, only
    /// a node that was given its record by [`RecordsListed`](Self::RecordsListed) can replace it.
    NodeGone {
        /// The VM.
        name: NodeName,
    },
}
