//! The nodes and slice owners that a plan is made for.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ServiceName, ZoneName},
    slice::SliceId,
};

/// `NodeView` is what the planning node knows of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeView {
    /// The latest known start of the daemon.
    pub identity: NodeIdentity,
    /// The availability zone.
    pub zone: ZoneName,
    /// The service of the announced target; absent when none is announced.
    pub service: Option<ServiceName>,
    /// Whether the announced target refuses orders with an outdated fencing token.
    pub fenced: bool,
    /// Whether the target announced that it wants to leave.
    pub leaving: bool,
    /// Whether the node answered its peers lately.
    pub reachable: bool,
}

/// `SliceView` is a slice with its recorded owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceView {
    /// The slice.
    pub slice: SliceId,
    /// The owner by the latest known record.
    pub owner: NodeIdentity,
}

/// `FleetView` is the fleet as the planning node knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetView {
    /// The known nodes.
    pub nodes: Vec<NodeView>,
    /// The slices that have a record.
    pub slices: Vec<SliceView>,
}

impl FleetView {
    /// Returns the node of a name.
    pub fn node(&self, name: &NodeName) -> Option<&NodeView> {
        self.nodes.iter().find(|node| &node.identity.name == name)
    }

    /// Returns the nodes whose announced target serves a service.
    pub fn targets<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a NodeView> {
        self.nodes
            .iter()
            .filter(move |node| node.service.as_ref() == Some(service))
    }

    /// Returns the slices of a service that have a record.
    pub fn slices_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a SliceView> {
        self.slices
            .iter()
            .filter(move |slice| &slice.slice.service == service)
    }

    /// Returns the latest start that is known of a VM, from its announcement and its leases.
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
