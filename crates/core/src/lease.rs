//! The ownership record of a slice, as the platform stores it.

use crate::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName},
    slice::SliceId,
};
use serde::{Deserialize, Serialize};

/// `LeaseRecord` names the owner of a slice and the nodes that grant its lease.
///
/// It changes only by a conditional update in the platform, or by a takeover at an epoch that is
/// reserved for the new owner. The record of a takeover is written to the platform later.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The slice whose owner and members the record states.
    pub slice: SliceId,
    /// The epoch of the ownership, which only increases.
    pub epoch: LeaseEpoch,
    /// The owner: one incarnation of a node.
    pub owner: NodeIdentity,
    /// The lease set: the owner and its witnesses. Each renewal needs grants from a majority of it.
    pub members: Vec<NodeName>,
    /// The incarnation of each member when it joined the set, in the order of `members`. A member
    /// that has restarted since has lost its promises, which are kept in memory only.
    #[serde(default)]
    pub member_starts: Vec<NodeIncarnation>,
    /// The epoch of the conditional update that chose the set. A takeover leaves it unchanged.
    #[serde(default)]
    pub set_epoch: LeaseEpoch,
    /// The previous lease set. A majority of it is required as well, until a holder has obtained
    /// majorities of both sets once.
    #[serde(default)]
    pub replaced: Option<ReplacedSet>,
    /// The members that may take over when the owner is lost, in order of preference. The deputy at
    /// index `i` bids only for epochs congruent to `i + 1` modulo the number of deputies plus one,
    /// so that no two deputies bid for the same epoch.
    pub deputies: Vec<NodeName>,
    /// The highest epoch that was known to be stored in the platform when the record was created.
    /// An epoch far above it is served only once it is stored itself.
    #[serde(default)]
    pub stored_epoch: LeaseEpoch,
    /// The unique identifier of the write. A writer that received no response recognises its own
    /// record by it.
    pub write_id: u64,
}

/// `ReplacedSet` is the lease set that was in use before the last membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacedSet {
    /// The owner and the witnesses of the previous set.
    pub members: Vec<NodeName>,
    /// The incarnation of each member when it joined the set, in the order of `members`.
    pub member_starts: Vec<NodeIncarnation>,
}
