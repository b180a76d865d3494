//! The results of the queries that the daemon makes before it dispatches, routes or reports.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity},
    slice::SliceId,
    units::LocalMoment,
};

/// `ServeGrant` permits a node to dispatch requests for a slice until the lease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeGrant {
    /// The epoch of the lease, which is the fencing token.
    pub epoch: LeaseEpoch,
    /// The end of the lease on the local clock. No work may run past it.
    pub until: LocalMoment,
}

/// `OwnerHint` is the newest owner of a slice that a node knows of. It may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerHint {
    /// The incarnation of the node that owns the slice.
    pub owner: NodeIdentity,
    /// The epoch of the lease under which it owns the slice.
    pub epoch: LeaseEpoch,
}

/// `LeaseSummary` is the state of the leases as the status page shows it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSummary {
    /// The slices that this node serves.
    pub serving: Vec<SliceId>,
    /// The number of slices that this node tries to gain.
    pub gaining: usize,
    /// The number of slices whose work must end before they are handed over.
    pub draining: usize,
    /// The number of slices that this node witnesses.
    pub witnessed: usize,
    /// The number of slices for which this node has not yet recalled its promises.
    pub recovering: usize,
    /// The number of records that wait to be written to the platform.
    pub unwritten: usize,
}
