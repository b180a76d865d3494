//! The intent that an operator submits.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    service::ServiceSpec,
};

/// `IntentDocument` states what an operator wants to change. Anything that it does not name stays
/// unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IntentDocument {
    /// The services to declare; a declared service of the same name is replaced.
    pub services: Vec<ServiceSpec>,
    /// The names of the services to remove.
    pub remove_services: Vec<ServiceName>,
    /// The VMs that should receive no new work.
    pub drain: Vec<NodeName>,
    /// The draining VMs that should receive new work again.
    pub undrain: Vec<NodeName>,
    /// The VMs that are permanently lost: their current processes will never run again.
    pub gone: Vec<NodeName>,
}

impl IntentDocument {
    /// Creates an intent that drains one VM.
    pub fn with_drain(node: NodeName) -> Self {
        Self {
            drain: vec![node],
            ..Self::default()
        }
    }

    /// Returns whether the intent requests no change.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
