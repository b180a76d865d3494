//! What an operator writes.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    service::ServiceSpec,
};

/// `IntentDocument` states what an operator wants to change. What it does not name stays.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IntentDocument {
    /// The services to declare, or to replace when they are declared already.
    pub services: Vec<ServiceSpec>,
    /// The services to remove.
    pub remove_services: Vec<ServiceName>,
    /// The VMs that are to receive no new work.
    pub drain: Vec<NodeName>,
    /// The VMs that are to receive work again.
    pub undrain: Vec<NodeName>,
    /// The VMs that are lost for good; nobody will start their present processes again.
    pub gone: Vec<NodeName>,
}

impl IntentDocument {
    /// Makes the intent to drain one VM.
    pub fn with_drain(node: NodeName) -> Self {
        Self {
            drain: vec![node],
            ..Self::default()
        }
    }

    /// Returns whether the intent states nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
