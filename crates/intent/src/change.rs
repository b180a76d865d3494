//! The kinds of changes that a plan lists.

use serde::{Deserialize, Serialize};
use std::fmt;
use wagtail_core::{
    ids::{NodeIdentity, NodeName, OperationName, ServiceName, TenantName},
    service::WorkClass,
};

/// `PlannedChange` is one difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlannedChange {
    /// A service is declared.
    ServiceAdded {
        /// The name of the service.
        service: ServiceName,
    },
    /// A service is removed.
    ServiceRemoved {
        /// The name of the service.
        service: ServiceName,
    },
    /// A field of a service changes.
    FieldChanged {
        /// The name of the service.
        service: ServiceName,
        /// The name of the field in the document.
        field: String,
        /// The value in the old configuration.
        before: String,
        /// The value in the new configuration.
        after: String,
    },
    /// An operation is declared.
    OperationAdded {
        /// The name of the service.
        service: ServiceName,
        /// The name of the operation.
        operation: OperationName,
    },
    /// An operation is removed.
    OperationRemoved {
        /// The name of the service.
        service: ServiceName,
        /// The name of the operation.
        operation: OperationName,
    },
    /// A field of an operation changes.
    OperationChanged {
        /// The name of the service.
        service: ServiceName,
        /// The name of the operation.
        operation: OperationName,
        /// The name of the field in the document.
        field: String,
        /// The value in the old configuration.
        before: String,
        /// The value in the new configuration.
        after: String,
    },
    /// The weight of a tenant changes.
    WeightChanged {
        /// The name of the service.
        service: ServiceName,
        /// The name of the tenant.
        tenant: TenantName,
        /// The old weight; 1 when none was declared.
        before: u32,
        /// The new weight; 1 when none is declared.
        after: u32,
    },
    /// A VM stops receiving new work.
    DrainStarted {
        /// The name of the VM.
        node: NodeName,
    },
    /// A VM receives new work again.
    DrainEnded {
        /// The name of the VM.
        node: NodeName,
    },
    /// A VM is declared permanently lost.
    NodeGone {
        /// The latest known incarnation of the node.
        identity: NodeIdentity,
    },
}

impl fmt::Display for PlannedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceAdded { service } => write!(f, "service {service} is added"),
            Self::ServiceRemoved { service } => write!(f, "service {service} is removed"),
            Self::FieldChanged {
                service,
                field,
                before,
                after,
            } => write!(f, "{service}: {field} from {before} to {after}"),
            Self::OperationAdded { service, operation } => {
                write!(f, "{service}: operation {operation} is added")
            }
            Self::OperationRemoved { service, operation } => {
                write!(f, "{service}: operation {operation} is removed")
            }
            Self::OperationChanged {
                service,
                operation,
                field,
                before,
                after,
            } => write!(f, "{service}/{operation}: {field} from {before} to {after}"),
            Self::WeightChanged {
                service,
                tenant,
                before,
                after,
            } => write!(f, "{service}: weight of {tenant} from {before} to {after}"),
            Self::DrainStarted { node } => write!(f, "VM {node} is drained"),
            Self::DrainEnded { node } => write!(f, "VM {node} receives work again"),
            Self::NodeGone { identity } => write!(f, "VM {identity} is declared gone"),
        }
    }
}

/// `RequestTraits` holds the properties of an operation that decide how its requests are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTraits {
    /// The class of the work.
    pub class: WorkClass,
    /// Whether running the operation again has no further effect.
    pub idempotent: bool,
}

/// `RequestChange` lists a method and path whose requests will be handled differently.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestChange {
    /// The name of the service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path prefix relative to the service.
    pub path: String,
    /// The old traits; absent when no operation matched.
    pub before: Option<RequestTraits>,
    /// The new traits; absent when no operation matches.
    pub after: Option<RequestTraits>,
}

impl RequestChange {
    /// Returns whether requests will be retried after an unknown outcome that were not before.
    pub fn makes_idempotent(&self) -> bool {
        let before = self.before.is_some_and(|traits| !traits.idempotent);
        let after = self.after.is_some_and(|traits| traits.idempotent);

        before && after
    }
}

/// Returns the name by which documents refer to a work class.
pub const fn class_name(class: WorkClass) -> &'static str {
    match class {
        WorkClass::Short => "short",
        WorkClass::Long => "long",
    }
}
