//! What reaches an [`AssignMachine`](crate::AssignMachine) and what it asks for.

use crate::{load::LoadSample, peers::LoadMessage};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::ids::NodeName;

/// `TargetMember` is an announced target of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetMember {
    /// The VM of the target.
    pub node: NodeName,
    /// The share relative to the other targets, such as the count of slots; zero while the
    /// target is not reachable.
    pub weight: u32,
    /// Whether the VM is drained, by the configuration or by the target's own announcement.
    pub draining: bool,
}

/// `AssignEvent` is what reaches an [`AssignMachine`](crate::AssignMachine).
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum AssignEvent {
    /// The targets of the service, this node's own included. A drain of the own VM is told here.
    MembersChanged {
        /// All targets.
        members: Vec<TargetMember>,
    },
    /// The load of the owned slices was measured.
    LoadMeasured {
        /// The loads and the keys with the most requests.
        sample: LoadSample,
    },
    /// A peer sent its load.
    LoadReceived {
        /// The message.
        message: LoadMessage,
    },
    /// The slices of the service that have no record now.
    SlicesUnowned {
        /// The indices of the slices.
        slices: Vec<u32>,
    },
    /// This node owns a slice from now on.
    SliceTaken {
        /// The index of the slice.
        slice: u32,
    },
    /// This node does not own a slice any longer.
    SliceLost {
        /// The index of the slice.
        slice: u32,
    },
    /// A move ended with the slice at its destination.
    MoveFinished {
        /// The index of the slice.
        slice: u32,
    },
    /// A move ended with the slice still here.
    MoveFailed {
        /// The index of the slice.
        slice: u32,
    },
    /// Time has passed; due at least once in a report period.
    Tick,
}

/// `MoveReason` tells why a slice moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// The destination asked for load.
    Balance,
    /// The VM is drained.
    Drain,
}

/// `AssignAction` is what an [`AssignMachine`](crate::AssignMachine) asks of its daemon.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum AssignAction {
    /// A slice without a record is to be claimed by a conditional write.
    Claim {
        /// The index of the slice.
        slice: u32,
    },
    /// A slice is to be handed over: no new work, drain, release, grant.
    Move {
        /// The index of the slice.
        slice: u32,
        /// The destination.
        to: NodeName,
        /// Why.
        reason: MoveReason,
    },
    /// The own load is to be sent to a peer. A lost message needs no repeat.
    SendLoad {
        /// The peer.
        to: NodeName,
        /// The message.
        message: LoadMessage,
    },
    /// A key is to become a slice of its own, so that the rest of its slice can move away.
    ///
    /// This is a decision only: the lease of a split slice is not built.
    SplitKey {
        /// The index of the slice.
        slice: u32,
        /// The key.
        key: Arc<str>,
    },
}
