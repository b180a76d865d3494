//! The inputs and outputs of an [`AssignMachine`](crate::AssignMachine).

use crate::{load::LoadSample, peers::LoadMessage};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::ids::NodeName;

/// `TargetMember` is an announced target of the service, with its weight and drain state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetMember {
    /// The VM of the target.
    pub node: NodeName,
    /// The weight relative to the other targets, such as the number of slots; zero while the
    /// target is unreachable.
    pub weight: u32,
    /// Whether the VM is drained, by the configuration or by the target's own announcement.
    pub draining: bool,
}

/// `AssignEvent` is an input of an [`AssignMachine`](crate::AssignMachine).
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum AssignEvent {
    /// The targets of the service changed. The start and end of a drain of this node's own VM is
    /// part of this event too.
    MembersChanged {
        /// All targets of the service, including the one of this node.
        members: Vec<TargetMember>,
    },
    /// The load of the owned slices was measured.
    LoadMeasured {
        /// The loads and the keys with the most requests.
        sample: LoadSample,
    },
    /// A message with a peer's load arrived.
    LoadReceived {
        /// The loads that the peer reports and the load that it requests.
        message: LoadMessage,
    },
    /// The slices of the service without a record were determined.
    SlicesUnowned {
        /// The indices of all slices without a record.
        slices: Vec<u32>,
    },
    /// This node owns a slice from now on.
    SliceTaken {
        /// The index of the slice.
        slice: u32,
    },
    /// This node no longer owns a slice.
    SliceLost {
        /// The index of the slice.
        slice: u32,
    },
    /// A move succeeded: the destination owns the slice.
    MoveFinished {
        /// The index of the slice.
        slice: u32,
    },
    /// A move failed: this node still owns the slice.
    MoveFailed {
        /// The index of the slice.
        slice: u32,
    },
    /// Time has passed; to be sent at least once per report period.
    Tick,
}

/// `MoveReason` is the cause of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// The destination requested load.
    Balance,
    /// The VM is drained.
    Drain,
}

/// `AssignAction` is an output of an [`AssignMachine`](crate::AssignMachine), which its daemon
/// carries out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum AssignAction {
    /// Claim a slice without a record by a conditional write.
    Claim {
        /// The index of the slice.
        slice: u32,
    },
    /// Hand a slice over: stop new work for it, drain it, release it and grant it to the
    /// destination.
    Move {
        /// The index of the slice.
        slice: u32,
        /// The VM of the target that the slice moves to.
        to: NodeName,
        /// The cause of the move.
        reason: MoveReason,
    },
    /// Send this target's load to a peer. A lost message need not be retried.
    SendLoad {
        /// The VM of the peer.
        to: NodeName,
        /// The loads that this target reports and the load that it requests.
        message: LoadMessage,
    },
    /// Split a key out into a slice of its own, so that the rest of its slice can move.
    ///
    /// Only the decision is implemented; there is no lease for a split slice yet.
    SplitKey {
        /// The index of the slice that holds the key.
        slice: u32,
        /// The key to split out.
        key: Arc<str>,
    },
}
