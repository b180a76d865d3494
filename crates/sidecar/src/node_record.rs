//! What each node publishes of itself and its target.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};
use wagtail_gate::crash_report::CrashReport;
use wagtail_shard::{departures::DepartureList, facts::NodeFacts};

/// The prefix of the names of objects that hold a node record.
const NODE_PREFIX: &str = "node.";

/// `NodeRecord` is the entry that a node publishes about itself and its target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRecord {
    /// The name of the node.
    pub node: Arc<str>,
    /// The availability zone of the node.
    pub zone: Arc<str>,
    /// The address at which the node serves other nodes.
    pub peers: SocketAddr,
    /// The service of the target of the node.
    pub service: Arc<str>,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub ready: bool,
    /// The targets of the node that announced their leave, so that a restarted node knows of them.
    #[serde(default)]
    pub departures: DepartureList,
    /// The crashes of the targets of the node, with the requests that ran.
    #[serde(default)]
    pub crashes: CrashReport,
}

impl NodeRecord {
    /// Returns what the record states for good.
    pub fn facts(&self) -> NodeFacts {
        NodeFacts {
            departures: self.departures.clone(),
            crashes: self.crashes.clone(),
        }
    }

    /// Returns the record with all that is known for good.
    #[must_use]
    pub fn with_facts(self, facts: NodeFacts) -> Self {
        Self {
            departures: facts.departures,
            crashes: facts.crashes,
            ..self
        }
    }
}

/// Returns the name of the object that holds the record of a node.
pub fn record_name(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the node whose record an object with this name holds, or `None` if it holds something else.
pub(crate) fn recorded_node(name: &str) -> Option<&str> {
    name.strip_prefix(NODE_PREFIX)
}
