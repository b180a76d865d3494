//! What the daemon asks before it dispatches, routes or reports.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity},
    slice::SliceId,
    units::LocalMoment,
};

/// `ServeGrant` allows a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeGrant {
    /// The fencing token.
    pub epoch: LeaseEpoch,
    /// The end of the lease: no work may run past it.
    pub until: LocalMoment,
}

/// `OwnerHint` is the newest owner that a node knows of.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerHint {
    /// The owner.
    pub owner: NodeIdentity,
    /// Its epoch.
    pub epoch: LeaseEpoch,
}

/// `LeaseSummary` is what the status page shows of the leases.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSummary {
    /// The slices that this node serves.
    pub serving: Vec<SliceId>,
    /// The slices that this node tries to gain.
    pub gaining: usize,
    /// The slices whose work is to end before a hand-over.
    pub draining: usize,
    /// The slices that this node witnesses.
    pub witnessed: usize,
    /// The slices for which this node has not yet recalled its promises.
    pub recovering: usize,
    /// The records that wait to be written.
    pub unwritten: usize,
}
