//! The state of the fleet as this daemon knows it, and the keys of the platform.

use serde::{Deserialize, Serialize};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ServiceName, ZoneName},
    service::ConfigDocument,
};

/// The prefix of the keys that every daemon watches.
pub const FLEET_PREFIX: &str = "fleet/";

/// The key of the configuration in force.
pub const CONFIG_KEY: &str = "fleet/config";

/// The prefix of the node entries' keys.
pub const NODES_PREFIX: &str = "fleet/nodes/";

/// The prefix of the plans' keys. It lies outside [`FLEET_PREFIX`], as no daemon watches plans.
pub const PLANS_PREFIX: &str = "plans/";

/// The prefix of the lease records' keys.
pub const LEASE_PREFIX: &str = "lease/";

/// `NodeEntry` is the description of itself that a daemon publishes through the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeEntry {
    /// The name and incarnation of the daemon.
    pub identity: NodeIdentity,
    /// The availability zone of the node.
    pub zone: ZoneName,
    /// The region of the node; absent if there is only one.
    #[serde(default)]
    pub region: Option<ZoneName>,
    /// The address that the other daemons connect to.
    pub peers: SocketAddr,
    /// The service of the daemon's target; absent until a target has announced itself.
    pub service: Option<ServiceName>,
    /// Whether the target refuses requests with an outdated fencing token.
    pub fenced: bool,
    /// Whether the node is leaving and is to receive no new work.
    pub leaving: bool,
}

/// `FleetState` is the configuration in force and the known nodes.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// The configuration in force.
    pub config: ConfigDocument,
    /// The entries of the known nodes.
    pub nodes: BTreeMap<NodeName, NodeEntry>,
    /// Whether the platform held an entry of an earlier incarnation when this daemon started.
    pub restarted: bool,
}

impl FleetState {
    /// Returns whether a node is to receive no new work, by its own entry or by the configuration.
    pub fn is_leaving(&self, entry: &NodeEntry) -> bool {
        entry.leaving || !self.config.takes_work(&entry.identity)
    }

    /// Returns the nodes whose targets serve a service, in the order of their names.
    pub fn targets<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a NodeEntry> {
        self.nodes
            .values()
            .filter(move |entry| entry.service.as_ref() == Some(service))
    }
}

/// `FleetCell` shares the newest state. The directory task replaces it; all others read it.
#[derive(Debug, Clone, Default)]
pub struct FleetCell(Rc<RefCell<Rc<FleetState>>>);

impl FleetCell {
    /// Returns the newest state, which later replacements leave unchanged.
    pub fn load(&self) -> Rc<FleetState> {
        Rc::clone(&self.0.borrow())
    }

    /// Replaces the state for all readers.
    pub fn store(&self, state: FleetState) {
        *self.0.borrow_mut() = Rc::new(state);
    }
}
