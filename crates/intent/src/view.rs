//! The nodes and slice owners that a plan is based on.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ServiceName, ZoneName},
    slice::SliceId,
};

/// `NodeView` is what the planning node knows about one node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeView {
    /// The latest known incarnation of the node.
    pub identity: NodeIdentity,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The service of the announced target; absent when none is announced.
    pub service: Option<ServiceName>,
    /// Whether the announced target refuses requests with an outdated fencing token.
    pub fenced: bool,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
    /// Whether the node accepted a connection when the view was made.
    pub reachable: bool,
}

/// `SliceView` is a slice with its last recorded owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceView {
    /// The identifier of the slice.
    pub slice: SliceId,
    /// The owner according to the latest known record.
    pub owner: NodeIdentity,
}

/// `FleetView` is the fleet as the planning node knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetView {
    /// One view for each node that the planning node knows.
    pub nodes: Vec<NodeView>,
    /// The slices with a recorded owner.
    pub slices: Vec<SliceView>,
}

impl FleetView {
    /// Returns the node called `name`, if it is known.
    pub fn node(&self, name: &NodeName) -> Option<&NodeView> {
        self.nodes.iter().find(|node| &node.identity.name == name)
    }

    /// Returns the nodes whose announced target serves a service.
    pub fn targets<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a NodeView> {
        self.nodes
            .iter()
            .filter(move |node| node.service.as_ref() == Some(service))
    }

    /// Returns the slices of a service that have a recorded owner.
    pub fn slices_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a SliceView> {
        self.slices
            .iter()
            .filter(move |slice| &slice.slice.service == service)
    }

    /// Returns the latest known incarnation of a node, from announcements and recorded owners.
    pub fn latest_identity(&self, name: &NodeName) -> Option<NodeIdentity> {
        let announced = self.nodes.iter().map(|node| &node.identity);
        let recorded = self.slices.iter().map(|slice| &slice.owner);

        announced
            .chain(recorded)
            .filter(|identity| &identity.name == name)
            .max()
            .cloned()
    }
}
