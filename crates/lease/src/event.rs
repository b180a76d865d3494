//! The inputs of the lease machine.

use crate::message::LeaseMessage;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `MemberInfo` describes one node of the fleet's membership.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberInfo {
    /// The name and the newest known incarnation of the node.
    pub identity: NodeIdentity,
    /// The availability zone of the node.
    pub zone: ZoneName,
    /// The region of the zone; absent when the fleet has only one.
    #[serde(default)]
    pub region: Option<ZoneName>,
    /// The service of the node's target; absent when no target has announced itself.
    pub service: Option<ServiceName>,
    /// Whether the node is draining, so that it receives no new work.
    pub draining: bool,
}

/// `VersionedRecord` is a record that is stored in the platform, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRecord {
    /// The version of the stored value, for conditional updates.
    pub version: u64,
    /// The lease record at that version.
    pub record: LeaseRecord,
}

/// `WriteOutcome` is the outcome of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// The record is stored.
    Written {
        /// The version after the write, which the next update expects.
        version: u64,
    },
    /// The stored version was not the expected one; nothing was written.
    Conflict {
        /// The stored record, when the caller knows it; the machine reads it otherwise.
        stored: Option<VersionedRecord>,
    },
    /// The platform refused the call or was unreachable; nothing was written.
    Refused,
    /// No response arrived; the write may have taken effect.
    Unknown,
}

/// `LeaseEvent` is an input of [`LeaseMachine::handle`](crate::LeaseMachine::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
    /// Time has passed. Due at [`next_wakeup`](crate::LeaseMachine::next_wakeup).
    Tick,
    /// A message from another node arrived.
    Received {
        /// The name and incarnation of the sender.
        from: NodeIdentity,
        /// The decoded message of the sender.
        message: LeaseMessage,
    },
    /// Records were listed when the daemon started, or reported by a watch.
    RecordsListed(Vec<VersionedRecord>),
    /// A read requested by `ReadRecord` succeeded.
    RecordRead {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the read, which tells a late response from that of a newer read.
        read_id: u64,
        /// The stored record; `None` when there is none.
        stored: Option<VersionedRecord>,
    },
    /// A read requested by `ReadRecord` failed.
    ReadFailed {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the read.
        read_id: u64,
    },
    /// A write requested by `WriteRecord` ended.
    WriteFinished {
        /// The `write_id` of the written record.
        write_id: u64,
        /// The outcome of the write.
        outcome: WriteOutcome,
    },
    /// The membership of the fleet changed; the list holds every node.
    MembersChanged(Vec<MemberInfo>),
    /// It became known whether the targets of a service check fencing tokens. Until then a service
    /// counts as unfenced.
    ServiceFencing {
        /// The service to which `fenced` applies.
        service: ServiceName,
        /// Whether its targets refuse requests with an outdated epoch.
        fenced: bool,
    },
    /// Asks this node to create the record of a slice that has none, and to own the slice.
    Claim {
        /// The slice to create the record of.
        slice: SliceId,
    },
    /// Asks this node to hand a slice that it owns over to another node.
    Move {
        /// The slice to hand over, which this node must be serving.
        slice: SliceId,
        /// The node that is to own the slice once its work has drained.
        to: NodeName,
    },
    /// All work of a slice that was draining has ended. Ignored when a `Stop` ended the drain
    /// before.
    Drained {
        /// The slice whose work has ended.
        slice: SliceId,
        /// The epoch of the `Drain` action.
        epoch: LeaseEpoch,
    },
    /// The operator confirmed that a VM is gone for good. When every member of a set is gone, only
    /// a node that received its record through [`RecordsListed`](Self::RecordsListed) can replace
    /// it.
    NodeGone {
        /// The name of the VM.
        name: NodeName,
    },
}
