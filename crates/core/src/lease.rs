//! The ownership record of a slice, as the platform stores it.

use crate::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName},
    slice::SliceId,
};
use serde::{Deserialize, Serialize};

/// `LeaseRecord` names the owner of a slice and the nodes that renew its lease.
///
/// It changes only by a conditional update in the platform, or by a takeover at a reserved
/// epoch that is written back later.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The owned slice.
    pub slice: SliceId,
    /// The epoch of the ownership; it only grows.
    pub epoch: LeaseEpoch,
    /// The owning start of a node.
    pub owner: NodeIdentity,
    /// The lease set: the owner and its witnesses. A majority of it must grant each renewal.
    pub members: Vec<NodeName>,
    /// The start of each member when it joined the set. A member at a later start has forgotten
    /// its promises.
    #[serde(default)]
    pub member_starts: Vec<NodeIncarnation>,
    /// The epoch of the conditional update that chose the set; a takeover keeps it.
    #[serde(default)]
    pub set_epoch: LeaseEpoch,
    /// The set that this set replaces. A majority of it is needed too, until a holder has
    /// once gained both.
    #[serde(default)]
    pub replaced: Option<ReplacedSet>,
    /// The members that take over after a loss, in order of preference. The deputy at index
    /// `i` bids for epochs congruent to `i + 1` modulo the count of deputies plus one.
    pub deputies: Vec<NodeName>,
    /// The highest epoch that was known to be stored when the record was made. Epochs far above
    /// it are served only when they are stored.
    #[serde(default)]
    pub stored_epoch: LeaseEpoch,
    /// The unique identifier of the write, by which a writer knows its own record after a lost
    /// answer.
    pub write_id: u64,
}

/// `ReplacedSet` is the lease set before the last change of the set.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacedSet {
    /// The members.
    pub members: Vec<NodeName>,
    /// The start of each member when it joined the set.
    pub member_starts: Vec<NodeIncarnation>,
}
