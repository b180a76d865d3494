//! The state machine of one node.

use crate::{action::LeaseAction, event::LeaseEvent, options::LeaseOptions};
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, ZoneName},
    slice::SliceId,
    units::LocalMoment,
};

/// `ServeGrant` allows a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeGrant {
    /// The fencing token.
    pub epoch: LeaseEpoch,
    /// The end of the lease: no work may run past it.
    pub until: LocalMoment,
}

/// `OwnerHint` is the newest owner that a node knows of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerHint {
    /// The owner.
    pub owner: NodeIdentity,
    /// Its epoch.
    pub epoch: LeaseEpoch,
}

/// `LeaseSummary` is what the status page shows of the leases.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
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

/// `LeaseMachine` decides for one node which slices it owns, grants and takes over.
#[derive(Debug)]
pub struct LeaseMachine {
    /// This start of this node.
    identity: NodeIdentity,
    /// The zone of this node.
    zone: ZoneName,
    /// The times and rates.
    options: LeaseOptions,
}

impl LeaseMachine {
    /// Makes the machine of a node that has just started.
    pub fn new(identity: NodeIdentity, zone: ZoneName, options: LeaseOptions, _seed: u64) -> Self {
        Self {
            identity,
            zone,
            options,
        }
    }

    /// Returns this start of this node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the zone of this node.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Takes an event in and returns what is to be done, in order.
    pub fn handle(&mut self, _now: LocalMoment, _event: LeaseEvent) -> Vec<LeaseAction> {
        Vec::new()
    }

    /// Returns the right to dispatch work of a slice now. It is asked again before each dispatch.
    pub fn may_serve(&self, _now: LocalMoment, _slice: &SliceId) -> Option<ServeGrant> {
        None
    }

    /// Returns the newest owner that this node knows of.
    pub fn owner_hint(&self, _slice: &SliceId) -> Option<OwnerHint> {
        None
    }

    /// Returns when the next [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> LocalMoment {
        LocalMoment::ZERO + self.options.renew_interval
    }

    /// Returns what the status page shows.
    pub fn summary(&self) -> LeaseSummary {
        LeaseSummary::default()
    }
}
