//! The declared services, operations and tenants, and the document that holds them.

use crate::ids::{NodeIdentity, NodeName, OperationName, ServiceName, TenantName};
use serde::{Deserialize, Serialize};

/// `WorkClass` classifies operations by how long they occupy a concurrency slot of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Work that occupies a slot briefly.
    #[default]
    Short,
    /// Work that occupies a slot many times longer, such as a catalogue download.
    Long,
}

/// `OperationSpec` declares one operation of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The name, unique within the service.
    pub name: OperationName,
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path prefix relative to the service, starting with `/`. Among the operations of a
    /// service, the one with the longest match applies.
    pub path: String,
    /// Whether running the operation again has no further effect.
    pub idempotent: bool,
    /// The class of the work, short unless declared.
    #[serde(default)]
    pub class: WorkClass,
}

/// `TenantSpec` declares a tenant's share of contended capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// The name of the customer.
    pub name: TenantName,
    /// The weight relative to the other tenants, from 1 to 1000.
    pub weight: u32,
}

/// `ServiceSpec` declares a service and the limits of its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name, unique within the configuration.
    pub name: ServiceName,
    /// Whether each key is owned by exactly one target.
    pub keyed: bool,
    /// The number of hash slices of a keyed service; unused otherwise.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// The number of requests that one target runs concurrently.
    pub slots: u32,
    /// The maximum number of connections that one target accepts.
    pub connections: u32,
    /// Whether the targets refuse requests with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// The maximum deadline in milliseconds that a caller may request.
    #[serde(default = "default_deadline_ms")]
    pub max_deadline_ms: u64,
    /// The operations; a request that matches none is refused.
    pub operations: Vec<OperationSpec>,
    /// The tenants with a declared weight; any other tenant has weight 1.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
}

impl ServiceSpec {
    /// Returns the operation with the given method and the longest prefix of a path relative to the
    /// service.
    pub fn operation(&self, method: &str, path: &str) -> Option<&OperationSpec> {
        self.operations
            .iter()
            .filter(|operation| operation.method == method && path.starts_with(&operation.path))
            .max_by_key(|operation| operation.path.len())
    }

    /// Returns the declared weight of a tenant, or 1 when none is declared.
    pub fn tenant_weight(&self, name: &TenantName) -> u32 {
        self.tenants
            .iter()
            .find(|tenant| &tenant.name == name)
            .map_or(1, |tenant| tenant.weight)
    }
}

/// `AppliedPlan` records which plan created a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedPlan {
    /// The version of the configuration.
    pub version: u64,
    /// The identifier of the plan.
    pub plan: String,
}

/// `ConfigDocument` is one version of the complete configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The version, which increases with each change. Zero is the empty configuration.
    pub version: u64,
    /// The identifier of the plan whose confirmation created this version; empty at version zero.
    #[serde(default)]
    pub plan: String,
    /// The services that the operator has declared, with their settings.
    pub services: Vec<ServiceSpec>,
    /// The VMs that receive no new work.
    #[serde(default)]
    pub draining: Vec<NodeName>,
    /// The node incarnations that the operator declared permanently lost. Each entry includes the
    /// earlier incarnations of the node.
    #[serde(default)]
    pub gone: Vec<NodeIdentity>,
    /// The plans that created the latest versions, oldest first. They serve to recognise a repeated
    /// confirmation of a plan.
    #[serde(default)]
    pub recent: Vec<AppliedPlan>,
}

impl ConfigDocument {
    /// Returns the declared service called `name`, if there is one.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// Returns whether a node incarnation, or a later one of the same node, was declared
    /// permanently lost.
    pub fn is_gone(&self, identity: &NodeIdentity) -> bool {
        self.gone
            .iter()
            .any(|gone| gone.name == identity.name && identity.incarnation <= gone.incarnation)
    }

    /// Returns whether a node incarnation may receive new work: its VM is neither draining nor
    /// declared lost.
    pub fn takes_work(&self, identity: &NodeIdentity) -> bool {
        !self.draining.contains(&identity.name) && !self.is_gone(identity)
    }
}

/// Returns the default number of hash slices of a service.
const fn default_slices() -> u32 {
    64
}

/// Returns the default maximum deadline of a service, in milliseconds.
const fn default_deadline_ms() -> u64 {
    30_000
}
