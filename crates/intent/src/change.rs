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
        /// The service.
        service: ServiceName,
    },
    /// A service is removed.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A field of a service changes.
    FieldChanged {
        /// The service.
        service: ServiceName,
        /// The field, by its name in the document.
        field: String,
        /// The value before.
        before: String,
        /// The value after.
        after: String,
    },
    /// An operation is declared.
    OperationAdded {
        /// The service.
        service: ServiceName,
        /// The operation.
        operation: OperationName,
    },
    /// An operation is removed.
    OperationRemoved {
        /// The service.
        service: ServiceName,
        /// The operation.
        operation: OperationName,
    },
    /// A field of an operation changes.
    OperationChanged {
        /// The service.
        service: ServiceName,
        /// The operation.
        operation: OperationName,
        /// The field, by its name in the document.
        field: String,
        /// The value before.
        before: String,
        /// The value after.
        after: String,
    },
    /// The share of a tenant changes.
    WeightChanged {
        /// The service.
        service: ServiceName,
        /// The tenant.
        tenant: TenantName,
        /// The weight before.
        before: u32,
        /// The weight after.
        after: u32,
    },
    /// A VM is to receive no new work.
    DrainStarted {
        /// The VM.
        node: NodeName,
    },
    /// A VM is to receive work again.
    DrainEnded {
        /// The VM.
        node: NodeName,
    },
    /// A VM is declared lost for good.
    NodeGone {
        /// The latest known start of the VM.
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

/// `RequestTraits` is how the requests of an operation are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTraits {
    /// The class of the work.
    pub class: WorkClass,
    /// Whether a repeat has no further effect.
    pub idempotent: bool,
}

/// `RequestChange` tells that requests under a path are treated differently.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestChange {
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path prefix below the service.
    pub path: String,
    /// The treatment before; absent when no operation matched.
    pub before: Option<RequestTraits>,
    /// The treatment after; absent when no operation matches.
    pub after: Option<RequestTraits>,
}

impl RequestChange {
    /// Returns whether requests that never were repeated after an unknown outcome will be.
    pub fn makes_idempotent(&self) -> bool {
        let before = self.before.is_some_and(|traits| !traits.idempotent);
        let after = self.after.is_some_and(|traits| traits.idempotent);

        before && after
    }
}

/// Returns the name of a class in documents.
pub const fn class_name(class: WorkClass) -> &'static str {
    match class {
        WorkClass::Short => "short",
        WorkClass::Long => "long",
    }
}
